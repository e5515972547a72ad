"""Control requests to the databases of a group, in order on reused connections.

This module decides when a request has failed and when a reused connection is replaced
by a new one. The adapter writes the requests and parses the answers.
"""

import logging
import math
from collections.abc import Callable
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred, DeferredLock, TimeoutError
from twisted.internet.interfaces import IDelayedCall

from beryltrack.clock import get_monotonic_clock
from beryltrack.connections.messages import TargetLost
from beryltrack.groups.adapter import ControlLimits
from beryltrack.pause_aware_clock import get_pause_aware_clock
from beryltrack.relay.relayed_connections import RelayedConnection
from beryltrack.settings.messages import DatabaseSettings
from beryltrack.wire.messages import ResponseEnd
from beryltrack.wire.sinks import CollectingSink

log = logging.getLogger(__name__)

IDLE_CONNECTION_WAIT = 0.025
"""Seconds to wait for a pooled connection that is in use: most statements take less,
and opening a new connection occupies a slot of the database for 12 to 30 ms."""

FIRST_CONNECTION_WAIT = 0.15
"""Seconds to wait for the pool's first connection. After a power loss a database still
counts its former connections, and has capacity for one connection of each instance."""

Connect = Callable[[DatabaseSettings], Deferred[RelayedConnection]]


class ConnectionPool(Protocol):
    """A pool that lends idle connections for single requests, as `PoolTask` does."""

    def acquire_briefly(
        self, wait_limit: float, open_limit: float
    ) -> Deferred[RelayedConnection | None]:
        """Return a Deferred of a connection, or of None if none is idle in time."""

    def release(self, connection: RelayedConnection, reusable: bool) -> None:
        """Return a connection to the pool."""


class RequestExpired(Exception):
    """A request was not sent, as its time to be sent was over."""


class ControlAnswer(NamedTuple):
    """The rows of an answer as received, and the message that ended it."""

    rows: bytes
    end: ResponseEnd


class ControlCalls:
    """Sends control requests over pooled connections, or over dedicated ones.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    connect : callable
        Opens a connection to a database.
    limits : ControlLimits
        Time limits.
    observe_silence : callable
        Receives each open connection that gave no answer.
    get_pool : callable
        Returns the pool of connections to a database, or None.
    idle_time : float
        Seconds after which an unused dedicated connection is closed.
    """

    def __init__(
        self,
        reactor,
        connect: Connect,
        limits: ControlLimits,
        observe_silence: Callable[[RelayedConnection], None],
        get_pool: Callable[[str], ConnectionPool | None] = lambda database: None,
        idle_time: float = math.inf,
    ):
        self._get_pool = get_pool
        self._idle_time = idle_time
        self._closing: dict[str, IDelayedCall] = {}
        self._reactor = reactor
        self._clock = get_pause_aware_clock(reactor)
        self._seconds = get_monotonic_clock(reactor)
        self._open = connect
        self._limits = limits
        self._observe_silence = observe_silence
        self._has_answered_since: Callable[[str, float], bool] = (
            lambda database, since: False
        )
        self._databases: dict[str, DatabaseSettings] = {}
        self._connections: dict[str, RelayedConnection] = {}
        self._allowed_vias: tuple[str, ...] | None = None
        self._locks: dict[str, DeferredLock] = {}

    def set_answer_check(
        self, has_answered_since: Callable[[str, float], bool]
    ) -> None:
        """Set the check whether a database answered other statements since a time."""
        self._has_answered_since = has_answered_since

    def set_databases(self, databases: tuple[DatabaseSettings, ...]) -> None:
        """Replace the group's members by those of new settings."""
        self._databases = {item.name: item for item in databases}
        for name in self._connections.keys() - self._databases.keys():
            self._connections.pop(name).end_session()
        for name in self._locks.keys() - self._databases.keys():
            del self._locks[name]

    def set_allowed_vias(self, vias: tuple[str, ...]) -> None:
        """Use only connections through these owners; an empty name allows direct ones.

        Other open connections are closed; the next request opens a new one.
        """
        self._allowed_vias = vias
        for name, connection in tuple(self._connections.items()):
            if connection.via not in vias:
                self._connections.pop(name).end_session()

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.end_session()
        self._connections.clear()
        for closing in self._closing.values():
            if closing.active():
                closing.cancel()

    async def call(
        self, database: str, wire: bytes, send_before: float = math.inf
    ) -> ControlAnswer:
        """Send one request after all earlier requests to the database are answered.

        Parameters
        ----------
        database : str
            The database.
        wire : bytes
            The request.
        send_before : float
            Time of the instance's clock after which it is not sent any more, seconds.

        Raises
        ------
        RequestExpired
            If it was not sent.
        ConnectRefused
            If the database, or an owner of its group, refused a new connection.
        TargetLost, TimeoutError, OSError
            If there is no answer.
        """
        lock = self._locks.setdefault(database, DeferredLock())
        await lock.acquire()
        try:
            return await self._run(database, wire, send_before)
        except (TargetLost, TimeoutError, OSError):
            self._discard(database)
            raise
        finally:
            self._close_later(database)
            lock.release()

    async def _run(
        self, database: str, wire: bytes, send_before: float
    ) -> ControlAnswer:
        """Send one request over an open connection, and if that fails over a new one.

        An open connection can be dead while its database still works. Without a
        second attempt, all instances would consider a primary lost whose open
        connections were cut without a reset.
        """
        fraction = 1.0
        reused = self._connections.get(database)
        pool = self._get_pool(database)
        pooled = None
        if pool is not None:
            is_open = reused is not None and not reused.broken
            pooled = await pool.acquire_briefly(
                0.0 if is_open else IDLE_CONNECTION_WAIT,
                0.0 if is_open else FIRST_CONNECTION_WAIT,
            )
        if pooled is not None:
            reused = pooled
        if reused is not None and not reused.broken:
            try:
                return await self._send(reused, wire, send_before, fraction, database)
            except (TargetLost, TimeoutError) as error:
                log.info(
                    "groups: an open connection to %s failed, retrying over a new one:"
                    " %s",
                    database,
                    error,
                )
                fraction -= self._limits.reconnect_after / self._limits.request_timeout
                self._observe_silence(reused)
            finally:
                if pooled is not None:
                    pool.release(pooled, not pooled.busy)
        connection = await self._connect(database)
        return await self._send(connection, wire, send_before, fraction)

    def _close_later(self, database: str) -> None:
        """Close a dedicated connection once it has been unused for `idle_time`.

        Where a database allows few connections, a retained control connection would
        displace one for callers.
        """
        closing = self._closing.pop(database, None)
        if closing is not None and closing.active():
            closing.cancel()
        if math.isfinite(self._idle_time) and database in self._connections:
            self._closing[database] = self._reactor.callLater(
                self._idle_time, self._close_idle, database
            )

    def _close_idle(self, database: str) -> None:
        """Close a dedicated connection unless it is in use."""
        connection = self._connections.get(database)
        if connection is not None and connection.busy:
            self._close_later(database)
        elif connection is not None:
            self._connections.pop(database).end_session()

    async def _send(
        self,
        connection: RelayedConnection,
        wire: bytes,
        send_before: float,
        fraction: float,
        database: str = "",
    ) -> ControlAnswer:
        """Send one request over a connection, within a fraction of the time limit.

        If `database` is given, the connection is closed after `reconnect_after`
        unless that database has answered other statements: then it is only slow, and
        a new connection would occupy one of its slots for 12 to 30 ms.
        """
        # By the real time: a pause of this process must not extend the limit.
        if self._seconds() > send_before:
            raise RequestExpired("not sent, as its time to be sent is over")
        sink = CollectingSink()
        running = connection.run(wire, sink)
        since = connection.run_since
        factor = self._limits.relayed_factor if connection.via else 1.0
        limit = self._limits.request_timeout * fraction * factor
        check_after = min(self._limits.reconnect_after * factor, limit)

        def close_if_silent() -> None:
            if database and not self._has_answered_since(database, since):
                connection.close()

        # The timers do not count pauses of this process, in which answers are unread.
        checking = self._clock.callLater(check_after, close_if_silent)
        try:
            end = await running.addTimeout(limit, self._clock)
        finally:
            if checking.active():
                checking.cancel()
        return ControlAnswer(sink.frames, end)

    async def _connect(self, database: str) -> RelayedConnection:
        """Return a new connection to a database."""
        self._discard(database)
        item = self._databases.get(database)
        if item is None:
            raise ConnectionError("the database is no longer a member of the group")
        connection = await self._open(item)
        if self._allowed_vias is not None and connection.via not in self._allowed_vias:
            # The allowed owners have changed while the connection was opened.
            connection.end_session()
            raise ConnectionError("the path to the database is no longer allowed")
        self._connections[database] = connection
        return connection

    def _discard(self, database: str) -> None:
        """Close the dedicated connection to a database."""
        connection = self._connections.pop(database, None)
        if connection is not None:
            connection.close()
