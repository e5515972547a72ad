"""Sends load reports of an owner's databases to the sessions of other instances."""

import math
from collections.abc import Callable
from typing import Protocol

from beryltrack.load.messages import DatabaseReport
from beryltrack.load.reports import TimedReport, is_uncongested, must_report


class ReportSession(Protocol):
    """A session that may be sent load reports.

    `sends_demands` is True once it has sent an operation's demand: only then does the
    instance at its other end understand reports. `last_report` is the last report that
    it was sent, None before the first.
    """

    database: str
    sends_demands: bool
    last_report: TimedReport | None

    def send_report(self, report: TimedReport) -> None:
        """Send a report of the database's load; the end of an answer follows."""


class LoadSource(Protocol):
    """The source of one database's load reports."""

    def get_report(self) -> DatabaseReport | None:
        """Return the current load, None if it is unknown."""


class LoadReporter:
    """Sends load reports along with the answers of sessions.

    Parameters
    ----------
    seconds : callable
        The instance's time.
    is_enabled : bool
        False if no reports are sent.
    """

    def __init__(self, seconds: Callable[[], float], is_enabled: bool = True):
        self._seconds = seconds
        self._started_at = seconds()
        self._is_enabled = is_enabled
        self._busy_at: dict[str, float] = {}

    def report_load(self, session: ReportSession, pool: LoadSource) -> None:
        """Send a report before the end of an answer, if one is due."""
        if not (self._is_enabled and session.sends_demands):
            return
        report = pool.get_report()
        if report is None:
            return
        now = self._seconds() - self._started_at
        if not is_uncongested(report):
            self._busy_at[session.database] = now
        busy_at = self._busy_at.get(session.database, -math.inf)
        if must_report(report, session.last_report, busy_at, now):
            session.last_report = TimedReport(report, now)
            session.send_report(session.last_report)
