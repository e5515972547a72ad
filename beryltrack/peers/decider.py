"""The rules of membership and shared knowledge over the control links.

A change is pushed at once over all control links but the one it came from; as
each proxy has few links, it reaches the whole fleet in a few steps. Heartbeats
carry a digest of all that the sender knows. Where digests stay different, the
side that opened the link compares buckets, and only differences are sent.
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
SILENCE_TIMEOUT = 3.2
PAUSE_LIMIT = 2.5
CONNECT_FAILURES_TO_SUSPECT = 2
MAX_FORWARDED_SYNC_ITEMS = 64


class _Link:
    """State of one control link.

    Parameters
    ----------
    opened_here : bool
        True if this side opened it.
    now : float
        The current time, seconds.
    """

    def __init__(self, opened_here: bool, now: float):
        self.opened_here = opened_here
        self.last_received_at = now


class PeerDecider:
    """Membership and shared knowledge of one proxy.

    Parameters
    ----------
    own : Member
        This proxy, `JOINED`.
    seeds : tuple of Endpoint
        Where peers may be found when nobody is known.
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
        """What the proxy tells others of itself."""
        return self._membership.own

    @property
    def members(self) -> tuple[Member, ...]:
        """All members with their state."""
        return self._membership.members

    @property
    def store(self) -> GossipStore:
        """All that is known."""
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
        """Items that were not pushed because a link was stuck."""
        return self._pushes.dropped

    def join(self, port: int) -> list[Action]:
        """Tell of this proxy, now that it listens on a port."""
        return self._announce(self._membership.join(port), "")

    def publish(self, item: GossipItem) -> list[Action]:
        """Take an item of this proxy's own, to be told to everybody."""
        return self._merge_items((item,), "", forward=True, now=self._ticked_at)

    def flush(self, blocked: Container[str] = ()) -> list[Action]:
        """Return the messages that carry all pending items.

        Parameters
        ----------
        blocked : container of str
            Peers whose links take no more now; their items stay pending.

        Returns
        -------
        list of Action
            Messages to send.
        """
        return list(self._pushes.flush(blocked))

    def handle_link_opened(
        self, peer: str, opened_here: bool, now: float
    ) -> list[Action]:
        """Take a control link that is open; it replaces an earlier one."""
        self._opening.discard(peer)
        self._planner.record_success(peer)
        self._links[peer] = _Link(opened_here, now)
        self._pushes.add_link(peer)
        self._pushes.push_to(peer, [make_member_item(self.own)])
        member = self._membership.get_member(peer)
        if member is not None and member.state in (SUSPECTED, DEAD):
            # The peer refutes at once what is wrongly thought of it.
            self._pushes.push_to(peer, [make_member_item(member)])
        return [SendMessage(peer, Heartbeat(self._store.digest))]

    def handle_connect_failure(self, peer: str, now: float) -> list[Action]:
        """Note that a control link could not be opened."""
        self._opening.discard(peer)
        failures = self._planner.record_failure(peer, now)
        if failures < CONNECT_FAILURES_TO_SUSPECT or peer in self._links:
            return []
        # Others may reach a peer that this proxy does not: it is not suspected
        # again and again.
        if self._membership.has_refuted_recently(peer, now):
            return []
        return self._suspect(peer, "cannot be connected to", now)

    def handle_link_closed(self, peer: str, orderly: bool, now: float) -> list[Action]:
        """Note that a control link has closed; suspect the peer if it broke."""
        self._sync.drop_peer(peer)
        self._pushes.drop_link(peer)
        if self._links.pop(peer, None) is None or orderly:
            return []
        return self._suspect(peer, "broke its link", now)

    def receive(self, peer: str, message: Message, now: float) -> list[Action]:
        """Take a message from a control link."""
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
                self._sync.record_comparison(bool(actions))
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
        """Do what the passing of `HEARTBEAT_PERIOD` seconds asks for."""
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
        """Take the platform's instance list."""
        leaving = self._membership.observe_instances(instances, now)
        return [*self._announce_all(leaving), *self._open_missing_links(now)]

    def leave(self) -> list[Action]:
        """Tell the others that this proxy is leaving."""
        return self._announce(self._membership.leave(), "")

    def finish(self) -> list[Action]:
        """Tell the others that this proxy has left."""
        return self._announce(self._membership.finish(), "")

    def _merge_items(
        self, items: Iterable[GossipItem], source: str, forward: bool, now: float
    ) -> list[Action]:
        """Take items, and push those that are new to the other links."""
        news = [
            (item, refutations)
            for item, accepted, refutations in (
                (item, *self._merge_item(item, source, now)) for item in items
            )
            if accepted or refutations
        ]
        taken = [item for item, refutations in news if not refutations]
        if forward:
            self._pushes.push(taken, source)
        replies = chain.from_iterable(refutations for _, refutations in news)
        changed = any(item.kind == MEMBER_KIND for item in taken)
        return [
            *map(NotifySubscribers, taken),
            *self._announce_all(tuple(replies)),
            *(self._open_missing_links(now) if changed and self._lacks_links() else ()),
        ]

    def _merge_item(
        self, item: GossipItem, source: str, now: float
    ) -> tuple[bool, tuple[Member, ...]]:
        """Take one item; return whether it is new, and what to answer."""
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
        """Return whether a member is known by its own word and not gone."""
        member = self._membership.get_member(name)
        return member is not None and member.state in PRESENT_STATES

    def _store_member(self, item: GossipItem, member: Member) -> bool:
        """Keep a member's state; what else is known of one that went is dropped."""
        gone = member.state in GONE_STATES
        if gone:
            self._store.remove_member(member.name)
        return self._store.accept(item, in_digest=not gone)

    def _should_forward(self, items: tuple[GossipItem, ...], now: float) -> bool:
        """Return whether items that a comparison brought may be news to others.

        What a young proxy learns is old to all others, except where many
        proxies start at once and have not yet heard of each other.
        """
        few = len(items) <= MAX_FORWARDED_SYNC_ITEMS
        about_members = all(is_about_member(item.kind) for item in items)
        return few and (about_members or not self._sync.is_warming_up(now))

    def _suspect(self, peer: str, cause: str, now: float) -> list[Action]:
        """Suspect a peer and tell the others, if that is news."""
        suspected = self._membership.suspect(peer, now)
        if suspected:
            log.info("peers: %s is suspected, it %s", peer, cause)
        return self._announce_all(suspected)

    def _announce(self, member: Member, source: str) -> list[Action]:
        """Keep and push a member's state that was decided here."""
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
        """Forgive all silence: it was this process that slept."""
        log.warning("peers: paused for %.1f s", now - self._ticked_at)
        self._membership.restart_suspicions(now)
        for link in self._links.values():
            link.last_received_at = now

    def _send_heartbeats(self) -> list[Action]:
        """Return a heartbeat for each link."""
        heartbeat = Heartbeat(self._store.digest)
        return [SendMessage(peer, heartbeat) for peer in self._links]

    def _close_silent_links(self, now: float) -> list[Action]:
        """Close links that have been silent too long, and suspect their peers."""
        silent = [
            peer
            for peer, link in self._links.items()
            if now - link.last_received_at > SILENCE_TIMEOUT
        ]
        self._drop_links(silent)
        suspicions = (self._suspect(peer, "is silent", now) for peer in silent)
        closing = [CloseLink(peer, "no heartbeat") for peer in silent]
        return [*closing, *chain.from_iterable(suspicions)]

    def _expire_members(self, now: float) -> list[Action]:
        """Announce members that have died, and forget those gone long ago."""
        changes = self._membership.handle_timeouts(now)
        for name in changes.expired:
            self._store.remove_member(name)
        return self._announce_all(changes.changed)

    def _close_unwanted_links(self, now: float) -> list[Action]:
        """Return the closing of links that are not wanted any more."""
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
        """Return whether this proxy is short of links and cannot await the tick.

        To look for neighbours at each change would cost a large fleet dear when
        many come and go at once.
        """
        opened_here = sum(link.opened_here for link in self._links.values())
        return opened_here < RING_COUNT

    def _open_missing_links(self, now: float) -> list[Action]:
        """Return the opening of links that are missing."""
        if self.own.state in GONE_STATES or not self.own.port:
            return []
        busy = self._opening.union(self._links)
        opening = self._planner.plan_opening(self.members, busy, now)
        self._opening.update(action.peer for action in opening if action.peer)
        return list(opening)
