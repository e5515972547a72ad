"""The proxy's connection to one database over the line protocol."""

import itertools
import math
from collections.abc import Callable

from twisted.internet.defer import Deferred

from beryltrack.clock import get_monotonic_clock
from beryltrack.connections.exclusive import ExclusiveConnection
from beryltrack.connections.messages import ConnectRefused
from beryltrack.connections.opening import open_within
from beryltrack.errors import CONFIGURATION_LIMIT_EXCEEDED, SqlError
from beryltrack.groups.samples import Sample
from beryltrack.platform import lines
from beryltrack.platform.codes import decode_error, encode_error
from beryltrack.relay import wire_format
from beryltrack.sessions.retained_state import StatementShape
from beryltrack.settings.messages import Endpoint
from beryltrack.wire.line_buffer import LINE_END, LineBuffer
from beryltrack.wire.messages import ResponseEnd, ResponseSink
from beryltrack.wire.sockets import SocketLimits

PROXY_NAME = "beryltrack"
"""Account name of connections that belong to no account; databases accept any."""

_UNREACHABLE_ERROR = b"ERROR " + wire_format.UNREACHABLE
_NOT_OWNER_ERROR = b"ERROR " + wire_format.NOT_OWNER


class LineTarget(ExclusiveConnection):
    """A connection to a database; see `ExclusiveConnection` for its parameters."""

    def __init__(
        self,
        start: bytes,
        limits: SocketLimits,
        seconds: Callable[[], float],
        account: str = "",
    ):
        super().__init__(start, limits, seconds, account)
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[StatementShape, bytes] = {}
        self.statement_numbers = itertools.count(1)
        self._buffer = LineBuffer()
        self._setups = 0
        self._clear()

    def run(
        self,
        wire: bytes,
        sink: ResponseSink,
        setups: int = 0,
        limit: float = math.inf,
    ) -> "Deferred[ResponseEnd]":
        """Send `setups` statements of the proxy's own and one more; `limit` in s."""
        if not (self.broken or self.busy):
            self._setups = setups
            self._clear()
        return self.send(wire, sink, limit)

    def end_session(self) -> None:
        """Close the connection after all pending bytes are sent."""
        self.broken = True
        self.transport.write(b"TERMINATE\r\n")
        self.transport.loseConnection()

    def receive_bytes(self, data: bytes) -> None:
        """Handle bytes of the database."""
        for line in self._buffer.feed(data):
            self._handle_line(line)

    def _handle_line(self, line: bytes) -> None:
        """Handle one message."""
        word = line[: line.find(b" ")] if b" " in line else line
        if not self.ready.called:
            self._handle_start(word, line)
        elif self._answer is None:
            raise lines.LineError("message received while no statement runs")
        elif word == lines.READY:
            self._handle_ready(line)
        elif self._setups:
            # After a failed statement of the proxy the session's state is unknown.
            if word == lines.ERROR:
                raise lines.LineError("a statement that sets up the session failed")
        elif word == lines.ROW:
            self._row_bytes += len(line) + 2
            self._sink.write(line + LINE_END)
        elif word == wire_format.PROVEN:
            # The proof is sent after this statement, so its age counts from then.
            position, age = wire_format.parse_proven(line)
            self._proof = Sample(position, self.run_since - age)
        elif word == wire_format.LOAD and self.incarnation:
            self.on_report(
                wire_format.parse_report(line, self.incarnation), self.run_since
            )
        elif word == lines.COMPLETE:
            self._tail = line + LINE_END
        elif word == lines.ERROR:
            self._error = decode_error(line)
            self._error_frame = line + LINE_END
            if self._error.sqlstate == CONFIGURATION_LIMIT_EXCEEDED:
                # Callers do not know the code that instances use among each other.
                self._error_frame = encode_error(self._error)
        else:
            raise lines.LineError("message with an unknown keyword")

    def _handle_start(self, word: bytes, line: bytes) -> None:
        """Handle the answer to START."""
        if word == lines.READY:
            self.incarnation = wire_format.parse_incarnation(line)
            self.ready.callback(self)
            return
        self.broken = True
        state = decode_error(line).sqlstate
        self.ready.errback(ConnectRefused(state, line.startswith(_UNREACHABLE_ERROR)))
        self.transport.abortConnection()

    def _handle_ready(self, line: bytes) -> None:
        """Handle the end of one answer."""
        state = lines.parse_ready(line)
        if self._setups:
            self._setups -= 1
            return
        if not (self._tail or self._error_frame):
            raise lines.LineError("READY received without COMPLETE or ERROR")
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
        if self._error_frame.startswith((_UNREACHABLE_ERROR, _NOT_OWNER_ERROR)):
            # The next statement on it would be refused for the same reason.
            self.on_target_unreachable(self._error_frame.startswith(_NOT_OWNER_ERROR))
            self.end_session()
        self.finish_run().callback(end)

    def _clear(self) -> None:
        """Drop the parts of the former answer."""
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
    account: str = "",
    reach_timeout: float | None = None,
) -> "Deferred[LineTarget]":
    """Open a connection to a database; see `open_within` for its times and failures.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens the connection.
    endpoint : Endpoint
        The address of the database.
    service, database : str
        Its group and its identifier. Another database at the address refuses them.
    timeout, reach_timeout : float
        Seconds within which the session must be ready, and the address reached.
    limits : SocketLimits
        The time limits after which a silent connection is closed.
    account : str
        The account that the connection serves; empty for the proxy itself.
    """
    fields = (service, account or PROXY_NAME, database)
    start = "START {} {} {}\r\n".format(*fields).encode()
    target = LineTarget(start, limits, get_monotonic_clock(reactor), account)
    return open_within(reactor, endpoint, target, timeout, reach_timeout)
