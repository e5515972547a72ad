"""The PostgreSQL protocol for request flows: planning and running its units."""

import re

from pygwire.messages import CommandComplete, ParameterStatus
from returns.result import Result, Success

from beryltrack.callers.caller import Caller
from beryltrack.callers.extended import apply_plan
from beryltrack.callers.local import (
    LocalResult,
    encode_extended_response,
    encode_simple_response,
)
from beryltrack.callers.messages import Request
from beryltrack.connections.target import TargetConnection
from beryltrack.errors import SqlError, make_refusal
from beryltrack.groups.messages import LogPosition
from beryltrack.requests.answers import RequestContext
from beryltrack.requests.at_most_once import (
    AtMostOnceFlow,
    insert_for_commit,
    resolve_commit,
)
from beryltrack.requests.execution import apply_settings, run_plan
from beryltrack.requests.plan import RequestPlan, plan_request
from beryltrack.requests.protocol import RunResult
from beryltrack.requests.session import PinnedTransaction
from beryltrack.requests.session_state import (
    SESSION_SETTING,
    apply_change,
    describe_local,
    is_local,
    open_session,
    run_local,
)
from beryltrack.requests.sink import AnswerSink
from beryltrack.requests.target_settings import TargetSettings
from beryltrack.routing.messages import StatementKind
from beryltrack.sessions.tokens import format_token
from beryltrack.sessions.variables import parse_change
from beryltrack.settings.messages import GroupSettings, RuleSettings
from beryltrack.wire.messages import ResponseEnd, TransactionStatus

_END_OF_TRANSACTION = re.compile(
    r"\s*(commit|end|rollback|abort)(\s+(work|transaction))?\s*;?\s*", re.IGNORECASE
)

ROLLBACK_TAIL = CommandComplete("ROLLBACK").to_wire()
"""End of the answer to ``ROLLBACK``, and to ``COMMIT`` of a failed transaction."""


class PostgresProtocol:
    """The PostgreSQL protocol at both ends; see `WireProtocol`."""

    def __init__(self):
        self.settings = TargetSettings()

    def check_session(self, caller: Caller) -> SqlError | None:
        """Open a caller's session; return an error if its settings are wrong."""
        return open_session(caller)

    def plan(
        self,
        unit: Request,
        caller: Caller,
        group: GroupSettings,
        rules: tuple[RuleSettings, ...],
    ) -> Result[RequestPlan, SqlError]:
        """Return the plan of a unit, or the error that refuses it."""
        return plan_request(unit, caller, group, rules)

    def get_request_id(self, unit: Request) -> str:
        """Return an empty text: only planning reads the identifier from the options."""
        return ""

    def describe_missing(self, caller: Caller) -> SqlError:
        """Return the refusal for a caller whose group is not in the settings."""
        return make_refusal("the database group is not in the settings", 5.0)

    def answer_locally(self, plan: RequestPlan, caller: Caller) -> bool:
        """Answer a unit that concerns only the proxy; return False for all others."""
        described = describe_local(plan)
        if described is not None:
            _send_result(plan, caller, described, caller.status)
            return True
        if not is_local(plan):
            return False
        result = run_local(plan, caller)
        if isinstance(result, Success):
            _send_result(plan, caller, result.unwrap(), caller.status)
        else:
            caller.send_error(result.failure())
            caller.send_ready(caller.status)
        return True

    def answer_rolled_back(self, plan: RequestPlan, caller: Caller) -> bool:
        """Answer the end of a transaction that was rolled back with its connection."""
        if not _END_OF_TRANSACTION.fullmatch(plan.text):
            return False
        _send_result(plan, caller, LocalResult("ROLLBACK"), TransactionStatus.IDLE)
        return True

    async def run(
        self,
        connection: TargetConnection,
        plan: RequestPlan,
        sink: AnswerSink,
        caller: Caller,
        after: LogPosition | None = None,
    ) -> RunResult:
        """Apply the caller's settings to a connection, and run a unit on it."""
        refused = await apply_settings(connection, caller, self.settings)
        if refused is not None:
            return refused
        return await run_plan(connection, plan, sink, caller)

    async def run_pinned(
        self,
        connection: TargetConnection,
        plan: RequestPlan,
        sink: AnswerSink,
        caller: Caller,
    ) -> RunResult:
        """Run a unit on the connection of the caller's open transaction."""
        return await run_plan(connection, plan, sink, caller)

    def observe_answer(
        self, plan: RequestPlan, caller: Caller, connection: TargetConnection
    ) -> None:
        """Record a setting that was changed outside of a transaction."""
        if _record_setting(plan, caller):
            self.settings.record_applied(connection, caller)

    def observe_pinned(self, plan: RequestPlan, caller: Caller) -> None:
        """Record a setting that was changed on the transaction's connection."""
        if _record_setting(plan, caller):
            caller.session.has_changed_settings = True

    def proves_leadership(self, plan: RequestPlan) -> bool:
        """Return False: a replaced primary does not learn at once that it is one."""
        return False

    def has_committed(
        self,
        plan: RequestPlan,
        pinned: PinnedTransaction,
        caller: Caller,
        end: ResponseEnd,
    ) -> bool:
        """Return whether the end of a transaction may have committed changes.

        A position reported with a rollback belongs to other transactions' commits.
        """
        is_ended_well = end.error is None and end.tail != ROLLBACK_TAIL
        return is_ended_well and not pinned.is_read_only

    def encode_token(self, caller: Caller) -> bytes:
        """Return the message that reports a session's new token."""
        token = format_token(caller.session.token)
        return ParameterStatus(SESSION_SETTING, token).to_wire()

    async def run_at_most_once(self, context: RequestContext) -> None:
        """Run an at-most-once unit outside of a transaction."""
        await AtMostOnceFlow(context).run()

    async def insert_for_commit(
        self, context: RequestContext, pinned: PinnedTransaction
    ) -> bool:
        """Insert a transaction's row before its commit; True if it was rolled back."""
        return await insert_for_commit(context, pinned)

    async def resolve_commit(self, context: RequestContext) -> None:
        """Determine whether an at-most-once transaction has committed, and answer."""
        await resolve_commit(context)


def _record_setting(plan: RequestPlan, caller: Caller) -> bool:
    """Record the setting that a unit changed; return False if it changes none."""
    if plan.kind is not StatementKind.SESSION_SET:
        return False
    change, _ = parse_change(plan.text)
    if change is None:
        return False
    apply_change(change, caller)
    return True


def _send_result(
    plan: RequestPlan, caller: Caller, result: LocalResult, status: TransactionStatus
) -> None:
    """Send a local result, and record the statements that the batch prepared."""
    if plan.extended is None:
        caller.write(encode_simple_response(result))
    else:
        caller.write(encode_extended_response(plan.request, result))
        apply_plan(plan.extended, caller.statements)
    caller.send_ready(status)
