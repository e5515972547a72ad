"""Looks for requests that a database leaves unanswered for too long.

One look at all connections now and then costs less than a timer for each request.
A request that is late is a sign that its database may be lost, and one that is far
too late is given up: its connection is closed, so that its course goes on by the
rules for a lost answer.
"""

from collections.abc import Callable, Iterable

from twisted.internet.task import LoopingCall

from beryltrack.connections.messages import PooledConnection
from beryltrack.pause_aware_clock import get_pause_aware_clock
from beryltrack.requests.runtime import GroupRuntime

CHECK_PERIOD = 0.05
"""Seconds between two looks; each is a turn of the process, see `PauseAwareClock`."""

LATE_AFTER = 0.12
"""Seconds after which a request is late: longer than nearly all statements run."""

SILENT_AFTER = 0.4
"""Seconds without an answer after which an owner is looked at: it usually gives one
within 0.2 s, behind a full queue of its database."""


class OverdueWatch:
    """Watches the requests of all groups.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    seconds : callable
        The node's time.
    get_runtimes : callable
        Returns the groups.
    give_up : callable
        Takes each connection whose request is far too late.
    is_silent : callable
        Says of a connection whether what it goes through has fallen silent.
    late_after : float
        Seconds after which a request makes its database be asked whether it lives.
    """

    def __init__(
        self,
        reactor,
        seconds: Callable[[], float],
        get_runtimes: Callable[[], Iterable[GroupRuntime]],
        give_up: Callable[[PooledConnection], None],
        is_silent: Callable[[PooledConnection], bool] = lambda connection: False,
        late_after: float = LATE_AFTER,
    ):
        self._pause_aware_clock = get_pause_aware_clock(reactor)
        self._seconds = seconds
        self._get_runtimes = get_runtimes
        self._give_up = give_up
        self._is_silent = is_silent
        self._late_after = late_after
        self._checking = LoopingCall(self.check)
        self._checking.clock = reactor

    def start(self) -> None:
        """Begin to look."""
        self._pause_aware_clock.start_detection()
        self._checking.start(CHECK_PERIOD, now=False)

    def stop(self) -> None:
        """Look no more."""
        if self._checking.running:
            self._checking.stop()
            self._pause_aware_clock.stop_detection()

    def check(self) -> None:
        """Look at all requests that run.

        Right after a pause of this process nothing is late: what was answered
        meanwhile has yet to be read.
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
        """Give up what is far too late; what is late makes its database suspect."""
        since = connection.run_since
        ran = self._seconds() - since - self._pause_aware_clock.get_paused_time(since)
        is_over = ran > connection.run_until - since
        if is_over or (ran > SILENT_AFTER and self._is_silent(connection)):
            self._give_up(connection)
        elif ran > self._late_after:
            runtime.task.suspect(database, since)
