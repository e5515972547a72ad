"""A limit at the owners keeps the most urgent in time under an overload."""

import pytest

from beryltrack_bench.experiments.limits import LIMIT_POLICIES, LOADS, measure

SECONDS = 6.0


@pytest.fixture(scope="module")
def overload():
    return {way: measure(way, "500/s", 1, SECONDS) for way in LIMIT_POLICIES}


def get_in_time(figures, priority):
    return figures["priorities"][priority]["in_time"]


@pytest.mark.parametrize("way", ["fixed", "adaptive"])
def test_the_most_urgent_are_in_time_at_twice_what_the_slots_carry(overload, way):
    assert get_in_time(overload[way], 0) > 0.85
    assert get_in_time(overload["no limit"], 0) < 0.5


def test_the_least_urgent_get_their_floor(overload):
    # 0.05 of 231 turns a second for 100 that ask.
    assert get_in_time(overload["adaptive"], 3) > 0.05


def test_the_database_holds_no_more_than_the_even_parts_under_overload(overload):
    assert overload["adaptive"]["most"] <= 16 < overload["no limit"]["most"]


@pytest.mark.parametrize("way", LIMIT_POLICIES)
def test_all_are_in_time_while_the_slots_carry_them(way):
    figures = measure(way, "180/s", 1, SECONDS)
    assert min(get_in_time(figures, each) for each in range(4)) > 0.98


@pytest.mark.parametrize("load", LOADS)
def test_each_operation_ends_in_one_way(load):
    for each in measure("adaptive", load, 1, SECONDS)["priorities"]:
        total = each["in_time"] + each["refused"] + each["late"]
        assert total == pytest.approx(1.0, abs=0.002)
