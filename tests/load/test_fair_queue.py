"""Round robin among accounts."""

import random

import pytest

from beryltrack.load.fair_queue import FairQueue


@pytest.fixture
def queue():
    return FairQueue()


def fill(queue, *accounts):
    """Add one operation after another, numbered from one on."""
    for number, account in enumerate(accounts, 1):
        queue.add(account, float(number), number)


def pop_all(queue):
    return [queue.pop() for _ in range(len(queue))]


def test_an_account_with_a_flood_does_not_delay_others(queue):
    fill(queue, *"aaaab")
    assert pop_all(queue) == [1, 5, 2, 3, 4]


def test_accounts_are_served_round_robin(queue):
    fill(queue, *"aaabbbc")
    assert pop_all(queue) == [1, 4, 7, 2, 5, 3, 6]


def test_the_earliest_latency_deadline_of_an_account_goes_first(queue):
    queue.add("a", 9.0, 1)
    queue.add("a", 3.0, 2)
    queue.add("a", 3.0, 3)
    assert pop_all(queue) == [2, 3, 1]


def test_an_account_that_was_just_served_waits_for_the_others(queue):
    fill(queue, *"aab")
    assert [queue.pop(), queue.pop()] == [1, 3]
    queue.add("b", 9.0, 4)
    queue.add("b", 9.0, 5)
    assert pop_all(queue) == [2, 4, 5]


def test_an_account_that_returns_has_saved_no_turns(queue):
    fill(queue, "a", *"bbbbbb")
    assert [queue.pop() for _ in range(4)] == [1, 2, 3, 4]
    for number in (8, 9, 10):
        queue.add("a", 9.0, number)
    assert pop_all(queue) == [8, 9, 5, 10, 6, 7]


def test_removed_operations_are_not_served(queue):
    fill(queue, *"aab")
    queue.remove("a", 1.0, 1)
    queue.remove("b", 3.0, 3)
    assert pop_all(queue) == [2]


def test_an_account_that_returns_after_removals_is_queued_once(queue):
    fill(queue, *"ab")
    queue.remove("a", 1.0, 1)
    queue.add("a", 5.0, 3)
    queue.add("a", 6.0, 4)
    assert pop_all(queue) == [3, 2, 4]


def test_the_last_operation_of_an_account_is_known(queue):
    fill(queue, *"ab")
    queue.add("a", 0.5, 3)
    assert queue.get_last("a") == 1 and queue.get_last("c") is None


@pytest.mark.parametrize(("account", "ahead"), [("a", 4), ("b", 3), ("c", 2)])
def test_the_operations_ahead_of_a_further_one_are_counted(queue, account, ahead):
    fill(queue, *"aaab")
    assert queue.count_ahead(account) == ahead


def test_an_empty_queue_retains_no_accounts():
    queue, rng = FairQueue(), random.Random(1)
    for number in range(3000):
        queue.add(f"account {number}", rng.random(), number)
        if number >= 2:
            queue.pop()
    pop_all(queue)
    retained = (
        queue._by_account,
        queue._in_order,
        queue._order,
        queue._tags,
        queue._idle,
    )
    assert not any(retained)
