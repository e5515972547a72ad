"""The log-on of a caller, from the first byte to ReadyForQuery; sans-I/O.

It reads bytes and yields steps that the connection carries out, so that it
can be tested without sockets.
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
    """Send the answer to SSLRequest, then begin TLS."""

    wire: bytes


class CancelOther(NamedTuple):
    """Cancel what another connection runs, then close this one."""

    key: int
    secret: bytes


class RefuseLogon(NamedTuple):
    """Close the connection with an error."""

    error: SqlError


class QuitLogon(NamedTuple):
    """Close the connection; the caller gave up."""


class AcceptLogon(NamedTuple):
    """The caller is who it says.

    Parameters
    ----------
    request : StartupRequest
        What it asked for.
    user : UserSettings
        The user.
    """

    request: StartupRequest
    user: UserSettings


LogonStep = SendBytes | StartTls | CancelOther | RefuseLogon | QuitLogon | AcceptLogon


class CallerLogon:
    """Reads the log-on of one caller.

    Parameters
    ----------
    find_user : callable
        Returns the settings of a user by name, or None.
    mocks : MockSecrets
        Secrets for users that are not there.
    offers_tls : bool
        Whether the connection can begin TLS.
    """

    def __init__(
        self,
        find_user: Callable[[str], UserSettings | None],
        mocks: MockSecrets,
        offers_tls: bool,
    ):
        self._wire = BackendConnection()
        self._wire._decoder = BoundedFrontendDecoder()
        self._find_user = find_user
        self._mocks = mocks
        self._offers_tls = offers_tls
        self._request: StartupRequest | None = None
        self._user: UserSettings | None = None
        self._scram: ScramExchange | None = None

    def feed(self, data: bytes) -> Iterator[LogonStep]:
        """Take bytes of the caller and yield what to do.

        Raises
        ------
        ProtocolError
            If the input is malformed.
        """
        for message in self._wire.receive(data):
            yield from self._take(message)

    def take_undecoded(self) -> bytes:
        """Return what came after the log-on."""
        return self._wire._decoder.take_undecoded()

    def encode_welcome(
        self, parameters: dict[str, str], key: int, secret: bytes
    ) -> bytes:
        """Return the messages from AuthenticationOk to ReadyForQuery."""
        messages = [
            AuthenticationOk(),
            *(ParameterStatus(name, value) for name, value in parameters.items()),
            BackendKeyData(key, secret),
            ReadyForQuery(TransactionStatus.IDLE),
        ]
        return b"".join(self._wire.send(message) for message in messages)

    def _take(self, message: PGMessage) -> Iterator[LogonStep]:
        """Handle one message."""
        match message:
            case SSLRequest():
                yield self._answer_ssl()
            case GSSEncRequest():
                yield self._send(GSSResponse(False))
            case CancelRequest(process_id=key, secret_key=secret):
                yield CancelOther(key, secret)
            case StartupMessage():
                yield from self._begin(message)
            case SASLInitialResponse(mechanism=mechanism, data=data):
                yield self._begin_scram(mechanism, data)
            case SASLResponse(data=data):
                yield from self._end_scram(data)
            case Terminate():
                yield QuitLogon()
            case _:
                raise ProtocolError(f"unexpected {type(message).__name__}")

    def _send(self, message: PGMessage) -> SendBytes:
        """Return the step that sends a message."""
        return SendBytes(self._wire.send(message))

    def _answer_ssl(self) -> LogonStep:
        """Begin TLS if that is offered."""
        if not self._offers_tls:
            return self._send(SSLResponse(False))
        if self._wire._decoder.buffered:
            # It could pass for what was sent under the protection of TLS.
            raise ProtocolError("unencrypted data after the request for TLS")
        self._offers_tls = False
        return StartTls(self._wire.send(SSLResponse(True)))

    def _begin(self, message: StartupMessage) -> Iterator[LogonStep]:
        """Take the start-up packet."""
        if self._request is not None:
            raise ProtocolError("a second start-up packet")
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
        """Take the first message of the password exchange."""
        if mechanism != SCRAM_MECHANISM:
            raise ProtocolError("unknown authentication mechanism")
        self._scram = ScramExchange(self._request.user, self._user, self._mocks)
        answer = self._scram.get_first_answer(data)
        if isinstance(answer, SqlError):
            return RefuseLogon(answer)
        return self._send(AuthenticationSASLContinue(answer))

    def _end_scram(self, data: bytes) -> Iterator[LogonStep]:
        """Take the last message of the password exchange."""
        answer = self._scram.get_final_answer(data)
        if isinstance(answer, SqlError):
            yield RefuseLogon(answer)
            return
        yield self._send(AuthenticationSASLFinal(answer))
        yield AcceptLogon(self._request, self._user)
