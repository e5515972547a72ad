"""The random explorer shrinks failing schedules, and finds no violation on its own."""

from beryltrack_bench.deployment import load_deployment
from beryltrack_bench.experiments.explore import run, shrink
from beryltrack_bench.matrix.run import parse_cell
from beryltrack_bench.options import Options


def test_a_schedule_shrinks_to_the_necessary_faults():
    cell = parse_cell("write:crash_proxy@1+lose_primary@2+stop_platform@3")
    shortest = shrink(cell, lambda each: any(s.step == 2 for s in each.strikes))
    assert shortest == parse_cell("write:lose_primary@2")


def test_a_few_random_schedules_have_no_violation():
    figures = run(load_deployment("lectora"), 3, Options(runs=8))
    assert figures["schedules"] == 8
    assert figures["strikes"] >= 16
    assert figures["failed"] == []
