"""The last steps of a request: confirm its commit, answer, count and log it.

Also holds `RequestContext`, the data that all steps of one request share.
"""

import math
from typing import NamedTuple

from beryltrack.connections.messages import RefusalReason
from beryltrack.errors import (
    NOT_RUN_SQLSTATES,
    SERIALIZATION_FAILURE,
    TRANSACTION_RESOLUTION_UNKNOWN,
    SqlError,
    make_outcome_unknown_error,
    make_rolled_back_error,
)
from beryltrack.events.messages import RequestEvent, RequestStep, SharedDecision
from beryltrack.groups.messages import LogPosition
from beryltrack.groups.view import NEVER
from beryltrack.load.ingress_admission import compute_target_wait
from beryltrack.load.messages import Demand
from beryltrack.metrics.messages import (
    RequestKind,
    RequestOutcome,
    RequestSummary,
    TargetKind,
)
from beryltrack.requests.admission import AdmissionReason
from beryltrack.requests.admission_task import Ticket
from beryltrack.requests.outcomes import NextStep
from beryltrack.requests.protocol import RequestPolicy, UnitCaller, UnitPlan
from beryltrack.requests.runtime import GroupRuntime
from beryltrack.requests.services import RequestServices
from beryltrack.requests.sink import AnswerSink
from beryltrack.requests.targets import TargetSearch
from beryltrack.sessions.tokens import merge_position
from beryltrack.transactions.decider import CommitOutcome
from beryltrack.wire.messages import TransactionStatus

ADMISSION = "admission"
"""Refusal reason of requests that the admission control of an instance refuses."""

OTHER_REASON = "other"
"""Any other refusal reason, for example that no primary is known."""

_REFUSALS = {each.value: each.name.lower() for each in RefusalReason} | {
    each.value: ADMISSION for each in AdmissionReason
}

_STEPS = {
    SERIALIZATION_FAILURE: RequestStep.ROLLED_BACK,
    TRANSACTION_RESOLUTION_UNKNOWN: RequestStep.UNKNOWN,
}

_OUTCOMES = {
    SERIALIZATION_FAILURE: RequestOutcome.ROLLED_BACK,
    TRANSACTION_RESOLUTION_UNKNOWN: RequestOutcome.UNKNOWN,
} | dict.fromkeys(NOT_RUN_SQLSTATES, RequestOutcome.NOT_RUN)


class RequestContext(NamedTuple):
    """One request that is being served.

    Parameters
    ----------
    services : RequestServices
        What requests share.
    runtime : GroupRuntime
        The group that it is for.
    caller : UnitCaller
        Its sender.
    plan : UnitPlan
        Its plan.
    arrived_at : float
        Time of its arrival by the instance's clock, seconds.
    ticket : Ticket
        Its admission ticket.
    settings_version : int
        Version of the settings that its plan is based on.
    opened_by : str
        Identifier of the request that opened its transaction; its own outside of one.
    """

    services: RequestServices
    runtime: GroupRuntime
    caller: UnitCaller
    plan: UnitPlan
    arrived_at: float
    ticket: Ticket
    settings_version: int = 0
    opened_by: str = ""

    @property
    def policy(self) -> RequestPolicy:
        """The times that bound it."""
        return self.plan.policy or self.services.policy

    @property
    def search(self) -> TargetSearch:
        """Scope and time limits of the search for its target."""
        deadline = self.deadline if self.plan.policy else None
        return TargetSearch(
            self.services,
            self.runtime,
            self.ticket,
            self.give_up_at,
            deadline,
            self.demand,
            self.wait_until,
            self.policy.run_timeout,
        )

    @property
    def demand(self) -> Demand:
        """Its demand on a database, with times counted from its arrival."""
        return Demand(
            self.policy.priority,
            self.policy.target_latency,
            self.policy.request_timeout,
            self.caller.account,
            is_retry=self.arrived_at >= self.caller.session.retry_at,
        )

    @property
    def deadline(self) -> float:
        """Time by which its commit must be confirmed, by the instance's clock."""
        return self.arrived_at + self.policy.request_timeout

    @property
    def give_up_at(self) -> float:
        """Time, by the instance's clock, at which it is refused if it has no target."""
        return self.arrived_at + self.policy.target_timeout

    @property
    def wait_until(self) -> float:
        """Time until which it waits for a usable database, by the instance's clock."""
        policy, has_group_owners = self.policy, self.services.has_group_owners()
        wait = compute_target_wait(
            policy.target_timeout, policy.target_latency, has_group_owners
        )
        return self.arrived_at + wait


async def confirm_commit(
    context: RequestContext, position: LogPosition, database: str
) -> CommitOutcome:
    """Wait for the outcome of a commit; record a confirmed one in the session's token.

    Parameters
    ----------
    context : RequestContext
        The request.
    position : LogPosition
        Position that the target reported after the commit.
    database : str
        The target.

    Returns
    -------
    CommitOutcome
        `UNKNOWN` at the request's deadline, or at the end of a shutdown.
    """
    services, runtime = context.services, context.runtime
    started_at = services.seconds()
    latest = min(context.deadline, services.shutdown.end_at)
    timeout = max(0.0, latest - started_at)
    outcome = await runtime.task.confirm(position, timeout, database)
    services.metrics.record_confirm_wait(services.seconds() - started_at)
    if outcome is CommitOutcome.CONFIRMED:
        session = context.caller.session
        session.written_at = services.seconds()
        session.token = merge_position(session.token, runtime.settings.name, position)
    return outcome


def send_answer(
    context: RequestContext,
    sink: AnswerSink,
    tail: bytes,
    status: TransactionStatus,
    has_new_token: bool = False,
) -> None:
    """Send the buffered answer and its tail, then the ready message."""
    caller = context.caller
    caller.session.retry_at = math.inf
    parts = [sink.take_buffered()]
    if has_new_token:
        parts.append(context.services.protocol.encode_token(caller))
    parts.append(tail)
    caller.write(b"".join(parts))
    caller.send_ready(status)


def send_failure(
    context: RequestContext, error: SqlError, status: TransactionStatus
) -> None:
    """Answer with an error."""
    caller = context.caller
    wait = error.retry_after or math.inf
    caller.session.retry_at = context.services.seconds() + wait
    caller.send_error(error)
    caller.send_ready(status)
    outcome = _OUTCOMES.get(error.sqlstate)
    count_request(context, TargetKind.NONE, outcome, error.message)
    step = _STEPS.get(error.sqlstate, RequestStep.NOT_RUN)
    record_step(context, step, error.message)


def record_step(
    context: RequestContext,
    step: RequestStep,
    reason: str = "",
    target: str = "",
    attempt: int = 0,
    via: str = "",
) -> None:
    """Log a decision about a request, with the state that it was based on."""
    services, view = context.services, context.runtime.view
    request_id = context.plan.request_id
    # Callers refer to a transaction by the request that opened it.
    opened_by = context.opened_by if context.opened_by != request_id else ""
    # Only a request with its own policy comes by a route, which has a priority.
    policy = context.plan.policy
    priority = policy.priority if policy else None
    refusal_reason = classify_refusal(reason) if step is RequestStep.NOT_RUN else ""
    if not services.events.reserve_line(step):
        shared = SharedDecision(
            step, reason, view.term, view.primary, priority, refusal_reason
        )
        for each in filter(None, (request_id, opened_by)):
            services.events.record_shared(each, shared)
        return
    now = services.seconds()
    elapsed = now - context.arrived_at
    confirmed_at = view.confirmed_at
    pool = context.runtime.pools.get(view.primary)
    load = pool.load if pool is not None else None
    event = RequestEvent(
        request_id,
        context.caller.database,
        context.plan.kind.value,
        step,
        reason,
        target,
        attempt,
        elapsed * 1000,
        context.settings_version,
        view.term,
        view.primary,
        (now - confirmed_at) * 1000 if confirmed_at > NEVER else None,
        load.in_use if load else 0,
        load.limit if load else 0,
        via,
        opened_by,
        priority,
        _compute_latency_left(policy, elapsed),
        _get_expected_wait(context, target or view.primary),
        refusal_reason,
    )
    services.events.record(event)


def _compute_latency_left(policy: RequestPolicy | None, elapsed: float) -> float | None:
    """Return the rest of a target latency, milliseconds; None without one."""
    if policy is None or math.isinf(policy.target_latency):
        return None
    return (policy.target_latency - elapsed) * 1000


def _get_expected_wait(context: RequestContext, database: str) -> float | None:
    """Return the expected wait at a database, milliseconds; None if unknown.

    The owner's report takes precedence over the wait for this instance's connections.
    """
    pool = context.runtime.pools.get(database)
    if pool is None:
        return None
    reported = pool.get_expected_times(context.demand).wait
    wait = reported or pool.load.expected_wait
    return wait * 1000 if math.isfinite(wait) else None


def count_request(
    context: RequestContext,
    target: TargetKind,
    outcome: RequestOutcome | None = RequestOutcome.DONE,
    reason: str = "",
) -> None:
    """Count an ended request; `reason` is the message of its refusal."""
    services, policy = context.services, context.policy
    kind = RequestKind.READ if context.plan.is_read else RequestKind.WRITE
    services.metrics.count_request(kind, outcome or RequestOutcome.DONE, target)
    # An error that is neither a target's answer nor a refusal is not served either.
    is_served = outcome is RequestOutcome.DONE
    elapsed = services.seconds() - context.arrived_at
    is_refused = outcome is RequestOutcome.NOT_RUN
    end = RequestSummary(
        policy.priority,
        bool(context.caller.account),
        is_served,
        is_served and elapsed <= policy.target_latency,
        classify_refusal(reason) if is_refused else "",
    )
    services.metrics.count_by_priority(end)


def classify_refusal(message: str) -> str:
    """Return the refusal reason that a message holds, one of a fixed set of words."""
    found = (word for text, word in _REFUSALS.items() if text in message)
    return next(found, OTHER_REASON)


def make_step_error(step: NextStep, reason: str) -> SqlError:
    """Return the error for a request that ends with a step other than an answer."""
    if step is NextStep.ROLLED_BACK:
        return make_rolled_back_error(reason)
    return make_outcome_unknown_error(reason)
