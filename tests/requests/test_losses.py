"""Requests on a database that has fallen silent are given up, others are not."""

from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from beryltrack.groups.messages import PRIMARY, REPLICA
from beryltrack.groups.view import DatabaseView, GroupView
from beryltrack.pause_aware_clock import TICK_PERIOD, get_pause_aware_clock
from beryltrack.requests.losses import (
    DEFAULT_POLICY,
    LossWatch,
    get_lost_databases,
)

A = DatabaseView("a", role=PRIMARY, reachable=True, seen_at=9.0)
B = DatabaseView("b", role=REPLICA, reachable=True, seen_at=9.0)


def make_view(*databases, primary="a"):
    return GroupView("group", 1, primary, databases=databases)


def silence(item):
    return item._replace(reachable=False)


def test_a_database_that_answers_is_never_lost():
    assert get_lost_databases(make_view(A, B), 1000.0) == ()


def test_a_silent_database_is_lost_after_the_grace():
    view = make_view(A, silence(B))
    assert get_lost_databases(view, 9.0 + DEFAULT_POLICY.grace - 0.1) == ()
    assert get_lost_databases(view, 9.0 + DEFAULT_POLICY.grace) == ("b",)


def test_a_silent_primary_is_lost_as_soon_as_it_is_replaced():
    assert get_lost_databases(make_view(silence(A), B), 9.1) == ()
    assert get_lost_databases(make_view(silence(A), B, primary="b"), 9.1) == ("a",)
    assert get_lost_databases(make_view(A, B, primary="b"), 9.1) == ()


def test_a_replaced_primary_is_lost_before_its_control_request_times_out():
    view = make_view(A, B, primary="b")
    assert get_lost_databases(view, 9.0 + 2 * DEFAULT_POLICY.replaced_grace) == ("a",)
    assert (
        get_lost_databases(make_view(A, B), 9.0 + 2 * DEFAULT_POLICY.replaced_grace)
        == ()
    )


def test_a_database_that_was_never_asked_is_not_lost():
    assert get_lost_databases(make_view(A, DatabaseView("c")), 1000.0) == ()


class FakePool:
    """Counts how often its connections are broken."""

    def __init__(self):
        self.load = SimpleNamespace(open=2)
        self.broken = 0

    def break_connections(self):
        self.broken += 1
        self.load = SimpleNamespace(open=0)


@pytest.fixture
def clock():
    clock = Clock()
    clock.advance(9.0)
    return clock


def test_connections_are_closed_when_the_grace_is_over(clock):
    pools = {"a": FakePool(), "b": FakePool()}
    task = SimpleNamespace(view=make_view(A, silence(B)), subscribe=lambda call: None)
    watch = LossWatch(clock, task, pools)
    watch.observe_view(task.view)
    clock.advance(DEFAULT_POLICY.grace - 0.1)
    assert pools["b"].broken == 0
    clock.advance(0.1)
    assert (pools["a"].broken, pools["b"].broken) == (0, 1)
    assert clock.getDelayedCalls() == []


def test_a_database_that_answers_again_keeps_its_connections(clock):
    pools = {"a": FakePool(), "b": FakePool()}
    task = SimpleNamespace(view=make_view(A, silence(B)), subscribe=lambda call: None)
    LossWatch(clock, task, pools).observe_view(task.view)
    task.view = make_view(A, B)
    clock.advance(DEFAULT_POLICY.grace)
    assert pools["b"].broken == 0
    assert clock.getDelayedCalls() == []


def start_paused(clock, view):
    """Return the pools of a process that is asleep, and what wakes it with a view."""
    pools = {"a": FakePool(), "b": FakePool()}
    task = SimpleNamespace(view=view, subscribe=lambda call: None)
    watch, awake = LossWatch(clock, task, pools), get_pause_aware_clock(clock)
    awake.start_detection()
    clock.advance(3.0)

    def observe(*databases, primary="a"):
        task.view = make_view(*databases, primary=primary)
        watch.observe_view(task.view)
        return [name for name, pool in pools.items() if pool.broken]

    return awake, observe


def test_a_pause_between_two_turns_loses_no_database(clock):
    """Guards against open transactions that end as the process wakes."""
    _, observe = start_paused(clock, make_view(A, B))
    # The answer that had come was not read, or was lost with the pause.
    assert observe(silence(A), silence(B)) == []
    assert observe(A, B) == []


def test_a_database_that_is_silent_after_a_pause_is_lost_in_its_usual_time(clock):
    """Guards against a pause that hides a lost database."""
    awake, observe = start_paused(clock, make_view(A, B))
    observe(A, silence(B))
    elapsed = 0.0
    while not observe(A, silence(B)):
        clock.advance(0.05)
        awake.record_tick()
        elapsed += 0.05
    assert elapsed <= DEFAULT_POLICY.grace


def test_repeated_pauses_hide_no_lost_database_for_good(clock):
    """Guards against a loss that each pause puts off; each counts `TICK_PERIOD`."""
    awake, observe = start_paused(clock, make_view(A, B))
    pauses = 1
    while not observe(A, silence(B)):
        clock.advance(3.0)
        awake.record_tick()
        pauses += 1
    assert pauses <= DEFAULT_POLICY.grace / TICK_PERIOD + 1


def test_a_primary_that_was_replaced_during_a_pause_is_lost_at_once(clock):
    """Guards against writes on a replaced primary that a pause would let live on."""
    _, observe = start_paused(clock, make_view(A, B))
    assert observe(A, B, primary="b") == ["a"]
