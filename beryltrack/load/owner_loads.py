"""What this instance knows of the databases' load, by what their owners told.

Nothing here is agreed on or kept elsewhere. A report counts for a second at most, and
less with each moment of it, so that an owner that falls silent counts as one of which
nothing is known. Pure: the time is given in.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from beryltrack.load.messages import DatabaseReport
from beryltrack.load.reports import TimedReport

VOID_AFTER = 1.0
"""Seconds after which a report says nothing any more: some tens of statements have run
at its database since, and an owner that starts again is back within that."""

DRIFT = 0.001
"""Seconds a second by which two clocks run apart at the most, with room: quartz drifts
by 0.0001."""


PACE_TIME = 10.0
"""Seconds for which the least difference of two clocks is known: they drift by 0.01 s
meanwhile."""


class _Heard(NamedTuple):
    """A report, and when it was told at the latest by this instance's clock."""

    told: TimedReport
    known_at: float


_NONE_HEARD: Mapping[str, _Heard] = MappingProxyType({})


class _Pace(NamedTuple):
    """The least seconds from an owner's clock to this one's, seen at some time."""

    incarnation: int
    least: float
    seen_at: float


def _has_no_report(database: str) -> DatabaseReport | None:
    return None


class ReportedOwnerLoads:
    """Keeps what owners told; see `OwnerLoads`.

    Parameters
    ----------
    seconds : callable
        The node's time.
    get_own : callable
        Returns what this instance would tell of a database.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        get_own: Callable[[str], DatabaseReport | None] = _has_no_report,
    ):
        self._seconds = seconds
        self._get_own = get_own
        # By database, then by owner: each statement looks up a few databases.
        self._heard: dict[str, dict[str, _Heard]] = {}
        self._paces: dict[str, _Pace] = {}

    def observe(
        self, owner: str, database: str, told: TimedReport, sent_at: float
    ) -> None:
        """Take in what an owner told with an answer.

        Parameters
        ----------
        owner, database : str
            Who told, and of what.
        told : TimedReport
            What it told. It is void if it is not newer than what is known.
        sent_at : float
            When the statement was sent that it answers, by this instance's clock: it
            was told later.
        """
        known_at = self._compute_known_at(owner, told, sent_at)
        heard = self._heard.setdefault(database, {})
        last = heard.get(owner)
        if known_at is not None and (last is None or _is_newer(told, last.told)):
            heard[owner] = _Heard(told, known_at)

    def observe_owner(self, owner: str, incarnation: int) -> None:
        """Take in which process of an owner answers: what earlier ones told is void."""
        pace = self._paces.get(owner)
        if pace is not None and pace.incarnation < incarnation:
            self._forget(owner)

    def get_wait(self, owner: str, database: str, priority: int) -> float:
        """Return the expected wait through an owner, seconds; 0 if it is not known."""
        if not owner:
            own = self._get_own(database)
            return own.get_wait(priority) if own is not None else 0.0
        heard = self._heard.get(database, _NONE_HEARD).get(owner)
        if heard is None:
            return 0.0
        age = self._seconds() - heard.known_at
        if age >= VOID_AFTER:
            return 0.0
        # What waited then has moved on since; nothing is known of what came.
        return max(0.0, heard.told.report.get_wait(priority) - age)

    def get_service_time(self, database: str) -> float:
        """Return the usual time of a statement at a database, seconds; 0 if unknown."""
        own = self._get_own(database)
        if own is not None and own.service_time:
            return own.service_time
        oldest = self._seconds() - VOID_AFTER
        newest = max(
            (
                (heard.known_at, heard.told.report.service_time)
                for heard in self._heard.get(database, _NONE_HEARD).values()
                if heard.known_at > oldest
            ),
            default=(0.0, 0.0),
        )
        return newest[1]

    def _compute_known_at(
        self, owner: str, told: TimedReport, sent_at: float
    ) -> float | None:
        """Return when a report was told at the latest; None if its process is over.

        The two clocks are not compared: the least difference that was seen between them
        is that of the quickest message, and what a later one took longer is its delay.
        A process that was paused, or a link that was silent, so delivers old reports.
        """
        now, incarnation = self._seconds(), told.report.incarnation
        pace = self._paces.get(owner)
        if pace is not None and pace.incarnation > incarnation:
            if now - pace.seen_at < VOID_AFTER:
                return None
        if pace is not None and pace.incarnation != incarnation:
            # Numbers follow wall clocks, which may be set back between two processes.
            self._forget(owner)
            pace = None
        if pace is None or now - pace.seen_at > PACE_TIME:
            self._paces[owner] = _Pace(incarnation, now - told.reported_at, now)
            return sent_at
        least = pace.least + DRIFT * (now - pace.seen_at)
        taken = min(least, now - told.reported_at)
        self._paces[owner] = _Pace(incarnation, taken, now)
        return max(sent_at, told.reported_at + taken)

    def _forget(self, owner: str) -> None:
        """Forget all that an owner told."""
        self._paces.pop(owner, None)
        for heard in self._heard.values():
            heard.pop(owner, None)


def _is_newer(told: TimedReport, last: TimedReport) -> bool:
    """Return whether a report was told after another one."""
    new = (told.report.incarnation, told.reported_at)
    return new > (last.report.incarnation, last.reported_at)
