"""SCRAM-SHA-256 passwords of callers, by secrets in the form PostgreSQL stores.

A caller that names an unknown user goes through the same exchange with a made
up secret, so that nobody learns which users there are.
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
_MOCK_ITERATIONS = 4096
_KEY_SIZE = 32
_SALT_SIZE = 16

# scramp wants a user name in the first message; libpq sends an empty one there,
# because PostgreSQL takes the name from the start-up packet.
_EMPTY_NAME = re.compile(r"^(?P<header>[^,]*,[^,]*,)n=,")


class ScramSecret(NamedTuple):
    """What a server keeps to check a password.

    Parameters
    ----------
    salt : bytes
        Salt of the password.
    stored_key : bytes
        Key that the client's proof is checked with.
    server_key : bytes
        Key that the server's own proof is made with.
    iterations : int
        Rounds of the password's hash.
    """

    salt: bytes
    stored_key: bytes
    server_key: bytes
    iterations: int


def parse_secret(text: str) -> ScramSecret | None:
    """Return the secret in the form that PostgreSQL stores, or None."""
    match = _SECRET.fullmatch(text)
    if match is None:
        return None
    try:
        parts = [b64decode(match[name]) for name in ("salt", "stored", "server")]
    except Base64Error:
        return None
    return ScramSecret(*parts, int(match["iterations"]))


def format_secret(password: str, iterations: int = _MOCK_ITERATIONS) -> str:
    """Return the secret of a password in the form that PostgreSQL stores."""
    mechanism = ScramMechanism(SCRAM_MECHANISM)
    salt, stored, server, count = mechanism.make_auth_info(password, iterations)
    salt, stored, server = (b64encode(x).decode() for x in (salt, stored, server))
    return f"{SCRAM_MECHANISM}${count}:{salt}${stored}:{server}"


class MockSecrets:
    """Made-up secrets for unknown users, the same each time for one name."""

    def __init__(self, key: bytes | None = None):
        self._key = key or secrets.token_bytes(_KEY_SIZE)

    def get(self, user: str) -> ScramSecret:
        """Return the made-up secret of a user."""
        salt, stored, server = (
            hmac.digest(self._key, part + user.encode(), hashlib.sha256)
            for part in (b"salt", b"stored", b"server")
        )
        return ScramSecret(salt[:_SALT_SIZE], stored, server, _MOCK_ITERATIONS)


class ScramExchange:
    """One SCRAM exchange with one caller.

    Parameters
    ----------
    user : str
        Name of the user.
    settings : UserSettings or None
        The user; None if there is no such user.
    mocks : MockSecrets
        Secrets for users that are not there.
    """

    def __init__(self, user: str, settings: UserSettings | None, mocks: MockSecrets):
        self._user = user
        secret = parse_secret(settings.secret) if settings else None
        self._known = secret is not None
        self._secret = secret or mocks.get(user)
        self._server = ScramMechanism(SCRAM_MECHANISM).make_server(
            lambda name: self._secret
        )

    def get_first_answer(self, message: bytes) -> bytes | SqlError:
        """Return the server's first message, or the error to refuse with."""
        try:
            text = message.decode("ascii")
            self._server.set_client_first(_EMPTY_NAME.sub(r"\g<header>n=*,", text))
            # The proof covers the message as the client sent it.
            self._server.client_first_bare = text.split(",", 2)[2]
            return self._server.get_server_first().encode()
        except (ScramException, ValueError, IndexError):
            return self._refuse()

    def get_final_answer(self, message: bytes) -> bytes | SqlError:
        """Return the server's last message, or the error to refuse with."""
        try:
            self._server.set_client_final(message.decode("ascii"))
            final = self._server.get_server_final().encode()
        except (ScramException, ValueError):
            return self._refuse()
        return final if self._known else self._refuse()

    def _refuse(self) -> SqlError:
        """Return the one error that says nothing of why."""
        return make_fatal_error(
            INVALID_PASSWORD, f'password authentication failed for user "{self._user}"'
        )
