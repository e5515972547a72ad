"""Session tokens: their text form and how they are merged."""

import base64

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from beryltrack.groups.messages import NO_POSITION, LogPosition
from beryltrack.sessions.tokens import (
    MAX_GROUPS,
    MAX_NUMBER,
    MAX_TEXT_LENGTH,
    NEW_TOKEN,
    UNKNOWN_TOKEN,
    GroupPosition,
    SessionToken,
    format_token,
    get_position,
    merge_position,
    merge_tokens,
    parse_token,
)

NUMBERS = st.integers(0, MAX_NUMBER)
POSITIONS = st.builds(LogPosition, NUMBERS, NUMBERS)
PAIRS = st.builds(GroupPosition, st.text("ab文", min_size=1, max_size=9), POSITIONS)
TOKENS = st.builds(
    SessionToken,
    st.lists(PAIRS, max_size=5, unique_by=lambda pair: pair.group).map(tuple),
    st.booleans(),
)
REPEATABLE = settings(derandomize=True, database=None, deadline=None, max_examples=60)


def _encode(value: object) -> str:
    encoded = base64.urlsafe_b64encode(cbor2.dumps(value)).decode("ascii")
    return "1." + encoded.rstrip("=")


@REPEATABLE
@given(TOKENS)
def test_a_formatted_token_parses_to_the_same_token(token):
    assert parse_token(format_token(token)) == (token, [])


@REPEATABLE
@given(st.text(max_size=40) | st.binary(max_size=40).map(lambda b: _encode(b)))
def test_any_text_gives_a_token_or_findings(text):
    token, findings = parse_token(text)
    assert (token is None) == bool(findings)


@pytest.mark.parametrize(
    "value",
    [
        {},
        [],
        [1],
        [True, "a", 1],
        [True, "a", -1, 2],
        [True, "a", 1, MAX_NUMBER + 1],
        [True, "a", True, 2],
        [True, "", 1, 2],
        [True, "x" * 64, 1, 2],
        [True, "a", 1, 2, "a", 1, 2],
        [True, *(["g", 1, 2] * (MAX_GROUPS + 1))],
    ],
)
def test_malformed_fields_give_findings(value):
    token, findings = parse_token(_encode(value))
    assert token is None
    assert findings


@pytest.mark.parametrize("text", ["2.AA", "1.!", "1." + "A" * MAX_TEXT_LENGTH, "1.9Q"])
def test_malformed_text_gives_findings(text):
    assert parse_token(text)[1]


def test_all_errors_are_reported_with_their_place():
    _, findings = parse_token(_encode([True, "", 1, 2, "b", -1, 2]))
    assert [finding.place for finding in findings] == ["/1", "/5"]


def test_the_largest_token_fits_the_length_limit():
    pairs = (
        GroupPosition(f"{i:063}", LogPosition(MAX_NUMBER, MAX_NUMBER))
        for i in range(MAX_GROUPS)
    )
    token = SessionToken(tuple(pairs), True)
    assert parse_token(format_token(token)) == (token, [])


def test_new_session_has_written_nothing_and_an_unknown_one_may_have():
    assert get_position(parse_token("new")[0], "a") == NO_POSITION
    assert get_position(parse_token("")[0], "a") is None
    assert format_token(NEW_TOKEN) == "new"


def test_merge_keeps_the_later_position_across_terms():
    token = merge_position(NEW_TOKEN, "a", LogPosition(2, 5))
    assert merge_position(token, "a", LogPosition(1, 9)) == token
    later = merge_position(token, "a", LogPosition(3, 1))
    assert get_position(later, "a") == LogPosition(3, 1)


def test_a_merge_into_an_unknown_token_makes_only_that_group_known():
    token = merge_position(UNKNOWN_TOKEN, "a", LogPosition(1, 4))
    assert get_position(token, "a") == LogPosition(1, 4)
    assert get_position(token, "b") is None


def test_a_group_that_is_dropped_becomes_unknown():
    token = NEW_TOKEN
    for number in range(MAX_GROUPS + 1):
        token = merge_position(token, f"g{number}", LogPosition(1, 1))
    assert get_position(token, "g0") is None
    assert get_position(token, f"g{MAX_GROUPS}") == LogPosition(1, 1)


def test_merged_tokens_hold_the_writes_of_both():
    first = merge_position(NEW_TOKEN, "a", LogPosition(1, 4))
    second = merge_position(first, "b", LogPosition(2, 1))
    assert get_position(merge_tokens(second, first), "b") == LogPosition(2, 1)
    assert not merge_tokens(first, UNKNOWN_TOKEN).is_complete
