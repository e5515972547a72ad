"""Control requests to the databases of a group over the line protocol."""

import logging
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred, DeferredLock, TimeoutError

from beryltrack.connections.messages import ConnectRefused, TargetLost
from beryltrack.errors import CANNOT_CONNECT_NOW
from beryltrack.groups.adapter import ControlLimits, PromoteReply, StatusWait
from beryltrack.groups.messages import (
    PRIMARY,
    ControlFailure,
    DatabaseStatus,
    GrantReply,
    LogPosition,
)
from beryltrack.objects.messages import ErrorKind
from beryltrack.platform import lines
from beryltrack.platform.promotion import PromotionCalls
from beryltrack.platform.target import LineTarget
from beryltrack.settings.messages import DatabaseSettings, GroupSettings
from beryltrack.wire.messages import ResponseEnd
from beryltrack.wire.sinks import CollectingSink

log = logging.getLogger(__name__)

StatusResult = Result[DatabaseStatus, ControlFailure]
Answer = tuple[bytes, ResponseEnd]


Connect = Callable[[DatabaseSettings], Deferred[LineTarget]]


class StatusRow(NamedTuple):
    """The fields of the row with which a database answers control requests.

    Parameters
    ----------
    role : str
        What it believes that it is.
    term : int
        The term of the last primary that it followed.
    received : LogPosition
        The last entry in its log.
    held : int
        A term for whose sake it has stopped receiving; 0 for none.
    """

    role: str
    term: int
    received: LogPosition
    held: int


def parse_row(line: bytes) -> StatusRow | None:
    """Return what a database's row says, None if it is malformed."""
    fields = line.split()
    if len(fields) < 5 or not (fields[2].isdigit() and fields[4].isdigit()):
        return None
    try:
        received = lines.parse_position(fields[3])
    except lines.LineError:
        return None
    if received is None:
        return None
    return StatusRow(fields[1].decode(), int(fields[2]), received, int(fields[4]))


def format_row(status: DatabaseStatus) -> bytes:
    """Return the row that says the same of a database to another instance."""
    term, held = status.term, 0
    if status.is_held:
        term, held = status.received.term, status.term
    fields = (status.role.encode(), term, *status.received, held)
    return b"DATAROW %s %d %d.%d %d\r\n" % fields


class LineDatabaseGroup:
    """The databases of one group; see `DatabaseGroup`.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Source of connections and timers.
    group : GroupSettings
        The group.
    promotion : PromotionCalls
        The service that carries out promotions.
    connect : callable
        Opens a connection to a database.
    limits : ControlLimits
        Times.
    """

    def __init__(
        self,
        reactor,
        group: GroupSettings,
        promotion: PromotionCalls,
        connect: Connect,
        limits: ControlLimits,
    ):
        self._reactor = reactor
        self._group = group.name
        self._promotion = promotion
        self._open = connect
        self._limits = limits
        self._databases: dict[str, DatabaseSettings] = {}
        self._connections: dict[str, LineTarget] = {}
        self._ways: tuple[str, ...] | None = None
        self._locks: dict[str, DeferredLock] = {}
        self.set_databases(group.databases)

    def set_databases(self, databases: tuple[DatabaseSettings, ...]) -> None:
        """Take the group's members from new settings."""
        self._databases = {item.name: item for item in databases}
        for name in self._connections.keys() - self._databases.keys():
            self._connections.pop(name).end_session()
        for name in self._locks.keys() - self._databases.keys():
            del self._locks[name]

    async def get_status(self, database: str) -> StatusResult:
        """Return what a database says of itself now."""
        return await self._call(database, b"STATUS")

    async def wait_status(
        self, database: str, wait: StatusWait, timeout: float
    ) -> StatusResult:
        """Return the status now: these databases answer at once."""
        return await self.get_status(database)

    async def grant(
        self, database: str, term: int, candidate: str, lost_after: float
    ) -> Result[GrantReply, ControlFailure]:
        """Let a replica receive no more, for the sake of a term.

        A primary takes no such request. Where its loss is not the reason it
        grants by leading, as it is to lead on or has just been stepped down.
        """
        result = await self._call(database, b"PAUSE %d" % term)
        return result.map(
            lambda status: GrantReply(_has_granted(status, term, lost_after), status)
        )

    async def promote(
        self, database: str, term: int, candidate: str, token: int
    ) -> Result[PromoteReply, ControlFailure]:
        """Have the platform make a database the primary."""
        called = await self._promotion.promote(self._group, database, token)
        if not isinstance(called, Success):
            error = called.failure()
            if error.kind is not ErrorKind.CONFLICT:
                return Failure(ControlFailure(database, error.text))
        status = await self.get_status(database)
        is_accepted = isinstance(called, Success)
        return status.map(lambda item: PromoteReply(is_accepted, item))

    async def stop_writes(self, database: str, term: int) -> StatusResult:
        """Make the primary of a term a replica."""
        return await self._call(database, b"STEPDOWN %d" % (term + 1))

    async def release(self, database: str) -> StatusResult:
        """Let a replica receive again."""
        return await self._call(database, b"RESUME")

    def close(self) -> None:
        """Close all control connections."""
        for connection in self._connections.values():
            connection.end_session()
        self._connections.clear()

    async def _call(self, database: str, text: bytes) -> StatusResult:
        """Send one control request once those before it are answered."""
        lock = self._locks.setdefault(database, DeferredLock())
        await lock.acquire()
        try:
            return await self._call_alone(database, text)
        finally:
            lock.release()

    async def _call_alone(self, database: str, text: bytes) -> StatusResult:
        """Send one control request and read its row."""
        try:
            rows, end = await self._run(database, text)
        except ConnectRefused as refused:
            is_at_work = refused.sqlstate != CANNOT_CONNECT_NOW
            return Failure(ControlFailure(database, str(refused), is_at_work))
        except (TargetLost, TimeoutError, OSError) as error:
            self._drop(database)
            return Failure(ControlFailure(database, f"no answer: {error}"))
        return _make_status(database, rows, end)

    async def _run(self, database: str, text: bytes) -> Answer:
        """Send one control request over the connection that is open, or a new one.

        An open connection can have fallen silent while its database is at work.
        Without a second attempt over a new one all instances would take a primary
        for lost whose open connections have been cut without a word.
        """
        limit = self._limits.request
        kept = self._connections.get(database)
        if kept is not None and not kept.broken:
            try:
                return await self._ask(kept, text, min(self._limits.doubt, limit))
            except (TargetLost, TimeoutError) as error:
                log.info("groups: A connection to %s fails: %s", database, error)
                limit -= self._limits.doubt
        connection = await self._connect(database)
        return await self._ask(connection, text, limit)

    async def _ask(self, connection: LineTarget, text: bytes, limit: float) -> Answer:
        """Send one control request over a connection."""
        sink = CollectingSink()
        running = connection.run(lines.format_query(lines.NO_ID, text), sink)
        end = await running.addTimeout(limit, self._reactor)
        return sink.frames, end

    async def _connect(self, database: str) -> LineTarget:
        """Return a new control connection to a database."""
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

    def renew(self, ways: tuple[str, ...]) -> None:
        """Open new connections in place of those that go another way than these."""
        self._ways = ways
        for name, connection in tuple(self._connections.items()):
            if connection.way not in ways:
                self._connections.pop(name).end_session()

    def _drop(self, database: str) -> None:
        """Use a connection no more."""
        connection = self._connections.pop(database, None)
        if connection is not None:
            connection.close()


def _has_granted(status: DatabaseStatus, term: int, lost_after: float) -> bool:
    """Return whether a database has granted a term."""
    if status.role == PRIMARY:
        return not lost_after
    return status.is_held and status.term >= term


def _make_status(database: str, rows: bytes, end: ResponseEnd) -> StatusResult:
    """Return the status that an answer holds."""
    if end.error is not None:
        # A database that refuses is at work, only without a slot for this. An owner
        # that refuses as it does not reach the database says nothing of the kind.
        is_at_work = end.error.sqlstate != CANNOT_CONNECT_NOW
        return Failure(ControlFailure(database, end.error.message, is_at_work))
    row = parse_row(rows)
    if row is None or end.position is None:
        return Failure(ControlFailure(database, "malformed status"))
    status = DatabaseStatus(
        database,
        row.role,
        max(row.term, row.held),
        row.received,
        end.position,
        (),
        None,
        False,
        row.held > row.term,
        True,
    )
    return Success(status)
