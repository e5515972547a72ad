"""Task that forwards requests to owners and runs the requests of other proxies.

In a small fleet each proxy owns every group and nothing is forwarded. In a fleet too
large for a database's connections, `get_owners` names some proxies, and the others
forward requests to them. Forwarding has links of its own beside the control links,
so that large answers do not delay heartbeats.
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
"""Seconds between two checks of the deadlines."""


class ForwardSink(Protocol):
    """Receives the answer to a forwarded request."""

    def write(self, data: bytes) -> None:
        """Receive a part of the answer; `ForwardStream.consume` requests more."""

    def finish(self, result: ForwardResult) -> None:
        """Receive the result of the request; nothing follows."""


class ForwardHandler(Protocol):
    """Runs requests that other proxies forwarded."""

    def run(self, start: StartRequest, writer: "ForwardWriter") -> Deferred:
        """Run a request.

        Returns
        -------
        Deferred of ForwardResult
            Cancelled if the request is cancelled or its link is lost. A failure
            counts as `UNKNOWN`.
        """


class ForwardStream:
    """Handle of a request that this proxy has forwarded.

    Parameters
    ----------
    forwarder : Forwarder
        The forwarder that returned it.
    number : int
        Number of the stream.
    """

    def __init__(self, forwarder: "Forwarder", number: int):
        self._forwarder = forwarder
        self._number = number

    def consume(self, size: int) -> None:
        """Report that `size` bytes of the answer were sent to the caller."""
        self._forwarder.consume(self._number, size)

    def cancel(self) -> None:
        """Cancel the request; its sink still receives the result."""
        self._forwarder.cancel(self._number)


class ForwardWriter:
    """Sends the answer to a request that runs here for another proxy.

    Parameters
    ----------
    forwarder : Forwarder
        The forwarder of the stream.
    key : StreamKey
        The stream of the request.
    """

    def __init__(self, forwarder: "Forwarder", key: StreamKey):
        self._forwarder = forwarder
        self._key = key
        self._ready: list[Deferred] = []

    def write(self, data: bytes) -> None:
        """Send a part of the answer; await `wait_ready` before the next one."""
        self._forwarder.write(self._key, data)

    def wait_ready(self) -> Deferred:
        """Return a Deferred that fires once no part of the answer is queued."""
        if not self._forwarder.has_pending(self._key):
            return succeed(None)
        waiting = Deferred()
        self._ready.append(waiting)
        return waiting

    def resume(self) -> None:
        """Fire the Deferreds that `wait_ready` returned."""
        ready, self._ready = self._ready, []
        for waiting in ready:
            waiting.callback(None)


class Forwarder:
    """Forwards requests, and runs those of other proxies.

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
        self._ticker = LoopingCall(self._tick)
        self._ticker.clock = reactor

    @property
    def stream_count(self) -> int:
        """The number of streams in both directions that have not ended."""
        return self._client.stream_count + self._server.stream_count

    def start(self) -> None:
        """Register for the forwarding links and start the timer."""
        self._peers.set_link_handler(FORWARDING, self)
        self._peers.subscribe(MEMBER_KIND, self._observe_member)
        self._ticker.start(TICK_PERIOD)

    def leave(self) -> None:
        """Refuse new requests of other proxies; running ones are finished."""
        self._server.leave()

    def stop(self) -> None:
        """Stop the timer and cancel the requests of other proxies."""
        if self._ticker.running:
            self._ticker.stop()
        for running, _ in tuple(self._running.values()):
            running.cancel()

    def is_owner(self, group: str) -> bool:
        """Return whether this proxy runs a group's requests itself."""
        return self._peers.name in self._get_owners(group)

    def forward(
        self, group: str, request: bytes, deadline: float, sink: ForwardSink
    ) -> ForwardStream:
        """Forward a request to an owner of its group.

        Parameters
        ----------
        group : str
            The database group.
        request : bytes
            The request.
        deadline : float
            Time by which it has to reach a target, seconds of this process's
            monotonic clock.
        sink : ForwardSink
            Receives the answer and the result.

        Returns
        -------
        ForwardStream
            Handle for flow control and cancellation.
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
        """Return whether a part of an answer is queued."""
        return self._server.has_pending(key)

    def handle_link_opened(self, link: PeerLink) -> None:
        """Start to use a forwarding link whose peer is authenticated."""
        peer = link.peer.name
        self._carry_out(self._server.handle_link_opened(peer))
        self._carry_out(self._client.handle_link_opened(peer, self._seconds()))

    def handle_message(self, link: PeerLink, message: Message) -> None:
        """Handle a message of a peer."""
        peer = link.peer.name
        if isinstance(message, ForwardData | ForwardEnd):
            self._carry_out(self._client.receive(peer, message))
        elif isinstance(message, ForwardMessage):
            now = self._seconds()
            self._carry_out(self._server.receive(peer, message, now))
        else:
            log.warning(
                "peers: dropped a message of %s that does not belong on a forwarding "
                "link",
                peer,
            )

    def handle_link_writable(self, link: PeerLink) -> None:
        """Send what was queued while a link was blocked."""
        peer = link.peer.name
        self._client.set_blocked(peer, False)
        self._carry_out(self._server.set_blocked(peer, False))

    def handle_link_closed(self, link: PeerLink, orderly: bool) -> None:
        """End the streams of a forwarding link that has closed."""
        self._end_streams(link.peer.name)

    def handle_connect_failure(self, peer: str, purpose: str) -> None:
        """Try the next owner after a forwarding link could not be opened."""
        self._carry_out(self._client.handle_connect_failure(peer, self._seconds()))

    def _end_streams(self, peer: str) -> None:
        """End the streams of a lost link, in both directions."""
        self._carry_out(self._client.handle_link_closed(peer))
        self._carry_out(self._server.handle_link_closed(peer))

    def _tick(self) -> None:
        """Refuse the waiting requests whose deadline has passed."""
        self._carry_out(self._client.tick(self._seconds()))

    def _observe_member(self, item: GossipItem) -> None:
        """Break the link to a member that has left or is dead."""
        member = next((m for m in self._peers.members if m.name == item.key), None)
        if member is not None and member.state in GONE_STATES:
            self._carry_out(self._client.handle_dead_peer(item.key))

    def _update_blocked(self, peers: tuple[str, ...]) -> None:
        """Mark the links that are blocked now as blocked in both directions."""
        links = ((peer, self._peers.get_link(peer, FORWARDING)) for peer in peers)
        for peer, link in links:
            if link is not None and link.is_blocked:
                self._client.set_blocked(peer, True)
                self._server.set_blocked(peer, True)

    def _carry_out(self, actions: list[ForwardAction]) -> None:
        """Carry out the actions of the client and the server side."""
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
        """Send a message; drop it if the link is lost, as its stream ends then."""
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
        """Abort a link; the link table reports the loss."""
        link = self._peers.get_link(peer, FORWARDING)
        log.warning("peers: aborting the forwarding link to %s: %s", peer, reason)
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
        """Cancel a request of another proxy, and release a writer that waits."""
        if key in self._running:
            running, writer = self._running[key]
            writer.resume()
            running.cancel()

    def _finish(self, result: ForwardResult, key: StreamKey) -> None:
        """Send the result of a request to its peer."""
        self._running.pop(key, None)
        self._carry_out(self._server.finish(key, result))


def _make_failure_result(failure) -> ForwardResult:
    """Return `UNKNOWN` for a failed run, which may have had its effect."""
    if not failure.check(CancelledError):
        log.error(
            "peers: running a forwarded request failed, its outcome is unknown: %s",
            failure.getTraceback(),
        )
    return ForwardResult(ForwardOutcome.UNKNOWN, "the owner could not finish it")
