"""Ingress admission, and how long requests wait for an available target."""

import math
import random
from itertools import pairwise

import pytest

from beryltrack.load.ingress_admission import (
    MAX_RETRY_AFTER,
    MIN_RETRY_AFTER,
    PROBE_INTERVAL,
    RETRY_SPREAD,
    IngressAdmission,
    compute_retry_after,
    compute_target_wait,
    may_wait_for_target,
)
from beryltrack.load.messages import Demand


class FixedOwnerLoads:
    """Has one fixed wait for each owner."""

    def __init__(self, **waits):
        self.waits = waits

    def get_wait(self, owner, database, priority):
        return self.waits.get(owner, 0.0)


def make_admission(**waits):
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
def test_an_operation_is_refused_if_its_expected_wait_is_too_long(
    wait, time_left, is_refused
):
    admission = make_admission(owner=wait)
    retry_after = admission.decide("owner", "db", Demand(1, 0.25, time_left), 10.0)
    assert (retry_after > 0) is is_refused


def test_another_owner_is_not_affected():
    admission = make_admission(full=3.0)
    demand = Demand(1, 0.25, 0.8)
    assert admission.decide("full", "db", demand, 10.0) > 0
    assert admission.decide("other", "db", demand, 10.0) == 0


def test_a_few_operations_probe_whether_the_owner_has_capacity_again():
    admission = make_admission(owner=3.0)
    demand = Demand(1, 0.25, 0.8)
    times = [10.0 + step / 1000 for step in range(5000)]
    asked = [at for at in times if not admission.decide("owner", "db", demand, at)]
    assert 12 <= len(asked) <= 25
    assert min(after - at for at, after in pairwise(asked)) >= PROBE_INTERVAL


def test_the_first_operation_of_a_later_overload_is_no_probe():
    admission = make_admission(owner=3.0)
    demand = Demand(1, 0.25, 0.8)
    assert admission.decide("owner", "db", demand, 10.0) > 0
    assert admission.decide("owner", "db", demand, 3600.0) > 0


def test_a_due_retry_is_passed_on_to_the_owner():
    admission = make_admission(owner=3.0)
    demand = Demand(1, 0.25, 0.8, is_retry=True)
    assert [admission.decide("owner", "db", demand, 10.0) for _ in range(3)] == [
        0,
        0,
        0,
    ]
    assert admission.decide("owner", "db", demand._replace(is_retry=False), 10.0) > 0


def test_of_many_due_retries_only_some_are_passed_on_to_a_full_owner():
    admission = make_admission(owner=3.0)
    demand = Demand(1, 0.25, 0.8, is_retry=True)
    admission.decide("owner", "db", demand._replace(is_retry=False), 10.0)
    times = [10.0 + step / 1000 for step in range(1000)]
    asked = [at for at in times if not admission.decide("owner", "db", demand, at)]
    # Ten retries a second after the first three, and some probes.
    assert 12 <= len(asked) <= 18


def test_the_more_urgent_get_a_shorter_time_to_retry():
    waits = [compute_retry_after(0.8, each, random.Random(3)) for each in range(5)]
    assert waits == sorted(waits) and waits[0] == waits[3] / 2 and waits[3] == waits[4]


def test_times_to_retry_of_callers_refused_together_are_spread():
    rng = random.Random(3)
    times = sorted(compute_retry_after(0.8, 3, rng) for _ in range(100))
    assert times[0] < 0.84 and times[-1] > 1.16 and len(set(times)) == 100


@pytest.mark.parametrize(
    ("wait", "minimum"), [(0.0, MIN_RETRY_AFTER), (60.0, MAX_RETRY_AFTER), (0.4, 0.4)]
)
def test_the_time_to_retry_is_bounded(wait, minimum):
    retry_after = compute_retry_after(wait, 3, random.Random(3))
    assert minimum <= retry_after <= minimum * RETRY_SPREAD


@pytest.mark.parametrize(
    ("target_latency", "has_group_owners", "expected"),
    [
        (0.2, False, 0.35),
        (0.2, True, 0.1),
        (0.8, True, 0.2),
        (8.0, True, 0.35),
        (math.inf, True, 0.35),
    ],
)
def test_in_a_large_fleet_a_request_waits_for_a_part_of_its_target_latency(
    target_latency, has_group_owners, expected
):
    assert compute_target_wait(0.35, target_latency, has_group_owners) == expected


@pytest.mark.parametrize(
    ("waiting", "has_primary", "has_group_owners", "expected"),
    [
        (0, False, True, True),
        (7, False, True, True),
        (8, False, True, False),
        (8, True, True, True),
        (500, False, False, True),
    ],
)
def test_few_requests_wait_while_the_group_is_known_to_have_no_primary(
    waiting, has_primary, has_group_owners, expected
):
    assert may_wait_for_target(waiting, has_primary, has_group_owners) is expected
