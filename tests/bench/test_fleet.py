"""The figures of the fleet experiment, and its checks for violations."""

import pytest

from beryltrack_bench.deployment import load_deployment
from beryltrack_bench.experiments import fleet
from beryltrack_bench.fleet.figures import Traffic, compute_rates, compute_spread
from beryltrack_bench.fleet.scenario import ScenarioResult
from beryltrack_bench.options import Options

QUICK = compute_spread([0.1, 0.2])
RESULT = ScenarioResult(
    1.0,
    compute_rates(Traffic(0, 0, 0, 0, 0, 0), Traffic(2, 1, 800, 400, 40, 3), 4),
    *[QUICK] * 5,
    missed=0,
    reverted=0,
)


def test_rates_are_per_node_but_platform_calls_are_for_the_fleet():
    assert RESULT.steady == (0.125, 100.0, 50.0, 5.0, 1.5)


def test_percentiles_are_measured_values():
    assert compute_spread([n / 100 for n in range(1, 101)]) == (0.5, 0.99, 1.0, 100)
    assert compute_spread([]).count == 0


@pytest.mark.parametrize(
    ("change", "kind"),
    [
        ({"reverted": 1}, "reverted"),
        ({"missed": 3}, "missed"),
        ({"store_up": compute_spread([2.1])}, "late"),
        ({"replacing": compute_spread([2.1])}, "late"),
    ],
)
def test_each_violation_is_found(change, kind):
    assert fleet.find_violations(8, RESULT) == {}
    assert list(fleet.find_violations(8, RESULT._replace(**change))) == [kind]


def test_a_larger_fleet_has_a_longer_limit():
    late = RESULT._replace(store_up=compute_spread([4.9]))
    assert fleet.find_violations(64, late) == {}


def test_more_nodes_than_the_maximum_are_refused():
    with pytest.raises(ValueError, match="from 2 to 64"):
        fleet.run(load_deployment("lectora"), 1, Options(nodes=65))
