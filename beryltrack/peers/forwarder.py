"""The task that passes requests on to owners and runs those of other proxies.

With few proxies each of them owns every group and nothing is forwarded. Beyond
the number that a database's connections can feed, `get_owners` names a part of
them, and the others pass requests on over links of their own purpose, beside
the control links, so that large answers hold up no heartbeat.
"""

import logging
from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import CancelledError, Deferred, succeed
from twisted.internet.task import LoopingCall

from beryltrack.clock import get_monotonic_clock
from beryltrack.peers.forward_client import ForwardClient
from beryltrack.peers.forward_messages import (
    BreakForwardLink,
    CancelRequest,
    DeliverData,
    FinishStream,
    ForwardAction,
    ForwardData,
    ForwardEnd,
    ForwardMessage,
    ForwardOutcome,
    ForwardResult,
    OpenForwardLink,
    ResumeRequest,
    SendForward,
    StartRequest,
    StreamKey,
)
from beryltrack.peers.forward_server import ForwardServer
from beryltrack.peers.link import PeerLink
from beryltrack.peers.messages import (
    FORWARDING,
    GONE_STATES,
    MEMBER_KIND,
    GossipItem,
    Message,
)
from beryltrack.peers.task import PeerTask

log = logging.getLogger(__name__)

TICK_PERIOD = 0.1


class ForwardSink(Protocol):
    """Who takes the answer to a forwarded request."""

    def write(self, data: bytes) -> None:
        """Take a part of the answer; `ForwardStream.consume` asks for more."""

    def finish(self, result: ForwardResult) -> None:
        """Take what came of the request; nothing follows."""


class ForwardHandler(Protocol):
    """Who runs requests that other proxies forwarded."""

    def run(self, start: StartRequest, writer: "ForwardWriter") -> Deferred:
        """Run a request.

        Returns
        -------
        Deferred of ForwardResult
            Cancelled if the caller is gone. A failure counts as `UNKNOWN`.
        """


class ForwardStream:
    """A request that was passed on, for whoever passed it on.

    Parameters
    ----------
    forwarder : Forwarder
        Its forwarder.
    number : int
        Number of the stream.
    """

    def __init__(self, forwarder: "Forwarder", number: int):
        self._forwarder = forwarder
        self._number = number

    def consume(self, size: int) -> None:
        """Say that so many bytes of the answer have gone to the caller."""
        self._forwarder.consume(self._number, size)

    def cancel(self) -> None:
        """Cancel the request; its sink still hears what came of it."""
        self._forwarder.cancel(self._number)


class ForwardWriter:
    """Takes the answer to a request that runs here for another proxy.

    Parameters
    ----------
    forwarder : Forwarder
        Its forwarder.
    key : StreamKey
        Whose request it is.
    """

    def __init__(self, forwarder: "Forwarder", key: StreamKey):
        self._forwarder = forwarder
        self._key = key
        self._ready: list[Deferred] = []

    def write(self, data: bytes) -> None:
        """Send a part of the answer; wait with more until `wait_ready` fires."""
        self._forwarder.write(self._key, data)

    def wait_ready(self) -> Deferred:
        """Return a Deferred that fires once the peer takes more."""
        if not self._forwarder.has_pending(self._key):
            return succeed(None)
        waiting = Deferred()
        self._ready.append(waiting)
        return waiting

    def resume(self) -> None:
        """Fire what `wait_ready` returned."""
        ready, self._ready = self._ready, []
        for waiting in ready:
            waiting.callback(None)


class Forwarder:
    """Passes requests on, and runs those of other proxies.

    Parameters
    ----------
    reactor : IReactorTime
        Clock of the deadlines.
    peers : PeerTask
        The peers.
    handler : ForwardHandler
        Runs the requests of other proxies.
    get_owners : callable
        Returns the names of a group's owners in the order of their rank.
    """

    def __init__(
        self,
        reactor,
        peers: PeerTask,
        handler: ForwardHandler,
        get_owners: Callable[[str], tuple[str, ...]],
    ):
        self._seconds = get_monotonic_clock(reactor)
        self._peers = peers
        self._handler = handler
        self._get_owners = get_owners
        self._client = ForwardClient()
        self._server = ForwardServer()
        self._sinks: dict[int, ForwardSink] = {}
        self.forwarded_count = 0
        self._running: dict[StreamKey, tuple[Deferred, ForwardWriter]] = {}
        self._ticking = LoopingCall(self._tick)
        self._ticking.clock = reactor

    @property
    def stream_count(self) -> int:
        """The number of streams in both directions that have not ended."""
        return self._client.stream_count + self._server.stream_count

    def start(self) -> None:
        """Take the forwarding links of the peers."""
        self._peers.set_link_handler(FORWARDING, self)
        self._peers.subscribe(MEMBER_KIND, self._observe_member)
        self._ticking.start(TICK_PERIOD)

    def leave(self) -> None:
        """Refuse new requests of other proxies; those that run are finished."""
        self._server.leave()

    def stop(self) -> None:
        """Stop the timer and cancel what runs for other proxies."""
        if self._ticking.running:
            self._ticking.stop()
        for running, _ in tuple(self._running.values()):
            running.cancel()

    def is_owner(self, group: str) -> bool:
        """Return whether this proxy runs a group's requests itself."""
        return self._peers.name in self._get_owners(group)

    def forward(
        self, group: str, request: bytes, deadline: float, sink: ForwardSink
    ) -> ForwardStream:
        """Pass a request on to an owner of its group.

        Parameters
        ----------
        group : str
            The database group.
        request : bytes
            The request.
        deadline : float
            Time by which it has to reach a target, seconds of the
            node's time.
        sink : ForwardSink
            Who takes the answer.

        Returns
        -------
        ForwardStream
            To take the answer and to cancel.
        """
        owners = tuple(n for n in self._get_owners(group) if n != self._peers.name)
        now = self._seconds()
        self._update_blocked(owners)
        number, actions = self._client.forward(owners, group, request, deadline, now)
        self._sinks[number] = sink
        self.forwarded_count += 1
        self._carry_out(actions)
        return ForwardStream(self, number)

    def consume(self, number: int, size: int) -> None:
        """See `ForwardStream.consume`."""
        self._carry_out(self._client.consume(number, size))

    def cancel(self, number: int) -> None:
        """See `ForwardStream.cancel`."""
        self._carry_out(self._client.cancel(number))

    def write(self, key: StreamKey, data: bytes) -> None:
        """See `ForwardWriter.write`."""
        self._update_blocked((key.peer,))
        self._carry_out(self._server.write(key, data))

    def has_pending(self, key: StreamKey) -> bool:
        """Return whether a part of an answer waits to be sent."""
        return self._server.has_pending(key)

    def handle_link_opened(self, link: PeerLink) -> None:
        """Take a forwarding link whose peer is proved."""
        peer = link.peer.name
        self._carry_out(self._server.handle_link_opened(peer))
        self._carry_out(self._client.handle_link_opened(peer, self._seconds()))

    def handle_message(self, link: PeerLink, message: Message) -> None:
        """Take a message of a peer."""
        peer = link.peer.name
        if isinstance(message, ForwardData | ForwardEnd):
            self._carry_out(self._client.receive(peer, message))
        elif isinstance(message, ForwardMessage):
            now = self._seconds()
            self._carry_out(self._server.receive(peer, message, now))
        else:
            log.warning("peers: %s sent what is not for forwarding", peer)

    def handle_link_writable(self, link: PeerLink) -> None:
        """Send what waited while a link was stuck."""
        peer = link.peer.name
        self._client.set_blocked(peer, False)
        self._carry_out(self._server.set_blocked(peer, False))

    def handle_link_closed(self, link: PeerLink, orderly: bool) -> None:
        """Take that a forwarding link has closed."""
        self._end_streams(link.peer.name)

    def handle_connect_failure(self, peer: str, purpose: str) -> None:
        """Take that a forwarding link could not be opened."""
        self._carry_out(self._client.handle_connect_failure(peer, self._seconds()))

    def _end_streams(self, peer: str) -> None:
        """End the streams of a link that is gone."""
        self._carry_out(self._client.handle_link_closed(peer))
        self._carry_out(self._server.handle_link_closed(peer))

    def _tick(self) -> None:
        """Refuse what waited too long."""
        self._carry_out(self._client.tick(self._seconds()))

    def _observe_member(self, item: GossipItem) -> None:
        """Break the link to a member that is gone."""
        member = next((m for m in self._peers.members if m.name == item.key), None)
        if member is not None and member.state in GONE_STATES:
            self._carry_out(self._client.handle_dead_peer(item.key))

    def _update_blocked(self, peers: tuple[str, ...]) -> None:
        """Tell the deciders which links take no messages now."""
        links = ((peer, self._peers.get_link(peer, FORWARDING)) for peer in peers)
        for peer, link in links:
            if link is not None and link.is_blocked:
                self._client.set_blocked(peer, True)
                self._server.set_blocked(peer, True)

    def _carry_out(self, actions: list[ForwardAction]) -> None:
        """Do what the deciders asked for."""
        for action in actions:
            match action:
                case SendForward(peer, message):
                    self._send(peer, message)
                case OpenForwardLink(peer):
                    self._open_link(peer)
                case BreakForwardLink(peer, reason):
                    self._break_link(peer, reason)
                case DeliverData(stream, data):
                    self._sinks[stream].write(data)
                case FinishStream(stream, result):
                    self._sinks.pop(stream).finish(result)
                case StartRequest():
                    self._start(action)
                case CancelRequest(key):
                    self._cancel(key)
                case ResumeRequest(key):
                    if key in self._running:
                        self._running[key][1].resume()

    def _send(self, peer: str, message: ForwardMessage) -> None:
        """Send a message; without a link its stream ends with the link."""
        link = self._peers.get_link(peer, FORWARDING)
        if link is not None:
            link.send(message)

    def _open_link(self, peer: str) -> None:
        """Open a link to an owner."""
        member = next((m for m in self._peers.members if m.name == peer), None)
        if member is None:
            self.handle_connect_failure(peer, FORWARDING)
        else:
            self._peers.open_link(member, FORWARDING)

    def _break_link(self, peer: str, reason: str) -> None:
        """Break a link; the table reports the loss."""
        link = self._peers.get_link(peer, FORWARDING)
        log.warning("peers: forwarding link to %s broken: %s", peer, reason)
        if link is not None:
            link.abort()

    def _start(self, start: StartRequest) -> None:
        """Run a request for another proxy."""
        writer = ForwardWriter(self, start.key)
        running = self._handler.run(start, writer)
        self._running[start.key] = (running, writer)
        running.addErrback(_make_failure_result)
        running.addCallback(self._finish, start.key)

    def _cancel(self, key: StreamKey) -> None:
        """Cancel a request of another proxy, and let go what waits to write."""
        if key in self._running:
            running, writer = self._running[key]
            writer.resume()
            running.cancel()

    def _finish(self, result: ForwardResult, key: StreamKey) -> None:
        """Tell the peer what came of its request."""
        self._running.pop(key, None)
        self._carry_out(self._server.finish(key, result))


def _make_failure_result(failure) -> ForwardResult:
    """Return what a failed run means: it may have had its effect."""
    if not failure.check(CancelledError):
        log.error("peers: a forwarded request failed: %s", failure.getTraceback())
    return ForwardResult(ForwardOutcome.UNKNOWN, "the owner could not finish it")
