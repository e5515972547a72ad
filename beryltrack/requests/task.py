"""Entry point for callers' requests: plans, admits, forwards and runs them."""

from collections.abc import Callable

from returns.result import Failure
from twisted.internet.defer import Deferred

from beryltrack.errors import SqlError, make_not_run_error
from beryltrack.events.messages import RequestEvent, RequestStep, SharedDecision
from beryltrack.metrics.messages import RequestSummary
from beryltrack.requests.admission_task import UNADMITTED, Ticket
from beryltrack.requests.answers import ADMISSION, RequestContext
from beryltrack.requests.flow import RequestFlow
from beryltrack.requests.pinned import drop_transaction, run_pinned
from beryltrack.requests.protocol import UnitCaller, UnitForwarder, UnitPlan
from beryltrack.requests.runtime import GroupRuntime
from beryltrack.requests.services import RequestServices
from beryltrack.sessions.rules import RuleSelector
from beryltrack.settings.messages import SiteSettings

CALLER_DISCONNECTED = make_not_run_error("the caller has disconnected")

SESSION = "session"
STATEMENT = "statement"
"""Kinds in the log of a session that was refused, and of a unit without a plan."""


class RequestTask:
    """Runs the units of callers and answers them.

    Parameters
    ----------
    services : RequestServices
        Services of this instance.
    get_settings : callable
        Returns the settings in force.
    get_runtime : callable
        Returns the runtime of the named group, or None.
    """

    def __init__(
        self,
        services: RequestServices,
        get_settings: Callable[[], SiteSettings],
        get_runtime: Callable[[str], GroupRuntime | None],
    ):
        self._services = services
        self._get_settings = get_settings
        self._get_runtime = get_runtime
        self._rules = RuleSelector()
        self._forwarder: UnitForwarder | None = None

    def set_forwarder(self, forwarder: UnitForwarder) -> None:
        """Set the forwarder of requests whose group another instance owns."""
        self._forwarder = forwarder

    def check_session(self, caller: UnitCaller) -> SqlError | None:
        """Open a caller's session; return an error if its settings are wrong."""
        error = self._services.protocol.check_session(caller)
        if error is not None:
            self._record_refusal(caller, SESSION, error)
        return error

    def handle(self, unit: object, caller: UnitCaller) -> "Deferred[None]":
        """Run one unit; see `RequestHandler`."""
        return Deferred.fromCoroutine(self._handle(unit, caller))

    def drop_session(self, caller: UnitCaller) -> None:
        """Roll back the open transaction of a caller that has disconnected."""
        session = caller.session
        if session is not None and session.pinned is not None:
            pinned, session.pinned = session.pinned, None
            drop_transaction(pinned)

    async def run_forwarded(self, unit: object, caller: UnitCaller) -> None:
        """Run a unit that another instance forwarded; it is not forwarded again."""
        await self._handle(unit, caller, may_forward=False)
        self.drop_session(caller)

    async def _handle(
        self, unit: object, caller: UnitCaller, may_forward: bool = True
    ) -> None:
        """Plan a unit and run it."""
        runtime = self._find_runtime(caller)
        if runtime is None:
            error = self._services.protocol.describe_missing(caller)
            request_id = self._services.protocol.get_request_id(unit)
            self._record_refusal(caller, STATEMENT, error, request_id)
            _refuse(caller, error)
            return
        rules = self._rules.select(self._get_settings().rules, runtime.settings)
        protocol = self._services.protocol
        planned = protocol.plan(unit, caller, runtime.settings, rules)
        if isinstance(planned, Failure):
            _refuse(caller, planned.failure())
            return
        plan = planned.unwrap()
        if protocol.answer_locally(plan, caller):
            return
        await self._run(plan, caller, runtime, may_forward)

    def _record_refusal(
        self,
        caller: UnitCaller,
        kind: str,
        error: SqlError,
        request_id: str = "",
        priority: int | None = None,
        refusal_reason: str = "",
    ) -> None:
        """Log a refusal: no database in the settings, or not admitted."""
        events = self._services.events
        if events.reserve_line(RequestStep.NOT_RUN):
            event = RequestEvent(
                request_id,
                caller.database,
                kind,
                RequestStep.NOT_RUN,
                error.message,
                settings_version=self._get_settings().revision,
                priority=priority,
                verdict=refusal_reason,
            )
            events.record(event)
        elif request_id:
            shared = SharedDecision(RequestStep.NOT_RUN, error.message, 0, "", priority)
            events.record_shared(request_id, shared)

    def _find_runtime(self, caller: UnitCaller) -> GroupRuntime | None:
        """Return the caller's group, which is fixed during a transaction."""
        pinned = caller.session.pinned
        if pinned is not None:
            return pinned.runtime
        return self._get_runtime(caller.database)

    async def _run(
        self,
        plan: UnitPlan,
        caller: UnitCaller,
        runtime: GroupRuntime,
        may_forward: bool,
    ) -> None:
        """Admit a planned unit, and run or forward it."""
        services, session = self._services, caller.session
        services.retries.observe_request()
        arrived_at = services.seconds()
        deadline = arrived_at + (plan.policy or services.policy).request_timeout
        admitted = services.admission.admit(runtime.settings.team, deadline)
        if isinstance(admitted, Failure) and session.pinned is None:
            self._refuse_new(plan, caller, admitted.failure())
            return
        # A statement of an open transaction runs even if it is not admitted: its
        # refusal would keep the transaction's connection in use for longer.
        ticket = admitted.value_or(Ticket(UNADMITTED, services.admission))
        caller.set_close_callback(lambda: ticket.evict(CALLER_DISCONNECTED))
        version = self._get_settings().revision
        if session.pinned is None:
            session.opened_by = plan.request_id
        context = RequestContext(
            services,
            runtime,
            caller,
            plan,
            arrived_at,
            ticket,
            version,
            session.opened_by,
        )
        try:
            if may_forward and self._should_forward(context):
                await self._forwarder.run(context)
            else:
                await _run_on_targets(context)
        finally:
            caller.set_close_callback(None)
            ticket.finish()

    def _refuse_new(self, plan: UnitPlan, caller: UnitCaller, error: SqlError) -> None:
        """Refuse a unit that was not admitted; log and count the refusal."""
        policy = plan.policy or self._services.policy
        self._services.metrics.count_by_priority(
            RequestSummary(
                policy.priority, bool(caller.account), False, False, ADMISSION
            )
        )
        priority = plan.policy.priority if plan.policy else None
        self._record_refusal(
            caller, plan.kind.value, error, plan.request_id, priority, ADMISSION
        )
        _refuse(caller, error)

    def _should_forward(self, context: RequestContext) -> bool:
        """Return whether an owner of the group runs a unit."""
        return (
            self._forwarder is not None
            and context.caller.session.pinned is None
            and self._forwarder.should_forward(context)
        )


async def _run_on_targets(context: RequestContext) -> None:
    """Run an admitted unit on targets."""
    plan = context.plan
    if context.caller.session.pinned is not None:
        await run_pinned(context)
    elif plan.is_at_most_once and not plan.is_read:
        await context.services.protocol.run_at_most_once(context)
    else:
        await RequestFlow(context).run()


def _refuse(caller: UnitCaller, error: SqlError) -> None:
    """Answer a unit that was not run with an error."""
    caller.send_error(error)
    caller.send_ready(caller.status)
