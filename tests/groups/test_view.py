"""Reading a group's view."""

import math

from beryltrack.groups.decider import GroupDecider
from beryltrack.groups.messages import (
    NO_POSITION,
    PRIMARY,
    REPLICA,
    DatabaseStatus,
    LogPosition,
    TermStart,
)
from beryltrack.groups.view import (
    NEVER,
    DatabaseView,
    GroupView,
    compute_age,
    get_database,
    get_primary,
    has_applied,
)

A = DatabaseView("a", applied=LogPosition(1, 5), history=(TermStart(1, 0),))
VIEW = GroupView("g", databases=(A, DatabaseView("b", fresh_at=2.0)))


def test_age_is_unbounded_until_something_is_proven():
    assert compute_age(A, 10.0) == math.inf
    assert compute_age(get_database(VIEW, "b"), 10.0) == 8.0


def test_a_group_without_a_known_primary_has_none():
    assert get_primary(VIEW) is None
    assert get_primary(VIEW._replace(primary="a")) == A
    assert get_database(VIEW, "c") is None


def test_a_database_has_applied_what_its_log_covers():
    assert has_applied(A, LogPosition(1, 5))
    assert not has_applied(A, LogPosition(1, 6))


def get_work_times(decider):
    return [item.works_until for item in decider.view.databases]


def test_a_leaving_database_gets_work_for_a_limited_time():
    """Guards against a draining database that leads, and serves, until it exits."""
    group = GroupDecider("g", ("a", "b"), drain_limit=5.0)
    group.set_draining(frozenset("a"), 10.0)
    group.set_draining(frozenset("ab"), 12.0)
    assert get_work_times(group) == [15.0, 17.0]
    group.set_draining(frozenset("b"), 13.0)
    assert get_work_times(group) == [math.inf, 17.0]


def test_a_database_that_left_before_the_instance_knew_it_gets_no_work():
    """Guards against an instance that starts late and counts from its own start."""
    group = GroupDecider("g", ("a", "b"), frozenset("a"), drain_limit=5.0, now=20.0)
    group.set_draining(frozenset("ac"), 21.0)
    group.set_databases(("a", "b", "c"), 30.0)
    assert get_work_times(group) == [NEVER, math.inf, NEVER]


def test_a_leaving_database_that_was_dropped_and_is_back_gets_no_more_time():
    """Guards against a leaving primary that crashes, returns and counts anew."""
    group = GroupDecider("g", ("a", "b", "c"), drain_limit=5.5)
    group.set_draining(frozenset("a"), 10.0)
    group.set_databases(("b", "c"), 13.0)
    group.set_draining(frozenset(), 13.0)
    group.set_databases(("b", "c", "a@7"), 17.0)
    group.set_draining(frozenset(("a@7",)), 17.0)
    assert get_work_times(group) == [math.inf, math.inf, 15.5]


def test_a_leaving_database_that_restarts_empty_gets_no_more_time():
    """Guards against a restart that is taken for a new report that it leaves."""
    group = GroupDecider("g", ("a",), drain_limit=5.5)
    group.set_draining(frozenset("a"), 10.0)
    log = LogPosition(1, 5)
    group.observe_status(
        DatabaseStatus("a", PRIMARY, 1, log, log, (), 0.0, False), 11.0, 11.0
    )
    empty = DatabaseStatus("a", REPLICA, 0, *(NO_POSITION,) * 2, (), 0.0, False)
    assert group.observe_status(empty, 15.0, 15.0)
    assert get_work_times(group) == [15.5]


def test_the_time_of_a_leaving_database_counts_from_its_dated_report():
    """Guards against news that were under way for a while and count from arrival."""
    group = GroupDecider("g", ("a", "b"), drain_limit=5.0)
    group.set_draining(frozenset("a"), 12.0, {"a": 9.0})
    assert get_work_times(group) == [14.0, math.inf]
    group.set_draining(frozenset("a"), 13.0, {"a": 11.0})
    assert get_work_times(group) == [14.0, math.inf]


def test_without_a_limit_a_leaving_primary_gets_work_until_it_hands_over():
    """Guards against refusals where operators drain databases without a limit."""
    group = GroupDecider("g", ("a",), frozenset("a"))
    assert get_work_times(group) == [math.inf]
