"""What is refused in front of an owner, and for how long requests are held."""

import math
import random
from itertools import pairwise

import pytest

from beryltrack.load.ingress_admission import (
    MIN_RETRY_AFTER,
    MAX_RETRY_AFTER,
    PROBE_INTERVAL,
    RETRY_SPREAD,
    IngressAdmission,
    compute_retry_after,
    compute_target_wait,
    may_wait_for_target,
)
from beryltrack.load.messages import Demand


class FixedOwnerLoads:
    """Knows one wait for each owner."""

    def __init__(self, **waits):
        self.waits = waits

    def get_wait(self, owner, database, priority):
        return self.waits.get(owner, 0.0)


def make_decider(**waits):
    return IngressAdmission(FixedOwnerLoads(**waits), random.Random(3))


@pytest.mark.parametrize(
    ("wait", "time_left", "is_refused"),
    [
        (0.0, 0.0, False),
        (0.5, 0.8, False),
        (0.63, 0.8, False),
        (0.65, 0.8, True),
        (5.0, math.inf, False),
        (0.0, -0.1, True),
    ],
)
def test_what_could_not_be_served_in_time_is_refused_at_once(
    wait, time_left, is_refused
):
    decider = make_decider(owner=wait)
    told = decider.decide("owner", "db", Demand(1, 0.25, time_left), 10.0)
    assert (told > 0) is is_refused


def test_another_owner_is_asked_as_before():
    decider = make_decider(full=3.0)
    demand = Demand(1, 0.25, 0.8)
    assert decider.decide("full", "db", demand, 10.0) > 0
    assert decider.decide("other", "db", demand, 10.0) == 0


def test_a_few_find_out_whether_there_is_room_again():
    decider = make_decider(owner=3.0)
    demand = Demand(1, 0.25, 0.8)
    times = [10.0 + step / 1000 for step in range(5000)]
    asked = [at for at in times if not decider.decide("owner", "db", demand, at)]
    assert 12 <= len(asked) <= 25
    assert min(after - at for at, after in pairwise(asked)) >= PROBE_INTERVAL


def test_the_first_of_a_later_overload_does_not_ask():
    decider = make_decider(owner=3.0)
    demand = Demand(1, 0.25, 0.8)
    assert decider.decide("owner", "db", demand, 10.0) > 0
    assert decider.decide("owner", "db", demand, 3600.0) > 0


def test_a_caller_that_returns_when_told_to_is_not_refused_by_it_again():
    decider = make_decider(owner=3.0)
    demand = Demand(1, 0.25, 0.8, is_retry=True)
    assert [decider.decide("owner", "db", demand, 10.0) for _ in range(3)] == [0, 0, 0]
    assert decider.decide("owner", "db", demand._replace(is_retry=False), 10.0) > 0


def test_of_many_callers_that_return_together_only_some_ask_a_full_owner():
    decider = make_decider(owner=3.0)
    demand = Demand(1, 0.25, 0.8, is_retry=True)
    decider.decide("owner", "db", demand._replace(is_retry=False), 10.0)
    times = [10.0 + step / 1000 for step in range(1000)]
    asked = [at for at in times if not decider.decide("owner", "db", demand, at)]
    # Ten returns a second after the first three, and some that find out.
    assert 12 <= len(asked) <= 18


def test_the_urgent_come_back_sooner():
    waits = [compute_retry_after(0.8, each, random.Random(3)) for each in range(5)]
    assert waits == sorted(waits) and waits[0] == waits[3] / 2 and waits[3] == waits[4]


def test_callers_that_are_refused_together_come_back_apart():
    rng = random.Random(3)
    times = sorted(compute_retry_after(0.8, 3, rng) for _ in range(100))
    assert times[0] < 0.84 and times[-1] > 1.16 and len(set(times)) == 100


@pytest.mark.parametrize(
    ("wait", "least"), [(0.0, MIN_RETRY_AFTER), (60.0, MAX_RETRY_AFTER), (0.4, 0.4)]
)
def test_nobody_comes_back_at_once_or_waits_for_ever(wait, least):
    told = compute_retry_after(wait, 3, random.Random(3))
    assert least <= told <= least * RETRY_SPREAD


@pytest.mark.parametrize(
    ("target_latency", "is_crowded", "expected"),
    [
        (0.2, False, 0.35),
        (0.2, True, 0.1),
        (0.8, True, 0.2),
        (8.0, True, 0.35),
        (math.inf, True, 0.35),
    ],
)
def test_a_request_is_held_for_a_part_of_its_target_latency_in_a_large_fleet(
    target_latency, is_crowded, expected
):
    assert compute_target_wait(0.35, target_latency, is_crowded) == expected


@pytest.mark.parametrize(
    ("held", "has_primary", "is_crowded", "expected"),
    [
        (0, False, True, True),
        (7, False, True, True),
        (8, False, True, False),
        (8, True, True, True),
        (500, False, False, True),
    ],
)
def test_only_a_handful_waits_for_a_primary_that_is_known_to_be_missing(
    held, has_primary, is_crowded, expected
):
    assert may_wait_for_target(held, has_primary, is_crowded) is expected
