"""When a session is told of the load of its database."""

import math

import pytest

from beryltrack.load.messages import DatabaseReport
from beryltrack.load.reports import TimedReport, must_report

CALM = DatabaseReport(4, 1, (0.0, 0.0), 0.01, 7)
BUSY = DatabaseReport(4, 4, (0.1, 0.4), 0.01, 7)
MORE = BUSY._replace(waits=(0.1, 0.6))
ABOUT_THE_SAME = BUSY._replace(running=3, waits=(0.11, 0.42))


def told(report, at):
    return TimedReport(report, at)


@pytest.mark.parametrize(
    ("report", "last", "busy_at", "expected"),
    [
        (CALM, None, -math.inf, False),
        (CALM, told(CALM, 8.0), 8.5, True),
        (BUSY, None, 9.0, True),
        (BUSY, told(CALM, 8.95), 9.0, True),
        (ABOUT_THE_SAME, told(BUSY, 8.95), 9.0, False),
        (ABOUT_THE_SAME, told(BUSY, 8.875), 9.0, True),
        (MORE, told(BUSY, 8.99), 9.0, True),
        (BUSY._replace(limit=3), told(BUSY, 8.99), 9.0, True),
        (CALM, told(BUSY, 8.99), 8.99, True),
        (CALM, None, 8.99, True),
        (CALM, told(CALM, 8.995), 8.99, False),
        (CALM, told(BUSY, 7.0), 7.0, False),
    ],
)
def test_a_session_is_told_of_what_changed_and_else_now_and_then(
    report, last, busy_at, expected
):
    assert must_report(report, last, busy_at, 9.0) is expected


def test_a_database_that_runs_at_its_limit_is_told_before_anything_waits():
    full = CALM._replace(running=4)
    assert must_report(full, None, 9.0, 9.0)
