"""Plans and runs callers' statements of the line protocol for the request flow."""

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

_LOCAL_KINDS = frozenset((StatementKind.SESSION_SET, StatementKind.DEALLOCATE))
_TRANSACTION_ENDS = frozenset((StatementKind.COMMIT, StatementKind.ROLLBACK))
_TRANSACTION_BEGINS = frozenset((StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY))

GetRoute = Callable[[str], RouteSettings | None]
GetAccounts = Callable[[], AccountIndex | None]
GetPolicy = Callable[[RouteSettings], RequestPolicy]

UNKNOWN_KEY = SqlError(INVALID_AUTHORIZATION, "the key belongs to no account")


class LineProtocol(ProtocolWithoutRequestIds):
    """The line protocol between callers and databases; see `WireProtocol`.

    Parameters
    ----------
    get_route : callable
        Returns the current route of a database name, or None.
    get_policy : callable
        Returns the time limits of a route's requests.
    get_accounts : callable
        Returns the current accounts, None where callers need no key.
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
        """Open a caller's session; return an error if that is not allowed."""
        caller.session = CallerSession(NEW_TOKEN, True)
        caller.route = self._get_route(caller.database)
        if caller.route is None:
            return _make_unknown_database_error(caller)
        return self._resolve_account(caller)

    def get_request_id(self, unit: LineStatement) -> str:
        """Return the caller's identifier of a statement."""
        return unit.request_id.decode("utf-8", "replace")

    def describe_missing(self, caller: LineCaller) -> SqlError:
        """Return the error of a caller whose database cannot be served."""
        if self._get_route(caller.database) is None:
            return _make_unknown_database_error(caller)
        return make_refusal("no database of the group is known", 1.0)

    def plan(
        self,
        unit: LineStatement,
        caller: LineCaller,
        group: GroupSettings,
        rules: tuple[RuleSettings, ...],
    ) -> Result[LinePlan, SqlError]:
        """Return the plan of a statement, or the error of one that cannot be run."""
        shape = None
        if unit.verb == b"EXECUTE":
            shape = caller.retained_state.prepared.get(unit.fields[0])
            if shape is None:
                text = "the session has prepared no such statement"
                return Failure(SqlError(INVALID_SQL_STATEMENT_NAME, text))
        kind = get_kind(unit, shape)
        if not _is_allowed(kind, caller.status):
            return Failure(MALFORMED)
        route = caller.route
        if not caller.in_transaction:
            # A changed route applies from the next transaction on.
            route = caller.route = self._get_route(caller.database) or route
            error = self._resolve_account(caller)
            if error is not None:
                return Failure(error)
            caller.session.is_tracked = route.reads != READS_PRIMARY
            caller.session.has_written = False
        options = RequestOptions(route.max_age, "", True, route.reads)
        return Success(LinePlan(unit, kind, options, self._get_policy(route), shape))

    def answer_locally(self, plan: LinePlan, caller: LineCaller) -> bool:
        """Answer a statement that needs no database; return False for any other."""
        if plan.kind in _TRANSACTION_ENDS and not caller.in_transaction:
            caller.answer_local(True)
        elif plan.kind in _LOCAL_KINDS:
            caller.answer_local(apply_local(plan.statement, caller.retained_state))
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
        """Give a connection the caller's session state, and run a statement on it."""
        policy = plan.policy
        # A working owner is slow only because of its queue. Cancelling a read there
        # wastes its work and opens another connection to a full database.
        is_repeatable = plan.is_read and not (caller.in_transaction or connection.via)
        limit = policy.read_timeout if is_repeatable else policy.run_timeout
        limit = math.inf if limit is None else limit
        state, account = caller.retained_state, caller.account
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

    def _resolve_account(self, caller: LineCaller) -> SqlError | None:
        """Set the account of a caller's key.

        Return an error if the route needs a key and the caller's belongs to no account.
        """
        accounts = self._get_accounts()
        account = (
            accounts.by_key.get(caller.key_digest) if accounts is not None else None
        )
        caller.account = account.name if account is not None else ""
        needs_key = accounts is not None and not caller.route.is_public
        return UNKNOWN_KEY if needs_key and account is None else None

    def proves_leadership(self, plan: LinePlan) -> bool:
        """Return whether a database that is no longer the primary refuses the unit."""
        return not plan.is_read

    def has_committed(
        self,
        plan: LinePlan,
        pinned: PinnedTransaction,
        caller: LineCaller,
        end: ResponseEnd,
    ) -> bool:
        """Return whether the transaction has committed a write."""
        is_commit = plan.kind is StatementKind.COMMIT and end.error is None
        return is_commit and caller.session.has_written


def _make_unknown_database_error(caller: LineCaller) -> SqlError:
    """Return the error of a database name without a route."""
    return SqlError(INVALID_CATALOG_NAME, f"no route serves {caller.database}")


def _is_allowed(kind: StatementKind, status: TransactionStatus) -> bool:
    """Return whether a transaction status allows a statement of a kind."""
    if status is TransactionStatus.ERROR_TRANSACTION:
        return kind in _TRANSACTION_ENDS
    return kind not in _TRANSACTION_BEGINS or status is TransactionStatus.IDLE


def format_setups(
    connection: LineTarget,
    session: RetainedState,
    shape: StatementShape | None,
    account: str = "",
) -> list[bytes]:
    """Return the statements that give a connection a session's state.

    Their effect is recorded on the connection before they run, as a connection on which
    one of them fails is closed.

    Parameters
    ----------
    connection : LineTarget
        The connection.
    session : RetainedState
        The session's values and prepared statements.
    shape : StatementShape or None
        The prepared statement to execute, if there is one.
    account : str
        The account that the statement belongs to.

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
        name = connection.prepared[shape] = b"p%d" % next(connection.statement_numbers)
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
    """Give a connection a session's state, and run a statement on it.

    A prepared statement is executed under its name on the connection. The first
    statement of an operation sent to another instance carries its demand. `limit` is
    in seconds.
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
