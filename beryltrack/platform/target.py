"""A connection to one database over the line protocol.

Whatever is not exactly one whole answer to the one statement in flight breaks the
connection: it is closed and never used again, so that an answer that is late or
partial cannot reach another caller.
"""

import itertools
import math
from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from beryltrack.clock import get_seconds
from beryltrack.connections.messages import ConnectRefused, TargetLost
from beryltrack.connections.opening import open_within
from beryltrack.errors import SqlError
from beryltrack.groups.samples import Sample
from beryltrack.platform import lines
from beryltrack.platform.codes import UNREACHABLE, decode_error
from beryltrack.sessions.kept import Shape
from beryltrack.settings.messages import Endpoint
from beryltrack.wire.line_buffer import LINE_END, LineBuffer, MalformedMessage
from beryltrack.wire.messages import ResponseEnd, ResponseSink
from beryltrack.wire.sockets import SocketLimits, tune_socket

PROXY_NAME = b"beryltrack"
"""Who connects, as databases are told; they accept any word."""


_USELESS = b"ERROR " + UNREACHABLE


class LineTarget(Protocol):
    """A connection to a database; see `PooledConnection`.

    Parameters
    ----------
    start : bytes
        The START message.
    limits : SocketLimits
        When a silent database is given up.
    seconds : callable
        The node's time.
    """

    def __init__(
        self, start: bytes, limits: SocketLimits, seconds: Callable[[], float]
    ):
        self.broken = False
        self.ready: Deferred[LineTarget] = Deferred()
        self.closed: Deferred[None] = Deferred()
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[Shape, bytes] = {}
        self.numbers = itertools.count(1)
        self._start = start
        self._limits = limits
        self._buffer = LineBuffer()
        self._sink: ResponseSink | None = None
        self._answer: Deferred[ResponseEnd] | None = None
        self._setups = 0
        self.run_since: float | None = None
        self.run_until = math.inf
        self.way = ""  # The instance that it goes through, if any.
        self.heard_at = -math.inf
        # Called if that instance says that it does not reach the database.
        self.on_useless: Callable[[], object] = lambda: None
        self._seconds = seconds
        self._clear()

    @property
    def busy(self) -> bool:
        """True while a statement runs on the connection."""
        return self._answer is not None

    def connectionMade(self) -> None:  # noqa: N802
        """Ask for the database."""
        tune_socket(self.transport, self._limits)
        self.transport.write(self._start)

    def run(
        self,
        wire: bytes,
        sink: ResponseSink,
        setups: int = 0,
        limit: float = math.inf,
    ) -> "Deferred[ResponseEnd]":
        """Send one statement and stream its answer.

        Parameters
        ----------
        wire : bytes
            Statements of the proxy's own, if any, then the one to run.
        sink : ResponseSink
            Takes the rows as they come.
        setups : int
            How many statements come before the one to run.
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
        self._setups = setups
        self._answer = answer
        self.run_since = self._seconds()
        self.run_until = self.run_since + limit
        sink.attach(self)
        self.transport.write(wire)
        return answer

    def close(self) -> None:
        """Close the connection; what it ran ends as lost."""
        self.broken = True
        if self.transport is not None:
            self.transport.abortConnection()

    def end_session(self) -> None:
        """Close the connection when all that was sent has gone out."""
        self.broken = True
        self.transport.write(b"TERMINATE\r\n")
        self.transport.loseConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        """Read no more until the sink has room."""
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read again."""
        if not self.broken:
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes of the database."""
        self.heard_at = self._seconds()
        try:
            for line in self._buffer.feed(data):
                self._take(line)
        except MalformedMessage:
            self.close()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Tell whoever waits that the connection is gone."""
        self.broken = True
        text = reason.getErrorMessage()
        if not self.ready.called:
            self.ready.errback(ConnectionError(text))
        if self._answer is not None:
            answer = self._end_run()
            # Whoever gave it up was told so already.
            if not answer.called:
                answer.errback(TargetLost(True, text))
        self.closed.callback(None)

    def _take(self, line: bytes) -> None:
        """Take one message."""
        word = line[: line.find(b" ")] if b" " in line else line
        if not self.ready.called:
            self._take_start(word, line)
        elif self._answer is None:
            raise lines.LineError("a message outside of an answer")
        elif word == lines.READY:
            self._take_ready(line)
        elif self._setups:
            # A statement of the proxy's own that fails leaves the session's
            # state in doubt.
            if word == lines.ERROR:
                raise lines.LineError("the session could not be set up")
        elif word == lines.ROW:
            self._row_bytes += len(line) + 2
            self._sink.write(line + LINE_END)
        elif word == lines.PROVEN:
            # It was sent after this statement, so that its age counts from then.
            position, age = lines.parse_proven(line)
            self._proof = Sample(position, self.run_since - age)
        elif word == lines.COMPLETE:
            self._tail = line + LINE_END
        elif word == lines.ERROR:
            self._error = decode_error(line)
            self._error_frame = line + LINE_END
        else:
            raise lines.LineError("unknown message")

    def _take_start(self, word: bytes, line: bytes) -> None:
        """Take the answer to START."""
        if word == lines.READY:
            self.ready.callback(self)
            return
        self.broken = True
        self.ready.errback(ConnectRefused(decode_error(line).sqlstate))
        self.transport.abortConnection()

    def _take_ready(self, line: bytes) -> None:
        """Take the end of one answer."""
        state = lines.parse_ready(line)
        if self._setups:
            self._setups -= 1
            return
        if not (self._tail or self._error_frame):
            raise lines.LineError("an answer without an end")
        end = ResponseEnd(
            state.status,
            self._tail,
            self._error,
            self._error_frame,
            state.position,
            self._row_bytes,
            0,
            self._proof,
        )
        if self._error_frame.startswith(_USELESS):
            # Whoever used it next would only be told the same.
            self.on_useless()
            self.end_session()
        self._end_run().callback(end)

    def _end_run(self) -> "Deferred[ResponseEnd]":
        """Be free for the next statement; return who waits for this one."""
        answer, self._answer = self._answer, None
        self._sink.detach()
        self._sink = None
        self.run_since = None
        self._clear()
        return answer

    def _clear(self) -> None:
        """Expect a new answer."""
        self._tail = b""
        self._error: SqlError | None = None
        self._error_frame = b""
        self._row_bytes = 0
        self._proof: Sample | None = None


def connect_line_target(
    reactor,
    endpoint: Endpoint,
    service: str,
    database: str,
    timeout: float,
    limits: SocketLimits,
    reach_timeout: float | None = None,
) -> "Deferred[LineTarget]":
    """Open a connection to a database.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens it.
    endpoint : Endpoint
        Where the database listens.
    service : str
        Name of its group.
    database : str
        Its identifier; another database at the same address refuses it.
    timeout : float
        Seconds within which the database must be ready.
    limits : SocketLimits
        When a silent database is given up.
    reach_timeout : float, optional
        Seconds within which it must be reached at all; see `open_within`.

    Returns
    -------
    Deferred of LineTarget
        Its failures are those of `open_within`.
    """
    start = b"START %s %s %s\r\n" % (service.encode(), PROXY_NAME, database.encode())
    target = LineTarget(start, limits, get_seconds(reactor))
    return open_within(reactor, endpoint, target, timeout, reach_timeout)
