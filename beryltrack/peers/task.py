"""Task that runs membership and gossip of a proxy over real sockets.

It owns the sockets and timers, passes events to `PeerDecider` and carries out the
actions that the decider returns.
"""

import logging
import random
from collections import defaultdict
from collections.abc import Callable, Iterable

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTCP, IReactorTime
from twisted.internet.task import LoopingCall

from beryltrack.clock import get_monotonic_clock
from beryltrack.findings import format_finding
from beryltrack.peers.actions import (
    Action,
    CloseLink,
    NotifySubscribers,
    OpenLink,
    SendMessage,
)
from beryltrack.peers.counters import LinkCounters
from beryltrack.peers.decider import HEARTBEAT_PERIOD, PeerDecider
from beryltrack.peers.gossip_store import GossipStore
from beryltrack.peers.link import PeerLink
from beryltrack.peers.linktable import LinkTable, LinkTableHandler
from beryltrack.peers.membership import ListedInstance
from beryltrack.peers.messages import (
    CONTROL,
    JOINED,
    GossipItem,
    Items,
    Member,
    Message,
)
from beryltrack.peers.placement import compute_poll_period, get_watchers
from beryltrack.settings.messages import InstanceSettings

log = logging.getLogger(__name__)

FLUSH_DELAY = 0.01
"""Seconds for which changes are collected before they are pushed."""

ItemCallback = Callable[[GossipItem], None]


class PeerTask:
    """Membership and gossip of one proxy, over real sockets.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Provides sockets and timers.
    instance_settings : InstanceSettings
        Name, zone, peer address, key and seeds of this proxy.
    rng : random.Random
        Source of jitter.
    incarnation : int
        A number higher than that of an earlier process of the same name, for
        example the seconds since 1970 at the start.
    """

    def __init__(
        self,
        reactor: IReactorTCP | IReactorTime,
        instance_settings: InstanceSettings,
        rng: random.Random,
        incarnation: int,
    ):
        self.counters = LinkCounters()
        self._reactor = reactor
        self._seconds = get_monotonic_clock(reactor)
        self._settings = instance_settings
        self._rng = rng
        endpoint = instance_settings.peer_listen
        own = Member(
            instance_settings.name,
            endpoint.host,
            endpoint.port,
            instance_settings.zone,
            JOINED,
            incarnation,
        )
        self._decider = PeerDecider(
            own, instance_settings.peer_seeds, rng, self._seconds()
        )
        self._table = LinkTable(reactor, self, self.counters, own, instance_settings)
        self._subscribers: dict[str, list[ItemCallback]] = defaultdict(list)
        # Handlers of the links, by purpose, except those for control.
        self._link_handlers: dict[str, LinkTableHandler] = {}
        self._listed: frozenset[str] | None = None
        self._ticker = LoopingCall(self._tick)
        self._ticker.clock = reactor
        self._running = False
        self._start_timer = None
        self._flush_timer = None

    @property
    def name(self) -> str:
        """Name of this proxy."""
        return self._settings.name

    @property
    def own(self) -> Member:
        """The entry of this proxy, as announced to others."""
        return self._decider.own

    @property
    def members(self) -> tuple[Member, ...]:
        """All members with their state, this proxy among them, by name."""
        return self._decider.members

    @property
    def gossip_store(self) -> GossipStore:
        """The items that this proxy holds; read-only for callers."""
        return self._decider.store

    @property
    def linked(self) -> tuple[str, ...]:
        """Peers to which a control link is open."""
        return self._decider.linked

    @property
    def is_watcher(self) -> bool:
        """True if this proxy is one of the few that watch the platform's store."""
        return self.name in get_watchers(self.members)

    @property
    def poll_period(self) -> float:
        """Seconds between polls of the platform by a proxy that is no watcher."""
        return compute_poll_period(len(self.members))

    @property
    def listed(self) -> frozenset[str] | None:
        """Names in the platform's instance list; None before it is first read."""
        return self._listed

    def start(self) -> None:
        """Listen for peers and start to connect to them."""
        self._running = True
        self._carry_out(self._decider.join(self._table.listen()))
        # A random delay spreads the heartbeats of proxies that start together.
        delay = self._rng.uniform(0.0, HEARTBEAT_PERIOD)
        self._tick()
        self._start_timer = self._reactor.callLater(
            delay, self._ticker.start, HEARTBEAT_PERIOD
        )

    def publish(self, item: GossipItem) -> None:
        """Publish an item to all proxies.

        Parameters
        ----------
        item : GossipItem
            Ignored if the same or a higher version is stored.
        """
        self._carry_out(self._decider.publish(item))

    def subscribe(self, kind: str, callback: ItemCallback) -> None:
        """Call `callback` with each new item of a kind.

        It is called at once with each item that is stored already.
        """
        self._subscribers[kind].append(callback)
        for item in self._decider.store.get_items(kind):
            callback(item)

    def set_link_handler(self, purpose: str, handler: LinkTableHandler) -> None:
        """Report the links of a purpose other than control to `handler`."""
        self._link_handlers[purpose] = handler

    def get_link(self, peer: str, purpose: str) -> PeerLink | None:
        """Return the link to a peer, or None."""
        return self._table.get(peer, purpose)

    def open_link(self, peer: Member, purpose: str) -> None:
        """Open a link to a member; the purpose's handler receives the outcome."""
        self._table.open(peer.name, peer.host, peer.port, purpose)

    def observe_instances(self, instances: Iterable[ListedInstance]) -> None:
        """Apply the platform's instance list."""
        now = self._seconds()
        listed = tuple(instances)
        self._listed = frozenset(entry.name for entry in listed)
        self._carry_out(self._decider.observe_instances(listed, now))

    def leave(self) -> None:
        """Announce that this proxy is leaving and accepts no new work."""
        self._carry_out(self._decider.leave())
        self._flush()

    def stop(self) -> Deferred:
        """Announce that this proxy has left, and close all links.

        Returns
        -------
        Deferred
            Fires when no socket and no timer is left.
        """
        self._carry_out(self._decider.finish())
        self._flush()
        self._stop_timers()
        return self._table.stop()

    def abort(self) -> Deferred:
        """Abort all links without an announcement, as a crash does; for tests."""
        self._stop_timers()
        return self._table.abort()

    def handle_link_opened(self, link: PeerLink) -> None:
        """Start to use a link whose peer is authenticated."""
        if link.peer.purpose != CONTROL:
            self._accept_other_link(link)
            return
        now = self._seconds()
        actions = self._decider.handle_link_opened(
            link.peer.name, link.opened_here, now
        )
        log.info("peers: opened a control link with %s", link.peer.name)
        self._carry_out(actions)

    def handle_message(self, link: PeerLink, message: Message) -> None:
        """Handle a message of a peer."""
        if link.peer.purpose != CONTROL:
            self._link_handlers[link.peer.purpose].handle_message(link, message)
            return
        now = self._seconds()
        self._carry_out(self._decider.receive(link.peer.name, message, now))
        self._report_findings()

    def handle_link_writable(self, link: PeerLink) -> None:
        """Send the items that were queued while the link was blocked."""
        if link.peer.purpose != CONTROL:
            self._link_handlers[link.peer.purpose].handle_link_writable(link)
            return
        self._schedule_flush()

    def handle_link_closed(self, link: PeerLink, orderly: bool) -> None:
        """Handle that the link to a peer has closed."""
        if link.peer.purpose != CONTROL:
            self._link_handlers[link.peer.purpose].handle_link_closed(link, orderly)
            return
        log.info("peers: the control link to %s has closed", link.peer.name)
        now = self._seconds()
        self._carry_out(self._decider.handle_link_closed(link.peer.name, orderly, now))

    def handle_connect_failure(self, peer: str, purpose: str) -> None:
        """Handle that a link could not be opened."""
        if purpose != CONTROL:
            self._link_handlers[purpose].handle_connect_failure(peer, purpose)
            return
        self._carry_out(self._decider.handle_connect_failure(peer, self._seconds()))

    def _accept_other_link(self, link: PeerLink) -> None:
        """Pass a link to the handler of its purpose; close it if there is none."""
        handler = self._link_handlers.get(link.peer.purpose)
        if handler is None:
            self._table.close(link.peer.name, link.peer.purpose, "nobody takes it")
        else:
            handler.handle_link_opened(link)

    def _tick(self) -> None:
        """Run the decider's tick; an error must not stop the timer."""
        try:
            self._carry_out(self._decider.tick(self._seconds()))
        except Exception:
            log.exception("peers: a tick failed; the next one follows as usual")

    def _carry_out(self, actions: Iterable[Action]) -> None:
        """Carry out the decider's actions."""
        for action in actions:
            match action:
                case SendMessage(peer, message):
                    self._send(peer, message)
                case OpenLink(peer, host, port):
                    self._table.open(peer, host, port, CONTROL)
                case CloseLink(peer, reason):
                    self._table.close(peer, CONTROL, reason)
                case NotifySubscribers(item):
                    self._notify_subscribers(item)
        self._schedule_flush()

    def _send(self, peer: str, message: Message) -> None:
        """Send a message; on a blocked link only items, as others are repeated."""
        link = self._table.get(peer, CONTROL)
        if link is None or (link.is_blocked and not isinstance(message, Items)):
            return
        link.send(message)

    def _notify_subscribers(self, item: GossipItem) -> None:
        """Call the subscribers; one that fails does not affect the others."""
        for callback in self._subscribers[item.kind]:
            try:
                callback(item)
            except Exception:
                log.exception(
                    "peers: a subscriber failed on an item of kind %s", item.kind
                )

    def _schedule_flush(self) -> None:
        """Schedule a flush, so that many changes share one message."""
        if self._flush_timer is None and self._running and self._decider.has_pending:
            self._flush_timer = self._reactor.callLater(FLUSH_DELAY, self._flush)

    def _flush(self) -> None:
        """Send the pending items over all links that are not blocked."""
        if self._flush_timer is not None and self._flush_timer.active():
            self._flush_timer.cancel()
        self._flush_timer = None
        for action in self._decider.flush(self._table.get_blocked(CONTROL)):
            self._send(action.peer, action.message)

    def _report_findings(self) -> None:
        """Count and log the errors found in messages."""
        for finding in self._decider.findings:
            self.counters.malformed += 1
            log.warning(
                "peers: ignored an invalid item or message: %s", format_finding(finding)
            )
        self._decider.findings.clear()

    def _stop_timers(self) -> None:
        """Stop all timers."""
        self._running = False
        if self._ticker.running:
            self._ticker.stop()
        for call in (self._start_timer, self._flush_timer):
            if call is not None and call.active():
                call.cancel()
        self._flush_timer = None
