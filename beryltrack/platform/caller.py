"""The caller's side of the line protocol."""

from twisted.internet.defer import Deferred

from beryltrack.accounts.keys import digest_key
from beryltrack.callers.sequence import SequentialCaller, SequentialFactory
from beryltrack.errors import PROTOCOL_VIOLATION, SqlError, make_refusal
from beryltrack.platform import lines
from beryltrack.platform.codes import encode_error
from beryltrack.platform.statements import parse_query
from beryltrack.requests.session import CallerSession
from beryltrack.sessions.retained_state import RetainedState
from beryltrack.settings.messages import RouteSettings
from beryltrack.wire.line_buffer import LineBuffer
from beryltrack.wire.messages import TransactionStatus

MALFORMED = SqlError(PROTOCOL_VIOLATION, "the statement is malformed")


class LineSpeaker(SequentialCaller):
    """A peer that sends lines and is answered in lines.

    Parameters
    ----------
    factory : SequentialFactory
        What all callers share.
    """

    def __init__(self, factory: SequentialFactory):
        super().__init__(factory)
        self.lines = RetainedState()
        self._buffer = LineBuffer()

    def split_messages(self, data: bytes) -> list[bytes]:
        """Return the lines that are complete now."""
        return self._buffer.feed(data)

    def send_error(self, error: SqlError) -> None:
        """Send an error."""
        self.write(encode_error(error))

    def send_ready(self, status: TransactionStatus) -> None:
        """Say that the statement is answered, and how the transaction stands."""
        self.status = status
        self.write(lines.READY_LINES[status])

    def answer_local(self, is_done: bool) -> None:
        """Answer what concerns the session alone; False if it could not be done."""
        if is_done:
            self.write(lines.EMPTY_COMPLETE)
        else:
            self.send_error(MALFORMED)
        self.send_ready(self.status)


class LineCaller(LineSpeaker):
    """One caller's connection; see `UnitCaller`.

    Parameters
    ----------
    factory : LineCallerFactory
        What all callers share.
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
        """Name of the user: this protocol carries none."""
        return ""

    def handle_message(self, message: bytes) -> "Deferred[None] | None":
        """Take one message."""
        word = message.split(b" ", 1)[0]
        if self.session is None:
            self._take_start(message)
        elif word == lines.QUERY:
            return self._take_query(message)
        elif word == lines.TERMINATE:
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()
        return None

    def _take_start(self, line: bytes) -> None:
        """Open the session if the database is known."""
        fields = line.split(b" ")
        if len(fields) < 2 or fields[0] != lines.START:
            self.transport.abortConnection()
            return
        self.database = fields[1].decode("utf-8", "replace")
        if len(fields) > 2:
            self.key_digest = digest_key(fields[2].decode("utf-8", "surrogateescape"))
        error = self._factory.handler.check_session(self)
        if error is None and self._factory.is_finishing:
            error = make_refusal("the instance leaves", 0.0)
        if error is not None:
            self.session = None
            self.send_error(error)
            self.transport.loseConnection()
            return
        self.send_ready(TransactionStatus.IDLE)

    def _take_query(self, line: bytes) -> "Deferred[None] | None":
        """Run a statement."""
        statement = parse_query(line)
        if statement is None:
            self.answer_local(False)
            return None
        return self._factory.handler.handle(statement, self)


class LineCallerFactory(SequentialFactory):
    """Takes callers' connections; its handler is a `UnitHandler`."""

    protocol = LineCaller
