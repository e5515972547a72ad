"""What a node spends on control: on its peers, and on watching a group."""

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

JOIN_TIMEOUT = 20.0
SETTLE_TIME = 1.0
FIRST_SETTLE_TIME = 2.2
# Links that a grown fleet does not want are closed after three seconds.
PRUNING_TIME = 3.2
# In a fleet of this size all nodes want links to all others.
MAX_FULL_MESH_NODES = 4
GROUP_KIND = "group"


class ControlCost(NamedTuple):
    """What a node of a fleet costs while nothing happens.

    Parameters
    ----------
    nodes : int
        Nodes in the fleet.
    groups : int
        Groups whose views all nodes know.
    rates : Rates
        Traffic of a node and calls of the fleet.
    resident_bytes : float
        Growth of the process's memory for each node.
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
        Its growth for each unit.
    """

    at_zero: float
    slope: float


async def measure_fleets(
    reactor, sizes: Sequence[int], groups: int, seed: int, seconds: float
) -> list[ControlCost]:
    """Measure a fleet of real nodes at rest, at each of its sizes as it grows.

    Parameters
    ----------
    reactor : reactor
        The reactor of all nodes.
    sizes : sequence of int
        Numbers of nodes, rising.
    groups : int
        Number of group views that are told to all.
    seed : int
        Of jitter.
    seconds : float
        How long to count at each size.

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
    """Return the share of a core that whole proxies take at rest, with one group.

    The stand-in's side of each proxy's control connections is in it.
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
    """Return the line that fits some points best."""
    slope, at_zero = linear_regression(*zip(*points, strict=True))
    return Line(at_zero, slope)
