"""Load patterns against the deciders: worth by class, and that refusals are true."""

import json
import random

import pytest
from cleo.testers.command_tester import CommandTester

from beryltrack.load.messages import Demand
from beryltrack_bench.deployment import load_deployment
from beryltrack_bench.main import make_application
from beryltrack_bench.replay.figures import (
    ALL_ON,
    BASELINE,
    CASES,
    compute_worth,
    replay,
)
from beryltrack_bench.replay.patterns import (
    DEADLINES,
    PATTERNS,
    TARGET_LATENCIES,
    Operation,
    Sizes,
    draw_operations,
)
from beryltrack_bench.replay.site import OperationOutcome, OperationResult

DEPLOYMENT = load_deployment("lectora")
SECONDS = 3.0


def run_pattern(pattern, way=ALL_ON, seed=1):
    return replay(DEPLOYMENT, Sizes(), PATTERNS[pattern], CASES[way], [seed], SECONDS)


@pytest.mark.parametrize("way", [ALL_ON, BASELINE])
@pytest.mark.parametrize("pattern", PATTERNS)
def test_refusals_are_true_and_no_connection_is_beyond_the_limit(pattern, way):
    figures = run_pattern(pattern, way)
    assert figures.untrue == 0 and figures.over_limit == 0
    offered = sum(share.offered for share in figures.priorities.values())
    operations = draw_operations(
        PATTERNS[pattern], Sizes(), SECONDS, random.Random("1/operations")
    )
    assert offered == len(operations)


def test_at_the_usual_load_nothing_is_refused():
    shares = run_pattern("usual load").priorities.values()
    assert all(share.refused == share.lost == 0.0 for share in shares)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_burst_of_the_lowest_priority_costs_the_others_little(seed):
    pattern = "bursts of the least urgent"
    on, off = run_pattern(pattern, ALL_ON, seed), run_pattern(pattern, BASELINE, seed)
    assert on.priorities[0].worth > 0.95
    for priority in range(3):
        assert on.priorities[priority].worth > off.priorities[priority].worth
    # The minimum share keeps some of the lowest priority served.
    assert on.priorities[3].in_aim > 0.0


@pytest.mark.parametrize("seed", [1, 2])
def test_one_hot_account_costs_the_others_less_than_itself(seed):
    classes = run_pattern("one hot account", ALL_ON, seed).classes
    assert classes["others"].worth > classes["hot"].worth + 0.3


def test_operations_depend_only_on_the_seed():
    pattern = PATTERNS["twice the load"]
    first, again = (
        draw_operations(pattern, Sizes(), 1.0, random.Random(7)) for _ in range(2)
    )
    assert first == again
    assert [each.at for each in first] == sorted(each.at for each in first)


@pytest.mark.parametrize(
    ("end", "took", "worth"),
    [
        (OperationOutcome.DONE, TARGET_LATENCIES[0], 1.0),
        (OperationOutcome.DONE, (TARGET_LATENCIES[0] + DEADLINES[0]) / 2, 0.5),
        (OperationOutcome.DONE, DEADLINES[0] + 1.0, 0.0),
        (OperationOutcome.REFUSED, 0.0, 0.0),
        (OperationOutcome.LOST, 0.0, 0.0),
    ],
)
def test_the_worth_falls_from_the_target_latency_to_the_deadline(end, took, worth):
    operation = Operation(
        1.0, 0, Demand(0, TARGET_LATENCIES[0], DEADLINES[0]), (0.004,)
    )
    assert compute_worth(OperationResult(operation, end, 1.0 + took)) == pytest.approx(
        worth
    )


def run_command(options):
    tester = CommandTester(make_application().find("replay"))
    code = tester.execute(options)
    return code, tester.io.fetch_output()


def test_the_command_prints_tables_and_draws_a_picture(tmp_path):
    picture = tmp_path / "replay.png"
    code, output = run_command(
        "--runs 1 --seconds 1 --pattern 'lost owner' --way 'all on' --instances 8 "
        f"--load '{{\"per_slot\": 2}}' --picture {picture}"
    )
    assert code == 0
    assert "## lost owner" in output and "| as set |" in output
    result = json.loads(output.splitlines()[-1])
    assert set(result["patterns"]["lost owner"]) == {"all on", "as set"}
    assert result["sizes"]["instances"] == 8
    assert picture.stat().st_size > 0


@pytest.mark.parametrize(
    "options",
    [
        "--pattern calm",
        "--way none",
        "--load '{\"per_slot\": 0}'",
        "--owners 3 --instances 2",
        "--slots 0",
        "--connections 2",
    ],
)
def test_invalid_options_are_a_usage_error(options):
    assert run_command(options)[0] == 1


def test_answers_are_lost_without_a_live_owner():
    sizes = Sizes(owners=1)
    pattern = PATTERNS["lost owner"]
    figures = replay(DEPLOYMENT, sizes, pattern, CASES[ALL_ON], [1], SECONDS)
    assert figures.seconds[0].lost == 0.0 and figures.seconds[2].lost == 1.0
