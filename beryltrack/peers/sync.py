"""Repairs differences between what two proxies know.

A push can be lost with its link, and a new proxy knows nothing. Heartbeats show
that digests differ; the side that opened the link then sends the digests of its
buckets, the other answers with the versions in those that differ, and each gets
what it lacks. Differences that pass by themselves, because a push is on its way,
cost nothing: a digest has to differ twice.
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
WARM_UP_SYNC_PERIOD = 0.5
FIRST_SYNC_PERIOD = 2.0
MAX_SYNC_PERIOD = 30.0
MAX_VERSIONS_PER_MESSAGE = 1000
MAX_ANSWER_BYTES = 32 * MAX_BATCH_BYTES
DIFFERENCES_TO_SYNC = 2


class SyncDecider:
    """Decides when to compare knowledge with a peer, and answers comparisons.

    Parameters
    ----------
    store : GossipStore
        What this proxy knows.
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
        """Return whether this proxy is still learning what all others know."""
        return now - self._started_at < WARM_UP_TIME

    def compare_digest(
        self, peer: str, digest: int, opened_here: bool, now: float
    ) -> list[Message]:
        """Compare a peer's digest with the own.

        Parameters
        ----------
        peer : str
            Name of the peer.
        digest : int
            What its heartbeat carried.
        opened_here : bool
            True if this side opened the link and so starts comparisons.
        now : float
            The current time, seconds.

        Returns
        -------
        list of Message
            The start of a comparison, or nothing.
        """
        if digest == self._store.digest:
            self._differences.pop(peer, None)
            self._period = FIRST_SYNC_PERIOD
            return []
        self._differences[peer] = self._differences.get(peer, 0) + 1
        due = self.is_warming_up(now) or self._differences[peer] >= DIFFERENCES_TO_SYNC
        if not (opened_here and due and self._try_start_comparison(now)):
            return []
        return [SyncDigests(self._store.get_bucket_digests())]

    def record_comparison(self, useful: bool) -> None:
        """Note whether a comparison brought anything new."""
        if useful:
            self._period = FIRST_SYNC_PERIOD

    def drop_peer(self, peer: str) -> None:
        """Drop what is kept of a peer whose link has closed."""
        self._differences.pop(peer, None)

    def answer_digests(self, peer: str, digests: bytes, now: float) -> list[Message]:
        """Return the versions in all buckets that differ.

        A young proxy takes part in one comparison at a time, or each of its
        first peers would send it everything.
        """
        if self.is_warming_up(now) and not self._try_start_comparison(now):
            return []
        return list(self._list_versions(self._store.find_different_buckets(digests)))

    def answer_versions(
        self, buckets: tuple[int, ...], versions: tuple[ItemVersion, ...]
    ) -> list[Message]:
        """Ask for what is known better there, and send what is known better here."""
        difference = self._store.compare_versions(buckets, versions)
        request = [SyncRequest(difference.wanted)] if difference.wanted else []
        return [*request, *self._send_items(difference.offered)]

    def answer_request(self, keys: Iterable[ItemKey]) -> list[Message]:
        """Return the items under some keys."""
        items = filter(None, map(self._store.get, keys))
        return self._send_items(items)

    def _try_start_comparison(self, now: float) -> bool:
        """Return whether a comparison may start now, and put off the next one."""
        if now < self._next_sync_at:
            return False
        period = WARM_UP_SYNC_PERIOD if self.is_warming_up(now) else self._period
        self._next_sync_at = now + period * self._rng.uniform(0.75, 1.25)
        # What a comparison does not mend, as with a peer whose knowledge is
        # full, must not be compared again and again.
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

    def _send_items(self, items: Iterable[GossipItem]) -> list[Message]:
        """Return items as messages, as many as one answer may hold."""
        chosen: list[GossipItem] = []
        space = MAX_ANSWER_BYTES
        for item in items:
            space -= compute_item_size(item)
            if space < 0 and chosen:
                break
            chosen.append(item)
        return [SyncItems(batch) for batch in split_items(chosen)]
