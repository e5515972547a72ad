"""The caller's connection: start-up, log-on, and units one at a time.

Whatever goes wrong on one connection ends that connection with an error and a
line in the log, and touches no other.
"""

import logging
from enum import Enum, auto

from pygwire import BackendConnection, TransactionStatus
from pygwire.exceptions import ProtocolError
from pygwire.messages import (
    AuthenticationOk,
    AuthenticationSASL,
    AuthenticationSASLContinue,
    AuthenticationSASLFinal,
    BackendKeyData,
    CancelRequest,
    GSSEncRequest,
    GSSResponse,
    NegotiateProtocolVersion,
    ParameterStatus,
    PGMessage,
    ReadyForQuery,
    SASLInitialResponse,
    SASLResponse,
    SSLRequest,
    SSLResponse,
    StartupMessage,
    Terminate,
)
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from beryltrack.callers.authentication import SCRAM_MECHANISM, ScramExchange
from beryltrack.callers.caller import Caller, CallerIdentity, encode_error
from beryltrack.callers.messages import (
    ExtendedRequest,
    RefusedRequest,
    TerminateRequest,
    Unit,
)
from beryltrack.callers.reader import RequestReader
from beryltrack.callers.startup import StartupRequest, parse_startup
from beryltrack.errors import (
    ADMIN_SHUTDOWN,
    CANNOT_CONNECT_NOW,
    INTERNAL_ERROR,
    INVALID_CATALOG_NAME,
    PROTOCOL_VIOLATION,
    SqlError,
    make_fatal,
    make_unsupported,
)
from beryltrack.settings.messages import UserSettings
from beryltrack.wire.framing import BoundedFrontendDecoder

log = logging.getLogger(__name__)

# Seconds from the connection to the end of the log-on.
STARTUP_TIMEOUT = 10.0

# Bytes kept of a caller that sends while a unit of its own runs.
INPUT_LIMIT = 1 << 16

# Seconds that a connection stays open after its last error, so that the caller
# can read it: closing with unread input would reset the connection.
LINGER = 1.0

_PROTOCOL_3_0 = 0x00030000


class Phase(Enum):
    """Where a connection stands."""

    STARTUP = auto()
    READY = auto()
    RUNNING = auto()
    CLOSING = auto()


class CallerProtocol(Protocol):
    """One connection of a caller; made by `CallerFactory`.

    Parameters
    ----------
    factory : CallerFactory
        Holds what the connections share.
    """

    def __init__(self, factory):
        self.factory = factory
        self.caller: Caller | None = None
        self.phase = Phase.STARTUP
        self._startup = BackendConnection()
        self._startup._decoder = BoundedFrontendDecoder()
        self._reader = RequestReader(factory.options.unit_limit)
        self._request: StartupRequest | None = None
        self._scram: ScramExchange | None = None
        self._user: UserSettings | None = None
        self._key: int | None = None
        self._paused = False
        self._timer = None
        self._tls = False
        self._lost = False

    def connectionMade(self) -> None:  # noqa: N802
        """Count the time for the log-on."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self._timer = self.factory.reactor.callLater(
            self.factory.options.startup_timeout, self._time_out
        )
        self.factory.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes of the caller."""
        if self.phase is Phase.CLOSING:
            return
        try:
            if self.phase is Phase.STARTUP:
                self._receive_startup(data)
            else:
                self._receive_requests(data)
        except ProtocolError as error:
            self._refuse(make_fatal(PROTOCOL_VIOLATION, str(error)))

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Give up the caller; a unit that runs ends first."""
        self._lost = True
        self._stop_timer()
        running = self.phase is Phase.RUNNING
        self.phase = Phase.CLOSING
        if self.caller is not None:
            self.caller.disconnect()
        if not running:
            self._forget()

    def leave(self) -> None:
        """End the connection as soon as no transaction is open on it."""
        if self.phase is Phase.STARTUP:
            text = "the proxy is shutting down"
            self._refuse(make_fatal(CANNOT_CONNECT_NOW, text))
        elif self.phase is Phase.READY and not self.caller.in_transaction:
            text = "terminating connection due to administrator command"
            self._refuse(make_fatal(ADMIN_SHUTDOWN, text))

    def _receive_startup(self, data: bytes) -> None:
        """Take bytes of the start-up and log-on."""
        for message in self._startup.receive(data):
            self._take_startup(message)
            if self.phase is Phase.CLOSING:
                return
            if self.phase is Phase.READY:
                rest = self._startup._decoder.take_rest()
                self._startup = None
                self._receive_requests(rest)
                return

    def _take_startup(self, message: PGMessage) -> None:
        """Handle one message of the start-up and log-on."""
        match message:
            case SSLRequest():
                self._answer_ssl()
            case GSSEncRequest():
                self._send(GSSResponse(False))
            case CancelRequest(process_id=key, secret_key=secret):
                self.factory.cancel(key, secret)
                self._close()
            case StartupMessage():
                self._begin(message)
            case SASLInitialResponse(mechanism=mechanism, data=data):
                self._begin_scram(mechanism, data)
            case SASLResponse(data=data):
                self._end_scram(data)
            case Terminate():
                self._close()
            case _:
                raise ProtocolError(f"unexpected {type(message).__name__}")

    def _answer_ssl(self) -> None:
        """Begin TLS if there is a certificate."""
        context = self.factory.tls_context
        accepted = context is not None and not self._tls
        self._send(SSLResponse(accepted))
        if not accepted:
            return
        if self._startup._decoder.buffered:
            raise ProtocolError("unencrypted data after the request for TLS")
        self._tls = True
        self.transport.startTLS(context)

    def _begin(self, message: StartupMessage) -> None:
        """Begin the log-on."""
        self._request, error = parse_startup(message)
        if error is None and self.factory.leaving:
            error = make_fatal(CANNOT_CONNECT_NOW, "the proxy is shutting down")
        if error is not None:
            self._refuse(error)
            return
        extensions = self._request.extensions
        if extensions or message.protocol_version != _PROTOCOL_3_0:
            self._send(NegotiateProtocolVersion(0, list(extensions)))
        self._user = self.factory.find_user(self._request.user)
        if self._user is not None and not self._user.secret:
            self._finish()
        else:
            self._send(AuthenticationSASL([SCRAM_MECHANISM]))

    def _begin_scram(self, mechanism: str, data: bytes) -> None:
        """Take the first message of the password exchange."""
        if mechanism != SCRAM_MECHANISM:
            raise ProtocolError("unknown authentication mechanism")
        self._scram = ScramExchange(self._request.user, self._user, self.factory.mocks)
        answer = self._scram.get_first_answer(data)
        if isinstance(answer, SqlError):
            self._refuse(answer)
        else:
            self._send(AuthenticationSASLContinue(answer))

    def _end_scram(self, data: bytes) -> None:
        """Take the last message of the password exchange."""
        answer = self._scram.get_final_answer(data)
        if isinstance(answer, SqlError):
            self._refuse(answer)
            return
        self._send(AuthenticationSASLFinal(answer))
        self._finish()

    def _finish(self) -> None:
        """Let the caller in."""
        request = self._request
        error = self._check_database(request)
        if error is None:
            self._make_caller(request)
            error = self.factory.handler.check_session(self.caller)
        if error is not None:
            self._refuse(error._replace(severity="FATAL"))
            return
        self._stop_timer()
        self._key, secret = self.factory.register(self.caller)
        self._send(AuthenticationOk())
        for name, value in self.factory.get_parameters(request).items():
            self._send(ParameterStatus(name, value))
        self._send(BackendKeyData(self._key, secret))
        self._send(ReadyForQuery(TransactionStatus.IDLE))
        self.transport.registerProducer(self.caller, True)
        self.phase = Phase.READY

    def _make_caller(self, request: StartupRequest) -> None:
        """Make what the handler sees of the connection."""
        peer = self.transport.getPeer()
        identity = CallerIdentity(
            request.user, request.database, f"{peer.host}:{peer.port}"
        )
        self.caller = Caller(
            self.factory.reactor, self.transport, identity, request.settings
        )

    def _check_database(self, request: StartupRequest) -> SqlError | None:
        """Return why the user may not use the database that it asked for."""
        if self.factory.find_database(request.database, self._user):
            return None
        text = f'database "{request.database}" does not exist'
        return make_fatal(INVALID_CATALOG_NAME, text)

    def _receive_requests(self, data: bytes) -> None:
        """Take bytes of a logged-on caller."""
        self._reader.feed(data)
        if self.phase is Phase.READY:
            self._run_units()
        elif self._reader.buffered > INPUT_LIMIT and not self._paused:
            self._paused = True
            self.transport.pauseProducing()

    def _run_units(self) -> None:
        """Give out units until one has to be waited for."""
        while self.phase is Phase.READY:
            unit = self._reader.read_unit()
            if unit is None:
                break
            self._run_unit(unit)
        if self.phase is Phase.READY:
            self._resume()
            if self.factory.leaving:
                self.leave()

    def _run_unit(self, unit: Unit) -> None:
        """Give out one unit."""
        caller = self.caller
        match unit:
            case TerminateRequest():
                self._close()
            case RefusedRequest(message=message, skips_to_sync=skips):
                caller.send_error(make_unsupported(message))
                if not skips:
                    caller.send_ready(caller.status)
            case ExtendedRequest(messages=(_,)):
                # A Sync alone asks for nothing but the ReadyForQuery.
                caller.send_ready(caller.status)
            case _:
                self.phase = Phase.RUNNING
                caller.arrived_at = self.factory.reactor.seconds()
                running = self.factory.handler.handle(unit, caller)
                running.addCallbacks(self._end_unit, self._fail_unit)

    def _end_unit(self, _: object) -> None:
        """Go on after a unit."""
        self.caller.set_cancel(None)
        if self._lost:
            self._forget()
            return
        if self.phase is not Phase.RUNNING:
            return
        self.phase = Phase.READY
        # Each unit ends in a turn of the reactor of its own, so that a caller
        # with much buffered input neither starves others nor nests calls.
        if self._reader.buffered:
            self.factory.reactor.callLater(0, self._continue)
        else:
            self._run_units()

    def _continue(self) -> None:
        """Give out buffered units, unless that has been done meanwhile."""
        if self.phase is not Phase.READY:
            return
        try:
            self._run_units()
        except ProtocolError as error:
            self._refuse(make_fatal(PROTOCOL_VIOLATION, str(error)))

    def _fail_unit(self, failure: Failure) -> None:
        """End the connection after a fault of the handler."""
        log.error("callers: request failed: %s", failure.getTraceback())
        self.caller.set_cancel(None)
        if self._lost:
            self._forget()
        else:
            self.phase = Phase.READY
            self._refuse(
                make_fatal(
                    INTERNAL_ERROR,
                    "internal error of the proxy",
                    "The request may have been run.",
                )
            )

    def _resume(self) -> None:
        """Read from the caller again."""
        if self._paused:
            self._paused = False
            self.transport.resumeProducing()

    def _send(self, message: PGMessage) -> None:
        """Send one message of the start-up."""
        self.transport.write(self._startup.send(message))

    def _refuse(self, error: SqlError) -> None:
        """End the connection with an error."""
        peer = self.transport.getPeer()
        log.info(
            "callers: %s:%d: closed: %s %s",
            peer.host,
            peer.port,
            error.sqlstate,
            error.message,
        )
        self.transport.write(encode_error(error))
        self._close()

    def _close(self) -> None:
        """End the connection; the caller has some time to read what was sent."""
        if self.phase is Phase.CLOSING:
            return
        self.phase = Phase.CLOSING
        self._stop_timer()
        if self.caller is not None:
            self.caller.detach()
            self.transport.unregisterProducer()
        self._resume()
        if not self._tls and hasattr(self.transport, "loseWriteConnection"):
            self.transport.loseWriteConnection()
        else:
            self.transport.loseConnection()
        self._timer = self.factory.reactor.callLater(
            LINGER, self.transport.abortConnection
        )

    def _time_out(self) -> None:
        """End a connection that does not log on."""
        self._timer = None
        self._refuse(make_fatal(PROTOCOL_VIOLATION, "timeout during log-on"))

    def _stop_timer(self) -> None:
        """Stop the timer that runs."""
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _forget(self) -> None:
        """Give up all that is kept for the caller."""
        if self._key is not None:
            self.factory.unregister(self._key)
            self.factory.handler.forget(self.caller)
        self.factory.remove(self)
