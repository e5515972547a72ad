"""Sends a connection's messages in order, at the pace at which the client reads."""

from collections.abc import Callable

from pygwire import BackendConnection, messages
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPushProducer, ITCPTransport
from zope.interface import implementer

from beryltrack_standins.database.errors import SqlError


@implementer(IPushProducer)
class MessageWriter:
    """Buffers messages and writes them to the transport.

    Parameters
    ----------
    transport : ITCPTransport
        The connection.
    wire : BackendConnection
        The state of the protocol.
    is_frozen : callable
        Returns whether the database is frozen, so that it sends nothing.
    """

    def __init__(
        self,
        transport: ITCPTransport,
        wire: BackendConnection,
        is_frozen: Callable[[], bool],
    ):
        self.closed = False
        self._transport = transport
        self._wire = wire
        self._is_frozen = is_frozen
        self._pending: list[bytes] = []
        self._resumed: Deferred[None] | None = None
        transport.registerProducer(self, True)

    def pauseProducing(self) -> None:
        """Hold rows back until the client has read more."""
        if self._resumed is None:
            self._resumed = Deferred()

    def resumeProducing(self) -> None:
        """Continue to send rows."""
        resumed, self._resumed = self._resumed, None
        if resumed is not None:
            resumed.callback(None)

    def stopProducing(self) -> None:
        """Do nothing: `handle_connection_lost` ends the sending of rows."""

    def send(self, message: messages.PGMessage) -> None:
        """Buffer a message that changes the phase of the protocol."""
        self._pending.append(self._wire.send(message))

    def write(self, message: messages.PGMessage) -> None:
        """Buffer a message that the protocol's state machine need not know."""
        self._pending.append(message.to_wire())

    def write_error(self, error: SqlError, severity: str = "ERROR") -> None:
        """Buffer an ErrorResponse."""
        fields = {"S": severity, "V": severity, "C": error.sqlstate, "M": error.message}
        self.write(messages.ErrorResponse(fields))

    def flush(self) -> None:
        """Send the buffered messages, unless the database is frozen."""
        if self._pending and not self.closed and not self._is_frozen():
            self._transport.writeSequence(self._pending)
            self._pending.clear()

    async def wait_for_reader(self) -> None:
        """Wait until the client has read most of what was sent."""
        self.flush()
        while self._resumed is not None and not self.closed:
            await self._resumed

    def handle_connection_lost(self) -> None:
        """Mark the connection closed, and end a wait for the client."""
        self.closed = True
        self.resumeProducing()

    def close(self) -> None:
        """Send the buffered messages and close the connection."""
        self.flush()
        self.closed = True
        self._transport.unregisterProducer()
        self._transport.loseConnection()

    def abort(self) -> None:
        """Reset the connection."""
        self.closed = True
        self._transport.unregisterProducer()
        self._transport.abortConnection()
