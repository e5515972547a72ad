"""Regression bounds of the steady experiment, in short runs."""

import pytest

from beryltrack_bench.deployment import load_deployment
from beryltrack_bench.experiments.steady import run
from beryltrack_bench.options import Options

SHORT = Options(runs=1, seconds=2.0)


@pytest.mark.parametrize(("name", "min_share"), [("lectora", 0.97), ("jinhua", 0.97)])
def test_replicas_serve_nearly_all_reads_that_they_can(name, min_share):
    figures = run(load_deployment(name), 3, SHORT)
    assert figures["violations"] == 0
    assert figures["refused"] == 0
    assert figures["replica_share"] >= min_share * figures["ceiling"]
    assert figures["replica_share"] > figures["baseline_sticky"]
    assert figures["baseline_primary_only"] == 0.0


def test_seed_gives_the_same_figures_each_time():
    first, second = (
        run(load_deployment("lectora"), 4, Options(runs=1, seconds=0.3))
        for _ in range(2)
    )
    assert first == second
