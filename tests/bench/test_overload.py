"""Regression bounds of the experiment `overload`, in short runs."""

import pytest

from beryltrack_bench.deployment import load_deployment
from beryltrack_bench.experiments.overload import (
    compute_mean,
    count_violations,
    describe,
    get_weights,
    run_scenario,
    run_thundering_herd,
)
from beryltrack_bench.overload.load import Offer
from beryltrack_bench.overload.workload import compute_capacity

LECTORA = load_deployment("lectora")
CAPACITY = compute_capacity(LECTORA)


@pytest.fixture(scope="module")
def overloaded():
    return run_scenario(LECTORA, 1, [Offer("a", 5 * CAPACITY)], 0.25)


def test_goodput_holds_at_five_times_the_capacity(overloaded):
    figures = describe(overloaded, CAPACITY)
    assert figures["goodput_of_best"] >= 0.9
    assert figures["late"] == 0
    assert figures["retries_per_request"] <= 0.1
    assert figures["in_use_while_waiting"] >= 0.9


def test_refusals_are_true_and_early_and_connections_within_the_limit(overloaded):
    figures = describe(overloaded, CAPACITY)
    assert figures["refused"] > 1000 and count_violations(overloaded) == 0
    assert figures["refusal_p99_s"] <= 0.01


def test_a_refused_request_that_ran_is_counted(overloaded):
    ran = next(iter(overloaded.site.all_databases[0].ran))
    overloaded.tally.refused_numbers.append(ran)
    assert count_violations(overloaded) == 1
    overloaded.tally.refused_numbers.pop()


def test_connections_move_to_the_two_loaded_proxies():
    offers = [Offer("a", 1.3 * CAPACITY, weights=get_weights(LECTORA, 0.0))]
    result = run_scenario(LECTORA, 1, offers, 0.3)
    assert compute_mean(result.callers.utilization_samples) >= 0.9
    assert count_violations(result) == 0


def test_callers_that_return_after_an_outage_are_served():
    result = run_thundering_herd(LECTORA, 1, CAPACITY, 0.5)
    figures = describe(result, CAPACITY)
    assert figures["goodput_of_best"] >= 0.7
    assert figures["retries_per_request"] <= 0.1
    assert count_violations(result) == 0
