"""Tells the sessions of other instances how loaded an owner's databases are."""

import math
from collections.abc import Callable
from typing import Protocol

from beryltrack.load.messages import DatabaseReport
from beryltrack.load.reports import ToldReport, is_calm, must_tell


class ReportSession(Protocol):
    """A session that may be told of the load.

    `sends_demands` is True once it has told what an operation asks for: only then the
    instance at its other end understands reports. `last_report` is the report that was
    sent last, None before the first.
    """

    database: str
    sends_demands: bool
    last_report: ToldReport | None

    def send_report(self, told: ToldReport) -> None:
        """Tell of the database's load; the end of an answer follows."""


class Reporter(Protocol):
    """What reports the load of one database."""

    def get_report(self) -> DatabaseReport | None:
        """Return the load now, None if it is not known."""


class LoadReporter:
    """Tells sessions of the load with their answers.

    Parameters
    ----------
    seconds : callable
        The node's time.
    is_on : bool
        False if nothing is told.
    """

    def __init__(self, seconds: Callable[[], float], is_on: bool = True):
        self._seconds = seconds
        self._started_at = seconds()
        self._is_on = is_on
        self._busy_at: dict[str, float] = {}

    def tell(self, session: ReportSession, pool: Reporter) -> None:
        """Send a report before the end of an answer, if one is due."""
        if not (self._is_on and session.sends_demands):
            return
        report = pool.get_report()
        if report is None:
            return
        now = self._seconds() - self._started_at
        if not is_calm(report):
            self._busy_at[session.database] = now
        busy_at = self._busy_at.get(session.database, -math.inf)
        if must_tell(report, session.last_report, busy_at, now):
            session.last_report = ToldReport(report, now)
            session.send_report(session.last_report)
