"""Units of the line protocol, as the course of a request runs them."""

import math
from collections.abc import Callable

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

from beryltrack.accounts.index import AccountIndex
from beryltrack.errors import (
    INVALID_AUTHORIZATION,
    INVALID_CATALOG_NAME,
    INVALID_SQL_STATEMENT_NAME,
    SqlError,
    make_refusal,
)
from beryltrack.groups.messages import LogPosition
from beryltrack.platform import lines
from beryltrack.platform.caller import MALFORMED, LineCaller
from beryltrack.platform.statements import (
    LinePlan,
    LineStatement,
    apply_local,
    get_kind,
)
from beryltrack.platform.target import LineTarget
from beryltrack.relay.wire_format import format_account_message, take_demand_prefix
from beryltrack.requests.protocol import (
    ProtocolWithoutRequestIds,
    RequestPolicy,
    RunResult,
    describe_loss,
)
from beryltrack.requests.session import CallerSession, PinnedTransaction
from beryltrack.requests.sink import AnswerSink
from beryltrack.routing.messages import StatementKind
from beryltrack.sessions.request_options import READS_PRIMARY, RequestOptions
from beryltrack.sessions.retained_state import RetainedState, StatementShape
from beryltrack.sessions.tokens import NEW_TOKEN
from beryltrack.settings.messages import GroupSettings, RouteSettings, RuleSettings
from beryltrack.wire.messages import ResponseEnd, ResponseSink, TransactionStatus

_LOCAL = frozenset((StatementKind.SESSION_SET, StatementKind.DEALLOCATE))
_ENDS = frozenset((StatementKind.COMMIT, StatementKind.ROLLBACK))
_BEGINS = frozenset((StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY))

GetRoute = Callable[[str], RouteSettings | None]
GetAccounts = Callable[[], AccountIndex | None]
GetPolicy = Callable[[RouteSettings], RequestPolicy]

UNKNOWN_KEY = SqlError(INVALID_AUTHORIZATION, "the key belongs to no account")


class LineProtocol(ProtocolWithoutRequestIds):
    """The line protocol at both ends; see `WireProtocol`.

    Parameters
    ----------
    get_route : callable
        Returns the route in force of a database name, or None.
    get_policy : callable
        Returns the times that bound the requests of a route.
    get_accounts : callable
        Returns the accounts in force, None where callers need no key.
    """

    def __init__(
        self,
        get_route: GetRoute,
        get_policy: GetPolicy,
        get_accounts: GetAccounts = lambda: None,
    ):
        self._get_route = get_route
        self._get_policy = get_policy
        self._get_accounts = get_accounts

    def check_session(self, caller: LineCaller) -> SqlError | None:
        """Open a caller's session; return an error if it may not have one."""
        caller.session = CallerSession(NEW_TOKEN, True)
        caller.route = self._get_route(caller.database)
        if caller.route is None:
            return _make_unknown(caller)
        return self._identify(caller)

    def get_request_id(self, unit: LineStatement) -> str:
        """Return the caller's identifier of a statement."""
        return unit.request_id.decode("utf-8", "replace")

    def describe_missing(self, caller: LineCaller) -> SqlError:
        """Return why a caller's database cannot be served."""
        if self._get_route(caller.database) is None:
            return _make_unknown(caller)
        return make_refusal("no database of the group is known", 1.0)

    def plan(
        self,
        unit: LineStatement,
        caller: LineCaller,
        group: GroupSettings,
        rules: tuple[RuleSettings, ...],
    ) -> Result[LinePlan, SqlError]:
        """Return the plan of a statement, or why it cannot be run."""
        shape = None
        if unit.verb == b"EXECUTE":
            shape = caller.lines.prepared.get(unit.fields[0])
            if shape is None:
                text = "the session has prepared no such statement"
                return Failure(SqlError(INVALID_SQL_STATEMENT_NAME, text))
        kind = get_kind(unit, shape)
        if not _fits(kind, caller.status):
            return Failure(MALFORMED)
        route = caller.route
        if not caller.in_transaction:
            # A change of a route applies from the next transaction on.
            route = caller.route = self._get_route(caller.database) or route
            error = self._identify(caller)
            if error is not None:
                return Failure(error)
            caller.session.is_tracked = route.reads != READS_PRIMARY
            caller.session.has_written = False
        options = RequestOptions(route.max_age, "", True, route.reads)
        return Success(LinePlan(unit, kind, options, self._get_policy(route), shape))

    def answer_locally(self, plan: LinePlan, caller: LineCaller) -> bool:
        """Answer what concerns the session alone; False for all others."""
        if plan.kind in _ENDS and not caller.in_transaction:
            caller.answer_local(True)
        elif plan.kind in _LOCAL:
            caller.answer_local(apply_local(plan.statement, caller.lines))
        else:
            return False
        return True

    async def run(
        self,
        connection: LineTarget,
        plan: LinePlan,
        sink: AnswerSink,
        caller: LineCaller,
        after: LogPosition | None = None,
    ) -> RunResult:
        """Bring a connection to the caller's session, and run a statement on it."""
        policy = plan.policy
        # An owner that is at work only has a queue; to break a read off there would
        # throw its work away and open another connection to a full database.
        is_repeatable = plan.is_read and not (caller.in_transaction or connection.via)
        limit = policy.read_timeout if is_repeatable else policy.run_timeout
        limit = math.inf if limit is None else limit
        state, account = caller.lines, caller.account
        return await run_statement(connection, state, plan, after, account, sink, limit)

    async def run_pinned(
        self,
        connection: LineTarget,
        plan: LinePlan,
        sink: AnswerSink,
        caller: LineCaller,
    ) -> RunResult:
        """Run a statement on the connection of the caller's open transaction."""
        if plan.kind is StatementKind.WRITE:
            caller.session.has_written = True
        return await self.run(connection, plan, sink, caller)

    def _identify(self, caller: LineCaller) -> SqlError | None:
        """Find the account of a caller's key; return an error if it has none."""
        book = self._get_accounts()
        account = book.by_key.get(caller.key_digest) if book is not None else None
        caller.account = account.name if account is not None else ""
        needs_key = book is not None and not caller.route.is_public
        return UNKNOWN_KEY if needs_key and account is None else None

    def proves_leadership(self, plan: LinePlan) -> bool:
        """Return whether a database refuses a unit once it leads no more."""
        return not plan.is_read

    def has_committed(
        self,
        plan: LinePlan,
        pinned: PinnedTransaction,
        caller: LineCaller,
        end: ResponseEnd,
    ) -> bool:
        """Return whether the end of a transaction has made changes last."""
        is_commit = plan.kind is StatementKind.COMMIT and end.error is None
        return is_commit and caller.session.has_written


def _make_unknown(caller: LineCaller) -> SqlError:
    """Return the error of a database name that no route has."""
    return SqlError(INVALID_CATALOG_NAME, f"no route serves {caller.database}")


def _fits(kind: StatementKind, status: TransactionStatus) -> bool:
    """Return whether a statement may come while a transaction stands so."""
    if status is TransactionStatus.ERROR_TRANSACTION:
        return kind in _ENDS
    return kind not in _BEGINS or status is TransactionStatus.IDLE


def format_setups(
    connection: LineTarget,
    session: RetainedState,
    shape: StatementShape | None,
    account: str = "",
) -> list[bytes]:
    """Return the statements that give a connection a session's state.

    What they will have set is noted at once: a connection on which one of them
    fails is thrown away.

    Parameters
    ----------
    connection : LineTarget
        The connection.
    session : RetainedState
        What the session has set and prepared.
    shape : StatementShape or None
        What the statement to run executes, if it is a prepared one.
    account : str
        Whose statement it is.

    Raises
    ------
    ValueError
        If the connection belongs to another account.
    """
    wanted, applied = session.values, connection.values
    texts = format_account_message(connection, account)
    if any(name not in wanted for name in applied):
        texts.append(b"RESET")
        applied.clear()
        connection.prepared.clear()
    for name, value in wanted.items():
        if applied.get(name) != value:
            texts.append(b"SET %s %s" % (name, value))
            applied[name] = value
    if shape is not None and shape not in connection.prepared:
        name = connection.prepared[shape] = b"p%d" % next(connection.numbers)
        texts.append(b"PREPARE %s %s %s" % (name, *shape))
    return [lines.format_query(lines.NO_ID, text) for text in texts]


def run_statement(
    connection: LineTarget,
    session: RetainedState,
    unit: LinePlan,
    after: LogPosition | None,
    account: str,
    sink: ResponseSink,
    limit: float = math.inf,
) -> Deferred[RunResult]:
    """Bring a connection to a session's state, and run a statement on it.

    The name of what it executes is the one that the connection knows. The first
    statement of an operation that goes to another instance tells its demand.
    """
    statement, shape = unit.statement, unit.shape
    setups = format_setups(connection, session, shape, account)
    text = statement.text
    if shape is not None:
        text = b" ".join(
            (b"EXECUTE", connection.prepared[shape], *statement.fields[1:])
        )
    text = lines.format_after(after) + take_demand_prefix(connection) + text
    setups.append(lines.format_query(statement.request_id, text))
    running = connection.run(b"".join(setups), sink, len(setups) - 1, limit)
    return running.addErrback(describe_loss)
