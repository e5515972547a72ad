"""Measures what the control plane costs a node, by numbers of nodes and groups.

Real nodes run in one process, so the cost of a node is that of the process divided
by their number; it includes a share of the stand-in platform's cost.
"""

import gc
import time
from typing import NamedTuple

from twisted.internet.task import deferLater

from beryltrack.peers.messages import GossipItem
from beryltrack_bench.cost.memory import read_resident_bytes
from beryltrack_bench.fleet.figures import Rates, compute_rates, read_traffic
from beryltrack_bench.fleet.fleet import Fleet

CONVERGENCE_TIMEOUT = 40.0
"""Seconds within which all nodes must know each other and all gossip."""

SETTLE_TIME = 4.5
"""Seconds from convergence to the begin of the measurement."""

CHANGES = 5
"""Number of settings changes that are measured."""

CHANGE_TIME = 0.3
"""Seconds for a change to spread before the next one."""

VIEW_KIND = "group"
"""Kind of the gossip items that stand for views of groups."""


class ControlCost(NamedTuple):
    """The cost of the control plane for a node.

    Parameters
    ----------
    nodes : int
        Number of nodes.
    groups : int
        Number of database groups in the settings and in the gossip.
    steady : Rates
        Rates while nothing changes.
    change_cpu : float
        Processor time that one change of a group's settings costs each node,
        seconds, beyond the steady rate.
    change_bytes : float
        Bytes that each node sends for one change, beyond the steady rate.
    memory : float
        Resident memory of a node, bytes.
    """

    nodes: int
    groups: int
    steady: Rates
    change_cpu: float
    change_bytes: float
    memory: float


async def measure_control(
    reactor, nodes: int, groups: int, seed: int = 1, seconds: float = 3.0
) -> ControlCost:
    """Measure a fleet of real nodes in a reactor that runs.

    Parameters
    ----------
    reactor : reactor
        The reactor of all nodes.
    nodes : int
        Number of nodes.
    groups : int
        Number of database groups.
    seed : int
        Seed of all random numbers.
    seconds : float
        Length of the steady window, seconds.

    Returns
    -------
    ControlCost
        The measured cost.

    Raises
    ------
    TimeoutError
        If the nodes did not converge in time.
    """
    gc.collect()
    before = read_resident_bytes()
    fleet = Fleet(reactor, seed)
    await fleet.start(nodes, groups)
    try:
        await _wait_until_converged(reactor, fleet, groups)
        steady = await _measure_steady(reactor, fleet, seconds)
        cpu, sent = await _measure_changes(reactor, fleet, steady)
        gc.collect()
        memory = (read_resident_bytes() - before) / nodes
    finally:
        await fleet.stop()
    return ControlCost(nodes, groups, steady, cpu, sent, round(memory))


async def _wait_until_converged(reactor, fleet: Fleet, groups: int) -> None:
    """Wait until all nodes know each other, the settings and a view of each group."""
    await fleet.wait(fleet.is_joined, CONVERGENCE_TIMEOUT)
    for number in range(groups):
        item = GossipItem(VIEW_KIND, f"group-{number}", (1,), "db-0")
        fleet.nodes[0].peers.publish(item)
    await fleet.wait(lambda: _is_converged(fleet, groups), CONVERGENCE_TIMEOUT)
    await deferLater(reactor, SETTLE_TIME, int)


def _is_converged(fleet: Fleet, groups: int) -> bool:
    """Return whether all gossip stores are equal and all settings have arrived."""
    stores = [node.peers.gossip_store for node in fleet.nodes]
    return len({store.digest for store in stores}) == 1 and all(
        len(node.settings.current.groups) == groups + 1 for node in fleet.nodes
    )


async def _measure_steady(reactor, fleet: Fleet, seconds: float) -> Rates:
    """Return the rates while nothing changes."""
    before = read_traffic(fleet)
    await deferLater(reactor, seconds, int)
    return compute_rates(before, read_traffic(fleet), len(fleet.nodes))


async def _measure_changes(reactor, fleet: Fleet, steady: Rates) -> tuple[float, float]:
    """Return the processor time and bytes that one change costs each node."""
    began, before = time.monotonic(), read_traffic(fleet)
    for number in range(CHANGES):
        await fleet.change_settings(2.0 + number)
        await deferLater(reactor, CHANGE_TIME, int)
    seconds = time.monotonic() - began
    rates = compute_rates(before, read_traffic(fleet), len(fleet.nodes))
    cpu = (rates.cpu_share - steady.cpu_share) * seconds / CHANGES
    sent = (rates.bytes_sent - steady.bytes_sent) * seconds / CHANGES
    return round(cpu, 6), round(sent, 1)
