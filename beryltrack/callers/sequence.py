"""Base classes of connections that run their messages one after the other.

They implement message order, a bound on pending messages, back-pressure, timeouts and
shutdown between two transactions. A subclass splits bytes into messages and handles
each message.
"""

import logging
from collections import deque
from collections.abc import Callable
from typing import Protocol as Interface

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from beryltrack.wire.flow_control import SendBuffer
from beryltrack.wire.line_buffer import MalformedMessage
from beryltrack.wire.messages import Producer, TransactionStatus
from beryltrack.wire.sockets import SocketLimits, tune_socket

log = logging.getLogger(__name__)


class CallerLimits(Interface):
    """Limits of a caller's connection.

    `stall_timeout` is how long a response may stay unread, seconds; `max_pending` how
    many messages may be pending; `get_idle_timeout` returns how long a transaction may
    stay idle, seconds, with 0 for no limit; `sockets` holds the TCP settings.
    """

    stall_timeout: float
    max_pending: int
    get_idle_timeout: Callable[[], float]
    sockets: SocketLimits


class SessionHandler(Interface):
    """Keeps session state for the callers of a factory."""

    def drop_session(self, caller: "SequentialCaller") -> None:
        """Release the state kept for a caller that has disconnected."""


@implementer(IPushProducer)
class SequentialCaller(Protocol):
    """One caller's connection; subclasses split and handle its messages.

    Parameters
    ----------
    factory : SequentialFactory
        Shared state of the callers.
    """

    def __init__(self, factory: "SequentialFactory"):
        self.status = TransactionStatus.IDLE
        self.is_closed = False
        self._factory = factory
        self._pending: deque[bytes] = deque()
        self._is_running = False
        self._is_leaving = False
        self._is_closing = False
        self._output = SendBuffer(
            factory.reactor, factory.limits.stall_timeout, self.abort
        )
        self._on_close: Callable[[], object] | None = None
        self._timer = None

    @property
    def in_transaction(self) -> bool:
        """True while the caller has a transaction open."""
        return self.status is not TransactionStatus.IDLE

    def split_messages(self, data: bytes) -> list[bytes]:
        """Buffer bytes and return the complete messages.

        Raises
        ------
        MalformedMessage
            If the bytes are not valid messages.
        """
        raise NotImplementedError

    def handle_message(self, message: bytes) -> "Deferred[None] | None":
        """Handle one message.

        Returns
        -------
        Deferred of None or None
            Fires when the message has been answered; None if it already has been.
        """
        raise NotImplementedError

    def connectionMade(self) -> None:  # noqa: N802
        """Register the caller and its socket options."""
        tune_socket(self.transport, self._factory.limits.sockets)
        self.transport.registerProducer(self, True)
        self._factory.callers.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Queue messages; each is run when the previous one has been answered."""
        try:
            self._pending.extend(self.split_messages(data))
        except MalformedMessage:
            self.transport.abortConnection()
            return
        if len(self._pending) > self._factory.limits.max_pending:
            self.transport.abortConnection()
            return
        self._run_next()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Drop pending messages and, when none is running, the session."""
        self.is_closed = True
        self._stop_timer()
        self._pending.clear()
        self._factory.callers.discard(self)
        self._output.drain()
        callback, self._on_close = self._on_close, None
        if callback is not None:
            callback()
        if not self._is_running:
            self._factory.handler.drop_session(self)
        self._factory.notify_if_empty()

    def leave(self) -> None:
        """Close the connection as soon as no transaction is open."""
        self._is_leaving = True
        self._close_if_idle()

    def abort(self) -> None:
        """Abort the connection."""
        self.transport.abortConnection()

    def write(self, data: bytes) -> None:
        """Send bytes to the caller; drop them if it has disconnected."""
        if not self.is_closed:
            self.transport.write(data)

    def set_close_callback(self, callback: Callable[[], object] | None) -> None:
        """Set the function to call on disconnect; call it now if that has happened."""
        self._on_close = callback
        if self.is_closed and callback is not None:
            callback()

    def attach(self, producer: Producer) -> None:
        """Pause `producer` while the caller reads too slowly."""
        self._output.attach(producer)

    def detach(self) -> None:
        """Release the producer: its answer has ended."""
        self._output.detach()

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause the producer: the transport's send buffer is full."""
        self._output.fill()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the producer: the transport's send buffer has drained."""
        self._output.drain()
        self._run_next()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; `connectionLost` reports the closed transport."""

    def _run_next(self) -> None:
        """Run pending messages until one is still running."""
        while self._pending and not (
            self._is_running or self._output.is_full or self.is_closed
        ):
            self._stop_timer()
            self._is_running = True
            running = self.handle_message(self._pending.popleft())
            if running is None:
                self._is_running = False
                continue
            running.addErrback(self._handle_failure)
            running.addCallback(lambda _: self._finish_message())
        self._close_if_idle()

    def _handle_failure(self, failure: Failure) -> None:
        """Abort the connection after an internal error; the outcome is unknown."""
        log.error(
            "callers: statement failed with an internal error; outcome unknown, "
            "connection aborted: %s",
            failure.getTraceback(),
        )
        self.transport.abortConnection()

    def _finish_message(self) -> None:
        """Continue after a message, or drop the session of a closed connection."""
        self._is_running = False
        if self.is_closed:
            self._factory.handler.drop_session(self)
            return
        if self.in_transaction:
            self._start_timer(self._factory.limits.get_idle_timeout())
        self._run_next()

    def _close_if_idle(self) -> None:
        """Close a leaving connection between two transactions."""
        is_busy = self._is_running or self._pending or self.in_transaction
        is_ending = self.is_closed or self._is_closing
        if self._is_leaving and not (is_busy or is_ending):
            self._is_closing = True
            # With a paused producer the connection would stay open once all is sent.
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def _start_timer(self, delay: float) -> None:
        """Abort the connection after `delay` seconds; zero sets no timer."""
        self._stop_timer()
        if delay:
            reactor = self._factory.reactor
            self._timer = reactor.callLater(delay, self.transport.abortConnection)

    def _stop_timer(self) -> None:
        """Cancel the active timer, if any."""
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()


class SequentialFactory(Factory):
    """Accepts callers' connections.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    handler : SessionHandler
        Keeps the callers' sessions and runs their statements.
    limits : CallerLimits
        Limits of each connection.
    """

    noisy = False
    protocol = SequentialCaller

    def __init__(self, reactor, handler: SessionHandler, limits: CallerLimits):
        self.reactor = reactor
        self.handler = handler
        self.limits = limits
        self.callers: set[SequentialCaller] = set()
        self.is_finishing = False
        self._all_closed: Deferred[None] | None = None

    @property
    def transaction_count(self) -> int:
        """Number of callers with a transaction open."""
        return sum(caller.in_transaction for caller in self.callers)

    def buildProtocol(self, addr) -> SequentialCaller:  # noqa: N802
        """Create the connection of a new caller."""
        return self.protocol(self)

    def leave(self) -> "Deferred[None]":
        """Close each connection between two transactions; fires when all are closed.

        New connections are served until `finish`, because the load balancer still sends
        some where most instances of an availability zone are leaving.
        """
        self._all_closed = Deferred()
        for caller in tuple(self.callers):
            caller.leave()
        self.notify_if_empty()
        return self._all_closed

    def finish(self) -> None:
        """Close each connection between two transactions, and accept no new sessions.

        Statements of open transactions are still handled, so that those which cannot
        be run are answered truly.
        """
        self.is_finishing = True
        for caller in tuple(self.callers):
            caller.leave()

    def abort(self) -> None:
        """Abort all connections."""
        for caller in tuple(self.callers):
            caller.abort()

    def notify_if_empty(self) -> None:
        """Fire the deferred of `leave` once the last connection is closed."""
        if self._all_closed is not None and not (
            self.callers or self._all_closed.called
        ):
            self._all_closed.callback(None)
