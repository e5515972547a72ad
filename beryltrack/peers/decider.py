"""Membership and gossip over the control links: the decisions, without any I/O.

A new item is pushed at once over all control links except the one it came from
(push gossip). Each proxy has few links, so an item reaches the whole fleet in a few
hops. Heartbeats carry a digest of the sender's items. If digests stay different,
the side that opened the link starts an anti-entropy exchange, which compares
buckets of items and sends only what differs.
"""

import logging
import random
from collections.abc import Container, Iterable
from itertools import chain

from beryltrack.findings import Finding
from beryltrack.peers.actions import (
    Action,
    CloseLink,
    NotifySubscribers,
    SendMessage,
)
from beryltrack.peers.gossip_store import GossipStore, is_about_member
from beryltrack.peers.link_planner import LinkPlanner
from beryltrack.peers.membership import (
    ListedInstance,
    MembershipDecider,
    make_member_item,
    parse_member_item,
)
from beryltrack.peers.messages import (
    DEAD,
    GONE_STATES,
    MEMBER_KIND,
    PRESENT_STATES,
    SUSPECTED,
    GossipItem,
    Heartbeat,
    Items,
    Member,
    Message,
    SyncDigests,
    SyncItems,
    SyncRequest,
    SyncVersions,
)
from beryltrack.peers.placement import RING_COUNT
from beryltrack.peers.pushes import PushQueues
from beryltrack.peers.sync import SyncDecider
from beryltrack.settings.messages import Endpoint

log = logging.getLogger(__name__)

HEARTBEAT_PERIOD = 1.0
"""Seconds between two heartbeats on a control link, and between two ticks."""

SILENCE_TIMEOUT = 3.2
"""Seconds without a message after which a control link is closed."""

PAUSE_LIMIT = 2.5
"""Seconds between two ticks above which this process itself counts as suspended."""

CONNECT_FAILURES_TO_SUSPECT = 2
"""Consecutive failures to connect after which a peer is suspected."""

MAX_FORWARDED_SYNC_ITEMS = 64
"""Items of one anti-entropy message above which they are not pushed to others."""


class _Link:
    """State of one control link.

    Parameters
    ----------
    opened_here : bool
        True if this side opened the link.
    now : float
        The current time, seconds.
    """

    def __init__(self, opened_here: bool, now: float):
        self.opened_here = opened_here
        self.last_received_at = now


class PeerDecider:
    """Membership and gossip of one proxy.

    Parameters
    ----------
    own : Member
        This proxy, `JOINED`.
    seeds : tuple of Endpoint
        Addresses to contact while no peer is linked.
    rng : random.Random
        Source of jitter.
    now : float
        The current time, seconds.
    """

    def __init__(
        self, own: Member, seeds: tuple[Endpoint, ...], rng: random.Random, now: float
    ):
        self.findings: list[Finding] = []
        self._membership = MembershipDecider(own)
        self._store = GossipStore()
        self._planner = LinkPlanner(own.name, seeds, rng)
        self._sync = SyncDecider(self._store, rng, now)
        self._pushes = PushQueues()
        self._links: dict[str, _Link] = {}
        self._opening: set[str] = set()
        self._ticked_at = now

    @property
    def own(self) -> Member:
        """The entry of this proxy, as announced to others."""
        return self._membership.own

    @property
    def members(self) -> tuple[Member, ...]:
        """All members with their state."""
        return self._membership.members

    @property
    def store(self) -> GossipStore:
        """The items that this proxy holds."""
        return self._store

    @property
    def linked(self) -> tuple[str, ...]:
        """Peers to which a control link is open."""
        return tuple(self._links)

    @property
    def has_pending(self) -> bool:
        """True if `flush` would send something."""
        return self._pushes.has_pending

    @property
    def dropped_pushes(self) -> int:
        """The number of items that were not pushed because a link was blocked."""
        return self._pushes.dropped

    def join(self, port: int) -> list[Action]:
        """Announce this proxy, which now listens on a port."""
        return self._announce(self._membership.join(port), "")

    def publish(self, item: GossipItem) -> list[Action]:
        """Store an item of this proxy and push it to all others."""
        return self._merge_items((item,), "", forward=True, now=self._ticked_at)

    def flush(self, blocked: Container[str] = ()) -> list[Action]:
        """Return the messages that carry all pending items.

        Parameters
        ----------
        blocked : container of str
            Peers whose links cannot be written to; their items stay pending.

        Returns
        -------
        list of Action
            Messages to send.
        """
        return list(self._pushes.flush(blocked))

    def handle_link_opened(
        self, peer: str, opened_here: bool, now: float
    ) -> list[Action]:
        """Start to use a control link; it replaces an earlier one to the peer."""
        self._opening.discard(peer)
        self._planner.record_success(peer)
        self._links[peer] = _Link(opened_here, now)
        self._pushes.add_link(peer)
        self._pushes.push_to(peer, [make_member_item(self.own)])
        member = self._membership.get_member(peer)
        if member is not None and member.state in (SUSPECTED, DEAD):
            # Lets the peer refute its suspicion or death at once.
            self._pushes.push_to(peer, [make_member_item(member)])
        return [SendMessage(peer, Heartbeat(self._store.digest))]

    def handle_connect_failure(self, peer: str, now: float) -> list[Action]:
        """Back off, and suspect the peer after repeated failures to connect."""
        self._opening.discard(peer)
        failures = self._planner.record_failure(peer, now)
        if failures < CONNECT_FAILURES_TO_SUSPECT or peer in self._links:
            return []
        # Others may reach a peer that this proxy cannot. Without this check it
        # would be suspected again after each of its refutations.
        if self._membership.has_refuted_recently(peer, now):
            return []
        return self._suspect(peer, "cannot be connected to", now)

    def handle_link_closed(self, peer: str, orderly: bool, now: float) -> list[Action]:
        """Drop the state of a closed control link; suspect the peer if it broke."""
        self._sync.drop_peer(peer)
        self._pushes.drop_link(peer)
        if self._links.pop(peer, None) is None or orderly:
            return []
        return self._suspect(peer, "broke its link", now)

    def receive(self, peer: str, message: Message, now: float) -> list[Action]:
        """Handle a message from a control link and return the replies."""
        link = self._links.get(peer)
        if link is None:
            return []
        link.last_received_at = now
        match message:
            case Heartbeat(digest):
                replies = self._sync.compare_digest(peer, digest, link.opened_here, now)
            case Items(items):
                return self._merge_items(items, peer, forward=True, now=now)
            case SyncItems(items):
                forward = self._should_forward(items, now)
                actions = self._merge_items(items, peer, forward, now)
                self._sync.record_exchange(bool(actions))
                return actions
            case SyncDigests(digests):
                replies = self._sync.answer_digests(peer, digests, now)
            case SyncVersions(buckets, versions):
                replies = self._sync.answer_versions(buckets, versions)
            case SyncRequest(keys):
                replies = self._sync.answer_request(keys)
            case _:
                text = f"{type(message).__name__} is not expected on an open link"
                self.findings.append(Finding(peer, "", text))
                replies = []
        return [SendMessage(peer, reply) for reply in replies]

    def tick(self, now: float) -> list[Action]:
        """Send heartbeats, check timeouts, and close and open links.

        Called each `HEARTBEAT_PERIOD` seconds.
        """
        if now - self._ticked_at > PAUSE_LIMIT:
            self._recover_from_pause(now)
        self._ticked_at = now
        return [
            *self._send_heartbeats(),
            *self._close_silent_links(now),
            *self._expire_members(now),
            *self._close_unwanted_links(now),
            *self._open_missing_links(now),
        ]

    def observe_instances(
        self, instances: Iterable[ListedInstance], now: float
    ) -> list[Action]:
        """Apply the platform's instance list."""
        leaving = self._membership.observe_instances(instances, now)
        return [*self._announce_all(leaving), *self._open_missing_links(now)]

    def leave(self) -> list[Action]:
        """Announce that this proxy is leaving."""
        return self._announce(self._membership.leave(), "")

    def finish(self) -> list[Action]:
        """Announce that this proxy has left."""
        return self._announce(self._membership.finish(), "")

    def _merge_items(
        self, items: Iterable[GossipItem], source: str, forward: bool, now: float
    ) -> list[Action]:
        """Store new items, and push them over the other links if `forward` is set."""
        new = [
            (item, refutations)
            for item, accepted, refutations in (
                (item, *self._merge_item(item, source, now)) for item in items
            )
            if accepted or refutations
        ]
        accepted_items = [item for item, refutations in new if not refutations]
        if forward:
            self._pushes.push(accepted_items, source)
        replies = chain.from_iterable(refutations for _, refutations in new)
        changed = any(item.kind == MEMBER_KIND for item in accepted_items)
        return [
            *map(NotifySubscribers, accepted_items),
            *self._announce_all(tuple(replies)),
            *(self._open_missing_links(now) if changed and self._lacks_links() else ()),
        ]

    def _merge_item(
        self, item: GossipItem, source: str, now: float
    ) -> tuple[bool, tuple[Member, ...]]:
        """Store one item; return whether it is new, and the refutations to send."""
        if item.kind != MEMBER_KIND:
            wanted = not is_about_member(item.kind) or self._is_present(item.key)
            return wanted and self._store.accept(item), ()
        member, findings = parse_member_item(item, source)
        self.findings.extend(findings)
        if member is None:
            return False, ()
        observation = self._membership.observe_member(member, now)
        if observation.accepted:
            self._store_member(item, member)
        return observation

    def _is_present(self, name: str) -> bool:
        """Return whether a member has announced itself and not left or died."""
        member = self._membership.get_member(name)
        return member is not None and member.state in PRESENT_STATES

    def _store_member(self, item: GossipItem, member: Member) -> bool:
        """Store a member's state; drop the other items of one that left or died."""
        gone = member.state in GONE_STATES
        if gone:
            self._store.remove_member(member.name)
        return self._store.accept(item, in_digest=not gone)

    def _should_forward(self, items: tuple[GossipItem, ...], now: float) -> bool:
        """Return whether items of an anti-entropy exchange may be new to others.

        During its warm-up a proxy receives items that all others hold already.
        Member items are the exception: many proxies may start at once and not yet
        know each other.
        """
        few = len(items) <= MAX_FORWARDED_SYNC_ITEMS
        about_members = all(is_about_member(item.kind) for item in items)
        return few and (about_members or not self._sync.is_warming_up(now))

    def _suspect(self, peer: str, cause: str, now: float) -> list[Action]:
        """Suspect a peer and announce it; do nothing if it is suspected or gone."""
        suspected = self._membership.suspect(peer, now)
        if suspected:
            log.info("peers: peer %s is suspected to be dead: it %s", peer, cause)
        return self._announce_all(suspected)

    def _announce(self, member: Member, source: str) -> list[Action]:
        """Store and push a member's state that this proxy decided."""
        item = make_member_item(member)
        if not self._store_member(item, member):
            return []
        self._pushes.push([item], source)
        return [NotifySubscribers(item)]

    def _announce_all(self, members: Iterable[Member]) -> list[Action]:
        """Announce several members."""
        return list(
            chain.from_iterable(self._announce(member, "") for member in members)
        )

    def _recover_from_pause(self, now: float) -> None:
        """Restart all timeouts after this process itself was suspended."""
        log.warning(
            "peers: this process was suspended or blocked for %.1f s; "
            "restarting the timeouts of all peers",
            now - self._ticked_at,
        )
        self._membership.restart_suspicions(now)
        for link in self._links.values():
            link.last_received_at = now

    def _send_heartbeats(self) -> list[Action]:
        """Return a heartbeat for each link."""
        heartbeat = Heartbeat(self._store.digest)
        return [SendMessage(peer, heartbeat) for peer in self._links]

    def _close_silent_links(self, now: float) -> list[Action]:
        """Close links without a message in `SILENCE_TIMEOUT`; suspect their peers."""
        silent = [
            peer
            for peer, link in self._links.items()
            if now - link.last_received_at > SILENCE_TIMEOUT
        ]
        self._drop_links(silent)
        suspicions = (
            self._suspect(peer, "sends no heartbeats", now) for peer in silent
        )
        closing = [CloseLink(peer, "no heartbeat") for peer in silent]
        return [*closing, *chain.from_iterable(suspicions)]

    def _expire_members(self, now: float) -> list[Action]:
        """Announce members that count as dead now, and drop those gone for long."""
        changes = self._membership.handle_timeouts(now)
        for name in changes.expired:
            self._store.remove_member(name)
        return self._announce_all(changes.changed)

    def _close_unwanted_links(self, now: float) -> list[Action]:
        """Close links opened here whose peers are no longer neighbours."""
        opened_here = [peer for peer, link in self._links.items() if link.opened_here]
        unwanted = self._planner.plan_closing(self.members, opened_here, now)
        self._drop_links(unwanted)
        return [CloseLink(peer, "not wanted") for peer in unwanted]

    def _drop_links(self, peers: Iterable[str]) -> None:
        """Drop the state of links that are being closed here."""
        for peer in peers:
            del self._links[peer]
            self._sync.drop_peer(peer)
            self._pushes.drop_link(peer)

    def _lacks_links(self) -> bool:
        """Return whether this proxy has too few links to wait for the next tick.

        Computing the neighbours at each change would be expensive in a large fleet
        when many members join and leave at once.
        """
        opened_here = sum(link.opened_here for link in self._links.values())
        return opened_here < RING_COUNT

    def _open_missing_links(self, now: float) -> list[Action]:
        """Open the links to neighbours that are missing."""
        if self.own.state in GONE_STATES or not self.own.port:
            return []
        busy = self._opening.union(self._links)
        opening = self._planner.plan_opening(self.members, busy, now)
        self._opening.update(action.peer for action in opening if action.peer)
        return list(opening)
