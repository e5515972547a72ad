"""Detects overdue statements: those that a database leaves unanswered for too long.

A periodic check of all connections costs less than a timer for each request. A late
statement makes its database suspect, so that the group's task probes it. The connection
of a statement past its time limit is closed, and its request is handled as after a
lost answer.
"""

from collections.abc import Callable, Iterable

from twisted.internet.task import LoopingCall

from beryltrack.connections.messages import PooledConnection
from beryltrack.pause_aware_clock import get_pause_aware_clock
from beryltrack.requests.runtime import GroupRuntime

CHECK_PERIOD = 0.05
"""Seconds between two checks; each is a tick of `PauseAwareClock`."""

LATE_AFTER = 0.12
"""Seconds after which a statement is late: longer than nearly all statements run."""

SILENT_AFTER = 0.4
"""Seconds without an answer after which an owner is checked for silence: it usually
answers within 0.2 s, even with a full queue at its database."""


class OverdueWatch:
    """Checks the running statements of all groups for overdue ones.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    seconds : callable
        The instance's time.
    get_runtimes : callable
        Returns the runtimes of the groups.
    abort_overdue : callable
        Receives each connection whose statement is past its time limit.
    is_silent : callable
        Returns whether the owner that a connection goes through has fallen silent.
    late_after : float
        Seconds after which a statement makes its database suspect.
    """

    def __init__(
        self,
        reactor,
        seconds: Callable[[], float],
        get_runtimes: Callable[[], Iterable[GroupRuntime]],
        abort_overdue: Callable[[PooledConnection], None],
        is_silent: Callable[[PooledConnection], bool] = lambda connection: False,
        late_after: float = LATE_AFTER,
    ):
        self._pause_aware_clock = get_pause_aware_clock(reactor)
        self._seconds = seconds
        self._get_runtimes = get_runtimes
        self._abort_overdue = abort_overdue
        self._is_silent = is_silent
        self._late_after = late_after
        self._checking = LoopingCall(self.check)
        self._checking.clock = reactor

    def start(self) -> None:
        """Start checking."""
        self._pause_aware_clock.start_detection()
        self._checking.start(CHECK_PERIOD, now=False)

    def stop(self) -> None:
        """Stop checking."""
        if self._checking.running:
            self._checking.stop()
            self._pause_aware_clock.stop_detection()

    def check(self) -> None:
        """Check all running statements.

        Right after a pause of this process none counts as late, as answers that
        arrived meanwhile are still unread.
        """
        if self._pause_aware_clock.is_resuming:
            return
        for runtime in self._get_runtimes():
            for name, pool in runtime.pools.items():
                for connection in pool.get_running():
                    self._check_connection(connection, runtime, name)

    def _check_connection(
        self, connection: PooledConnection, runtime: GroupRuntime, database: str
    ) -> None:
        """Abort a statement past its limit; suspect the database of a late one."""
        since = connection.run_since
        ran = self._seconds() - since - self._pause_aware_clock.get_paused_time(since)
        is_past_limit = ran > connection.run_until - since
        if is_past_limit or (ran > SILENT_AFTER and self._is_silent(connection)):
            self._abort_overdue(connection)
        elif ran > self._late_after:
            runtime.task.suspect(database, since)
