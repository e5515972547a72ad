"""The order of what waits for a database."""

import math

import pytest

from beryltrack.load.messages import Demand
from beryltrack.load.policy import LoadPolicy
from beryltrack.load.queue import OperationQueue, WaitingOperation

FLOORS = LoadPolicy().floors


@pytest.fixture
def queue():
    return OperationQueue(FLOORS)


def add(queue, number, priority=0, aim=0.5, account="", is_displaced=False, left=1.0):
    demand = Demand(priority, aim, left, account, is_displaced)
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
def test_a_priority_gets_its_floor_under_a_flood_of_the_most_urgent(queue, priority):
    for number in range(1000):
        add(queue, number)
    for number in range(1000, 1400):
        add(queue, number, priority)
    served = sum(number >= 1000 for number in pop(queue, 400))
    assert 0 <= served - 400 * FLOORS[priority] <= 1


def test_all_floors_hold_together_and_the_most_urgent_has_the_rest(queue):
    for number in range(2000):
        add(queue, number, number % 4)
    served = [number % 4 for number in pop(queue, 400)]
    counts = [served.count(each) for each in range(4)]
    assert counts == pytest.approx([280, 60, 40, 20], abs=2)


def test_an_operation_that_can_be_in_its_aim_goes_before_one_that_cannot(queue):
    add(queue, 1, aim=0.1)
    add(queue, 2, aim=0.5)
    queue.move_late(0.2)
    assert pop(queue, 2) == [2, 1]


def test_reads_that_a_replica_left_go_after_what_only_this_database_can_run(queue):
    for number in range(5):
        add(queue, number, aim=0.2, is_displaced=True)
    add(queue, 5, aim=0.5)
    assert pop(queue, 2) == [5, 0]


def test_a_late_operation_goes_after_displaced_reads_in_time(queue):
    add(queue, 1, aim=0.1)
    add(queue, 2, is_displaced=True)
    queue.move_late(0.2)
    assert pop(queue, 2) == [2, 1]


def test_accounts_take_turns_inside_of_a_priority(queue):
    for number, account in enumerate("aaab"):
        add(queue, number, account=account)
    assert pop(queue, 4) == [0, 3, 1, 2]


def test_a_more_urgent_one_puts_out_the_last_of_the_least_urgent(queue):
    add(queue, 1, 2)
    add(queue, 2, 3, account="calm")
    for number in (3, 4):
        add(queue, number, 3, account="busy")
    assert queue.pop_victim(1, "x").number == 4
    assert len(queue) == 3


def test_nobody_makes_room_for_one_that_is_no_more_urgent(queue):
    add(queue, 1, 2, account="a")
    assert queue.pop_victim(2, "b") is None
    assert queue.pop_victim(3, "b") is None
    assert len(queue) == 1


def test_an_account_with_a_flood_makes_room_for_others_as_urgent(queue):
    for number in range(4):
        add(queue, number, 2, account="busy")
    assert queue.pop_victim(2, "busy") is None
    assert queue.pop_victim(2, "calm").number == 3


def test_the_time_of_an_operation_ends(queue):
    add(queue, 1, left=0.5)
    add(queue, 2, left=0.3)
    add(queue, 3, left=math.inf)
    assert queue.next_deadline == 0.3 and queue.pop_expired(0.2) is None
    assert queue.pop_expired(0.6).number == 2
    queue.remove(1)
    assert queue.next_deadline == math.inf


def test_turns_until_a_priority_starts_follow_from_who_is_before_it(queue):
    for number in range(6):
        add(queue, number, 1)
    assert queue.estimate_position(0, 0) == pytest.approx(1 / 0.85)
    assert queue.estimate_position(1, 6) == 7
    # Its floor serves it sooner than the order does.
    assert queue.estimate_position(2, 0) == 7
    for number in range(6, 20):
        add(queue, number, 1)
    assert queue.estimate_position(2, 0) == 10


def test_what_is_more_urgent_and_goes_on_coming_is_reckoned_with(queue):
    add(queue, 0, 2)
    assert queue.estimate_position(2, 4) == 5
    for number in range(1, 400):
        add(queue, number, 0)
        queue.pop()
    assert queue.estimate_position(2, 4) > 20
