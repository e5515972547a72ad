"""Membership changes of a group: majorities of old and new members must intersect."""

from itertools import combinations

import pytest

from beryltrack.settings.stored import ChangeRequest, build_value
from beryltrack.settings.transitions import validate_transition
from tests.settings.examples import GROUP_PATH, make_database, make_group, make_object

NOON = "2026-02-01T12:00:00+00:00"
LATER = "2026-02-01T12:00:30+00:00"
MUCH_LATER = "2026-02-01T12:01:00+00:00"


def members(names):
    databases = [make_database(name, 5000 + ord(name)) for name in names]
    return make_group(databases=databases)


def get_faults(old, new):
    present = make_object(GROUP_PATH, 3, members(old))
    return validate_transition(present, members(new), NOON)


def find_disjoint_majorities(old, new):
    majorities = [
        [set(choice) for choice in combinations(names, len(names) // 2 + 1)]
        for names in (old, new)
    ]
    return [(a, b) for a in majorities[0] for b in majorities[1] if not a & b]


@pytest.mark.parametrize("new", ["abc", "bca", "ab", "bc", "abcd"])
def test_adding_or_removing_one_database_is_allowed_and_safe(new):
    assert get_faults("abc", new) == ()
    assert find_disjoint_majorities("abc", new) == []


@pytest.mark.parametrize("new", ["abd", "ade", "a", "abcde", "def"])
def test_changing_several_databases_at_once_is_refused(new):
    (finding,) = get_faults("abc", new)
    assert finding.place == "/databases"


def test_replacing_a_database_at_once_would_allow_disjoint_majorities():
    assert ({"b", "c"}, {"a", "d"}) in find_disjoint_majorities("abc", "abd")


def test_new_endpoint_of_a_database_is_a_replacement():
    after = members("abc")
    after["databases"][0]["endpoint"] = {"host": "127.0.0.1", "port": 1}
    present = make_object(GROUP_PATH, 3, members("abc"))
    assert validate_transition(present, after, NOON)


def test_next_membership_change_waits_until_the_last_is_in_force():
    request = ChangeRequest(GROUP_PATH, members("abcd"), "ana", "", NOON, "x")
    present = make_object(GROUP_PATH, 3, members("abc"))
    value = build_value(request, 3, present.value)
    changed = present._replace(value=value)
    (finding,) = validate_transition(changed, members("bcd"), LATER)
    assert "30 s ago" in finding.text
    assert validate_transition(changed, members("bcd"), MUCH_LATER) == ()
    drained = members("abcd")
    drained["databases"][0]["draining"] = True
    assert validate_transition(changed, drained, LATER) == ()


def test_first_membership_change_of_a_new_group_need_not_wait():
    request = ChangeRequest(GROUP_PATH, members("abc"), "ana", "", NOON, "x")
    value = build_value(request, 0, None)
    present = make_object(GROUP_PATH, 3, None)._replace(value=value)
    assert validate_transition(present, members("abcd"), LATER) == ()
