"""The flow of a request inside a transaction, on its pinned connection.

All units of a transaction run on the connection that it was opened on, so that no
other transaction uses it meanwhile. If the connection is lost, the target rolls the
transaction back, unless its ``COMMIT`` had been sent.
"""

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
from beryltrack.requests.flow import LOST_TEXT, REPLACED_TEXT
from beryltrack.requests.outcomes import (
    NextStep,
    RequestState,
    RunFailure,
    decide_after_commit,
    decide_after_failure,
)
from beryltrack.requests.protocol import RunLost
from beryltrack.requests.session import PinnedTransaction
from beryltrack.requests.shutdown import SHUTDOWN_TEXT
from beryltrack.requests.sink import AnswerSink
from beryltrack.routing.messages import StatementKind
from beryltrack.wire.messages import ResponseEnd, TransactionStatus


async def run_pinned(context: RequestContext) -> None:
    """Run a unit on the connection of the caller's open transaction.

    Parameters
    ----------
    context : RequestContext
        The request, whose caller has an open transaction.
    """
    pinned = context.caller.session.pinned
    services = context.services
    if not services.shutdown.may_start(pinned.pool, context.policy.run_timeout, True):
        not_sent = RunLost(False, SHUTDOWN_TEXT)
        await _finish_lost(
            context, pinned, AnswerSink(context.caller), not_sent, SHUTDOWN_TEXT
        )
        return
    protocol = services.protocol
    if _needs_ledger(context, pinned):
        is_repeat = await protocol.insert_for_commit(context, pinned)
        if is_repeat:
            _unpin(context, pinned, pinned.connection.broken is False)
            await context.services.protocol.resolve_commit(context)
            return
    sink = AnswerSink(context.caller)
    result = await protocol.run_pinned(
        pinned.connection, context.plan, sink, context.caller
    )
    if isinstance(result, RunLost):
        await _finish_lost(context, pinned, sink, result)
        return
    if result.proof is not None:
        pinned.runtime.task.observe_proof(result.proof)
    if result.position is not None:
        pinned.runtime.task.observe_position(pinned.database, result.position)
    if result.status is TransactionStatus.IDLE:
        await _finish_ended(context, pinned, sink, result)
    else:
        _finish_open(context, pinned, sink, result)


def drop_transaction(pinned: PinnedTransaction) -> None:
    """Roll back the transaction of a caller that has disconnected.

    Its connection is closed, which ends a transaction in any state.
    """
    pinned.pool.release(pinned.connection, False)


def _needs_ledger(context: RequestContext, pinned: PinnedTransaction) -> bool:
    """Return whether the unit commits an at-most-once transaction."""
    is_open = context.caller.status is TransactionStatus.IN_TRANSACTION
    is_commit = context.plan.kind is StatementKind.COMMIT
    return (
        is_open
        and is_commit
        and context.plan.is_at_most_once
        and not pinned.is_read_only
    )


def _is_rollback(context: RequestContext) -> bool:
    """Return whether the unit rolls back; a failed transaction cannot commit."""
    has_failed = context.caller.status is TransactionStatus.ERROR_TRANSACTION
    is_commit = context.plan.kind is StatementKind.COMMIT
    return context.plan.kind is StatementKind.ROLLBACK or (is_commit and has_failed)


def _get_state(
    context: RequestContext, pinned: PinnedTransaction, sink: AnswerSink
) -> RequestState:
    """Return the state of the unit."""
    return RequestState(
        is_read=pinned.is_read_only,
        in_transaction=True,
        is_commit=context.plan.kind is StatementKind.COMMIT
        and not _is_rollback(context),
        is_at_most_once=context.plan.is_at_most_once,
        is_answered=sink.is_answered,
    )


def _unpin(
    context: RequestContext, pinned: PinnedTransaction, is_reusable: bool
) -> None:
    """Return the transaction's connection to its pool."""
    context.caller.session.pinned = None
    pinned.pool.release(pinned.connection, is_reusable)


async def _finish_lost(
    context: RequestContext,
    pinned: PinnedTransaction,
    sink: AnswerSink,
    lost: RunLost,
    text: str = LOST_TEXT,
) -> None:
    """Resolve or report the outcome of a transaction whose connection is closed.

    `text` is the cause, for the caller and the log.
    """
    _unpin(context, pinned, False)
    if _is_rollback(context) and not sink.is_answered:
        if context.services.protocol.answer_rolled_back(context.plan, context.caller):
            count_request(context, TargetKind.NONE)
            record_step(context, RequestStep.SERVED, text, pinned.database)
            return
    state = _get_state(context, pinned, sink)
    step = decide_after_failure(state, RunFailure(lost.is_sent, ""))
    if step is NextStep.RESOLVE:
        await context.services.protocol.resolve_commit(context)
        return
    send_failure(context, make_step_error(step, text), TransactionStatus.IDLE)


async def _finish_ended(
    context: RequestContext,
    pinned: PinnedTransaction,
    sink: AnswerSink,
    end: ResponseEnd,
) -> None:
    """Confirm the commit of a transaction that has ended, and answer."""
    _unpin(context, pinned, _keeps_settings(context))
    if end.error is not None and _fail_replaced(context, pinned, sink, end):
        return
    protocol = context.services.protocol
    has_written = protocol.has_committed(context.plan, pinned, context.caller, end)
    if has_written and end.position is not None:
        outcome = await confirm_commit(context, end.position, pinned.database)
        step = decide_after_commit(_get_state(context, pinned, sink), outcome)
        if step is NextStep.RESOLVE:
            await context.services.protocol.resolve_commit(context)
            return
        if step is not NextStep.ANSWER:
            error = make_step_error(step, REPLACED_TEXT)
            send_failure(context, error, TransactionStatus.IDLE)
            return
    _answer(context, pinned, sink, end, has_written and end.position is not None)


def _finish_open(
    context: RequestContext,
    pinned: PinnedTransaction,
    sink: AnswerSink,
    end: ResponseEnd,
) -> None:
    """Answer a unit after which the transaction is still open."""
    if end.error is not None and _fail_replaced(context, pinned, sink, end):
        return
    if end.error is None:
        context.services.protocol.observe_pinned(context.plan, context.caller)
    _answer(context, pinned, sink, end, False)


def _fail_replaced(
    context: RequestContext,
    pinned: PinnedTransaction,
    sink: AnswerSink,
    end: ResponseEnd,
) -> bool:
    """Answer a unit that a replaced primary refused; return False for other errors."""
    state = _get_state(context, pinned, sink)
    step = decide_after_failure(state, RunFailure(True, end.error.sqlstate))
    if step is NextStep.ANSWER:
        return False
    send_failure(context, make_step_error(step, REPLACED_TEXT), end.status)
    return True


def _keeps_settings(context: RequestContext) -> bool:
    """Return whether the connection's settings are known to be unchanged.

    A rollback also reverts settings, so a connection on which a setting was changed
    inside a transaction is closed.
    """
    has_changed = context.caller.session.has_changed_settings
    context.caller.session.has_changed_settings = False
    return not has_changed


def _answer(
    context: RequestContext,
    pinned: PinnedTransaction,
    sink: AnswerSink,
    end: ResponseEnd,
    has_new_token: bool,
) -> None:
    """Send the target's answer to the caller; count and log it."""
    send_answer(context, sink, end.tail + end.error_frame, end.status, has_new_token)
    is_replica = pinned.database != pinned.runtime.view.primary
    count_request(context, TargetKind.REPLICA if is_replica else TargetKind.PRIMARY)
    step = RequestStep.SERVED if end.error is None else RequestStep.TARGET_ERROR
    reason = end.error.message if end.error is not None else ""
    via = pinned.connection.via
    record_step(context, step, reason, pinned.database, via=via)
