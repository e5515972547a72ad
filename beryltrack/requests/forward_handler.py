"""Runs the requests that other instances forward to this owner.

A forwarded unit runs like one of a local caller; the forwarding stream takes the
place of the caller's connection. An error is an answer like any other.
"""

import logging
from collections.abc import Awaitable, Callable

from pygwire.exceptions import ProtocolError
from twisted.internet.defer import Deferred

from beryltrack.callers.caller import Caller, CallerIdentity
from beryltrack.callers.messages import ExtendedRequest, Request, SimpleRequest
from beryltrack.callers.reader import UNIT_LIMIT, RequestReader
from beryltrack.findings import format_finding
from beryltrack.peers.forward_messages import (
    ForwardOutcome,
    ForwardResult,
    StartRequest,
)
from beryltrack.peers.forwarder import ForwardWriter
from beryltrack.requests.forward_encoding import (
    ForwardedRequest,
    decode_request,
    encode_effects,
    set_statements,
)
from beryltrack.requests.session import CallerSession
from beryltrack.sessions.tokens import parse_token
from beryltrack.wire.messages import TransactionStatus

log = logging.getLogger(__name__)

RunUnit = Callable[[Request, Caller], Awaitable[None]]


class StreamTransport:
    """Adapts the stream of a forwarded request to a caller's transport.

    Parameters
    ----------
    writer : ForwardWriter
        Receives the answer.
    """

    def __init__(self, writer: ForwardWriter):
        self.caller: Caller | None = None
        self._writer = writer
        self._is_waiting = False

    def write(self, data: bytes) -> None:
        """Send a part of the answer; pause the target while the stream is full."""
        self._writer.write(data)
        ready = self._writer.wait_ready()
        if not ready.called and not self._is_waiting:
            self._is_waiting = True
            self.caller.pauseProducing()
            ready.addCallback(lambda _: self._resume())

    def abortConnection(self) -> None:  # noqa: N802
        """Abort an answer that the other instance does not read."""
        self.caller.disconnect()
        self.caller.cancel()

    def _resume(self) -> None:
        self._is_waiting = False
        self.caller.resumeProducing()


class ForwardedCaller(Caller):
    """A caller that is connected to another instance."""

    def send_ready(self, status: TransactionStatus) -> None:
        """Record the transaction status; the other instance sends it to the caller."""
        self.status = status


class ForwardHandler:
    """Runs forwarded requests.

    Parameters
    ----------
    reactor : IReactorTime
        Measures how long answers stay unread.
    run_unit : callable
        Runs a unit of a caller on this instance.
    """

    def __init__(self, reactor, run_unit: RunUnit):
        self._reactor = reactor
        self._run_unit = run_unit

    def run(self, start: StartRequest, writer: ForwardWriter) -> Deferred:
        """Run a request; see `beryltrack.peers.forwarder.ForwardHandler`."""
        forwarded, findings = decode_request(start.request)
        if forwarded is None:
            return _refuse("; ".join(map(format_finding, findings)))
        unit = read_unit(forwarded.wire)
        if unit is None:
            return _refuse("the request is not one unit")
        transport = StreamTransport(writer)
        caller = self._make_caller(forwarded, transport)
        transport.caller = caller
        # Cancelling stops the statement, not the flow, which has to return the
        # connection to its pool.
        outcome: Deferred[ForwardResult] = Deferred(lambda _: caller.cancel())
        running = Deferred.fromCoroutine(self._run_unit(unit, caller))
        running.addCallbacks(
            lambda _: _finish(outcome, _make_result(unit, caller)),
            lambda failure: _fail(outcome, failure),
        )
        return outcome

    def _make_caller(
        self, forwarded: ForwardedRequest, transport: StreamTransport
    ) -> ForwardedCaller:
        """Return a caller with the session that it has at the other instance."""
        identity = CallerIdentity(forwarded.user, forwarded.database, forwarded.address)
        caller = ForwardedCaller(self._reactor, transport, identity, forwarded.settings)
        token, _ = parse_token(forwarded.token)
        caller.session = CallerSession(token, forwarded.is_tracked)
        known = [item for item in forwarded.statements if item.text is not None]
        set_statements(caller.statements, known)
        return caller


def read_unit(wire: bytes) -> Request | None:
    """Return the unit that frames encode; None if they are not exactly one."""
    reader = RequestReader(UNIT_LIMIT)
    try:
        reader.feed(wire)
        unit = reader.read_unit()
    except ProtocolError:
        return None
    is_request = isinstance(unit, SimpleRequest | ExtendedRequest)
    return unit if is_request and not reader.buffered else None


def _make_result(unit: Request, caller: Caller) -> ForwardResult:
    """Return the outcome of a unit that ran to its end."""
    trailer = encode_effects(unit, caller)
    return ForwardResult(ForwardOutcome.ANSWERED, "", trailer)


def _refuse(reason: str) -> Deferred:
    """Return the outcome of a request that cannot be decoded."""
    result: Deferred[ForwardResult] = Deferred()
    result.callback(ForwardResult(ForwardOutcome.NOT_RUN, reason))
    return result


def _finish(outcome: Deferred, result: ForwardResult) -> None:
    """Fire the outcome unless it was cancelled."""
    if not outcome.called:
        outcome.callback(result)


def _fail(outcome: Deferred, failure) -> None:
    """Log a failed request, and fire its outcome unless it was cancelled."""
    log.error(
        "requests: forwarded request failed, outcome reported as unknown: %s",
        failure.getTraceback(),
    )
    reason = "the owner could not finish it"
    _finish(outcome, ForwardResult(ForwardOutcome.UNKNOWN, reason))
