"""Stops of nodes in turn in the soak, before databases whose slots are all taken.

Nodes get SIGTERM one after the other, also repeatedly and with SIGHUP in between, while
callers keep their connections open. A node has to answer each statement that it has
read, and to be gone at the end of its grace period.
"""

import random
import signal
from typing import NamedTuple

from twisted.internet.task import deferLater

from beryltrack_bench.soak.site import GRACE, Node, SoakSite

CALLERS = 14
"""Callers of each route; they fill the slots of the databases."""

SLOTS = 3
"""Statements that a database runs at once."""

WORK_FACTORS = 1.0, 30.0, 60.0
"""Factors of the time of a statement, which is drawn from 1 to 12 ms otherwise. With
the last ones the queue of a database takes about a second."""

PAUSE_BETWEEN = 3.0
"""Seconds between two stops, in which the stopped node starts again."""

GONE_PERIOD = 0.02
"""Seconds between two looks whether a process has ended."""


class Stop(NamedTuple):
    """One stop, times in seconds from its SIGTERM.

    Parameters
    ----------
    node : Node
        The node that stops.
    work_factor : float
        Factor of the time of statements at all databases.
    signals : tuple
        Further signals that it gets meanwhile, with their times.
    """

    node: Node
    work_factor: float
    signals: tuple[tuple[float, int], ...]


def draw_stop(site: SoakSite, rng: random.Random) -> Stop:
    """Return a random stop of a node that runs."""
    running = [node for node in site.nodes if site.is_running(node)]
    choices = (signal.SIGTERM, signal.SIGHUP)
    signals = tuple(
        (rng.uniform(0.0, GRACE), rng.choice(choices)) for _ in range(rng.randint(0, 3))
    )
    return Stop(rng.choice(running), rng.choice(WORK_FACTORS), tuple(sorted(signals)))


async def run_stops(
    reactor, site: SoakSite, rng: random.Random, seconds: float
) -> list[str]:
    """Stop one node after the other for some seconds; return what was done."""
    for database in site.databases.values():
        database.set_slots(SLOTS)
    until = reactor.seconds() + seconds
    names = []
    while reactor.seconds() < until:
        stop = draw_stop(site, rng)
        for database in site.databases.values():
            database.work_factor = stop.work_factor
        # Statements that were sent before run with the factor of the last stop.
        await deferLater(reactor, PAUSE_BETWEEN)
        took = await _run_stop(reactor, site, stop)
        signals = [(round(at, 2), number) for at, number in stop.signals]
        names.append(f"{stop.node.name} x{stop.work_factor:g} {signals}: {took:.2f} s")
    for database in site.databases.values():
        database.work_factor = 1.0
    await deferLater(reactor, PAUSE_BETWEEN)
    return names


async def _run_stop(reactor, site: SoakSite, stop: Stop) -> float:
    """Stop a node, wait until its process has ended, and start it again.

    Returns the seconds that it took to end.
    """
    began_at = reactor.seconds()
    site.history.record_stop(stop.node.listen)
    site.signal_node(stop.node, signal.SIGTERM)
    calls = [
        reactor.callLater(at, site.signal_node, stop.node, number)
        for at, number in stop.signals
    ]
    while site.is_running(stop.node):
        await deferLater(reactor, GONE_PERIOD)
        if reactor.seconds() > began_at + GRACE:
            site.signal_node(stop.node, signal.SIGKILL)
            break
    took = reactor.seconds() - began_at
    site.history.record_gone(stop.node.name, took, GRACE)
    for call in calls:
        if call.active():
            call.cancel()
    while site.is_running(stop.node):
        await deferLater(reactor, GONE_PERIOD)
    site.start_node(stop.node)
    return took
