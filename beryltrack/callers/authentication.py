"""SCRAM-SHA-256 authentication of callers, with secrets in PostgreSQL's stored form.

An unknown user goes through the same exchange with a mock secret, so that a caller
cannot find out which users exist.
"""

import hashlib
import hmac
import re
import secrets
from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from typing import NamedTuple

from scramp import ScramException, ScramMechanism

from beryltrack.errors import INVALID_PASSWORD, SqlError, make_fatal_error
from beryltrack.settings.messages import UserSettings

SCRAM_MECHANISM = "SCRAM-SHA-256"

_SECRET = re.compile(
    r"SCRAM-SHA-256\$(?P<iterations>\d{1,8}):(?P<salt>[A-Za-z0-9+/=]+)"
    r"\$(?P<stored>[A-Za-z0-9+/=]+):(?P<server>[A-Za-z0-9+/=]+)"
)
_DEFAULT_ITERATIONS = 4096
# Sizes in bytes.
_KEY_SIZE = 32
_SALT_SIZE = 16

# scramp requires a user name in the client's first message; libpq sends an empty
# one because PostgreSQL takes the name from the start-up packet.
_EMPTY_NAME = re.compile(r"^(?P<header>[^,]*,[^,]*,)n=,")


class ScramSecret(NamedTuple):
    """The verifier of a password, as a server stores it.

    Parameters
    ----------
    salt : bytes
        Salt of the password.
    stored_key : bytes
        Key that verifies the client's proof.
    server_key : bytes
        Key that signs the server's own proof.
    iterations : int
        Number of hash iterations.
    """

    salt: bytes
    stored_key: bytes
    server_key: bytes
    iterations: int


def parse_secret(text: str) -> ScramSecret | None:
    """Parse a secret in PostgreSQL's stored form; return None if it is malformed."""
    match = _SECRET.fullmatch(text)
    if match is None:
        return None
    try:
        parts = [b64decode(match[name]) for name in ("salt", "stored", "server")]
    except Base64Error:
        return None
    return ScramSecret(*parts, int(match["iterations"]))


def format_secret(password: str, iterations: int = _DEFAULT_ITERATIONS) -> str:
    """Return the secret of a password in PostgreSQL's stored form."""
    mechanism = ScramMechanism(SCRAM_MECHANISM)
    salt, stored, server, count = mechanism.make_auth_info(password, iterations)
    salt, stored, server = (b64encode(x).decode() for x in (salt, stored, server))
    return f"{SCRAM_MECHANISM}${count}:{salt}${stored}:{server}"


class MockSecrets:
    """Mock secrets for unknown users; a user name always gives the same secret."""

    def __init__(self, key: bytes | None = None):
        self._key = key or secrets.token_bytes(_KEY_SIZE)

    def get(self, user: str) -> ScramSecret:
        """Return the mock secret of a user name."""
        salt, stored, server = (
            hmac.digest(self._key, part + user.encode(), hashlib.sha256)
            for part in (b"salt", b"stored", b"server")
        )
        return ScramSecret(salt[:_SALT_SIZE], stored, server, _DEFAULT_ITERATIONS)


class ScramExchange:
    """The server side of one SCRAM exchange.

    Parameters
    ----------
    user : str
        Name of the user.
    settings : UserSettings or None
        Settings of the user; None if the user does not exist.
    mock_secrets : MockSecrets
        Secrets for unknown users.
    """

    def __init__(
        self, user: str, settings: UserSettings | None, mock_secrets: MockSecrets
    ):
        self._user = user
        secret = parse_secret(settings.secret) if settings else None
        self._is_known = secret is not None
        self._secret = secret or mock_secrets.get(user)
        self._server = ScramMechanism(SCRAM_MECHANISM).make_server(
            lambda name: self._secret
        )

    def get_server_first(self, message: bytes) -> bytes | SqlError:
        """Return the server-first message, or the error that refuses the caller."""
        try:
            text = message.decode("ascii")
            self._server.set_client_first(_EMPTY_NAME.sub(r"\g<header>n=*,", text))
            # The proof covers the message as the client sent it.
            self._server.client_first_bare = text.split(",", 2)[2]
            return self._server.get_server_first().encode()
        except (ScramException, ValueError, IndexError):
            return self._refuse()

    def get_server_final(self, message: bytes) -> bytes | SqlError:
        """Return the server-final message, or the error that refuses the caller."""
        try:
            self._server.set_client_final(message.decode("ascii"))
            final = self._server.get_server_final().encode()
        except (ScramException, ValueError):
            return self._refuse()
        return final if self._is_known else self._refuse()

    def _refuse(self) -> SqlError:
        """Return the error of a failed exchange, which does not reveal the cause."""
        return make_fatal_error(
            INVALID_PASSWORD, f'password authentication failed for user "{self._user}"'
        )
