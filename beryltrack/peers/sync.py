"""Anti-entropy: repairs differences between the items of two proxies.

A push can be lost with its link, and a new proxy holds no items. If the digests of
heartbeats differ, the side that opened the link sends the digests of its buckets,
the other answers with the versions in the buckets that differ, and each side gets
the items that it lacks. A digest has to differ twice, so that differences that only
await a push in transit cost nothing.
"""

import random
from collections.abc import Iterable, Iterator

from beryltrack.peers.batches import MAX_BATCH_BYTES, compute_item_size, split_items
from beryltrack.peers.gossip_store import GossipStore
from beryltrack.peers.messages import (
    GossipItem,
    ItemKey,
    ItemVersion,
    Message,
    SyncDigests,
    SyncItems,
    SyncRequest,
    SyncVersions,
)

WARM_UP_TIME = 5.0
"""Seconds after its start in which a proxy still receives what all others hold."""

WARM_UP_SYNC_PERIOD = 0.5
"""Mean seconds between exchanges during the warm-up."""

FIRST_SYNC_PERIOD = 2.0
"""Mean seconds between exchanges after one that was useful."""

MAX_SYNC_PERIOD = 30.0
"""Upper bound of the mean seconds between exchanges that bring nothing new."""

MAX_VERSIONS_PER_MESSAGE = 1000
"""Versions after which a message is cut, at the end of a bucket."""

MAX_ANSWER_BYTES = 32 * MAX_BATCH_BYTES

DIFFERENCES_TO_SYNC = 2
"""Consecutive heartbeats with another digest that start an exchange."""


class SyncDecider:
    """Decides when to start an exchange with a peer, and answers the peer's.

    Parameters
    ----------
    store : GossipStore
        The items of this proxy.
    rng : random.Random
        Source of jitter.
    now : float
        The current time, seconds.
    """

    def __init__(self, store: GossipStore, rng: random.Random, now: float):
        self._store = store
        self._rng = rng
        self._started_at = now
        self._next_sync_at = now
        self._period = FIRST_SYNC_PERIOD
        self._differences: dict[str, int] = {}

    def is_warming_up(self, now: float) -> bool:
        """Return whether this proxy started less than `WARM_UP_TIME` ago."""
        return now - self._started_at < WARM_UP_TIME

    def compare_digest(
        self, peer: str, digest: int, opened_here: bool, now: float
    ) -> list[Message]:
        """Compare a peer's digest with the one of this proxy.

        Parameters
        ----------
        peer : str
            Name of the peer.
        digest : int
            The digest in its heartbeat.
        opened_here : bool
            True if this side opened the link and so starts exchanges.
        now : float
            The current time, seconds.

        Returns
        -------
        list of Message
            The first message of an exchange; empty if none is due.
        """
        if digest == self._store.digest:
            self._differences.pop(peer, None)
            self._period = FIRST_SYNC_PERIOD
            return []
        self._differences[peer] = self._differences.get(peer, 0) + 1
        due = self.is_warming_up(now) or self._differences[peer] >= DIFFERENCES_TO_SYNC
        if not (opened_here and due and self._try_start_exchange(now)):
            return []
        return [SyncDigests(self._store.get_bucket_digests())]

    def record_exchange(self, useful: bool) -> None:
        """Record whether an exchange brought new items."""
        if useful:
            self._period = FIRST_SYNC_PERIOD

    def drop_peer(self, peer: str) -> None:
        """Drop the state of a peer whose link has closed."""
        self._differences.pop(peer, None)

    def answer_digests(self, peer: str, digests: bytes, now: float) -> list[Message]:
        """Return the versions in all buckets that differ.

        During its warm-up a proxy limits the rate of exchanges, or each of its
        first peers would send it all items.
        """
        if self.is_warming_up(now) and not self._try_start_exchange(now):
            return []
        return list(self._list_versions(self._store.find_different_buckets(digests)))

    def answer_versions(
        self, buckets: tuple[int, ...], versions: tuple[ItemVersion, ...]
    ) -> list[Message]:
        """Request the items that are newer there, and send those newer here."""
        difference = self._store.compare_versions(buckets, versions)
        request = [SyncRequest(difference.wanted)] if difference.wanted else []
        return [*request, *self._make_item_messages(difference.offered)]

    def answer_request(self, keys: Iterable[ItemKey]) -> list[Message]:
        """Return the items under some keys."""
        items = filter(None, map(self._store.get, keys))
        return self._make_item_messages(items)

    def _try_start_exchange(self, now: float) -> bool:
        """Return whether an exchange may start now; if so, delay the next one."""
        if now < self._next_sync_at:
            return False
        period = WARM_UP_SYNC_PERIOD if self.is_warming_up(now) else self._period
        self._next_sync_at = now + period * self._rng.uniform(0.75, 1.25)
        # Back off: some differences cannot be repaired, for example with a peer
        # whose store is full.
        self._period = min(MAX_SYNC_PERIOD, self._period * 1.5)
        return True

    def _list_versions(self, buckets: tuple[int, ...]) -> Iterator[SyncVersions]:
        """Yield the versions in some buckets, in messages of bounded size."""
        listed: list[int] = []
        versions: list[ItemVersion] = []
        for bucket in buckets:
            listed.append(bucket)
            versions.extend(self._store.get_versions(bucket))
            if len(versions) >= MAX_VERSIONS_PER_MESSAGE:
                yield SyncVersions(tuple(listed), tuple(versions))
                listed, versions = [], []
        if listed:
            yield SyncVersions(tuple(listed), tuple(versions))

    def _make_item_messages(self, items: Iterable[GossipItem]) -> list[Message]:
        """Return messages with the items, up to `MAX_ANSWER_BYTES`."""
        chosen: list[GossipItem] = []
        space = MAX_ANSWER_BYTES
        for item in items:
            space -= compute_item_size(item)
            if space < 0 and chosen:
                break
            chosen.append(item)
        return [SyncItems(batch) for batch in split_items(chosen)]
