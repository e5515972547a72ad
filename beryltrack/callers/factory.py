"""What the connections of callers share: settings, cancel keys and leaving."""

import hmac
import logging
import secrets
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ServerFactory

from beryltrack.callers.authentication import MockSecrets
from beryltrack.callers.caller import Caller, RequestHandler
from beryltrack.callers.limits import STARTUP_TIMEOUT, TRANSACTION_IDLE_LIMIT
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

# Callers that one proxy accepts.
MAX_CALLERS = 10_000

# Connections beyond the limit are told so; beyond this multiple they are closed.
_HARD_LIMIT_FACTOR = 2

_KEY_RANGE = 1 << 31
_SECRET_SIZE = 4


class CallerOptions(NamedTuple):
    """Limits of the callers' connections.

    Parameters
    ----------
    startup_timeout : float
        Seconds from the connection to the end of the log-on.
    unit_limit : int
        Most bytes of one unit.
    max_callers : int
        Most callers at a time.
    transaction_idle_limit : float
        Seconds that a caller may leave an open transaction alone.
    """

    startup_timeout: float = STARTUP_TIMEOUT
    unit_limit: int = UNIT_LIMIT
    max_callers: int = MAX_CALLERS
    transaction_idle_limit: float = TRANSACTION_IDLE_LIMIT


class _Cancellable(NamedTuple):
    """A caller and the secret that cancels what it runs."""

    caller: Caller
    secret: bytes


class CallerFactory(ServerFactory):
    """Makes the connections of callers.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    handler : RequestHandler
        Runs the requests.
    get_settings : callable
        Returns the settings in force.
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
        self.mocks = MockSecrets()
        self.leaving = False
        self._get_settings = get_settings
        self._connections: set[CallerProtocol] = set()
        self._keys: dict[int, _Cancellable] = {}
        self._waiting: list[Deferred[None]] = []

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
            log.warning("callers: closed a connection unanswered: too many")
            return None
        return CallerProtocol(self)

    def get_refusal(self) -> SqlError | None:
        """Return why no further caller is let in."""
        if self.leaving:
            return make_fatal_error(CANNOT_CONNECT_NOW, "the proxy is shutting down")
        if len(self._connections) > self.options.max_callers:
            return make_fatal_error(
                TOO_MANY_CONNECTIONS, "too many callers on this proxy"
            )
        return None

    def add(self, connection: CallerProtocol) -> None:
        """Count a new connection."""
        self._connections.add(connection)

    def remove(self, connection: CallerProtocol) -> None:
        """Forget a connection that has ended."""
        self._connections.discard(connection)
        self._check_gone()

    def find_user(self, name: str) -> UserSettings | None:
        """Return the settings of a user."""
        users = self._get_settings().users
        return next((user for user in users if user.name == name), None)

    def check_database(self, name: str, user: UserSettings) -> SqlError | None:
        """Return why a user may not use a database."""
        groups = self._get_settings().groups
        if any(group.name == name and group.team == user.team for group in groups):
            return None
        return make_fatal_error(
            INVALID_CATALOG_NAME, f'database "{name}" does not exist'
        )

    def make_logon(self) -> CallerLogon:
        """Return the log-on of a new connection."""
        return CallerLogon(self.find_user, self.mocks, self.tls_context is not None)

    def get_parameters(self, request: StartupRequest) -> dict[str, str]:
        """Return the parameters to report to a new caller."""
        name = request.settings.get("application_name", "")
        own = {"application_name": name, "session_authorization": request.user}
        return REPORTED_PARAMETERS | own

    def register(self, caller: Caller) -> tuple[int, bytes]:
        """Return the key and the secret that cancel what a caller runs."""
        key = secrets.randbelow(_KEY_RANGE)
        while key in self._keys:
            key = secrets.randbelow(_KEY_RANGE)
        secret = secrets.token_bytes(_SECRET_SIZE)
        self._keys[key] = _Cancellable(caller, secret)
        return key, secret

    def unregister(self, key: int) -> None:
        """Forget the key of a caller that is gone."""
        self._keys.pop(key, None)

    def cancel(self, key: int, secret: bytes) -> None:
        """Cancel what the caller with this key and secret runs, if there is one."""
        entry = self._keys.get(key)
        if entry is not None and hmac.compare_digest(entry.secret, secret):
            entry.caller.cancel()
        else:
            log.info("callers: ignored a cancel request with an unknown key")

    def leave(self) -> "Deferred[None]":
        """End all connections, each between two transactions.

        Returns
        -------
        Deferred of None
            Fires when all connections have ended.
        """
        self.leaving = True
        waiting: Deferred[None] = Deferred()
        self._waiting.append(waiting)
        for connection in tuple(self._connections):
            connection.leave()
        self._check_gone()
        return waiting

    def abort(self) -> None:
        """Cut off all connections that are left."""
        for connection in tuple(self._connections):
            connection.transport.abortConnection()

    def _check_gone(self) -> None:
        """Tell who waits when no connection is left."""
        if self.leaving and not self._connections:
            waiting, self._waiting = self._waiting, []
            for deferred in waiting:
                deferred.callback(None)
