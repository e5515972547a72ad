"""The course of a request that another proxy runs, an owner of its group."""

from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from beryltrack.errors import (
    QUERY_CANCELED,
    SqlError,
    make_refusal,
    make_rolled_back_error,
)
from beryltrack.findings import format_finding
from beryltrack.peers.forward_messages import ForwardOutcome, ForwardResult
from beryltrack.requests.answers import RequestContext, make_step_error, send_failure
from beryltrack.requests.forward_form import apply_effects_form, encode_request
from beryltrack.requests.outcomes import NextStep
from beryltrack.requests.sink import AnswerSink
from beryltrack.routing.messages import StatementKind
from beryltrack.wire.messages import TransactionStatus

PAUSE = 0.05
"""Seconds between two attempts to forward a request."""

# What needs a connection for longer than one unit is run with borrowed ones.
_FORWARDABLE = frozenset(
    (StatementKind.READ, StatementKind.WRITE, StatementKind.EMPTY, StatementKind.SHOW)
)


class Stream(Protocol):
    """A request that was passed on."""

    def consume(self, size: int) -> None:
        """Say that so many bytes of the answer have gone to the caller."""

    def cancel(self) -> None:
        """Cancel the request; its outcome still comes."""


class RequestForwarder(Protocol):
    """Passes requests on to the owners of their groups."""

    def is_owner(self, group: str) -> bool:
        """Return whether this instance runs a group's requests itself."""

    def forward(self, group: str, request: bytes, deadline: float, sink) -> Stream:
        """Pass a request on; the sink takes its answer and its outcome."""


def is_forwardable(kind: StatementKind) -> bool:
    """Return whether a unit of this kind may run on another instance."""
    return kind in _FORWARDABLE


class ForwardToOwners:
    """Passes units on to the owners of their groups; see `UnitForwarder`.

    Parameters
    ----------
    forwarder : RequestForwarder
        Carries the requests.
    """

    def __init__(self, forwarder: RequestForwarder):
        self._forwarder = forwarder

    def takes(self, context: RequestContext) -> bool:
        """Return whether an owner of the group is to run a unit."""
        is_owner = self._forwarder.is_owner(context.runtime.settings.name)
        return is_forwardable(context.plan.kind) and not is_owner

    async def run(self, context: RequestContext) -> None:
        """Have an owner run a unit, and answer the caller."""
        await ForwardCourse(context, self._forwarder).run()


class ForwardSink:
    """Takes the answer to one forwarded request.

    The owner is told to send more only as the caller reads, so that a slow
    caller holds back its own answer and nothing else.

    Parameters
    ----------
    answer : AnswerSink
        Where the answer goes.
    """

    def __init__(self, answer: AnswerSink):
        self.done: Deferred[ForwardResult] = Deferred()
        self.stream: Stream | None = None
        self._answer = answer
        self._untaken = 0
        self._is_paused = False
        answer.attach(self)

    def write(self, data: bytes) -> None:
        """Take a part of the answer."""
        self._answer.write(data)
        self._untaken += len(data)
        self._take()

    def finish(self, result: ForwardResult) -> None:
        """Take what came of the request."""
        self._answer.detach()
        self.done.callback(result)

    def pauseProducing(self) -> None:  # noqa: N802
        """Ask for no more: the caller has not read what it was sent."""
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Ask for more."""
        self._is_paused = False
        self._take()

    def _take(self) -> None:
        """Ask for as much as has gone to the caller."""
        if self._untaken and not self._is_paused and self.stream is not None:
            size, self._untaken = self._untaken, 0
            self.stream.consume(size)


class ForwardCourse:
    """Carries one unit to an owner and its answer back.

    Parameters
    ----------
    context : RequestContext
        The request.
    forwarder : RequestForwarder
        Passes it on.
    """

    def __init__(self, context: RequestContext, forwarder: RequestForwarder):
        self._context = context
        self._forwarder = forwarder
        self._sink = AnswerSink(context.caller)
        self._is_cancelled = False
        self._may_have_run = False

    async def run(self) -> None:
        """Forward the unit until it has an answer."""
        context = self._context
        while True:
            result = await self._forward()
            step = self._judge(result)
            if step is NextStep.ANSWER:
                self._answer(result)
                return
            if step is not NextStep.RETRY:
                self._fail(make_step_error(step, result.reason))
                return
            if context.services.seconds() >= context.give_up_at:
                self._fail(self._make_last_error(result.reason))
                return
            await deferLater(context.services.reactor, PAUSE, lambda: None)

    async def _forward(self) -> ForwardResult:
        """Forward the unit once."""
        context = self._context
        sink = ForwardSink(self._sink)
        sink.stream = self._forwarder.forward(
            context.runtime.settings.name,
            encode_request(context.plan.request, context.caller),
            context.give_up_at,
            sink,
        )
        context.caller.set_cancel_callback(self._make_cancel(sink.stream))
        try:
            return await sink.done
        finally:
            context.caller.set_cancel_callback(None)

    def _make_cancel(self, stream: Stream) -> Callable[[], None]:
        """Return what cancels the unit when the caller asks for that."""

        def cancel() -> None:
            self._is_cancelled = True
            stream.cancel()

        return cancel

    def _judge(self, result: ForwardResult) -> NextStep:
        """Return the next step; only what is safe is forwarded again."""
        plan = self._context.plan
        if result.outcome is ForwardOutcome.ANSWERED:
            return NextStep.ANSWER
        if result.outcome is ForwardOutcome.ROLLED_BACK:
            return NextStep.ROLLED_BACK
        is_repeatable = not (self._sink.is_answered or self._is_cancelled)
        if result.outcome is ForwardOutcome.NOT_RUN:
            return NextStep.RETRY if is_repeatable else NextStep.ROLLED_BACK
        if plan.is_read:
            return NextStep.RETRY if is_repeatable else NextStep.ROLLED_BACK
        # The ledger keeps a marked request that has run from running again.
        self._may_have_run = True
        is_retried = plan.is_marked and is_repeatable
        return NextStep.RETRY if is_retried else NextStep.UNKNOWN

    def _answer(self, result: ForwardResult) -> None:
        """Pass the rest of the answer on and take over what it changed."""
        caller = self._context.caller
        caller.write(self._sink.take_held())
        findings = apply_effects_form(result.trailer, caller)
        if findings:
            text = "; ".join(map(format_finding, findings))
            raise RuntimeError(f"an owner's answer cannot be read: {text}")
        caller.send_ready(TransactionStatus.IDLE)

    def _make_last_error(self, reason: str) -> SqlError:
        """Return the error of a unit for which time is up."""
        if self._may_have_run:
            return make_step_error(NextStep.UNKNOWN, reason)
        return make_refusal(reason, 1.0)

    def _fail(self, error: SqlError) -> None:
        """Answer with an error."""
        self._sink.take_held()
        if self._is_cancelled and self._context.plan.is_read:
            error = make_rolled_back_error("canceled on the client's request")
            error = error._replace(sqlstate=QUERY_CANCELED)
        send_failure(self._context, error, TransactionStatus.IDLE)
