"""A concurrency limit at the owners keeps urgent requests in time under overload."""

import pytest

from beryltrack_bench.experiments.limits import LIMIT_POLICIES, LOADS, measure

SECONDS = 6.0


@pytest.fixture(scope="module")
def overload():
    return {way: measure(way, "500/s", 1, SECONDS) for way in LIMIT_POLICIES}


def get_in_time(figures, priority):
    return figures["priorities"][priority]["in_time"]


@pytest.mark.parametrize("way", ["fixed", "adaptive"])
def test_the_highest_priority_is_in_time_at_twice_the_capacity(overload, way):
    assert get_in_time(overload[way], 0) > 0.85
    assert get_in_time(overload["no limit"], 0) < 0.5


def test_the_lowest_priority_gets_its_minimum_share(overload):
    # The minimum share is 0.05 of 231 operations a second; 100 a second are offered.
    assert get_in_time(overload["adaptive"], 3) > 0.05


def test_the_database_runs_no_more_than_the_even_shares_under_overload(overload):
    assert overload["adaptive"]["most"] <= 16 < overload["no limit"]["most"]


@pytest.mark.parametrize("way", LIMIT_POLICIES)
def test_all_priorities_are_in_time_below_capacity(way):
    figures = measure(way, "180/s", 1, SECONDS)
    assert min(get_in_time(figures, each) for each in range(4)) > 0.98


@pytest.mark.parametrize("load", LOADS)
def test_each_operation_has_exactly_one_outcome(load):
    for each in measure("adaptive", load, 1, SECONDS)["priorities"]:
        total = each["in_time"] + each["refused"] + each["late"]
        assert total == pytest.approx(1.0, abs=0.002)
