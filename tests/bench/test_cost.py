"""The experiment `cost` on its smallest size: it must give every figure."""

from twisted.internet import reactor

from beryltrack_bench.cost.data_path import Path, make_paths, prepare_table
from beryltrack_bench.cost.memory import measure_idle_memory
from beryltrack_bench.experiments.cost import describe_loop, measure_turns
from beryltrack_standins.database.server import DatabaseOptions
from beryltrack_standins.site import SiteOptions
from tests.local_proxies import run_proxies
from tests.reactor_thread import run


def test_a_loop_through_a_proxy_is_told_beside_one_straight_to_the_target():
    # The clients that go straight to the target are connections of its own.
    options = SiteOptions(database=DatabaseOptions(max_connections=100))
    with run_proxies(1, options) as local:
        run(prepare_table, reactor, local)
        direct, ways = run(make_paths, local)
        text = "SELECT note FROM cost"
        straight = run(measure_turns, reactor, direct, text, 0.1, 1)
        proxied = run(measure_turns, reactor, ways[0], text, 0.1, 1)
        figures = describe_loop(proxied, straight)
        assert figures["statements_per_s"] > 0 and figures["proxy_cpu_us"] > 0
        parameters = {"user": "app", "database": "main"}
        idle = run(measure_idle_memory, reactor, ways[0].endpoint, parameters, 50)
        assert idle >= 0
        assert isinstance(direct, Path)
