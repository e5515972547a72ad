"""One stand-in database: its log, its tables and its write lock, without sockets.

Readers see the `reader` copy, which contains the committed and applied transactions.
The one open write transaction works on the `writer` copy. If a replica discards the
tail of its log, what it had applied of that is undone by a replay of the log from the
last checkpoint before the tail.
"""

import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred, DeferredLock
from twisted.internet.interfaces import IReactorTime

from beryltrack.groups.messages import DatabaseStatus, GrantReply, LogPosition
from beryltrack_standins.database.engine import LoggedStatement, SqlCopy
from beryltrack_standins.database.errors import READ_ONLY, SqlError
from beryltrack_standins.database.replica_log import ReplicaLog

CHECKPOINT_INTERVAL = 2000
"""Number of applied log entries between two checkpoints."""

MAX_CHECKPOINTS = 2
"""Number of checkpoints that are retained."""

STOPPED_WRITES_LIMIT = 2.0
"""Seconds after which a primary that stopped writes accepts them again."""


class Checkpoint(NamedTuple):
    """The tables at an offset of the log.

    Parameters
    ----------
    offset : int
        The number of entries applied to the copy.
    copy : SqlCopy
        The tables; never changed.
    """

    offset: int
    copy: SqlCopy


class Condition(Protocol):
    """A condition on a database's status."""

    def __call__(self, status: DatabaseStatus) -> bool:
        """Return whether the condition holds."""


class WriteTransaction:
    """The one open write transaction of a primary.

    Parameters
    ----------
    database : Database
        The database, whose write lock is held.

    Raises
    ------
    SqlError
        25006 if the database is not the primary.
    """

    def __init__(self, database: "Database"):
        self._database = database
        self._term = database.log.term
        self._statements: list[LoggedStatement] = []
        self.check()
        self.copy = database.get_writer()
        self.copy.begin()

    def check(self) -> None:
        """Raise SqlError (25006) if the database stopped being this term's primary."""
        log = self._database.log
        if not log.can_write() or log.term != self._term:
            raise SqlError(READ_ONLY, f"{log.name} is not the primary any more")

    def record(self, statement: LoggedStatement) -> None:
        """Record an executed statement, which replicas have to run too."""
        self._statements.append(statement)

    def commit(self) -> None:
        """Commit, append to the log, and make the effect visible to readers.

        Raises
        ------
        SqlError
            25006 if the database is not the primary any more; the transaction is
            rolled back.
        """
        try:
            self.check()
        except SqlError:
            self.roll_back()
            raise
        # Releasing the lock starts the next transaction at once, so the log has to be
        # written first.
        try:
            self.copy.commit()
            if self._statements:
                self._database.append(tuple(self._statements))
        finally:
            self._database.write_lock.release()

    def roll_back(self) -> None:
        """Roll the transaction back and release the write lock."""
        try:
            self.copy.roll_back()
        finally:
            self._database.write_lock.release()


class Database:
    """One database of a group.

    Parameters
    ----------
    clock : IReactorTime
        Source of time and delayed calls.
    name : str
        The database's name.
    """

    def __init__(self, clock: IReactorTime, name: str):
        self.name = name
        self.log = ReplicaLog(name)
        self.log.heard_at = clock.seconds()
        self.reader = SqlCopy()
        self.write_lock = DeferredLock()
        self.running = True
        self.isolated = False
        self.frozen = False
        self.apply_lag = 0.0
        self._clock = clock
        self._writer: SqlCopy | None = None
        self._reader_offset = 0
        self._checkpoints: deque[Checkpoint] = deque(maxlen=MAX_CHECKPOINTS)
        self._listeners: list[Callable[[], None]] = []
        self._waiters: list[tuple[Condition, Deferred[None]]] = []

    @property
    def status(self) -> DatabaseStatus:
        """The database's present status."""
        return self.log.get_status(self._clock.seconds())

    @property
    def reachable(self) -> bool:
        """True if the other databases of its group reach it."""
        return self.running and not self.isolated and not self.frozen

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the log or the role."""
        self._listeners.append(listener)

    def wait_until(self, condition: Condition, timeout: float) -> Deferred[None]:
        """Return a Deferred that fires when the condition holds or at the timeout."""
        deferred: Deferred[None] = Deferred()
        if condition(self.status):
            deferred.callback(None)
            return deferred
        waiter = (condition, deferred)
        self._waiters.append(waiter)
        timer = self._clock.callLater(timeout, deferred.callback, None)
        return deferred.addBoth(self._remove_waiter, waiter, timer)

    def get_writer(self) -> SqlCopy:
        """Return the copy for the write transaction, in the committed state."""
        if self._writer is None:
            self._writer = self.reader.copy()
        return self._writer

    def append(self, statements: tuple[LoggedStatement, ...]) -> LogPosition:
        """Append a committed transaction to the log, and make it visible to readers."""
        position = self.log.append(statements)
        self._apply_until(position.offset)
        self._notify_change()
        return position

    def grant(self, term: int, candidate: str, lost_after: float) -> GrantReply:
        """Decide on a candidate's request for a term; see `ReplicaLog.grant`."""
        reply = self.log.grant(term, candidate, lost_after, self._clock.seconds())
        self._handle_role_change()
        return reply

    def promote(self, term: int, candidate: str) -> bool:
        """Become the primary of a granted term, and apply all received entries."""
        promoted = self.log.promote(term, candidate)
        if promoted:
            self._apply_until(len(self.log.entries))
        self._handle_role_change()
        return promoted

    def stop_writes(self, term: int) -> None:
        """Stop writes as the primary of `term`, for at most `STOPPED_WRITES_LIMIT`."""
        if self.log.term == term and not self.log.stopped_writes:
            self.log.stopped_writes = True
            self._clock.callLater(STOPPED_WRITES_LIMIT, self._resume_writes, term)

    def restart_empty(self) -> None:
        """Lose the log, the tables and the term, and get another incarnation."""
        incarnation = str(int(self.log.incarnation) + 1)
        self.log = ReplicaLog(self.name, incarnation)
        self.log.heard_at = self._clock.seconds()
        self.reader = SqlCopy()
        self._reader_offset = 0
        self._checkpoints.clear()
        self._handle_role_change()

    def set_leaving(self, leaving: bool) -> None:
        """Set whether the database is about to leave its group."""
        self.log.leaving = leaving
        self._notify_change()

    def set_apply_lag(self, lag: float) -> None:
        """Set the seconds between receipt and visibility; zero applies all at once."""
        self.apply_lag = lag
        if not lag:
            self._apply_until(len(self.log.entries))
            self._notify_change()

    def pull(self, primary: ReplicaLog) -> None:
        """Copy new entries from the primary's log, and apply them after the lag."""
        before = self.log.received, self.log.term
        self.log.receive(primary, self._clock.seconds())
        if self.log.applied_offset < self._reader_offset:
            self._rebuild(self.log.applied_offset)
        if (self.log.received, self.log.term) == before:
            return
        self._handle_role_change()
        if self.apply_lag:
            end = self.log.received
            self._clock.callLater(self.apply_lag, self._apply_late, end)
        else:
            self._apply_until(len(self.log.entries))
            self._notify_change()

    def _apply_late(self, end: LogPosition) -> None:
        """Apply up to a position received earlier, unless it was discarded since."""
        length = min(end.offset, len(self.log.entries))
        if self.log.get_position(length).term <= end.term:
            self._apply_until(length)
            self._notify_change()

    def _apply_until(self, offset: int) -> None:
        """Run the log's statements on the reader copy up to an offset."""
        for entry in self.log.entries[self._reader_offset : offset]:
            if entry.statements:
                self.reader.apply(entry.statements)
            self._reader_offset += 1
            if self._reader_offset % CHECKPOINT_INTERVAL == 0:
                self._checkpoints.append(
                    Checkpoint(self._reader_offset, self.reader.copy())
                )
        self.log.applied_offset = self._reader_offset

    def _rebuild(self, offset: int) -> None:
        """Make the reader copy anew as it was at an earlier offset."""
        retained = [point for point in self._checkpoints if point.offset <= offset]
        self._checkpoints = deque(retained, maxlen=MAX_CHECKPOINTS)
        start = retained[-1] if retained else Checkpoint(0, SqlCopy())
        self.reader = start.copy.copy()
        self._reader_offset = start.offset
        self._apply_until(offset)

    def _handle_role_change(self) -> None:
        """Drop the writer copy unless the database accepts writes, and notify."""
        if not self.log.can_write():
            self._writer = None
        self._notify_change()

    def _resume_writes(self, term: int) -> None:
        """Accept writes again unless the term has changed."""
        if self.log.term == term:
            self.log.stopped_writes = False

    def _notify_change(self) -> None:
        """Call the listeners, and wake the waiters whose condition holds."""
        for listener in self._listeners:
            listener()
        if not self._waiters:
            return
        status = self.status
        for condition, deferred in [*self._waiters]:
            if not deferred.called and condition(status):
                deferred.callback(None)

    def _remove_waiter(self, result, waiter, timer) -> object:
        """Remove a waiter whose condition held, or that was cancelled or timed out."""
        self._waiters.remove(waiter)
        if timer.active():
            timer.cancel()
        return result


def get_wall_time() -> float:
    """Return the wall-clock time for statements, seconds since the epoch."""
    return time.time()
