"""One stand-in database: its log, its tables and who may write, without sockets.

Readers see the `reader` copy, which holds what is committed and applied. The one
open write transaction works on the `writer` copy. What a replica had applied of a
discarded tail is undone by replaying the log from the last checkpoint before it.
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
CHECKPOINTS = 2
STOPPED_WRITES_LIMIT = 2.0


class Checkpoint(NamedTuple):
    """The tables as they were at an offset of the log.

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
    """A question about a database's state."""

    def __call__(self, status: DatabaseStatus) -> bool:
        """Return whether the state is the one waited for."""


class WriteTransaction:
    """The one open write transaction of a primary.

    Parameters
    ----------
    database : Database
        The database, whose write lock is held.

    Raises
    ------
    SqlError
        25006 if the database does not lead.
    """

    def __init__(self, database: "Database"):
        self._database = database
        self._term = database.log.term
        self._statements: list[LoggedStatement] = []
        self.check()
        self.copy = database.get_writer()
        self.copy.begin()

    def check(self) -> None:
        """Raise SqlError (25006) if the database lost its lead meanwhile."""
        log = self._database.log
        if not log.can_write() or log.term != self._term:
            raise SqlError(READ_ONLY, f"{log.name} is not the primary any more")

    def record(self, statement: LoggedStatement) -> None:
        """Note a statement that was run and that replicas have to run."""
        self._statements.append(statement)

    def commit(self) -> None:
        """Commit, append to the log and show the effect to readers.

        Raises
        ------
        SqlError
            25006 if the database lost its lead; the transaction is undone.
        """
        try:
            self.check()
        except SqlError:
            self.roll_back()
            raise
        # The next transaction begins within the release, so the log comes first.
        try:
            self.copy.commit()
            if self._statements:
                self._database.append(tuple(self._statements))
        finally:
            self._database.write_lock.release()

    def roll_back(self) -> None:
        """Undo all of it."""
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
        self._checkpoints: deque[Checkpoint] = deque(maxlen=CHECKPOINTS)
        self._listeners: list[Callable[[], None]] = []
        self._waiters: list[tuple[Condition, Deferred[None]]] = []

    @property
    def status(self) -> DatabaseStatus:
        """What the database says of itself now."""
        return self.log.get_status(self._clock.seconds())

    @property
    def reachable(self) -> bool:
        """True if the other databases of its group reach it."""
        return self.running and not self.isolated and not self.frozen

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the log or the role."""
        self._listeners.append(listener)

    def wait_until(self, condition: Condition, timeout: float) -> Deferred[None]:
        """Return a Deferred that fires when the condition holds or time is up."""
        deferred: Deferred[None] = Deferred()
        if condition(self.status):
            deferred.callback(None)
            return deferred
        waiter = (condition, deferred)
        self._waiters.append(waiter)
        timer = self._clock.callLater(timeout, deferred.callback, None)
        return deferred.addBoth(self._forget_waiter, waiter, timer)

    def get_writer(self) -> SqlCopy:
        """Return the copy for the write transaction, equal to the committed state."""
        if self._writer is None:
            self._writer = self.reader.copy()
        return self._writer

    def append(self, statements: tuple[LoggedStatement, ...]) -> LogPosition:
        """Append one committed transaction to the log and show it to readers."""
        position = self.log.append(statements)
        self._apply_until(position.offset)
        self._report_change()
        return position

    def grant(self, term: int, candidate: str, lost_after: float) -> GrantReply:
        """Decide on a candidate's request for a term; see `ReplicaLog.grant`."""
        reply = self.log.grant(term, candidate, lost_after, self._clock.seconds())
        self._follow_role()
        return reply

    def promote(self, term: int, candidate: str) -> bool:
        """Become the primary of a granted term, with all that was received."""
        promoted = self.log.promote(term, candidate)
        if promoted:
            self._apply_until(len(self.log.entries))
        self._follow_role()
        return promoted

    def stop_writes(self, term: int) -> None:
        """Take no more writes as the primary of `term`, for a limited time."""
        if self.log.term == term and not self.log.stopped_writes:
            self.log.stopped_writes = True
            self._clock.callLater(STOPPED_WRITES_LIMIT, self._resume_writes, term)

    def restart_empty(self) -> None:
        """Hold and know nothing of before, under the same name."""
        incarnation = str(int(self.log.incarnation) + 1)
        self.log = ReplicaLog(self.name, incarnation)
        self.log.heard_at = self._clock.seconds()
        self.reader = SqlCopy()
        self._reader_offset = 0
        self._checkpoints.clear()
        self._follow_role()

    def set_leaving(self, leaving: bool) -> None:
        """Say whether the database is about to leave."""
        self.log.leaving = leaving
        self._report_change()

    def set_apply_lag(self, lag: float) -> None:
        """Set the seconds between receipt and visibility of new entries."""
        self.apply_lag = lag
        if not lag:
            self._apply_until(len(self.log.entries))
            self._report_change()

    def pull(self, primary: ReplicaLog) -> None:
        """Copy what is new in the primary's log."""
        before = self.log.received, self.log.term
        self.log.receive(primary, self._clock.seconds())
        if self.log.applied_offset < self._reader_offset:
            self._rebuild(self.log.applied_offset)
        if (self.log.received, self.log.term) == before:
            return
        self._follow_role()
        if self.apply_lag:
            end = self.log.received
            self._clock.callLater(self.apply_lag, self._apply_late, end)
        else:
            self._apply_until(len(self.log.entries))
            self._report_change()

    def _apply_late(self, end: LogPosition) -> None:
        """Apply up to a position received earlier, unless it was discarded."""
        length = min(end.offset, len(self.log.entries))
        if self.log.get_position(length).term <= end.term:
            self._apply_until(length)
            self._report_change()

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
        kept = [point for point in self._checkpoints if point.offset <= offset]
        self._checkpoints = deque(kept, maxlen=CHECKPOINTS)
        start = kept[-1] if kept else Checkpoint(0, SqlCopy())
        self.reader = start.copy.copy()
        self._reader_offset = start.offset
        self._apply_until(offset)

    def _follow_role(self) -> None:
        """Forget the writer copy when the database does not lead any more."""
        if not self.log.can_write():
            self._writer = None
        self._report_change()

    def _resume_writes(self, term: int) -> None:
        """Take writes again if nobody took over."""
        if self.log.term == term:
            self.log.stopped_writes = False

    def _report_change(self) -> None:
        """Tell the listeners, and wake whoever waited for this state."""
        for listener in self._listeners:
            listener()
        if not self._waiters:
            return
        status = self.status
        for condition, deferred in [*self._waiters]:
            if not deferred.called and condition(status):
                deferred.callback(None)

    def _forget_waiter(self, result, waiter, timer) -> object:
        """Drop a waiter that was woken, cancelled or ran out of time."""
        self._waiters.remove(waiter)
        if timer.active():
            timer.cancel()
        return result


def get_wall_time() -> float:
    """Return the time that statements see as now, seconds since the epoch."""
    return time.time()
