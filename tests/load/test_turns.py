"""Turns among accounts."""

import random

import pytest

from beryltrack.load.fair_queue import FairQueue


@pytest.fixture
def turns():
    return FairQueue()


def fill(turns, *accounts):
    """Add one operation after another, numbered from one on."""
    for number, account in enumerate(accounts, 1):
        turns.add(account, float(number), number)


def pop_all(turns):
    return [turns.pop() for _ in range(len(turns))]


def test_an_account_with_a_flood_waits_behind_its_own(turns):
    fill(turns, *"aaaab")
    assert pop_all(turns) == [1, 5, 2, 3, 4]


def test_accounts_take_turns(turns):
    fill(turns, *"aaabbbc")
    assert pop_all(turns) == [1, 4, 7, 2, 5, 3, 6]


def test_the_earliest_aim_of_an_account_goes_first(turns):
    turns.add("a", 9.0, 1)
    turns.add("a", 3.0, 2)
    turns.add("a", 3.0, 3)
    assert pop_all(turns) == [2, 3, 1]


def test_an_account_that_just_had_its_turns_waits_for_the_others(turns):
    fill(turns, *"aab")
    assert [turns.pop(), turns.pop()] == [1, 3]
    turns.add("b", 9.0, 4)
    turns.add("b", 9.0, 5)
    assert pop_all(turns) == [2, 4, 5]


def test_an_account_that_comes_back_has_saved_no_turns(turns):
    fill(turns, "a", *"bbbbbb")
    assert [turns.pop() for _ in range(4)] == [1, 2, 3, 4]
    for number in (8, 9, 10):
        turns.add("a", 9.0, number)
    assert pop_all(turns) == [8, 9, 5, 10, 6, 7]


def test_what_leaves_is_not_served(turns):
    fill(turns, *"aab")
    turns.remove("a", 1.0, 1)
    turns.remove("b", 3.0, 3)
    assert pop_all(turns) == [2]


def test_an_account_whose_operations_all_left_has_one_place_when_it_is_back(turns):
    fill(turns, *"ab")
    turns.remove("a", 1.0, 1)
    turns.add("a", 5.0, 3)
    turns.add("a", 6.0, 4)
    assert pop_all(turns) == [3, 2, 4]


def test_the_last_operation_of_an_account_is_known(turns):
    fill(turns, *"ab")
    turns.add("a", 0.5, 3)
    assert turns.get_last("a") == 1 and turns.get_last("c") is None


@pytest.mark.parametrize(("account", "ahead"), [("a", 4), ("b", 3), ("c", 2)])
def test_the_turns_before_a_further_operation_are_counted(turns, account, ahead):
    fill(turns, *"aaab")
    assert turns.count_ahead(account) == ahead


def test_accounts_leave_nothing_once_nobody_waits():
    turns, rng = FairQueue(), random.Random(1)
    for number in range(3000):
        turns.add(f"account {number}", rng.random(), number)
        if number >= 2:
            turns.pop()
    pop_all(turns)
    kept = (turns._by_account, turns._in_order, turns._order, turns._tags, turns._idle)
    assert not any(kept)
