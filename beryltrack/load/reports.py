"""When an owner tells another instance of its load.

Each report is bytes that are paid for, so that it goes out with an answer, at most ten
times a second to a session unless something has changed, and not at all while nothing
waits. Pure.
"""

from typing import NamedTuple

from beryltrack.load.messages import DatabaseReport

REPORT_GAP = 0.1
"""Seconds after which a session is told the same again while something waits. What was
told counts for a second (`outlook.VOID_AFTER`), so that nine lost ones are no harm."""

LEAST_CHANGE = 0.02
"""Seconds by which a wait must have changed to be told at once: a statement or two."""

LEAST_WAIT = 0.001
"""Seconds of a wait below which nothing waits; waits are told in milliseconds."""

CHANGED_PART = 0.25
"""Part of itself by which a wait must have changed to be told at once."""

CALM_TIME = 1.0
"""Seconds for which sessions are told once that nothing waits any more, as others of
the same instance may have been told of waits for as long as a report counts."""


class TimedReport(NamedTuple):
    """A report as an owner tells it.

    Parameters
    ----------
    report : DatabaseReport
        The report.
    reported_at : float
        When it was told, seconds since the owner's process started.
    """

    report: DatabaseReport
    reported_at: float


def is_uncongested(report: DatabaseReport) -> bool:
    """Return whether an operation that comes now would run at once."""
    is_waiting = any(wait >= LEAST_WAIT for wait in report.waits)
    return report.running < report.limit and not is_waiting


def must_report(
    report: DatabaseReport, last: TimedReport | None, busy_at: float, now: float
) -> bool:
    """Return whether a session is told of the load with its next answer.

    Parameters
    ----------
    report : DatabaseReport
        The load of its database now.
    last : TimedReport or None
        What it was told last.
    busy_at : float
        When the database was last seen with something waiting.
    now : float
        Seconds since this process started, as the other times.
    """
    if is_uncongested(report):
        was_told = last is not None and last.reported_at >= busy_at
        return now - busy_at < CALM_TIME and not (
            was_told and is_uncongested(last.report)
        )
    if last is None or now - last.reported_at >= REPORT_GAP:
        return True
    return has_changed(last.report, report)


def has_changed(before: DatabaseReport, after: DatabaseReport) -> bool:
    """Return whether two reports differ so that decisions would."""
    if is_uncongested(before) or before.limit != after.limit:
        return True
    if len(before.waits) != len(after.waits):
        return True
    return any(
        abs(new - old) > max(LEAST_CHANGE, CHANGED_PART * old)
        for old, new in zip(before.waits, after.waits, strict=True)
    )
