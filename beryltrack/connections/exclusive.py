"""A connection to a target that runs one statement at a time.

Whatever is not exactly one whole answer to the one statement in flight breaks the
connection: it is closed and never used again, so that an answer that is late or partial
cannot reach another caller. How bytes are told apart is the wire protocol's part.
"""

import math
from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from beryltrack.connections.messages import RunObserver, TargetLost
from beryltrack.load.messages import DEFAULT_DEMAND
from beryltrack.load.reports import TimedReport
from beryltrack.wire.line_buffer import MalformedMessage
from beryltrack.wire.messages import ResponseEnd, ResponseSink
from beryltrack.wire.sockets import SocketLimits, tune_socket


class ExclusiveConnection(Protocol):
    """A connection that one request holds; see `PooledConnection`.

    Parameters
    ----------
    start : bytes
        What is sent first.
    limits : SocketLimits
        When a silent target is given up.
    seconds : callable
        The node's time.
    account : str
        Whose statements it runs.
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
        self.via = ""  # The instance that it goes through, if any.
        self.last_received_at = -math.inf
        # True if that instance need not count the next operation of the account.
        self.is_counted = False
        # What the next operation asks for, as that instance is told.
        self.demand = DEFAULT_DEMAND
        # Number of that instance's process if it understands demands; else zero.
        self.incarnation = 0
        # Whose statement that instance was last told.
        self.account_message = b""
        # Called with what that instance tells of its load, and with when the statement
        # was sent that it came with an answer to.
        self.on_report: Callable[[TimedReport, float], object] = lambda told, since: (
            None
        )
        # Who follows the statements of the operation that it is lent for, if any.
        self.observer: RunObserver | None = None
        # Called if that instance says that it does not reach the database, or (True)
        # that it gives connections to none of the group's.
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
        """Take bytes of the target.

        Raises
        ------
        MalformedMessage
            If they are no answer to what runs.
        """
        raise NotImplementedError

    def connectionMade(self) -> None:  # noqa: N802
        """Ask for the database."""
        tune_socket(self.transport, self._limits)
        self.transport.write(self._start)

    def send(
        self, wire: bytes, sink: ResponseSink, limit: float = math.inf
    ) -> "Deferred[ResponseEnd]":
        """Send one statement and stream its answer.

        Parameters
        ----------
        wire : bytes
            The statement, with what goes before it.
        sink : ResponseSink
            Takes the rows as they come.
        limit : float
            Seconds after which whoever watches the runs may close the connection.

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
            answer.addBoth(self._tell_end, self.observer, self.run_since)
        sink.attach(self)
        self.transport.write(wire)
        return answer

    def end_run(self) -> "Deferred[ResponseEnd]":
        """Be free for the next statement; return who waits for this one."""
        answer, self._answer = self._answer, None
        self._sink.detach()
        self._sink = None
        self.run_since = None
        return answer

    def _tell_end(
        self, end: ResponseEnd | Failure, observer: RunObserver, since: float
    ) -> ResponseEnd | Failure:
        """Tell who follows a statement that it has ended."""
        observer.observe_end(self._seconds() - since, end)
        return end

    def close(self) -> None:
        """Close the connection; what it ran ends as lost."""
        self.broken = True
        if self.transport is not None:
            self.transport.abortConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        """Read no more until the sink has room."""
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read again."""
        if not self.broken:
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes of the target; what is malformed ends the connection."""
        self.last_received_at = self._seconds()
        try:
            self.receive_bytes(data)
        except MalformedMessage:
            self.close()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Tell whoever waits that the connection is gone."""
        self.broken = True
        text = reason.getErrorMessage()
        if not self.ready.called:
            self.ready.errback(ConnectionError(text))
        if self._answer is not None:
            answer = self.end_run()
            # Whoever gave it up was told so already.
            if not answer.called:
                answer.errback(TargetLost(True, text))
        self.closed.callback(None)
