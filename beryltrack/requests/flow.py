"""The flow of a request outside of a transaction, from arrival to answer.

It finds a target, runs the unit, decides by `outcomes` whether a failed run is
repeated, and confirms a commit before the caller gets its answer.
"""

from returns.maybe import Some
from returns.result import Failure
from twisted.internet.task import deferLater

from beryltrack.errors import (
    CANNOT_CONNECT_NOW,
    CONFIGURATION_LIMIT_EXCEEDED,
    TOO_MANY_CONNECTIONS,
    SqlError,
    make_refusal,
    make_rolled_back_error,
)
from beryltrack.events.messages import RequestStep
from beryltrack.metrics.messages import TargetKind
from beryltrack.requests.answers import (
    RequestContext,
    confirm_commit,
    count_request,
    make_step_error,
    record_step,
    send_answer,
    send_failure,
)
from beryltrack.requests.outcomes import (
    READ_ONLY_REFUSAL,
    NextStep,
    RequestState,
    RunFailure,
    decide_after_commit,
    decide_after_failure,
)
from beryltrack.requests.protocol import RunLost, RunResult
from beryltrack.requests.retry import FailedAttempt, may_retry_refused
from beryltrack.requests.session import PinnedTransaction
from beryltrack.requests.sink import AnswerSink
from beryltrack.requests.targets import FoundTarget, find_target
from beryltrack.routing.messages import ReadRequest, StatementKind, WriteRequest
from beryltrack.wire.messages import ResponseEnd, TransactionStatus

LOST_TEXT = "the connection to the target was lost"
UNPROVEN_TEXT = "the primary's leadership was not proven"
REPLACED_TEXT = "the primary was replaced"

MAX_ATTEMPTS = 4
"""Attempts after which a refusal as over the account's limit is final. In most cases
they allow for one in each availability zone with a quota share of the account, and for
one that failed otherwise."""


class RequestFlow:
    """Runs one unit outside of a transaction until it is answered.

    Parameters
    ----------
    context : RequestContext
        The request.
    """

    def __init__(self, context: RequestContext):
        self._context = context
        self._must_write = not context.plan.is_read
        self._sink = AnswerSink(context.caller)
        self._attempts = 0
        self._sent_at = 0.0
        self._excluded: tuple[str, ...] = ()
        self._may_have_run = False
        self._lacks_proof = False
        self._is_rerouted = False
        self._refusal: SqlError | None = None
        self._refusal_count = 0
        self._was_refused_at_replica = False

    async def run(self) -> None:
        """Run the unit until it has an answer."""
        while True:
            self._attempts += 1
            found = await self._find_target()
            if isinstance(found, Failure):
                self._fail(self._make_refusal(found.failure()))
                return
            step, reason = await self._attempt(found.unwrap())
            if step is NextStep.ANSWER:
                return
            if step is not NextStep.RETRY:
                self._fail(make_step_error(step, reason))
                return
            record_step(
                self._context,
                RequestStep.RETRIED,
                reason,
                found.unwrap().database,
                self._attempts,
                found.unwrap().connection.via,
            )
            if self._is_rerouted:
                continue
            if self._is_refusal_final() or not await self._wait_to_retry():
                refusal = self._refusal or make_refusal(reason, 1.0)
                self._fail(self._make_refusal(refusal))
                return

    async def _find_target(self):
        """Wait for a database that can take the unit."""
        return await find_target(self._context.search, self._make_request())

    def _make_request(self) -> ReadRequest | WriteRequest:
        """Return the routing request for the unit."""
        context = self._context
        if self._must_write:
            is_begin = context.plan.kind is StatementKind.BEGIN
            return WriteRequest(context.arrived_at, opens_transaction=is_begin)
        token = context.caller.session.get_known_position(context.runtime.settings.name)
        return ReadRequest(
            context.arrived_at,
            token,
            context.plan.options.max_age,
            context.plan.options.reads,
            context.services.zone,
            excluded=self._excluded,
            deadline=context.give_up_at,
            written_at=context.caller.session.written_at,
            sequence=next(context.services.sequence),
            account=context.caller.account,
            may_run_unproven=context.services.has_group_owners()
            and not self._lacks_proof,
            via_zone=context.services.account_owners.get_zone(context.caller.account),
        )

    async def _attempt(self, target: FoundTarget) -> tuple[NextStep, str]:
        """Run the unit once; return the next step and why it is needed."""
        self._refusal = None
        result = await self._run_on(target)
        self._is_rerouted = self._may_run_elsewhere(target, result)
        if isinstance(result, RunLost):
            target.pool.release(target.connection, False, result.is_sent)
            self._may_have_run |= result.is_sent
            self._exclude(target)
            return self._decide_failure(RunFailure(result.is_sent, "")), LOST_TEXT
        if self._is_rerouted:
            self._sink.take_buffered()
            target.pool.release(target.connection, True, False)
            return NextStep.RETRY, result.error.message
        if result.error is not None:
            step = self._decide_failure(RunFailure(True, result.error.sqlstate))
            if step is not NextStep.ANSWER:
                self._exclude(target)
                self._record_refusal(target, result.error)
                self._observe_refusal(target, result.error)
                is_idle = result.status is TransactionStatus.IDLE
                target.pool.release(target.connection, is_idle, False)
                return step, result.error.message
        return await self._finish(target, result)

    def _may_run_elsewhere(self, target: FoundTarget, result: RunResult) -> bool:
        """Return whether another instance may run a unit refused as over a limit.

        The unit was not run, and the other instance has its own quota share. It is
        rerouted at once and without the retry budget, as each instance is tried once.
        """
        if isinstance(result, RunLost) or result.error is None:
            return False
        via, context = target.connection.via, self._context
        is_refused = result.error.sqlstate == CONFIGURATION_LIMIT_EXCEEDED and via
        if not is_refused or self._sink.is_answered:
            return False
        if self._attempts >= MAX_ATTEMPTS:
            return False
        return context.services.account_owners.observe_quota_refusal(
            context.caller.account, via
        )

    async def _run_on(self, target: FoundTarget) -> RunResult:
        """Run the unit on a connection."""
        context = self._context
        protocol, plan = context.services.protocol, context.plan
        if target.proof is not None:
            self._sink.buffer_all()
        self._sent_at = context.services.seconds()
        return await protocol.run(
            target.connection, plan, self._sink, context.caller, target.after
        )

    def _record_refusal(self, target: FoundTarget, error: SqlError) -> None:
        """Record the retry time that another instance named, and whether it is full."""
        if not (target.connection.via and error.retry_after):
            return
        self._refusal = error
        if error.sqlstate == TOO_MANY_CONNECTIONS:
            self._refusal_count += 1
            self._was_refused_at_replica = target.is_replica

    def _is_refusal_final(self) -> bool:
        """Return whether the last run's refusal by a full instance is the answer."""
        refusal = self._refusal
        if refusal is None or refusal.sqlstate != TOO_MANY_CONNECTIONS:
            return False
        return not may_retry_refused(self._refusal_count, self._was_refused_at_replica)

    def _observe_refusal(self, target: FoundTarget, error: SqlError) -> None:
        """Update the group's view with what a refusal shows of its database."""
        task = self._context.runtime.task
        if error.sqlstate == CANNOT_CONNECT_NOW:
            # An instance that cannot reach the database closes the session; its refusal
            # says nothing about the position that the database shows.
            if target.after is not None and not target.connection.broken:
                task.observe_lagging(target.database, target.after)
        elif error.sqlstate == READ_ONLY_REFUSAL:
            # The database was replaced as primary; this view does not show that yet.
            task.suspect(target.database, self._sent_at)

    def _exclude(self, target: FoundTarget) -> None:
        """Exclude a replica that failed from the next attempt."""
        if target.is_replica:
            self._excluded = (*self._excluded, target.database)

    def _decide_failure(self, failure: RunFailure) -> NextStep:
        """Return the step after a failed run; discard its answer unless it is final."""
        step = decide_after_failure(self._get_state(), failure)
        if step is not NextStep.ANSWER:
            self._sink.take_buffered()
        if failure.sqlstate == READ_ONLY_REFUSAL:
            # A statement that was classified as a read may write after all.
            self._must_write = True
        return step

    def _get_state(self) -> RequestState:
        """Return the state of the unit."""
        return RequestState(
            is_read=not self._must_write,
            in_transaction=False,
            is_commit=True,
            is_at_most_once=False,
            is_answered=self._sink.is_answered,
        )

    async def _finish(
        self, target: FoundTarget, end: ResponseEnd
    ) -> tuple[NextStep, str]:
        """Release or pin the connection, confirm the commit, and answer."""
        context = self._context
        self._observe(target, end)
        if end.status is TransactionStatus.IDLE:
            self._release(target)
        else:
            self._pin(target)
        if not await self._is_proven(target, end):
            self._drop_unproven(target, end)
            return NextStep.RETRY, UNPROVEN_TEXT
        is_commit = end.error is None and end.status is TransactionStatus.IDLE
        if self._must_write and is_commit and end.position is not None:
            outcome = await confirm_commit(context, end.position, target.database)
            step = decide_after_commit(self._get_state(), outcome)
            if step is not NextStep.ANSWER:
                self._sink.take_buffered()
                self._may_have_run = True
                return step, REPLACED_TEXT
        self._answer(target, end)
        return NextStep.ANSWER, ""

    async def _is_proven(self, target: FoundTarget, end: ResponseEnd) -> bool:
        """Return whether an answer is proven to be current enough for its read.

        The proof was requested after the read had arrived and shows that the primary
        led then. Everything acknowledged before is in its log and stays in the log of
        its term, whenever the read ran.
        """
        if target.proof is None or end.error is not None:
            return True
        proven = await target.proof
        is_same = self._context.runtime.view.primary == target.database
        if proven is None or end.position is None or not is_same:
            return False
        return proven.term == end.position.term

    def _drop_unproven(self, target: FoundTarget, end: ResponseEnd) -> None:
        """Discard the answer of a read that may be stale; the read runs again."""
        self._sink.take_buffered()
        self._lacks_proof = self._may_have_run = True
        session = self._context.caller.session
        if end.status is not TransactionStatus.IDLE and session.pinned is not None:
            session.pinned = None
            target.pool.release(target.connection, False)

    def _observe(self, target: FoundTarget, end: ResponseEnd) -> None:
        """Record what the answer shows of the target and the session."""
        context = self._context
        protocol = context.services.protocol
        if end.proof is not None:
            context.runtime.task.observe_proof(end.proof)
        if end.position is not None:
            shown_at = self._sent_at if end.error is None else None
            context.runtime.task.observe_position(
                target.database, end.position, shown_at
            )
            if end.error is None and protocol.proves_leadership(context.plan):
                context.runtime.task.observe_leadership(
                    target.database, end.position, self._sent_at
                )
        if end.error is None:
            protocol.observe_answer(context.plan, context.caller, target.connection)

    def _release(self, target: FoundTarget) -> None:
        """Return the connection to its pool."""
        target.pool.release(target.connection, True)

    def _pin(self, target: FoundTarget) -> None:
        """Pin the connection to the transaction that the unit opened."""
        context = self._context
        is_read_only = context.plan.kind is StatementKind.BEGIN_READ_ONLY
        context.caller.session.pinned = PinnedTransaction(
            context.runtime,
            target.database,
            target.pool,
            target.connection,
            is_read_only,
        )

    def _answer(self, target: FoundTarget, end: ResponseEnd) -> None:
        """Send the target's answer to the caller; count and log it."""
        has_new_token = self._must_write and end.position is not None
        tail = end.tail + end.error_frame
        send_answer(self._context, self._sink, tail, end.status, has_new_token)
        kind = TargetKind.REPLICA if target.is_replica else TargetKind.PRIMARY
        count_request(self._context, kind)
        step = RequestStep.SERVED if end.error is None else RequestStep.TARGET_ERROR
        reason = end.error.message if end.error is not None else ""
        record_step(
            self._context,
            step,
            reason,
            target.database,
            self._attempts,
            target.connection.via,
        )

    async def _wait_to_retry(self) -> bool:
        """Wait for the retry delay; return False if no retry is permitted."""
        services = self._context.services
        if services.shutdown.is_late:
            return False
        delay = services.retries.choose_retry(
            FailedAttempt(self._attempts, True),
            self._context.deadline,
            0.0,
            services.seconds(),
        )
        if not isinstance(delay, Some):
            return False
        await deferLater(services.reactor, delay.unwrap(), lambda: None)
        return True

    def _make_refusal(self, refusal: SqlError) -> SqlError:
        """Return the error for a unit that fails between two runs.

        Only a run without effect is followed by another. A unit that has run before
        is reported as rolled back, since "not run" would be false.
        """
        return (
            make_rolled_back_error(refusal.message) if self._may_have_run else refusal
        )

    def _fail(self, error: SqlError) -> None:
        """Answer with an error; no transaction is open."""
        send_failure(self._context, error, TransactionStatus.IDLE)
