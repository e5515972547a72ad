"""The listener of one stand-in database, with its connections, limits and faults."""

import random
from typing import NamedTuple

import scramp
from twisted.internet.defer import Deferred, DeferredSemaphore, maybeDeferred
from twisted.internet.error import ConnectionLost
from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from beryltrack.settings.messages import Endpoint
from beryltrack_standins.database.connection import CancelKey, DatabaseConnection
from beryltrack_standins.database.database import Database
from beryltrack_standins.database.session import Session, SessionLimits

HOST = "127.0.0.1"
# Few rounds keep start-up fast; the stand-ins have no real secrets.
_SCRAM_ROUNDS = 4096
_SECRET_BYTES = 4  # of a cancel key


class DatabaseOptions(NamedTuple):
    """Limits and delays of a stand-in database.

    Parameters
    ----------
    max_connections : int
        Limit of the connections, without those of the application
        `beryltrack-control`.
    slots : int
        Number of statements that run concurrently.
    connect_delay : float
        Seconds until a new connection is answered.
    service_time : float
        Seconds for which each statement holds a slot.
    lock_timeout : float
        Longest wait for the open write transaction, seconds.
    users : dict of str to str, or None
        Passwords by user; None accepts all users without a password.
    """

    max_connections: int = 20
    slots: int = 3
    connect_delay: float = 0.0
    service_time: float = 0.0
    lock_timeout: float = 5.0
    users: dict[str, str] | None = None


class ConnectionCounts(NamedTuple):
    """Counts of a database's connections.

    Parameters
    ----------
    open : int
        Open connections that count against the limit.
    peak : int
        Maximum of `open` so far.
    refused : int
        Connections refused at the limit so far.
    control : int
        Open control connections.
    """

    open: int
    peak: int
    refused: int
    control: int


class DatabaseServer(Factory):
    """Serves one database on a port of the loopback interface.

    Parameters
    ----------
    reactor : reactor
        The reactor.
    database : Database
        The database.
    options : DatabaseOptions
        Limits and delays.
    rng : random.Random
        Source of the secrets of cancel keys.
    """

    noisy = False

    def __init__(
        self, reactor, database: Database, options: DatabaseOptions, rng: random.Random
    ):
        self.clock = reactor
        self.database = database
        self.options = options
        self.endpoint = Endpoint(HOST, 0)
        self._rng = rng
        self._port: IListeningPort | None = None
        self._connections: dict[int, DatabaseConnection] = {}
        self._next_process_id = 1
        self._peak = 0
        self._refused = 0
        self._mechanism = scramp.ScramMechanism()
        self._secrets = {
            user: self._mechanism.make_auth_info(password, _SCRAM_ROUNDS)
            for user, password in (options.users or {}).items()
        }
        self._limits = SessionLimits(
            DeferredSemaphore(options.slots), options.service_time, options.lock_timeout
        )

    @property
    def counts(self) -> ConnectionCounts:
        """The present and past numbers of connections."""
        counted = sum(item.is_counted for item in self._connections.values())
        control = sum(item.is_control for item in self._connections.values())
        return ConnectionCounts(counted, self._peak, self._refused, control)

    def start(self) -> None:
        """Listen, after a stop on the same port as before."""
        if self._port is None:
            port = self.endpoint.port
            self._port = self.clock.listenTCP(port, self, interface=HOST)
            self.endpoint = Endpoint(HOST, self._port.getHost().port)
            self.database.running = True

    def stop(self) -> Deferred[None]:
        """Close the listener and reset all connections, as a crash does."""
        port, self._port = self._port, None
        self.database.running = False
        for connection in [*self._connections.values()]:
            connection.abort()
        return maybeDeferred(port.stopListening if port else lambda: None)

    def drop_sessions(self) -> None:
        """Roll back all open transactions, as the end of the process does.

        For a process that ended without its connections being closed.
        """
        for connection in [*self._connections.values()]:
            connection.connectionLost(Failure(ConnectionLost()))

    def set_frozen(self, frozen: bool) -> None:
        """Stop answering, or continue with the pending messages."""
        self.database.frozen = frozen
        if not frozen:
            for connection in [*self._connections.values()]:
                connection.pump()

    def buildProtocol(self, addr) -> DatabaseConnection:
        """Return the protocol for a new connection."""
        secret = self._rng.randbytes(_SECRET_BYTES)
        key = CancelKey(self._next_process_id, secret)
        self._next_process_id += 1
        return DatabaseConnection(self, key)

    def add(self, connection: DatabaseConnection) -> None:
        """Register an open connection."""
        self._connections[connection.key.process_id] = connection

    def remove(self, connection: DatabaseConnection) -> None:
        """Remove a closed connection."""
        self._connections.pop(connection.key.process_id, None)

    def admit(self, connection: DatabaseConnection) -> bool:
        """Count a connection against the limit; return False if that is reached."""
        if connection.is_control:
            return True
        if self.counts.open >= self.options.max_connections:
            self._refused += 1
            return False
        connection.is_counted = True
        self._peak = max(self._peak, self.counts.open)
        return True

    def cancel(self, key: CancelKey) -> None:
        """Cancel the statement of the connection with this key, if there is one."""
        connection = self._connections.get(key.process_id)
        if connection is not None and connection.key == key:
            connection.cancel()

    def make_session(self) -> Session:
        """Return a session for a new connection."""
        return Session(self.clock, self.database, self._limits)

    def make_scram_server(self, user: str) -> scramp.core.ScramServer:
        """Return the server's side of a SCRAM exchange.

        PostgreSQL takes the user from the start-up message, not from SCRAM.
        """
        return self._mechanism.make_server(lambda _: self._get_secret(user))

    def _get_secret(self, user: str):
        """Return a user's SCRAM verifier, or raise ScramException if there is none."""
        if user not in self._secrets:
            raise scramp.ScramException(f"user {user} is not known")
        return self._secrets[user]
