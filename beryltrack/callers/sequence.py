"""A caller's connection that runs one message after the other.

What protocols of this kind share stands here: the order of messages, bounds on
what may wait, back-pressure, time limits, and leaving between two transactions.
How bytes are cut into messages and what a message asks for is the protocol's part.
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

from beryltrack.wire.line_buffer import MalformedMessage
from beryltrack.wire.messages import Producer, TransactionStatus
from beryltrack.wire.sockets import SocketLimits, tune_socket

log = logging.getLogger(__name__)


class CallerLimits(Interface):
    """What bounds a caller's connection; all in seconds or messages.

    `stall` is how long an answer may stay unread, `waiting` how many statements
    may wait, `transaction_idle` how long a transaction may rest, 0 for ever.
    """

    stall_timeout: float
    max_pending: int
    get_idle_timeout: Callable[[], float]
    sockets: SocketLimits


class SessionHandler(Interface):
    """What keeps something for the callers of a factory."""

    def drop_session(self, caller: "SequentialCaller") -> None:
        """Give up all that is kept for a caller that is gone."""


@implementer(IPushProducer)
class SequentialCaller(Protocol):
    """One caller's connection; a protocol adds how it reads and answers.

    Parameters
    ----------
    factory : SequentialFactory
        What all callers share.
    """

    def __init__(self, factory: "SequentialFactory"):
        self.status = TransactionStatus.IDLE
        self.is_closed = False
        self._factory = factory
        self._waiting: deque[bytes] = deque()
        self._is_running = False
        self._is_leaving = False
        self._is_finishing = False
        self._is_full = False
        self._producer: Producer | None = None
        self._on_gone: Callable[[], object] | None = None
        self._timer = None

    @property
    def in_transaction(self) -> bool:
        """True while the caller has a transaction open."""
        return self.status is not TransactionStatus.IDLE

    def split_messages(self, data: bytes) -> list[bytes]:
        """Return the messages that are complete now.

        Raises
        ------
        MalformedMessage
            If the bytes are none.
        """
        raise NotImplementedError

    def handle_message(self, message: bytes) -> "Deferred[None] | None":
        """Take one message; return its run if it is not answered at once."""
        raise NotImplementedError

    def connectionMade(self) -> None:  # noqa: N802
        """Take a new caller."""
        tune_socket(self.transport, self._factory.limits.sockets)
        self.transport.registerProducer(self, True)
        self._factory.callers.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take messages; the next one is run when the one before is answered."""
        try:
            self._waiting.extend(self.split_messages(data))
        except MalformedMessage:
            self.transport.abortConnection()
            return
        if len(self._waiting) > self._factory.limits.max_pending:
            self.transport.abortConnection()
            return
        self._go_on()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Note that the caller is gone."""
        self.is_closed = True
        self._stop_timer()
        self._waiting.clear()
        self._factory.callers.discard(self)
        if self._producer is not None:
            self._producer.resumeProducing()
        callback, self._on_gone = self._on_gone, None
        if callback is not None:
            callback()
        if not self._is_running:
            self._factory.handler.drop_session(self)
        self._factory.note_gone()

    def leave(self) -> None:
        """End the connection as soon as no transaction is open."""
        self._is_leaving = True
        self._end_if_idle()

    def finish(self) -> None:
        """End the connection as soon as what runs is answered.

        A transaction that is open between two statements is rolled back.
        """
        self._is_finishing = True
        self._end_if_idle()

    def abort(self) -> None:
        """End the connection at once."""
        self.transport.abortConnection()

    def write(self, data: bytes) -> None:
        """Send messages; dropped when the caller is gone."""
        if not self.is_closed:
            self.transport.write(data)

    def set_close_callback(self, callback: Callable[[], object] | None) -> None:
        """Call `callback` when the caller disconnects; at once if it has."""
        self._on_gone = callback
        if self.is_closed and callback is not None:
            callback()

    def attach(self, producer: Producer) -> None:
        """Pause `producer` while the caller is slow."""
        self._producer = producer
        if self._is_full:
            producer.pauseProducing()

    def detach(self) -> None:
        """Forget the producer."""
        self._producer = None

    def pauseProducing(self) -> None:  # noqa: N802
        """Told by the transport that its buffer is full."""
        self._is_full = True
        if self._producer is not None:
            self._producer.pauseProducing()
        self._start_timer(self._factory.limits.stall_timeout)

    def resumeProducing(self) -> None:  # noqa: N802
        """Told by the transport that its buffer has drained."""
        self._is_full = False
        self._stop_timer()
        if self._producer is not None:
            self._producer.resumeProducing()
        self._go_on()

    def stopProducing(self) -> None:  # noqa: N802
        """Told by the transport that it is closed."""

    def _go_on(self) -> None:
        """Take the next message if none is being answered."""
        while self._waiting and not (
            self._is_running or self._is_full or self.is_closed
        ):
            self._stop_timer()
            self._is_running = True
            running = self.handle_message(self._waiting.popleft())
            if running is None:
                self._is_running = False
                continue
            running.addErrback(self._fail)
            running.addCallback(lambda _: self._finish())

    def _fail(self, failure: Failure) -> None:
        """End the connection after a defect: what its statement did is not known."""
        log.error("callers: A statement met a defect: %s", failure.getTraceback())
        self.transport.abortConnection()

    def _finish(self) -> None:
        """Go on after a statement."""
        self._is_running = False
        if self.is_closed:
            self._factory.handler.drop_session(self)
            return
        if self.in_transaction:
            self._start_timer(self._factory.limits.get_idle_timeout())
        self._end_if_idle()
        self._go_on()

    def _end_if_idle(self) -> None:
        """End a caller that is to leave, between two transactions or statements."""
        if self.is_closed or self._is_running:
            return
        is_idle = not (self.in_transaction or self._waiting)
        if self._is_finishing or (self._is_leaving and is_idle):
            self.transport.loseConnection()

    def _start_timer(self, delay: float) -> None:
        """End the connection after a time, unless it goes on before."""
        self._stop_timer()
        if delay:
            reactor = self._factory.reactor
            self._timer = reactor.callLater(delay, self.transport.abortConnection)

    def _stop_timer(self) -> None:
        """Do not end the connection."""
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()


class SequentialFactory(Factory):
    """Takes callers' connections.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    handler : SessionOwner
        Runs the statements.
    limits : CallerLimits
        What bounds each connection.
    """

    noisy = False
    protocol = SequentialCaller

    def __init__(self, reactor, handler: SessionHandler, limits: CallerLimits):
        self.reactor = reactor
        self.handler = handler
        self.limits = limits
        self.callers: set[SequentialCaller] = set()
        self.is_finishing = False
        self._left: Deferred[None] | None = None

    @property
    def transaction_count(self) -> int:
        """Number of callers with a transaction open."""
        return sum(caller.in_transaction for caller in self.callers)

    def buildProtocol(self, addr) -> SequentialCaller:  # noqa: N802
        """Return the connection of one more caller."""
        return self.protocol(self)

    def leave(self) -> "Deferred[None]":
        """End all callers between two transactions; fires when all are gone.

        Those that connect later are served until `finish`: the balancer still sends
        some where most instances of a zone leave.
        """
        self._left = Deferred()
        for caller in tuple(self.callers):
            caller.leave()
        self.note_gone()
        return self._left

    def finish(self) -> None:
        """End all callers as soon as what they have sent is answered; take no more."""
        self.is_finishing = True
        for caller in tuple(self.callers):
            caller.finish()

    def abort(self) -> None:
        """End all callers at once."""
        for caller in tuple(self.callers):
            caller.abort()

    def note_gone(self) -> None:
        """Tell who waits once the last caller is gone."""
        if self._left is not None and not (self.callers or self._left.called):
            self._left.callback(None)
