"""The flow of a request that this instance forwards to an owner of its group."""

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
from beryltrack.requests.forward_encoding import apply_encoded_effects, encode_request
from beryltrack.requests.outcomes import NextStep
from beryltrack.requests.sink import AnswerSink
from beryltrack.routing.messages import StatementKind
from beryltrack.wire.messages import TransactionStatus

RETRY_PERIOD = 0.05
"""Seconds between two attempts to forward a request."""

# Units that keep a connection beyond their end run on borrowed connections instead.
_FORWARDABLE = frozenset(
    (StatementKind.READ, StatementKind.WRITE, StatementKind.EMPTY, StatementKind.SHOW)
)


class Stream(Protocol):
    """The stream of a forwarded request."""

    def consume(self, size: int) -> None:
        """Grant the sender `size` more bytes, as many as were sent to the caller."""

    def cancel(self) -> None:
        """Cancel the request; its outcome still comes."""


class RequestForwarder(Protocol):
    """Forwards requests to the owners of their groups."""

    def is_owner(self, group: str) -> bool:
        """Return whether this instance owns a group."""

    def forward(self, group: str, request: bytes, deadline: float, sink) -> Stream:
        """Forward a request; the sink receives its answer and its outcome."""


def is_forwardable(kind: StatementKind) -> bool:
    """Return whether a unit of this kind may run on another instance."""
    return kind in _FORWARDABLE


class ForwardToOwners:
    """Forwards units to the owners of their groups; see `UnitForwarder`.

    Parameters
    ----------
    forwarder : RequestForwarder
        Transports the requests.
    """

    def __init__(self, forwarder: RequestForwarder):
        self._forwarder = forwarder

    def should_forward(self, context: RequestContext) -> bool:
        """Return whether an owner of the group runs a unit."""
        is_owner = self._forwarder.is_owner(context.runtime.settings.name)
        return is_forwardable(context.plan.kind) and not is_owner

    async def run(self, context: RequestContext) -> None:
        """Forward a unit to an owner, and answer the caller."""
        await ForwardFlow(context, self._forwarder).run()


class ForwardSink:
    """Receives the answer to one forwarded request.

    Flow control: the owner is granted more bytes only as the caller reads, so that a
    slow caller delays its own answer and nothing else.

    Parameters
    ----------
    answer : AnswerSink
        Receives the answer.
    """

    def __init__(self, answer: AnswerSink):
        self.done: Deferred[ForwardResult] = Deferred()
        self.stream: Stream | None = None
        self._answer = answer
        self._ungranted = 0
        self._is_paused = False
        answer.attach(self)

    def write(self, data: bytes) -> None:
        """Receive a part of the answer."""
        self._answer.write(data)
        self._ungranted += len(data)
        self._grant()

    def finish(self, result: ForwardResult) -> None:
        """Receive the outcome of the request."""
        self._answer.detach()
        self.done.callback(result)

    def pauseProducing(self) -> None:  # noqa: N802
        """Grant no more bytes: the caller has unread data."""
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Grant more bytes again."""
        self._is_paused = False
        self._grant()

    def _grant(self) -> None:
        """Grant as many bytes as were sent to the caller."""
        if self._ungranted and not self._is_paused and self.stream is not None:
            size, self._ungranted = self._ungranted, 0
            self.stream.consume(size)


class ForwardFlow:
    """Forwards one unit until it is answered.

    Parameters
    ----------
    context : RequestContext
        The request.
    forwarder : RequestForwarder
        Transports it.
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
            step = self._decide(result)
            if step is NextStep.ANSWER:
                self._answer(result)
                return
            if step is not NextStep.RETRY:
                self._fail(make_step_error(step, result.reason))
                return
            if context.services.seconds() >= context.give_up_at:
                self._fail(self._make_last_error(result.reason))
                return
            await deferLater(context.services.reactor, RETRY_PERIOD, lambda: None)

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
        """Return the callback that cancels the unit on the caller's request."""

        def cancel() -> None:
            self._is_cancelled = True
            stream.cancel()

        return cancel

    def _decide(self, result: ForwardResult) -> NextStep:
        """Return the next step; a unit is forwarded again only if that is safe."""
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
        # The ledger prevents a second run of an at-most-once request.
        self._may_have_run = True
        is_retried = plan.is_at_most_once and is_repeatable
        return NextStep.RETRY if is_retried else NextStep.UNKNOWN

    def _answer(self, result: ForwardResult) -> None:
        """Send the rest of the answer, and apply its effects to the session."""
        caller = self._context.caller
        caller.write(self._sink.take_buffered())
        findings = apply_encoded_effects(result.trailer, caller)
        if findings:
            text = "; ".join(map(format_finding, findings))
            raise RuntimeError(
                f"the effects in an owner's answer cannot be decoded: {text}"
            )
        caller.send_ready(TransactionStatus.IDLE)

    def _make_last_error(self, reason: str) -> SqlError:
        """Return the error for a unit whose time limit has passed."""
        if self._may_have_run:
            return make_step_error(NextStep.UNKNOWN, reason)
        return make_refusal(reason, 1.0)

    def _fail(self, error: SqlError) -> None:
        """Answer with an error."""
        self._sink.take_buffered()
        if self._is_cancelled and self._context.plan.is_read:
            error = make_rolled_back_error("canceled on the client's request")
            error = error._replace(sqlstate=QUERY_CANCELED)
        send_failure(self._context, error, TransactionStatus.IDLE)
