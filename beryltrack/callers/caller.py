"""One logged-on caller, as the handler of its requests sees it."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from pygwire import TransactionStatus as WireStatus
from pygwire.messages import (
    ErrorResponse,
    ReadyForQuery,
)
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from beryltrack.callers.messages import Request
from beryltrack.callers.statements import StatementTable
from beryltrack.errors import SqlError
from beryltrack.wire.messages import Producer, TransactionStatus
from beryltrack.wire.responses import ResponseReader

# Seconds that a caller may leave an answer unread before it is cut off: it
# holds a target connection all that time.
STALL_LIMIT = 30.0

_READY_WIRES = {
    status: ReadyForQuery(WireStatus(status.value)).to_wire()
    for status in TransactionStatus
}


class CallerIdentity(NamedTuple):
    """Who a caller is.

    Parameters
    ----------
    user : str
        Name of the user.
    database : str
        The group that it asked for.
    address : str
        Address that it connects from, for the log.
    """

    user: str
    database: str
    address: str


@implementer(IPushProducer)
class Caller:
    """One logged-on caller; the sink of its answers.

    Parameters
    ----------
    reactor : IReactorTime
        Measures how long answers stay unread.
    transport : ITransport
        The caller's connection.
    identity : CallerIdentity
        Who it is.
    settings : dict of str to str
        Session settings from its start-up packet. The handler changes them at
        SET; `start_settings` keeps the first values for RESET.
    """

    def __init__(
        self, reactor, transport, identity: CallerIdentity, settings: dict[str, str]
    ):
        self.identity = identity
        self.settings = dict(settings)
        self.start_settings = dict(settings)
        self.statements = StatementTable()
        self.status = TransactionStatus.IDLE
        self.arrived_at = 0.0
        self.is_closed = False
        self.account = ""
        self.session: object = None
        self._reactor = reactor
        self._transport = transport
        self._producer: Producer | None = None
        self._full = False
        self._stall_call = None
        self._on_cancel: Callable[[], object] | None = None
        self._on_gone: Callable[[], object] | None = None
        self._on_drained: Callable[[], object] | None = None
        self._flushed: ResponseReader | None = None

    @property
    def user(self) -> str:
        """Name of the user."""
        return self.identity.user

    @property
    def database(self) -> str:
        """The group that the caller asked for."""
        return self.identity.database

    @property
    def is_full(self) -> bool:
        """True while the caller has not read what was sent to it."""
        return self._full

    @property
    def in_transaction(self) -> bool:
        """True while the caller has a transaction open."""
        return self.status is not TransactionStatus.IDLE

    def write(self, data: bytes) -> None:
        """Send frames to the caller; dropped when it is gone."""
        if self._flushed is not None:
            self._flushed.feed(data, _discard)
        if not self.is_closed:
            self._transport.write(data)

    def send_error(self, error: SqlError) -> None:
        """Send an error."""
        self.write(encode_error(error))

    def send_ready(self, status: TransactionStatus) -> None:
        """Say that the unit is answered, and how its transaction stands."""
        self.status = status
        if status is TransactionStatus.IDLE:
            self.statements.end_transaction()
        if self._flushed is None:
            self.write(_READY_WIRES[status])

    def begin_flushed(self) -> None:
        """Answer the next unit without ReadyForQuery, as after a Flush."""
        self._flushed = ResponseReader()
        self._flushed.start(())

    def end_flushed(self) -> bool:
        """Return whether the answer to a flushed unit has an error in it."""
        reader, self._flushed = self._flushed, None
        if reader is None:
            return False
        end = reader.feed(_READY_WIRES[TransactionStatus.IDLE], _discard)
        return end is None or end.error is not None

    def set_cancel_callback(self, callback: Callable[[], object] | None) -> None:
        """Call `callback` when the caller asks to cancel what runs now."""
        self._on_cancel = callback

    def set_close_callback(self, callback: Callable[[], object] | None) -> None:
        """Call `callback` when the caller disconnects; at once if it has."""
        self._on_gone = callback
        if self.is_closed and callback is not None:
            callback()

    def set_drain_callback(self, callback: Callable[[], object] | None) -> None:
        """Call `callback` each time that the caller has read what was sent."""
        self._on_drained = callback

    def cancel(self) -> None:
        """Cancel what runs now, if the handler can."""
        if self._on_cancel is not None:
            self._on_cancel()

    def attach(self, producer: Producer) -> None:
        """Pause `producer` while the caller is slow; see `ResponseSink`."""
        self._producer = producer
        if self._full:
            producer.pauseProducing()

    def detach(self) -> None:
        """Forget the producer."""
        self._producer = None

    def pauseProducing(self) -> None:  # noqa: N802
        """Told by the caller's transport that its buffer is full."""
        self._full = True
        if self._producer is not None:
            self._producer.pauseProducing()
        if self._stall_call is None:
            self._stall_call = self._reactor.callLater(STALL_LIMIT, self._cut_off)

    def resumeProducing(self) -> None:  # noqa: N802
        """Told by the caller's transport that its buffer has drained."""
        self._full = False
        self._end_stall()
        if self._producer is not None:
            self._producer.resumeProducing()
        elif self._on_drained is not None:
            self._on_drained()

    def stopProducing(self) -> None:  # noqa: N802
        """Told by the caller's transport that it is closed."""

    def disconnect(self) -> None:
        """Note that the caller is gone and tell the handler."""
        if self.is_closed:
            return
        self.is_closed = True
        self._on_drained = None
        self.resumeProducing()
        callback, self._on_gone = self._on_gone, None
        if callback is not None:
            callback()

    def _cut_off(self) -> None:
        """End the connection of a caller that does not read."""
        self._stall_call = None
        self._transport.abortConnection()

    def _end_stall(self) -> None:
        """Stop counting the time that the caller does not read."""
        call, self._stall_call = self._stall_call, None
        if call is not None:
            call.cancel()


class RequestHandler(Protocol):
    """What runs the requests of callers."""

    def check_session(self, caller: Caller) -> SqlError | None:
        """Check the settings of a new caller; an error refuses it."""

    def handle(self, unit: Request, caller: Caller) -> "Deferred[None]":
        """Run one unit; ends after `caller.send_ready`, never earlier.

        While it runs, no other unit of the caller is given out.
        """

    def drop_session(self, caller: Caller) -> None:
        """Give up all that is kept for a caller that is gone.

        Called once, after the last unit has ended.
        """


def _discard(data: bytes) -> None:
    """Take bytes that have been sent already."""


def encode_error(error: SqlError) -> bytes:
    """Return the frame of an error."""
    fields = {
        "S": error.severity,
        "V": error.severity,
        "C": error.sqlstate,
        "M": error.message,
        "D": error.detail,
        "H": error.hint,
    }
    clean = {code: text.replace("\x00", "") for code, text in fields.items() if text}
    return ErrorResponse(clean).to_wire()
