"""The experiment `cost` at its smallest size gives every figure."""

import pytest
from twisted.internet import reactor

from beryltrack_bench.cost.data_path import (
    LoopCost,
    Path,
    make_paths,
    prepare_table,
)
from beryltrack_bench.cost.gates import measure_gate
from beryltrack_bench.cost.memory import measure_idle_memory
from beryltrack_bench.experiments.cost import describe_loop, measure_rounds
from beryltrack_standins.database.server import DatabaseOptions
from beryltrack_standins.site import SiteOptions
from tests.local_proxies import run_proxies
from tests.reactor_thread import run


@pytest.fixture(scope="module")
def paths():
    # Direct clients need connections at the target in addition to the proxy's.
    options = SiteOptions(database=DatabaseOptions(max_connections=100))
    with run_proxies(1, options) as local:
        run(prepare_table, reactor, local)
        yield run(make_paths, local)


def test_a_loop_is_measured_through_a_proxy_and_directly(paths):
    direct, proxied = paths
    assert isinstance(direct, Path)
    text = "SELECT note FROM cost"
    costs = [
        run(measure_rounds, reactor, path, text, 0.1, 1)
        for path in (direct, proxied[0])
    ]
    assert all(cost.statements_per_s > 0 for cost in costs)
    assert all(cost.cpu_per_statement > 0 for cost in costs)


def test_the_proxy_s_cost_is_the_difference_from_the_direct_path():
    figures = describe_loop(LoopCost(500.0, 0.0012), LoopCost(2000.0, 0.0005))
    assert figures == {
        "statements_per_s": 500.0,
        "cpu_us": 1200.0,
        "proxy_cpu_us": 700.0,
        "rate_of_direct": 0.25,
    }


def test_idle_memory_is_the_growth_for_each_connection(paths):
    _, proxied = paths
    readings = iter((1_000_000, 1_400_000))
    parameters = {"user": "app", "database": "main"}
    endpoint = proxied[0].endpoint
    idle = run(
        measure_idle_memory, reactor, endpoint, parameters, 50, readings.__next__
    )
    assert idle == 8_000


def test_a_gate_is_measured_with_one_waiting_operation_of_each_account():
    assert measure_gate(8, operations=100) > 0.0
