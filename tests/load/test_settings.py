"""Operators' settings of the overload control, from the environment."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beryltrack.load.mechanisms import LOAD_MECHANISMS
from beryltrack.load.messages import LOWEST_PRIORITY
from beryltrack.load.policy import LoadPolicy
from beryltrack.load.settings import (
    LOAD_OPTIONS,
    LOAD_VARIABLE,
    MAX_FLOORS_SUM,
    MAX_TEXT_LENGTH,
    read_load_policy,
)

NAMES = [option.name for option in LOAD_OPTIONS.options]


def read(value):
    text = value if isinstance(value, str) else json.dumps(value)
    return read_load_policy({LOAD_VARIABLE: text})


@pytest.mark.parametrize("environment", [{}, {LOAD_VARIABLE: ""}, {LOAD_VARIABLE: " "}])
def test_without_settings_the_defaults_of_the_policy_hold(environment):
    assert read_load_policy(environment) == (LoadPolicy(), ())


def test_each_option_can_be_set():
    value = {
        "is_limited": False,
        "is_ordered": False,
        "refuses_early": False,
        "per_slot": 2,
        "floors": [0, 0.5],
        "most_wait": 0.5,
    }
    policy, findings = read(value)
    assert findings == ()
    assert policy == LoadPolicy(False, False, False, 2.0, (0.0, 0.5, 0.0, 0.0), 0.5)
    assert list(value) == NAMES


def test_the_table_has_each_option_with_its_default():
    assert {option.name: option.default for option in LOAD_OPTIONS.options} == (
        LoadPolicy()._asdict()
    )
    assert {name for mechanism in LOAD_MECHANISMS for name in mechanism.options} == set(
        NAMES
    )


@pytest.mark.parametrize(
    ("value", "place"),
    [
        ({"per_slot": -1}, "/per_slot"),
        ({"per_slot": 0}, "/per_slot"),
        ({"per_slot": None}, "/per_slot"),
        ({"per_slot": True}, "/per_slot"),
        ({"per_slot": "3"}, "/per_slot"),
        ({"most_wait": -0.1}, "/most_wait"),
        ({"is_limited": 0}, "/is_limited"),
        ({"is_ordered": None}, "/is_ordered"),
        ({"refuses_early": "no"}, "/refuses_early"),
        ({"floors": 0.5}, "/floors"),
        ({"floors": None}, "/floors"),
        ({"floors": [0.1, -0.1]}, "/floors/1"),
        ({"floors": [0.6, 0.6]}, "/floors"),
        ({"floors": [0.1] * (LOWEST_PRIORITY + 2)}, "/floors"),
        ({"weights": [1, 2]}, "/weights"),
        ([], ""),
        ("{", "line 1"),
        ("NaN", ""),
        ('{"per_slot": Infinity}', ""),
        ('{"per_slot": 1, "per_slot": 2}', ""),
        ('{"per_slot": ' + "9" * 5000 + "}", ""),
        ("[" * (MAX_TEXT_LENGTH + 1), ""),
    ],
)
def test_an_invalid_value_is_a_finding_with_its_place_and_the_default_holds(
    value, place
):
    policy, (finding,) = read(value)
    assert (finding.source, finding.place) == (LOAD_VARIABLE, place)
    assert finding.text
    assert policy == LoadPolicy()


def test_an_invalid_value_affects_no_other_option():
    policy, findings = read({"per_slot": 1.5, "most_wait": "long", "magic": 1})
    assert policy == LoadPolicy(per_slot=1.5)
    assert {finding.place for finding in findings} == {"/most_wait", "/magic"}


def test_minimum_shares_leave_starts_to_the_most_urgent():
    assert read({"floors": [0.6, 0.1, 0.1, 0.1]})[1] == ()
    assert len(read({"floors": [0, 0.5, 0.3, 0.2]})[1]) == 1


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda each: (
        st.lists(each, max_size=6)
        | st.dictionaries(st.text(max_size=5), each, max_size=3)
    ),
    max_leaves=8,
)


def assert_valid(policy):
    flags = (policy.is_limited, policy.is_ordered, policy.refuses_early)
    assert all(isinstance(flag, bool) for flag in flags)
    assert 0.1 <= policy.per_slot <= 100 and 0 <= policy.most_wait <= 100
    assert len(policy.floors) == LOWEST_PRIORITY + 1
    assert all(0 <= min_share <= 1 for min_share in policy.floors)
    assert sum(policy.floors) <= MAX_FLOORS_SUM + 1e-6


@given(st.dictionaries(st.sampled_from(NAMES) | st.text(max_size=9), VALUES))
def test_any_options_give_a_valid_policy(value):
    policy, findings = read(value)
    assert_valid(policy)
    if any(finding.place == "" for finding in findings):
        assert policy == LoadPolicy()
        return
    invalid = {finding.place.split("/")[1] for finding in findings} & set(NAMES)
    default = LoadPolicy()
    assert all(getattr(policy, name) == getattr(default, name) for name in invalid)
    assert len(findings) >= len(set(value) - set(NAMES))


@given(st.text() | st.text(alphabet='{}[]",:0123456789eE.-', max_size=40))
def test_any_text_gives_a_valid_policy(text):
    policy, findings = read_load_policy({LOAD_VARIABLE: text})
    assert_valid(policy)
    assert findings or policy == LoadPolicy() or "{" in text
