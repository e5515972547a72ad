"""`cost`: the cost of a statement, an idle caller and a node, with real sockets.

Client, proxy, stand-ins and platform run in one process on loopback. A proxy's
processor time for a statement is the difference between the same client's
loops through the proxy and directly to the target. docs/CAPACITY.md computes the
size of a fleet from the slopes of these figures. The cost of an operation at a gate
is measured without sockets.
"""

from collections.abc import Sequence
from statistics import median

from beryltrack.daemon.local_site import GROUP, USER, LocalProxies
from beryltrack_bench.cost.control import (
    ControlCost,
    fit_line,
    measure_fleets,
    measure_watch,
)
from beryltrack_bench.cost.data_path import (
    READ,
    WRITE,
    LoopCost,
    Path,
    make_paths,
    measure_latency,
    measure_loop,
    prepare_table,
)
from beryltrack_bench.cost.gates import measure_gates
from beryltrack_bench.cost.memory import measure_idle_memory
from beryltrack_bench.deployment import Deployment
from beryltrack_bench.fleet.figures import Rates
from beryltrack_bench.fleet.run import run_in_reactor
from beryltrack_bench.options import Options
from beryltrack_standins.database.server import DatabaseOptions
from beryltrack_standins.site import LocalSite, SiteOptions

# Lengths of measurements in seconds, numbers of clients and nodes.
LOOP_SECONDS = 0.5
LOOP_ROUNDS = 1
CLIENTS = 32
LATENCY_ROUNDS = 40
IDLE_CALLERS = 250
MANY_CONNECTIONS = 100
WATCHING_PROXIES = (1, 3)
WATCH_SECONDS = 0.8
FLEET_SIZES = (4, 8, 16, 32, 64)
FLEET_GROUPS = (30, 400)
# Number of fleet sizes to measure. With more groups the smallest fleet is enough to
# show the difference.
FLEET_SIZES_BY_GROUPS = {30: 5, 400: 1}
FLEET_SECONDS = 1.0
MICROSECONDS = 1e6


def run(deployment: Deployment, seed: int, options: Options) -> dict:
    """Measure on real sockets and return the figures that are printed.

    Parameters
    ----------
    deployment : Deployment
        Not used: all nodes run on loopback without delays.
    seed : int
        Seed of jitter; times are those of the machine.
    options : Options
        `seconds` is the length of each loop, `nodes` the largest fleet.

    Returns
    -------
    dict
        See docs/CAPACITY.md.
    """
    figures = run_in_reactor(lambda reactor: measure(reactor, seed, options))
    return {**figures, "gate_us_by_instances": measure_gates()}


async def measure(reactor, seed: int, options: Options) -> dict:
    """Measure all figures in a running reactor.

    Parameters
    ----------
    reactor : reactor
        The reactor.
    seed : int
        Seed of the nodes' jitter.
    options : Options
        `seconds` is the length of each loop, `nodes` the largest fleet.

    Returns
    -------
    dict
        The figures.
    """
    data_path = await measure_proxy(reactor, options.seconds or LOOP_SECONDS)
    watch = await measure_watching(reactor)
    max_nodes = options.nodes or FLEET_SIZES[-1]
    sizes = [nodes for nodes in FLEET_SIZES if nodes <= max_nodes]
    costs = [
        cost
        for groups in FLEET_GROUPS
        for cost in await measure_fleets(
            reactor, sizes[: FLEET_SIZES_BY_GROUPS[groups]], groups, seed, FLEET_SECONDS
        )
    ]
    return {**data_path, "watch": watch, "control": describe_control(costs)}


async def measure_proxy(reactor, seconds: float) -> dict:
    """Measure one proxy in front of three databases."""
    database = DatabaseOptions(max_connections=MANY_CONNECTIONS)
    site = LocalSite(reactor, SiteOptions(database=database))
    local = LocalProxies(reactor, site, 1)
    await local.start()
    # Measured first: memory that the loops have freed would hide the callers'.
    parameters = {"user": USER, "database": GROUP}
    endpoint = local.proxies[0].endpoint
    idle = await measure_idle_memory(reactor, endpoint, parameters, IDLE_CALLERS)
    await prepare_table(reactor, local)
    figures = await measure_data_path(reactor, local, seconds, LOOP_ROUNDS)
    await local.stop()
    return {"idle_caller_bytes": round(idle), **figures}


async def measure_watching(reactor) -> dict:
    """Measure an idle proxy's CPU for probing one group of three databases."""
    points = [
        (count, await measure_watch(reactor, count, WATCH_SECONDS))
        for count in WATCHING_PROXIES
    ]
    return {
        "process_cpu_share": {str(count): round(cpu, 4) for count, cpu in points},
        "cpu_share_per_proxy": round(fit_line(points).slope, 4),
    }


async def measure_data_path(
    reactor, local: LocalProxies, seconds: float, rounds: int
) -> dict:
    """Measure statements and latency at one proxy."""
    direct, proxy_paths = make_paths(local)
    direct_costs = {
        name: await measure_rounds(reactor, direct, text, seconds, rounds)
        for name, text in (("read", READ), ("write", WRITE))
    }
    proxied = {
        f"read_{path.name}": await measure_rounds(reactor, path, READ, seconds, rounds)
        for path in proxy_paths
    }
    proxied["write"] = await measure_rounds(
        reactor, proxy_paths[0], WRITE, seconds, rounds
    )
    latency = await measure_latency(
        reactor, (direct, *proxy_paths), READ, LATENCY_ROUNDS
    )
    added = {
        path.name: latency[path.name] - latency[direct.name] for path in proxy_paths
    }
    return {
        "direct": {name: describe_loop(cost) for name, cost in direct_costs.items()},
        "through_proxy": {
            name: describe_loop(cost, direct_costs[name.split("_")[0]])
            for name, cost in proxied.items()
        },
        "added_latency_p50_us": {
            name: round(value * MICROSECONDS) for name, value in added.items()
        },
        "direct_latency_p50_us": round(latency[direct.name] * MICROSECONDS),
    }


async def measure_rounds(
    reactor, path: Path, text: str, seconds: float, rounds: int
) -> LoopCost:
    """Return the medians over several rounds of a loop."""
    costs = [
        await measure_loop(reactor, path, text, CLIENTS, seconds) for _ in range(rounds)
    ]
    return LoopCost(*map(median, zip(*costs, strict=True)))


def describe_loop(cost: LoopCost, direct: LoopCost | None = None) -> dict:
    """Return the printed figures of a loop, and the proxy's share of its cost."""
    figures = {
        "statements_per_s": round(cost.statements_per_s, 1),
        "cpu_us": round(cost.cpu_per_statement * MICROSECONDS, 1),
    }
    if direct is None:
        return figures
    proxy = cost.cpu_per_statement - direct.cpu_per_statement
    return {
        **figures,
        "proxy_cpu_us": round(proxy * MICROSECONDS, 1),
        "rate_of_direct": round(cost.statements_per_s / direct.statements_per_s, 4),
    }


def describe_control(costs: Sequence[ControlCost]) -> dict:
    """Return the printed figures of fleets and the lines fitted over their sizes."""
    sizes = [cost for cost in costs if cost.groups == FLEET_GROUPS[0]]
    lines = {
        name: fit_line([(cost.nodes, getattr(cost.rates, name)) for cost in sizes])
        for name in Rates._fields
    }
    return {
        "fleets": [
            {
                "nodes": cost.nodes,
                "groups": cost.groups,
                "resident_bytes_per_node": round(cost.resident_bytes),
                **cost.rates._asdict(),
            }
            for cost in costs
        ],
        "lines_over_nodes": {
            name: {"at_zero": round(line.at_zero, 6), "slope": round(line.slope, 8)}
            for name, line in lines.items()
        },
    }
