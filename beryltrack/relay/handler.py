"""Runs the statements that other instances send through this one, an owner.

A relayed session takes one of the owner's connections for a statement or for a
transaction, and gives it back after. Everything that is decided about a request,
which database runs it, what it must show, whether it is repeated, stays with the
instance that took it from its caller; the owner lends connections and no more. What
was not sent to a database is refused as such. What was sent and has lost its answer
ends the session, so that the other side judges it by its own rules for that.
"""

import logging
from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import CancelledError, Deferred

from beryltrack.connections.messages import PooledConnection, PoolRefused
from beryltrack.connections.task import PoolTask
from beryltrack.errors import SqlError, make_refusal
from beryltrack.requests.protocol import RunLost, RunResult
from beryltrack.wire.messages import ResponseEnd, TransactionStatus

log = logging.getLogger(__name__)

GetPool = Callable[[str, str], PoolTask | None]


class RelayedSession(Protocol):
    """A session of another instance; `pinned` is the connection of its transaction."""

    group: str
    database: str
    pinned: PooledConnection | None
    status: TransactionStatus

    def run_on(self, connection: PooledConnection, unit: object) -> Deferred[RunResult]:
        """Run a statement; its rows go out as they come."""

    def send_refusal(self, error: SqlError) -> None:
        """Say that a statement was not run."""

    def send_end(self, end: ResponseEnd) -> None:
        """Send the end of an answer."""

    def send_rows(self, rows: bytes) -> None:
        """Send rows that were kept."""

    def set_gone(self, callback: Callable[[], object] | None) -> None:
        """Call back when the session ends."""

    def abort(self) -> None:
        """End the session at once."""


class StatusRun(Protocol):
    """Asks a database for its status over a connection."""

    def __call__(
        self, connection: PooledConnection
    ) -> Deferred[tuple[bytes, RunResult]]:
        """Return the rows and the end of the answer."""


class _StatusShare:
    """Who waits for the status of one database."""

    def __init__(self):
        self.waiting: list[Deferred] = []
        self.is_running = False


class RelayHandler:
    """Lends an owner's connections to the sessions of other instances.

    Parameters
    ----------
    seconds : callable
        The clock of the pools' deadlines.
    get_pool : callable
        Returns the pool of a group's database; None if this instance lends none.
    run_status : StatusRun
        Asks a database for its status.
    most_wait : float
        Seconds that a statement may wait for a connection.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        get_pool: GetPool,
        run_status: StatusRun,
        most_wait: float,
    ):
        self._seconds = seconds
        self._get_pool = get_pool
        self._run_status = run_status
        self._most_wait = most_wait
        self._shares: dict[tuple[str, str], _StatusShare] = {}
        self._lent: dict[RelayedSession, PoolTask] = {}

    def takes(self, session: RelayedSession) -> bool:
        """Return whether this instance lends connections to a session's database."""
        return self._get_pool(session.group, session.database) is not None

    def handle(self, unit: object, session: RelayedSession) -> Deferred[None]:
        """Run one statement of a session."""
        return Deferred.fromCoroutine(self._handle(unit, session))

    def handle_status(self, session: RelayedSession) -> Deferred[None]:
        """Answer with a status that was asked for after this call.

        A status takes a slot of its database and is paid for: all sessions that
        wait for the next one share it.
        """
        return Deferred.fromCoroutine(self._share_status(session))

    def forget(self, session: RelayedSession) -> None:
        """Roll back what a session that is gone has left open."""
        connection, session.pinned = session.pinned, None
        pool = self._lent.pop(session, None)
        if connection is not None and pool is not None:
            pool.release(connection, False)

    async def _handle(self, unit: object, session: RelayedSession) -> None:
        """Run one statement on a connection of the pool."""
        connection = session.pinned
        if connection is None:
            connection = await self._lend(session)
            if connection is None:
                return
        session.set_gone(connection.close)
        result = await session.run_on(connection, unit)
        session.set_gone(None)
        if isinstance(result, RunLost):
            self._finish_lost(session, connection, result)
            return
        session.send_end(result)
        session.pinned = connection
        if result.status is TransactionStatus.IDLE:
            self._take_back(session, connection, True)

    async def _lend(self, session: RelayedSession) -> PooledConnection | None:
        """Return a connection for a session; None if it was refused or has gone."""
        pool = self._get_pool(session.group, session.database)
        if pool is None:
            session.send_refusal(make_refusal("the group has other owners", 0.0))
            return None
        acquiring = pool.acquire(self._seconds() + self._most_wait)
        session.set_gone(acquiring.cancel)
        try:
            connection = await acquiring
        except PoolRefused as refused:
            session.send_refusal(_make_error(refused))
            return None
        except CancelledError:
            log.info("relay: A session to %s ended while it waited.", session.database)
            return None
        finally:
            session.set_gone(None)
        self._lent[session] = pool
        return connection

    def _take_back(
        self, session: RelayedSession, connection: PooledConnection, reusable: bool
    ) -> None:
        """Take a connection back after a statement or a transaction."""
        session.pinned = None
        pool = self._lent.pop(session, None)
        if pool is not None:
            pool.release(connection, reusable)

    def _finish_lost(
        self, session: RelayedSession, connection: PooledConnection, lost: RunLost
    ) -> None:
        """End a statement whose connection was lost."""
        is_first = session.pinned is None
        self._take_back(session, connection, False)
        if lost.is_sent or not is_first:
            session.abort()
        else:
            session.send_refusal(make_refusal(lost.reason, 0.0))

    async def _share_status(self, session: RelayedSession) -> None:
        """Wait for the next status of a session's database, and send it."""
        key = (session.group, session.database)
        share = self._shares.setdefault(key, _StatusShare())
        waiter: Deferred = Deferred()
        share.waiting.append(waiter)
        if not share.is_running:
            share.is_running = True
            Deferred.fromCoroutine(self._ask_status(key, share)).addErrback(_log_defect)
        answer = await waiter
        if isinstance(answer, SqlError):
            session.send_refusal(answer)
            return
        rows, end = answer
        if isinstance(end, RunLost):
            session.abort()
            return
        session.send_rows(rows)
        session.send_end(end)

    async def _ask_status(self, key: tuple[str, str], share: _StatusShare) -> None:
        """Ask for statuses for as long as somebody waits for one."""
        try:
            while share.waiting:
                answer, waiting = await self._ask_once(key, share)
                for waiter in waiting:
                    waiter.callback(answer)
        finally:
            share.is_running = False

    async def _ask_once(
        self, key: tuple[str, str], share: _StatusShare
    ) -> tuple[object, list[Deferred]]:
        """Return one answer, and all who had asked before it was asked for."""
        pool = self._get_pool(*key)
        if pool is None:
            refusal = make_refusal("the group has other owners", 0.0)
            return refusal, _take_waiting(share)
        try:
            connection = await pool.acquire(self._seconds() + self._most_wait)
        except PoolRefused as refused:
            return _make_error(refused), _take_waiting(share)
        waiting = _take_waiting(share)
        rows, end = await self._run_status(connection)
        pool.release(connection, not isinstance(end, RunLost))
        return (rows, end), waiting


def _take_waiting(share: _StatusShare) -> list[Deferred]:
    """Return who waits now; whoever comes later waits for the next answer."""
    waiting, share.waiting = share.waiting, []
    return waiting


def _make_error(refused: PoolRefused) -> SqlError:
    """Return the error of a statement that got no connection."""
    refusal = refused.refusal
    return make_refusal(refusal.reason.value, refusal.retry_after, refusal.sqlstate)


def _log_defect(failure) -> None:
    """Log a defect: those who wait then run into their own time limits."""
    log.error("relay: A status met a defect: %s", failure.getTraceback())
