"""Decides which statements may still begin while an instance shuts down.

A shutdown promises that a statement which was sent to a database is answered, and that
the process is gone at the end of the grace period. So a statement begins only if its
answer can be expected before `ShutdownTimes.end_at`: its time limit ends before, or
statements of its database have recently been answered fast enough. All others are
refused as not run, or their transaction as rolled back, and can be repeated at another
instance. `docs/notes/shutdown.md` has the argument for each stage of a request.
"""

import logging
import math
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple, Protocol

from beryltrack.connections.messages import PooledConnection
from beryltrack.errors import make_refusal

log = logging.getLogger(__name__)

SHUTDOWN_TEXT = "the instance leaves"
"""Cause of a refusal or a rollback, for callers and the log."""

SHUTDOWN_REFUSAL = make_refusal(SHUTDOWN_TEXT, 0.0)
"""Error of a request that was not run; another instance takes it at once."""

EXIT_TIME = 0.7
"""Seconds before the end of the grace period at which statements that still run are
ended: their answers are delivered, and the process exits, in this time."""

MAX_EXIT_FRACTION = 0.12
"""Upper bound of `EXIT_TIME`, as a fraction of the grace period."""

DELIVERY_FRACTION = 0.3
"""Fraction of the exit time for the delivery of the last answers."""

LATE_START_TIME = 1.1
"""Seconds before `ShutdownTimes.end_at` after which a statement begins only if its time
limit ends before that."""

MIN_START_FRACTION = 0.7
"""Lower bound of the end of late starts, as a fraction of the grace period."""

PROMISED_FRACTION = 0.5
"""Fraction of the grace period in which statements of open transactions begin whatever
their time limit is."""

RUN_TIME_FACTOR = 2.0
"""Expected upper bound of a statement's run time, as a multiple of the median of the
recent run times at its database."""


class ConnectionSource(Protocol):
    """The connections to one database; pools implement it."""

    def get_connections(self) -> Iterable[PooledConnection]:
        """Return all connections that are open."""


class RunningGroup(Protocol):
    """A group whose databases run statements; `GroupRuntime` implements it."""

    pools: Mapping[str, ConnectionSource]


class ShutdownTimes(NamedTuple):
    """The moments of a shutdown, in seconds of the instance's clock.

    Parameters
    ----------
    began_at : float
        The start of the grace period.
    grace : float
        Length of the grace period, seconds.
    """

    began_at: float
    grace: float

    @property
    def promised_until(self) -> float:
        """Until when each statement of an open transaction begins."""
        return self.began_at + self.grace * PROMISED_FRACTION

    @property
    def late_at(self) -> float:
        """From when only statements begin whose time limit ends before `end_at`."""
        start = self.grace * MIN_START_FRACTION
        return max(self.began_at + start, self.end_at - LATE_START_TIME)

    @property
    def end_at(self) -> float:
        """When statements that still run are ended and answered."""
        return self.began_at + self.grace - self._exit_time

    @property
    def abort_at(self) -> float:
        """When the connections that are still open are aborted."""
        return self.end_at + self._exit_time * DELIVERY_FRACTION

    @property
    def _exit_time(self) -> float:
        return min(EXIT_TIME, self.grace * MAX_EXIT_FRACTION)

    def may_start(
        self, now: float, limit: float, recent: float, in_transaction: bool
    ) -> bool:
        """Return whether a statement may be sent to its database.

        Parameters
        ----------
        now : float
            The present time.
        limit : float
            Seconds after which the statement is given up; infinite without a limit.
        recent : float
            Recent run time of statements at the database, seconds; 0 if unknown.
        in_transaction : bool
            True for a statement of an open transaction.

        Returns
        -------
        bool
            False if the statement has to be refused.
        """
        if in_transaction and now < self.promised_until:
            return True
        if now >= self.late_at:
            return in_transaction and now + limit <= self.end_at
        return now + min(limit, RUN_TIME_FACTOR * recent) <= self.end_at


class Shutdown:
    """The shutdown of an instance, as the flows of requests see it.

    Parameters
    ----------
    seconds : callable
        The instance's clock.
    """

    def __init__(self, seconds: Callable[[], float]):
        self._seconds = seconds
        self._times: ShutdownTimes | None = None

    @property
    def end_at(self) -> float:
        """When statements that still run are ended; infinite before a shutdown."""
        return self._times.end_at if self._times is not None else math.inf

    @property
    def is_late(self) -> bool:
        """True if no operation may begin any more, nor be repeated."""
        return self._times is not None and self._seconds() >= self._times.late_at

    def begin(self, grace: float) -> ShutdownTimes:
        """Begin the grace period, whose length is in seconds; return its moments."""
        self._times = ShutdownTimes(self._seconds(), grace)
        return self._times

    def may_start(
        self,
        database: ConnectionSource,
        limit: float | None,
        in_transaction: bool = False,
    ) -> bool:
        """Return whether a statement may be sent to a database.

        Parameters
        ----------
        database : ConnectionSource
            The connections to the database.
        limit : float or None
            Seconds after which the statement is given up; None without a limit.
        in_transaction : bool
            True for a statement of an open transaction.
        """
        if self._times is None:
            return True
        now = self._seconds()
        recent = compute_recent_run_time(database.get_connections(), now)
        limit = math.inf if limit is None else limit
        return self._times.may_start(now, limit, recent, in_transaction)


def compute_recent_run_time(
    connections: Iterable[PooledConnection], now: float
) -> float:
    """Return the median of the run times at a database, 0 if there are none.

    Each connection counts with the longer of its last statement and the one that runs.
    """
    times = [
        max(each.last_run_time, 0.0 if each.run_since is None else now - each.run_since)
        for each in connections
    ]
    known = sorted(each for each in times if each > 0)
    return known[len(known) // 2] if known else 0.0


def end_statements(groups: Iterable[RunningGroup]) -> None:
    """Close the connections on which statements run.

    The flows of their requests then answer them truly: as rolled back where nothing can
    have been committed, as of unknown outcome otherwise.
    """
    running = [
        connection
        for group in groups
        for database in group.pools.values()
        for connection in database.get_connections()
        if connection.run_since is not None
    ]
    if running:
        log.warning(
            "requests: Grace period is nearly over, %d running statements are ended.",
            len(running),
        )
    for connection in running:
        connection.close()


def schedule_stages(
    reactor,
    times: ShutdownTimes,
    refuse_waiting: Callable[[], object],
    end_running: Callable[[], object],
) -> Callable[[], None]:
    """Schedule the last two stages of a shutdown that has just begun.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    times : ShutdownTimes
        The moments of the shutdown.
    refuse_waiting, end_running : callable
        Called at `late_at` and at `end_at`.

    Returns
    -------
    callable
        Cancels the stages that are not reached yet.
    """
    calls = [
        reactor.callLater(times.late_at - times.began_at, refuse_waiting),
        reactor.callLater(times.end_at - times.began_at, end_running),
    ]

    def cancel() -> None:
        for call in calls:
            if call.active():
                call.cancel()

    return cancel
