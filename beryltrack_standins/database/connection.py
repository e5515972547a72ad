"""One connection to a stand-in database: start-up, SCRAM log-on and messages.

Messages are decoded one at a time, each after the previous one is answered, so that
pipelined requests wait here and not in the session.
"""

import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import scramp
from pygwire import BackendConnection, PygwireError, messages
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from beryltrack_standins.database import errors
from beryltrack_standins.database.engine import SERVER_VERSION
from beryltrack_standins.database.errors import SqlError
from beryltrack_standins.database.requests import RequestHandler
from beryltrack_standins.database.writer import MessageWriter

CONTROL_APPLICATION = "beryltrack-control"
MECHANISM = "SCRAM-SHA-256"
_PARAMETERS = (
    ("server_version", SERVER_VERSION),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
)

log = logging.getLogger(__name__)


class CancelKey(NamedTuple):
    """Identifies a connection in a cancel request.

    Parameters
    ----------
    process_id : int
        Number of the connection.
    secret : bytes
        Secret of the connection.
    """

    process_id: int
    secret: bytes


class DatabaseConnection(Protocol):
    """One client connection.

    Parameters
    ----------
    server : DatabaseServer
        The server that accepted it.
    key : CancelKey
        The key that cancel requests for this connection have to contain.
    """

    def __init__(self, server, key: CancelKey):
        self.key = key
        self.is_control = False
        self.is_counted = False
        self._server = server
        self._wire = BackendConnection()
        self._inbox = bytearray()
        self._busy = False
        self._writer: MessageWriter | None = None
        self._requests: RequestHandler | None = None
        self._scram: scramp.core.ScramServer | None = None
        self._handlers: dict[type, Callable[..., Awaitable[None]]] = {
            messages.SSLRequest: self._on_ssl_request,
            messages.GSSEncRequest: self._on_gss_request,
            messages.CancelRequest: self._on_cancel_request,
            messages.StartupMessage: self._on_startup,
            messages.SASLInitialResponse: self._on_sasl_initial,
            messages.SASLResponse: self._on_sasl_response,
            messages.Terminate: self._on_terminate,
        }

    def connectionMade(self) -> None:
        """Start to serve a client."""
        self.transport.setTcpNoDelay(True)
        self._writer = MessageWriter(
            self.transport, self._wire, lambda: self._server.database.frozen
        )
        self._server.add(self)

    def connectionLost(self, reason: Failure) -> None:
        """Undo the open transaction."""
        self._writer.handle_connection_lost()
        if self._requests is not None:
            self._requests.close()
        self._server.remove(self)

    def dataReceived(self, data: bytes) -> None:
        """Buffer received bytes, and answer the messages in them in order."""
        self._inbox += data
        self.pump()

    def cancel(self) -> None:
        """Cancel the running statement."""
        if self._requests is not None:
            self._requests.cancel()

    def abort(self) -> None:
        """Reset the connection."""
        self._writer.abort()

    def pump(self) -> None:
        """Send pending messages, and answer requests unless one is being answered."""
        self._writer.flush()
        if not self._busy:
            self._busy = True
            Deferred.fromCoroutine(self._answer_messages()).addErrback(self._on_error)

    async def _answer_messages(self) -> None:
        """Answer messages until no complete one is left."""
        try:
            while (message := self._read_message()) is not None:
                await self._handlers[type(message)](message)
                self._writer.flush()
        except CancelledError:
            # Outside a statement, only the loss of the connection cancels.
            if not self._writer.closed:
                raise
        finally:
            self._busy = False

    def _read_message(self) -> messages.PGMessage | None:
        """Return the next complete message, or None."""
        if self._writer.closed or self._server.database.frozen:
            return None
        data = bytes(self._inbox)
        self._inbox.clear()
        return next(self._wire.receive(data), None)

    def _on_error(self, failure: Failure) -> None:
        """Answer a protocol violation or internal error, and close the connection."""
        is_violation = failure.check(PygwireError, KeyError)
        state = errors.PROTOCOL_VIOLATION if is_violation else errors.INTERNAL_ERROR
        log.error(
            "database: connection closed after an error: %s", failure.getTraceback()
        )
        self._close_with(SqlError(state, failure.getErrorMessage()))

    def _close_with(self, error: SqlError) -> None:
        """Send a fatal error and close the connection."""
        if not self._writer.closed:
            self._writer.write_error(error, "FATAL")
            self._writer.close()

    async def _on_ssl_request(self, message: messages.SSLRequest) -> None:
        self._writer.send(messages.SSLResponse(accepted=False))

    async def _on_gss_request(self, message: messages.GSSEncRequest) -> None:
        self._writer.send(messages.GSSResponse(accepted=False))

    async def _on_cancel_request(self, message: messages.CancelRequest) -> None:
        self._server.cancel(CancelKey(message.process_id, message.secret_key))
        self._writer.close()

    async def _on_startup(self, message: messages.StartupMessage) -> None:
        options = self._server.options
        if options.connect_delay:
            await deferLater(self._server.clock, options.connect_delay)
        if self._writer.closed:
            return
        application = message.params.get("application_name", "")
        self.is_control = application == CONTROL_APPLICATION
        user = message.params.get("user", "")
        if not self._server.admit(self):
            text = f"too many connections, at most {options.max_connections}"
            return self._close_with(SqlError(errors.TOO_MANY_CONNECTIONS, text))
        if options.users is None:
            return self._finish_startup()
        self._scram = self._server.make_scram_server(user)
        self._writer.send(messages.AuthenticationSASL(mechanisms=[MECHANISM]))

    async def _on_sasl_initial(self, message: messages.SASLInitialResponse) -> None:
        text = message.data.decode()
        try:
            # libpq leaves the user name empty, which scramp refuses. The client's
            # proof covers the message as received, so the original is kept for it.
            self._scram.set_client_first(text.replace("n=,", "n=*,", 1))
            self._scram.client_first_bare = text.split(",", 2)[2]
        except scramp.ScramException as error:
            return self._refuse_password(error)
        first = self._scram.get_server_first().encode()
        self._writer.send(messages.AuthenticationSASLContinue(data=first))

    async def _on_sasl_response(self, message: messages.SASLResponse) -> None:
        try:
            self._scram.set_client_final(message.data.decode())
        except scramp.ScramException as error:
            return self._refuse_password(error)
        final = self._scram.get_server_final().encode()
        self._writer.send(messages.AuthenticationSASLFinal(data=final))
        self._finish_startup()

    async def _on_terminate(self, message: messages.Terminate) -> None:
        self._writer.close()

    def _refuse_password(self, error: Exception) -> None:
        """Refuse a wrong password and close the connection."""
        text = f"password authentication failed: {error}"
        self._close_with(SqlError(errors.BAD_PASSWORD, text))

    def _finish_startup(self) -> None:
        """Complete the start-up, after which the client can send requests."""
        session = self._server.make_session()
        self._requests = RequestHandler(session, self._server.database, self._writer)
        self._handlers |= self._requests.handlers
        self._writer.send(messages.AuthenticationOk())
        for name, value in _PARAMETERS:
            self._writer.write(messages.ParameterStatus(name, value))
        key = messages.BackendKeyData(self.key.process_id, self.key.secret)
        self._writer.write(key)
        self._requests.send_ready()
