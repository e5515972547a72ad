"""What a statement, an idle caller and a node cost, with real sockets.

Client, proxy, stand-ins and platform run in one process on loopback. A proxy's
processor time for a statement is the difference between the same client's
loops through the proxy and straight to the target, run in turns. The figures
are for docs/CAPACITY.md, which works out the fleet from their slopes.
"""

from statistics import median

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from beryltrack.daemon.local_site import GROUP, USER, LocalProxies
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
from beryltrack_bench.cost.memory import measure_idle_memory
from beryltrack_bench.deployment import Deployment
from beryltrack_bench.options import Options
from beryltrack_standins.database.server import DatabaseOptions
from beryltrack_standins.site import LocalSite, SiteOptions

LOOP_SECONDS = 0.6
LOOP_TURNS = 3
CLIENTS = 8
LATENCY_ROUNDS = 200
IDLE_CALLERS = 500
MANY_CONNECTIONS = 100
MICROSECONDS = 1e6


def run(deployment: Deployment, seed: int, options: Options) -> dict:
    """Measure on real sockets and return the figures that are printed.

    Parameters
    ----------
    deployment : Deployment
        Not used: all runs on loopback without delays.
    seed : int
        Not used: real sockets are not repeated by a seed.
    options : Options
        `seconds` is the length of each loop.

    Returns
    -------
    dict
        See docs/CAPACITY.md.
    """
    from twisted.internet import reactor

    outcomes: list = []

    def start() -> None:
        measuring = Deferred.fromCoroutine(measure(reactor, options))
        measuring.addBoth(outcomes.append)
        measuring.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    (outcome,) = outcomes
    if isinstance(outcome, Failure):
        outcome.raiseException()
    return outcome


async def measure(reactor, options: Options) -> dict:
    """Measure all figures in a reactor that runs.

    Parameters
    ----------
    reactor : reactor
        The reactor.
    options : Options
        `seconds` is the length of each loop.

    Returns
    -------
    dict
        The figures.
    """
    database = DatabaseOptions(max_connections=MANY_CONNECTIONS)
    site = LocalSite(reactor, SiteOptions(database=database))
    local = LocalProxies(reactor, site, 1)
    await local.start()
    # Before all else: memory that loops have freed would hide the callers'.
    parameters = {"user": USER, "database": GROUP}
    endpoint = local.proxies[0].endpoint
    idle = await measure_idle_memory(reactor, endpoint, parameters, IDLE_CALLERS)
    await prepare_table(reactor, local)
    figures = await measure_data_path(
        reactor, local, options.seconds or LOOP_SECONDS, LOOP_TURNS
    )
    await local.stop()
    return {"idle_caller_bytes": round(idle), **figures}


async def measure_data_path(
    reactor, local: LocalProxies, seconds: float, turns: int
) -> dict:
    """Measure statements and latency at one proxy."""
    direct, ways = make_paths(local)
    straight = {
        name: await measure_turns(reactor, direct, text, seconds, turns)
        for name, text in (("read", READ), ("write", WRITE))
    }
    proxied = {
        f"read_{way.name}": await measure_turns(reactor, way, READ, seconds, turns)
        for way in ways
    }
    proxied["write"] = await measure_turns(reactor, ways[0], WRITE, seconds, turns)
    latency = await measure_latency(reactor, (direct, *ways), READ, LATENCY_ROUNDS)
    added = {way.name: latency[way.name] - latency[direct.name] for way in ways}
    return {
        "direct": {name: describe_loop(cost) for name, cost in straight.items()},
        "through_proxy": {
            name: describe_loop(cost, straight[name.split("_")[0]])
            for name, cost in proxied.items()
        },
        "added_latency_p50_us": {
            name: round(value * MICROSECONDS) for name, value in added.items()
        },
        "direct_latency_p50_us": round(latency[direct.name] * MICROSECONDS),
    }


async def measure_turns(
    reactor, path: Path, text: str, seconds: float, turns: int
) -> LoopCost:
    """Return the medians over several turns of a loop."""
    costs = [
        await measure_loop(reactor, path, text, CLIENTS, seconds) for _ in range(turns)
    ]
    return LoopCost(*map(median, zip(*costs, strict=True)))


def describe_loop(cost: LoopCost, straight: LoopCost | None = None) -> dict:
    """Return the printed figures of a loop, and of the proxy's part in it."""
    figures = {
        "statements_per_s": round(cost.statements_per_s, 1),
        "cpu_us": round(cost.cpu_per_statement * MICROSECONDS, 1),
    }
    if straight is None:
        return figures
    proxy = cost.cpu_per_statement - straight.cpu_per_statement
    return {
        **figures,
        "proxy_cpu_us": round(proxy * MICROSECONDS, 1),
        "rate_of_direct": round(cost.statements_per_s / straight.statements_per_s, 4),
    }
