"""Connections to databases that do not answer are closed, others are not."""

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


def make_unreachable(item):
    return item._replace(reachable=False)


def test_a_database_that_answers_is_never_lost():
    assert get_lost_databases(make_view(A, B), 1000.0) == ()


def test_an_unreachable_database_is_lost_after_the_grace():
    view = make_view(A, make_unreachable(B))
    assert get_lost_databases(view, 9.0 + DEFAULT_POLICY.grace - 0.1) == ()
    assert get_lost_databases(view, 9.0 + DEFAULT_POLICY.grace) == ("b",)


def test_an_unreachable_primary_is_lost_as_soon_as_it_is_replaced():
    assert get_lost_databases(make_view(make_unreachable(A), B), 9.1) == ()
    assert get_lost_databases(make_view(make_unreachable(A), B, primary="b"), 9.1) == (
        "a",
    )
    assert get_lost_databases(make_view(A, B, primary="b"), 9.1) == ()


def test_a_replaced_primary_is_lost_before_its_control_request_times_out():
    view = make_view(A, B, primary="b")
    assert get_lost_databases(view, 9.0 + 2 * DEFAULT_POLICY.replaced_grace) == ("a",)
    assert (
        get_lost_databases(make_view(A, B), 9.0 + 2 * DEFAULT_POLICY.replaced_grace)
        == ()
    )


def test_a_database_that_was_never_queried_is_not_lost():
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


def test_connections_are_closed_at_the_end_of_the_grace(clock):
    pools = {"a": FakePool(), "b": FakePool()}
    task = SimpleNamespace(
        view=make_view(A, make_unreachable(B)), subscribe=lambda call: None
    )
    watch = LossWatch(clock, task, pools)
    watch.observe_view(task.view)
    clock.advance(DEFAULT_POLICY.grace - 0.1)
    assert pools["b"].broken == 0
    clock.advance(0.1)
    assert (pools["a"].broken, pools["b"].broken) == (0, 1)
    assert clock.getDelayedCalls() == []


def test_a_database_that_answers_again_keeps_its_connections(clock):
    pools = {"a": FakePool(), "b": FakePool()}
    task = SimpleNamespace(
        view=make_view(A, make_unreachable(B)), subscribe=lambda call: None
    )
    LossWatch(clock, task, pools).observe_view(task.view)
    task.view = make_view(A, B)
    clock.advance(DEFAULT_POLICY.grace)
    assert pools["b"].broken == 0
    assert clock.getDelayedCalls() == []


def start_paused(clock, view):
    """Pause the process; return its clock, and a function that passes it a view."""
    pools = {"a": FakePool(), "b": FakePool()}
    task = SimpleNamespace(view=view, subscribe=lambda call: None)
    watch, pause_clock = LossWatch(clock, task, pools), get_pause_aware_clock(clock)
    pause_clock.start_detection()
    clock.advance(3.0)

    def observe(*databases, primary="a"):
        task.view = make_view(*databases, primary=primary)
        watch.observe_view(task.view)
        return [name for name, pool in pools.items() if pool.broken]

    return pause_clock, observe


def test_a_pause_between_two_ticks_loses_no_database(clock):
    """Guards against closing connections with open transactions after a pause."""
    _, observe = start_paused(clock, make_view(A, B))
    # The answer had arrived but was unread, or was lost during the pause.
    assert observe(make_unreachable(A), make_unreachable(B)) == []
    assert observe(A, B) == []


def test_a_database_that_is_unreachable_after_a_pause_is_lost_after_the_grace(clock):
    """Guards against a pause that hides a lost database."""
    pause_clock, observe = start_paused(clock, make_view(A, B))
    observe(A, make_unreachable(B))
    elapsed = 0.0
    while not observe(A, make_unreachable(B)):
        clock.advance(0.05)
        pause_clock.record_tick()
        elapsed += 0.05
    assert elapsed <= DEFAULT_POLICY.grace


def test_repeated_pauses_do_not_hide_a_lost_database_forever(clock):
    """Guards against pauses that delay a loss forever; each counts `TICK_PERIOD`."""
    pause_clock, observe = start_paused(clock, make_view(A, B))
    pauses = 1
    while not observe(A, make_unreachable(B)):
        clock.advance(3.0)
        pause_clock.record_tick()
        pauses += 1
    assert pauses <= DEFAULT_POLICY.grace / TICK_PERIOD + 1


def test_a_primary_that_was_replaced_during_a_pause_is_lost_at_once(clock):
    """Guards against writes that go on at a replaced primary because of a pause."""
    _, observe = start_paused(clock, make_view(A, B))
    assert observe(A, B, primary="b") == ["a"]
