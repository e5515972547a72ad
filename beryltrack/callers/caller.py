"""One logged-on caller, as the request handler sees it.

`Caller` sends responses with back-pressure (Twisted's push producer interface) and
holds the caller's session settings and prepared statements.
"""

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
from beryltrack.wire.flow_control import SendBuffer
from beryltrack.wire.messages import Producer, TransactionStatus
from beryltrack.wire.responses import ResponseReader

# Seconds that a caller may leave a response unread before its connection is aborted.
# Meanwhile it holds a target connection.
STALL_TIMEOUT = 30.0

_READY_WIRES = {
    status: ReadyForQuery(WireStatus(status.value)).to_wire()
    for status in TransactionStatus
}


class CallerIdentity(NamedTuple):
    """Identity of a caller.

    Parameters
    ----------
    user : str
        Name of the user.
    database : str
        Name of the group that it requested.
    address : str
        Remote address, for the log.
    """

    user: str
    database: str
    address: str


@implementer(IPushProducer)
class Caller:
    """One logged-on caller; the sink of its responses.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    transport : ITransport
        The caller's connection.
    identity : CallerIdentity
        User, group and address.
    settings : dict of str to str
        Session settings from its start-up packet. The handler changes them on SET;
        `start_settings` keeps the initial values for RESET.
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
        self._transport = transport
        self._output = SendBuffer(
            reactor, STALL_TIMEOUT, lambda: self._transport.abortConnection()
        )
        self._on_cancel: Callable[[], object] | None = None
        self._on_close: Callable[[], object] | None = None
        self._on_drained: Callable[[], object] | None = None
        self._flush_reader: ResponseReader | None = None

    @property
    def user(self) -> str:
        """Name of the user."""
        return self.identity.user

    @property
    def database(self) -> str:
        """Name of the group that the caller requested."""
        return self.identity.database

    @property
    def is_full(self) -> bool:
        """True while the send buffer is full because the caller does not read."""
        return self._output.is_full

    @property
    def in_transaction(self) -> bool:
        """True while the caller has a transaction open."""
        return self.status is not TransactionStatus.IDLE

    def write(self, data: bytes) -> None:
        """Send frames to the caller; drop them if it has disconnected."""
        if self._flush_reader is not None:
            self._flush_reader.feed(data, _ignore_data)
        if not self.is_closed:
            self._transport.write(data)

    def send_error(self, error: SqlError) -> None:
        """Send an error."""
        self.write(encode_error(error))

    def send_ready(self, status: TransactionStatus) -> None:
        """End the response to a unit with the transaction status (ReadyForQuery)."""
        self.status = status
        if status is TransactionStatus.IDLE:
            self.statements.end_transaction()
        if self._flush_reader is None:
            self.write(_READY_WIRES[status])

    def begin_flushed_unit(self) -> None:
        """Start a response without ReadyForQuery, as after a Flush."""
        self._flush_reader = ResponseReader()
        self._flush_reader.start(())

    def end_flushed_unit(self) -> bool:
        """End the response to a flushed unit; return whether it contains an error."""
        reader, self._flush_reader = self._flush_reader, None
        if reader is None:
            return False
        end = reader.feed(_READY_WIRES[TransactionStatus.IDLE], _ignore_data)
        return end is None or end.error is not None

    def set_cancel_callback(self, callback: Callable[[], object] | None) -> None:
        """Set the function to call when the caller cancels the running unit."""
        self._on_cancel = callback

    def set_close_callback(self, callback: Callable[[], object] | None) -> None:
        """Set the function to call on disconnect; call it now if that has happened."""
        self._on_close = callback
        if self.is_closed and callback is not None:
            callback()

    def set_drain_callback(self, callback: Callable[[], object] | None) -> None:
        """Set the function to call each time that the send buffer has drained."""
        self._on_drained = callback

    def cancel(self) -> None:
        """Cancel the running unit, if the handler supports it."""
        if self._on_cancel is not None:
            self._on_cancel()

    def attach(self, producer: Producer) -> None:
        """Pause `producer` while the caller is slow; see `ResponseSink`."""
        self._output.attach(producer)

    def detach(self) -> None:
        """Release the producer: its response has ended."""
        self._output.detach()

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause the producer: the transport's send buffer is full."""
        self._output.fill()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the producer: the transport's send buffer has drained."""
        self._output.drain()
        if self._on_drained is not None:
            self._on_drained()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the protocol reports the closed transport."""

    def disconnect(self) -> None:
        """Mark the caller as disconnected and call the close callback."""
        if self.is_closed:
            return
        self.is_closed = True
        self._on_drained = None
        self.resumeProducing()
        callback, self._on_close = self._on_close, None
        if callback is not None:
            callback()


class RequestHandler(Protocol):
    """Runs the units of callers."""

    def check_session(self, caller: Caller) -> SqlError | None:
        """Validate the settings of a new caller; a returned error refuses it."""

    def handle(self, unit: Request, caller: Caller) -> "Deferred[None]":
        """Run one unit; fires only after `caller.send_ready`.

        Meanwhile the handler gets no other unit of the caller.
        """

    def drop_session(self, caller: Caller) -> None:
        """Release the state kept for a caller that has disconnected.

        Called once, after the caller's last unit has ended.
        """


def _ignore_data(data: bytes) -> None:
    """Ignore frames that have already been sent."""


def encode_error(error: SqlError) -> bytes:
    """Encode an error as an ErrorResponse frame."""
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
