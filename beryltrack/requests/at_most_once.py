"""The flow of an at-most-once request, which carries an identifier.

The unique key of the ledger deduplicates runs. The row is inserted in the request's
own transaction, so that a second insertion, through any proxy and after any failover,
waits for the first and then fails if that one has committed. An insertion that succeeds
and is rolled back proves that no earlier run has committed or ever will.
"""

from datetime import UTC, datetime

from pygwire.messages import CommandComplete
from returns.result import Failure
from twisted.internet.task import deferLater

from beryltrack.connections.target import TargetConnection
from beryltrack.errors import (
    INVALID_PARAMETER_VALUE,
    SqlError,
    make_outcome_unknown_error,
    make_refusal,
    make_rolled_back_error,
)
from beryltrack.metrics.messages import TargetKind
from beryltrack.requests import ledger
from beryltrack.requests.answers import (
    RequestContext,
    confirm_commit,
    count_request,
    send_answer,
    send_failure,
)
from beryltrack.requests.execution import (
    apply_settings,
    read_rows,
    run_command,
    run_plan,
)
from beryltrack.requests.outcomes import READ_ONLY_REFUSAL
from beryltrack.requests.protocol import RunLost
from beryltrack.requests.session import PinnedTransaction
from beryltrack.requests.sink import AnswerSink
from beryltrack.requests.targets import (
    FoundTarget,
    find_target,
    sample_primary,
)
from beryltrack.routing.messages import WriteRequest
from beryltrack.transactions.decider import CommitOutcome
from beryltrack.wire.messages import ResponseEnd, TransactionStatus
from beryltrack.wire.sinks import CollectingSink

RETRY_PERIOD = 0.02
"""Seconds between two attempts to run a request or to determine its outcome."""

ROLLBACK = "ROLLBACK"
UNKNOWN_TEXT = "the outcome could not be determined in time"
NOT_RUN_NOW = "The request was not run now; an earlier sending may have been."
REPEAT_TEXT = "the request identifier was used for a different request"


class AtMostOnceFlow:
    """Runs one at-most-once unit outside of a transaction until it is answered.

    Parameters
    ----------
    context : RequestContext
        The request.
    """

    def __init__(self, context: RequestContext):
        self._context = context
        self._request_id = context.plan.options.request_id
        self._fingerprint = context.plan.fingerprint
        self._may_have_run = False

    async def run(self) -> None:
        """Run the unit, or find its recorded answer, until the caller has an answer."""
        context = self._context
        while True:
            found = await find_primary(context)
            if isinstance(found, Failure):
                self._give_up(found.failure())
                return
            if await self._attempt(found.unwrap()):
                return
            if context.services.seconds() >= context.deadline:
                self._give_up(make_refusal(UNKNOWN_TEXT, 1.0))
                return
            await deferLater(context.services.reactor, RETRY_PERIOD, lambda: None)

    def _give_up(self, refusal: SqlError) -> None:
        """Answer with an error, or with "outcome unknown" if the unit may have run."""
        # The refusal holds for this request only; earlier ones with the same
        # identifier may have come through other proxies.
        refusal = refusal._replace(detail=NOT_RUN_NOW)
        error = (
            make_outcome_unknown_error(UNKNOWN_TEXT) if self._may_have_run else refusal
        )
        send_failure(self._context, error, TransactionStatus.IDLE)

    async def _attempt(self, target: FoundTarget) -> bool:
        """Run the unit once; return True if the caller has its answer."""
        connection = target.connection
        opened = await self._open(connection)
        if isinstance(opened, RunLost):
            target.pool.release(connection, False)
            return False
        if opened.error is None:
            return await self._run_opened(target)
        await run_command(connection, ROLLBACK)
        return await self._handle_refused(target, opened.error)

    async def _open(self, connection: TargetConnection) -> ResponseEnd | RunLost:
        """Open the transaction and insert the ledger's row."""
        services, caller = self._context.services, self._context.caller
        refused = await apply_settings(connection, caller, services.protocol.settings)
        if refused is not None:
            return refused
        created_at = datetime.now(UTC).isoformat(timespec="seconds")
        text = ledger.format_open(self._request_id, self._fingerprint, created_at)
        return await run_command(connection, text)

    async def _handle_refused(self, target: FoundTarget, error: SqlError) -> bool:
        """Handle a failed insertion; return True if the caller has its answer."""
        connection = target.connection
        if error.sqlstate == ledger.UNDEFINED_TABLE:
            created = await run_command(connection, ledger.CREATE_TABLE)
            is_done = not isinstance(created, RunLost) and created.error is None
            target.pool.release(connection, is_done)
            if is_done or isinstance(created, RunLost):
                return False
            error = created.error
        elif error.sqlstate == ledger.UNIQUE_VIOLATION:
            return await self._answer_repeat(target)
        else:
            target.pool.release(connection, True)
        if error.sqlstate == READ_ONLY_REFUSAL:
            return False
        send_failure(self._context, error, TransactionStatus.IDLE)
        return True

    async def _run_opened(self, target: FoundTarget) -> bool:
        """Run the unit in the transaction that inserted its row, and commit."""
        context, connection = self._context, target.connection
        context.runtime.is_ledger_ready = True
        sink = AnswerSink(context.caller, max_buffered=ledger.MAX_RECORDED_ANSWER)
        end = await run_plan(connection, context.plan, sink, context.caller)
        if isinstance(end, RunLost):
            return self._drop(target, sink)
        if end.error is not None:
            return await self._end_refused(target, sink, end)
        frames = b"" if sink.is_answered else sink.get_buffered()
        is_extended = context.plan.extended is not None
        answer = ledger.make_recorded_answer(is_extended, frames, end.tail)
        # From here on the commit may take effect although its answer is lost.
        self._may_have_run = True
        text = ledger.format_close(self._request_id, answer)
        closed = await run_command(connection, text)
        if isinstance(closed, RunLost) or closed.error is not None:
            return self._drop(target, sink)
        target.pool.release(connection, True)
        return await self._confirm(target, sink, end.tail, closed)

    async def _end_refused(
        self, target: FoundTarget, sink: AnswerSink, end: ResponseEnd
    ) -> bool:
        """Roll back after an error; pass it on unless the primary was replaced."""
        rolled_back = await run_command(target.connection, ROLLBACK)
        target.pool.release(target.connection, not isinstance(rolled_back, RunLost))
        if end.error.sqlstate == READ_ONLY_REFUSAL:
            return self._drop_answer(sink)
        context = self._context
        send_answer(context, sink, end.error_frame, TransactionStatus.IDLE)
        count_request(context, TargetKind.PRIMARY)
        return True

    def _drop(self, target: FoundTarget, sink: AnswerSink) -> bool:
        """Close the connection, so that the target rolls its transaction back.

        For a caller that has received a part of the answer the unit cannot run again;
        it gets "outcome unknown" and may repeat the request.
        """
        target.pool.release(target.connection, False)
        if not sink.is_answered:
            return False
        self._may_have_run = True
        self._give_up(make_refusal(UNKNOWN_TEXT, 1.0))
        return True

    async def _confirm(
        self, target: FoundTarget, sink: AnswerSink, tail: bytes, closed: ResponseEnd
    ) -> bool:
        """Confirm the commit and answer."""
        context = self._context
        outcome = await confirm_commit(context, closed.position, target.database)
        if outcome is CommitOutcome.CONFIRMED:
            send_answer(context, sink, tail, TransactionStatus.IDLE, True)
            count_request(context, TargetKind.PRIMARY)
            return True
        if outcome is CommitOutcome.ROLLED_BACK:
            self._may_have_run = False
        return self._drop_answer(sink)

    def _drop_answer(self, sink: AnswerSink) -> bool:
        """Discard the answer of a lost commit; return True if that ends the request."""
        if sink.is_answered:
            self._give_up(make_rolled_back_error("the primary was replaced"))
            return True
        sink.take_buffered()
        return False

    async def _answer_repeat(self, target: FoundTarget) -> bool:
        """Answer with the recorded answer of an earlier run."""
        context = self._context
        row = await read_row(target.connection, self._request_id)
        is_read = isinstance(row, ledger.LedgerRow)
        target.pool.release(target.connection, is_read)
        if not is_read or not await confirm_durable(context, target.database):
            self._may_have_run = True
            return False
        if row.fingerprint != self._fingerprint:
            error = SqlError(INVALID_PARAMETER_VALUE, REPEAT_TEXT)
            send_failure(context, error, TransactionStatus.IDLE)
            return True
        frames = row.answer.frames or CommandComplete("COMMIT").to_wire()
        sink = AnswerSink(context.caller)
        send_answer(context, sink, frames, TransactionStatus.IDLE, True)
        count_request(context, TargetKind.PRIMARY)
        return True


async def find_primary(context: RequestContext):
    """Wait for a primary with a confirmed term, and acquire a connection to it."""
    request = WriteRequest(context.services.seconds())
    return await find_target(context.search, request)


async def read_row(
    connection: TargetConnection, request_id: str
) -> ledger.LedgerRow | None:
    """Return a request's row of the ledger; None if it is missing or unreadable."""
    sink = CollectingSink()
    end = await run_command(connection, ledger.format_lookup(request_id), sink)
    if isinstance(end, RunLost) or end.error is not None:
        return None
    rows = read_rows(sink.frames)
    if not rows:
        return None
    fingerprint, answer = rows[0]
    return ledger.LedgerRow(fingerprint, ledger.decode_answer(answer))


async def confirm_durable(context: RequestContext, database: str) -> bool:
    """Return whether the data just read at a primary is durable.

    A position sampled now follows everything read before. If it is of the same primary
    and a majority receives it, the majority has received the data that was read.
    """
    services, runtime = context.services, context.runtime
    timeout = max(0.0, context.deadline - services.seconds())
    sample = await sample_primary(services, runtime, timeout)
    if sample is None or runtime.view.primary != database:
        return False
    outcome = await confirm_commit(context, sample, database)
    return outcome is CommitOutcome.CONFIRMED


async def insert_for_commit(context: RequestContext, pinned: PinnedTransaction) -> bool:
    """Insert the row of an at-most-once transaction just before its commit.

    Parameters
    ----------
    context : RequestContext
        The ``COMMIT``.
    pinned : PinnedTransaction
        The transaction.

    Returns
    -------
    bool
        True if the transaction was rolled back instead, because an earlier run
        of it has committed or its connection was lost.
    """
    created_at = datetime.now(UTC).isoformat(timespec="seconds")
    request_id = context.plan.options.request_id
    insert = ledger.format_insert(request_id, COMMIT_FINGERPRINT, created_at)
    text = f"{ledger.CREATE_TABLE}; {insert}"
    end = await run_command(pinned.connection, text)
    if isinstance(end, RunLost):
        return True
    if end.error is None:
        return False
    await run_command(pinned.connection, ROLLBACK)
    return True


COMMIT_FINGERPRINT = "commit"
"""Fingerprint of any at-most-once transaction: only its ``COMMIT`` is identified."""


async def resolve_commit(context: RequestContext) -> None:
    """Determine whether an at-most-once transaction has committed, and answer.

    Parameters
    ----------
    context : RequestContext
        The ``COMMIT``, whose transaction has ended.
    """
    while True:
        found = await find_primary(context)
        if isinstance(found, Failure):
            break
        has_committed = await _probe_ledger(context, found.unwrap())
        if has_committed is not None:
            _answer_resolved(context, has_committed)
            return
        if context.services.seconds() >= context.deadline:
            break
        await deferLater(context.services.reactor, RETRY_PERIOD, lambda: None)
    send_failure(
        context, make_outcome_unknown_error(UNKNOWN_TEXT), TransactionStatus.IDLE
    )


def _answer_resolved(context: RequestContext, has_committed: bool) -> None:
    """Answer a ``COMMIT`` whose outcome is known."""
    if has_committed:
        tail = CommandComplete("COMMIT").to_wire()
        sink = AnswerSink(context.caller)
        send_answer(context, sink, tail, TransactionStatus.IDLE, True)
        count_request(context, TargetKind.PRIMARY)
        return
    error = make_rolled_back_error("the transaction did not commit")
    send_failure(context, error, TransactionStatus.IDLE)


async def _probe_ledger(context: RequestContext, target: FoundTarget) -> bool | None:
    """Return whether a request has committed; None if that is not known yet."""
    connection, request_id = target.connection, context.plan.options.request_id
    opened = await run_command(
        connection, ledger.format_open(request_id, COMMIT_FINGERPRINT, "")
    )
    if isinstance(opened, RunLost):
        target.pool.release(connection, False)
        return None
    rolled_back = await run_command(connection, ROLLBACK)
    target.pool.release(connection, not isinstance(rolled_back, RunLost))
    sqlstate = opened.error.sqlstate if opened.error is not None else ""
    has_committed = {
        "": False,
        ledger.UNDEFINED_TABLE: False,
        ledger.UNIQUE_VIOLATION: True,
    }.get(sqlstate)
    if has_committed is None or not await confirm_durable(context, target.database):
        return None
    return has_committed
