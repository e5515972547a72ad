"""Intervals of probes, and conditions and timeouts of long polls."""

import pytest

from beryltrack.groups.adapter import NO_WAIT, StatusWait
from beryltrack.groups.messages import PRIMARY, LogPosition
from beryltrack.groups.policy import (
    ProbePolicy,
    compute_delay,
    compute_long_poll_timeout,
    make_status_wait,
)
from beryltrack.groups.view import DatabaseView

POLICY = ProbePolicy(0.1, 0.3, suspect_interval=0.02, max_long_poll=0.05)
REPLICA = DatabaseView(
    "b", term=3, received=LogPosition(3, 9), applied=LogPosition(3, 7)
)


def test_a_wait_ends_on_progress_only():
    assert make_status_wait(REPLICA, 12, []) == StatusWait(3, 12, NO_WAIT)
    assert make_status_wait(REPLICA, 4, []) == StatusWait(3, 10, NO_WAIT)
    tokens = [LogPosition(3, 9), LogPosition(3, 8)]
    assert make_status_wait(REPLICA, None, tokens) == StatusWait(3, 10, 8)
    assert make_status_wait(REPLICA, None, [LogPosition(2, 7)]) == StatusWait(3, 10, 8)


@pytest.mark.parametrize(
    ("until_lost", "seconds"), [(9.0, 0.05), (0.03, 0.03), (-1.0, 0.02)]
)
def test_a_poll_ends_when_the_primary_would_be_lost(until_lost, seconds):
    assert compute_long_poll_timeout(POLICY, until_lost) == pytest.approx(
        seconds, abs=1e-4
    )


def test_a_replica_is_asked_when_it_would_have_lost_its_primary():
    replica = REPLICA._replace(reachable=True)
    for in_use, interval in ((True, 0.1), (False, 0.3)):
        soon = compute_delay(POLICY, replica, 0.04, in_use)
        assert soon == pytest.approx(0.04, abs=1e-4)
        assert compute_delay(POLICY, replica, 0.4, in_use) == interval
        assert compute_delay(POLICY, replica, -0.1, in_use) == interval
        leader = replica._replace(role=PRIMARY)
        assert compute_delay(POLICY, leader, 0.04, in_use) == interval
        silent = replica._replace(reachable=False)
        assert compute_delay(POLICY, silent, 0.04, in_use) == interval
