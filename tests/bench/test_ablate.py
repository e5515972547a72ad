"""Mechanisms of waiting and rejecting earn their place at the load that they answer."""

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


def play(load, *disabled):
    policies = make_policies(True, frozenset(disabled))
    return measure(LECTORA, 1, LOADS[load], policies, SECONDS)


@pytest.fixture(scope="module")
def all_on():
    return play("5 times")


def test_next_to_nobody_is_served_late_with_all_mechanisms(all_on):
    # Some 3,500 are served; how long a statement takes is drawn and not known before.
    assert all_on.late <= 3 and all_on.violations == 0


def test_without_early_refusals_fewer_are_served_and_some_late(all_on):
    without = play("5 times", Mechanism.EARLY_REFUSAL)
    assert without.late > 0 and without.goodput < all_on.goodput


def test_in_the_order_of_arrival_fewer_are_served_in_time(all_on):
    assert play("5 times", Mechanism.DEADLINE_ORDER).goodput < all_on.goodput


def test_each_mechanism_of_the_table_has_a_switch():
    assert set(MECHANISMS) <= set(Mechanism)


def test_a_case_is_summed_up_with_its_spread():
    runs = [RunFigures(0.5, 0.2, 1, 0.5, 0), RunFigures(0.7, 0.4, 2, 0.3, 0)]
    assert summarize(runs) == {
        "goodput": 0.6,
        "goodput_spread": 0.2,
        "p99_s": 0.3,
        "late": 3,
        "refused": 0.4,
    }
