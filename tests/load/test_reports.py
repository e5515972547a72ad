"""When an answer carries a report of the load."""

import math

import pytest

from beryltrack.load.messages import DatabaseReport
from beryltrack.load.reports import TimedReport, must_report

UNCONGESTED = DatabaseReport(4, 1, (0.0, 0.0), 0.01, 7)
CONGESTED = DatabaseReport(4, 4, (0.1, 0.4), 0.01, 7)
MORE = CONGESTED._replace(waits=(0.1, 0.6))
ABOUT_THE_SAME = CONGESTED._replace(running=3, waits=(0.11, 0.42))


def make_timed(report, at):
    return TimedReport(report, at)


@pytest.mark.parametrize(
    ("report", "last", "busy_at", "expected"),
    [
        (UNCONGESTED, None, -math.inf, False),
        (UNCONGESTED, make_timed(UNCONGESTED, 8.0), 8.5, True),
        (CONGESTED, None, 9.0, True),
        (CONGESTED, make_timed(UNCONGESTED, 8.95), 9.0, True),
        (ABOUT_THE_SAME, make_timed(CONGESTED, 8.95), 9.0, False),
        (ABOUT_THE_SAME, make_timed(CONGESTED, 8.875), 9.0, True),
        (MORE, make_timed(CONGESTED, 8.99), 9.0, True),
        (CONGESTED._replace(limit=3), make_timed(CONGESTED, 8.99), 9.0, True),
        (UNCONGESTED, make_timed(CONGESTED, 8.99), 8.99, True),
        (UNCONGESTED, None, 8.99, True),
        (UNCONGESTED, make_timed(UNCONGESTED, 8.995), 8.99, False),
        (UNCONGESTED, make_timed(CONGESTED, 7.0), 7.0, False),
    ],
)
def test_a_session_gets_changes_at_once_and_repeats_at_intervals(
    report, last, busy_at, expected
):
    assert must_report(report, last, busy_at, 9.0) is expected


def test_a_database_at_its_limit_is_reported_before_operations_wait():
    full = UNCONGESTED._replace(running=4)
    assert must_report(full, None, 9.0, 9.0)
