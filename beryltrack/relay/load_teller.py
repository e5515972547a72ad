"""Tells the sessions of other instances how loaded an owner's databases are."""

import math
from collections.abc import Callable
from typing import Protocol

from beryltrack.load.messages import DatabaseReport
from beryltrack.load.reports import TimedReport, is_uncongested, must_report


class ToldSession(Protocol):
    """A session that may be told of the load.

    `tells_demands` is True once it has told what an operation asks for: only then the
    instance at its other end understands reports. `told` is what it was told last.
    """

    database: str
    tells_demands: bool
    told: TimedReport | None

    def send_report(self, told: TimedReport) -> None:
        """Tell of the database's load; the end of an answer follows."""


class Reporter(Protocol):
    """What reports the load of one database."""

    def get_report(self) -> DatabaseReport | None:
        """Return the load now, None if it is not known."""


class LoadTeller:
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

    def tell(self, session: ToldSession, pool: Reporter) -> None:
        """Send a report before the end of an answer, if one is due."""
        if not (self._is_on and session.tells_demands):
            return
        report = pool.get_report()
        if report is None:
            return
        now = self._seconds() - self._started_at
        if not is_uncongested(report):
            self._busy_at[session.database] = now
        busy_at = self._busy_at.get(session.database, -math.inf)
        if must_report(report, session.told, busy_at, now):
            session.told = TimedReport(report, now)
            session.send_report(session.told)
