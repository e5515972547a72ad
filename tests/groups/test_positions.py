"""Comparisons of log positions across terms."""

from beryltrack.groups.messages import LogPosition, TermStart
from beryltrack.groups.positions import covers, has_entry

HISTORY = (TermStart(1, 0), TermStart(3, 10))


def test_entry_beyond_the_end_of_its_term_is_not_in_the_log():
    assert has_entry(HISTORY, LogPosition(3, 20), LogPosition(1, 10))
    assert not has_entry(HISTORY, LogPosition(3, 20), LogPosition(1, 11))


def test_entry_of_an_unknown_term_is_not_in_the_log():
    assert not has_entry(HISTORY, LogPosition(3, 20), LogPosition(2, 5))


def test_token_is_covered_only_when_applied():
    assert covers(HISTORY, LogPosition(3, 12), LogPosition(3, 12))
    assert not covers(HISTORY, LogPosition(3, 11), LogPosition(3, 12))


def test_token_of_a_later_term_is_not_covered():
    assert not covers(HISTORY, LogPosition(3, 20), LogPosition(4, 1))


def test_token_beyond_the_end_of_its_term_asks_for_the_end_only():
    assert covers(HISTORY, LogPosition(3, 11), LogPosition(1, 15))
