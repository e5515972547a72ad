"""Estimates of the databases' load from the reports of their owners.

The estimates are local to this instance, and are neither agreed on nor stored. A report
counts for a second at most and less the older it is, so that nothing is assumed of an
owner that falls silent. Reports are dated by the smallest clock difference seen, as in
one-way delay estimates with unsynchronised clocks. Sans-I/O: the time is passed in.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from beryltrack.load.messages import DatabaseReport
from beryltrack.load.reports import TimedReport

REPORT_EXPIRY = 1.0
"""Seconds after which a report is void: some tens of statements have run at its
database since, and an owner that restarts is back within that."""

MAX_CLOCK_DRIFT = 0.001
"""Largest drift between two clocks, seconds per second, with a margin: quartz drifts by
0.0001."""

CLOCK_OFFSET_EXPIRY = 10.0
"""Seconds for which the smallest difference of two clocks is used: they drift apart by
0.01 s meanwhile."""


class _ReceivedReport(NamedTuple):
    """A report, and its estimated time by this instance's clock."""

    timed_report: TimedReport
    dated_at: float


_NO_REPORTS: Mapping[str, _ReceivedReport] = MappingProxyType({})


class _ClockOffset(NamedTuple):
    """The smallest difference seen from an owner's clock to this instance's, seconds.

    It includes the delay of the fastest message so far.
    """

    incarnation: int
    smallest: float
    seen_at: float


def _has_no_report(database: str) -> DatabaseReport | None:
    return None


class ReportedOwnerLoads:
    """Retains the owners' latest reports; see `OwnerLoads`.

    Parameters
    ----------
    seconds : callable
        Returns the instance's time, seconds.
    get_own : callable
        Returns this instance's own report on a database, None without one.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        get_own: Callable[[str], DatabaseReport | None] = _has_no_report,
    ):
        self._seconds = seconds
        self._get_own = get_own
        # By database, then by owner: each statement looks up a few databases.
        self._received: dict[str, dict[str, _ReceivedReport]] = {}
        self._offsets: dict[str, _ClockOffset] = {}

    def observe(
        self, owner: str, database: str, timed_report: TimedReport, sent_at: float
    ) -> None:
        """Record a report that an owner sent with an answer.

        Parameters
        ----------
        owner, database : str
            The owner, and the database that it reports on.
        timed_report : TimedReport
            The report. It is ignored unless it is newer than the one retained.
        sent_at : float
            When the answered statement was sent, by this instance's clock: the report
            was made later.
        """
        dated_at = self._estimate_report_time(owner, timed_report, sent_at)
        received = self._received.setdefault(database, {})
        last = received.get(owner)
        if dated_at is not None and (
            last is None or _is_newer(timed_report, last.timed_report)
        ):
            received[owner] = _ReceivedReport(timed_report, dated_at)

    def observe_owner(self, owner: str, incarnation: int) -> None:
        """Record which process of an owner answers; drop reports of earlier ones."""
        offset = self._offsets.get(owner)
        if offset is not None and offset.incarnation < incarnation:
            self._drop(owner)

    def get_wait(self, owner: str, database: str, priority: int) -> float:
        """Return the expected wait through an owner, seconds; 0 if it is unknown."""
        if not owner:
            own = self._get_own(database)
            return own.get_wait(priority) if own is not None else 0.0
        received = self._received.get(database, _NO_REPORTS).get(owner)
        if received is None:
            return 0.0
        age = self._seconds() - received.dated_at
        if age >= REPORT_EXPIRY:
            return 0.0
        # The queue of that time has moved on since; later arrivals are unknown.
        return max(0.0, received.timed_report.report.get_wait(priority) - age)

    def get_service_time(self, database: str) -> float:
        """Return the mean time of a statement at a database, seconds; 0 if unknown."""
        own = self._get_own(database)
        if own is not None and own.service_time:
            return own.service_time
        oldest = self._seconds() - REPORT_EXPIRY
        newest = max(
            (
                (received.dated_at, received.timed_report.report.service_time)
                for received in self._received.get(database, _NO_REPORTS).values()
                if received.dated_at > oldest
            ),
            default=(0.0, 0.0),
        )
        return newest[1]

    def _estimate_report_time(
        self, owner: str, timed_report: TimedReport, sent_at: float
    ) -> float | None:
        """Return the estimated time of a report by this instance's clock.

        The two clocks are not compared: the smallest difference seen between them is
        that of the fastest message, and a larger one of a later message is its delay.
        This dates the old reports that a suspended process or a stalled link delivers.
        The delay of the first message is unknown, so that its report counts from when
        its statement was sent.

        Returns
        -------
        float or None
            Seconds; None if the report is from an earlier process of the owner.
        """
        now, incarnation = self._seconds(), timed_report.report.incarnation
        offset = self._offsets.get(owner)
        if offset is not None and offset.incarnation > incarnation:
            if now - offset.seen_at < REPORT_EXPIRY:
                return None
        if offset is not None and offset.incarnation != incarnation:
            # Incarnations follow wall clocks, which may be set back between two
            # processes, so that a lower one can also be the later process.
            self._drop(owner)
            offset = None
        if offset is None or now - offset.seen_at > CLOCK_OFFSET_EXPIRY:
            self._offsets[owner] = _ClockOffset(
                incarnation, now - timed_report.reported_at, now
            )
            return sent_at
        smallest = offset.smallest + MAX_CLOCK_DRIFT * (now - offset.seen_at)
        difference = min(smallest, now - timed_report.reported_at)
        self._offsets[owner] = _ClockOffset(incarnation, difference, now)
        return max(sent_at, timed_report.reported_at + difference)

    def _drop(self, owner: str) -> None:
        """Drop all reports of an owner."""
        self._offsets.pop(owner, None)
        for received in self._received.values():
            received.pop(owner, None)


def _is_newer(timed_report: TimedReport, last: TimedReport) -> bool:
    """Return whether a report was made after another one."""
    new = (timed_report.report.incarnation, timed_report.reported_at)
    return new > (last.report.incarnation, last.reported_at)
