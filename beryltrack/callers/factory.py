"""Shared state of the callers' connections: settings, cancel keys and shutdown."""

import hmac
import logging
import secrets
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ServerFactory

from beryltrack.callers.authentication import MockSecrets
from beryltrack.callers.caller import Caller, RequestHandler
from beryltrack.callers.limits import STARTUP_TIMEOUT, TRANSACTION_IDLE_TIMEOUT
from beryltrack.callers.logon import CallerLogon
from beryltrack.callers.protocol import CallerProtocol
from beryltrack.callers.reader import UNIT_LIMIT
from beryltrack.callers.startup import REPORTED_PARAMETERS, StartupRequest
from beryltrack.errors import (
    CANNOT_CONNECT_NOW,
    INVALID_CATALOG_NAME,
    TOO_MANY_CONNECTIONS,
    SqlError,
    make_fatal_error,
)
from beryltrack.settings.messages import SiteSettings, UserSettings

log = logging.getLogger(__name__)

# Maximum number of callers of one proxy.
MAX_CALLERS = 10_000

# Connections beyond the limit get an error; beyond this multiple of it they are closed
# without one.
_HARD_LIMIT_FACTOR = 2

# Cancel keys are random numbers below this bound, with secrets of this many bytes.
_KEY_RANGE = 1 << 31
_SECRET_SIZE = 4


class CallerOptions(NamedTuple):
    """Limits of the callers' connections.

    Parameters
    ----------
    startup_timeout : float
        Seconds from the TCP connection to the end of the log-on.
    unit_limit : int
        Maximum bytes of one unit.
    max_callers : int
        Maximum number of connected callers.
    transaction_idle_timeout : float
        Seconds that a caller may stay idle in an open transaction.
    """

    startup_timeout: float = STARTUP_TIMEOUT
    unit_limit: int = UNIT_LIMIT
    max_callers: int = MAX_CALLERS
    transaction_idle_timeout: float = TRANSACTION_IDLE_TIMEOUT


class _CancelKey(NamedTuple):
    """A caller and the secret that authorises cancelling its running unit."""

    caller: Caller
    secret: bytes


class CallerFactory(ServerFactory):
    """Creates the connections of callers.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    handler : RequestHandler
        Runs the callers' units.
    get_settings : callable
        Returns the current settings.
    tls_context : object or None
        Twisted's context factory for TLS; None offers no TLS.
    options : CallerOptions
        Limits.
    """

    noisy = False

    def __init__(
        self,
        reactor,
        handler: RequestHandler,
        get_settings: Callable[[], SiteSettings],
        tls_context=None,
        options: CallerOptions = CallerOptions(),  # noqa: B008
    ):
        self.reactor = reactor
        self.handler = handler
        self.tls_context = tls_context
        self.options = options
        self.mock_secrets = MockSecrets()
        self.leaving = False
        self._get_settings = get_settings
        self._connections: set[CallerProtocol] = set()
        self._cancel_keys: dict[int, _CancelKey] = {}
        self._leave_waiters: list[Deferred[None]] = []

    @property
    def count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def transaction_count(self) -> int:
        """Number of connections with a transaction open."""
        callers = (connection.caller for connection in self._connections)
        return sum(caller is not None and caller.in_transaction for caller in callers)

    def buildProtocol(self, addr) -> CallerProtocol | None:  # noqa: N802
        """Return the protocol of a new connection; None closes it."""
        if len(self._connections) >= _HARD_LIMIT_FACTOR * self.options.max_callers:
            log.warning(
                "callers: closed a new connection without an error response: too many"
                " connections are open (%d times the limit of %d callers)",
                _HARD_LIMIT_FACTOR,
                self.options.max_callers,
            )
            return None
        return CallerProtocol(self)

    def get_refusal(self) -> SqlError | None:
        """Return the error that refuses further callers; None below the limit."""
        if self.leaving:
            return make_fatal_error(CANNOT_CONNECT_NOW, "the proxy is shutting down")
        if len(self._connections) > self.options.max_callers:
            return make_fatal_error(
                TOO_MANY_CONNECTIONS, "too many callers on this proxy"
            )
        return None

    def add(self, connection: CallerProtocol) -> None:
        """Register a new connection."""
        self._connections.add(connection)

    def remove(self, connection: CallerProtocol) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)
        self._notify_if_empty()

    def find_user(self, name: str) -> UserSettings | None:
        """Return the settings of a user; None if the user does not exist."""
        users = self._get_settings().users
        return next((user for user in users if user.name == name), None)

    def check_database(self, name: str, user: UserSettings) -> SqlError | None:
        """Return the error if a user may not use a database, else None."""
        groups = self._get_settings().groups
        if any(group.name == name and group.team == user.team for group in groups):
            return None
        return make_fatal_error(
            INVALID_CATALOG_NAME, f'database "{name}" does not exist'
        )

    def make_logon(self) -> CallerLogon:
        """Create the log-on of a new connection."""
        return CallerLogon(
            self.find_user, self.mock_secrets, self.tls_context is not None
        )

    def get_parameters(self, request: StartupRequest) -> dict[str, str]:
        """Return the server parameters to report to a new caller."""
        name = request.settings.get("application_name", "")
        own = {"application_name": name, "session_authorization": request.user}
        return REPORTED_PARAMETERS | own

    def issue_cancel_key(self, caller: Caller) -> tuple[int, bytes]:
        """Issue the key and secret with which a caller can cancel its running unit."""
        key = secrets.randbelow(_KEY_RANGE)
        while key in self._cancel_keys:
            key = secrets.randbelow(_KEY_RANGE)
        secret = secrets.token_bytes(_SECRET_SIZE)
        self._cancel_keys[key] = _CancelKey(caller, secret)
        return key, secret

    def revoke_cancel_key(self, key: int) -> None:
        """Remove the cancel key of a caller that has disconnected."""
        self._cancel_keys.pop(key, None)

    def cancel(self, key: int, secret: bytes) -> None:
        """Cancel the running unit of the caller with this key and secret, if any."""
        entry = self._cancel_keys.get(key)
        if entry is not None and hmac.compare_digest(entry.secret, secret):
            entry.caller.cancel()
        else:
            log.info("callers: ignored a cancel request: unknown key or wrong secret")

    def leave(self) -> "Deferred[None]":
        """Close each connection as soon as no transaction is open on it.

        Returns
        -------
        Deferred of None
            Fires when all connections are closed.
        """
        self.leaving = True
        waiting: Deferred[None] = Deferred()
        self._leave_waiters.append(waiting)
        for connection in tuple(self._connections):
            connection.leave()
        self._notify_if_empty()
        return waiting

    def abort(self) -> None:
        """Abort all remaining connections."""
        for connection in tuple(self._connections):
            connection.transport.abortConnection()

    def _notify_if_empty(self) -> None:
        """Fire the deferreds of `leave` once no connection is left."""
        if self.leaving and not self._connections:
            waiting, self._leave_waiters = self._leave_waiters, []
            for deferred in waiting:
                deferred.callback(None)
