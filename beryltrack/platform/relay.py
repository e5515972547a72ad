"""Sessions of other instances that use this owner's connections to databases.

Instances use the databases' line protocol with each other, so an instance sends an
owner the same messages as a database; `wire_format` has what they add.
"""

from typing import NamedTuple

from twisted.internet.defer import Deferred

from beryltrack.callers.sequence import SequentialFactory
from beryltrack.errors import SqlError
from beryltrack.groups.messages import DatabaseStatus, LogPosition
from beryltrack.groups.view import NEVER
from beryltrack.load.messages import DEFAULT_DEMAND
from beryltrack.load.reports import TimedReport
from beryltrack.platform import lines
from beryltrack.platform.caller import LineSession
from beryltrack.platform.codes import encode_refusal
from beryltrack.platform.group import format_row
from beryltrack.platform.protocol import run_statement
from beryltrack.platform.statements import (
    NEEDS_PRIMARY,
    LineStatement,
    apply_local,
    get_kind,
    parse_query,
)
from beryltrack.platform.target import LineTarget
from beryltrack.relay import wire_format
from beryltrack.relay.handler import NOT_OWNER_MESSAGE, AgedProof, RelayHandler
from beryltrack.requests.protocol import RunResult
from beryltrack.sessions.retained_state import StatementShape
from beryltrack.wire.messages import ResponseEnd

_LOCAL_VERBS = frozenset((b"SET", b"PREPARE", b"DEALLOCATE"))


class RelayedStatement(NamedTuple):
    """A statement of another instance.

    Parameters
    ----------
    after : LogPosition or None
        The position that the database must have applied; None for any.
    statement : LineStatement
        The statement.
    shape : StatementShape or None
        The prepared statement that an EXECUTE runs.
    """

    after: LogPosition | None
    statement: LineStatement
    shape: StatementShape | None

    @property
    def proves_leadership(self) -> bool:
        """True if a database that is no longer the primary refuses the statement."""
        return get_kind(self.statement, self.shape) in NEEDS_PRIMARY


class LineRelay(LineSession):
    """One session of another instance; see `RelayedSession`.

    Parameters
    ----------
    factory : LineRelayFactory
        Holds what all sessions share.
    """

    def __init__(self, factory: "LineRelayFactory"):
        super().__init__(factory)
        self.group = ""
        self.database = ""
        self.demand = DEFAULT_DEMAND
        self.is_counted = True
        self.pinned: LineTarget | None = None
        self.proven_at = NEVER
        self.sends_demands = False
        self.last_report: TimedReport | None = None

    def handle_message(self, message: bytes) -> "Deferred[None] | None":
        """Handle one message; return the run of a statement that needs a database."""
        fields = message.split(b" ", 2)
        if not self.database:
            self._handle_start(message.split(b" "))
        elif fields[0] == lines.QUERY and len(fields) == 3:
            return self._handle_query(fields[1], fields[2])
        elif fields[0] == lines.TERMINATE:
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()
        return None

    def run_on(
        self, connection: LineTarget, unit: RelayedStatement
    ) -> "Deferred[RunResult]":
        """Run a statement; its rows are sent as they arrive."""
        account = self.demand.account
        return run_statement(
            connection, self.retained_state, unit, unit.after, account, self
        )

    def send_refusal(self, error: SqlError) -> None:
        """Send the error of a statement that was not run."""
        self.write(encode_refusal(error))
        self.send_ready(self.status)

    def send_report(self, report: TimedReport) -> None:
        """Send a report of the database's load; the end of an answer follows."""
        self.write(wire_format.format_report(report))

    def send_not_owner(self) -> None:
        """Send that this instance lends no connections to the group."""
        self.write(
            b"ERROR %s %s\r\n" % (wire_format.NOT_OWNER, NOT_OWNER_MESSAGE.encode())
        )
        self.send_ready(self.status)

    def send_status(self, status: DatabaseStatus, proven: AgedProof | None) -> None:
        """Send the status of the session's database, with a proof if there is one."""
        self.write(format_row(status) + lines.EMPTY_COMPLETE)
        if proven is not None:
            self.write(wire_format.format_proven(*proven))
        self.write(lines.format_ready(self.status, status.applied))

    def send_end(self, end: ResponseEnd, proven: AgedProof | None) -> None:
        """Send the end of an answer, with a proof if there is one."""
        self.status = end.status
        ready = lines.format_ready(end.status, end.position)
        proof = wire_format.format_proven(*proven) if proven is not None else b""
        self.write(end.tail + end.error_frame + proof + ready)

    def _handle_start(self, fields: list[bytes]) -> None:
        """Open the session if this instance lends connections to the database."""
        if len(fields) != 4 or fields[0] != lines.START:
            self.transport.abortConnection()
            return
        self.group, self.database = fields[1].decode(), fields[3].decode()
        if not self._factory.handler.serves(self):
            self._factory.handler.refuse(self)
            self.transport.loseConnection()
            return
        number = b"%d" % self._factory.handler.incarnation
        self.write(lines.READY_LINES[self.status].replace(b"\r", b" %s\r" % number))

    def _handle_query(self, request_id: bytes, text: bytes) -> "Deferred[None] | None":
        """Run a statement, or apply it to the session's state."""
        handler = self._factory.handler
        if request_id == lines.NO_ID and text == b"STATUS":
            return handler.handle_status(self)
        if request_id == lines.NO_ID and text == b"RESET":
            self.retained_state.reset()
            self.answer_local(True)
            return None
        if request_id == lines.NO_ID and text.startswith(wire_format.ACCOUNT):
            self._handle_account(text.split(b" "))
            return None
        unit = self._parse_unit(request_id, text)
        if unit is None:
            self.answer_local(False)
        elif unit.statement.verb in _LOCAL_VERBS:
            self.answer_local(apply_local(unit.statement, self.retained_state))
        else:
            return handler.handle(unit, self)
        return None

    def _handle_account(self, fields: list[bytes]) -> None:
        """Record the next operation's account, and whether it was counted."""
        is_valid = len(fields) == 3 and not self.in_transaction
        if is_valid:
            self.demand = self.demand._replace(account=fields[1].decode())
            self.is_counted = fields[2] == wire_format.COUNTED
        self.answer_local(is_valid)

    def _parse_unit(self, request_id: bytes, text: bytes) -> RelayedStatement | None:
        """Return a statement, None if it is malformed."""
        after = None
        if text.startswith(b"AFTER "):
            _, position, text = (text.split(b" ", 2) + [b""])[:3]
            after = lines.parse_position(position)
        parsed = wire_format.parse_demand(text, self.demand.account)
        if parsed is None or (parsed[1] != text and self.in_transaction):
            return None
        self.sends_demands |= parsed[1] != text
        demand, text = parsed
        statement = parse_query(lines.QUERY + b" %s %s" % (request_id, text))
        if statement is None:
            return None
        shape = None
        if statement.verb == b"EXECUTE":
            shape = self.retained_state.prepared.get(statement.fields[0])
            if shape is None:
                return None
        if not self.in_transaction:
            self.demand = demand
        return RelayedStatement(after, statement, shape)


class LineRelayFactory(SequentialFactory):
    """Accepts sessions of other instances; its handler is a `RelayHandler`."""

    protocol = LineRelay
    handler: RelayHandler
