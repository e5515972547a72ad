"""The PostgreSQL log-on to a target, up to ReadyForQuery, without I/O."""

from typing import NamedTuple

from pygwire import ConnectionPhase, FrontendConnection
from pygwire.exceptions import ProtocolError
from pygwire.messages import (
    AuthenticationOk,
    AuthenticationSASL,
    AuthenticationSASLContinue,
    AuthenticationSASLFinal,
    BackendKeyData,
    ErrorResponse,
    NegotiateProtocolVersion,
    NoticeResponse,
    ParameterStatus,
    PGMessage,
    ReadyForQuery,
    SASLInitialResponse,
    SASLResponse,
    StartupMessage,
)
from scramp import ScramClient

from beryltrack.errors import SqlError
from beryltrack.groups.messages import LogPosition
from beryltrack.wire.framing import BoundedBackendDecoder
from beryltrack.wire.responses import POSITION_PARAMETER, decode_error, parse_position

APPLICATION_NAME = "beryltrack"

_SCRAM_MECHANISM = "SCRAM-SHA-256"


class Credentials(NamedTuple):
    """The database, user and password of a log-on.

    Parameters
    ----------
    database : str
        Name of the database.
    user : str
        Name of the user.
    password : str
        Password; empty where the target trusts the user.
    application_name : str
        Name that the target shows for the connection.
    """

    database: str
    user: str
    password: str
    application_name: str = APPLICATION_NAME


class TargetLogon:
    """Logs on to one target.

    Parameters
    ----------
    credentials : Credentials
        The database, user and password.
    """

    def __init__(self, credentials: Credentials):
        self.error: SqlError | None = None
        self.position: LogPosition | None = None
        self.key = BackendKeyData()
        self._credentials = credentials
        self._protocol = FrontendConnection()
        self._protocol._decoder = BoundedBackendDecoder()
        self._scram: ScramClient | None = None

    @property
    def is_done(self) -> bool:
        """True when the target is ready for requests."""
        return self._protocol.phase is ConnectionPhase.READY

    def start(self) -> bytes:
        """Return the start-up packet."""
        names = {
            "user": self._credentials.user,
            "database": self._credentials.database,
            "application_name": self._credentials.application_name,
            "client_encoding": "UTF8",
        }
        return self._protocol.send(StartupMessage(names))

    def feed(self, data: bytes) -> bytes:
        """Process bytes from the target and return the bytes to send.

        Raises
        ------
        ProtocolError, ScramException, ValueError
            If the target violates the protocol or asks for an unsupported feature.
        """
        wire = b""
        for message in self._protocol.receive(data):
            wire += self._handle(message)
            if self.is_done or self.error is not None:
                break
        return wire

    def take_undecoded(self) -> bytes:
        """Return the bytes that were received after ReadyForQuery."""
        return self._protocol._decoder.take_undecoded()

    def _handle(self, message: PGMessage) -> bytes:
        """Handle one message and return the bytes to send."""
        match message:
            case ParameterStatus(name=name, value=value):
                if name == POSITION_PARAMETER:
                    self.position = parse_position(value)
            case BackendKeyData():
                self.key = message
            case ErrorResponse():
                self.error = decode_error(memoryview(message.encode()))
            case ReadyForQuery() | NoticeResponse() | NegotiateProtocolVersion():
                pass
            case _:
                return self._authenticate(message)
        return b""

    def _authenticate(self, message: PGMessage) -> bytes:
        """Return the answer to one step of the target's authentication."""
        match message:
            case AuthenticationOk():
                return b""
            case AuthenticationSASL(mechanisms=mechanisms):
                return self._begin_scram(mechanisms)
            case AuthenticationSASLContinue(data=data):
                self._scram.set_server_first(data.decode())
                final = self._scram.get_client_final().encode()
                return self._protocol.send(SASLResponse(final))
            case AuthenticationSASLFinal(data=data):
                self._scram.set_server_final(data.decode())
                return b""
        # Passwords are never sent in clear text or as MD5 hashes.
        raise ProtocolError(f"unsupported message {type(message).__name__}")

    def _begin_scram(self, mechanisms: list[str]) -> bytes:
        """Return the client's first message of the SCRAM exchange."""
        if _SCRAM_MECHANISM not in mechanisms:
            raise ProtocolError(
                f"the target does not offer {_SCRAM_MECHANISM}, only {mechanisms}"
            )
        user, password = self._credentials.user, self._credentials.password
        self._scram = ScramClient([_SCRAM_MECHANISM], user, password)
        first = self._scram.get_client_first().encode()
        return self._protocol.send(SASLInitialResponse(_SCRAM_MECHANISM, first))
