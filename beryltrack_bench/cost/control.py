"""Control-plane cost of a node: gossip with its peers, and probing a group."""

import gc
import time
from collections.abc import Sequence
from statistics import linear_regression
from typing import NamedTuple

from twisted.internet.task import deferLater

from beryltrack.daemon.local_site import LocalProxies
from beryltrack.peers.messages import GossipItem
from beryltrack_bench.cost.memory import read_resident_bytes
from beryltrack_bench.fleet.figures import Rates, compute_rates, read_traffic
from beryltrack_bench.fleet.fleet import Fleet
from beryltrack_standins.site import LocalSite, SiteOptions

# Times in seconds.
JOIN_TIMEOUT = 20.0
SETTLE_TIME = 1.0
FIRST_SETTLE_TIME = 2.2
# Surplus links of a grown fleet are closed after three seconds.
PRUNING_TIME = 3.2
# Up to this fleet size each node keeps links to all others.
MAX_FULL_MESH_NODES = 4
GROUP_KIND = "group"


class ControlCost(NamedTuple):
    """Cost of a node in an idle fleet.

    Parameters
    ----------
    nodes : int
        Nodes in the fleet.
    groups : int
        Number of groups whose views all nodes know.
    rates : Rates
        Traffic of a node and calls of the fleet.
    resident_bytes : float
        Growth of the process's resident memory per node, bytes.
    """

    nodes: int
    groups: int
    rates: Rates
    resident_bytes: float


class Line(NamedTuple):
    """A line fitted to measured points.

    Parameters
    ----------
    at_zero : float
        Its value at zero.
    slope : float
        Its growth per unit.
    """

    at_zero: float
    slope: float


async def measure_fleets(
    reactor, sizes: Sequence[int], groups: int, seed: int, seconds: float
) -> list[ControlCost]:
    """Measure an idle fleet of real nodes at each of its sizes as it grows.

    Parameters
    ----------
    reactor : reactor
        The reactor of all nodes.
    sizes : sequence of int
        Numbers of nodes, ascending.
    groups : int
        Number of group views that are published to all nodes.
    seed : int
        Seed of jitter.
    seconds : float
        Measured time at each size, seconds.

    Returns
    -------
    list of ControlCost
        The cost of a node at each size.
    """
    gc.collect()
    before = read_resident_bytes()
    fleet = Fleet(reactor, seed)
    await fleet.start(sizes[0])
    for number in range(groups):
        view = GossipItem(GROUP_KIND, f"group-{number}", (1,), f"database-{number}")
        fleet.nodes[number % sizes[0]].peers.publish(view)
    costs = []
    for size in sizes:
        while len(fleet.nodes) < size:
            await fleet.add_node()
        await fleet.wait(fleet.is_joined, JOIN_TIMEOUT)
        await deferLater(
            reactor,
            PRUNING_TIME if size > MAX_FULL_MESH_NODES else FIRST_SETTLE_TIME,
            int,
        )
        traffic = read_traffic(fleet)
        await deferLater(reactor, seconds, int)
        rates = compute_rates(traffic, read_traffic(fleet), size)
        gc.collect()
        growth = (read_resident_bytes() - before) / size
        costs.append(ControlCost(size, groups, rates, growth))
    await fleet.stop()
    return costs


async def measure_watch(reactor, proxies: int, seconds: float) -> float:
    """Return the share of a core that idle proxies use for one group.

    It includes the stand-in's side of each proxy's control connections.
    """
    local = LocalProxies(reactor, LocalSite(reactor, SiteOptions()), proxies)
    await local.start()
    await deferLater(reactor, SETTLE_TIME, int)
    began, cpu_began = time.monotonic(), time.process_time()
    await deferLater(reactor, seconds, int)
    elapsed, cpu = time.monotonic() - began, time.process_time() - cpu_began
    await local.stop()
    return cpu / elapsed


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through some points."""
    slope, at_zero = linear_regression(*zip(*points, strict=True))
    return Line(at_zero, slope)
