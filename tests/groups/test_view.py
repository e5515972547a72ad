"""Reading a group's view."""

import math

from beryltrack.groups.messages import LogPosition, TermStart
from beryltrack.groups.view import (
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
