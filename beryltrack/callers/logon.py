"""The log-on of a caller, from the first byte to ReadyForQuery (sans-I/O).

`CallerLogon` reads bytes and yields the steps that the connection performs, so that
it can be tested without sockets.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

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

from beryltrack.callers.authentication import (
    SCRAM_MECHANISM,
    MockSecrets,
    ScramExchange,
)
from beryltrack.callers.startup import StartupRequest, parse_startup
from beryltrack.errors import SqlError
from beryltrack.settings.messages import UserSettings
from beryltrack.wire.framing import BoundedFrontendDecoder

_PROTOCOL_3_0 = 0x00030000


class SendBytes(NamedTuple):
    """Send bytes to the caller."""

    wire: bytes


class StartTls(NamedTuple):
    """Send the response to SSLRequest, then start TLS."""

    wire: bytes


class CancelOther(NamedTuple):
    """Cancel the running unit of another connection, then close this one."""

    key: int
    secret: bytes


class RefuseLogon(NamedTuple):
    """Refuse the caller: close the connection with an error."""

    error: SqlError


class QuitLogon(NamedTuple):
    """Close the connection: the caller has sent Terminate."""


class AcceptLogon(NamedTuple):
    """The caller is authenticated.

    Parameters
    ----------
    request : StartupRequest
        Contents of the start-up packet.
    user : UserSettings
        Settings of the user.
    """

    request: StartupRequest
    user: UserSettings


LogonStep = SendBytes | StartTls | CancelOther | RefuseLogon | QuitLogon | AcceptLogon


class CallerLogon:
    """State machine of one caller's log-on.

    Parameters
    ----------
    find_user : callable
        Returns the settings of a user by name, or None if the user does not exist.
    mock_secrets : MockSecrets
        Secrets for unknown users.
    offers_tls : bool
        Whether the connection can start TLS.
    """

    def __init__(
        self,
        find_user: Callable[[str], UserSettings | None],
        mock_secrets: MockSecrets,
        offers_tls: bool,
    ):
        self._wire = BackendConnection()
        self._wire._decoder = BoundedFrontendDecoder()
        self._find_user = find_user
        self._mock_secrets = mock_secrets
        self._offers_tls = offers_tls
        self._request: StartupRequest | None = None
        self._user: UserSettings | None = None
        self._scram: ScramExchange | None = None

    def feed(self, data: bytes) -> Iterator[LogonStep]:
        """Process received bytes and yield the steps to perform.

        Raises
        ------
        ProtocolError
            If the input is malformed.
        """
        for message in self._wire.receive(data):
            yield from self._handle_message(message)

    def take_undecoded(self) -> bytes:
        """Return the bytes received after the end of the log-on."""
        return self._wire._decoder.take_undecoded()

    def encode_logon_response(
        self, parameters: dict[str, str], key: int, secret: bytes
    ) -> bytes:
        """Encode the messages from AuthenticationOk to ReadyForQuery."""
        messages = [
            AuthenticationOk(),
            *(ParameterStatus(name, value) for name, value in parameters.items()),
            BackendKeyData(key, secret),
            ReadyForQuery(TransactionStatus.IDLE),
        ]
        return b"".join(self._wire.send(message) for message in messages)

    def _handle_message(self, message: PGMessage) -> Iterator[LogonStep]:
        """Handle one message."""
        match message:
            case SSLRequest():
                yield self._respond_to_ssl()
            case GSSEncRequest():
                yield self._send(GSSResponse(False))
            case CancelRequest(process_id=key, secret_key=secret):
                yield CancelOther(key, secret)
            case StartupMessage():
                yield from self._handle_startup(message)
            case SASLInitialResponse(mechanism=mechanism, data=data):
                yield self._begin_scram(mechanism, data)
            case SASLResponse(data=data):
                yield from self._finish_scram(data)
            case Terminate():
                yield QuitLogon()
            case _:
                raise ProtocolError(f"unexpected {type(message).__name__}")

    def _send(self, message: PGMessage) -> SendBytes:
        """Return the step that sends a message."""
        return SendBytes(self._wire.send(message))

    def _respond_to_ssl(self) -> LogonStep:
        """Return the step that starts TLS, or that declines it."""
        if not self._offers_tls:
            return self._send(SSLResponse(False))
        if self._wire._decoder.buffered:
            # An attacker could inject bytes that would then count as sent over TLS.
            raise ProtocolError("unencrypted data after SSLRequest")
        self._offers_tls = False
        return StartTls(self._wire.send(SSLResponse(True)))

    def _handle_startup(self, message: StartupMessage) -> Iterator[LogonStep]:
        """Handle the start-up packet."""
        if self._request is not None:
            raise ProtocolError("unexpected second start-up packet")
        self._request, error = parse_startup(message)
        if error is not None:
            yield RefuseLogon(error)
            return
        extensions = list(self._request.extensions)
        if extensions or message.protocol_version != _PROTOCOL_3_0:
            yield self._send(NegotiateProtocolVersion(0, extensions))
        self._user = self._find_user(self._request.user)
        if self._user is not None and not self._user.secret:
            yield AcceptLogon(self._request, self._user)
        else:
            yield self._send(AuthenticationSASL([SCRAM_MECHANISM]))

    def _begin_scram(self, mechanism: str, data: bytes) -> LogonStep:
        """Handle the first message of the SCRAM exchange."""
        if mechanism != SCRAM_MECHANISM:
            raise ProtocolError(
                "unsupported authentication mechanism; use SCRAM-SHA-256"
            )
        self._scram = ScramExchange(self._request.user, self._user, self._mock_secrets)
        response = self._scram.get_server_first(data)
        if isinstance(response, SqlError):
            return RefuseLogon(response)
        return self._send(AuthenticationSASLContinue(response))

    def _finish_scram(self, data: bytes) -> Iterator[LogonStep]:
        """Handle the last message of the SCRAM exchange."""
        response = self._scram.get_server_final(data)
        if isinstance(response, SqlError):
            yield RefuseLogon(response)
            return
        yield self._send(AuthenticationSASLFinal(response))
        yield AcceptLogon(self._request, self._user)
