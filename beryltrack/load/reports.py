"""When an owner reports the load of a database to another instance.

Reports go out with answers and cost bandwidth: a session gets at most ten a second
unless the load has changed, and none while no operation waits. Sans-I/O.
"""

from typing import NamedTuple

from beryltrack.load.messages import DatabaseReport

REPORT_INTERVAL = 0.1
"""Seconds after which an unchanged report is repeated to a session while operations
wait. A report counts for a second (`owner_loads.REPORT_EXPIRY`), so that nine lost ones
do no harm."""

MIN_CHANGE = 0.02
"""Seconds by which a wait must change to be reported at once: a statement or two."""

MIN_WAIT = 0.001
"""Seconds under which a wait counts as none; waits are sent in milliseconds."""

MIN_CHANGE_FRACTION = 0.25
"""Fraction of itself by which a wait must change to be reported at once."""

ALL_CLEAR_PERIOD = 1.0
"""Seconds after the last congestion in which each session is sent one report without
waits: other sessions of its instance may have reported waits, which count that long."""


class TimedReport(NamedTuple):
    """A report and the time at which the owner made it.

    Parameters
    ----------
    report : DatabaseReport
        The report.
    reported_at : float
        The time of the report, seconds since the owner's process started.
    """

    report: DatabaseReport
    reported_at: float


def is_uncongested(report: DatabaseReport) -> bool:
    """Return whether an operation that arrives now would run at once."""
    is_waiting = any(wait >= MIN_WAIT for wait in report.waits)
    return report.running < report.limit and not is_waiting


def must_report(
    report: DatabaseReport, last: TimedReport | None, busy_at: float, now: float
) -> bool:
    """Return whether the next answer to a session carries a report.

    Parameters
    ----------
    report : DatabaseReport
        The load of the session's database now.
    last : TimedReport or None
        The last report that the session got.
    busy_at : float
        When the database was last congested.
    now : float
        Seconds since this process started, as the other times.
    """
    if is_uncongested(report):
        was_reported = last is not None and last.reported_at >= busy_at
        return now - busy_at < ALL_CLEAR_PERIOD and not (
            was_reported and is_uncongested(last.report)
        )
    if last is None or now - last.reported_at >= REPORT_INTERVAL:
        return True
    return has_changed(last.report, report)


def has_changed(before: DatabaseReport, after: DatabaseReport) -> bool:
    """Return whether two reports differ enough to change decisions."""
    if is_uncongested(before) or before.limit != after.limit:
        return True
    if len(before.waits) != len(after.waits):
        return True
    return any(
        abs(new - old) > max(MIN_CHANGE, MIN_CHANGE_FRACTION * old)
        for old, new in zip(before.waits, after.waits, strict=True)
    )
