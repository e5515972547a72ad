"""A connection to a target that runs one statement at a time, for any wire protocol.

Anything but exactly one complete answer to the statement in flight closes the
connection for good, so that a late or partial answer cannot reach another caller.
Subclasses parse the wire protocol.
"""

import math
from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from beryltrack.connections.messages import RunObserver, TargetLost
from beryltrack.load.messages import DEFAULT_DEMAND
from beryltrack.load.reports import TimedReport
from beryltrack.wire.flow_control import PausableReader
from beryltrack.wire.line_buffer import MalformedMessage
from beryltrack.wire.messages import ResponseEnd, ResponseSink
from beryltrack.wire.sockets import SocketLimits, tune_socket


class ExclusiveConnection(PausableReader, Protocol):
    """A connection that one request holds; see `PooledConnection`.

    Parameters
    ----------
    start : bytes
        The first message to the target.
    limits : SocketLimits
        TCP timeouts after which a silent target counts as lost.
    seconds : callable
        The instance's clock.
    account : str
        Account to which the connection belongs.
    """

    def __init__(
        self,
        start: bytes,
        limits: SocketLimits,
        seconds: Callable[[], float],
        account: str = "",
    ):
        self.account = account
        self.broken = False
        self.ready: Deferred[ExclusiveConnection] = Deferred()
        self.closed: Deferred[None] = Deferred()
        self.run_since: float | None = None
        self.run_until = math.inf
        self.last_run_time = 0.0
        # Owner through which the connection goes; empty if direct.
        self.via = ""
        self.last_received_at = -math.inf
        # True if the owner need not count the account's next operation.
        self.is_counted = False
        # Demand of the next operation, to be sent to the owner.
        self.demand = DEFAULT_DEMAND
        # Incarnation of the owner's process if it understands demands; else zero.
        self.incarnation = 0
        # The last ACCOUNT message that was sent to the owner.
        self.account_message = b""
        # Called with each load report of the owner, and with the time at which the
        # statement was sent whose answer the report came with.
        self.on_report: Callable[[TimedReport, float], object] = lambda report, since: (
            None
        )
        # Observes the statements of the operation that holds the connection, if any.
        self.observer: RunObserver | None = None
        # Called if the owner reports that it does not reach the database, or (with
        # True) that it no longer lends connections to any database of the group.
        self.on_target_unreachable: Callable[[bool], object] = lambda has_left: None
        self._start = start
        self._limits = limits
        self._seconds = seconds
        self._sink: ResponseSink | None = None
        self._answer: Deferred[ResponseEnd] | None = None

    @property
    def busy(self) -> bool:
        """True while a statement runs on the connection."""
        return self._answer is not None

    def receive_bytes(self, data: bytes) -> None:
        """Parse bytes from the target.

        Raises
        ------
        MalformedMessage
            If they are no answer to the statement in flight.
        """
        raise NotImplementedError

    def connectionMade(self) -> None:  # noqa: N802
        """Send the first message."""
        tune_socket(self.transport, self._limits)
        self.transport.write(self._start)

    def send(
        self, wire: bytes, sink: ResponseSink, limit: float = math.inf
    ) -> "Deferred[ResponseEnd]":
        """Send one statement and stream its answer.

        Parameters
        ----------
        wire : bytes
            The statement, with the messages that precede it.
        sink : ResponseSink
            Receives the rows as they arrive.
        limit : float
            Seconds after which the statement counts as overdue, so that the connection
            may be closed.

        Returns
        -------
        Deferred of ResponseEnd
            The end of the answer. Fails with `TargetLost`.
        """
        answer: Deferred[ResponseEnd] = Deferred(lambda _: self.close())
        if self.broken or self.busy:
            answer.errback(TargetLost(False, "the connection is closed"))
            return answer
        self._sink = sink
        self._answer = answer
        self.run_since = self._seconds()
        self.run_until = self.run_since + limit
        if self.observer is not None:
            self.observer.observe_start()
            answer.addBoth(self._notify_end, self.observer, self.run_since)
        sink.attach(self)
        self.transport.write(wire)
        return answer

    def finish_run(self) -> "Deferred[ResponseEnd]":
        """Free the connection for the next statement and return this one's Deferred."""
        answer, self._answer = self._answer, None
        self._sink.detach()
        self._sink = None
        if self._is_paused:
            self.resumeProducing()
        self.last_run_time = self._seconds() - self.run_since
        self.run_since = None
        return answer

    def _notify_end(
        self, end: ResponseEnd | Failure, observer: RunObserver, since: float
    ) -> ResponseEnd | Failure:
        """Notify the observer that a statement has ended."""
        observer.observe_end(self._seconds() - since, end)
        return end

    def close(self) -> None:
        """Close the connection; a statement that runs fails with `TargetLost`."""
        self.broken = True
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process bytes from the target; a malformed message ends the connection."""
        self.last_received_at = self._seconds()
        try:
            self.receive_bytes(data)
        except MalformedMessage:
            self.close()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Fail what waits for the connection, as it has ended."""
        self.broken = True
        text = reason.getErrorMessage()
        if not self.ready.called:
            self.ready.errback(ConnectionError(text))
        if self._answer is not None:
            answer = self.finish_run()
            # A cancelled statement has failed already.
            if not answer.called:
                answer.errback(TargetLost(True, text))
        self.closed.callback(None)
