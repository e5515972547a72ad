"""Each queueing and rejection mechanism improves results under the load it is for."""

import pytest

from beryltrack.daemon.node_policies import make_policies
from beryltrack.settings.mechanisms import Mechanism
from beryltrack_bench.deployment import load_deployment
from beryltrack_bench.experiments.ablate import (
    LOADS,
    MECHANISMS,
    RunFigures,
    measure,
    summarize,
)

LECTORA = load_deployment("lectora")
SECONDS = 1.5


def run_load(load, *disabled):
    policies = make_policies(True, frozenset(disabled))
    return measure(LECTORA, 1, LOADS[load], policies, SECONDS)


@pytest.fixture(scope="module")
def all_on():
    return run_load("5 times")


def test_almost_no_request_is_late_with_all_mechanisms(all_on):
    # Some 3,500 are served; service times are random and not known in advance.
    assert all_on.late <= 3 and all_on.violations == 0


def test_without_early_refusal_goodput_falls_and_requests_are_late(all_on):
    without = run_load("5 times", Mechanism.EARLY_REFUSAL)
    assert without.late > 0 and without.goodput < all_on.goodput


def test_goodput_falls_in_order_of_arrival(all_on):
    assert run_load("5 times", Mechanism.DEADLINE_ORDER).goodput < all_on.goodput


def test_each_mechanism_of_the_table_can_be_disabled():
    assert set(MECHANISMS) <= set(Mechanism)


def test_runs_are_summarized_with_their_spread():
    runs = [RunFigures(0.5, 0.2, 1, 0.5, 0), RunFigures(0.7, 0.4, 2, 0.3, 0)]
    assert summarize(runs) == {
        "goodput": 0.6,
        "goodput_spread": 0.2,
        "p99_s": 0.3,
        "late": 3,
        "refused": 0.4,
    }
