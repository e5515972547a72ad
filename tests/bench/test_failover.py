"""Regression bounds of the experiment `failover`, in short runs of a fixed seed."""

from random import Random

import pytest

from beryltrack_bench.deployment import load_deployment
from beryltrack_bench.experiments import failover
from beryltrack_bench.losses.faults import LOSSES, Disturbance
from beryltrack_bench.losses.site import LossOptions, LossSite, Store
from beryltrack_bench.options import Options

# Seconds above the floor, with a small margin over the maximum of long runs.
BOUND_OVER_FLOOR = {"lectora": 0.25, "jinhua": 0.3}


@pytest.mark.parametrize("name", ["lectora", "jinhua"])
def test_every_loss_ends_within_the_bound_without_violations(name):
    deployment = load_deployment(name)._replace(proxies=4)
    figures = failover.run(deployment, 1, Options(runs=1, seconds=3.0))
    assert set(figures["gap"]) == {loss.name for loss in LOSSES}
    longest = max(gap["max"] for gap in figures["gap"].values())
    assert longest <= figures["floor"] + BOUND_OVER_FLOOR[name]
    assert min(gap["samples"] for gap in figures["gap"].values()) >= 2
    for key in ("unserved", "needless_failovers", "lost", "doubled", "violations"):
        assert figures[key] == 0


def test_a_failover_does_not_depend_on_the_store():
    deployment = load_deployment("lectora")._replace(proxies=2)
    gaps = [
        failover.run_loss(
            LossOptions(deployment, 0.3, store), LOSSES[0], Random(7)
        ).gaps
        for store in Store
    ]
    # Calls to the store draw from the links' jitter, which is at most 0.5 ms.
    assert len(gaps[0]) == deployment.proxies
    assert gaps[1] == pytest.approx(gaps[0], abs=0.005)
    assert gaps[2] == pytest.approx(gaps[0], abs=0.005)


def test_a_needless_failover_is_counted():
    deployment = load_deployment("lectora")._replace(proxies=2)
    options = LossOptions(deployment, lost_after=0.06)
    calm = failover.run_without_loss(options, Disturbance(0.4), 8.0, Random(3))
    assert calm.needless > 0
    assert calm.lost == calm.doubled == 0


def test_a_lost_and_a_doubled_write_are_counted():
    deployment = load_deployment("lectora")._replace(proxies=1)
    site = LossSite(LossOptions(deployment, 0.3), Random(1))
    site.run(1.0)
    entries = site.group.primary.log.entries
    entries[2:3] = [entries[4]]
    site.finish()
    assert failover._count_keys(site) == (1, 1)
