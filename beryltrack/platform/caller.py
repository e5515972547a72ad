"""Callers' connections in the line protocol: start, statements and errors."""

from twisted.internet.defer import Deferred

from beryltrack.accounts.keys import digest_key
from beryltrack.callers.sequence import SequentialCaller, SequentialFactory
from beryltrack.errors import PROTOCOL_VIOLATION, SqlError
from beryltrack.platform import lines
from beryltrack.platform.codes import encode_error
from beryltrack.platform.statements import parse_query
from beryltrack.requests.session import CallerSession
from beryltrack.requests.shutdown import SHUTDOWN_REFUSAL
from beryltrack.sessions.retained_state import RetainedState
from beryltrack.settings.messages import RouteSettings
from beryltrack.wire.line_buffer import LineBuffer
from beryltrack.wire.messages import TransactionStatus

MALFORMED = SqlError(PROTOCOL_VIOLATION, "the statement is malformed")


class LineSession(SequentialCaller):
    """The server side of a line protocol session, of a caller or another instance.

    Parameters
    ----------
    factory : SequentialFactory
        Holds what all sessions share.
    """

    def __init__(self, factory: SequentialFactory):
        super().__init__(factory)
        self.retained_state = RetainedState()
        self._buffer = LineBuffer()

    def split_messages(self, data: bytes) -> list[bytes]:
        """Return the lines that are complete."""
        return self._buffer.feed(data)

    def send_error(self, error: SqlError) -> None:
        """Send an error."""
        self.write(encode_error(error))

    def send_ready(self, status: TransactionStatus) -> None:
        """Send the end of an answer with the transaction status."""
        self.status = status
        self.write(lines.READY_LINES[status])

    def answer_local(self, is_done: bool) -> None:
        """Answer a statement that ran on the session alone; malformed if not done."""
        if is_done:
            self.write(lines.EMPTY_COMPLETE)
        else:
            self.send_error(MALFORMED)
        self.send_ready(self.status)


class LineCaller(LineSession):
    """One caller's connection; see `UnitCaller`.

    Parameters
    ----------
    factory : LineCallerFactory
        Holds what all callers share.
    """

    def __init__(self, factory: "LineCallerFactory"):
        super().__init__(factory)
        self.database = ""
        self.account = ""
        self.key_digest = ""
        self.route: RouteSettings | None = None
        self.session: CallerSession | None = None

    @property
    def user(self) -> str:
        """The user name; empty, as this protocol carries none."""
        return ""

    def handle_message(self, message: bytes) -> "Deferred[None] | None":
        """Handle one message; return the run of a statement that needs a database."""
        word = message.split(b" ", 1)[0]
        if self.session is None:
            self._handle_start(message)
        elif word == lines.QUERY:
            return self._handle_query(message)
        elif word == lines.TERMINATE:
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()
        return None

    def _handle_start(self, line: bytes) -> None:
        """Open the session; refuse an unknown database or key."""
        fields = line.split(b" ")
        if len(fields) < 2 or fields[0] != lines.START:
            self.transport.abortConnection()
            return
        self.database = fields[1].decode("utf-8", "replace")
        if len(fields) > 2:
            self.key_digest = digest_key(fields[2].decode("utf-8", "surrogateescape"))
        error = self._factory.handler.check_session(self)
        if error is None and self._factory.is_finishing:
            error = SHUTDOWN_REFUSAL
        if error is not None:
            self.session = None
            self.send_error(error)
            self.transport.loseConnection()
            return
        self.send_ready(TransactionStatus.IDLE)

    def _handle_query(self, line: bytes) -> "Deferred[None] | None":
        """Run a statement."""
        statement = parse_query(line)
        if statement is None:
            self.answer_local(False)
            return None
        return self._factory.handler.handle(statement, self)


class LineCallerFactory(SequentialFactory):
    """Accepts callers' connections; its handler is a `UnitHandler`."""

    protocol = LineCaller
