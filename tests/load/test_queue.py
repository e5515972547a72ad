"""The order in which waiting operations run."""

import math

import pytest

from beryltrack.load.messages import Demand
from beryltrack.load.policy import LoadPolicy
from beryltrack.load.queue import OperationQueue, WaitingOperation

MIN_SHARES = LoadPolicy().floors


@pytest.fixture
def queue():
    return OperationQueue(MIN_SHARES)


def add(
    queue, number, priority=0, latency=0.5, account="", is_displaced=False, left=1.0
):
    demand = Demand(priority, latency, left, account, is_displaced)
    queue.add(WaitingOperation(number, demand, 0.0))


def pop(queue, count):
    return [queue.pop().number for _ in range(count)]


def test_the_most_urgent_goes_first(queue):
    for number, priority in enumerate((3, 1, 0, 2)):
        add(queue, number, priority)
    assert pop(queue, 4) == [2, 1, 3, 0]


def test_priorities_beyond_the_bounds_count_as_the_nearest(queue):
    add(queue, 1, 9)
    add(queue, 2, -1)
    assert pop(queue, 2) == [2, 1] and queue.get_length(3) == 0


@pytest.mark.parametrize("priority", [1, 2, 3])
def test_a_priority_gets_its_minimum_share_under_a_flood_of_the_most_urgent(
    queue, priority
):
    for number in range(1000):
        add(queue, number)
    for number in range(1000, 1400):
        add(queue, number, priority)
    served = sum(number >= 1000 for number in pop(queue, 400))
    assert 0 <= served - 400 * MIN_SHARES[priority] <= 1


def test_all_minimum_shares_hold_together_and_the_most_urgent_gets_the_rest(queue):
    for number in range(2000):
        add(queue, number, number % 4)
    served = [number % 4 for number in pop(queue, 400)]
    counts = [served.count(each) for each in range(4)]
    assert counts == pytest.approx([280, 60, 40, 20], abs=2)


def test_an_operation_that_can_meet_its_latency_deadline_goes_first(queue):
    add(queue, 1, latency=0.1)
    add(queue, 2, latency=0.5)
    queue.move_late(0.2)
    assert pop(queue, 2) == [2, 1]


def test_displaced_reads_go_after_operations_that_no_replica_could_run(queue):
    for number in range(5):
        add(queue, number, latency=0.2, is_displaced=True)
    add(queue, 5, latency=0.5)
    assert pop(queue, 2) == [5, 0]


def test_a_late_operation_goes_after_displaced_reads_in_time(queue):
    add(queue, 1, latency=0.1)
    add(queue, 2, is_displaced=True)
    queue.move_late(0.2)
    assert pop(queue, 2) == [2, 1]


def test_accounts_are_served_round_robin_within_a_priority(queue):
    for number, account in enumerate("aaab"):
        add(queue, number, account=account)
    assert pop(queue, 4) == [0, 3, 1, 2]


def test_a_more_urgent_operation_evicts_the_last_of_the_least_urgent(queue):
    add(queue, 1, 2)
    add(queue, 2, 3, account="calm")
    for number in (3, 4):
        add(queue, number, 3, account="busy")
    assert queue.pop_victim(1, "x").number == 4
    assert len(queue) == 3


def test_an_operation_that_is_no_more_urgent_evicts_none(queue):
    add(queue, 1, 2, account="a")
    assert queue.pop_victim(2, "b") is None
    assert queue.pop_victim(3, "b") is None
    assert len(queue) == 1


def test_an_account_with_a_flood_is_evicted_for_others_as_urgent(queue):
    for number in range(4):
        add(queue, number, 2, account="busy")
    assert queue.pop_victim(2, "busy") is None
    assert queue.pop_victim(2, "calm").number == 3


def test_expired_operations_are_removed_in_the_order_of_their_deadlines(queue):
    add(queue, 1, left=0.5)
    add(queue, 2, left=0.3)
    add(queue, 3, left=math.inf)
    assert queue.next_deadline == 0.3 and queue.pop_expired(0.2) is None
    assert queue.pop_expired(0.6).number == 2
    queue.remove(1)
    assert queue.next_deadline == math.inf


def test_the_estimated_position_follows_from_the_operations_ahead(queue):
    for number in range(6):
        add(queue, number, 1)
    assert queue.estimate_position(0, 0) == pytest.approx(1 / 0.85)
    assert queue.estimate_position(1, 6) == 7
    # Its minimum share serves it sooner than the order does.
    assert queue.estimate_position(2, 0) == 7
    for number in range(6, 20):
        add(queue, number, 1)
    assert queue.estimate_position(2, 0) == 10


def test_the_estimated_position_counts_later_more_urgent_operations(queue):
    add(queue, 0, 2)
    assert queue.estimate_position(2, 4) == 5
    for number in range(1, 400):
        add(queue, number, 0)
        queue.pop()
    assert queue.estimate_position(2, 4) > 20
