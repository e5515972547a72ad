"""The schedule of status requests to poll-only databases, at literal times."""

import pytest

from beryltrack.groups.messages import PRIMARY, REPLICA, LogPosition
from beryltrack.groups.policy import ProbePolicy
from beryltrack.groups.poll_schedule import (
    WITNESS_TIMEOUT,
    PollContext,
    PollSchedule,
    get_witness,
)
from beryltrack.groups.view import DatabaseView, GroupView

POLICY = ProbePolicy(0.25, 0.25, suspect_interval=0.1, is_poll_only=True)
IDLE = PollContext(False, False, False, 0.0)


def make_item(name, role=REPLICA, received=5, **fields):
    seen = {"reachable": True, "seen_at": 9.0, **fields}
    return DatabaseView(name, role, 1, LogPosition(1, received), **seen)


LEADER = make_item("a", PRIMARY)
VIEW = GroupView(
    "g", 1, "a", databases=(LEADER, make_item("b"), make_item("c", received=0))
)


def compute(schedule, item=VIEW.databases[1], context=IDLE, now=10.0, view=VIEW):
    return schedule.compute_delay(view, item, context, now)


def test_an_idle_database_is_asked_seldom():
    assert compute(PollSchedule(POLICY)) == POLICY.background_interval


def test_the_first_ranked_instance_probes_a_silent_primary():
    context = IDLE._replace(is_first=True, heard_at=9.9)
    delay = compute(PollSchedule(POLICY), LEADER, context)
    assert delay == pytest.approx(POLICY.idle_primary_interval - 0.1)


def test_a_suspicion_ends_with_an_answer_from_after_it():
    schedule = PollSchedule(POLICY)
    assert schedule.record_suspicion(10.0) and not schedule.record_suspicion(10.1)
    assert compute(schedule, now=10.2) == POLICY.suspect_interval
    schedule.record_primary_status(9.9)
    assert compute(schedule, now=10.2) == POLICY.suspect_interval
    schedule.record_primary_status(10.1)
    assert compute(schedule, now=10.2) == POLICY.background_interval


def test_polls_for_a_commit_slow_down_and_then_go_to_all_replicas():
    schedule, context = PollSchedule(POLICY), IDLE._replace(is_awaited=True)
    schedule.begin_confirming(10.0)
    assert compute(schedule, context=context, now=10.0) == POLICY.poll_interval
    assert 0.049 < compute(schedule, context=context, now=10.2) < 0.051
    assert not schedule.escalate_to_all(10.0 + WITNESS_TIMEOUT / 2)
    assert schedule.escalate_to_all(10.0 + WITNESS_TIMEOUT * 2)
    assert not schedule.escalate_to_all(10.0 + WITNESS_TIMEOUT * 3)
    schedule.end_confirming()
    assert not schedule.polls_all


def test_a_group_without_a_primary_is_watched_closely():
    view = VIEW._replace(primary="")
    assert compute(PollSchedule(POLICY), view=view) == POLICY.suspect_interval


def test_the_witness_is_the_replica_that_received_most():
    assert get_witness(VIEW) == "b"
    held = VIEW._replace(databases=(LEADER, make_item("b", is_held=True)))
    assert get_witness(held) == ""
