"""`fleet`: many real nodes on loopback in one process, and their gossip.

Each node is the control plane of a proxy: its settings, its peers and its client
of the platform, over real sockets. The experiment measures the time until a change of
the settings is in force on all nodes (with the store up, down from the acceptance on,
and while nodes are replaced), the time until all nodes know of a crash and of a
graceful leave, the traffic of a node and the calls to the platform.
"""

from beryltrack_bench.deployment import Deployment
from beryltrack_bench.fleet.run import run_in_reactor
from beryltrack_bench.fleet.scenario import FleetScenario, ScenarioResult
from beryltrack_bench.options import Options

MAX_NODES = 64
TARGETS = ((8, 2.0), (64, 5.0))
"""Number of nodes, and the maximum p99 until settings are in force, seconds."""


def run(deployment: Deployment, seed: int, options: Options) -> dict:
    """Run the experiment.

    Parameters
    ----------
    deployment : Deployment
        Its number of proxies is the default number of nodes.
    seed : int
        Seed of all random numbers. Times are those of the machine.
    options : Options
        `nodes`, at most `MAX_NODES`.

    Returns
    -------
    dict
        The figures of `ScenarioResult`, and violations by kind.

    Raises
    ------
    ValueError
        If the number of nodes is out of range.
    """
    nodes = options.nodes or deployment.proxies
    if not 2 <= nodes <= MAX_NODES:
        raise ValueError(f"--nodes must be from 2 to {MAX_NODES}")
    result = run_in_reactor(lambda reactor: FleetScenario(reactor, seed).run(nodes))
    return format_result(nodes, result)


def format_result(nodes: int, result: ScenarioResult) -> dict:
    """Return the figures as the JSON object that is printed."""
    figures = {
        name: value._asdict() if hasattr(value, "_asdict") else value
        for name, value in result._asdict().items()
    }
    return {"nodes": nodes, **figures, "violations": find_violations(nodes, result)}


def find_violations(nodes: int, result: ScenarioResult) -> dict[str, int]:
    """Return the nonzero counts of reverted, missed and late settings."""
    limit = next((limit for size, limit in TARGETS if nodes <= size), 0.0)
    counts = {
        "reverted": result.reverted,
        "missed": result.missed,
        "late": sum(
            spread.p99 > limit for spread in (result.store_up, result.replacing)
        ),
    }
    return {name: count for name, count in counts.items() if count}
