"""Control requests to the databases of a group, in order on kept connections.

When a request counts as failed, and when a kept connection is given up for a new one,
is decided here; what is sent and how an answer reads is the protocol's part.
"""

import logging
import math
from collections.abc import Callable
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred, DeferredLock, TimeoutError
from twisted.internet.interfaces import IDelayedCall

from beryltrack.connections.messages import TargetLost
from beryltrack.groups.adapter import ControlLimits
from beryltrack.pause_aware_clock import get_pause_aware_clock
from beryltrack.relay.ways import RelayedConnection
from beryltrack.settings.messages import DatabaseSettings
from beryltrack.wire.messages import ResponseEnd
from beryltrack.wire.sinks import CollectingSink

log = logging.getLogger(__name__)

FREE_WAIT = 0.025
"""Seconds to wait for a connection of the pool that is in use: most statements run for
less, and a new one takes 12 to 30 ms of a slot."""

OPEN_WAIT = 0.15
"""Seconds to wait for the pool's first connection. After a loss of power a database
still counts the connections of before, and has room for one of each instance only."""

Connect = Callable[[DatabaseSettings], Deferred[RelayedConnection]]


class Spare(Protocol):
    """Gives connections that are free for a moment, as `PoolTask` does."""

    def acquire_briefly(
        self, patience: float, open_patience: float
    ) -> Deferred[RelayedConnection | None]:
        """Return a Deferred of a connection, or of None if none is free in time."""

    def release(self, connection: RelayedConnection, reusable: bool) -> None:
        """Give it back."""


class ControlAnswer(NamedTuple):
    """The rows of an answer as they came, and how it ended."""

    rows: bytes
    end: ResponseEnd


class ControlCalls:
    """Sends control requests.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    connect : callable
        Opens a connection to a database.
    limits : ControlLimits
        Times.
    observe_silence : callable
        Takes each open connection that gave no answer.
    get_spare : callable
        Returns what lends free connections to a database, or None.
    idle_time : float
        Seconds after which a connection of its own is closed if nothing needs it.
    """

    def __init__(
        self,
        reactor,
        connect: Connect,
        limits: ControlLimits,
        observe_silence: Callable[[RelayedConnection], None],
        get_spare: Callable[[str], Spare | None] = lambda database: None,
        idle_time: float = math.inf,
    ):
        self._get_spare = get_spare
        self._idle_time = idle_time
        self._closing: dict[str, IDelayedCall] = {}
        self._reactor = reactor
        self._awake = get_pause_aware_clock(reactor)
        self._open = connect
        self._limits = limits
        self._observe_silence = observe_silence
        self._was_heard: Callable[[str, float], bool] = lambda database, since: False
        self._databases: dict[str, DatabaseSettings] = {}
        self._connections: dict[str, RelayedConnection] = {}
        self._ways: tuple[str, ...] | None = None
        self._locks: dict[str, DeferredLock] = {}

    def set_answer_check(
        self, has_answered_since: Callable[[str, float], bool]
    ) -> None:
        """Set the check whether a database has answered others since a time."""
        self._was_heard = has_answered_since

    def set_databases(self, databases: tuple[DatabaseSettings, ...]) -> None:
        """Take the group's members from new settings."""
        self._databases = {item.name: item for item in databases}
        for name in self._connections.keys() - self._databases.keys():
            self._connections.pop(name).end_session()
        for name in self._locks.keys() - self._databases.keys():
            del self._locks[name]

    def set_allowed_vias(self, vias: tuple[str, ...]) -> None:
        """Open new connections in place of those that go another way than these."""
        self._ways = vias
        for name, connection in tuple(self._connections.items()):
            if connection.way not in vias:
                self._connections.pop(name).end_session()

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.end_session()
        self._connections.clear()
        for closing in self._closing.values():
            if closing.active():
                closing.cancel()

    async def call(self, database: str, wire: bytes) -> ControlAnswer:
        """Send one request once those before it are answered.

        Raises
        ------
        ConnectRefused
            If the database, or an owner of its group, refused a new connection.
        TargetLost, TimeoutError, OSError
            If there is no answer.
        """
        lock = self._locks.setdefault(database, DeferredLock())
        await lock.acquire()
        try:
            return await self._run(database, wire)
        except (TargetLost, TimeoutError, OSError):
            self._drop(database)
            raise
        finally:
            self._close_later(database)
            lock.release()

    async def _run(self, database: str, wire: bytes) -> ControlAnswer:
        """Send one request over the connection that is open, or a new one.

        An open connection can have fallen silent while its database is at work.
        Without a second attempt over a new one all instances would take a primary
        for lost whose open connections have been cut without a word.
        """
        left = 1.0
        kept = self._connections.get(database)
        spare = self._get_spare(database)
        lent = None
        if spare is not None:
            is_open = kept is not None and not kept.broken
            lent = await spare.acquire_briefly(
                0.0 if is_open else FREE_WAIT, 0.0 if is_open else OPEN_WAIT
            )
        if lent is not None:
            kept = lent
        if kept is not None and not kept.broken:
            try:
                return await self._ask(kept, wire, left, database)
            except (TargetLost, TimeoutError) as error:
                log.info("groups: A connection to %s fails: %s", database, error)
                left -= self._limits.reconnect_after / self._limits.request_timeout
                self._observe_silence(kept)
            finally:
                if lent is not None:
                    spare.release(lent, not lent.busy)
        connection = await self._connect(database)
        return await self._ask(connection, wire, left)

    def _close_later(self, database: str) -> None:
        """Close a connection of one's own once nothing has needed it for a while.

        Where a database has few connections, one that is kept for control requests
        would take the place of one for callers.
        """
        closing = self._closing.pop(database, None)
        if closing is not None and closing.active():
            closing.cancel()
        if math.isfinite(self._idle_time) and database in self._connections:
            self._closing[database] = self._reactor.callLater(
                self._idle_time, self._close_idle, database
            )

    def _close_idle(self, database: str) -> None:
        """Close a connection of one's own unless it is in use."""
        connection = self._connections.get(database)
        if connection is not None and connection.busy:
            self._close_later(database)
        elif connection is not None:
            self._connections.pop(database).end_session()

    async def _ask(
        self,
        connection: RelayedConnection,
        wire: bytes,
        part: float,
        doubted: str = "",
    ) -> ControlAnswer:
        """Send one request over a connection, within a part of the time limit.

        Where a database is named, the connection is given up sooner unless the
        database was heard otherwise: it is only slow then, and a new connection
        would take one of its slots for 12 to 30 ms.
        """
        sink = CollectingSink()
        running = connection.run(wire, sink)
        since = connection.run_since
        factor = self._limits.relayed_factor if connection.way else 1.0
        limit = self._limits.request_timeout * part * factor
        doubt_after = min(self._limits.reconnect_after * factor, limit)

        def doubt() -> None:
            if doubted and not self._was_heard(doubted, since):
                connection.close()

        # An answer that has come during a pause of this process is no silence.
        doubting = self._awake.callLater(doubt_after, doubt)
        try:
            end = await running.addTimeout(limit, self._awake)
        finally:
            if doubting.active():
                doubting.cancel()
        return ControlAnswer(sink.frames, end)

    async def _connect(self, database: str) -> RelayedConnection:
        """Return a new connection to a database."""
        self._drop(database)
        item = self._databases.get(database)
        if item is None:
            raise ConnectionError("the database is no member any more")
        connection = await self._open(item)
        if self._ways is not None and connection.way not in self._ways:
            # The ways have changed while it was opened.
            connection.end_session()
            raise ConnectionError("the way to the database is used no more")
        self._connections[database] = connection
        return connection

    def _drop(self, database: str) -> None:
        """Use a connection no more."""
        connection = self._connections.pop(database, None)
        if connection is not None:
            connection.close()
