"""The course of the fleet experiment: changes, replacements, deaths, leavings."""

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater

from beryltrack.peers.messages import DEAD, LEAVING
from beryltrack.peers.placement import WATCHER_COUNT
from beryltrack_bench.fleet.figures import (
    Rates,
    Spread,
    compute_rates,
    compute_spread,
    read_traffic,
)
from beryltrack_bench.fleet.fleet import Fleet

SETTLE_TIMEOUT = 30.0
EVENT_TIMEOUT = 10.0
STEADY_SECONDS = 6.0
# The first poll of a node's settings comes up to 19 s after its start, before it
# knows how many share the store; only then do its calls show the fleet's rate.
STEADY_AFTER = 20.0
OUTAGE_SECONDS = 1.0
REST_SECONDS = 0.3
CHANGES = 20
OUTAGES = 3
REPLACEMENTS = 3
REPLACED_SHARE = 8
EVENTS = 3
LOOK_PERIOD = 0.01


class ScenarioResult(NamedTuple):
    """What the course measured; times in seconds.

    Parameters
    ----------
    start : float
        From the start of the first node until all know of each other.
    steady : Rates
        Traffic while nothing happens.
    store_up : Spread
        From the acceptance of a change until it is in force, on each node.
    store_down : Spread
        The same, with the store down from the acceptance on.
    replacing : Spread
        The same, while a part of the nodes is replaced; a new node's time
        begins with its own start.
    death, leaving : Spread
        Until each other node knows of a death or a leaving.
    missed : int
        Times that something was not known to a node within `EVENT_TIMEOUT`.
    reverted : int
        Times that an older setting came into force again.
    """

    start: float
    steady: Rates
    store_up: Spread
    store_down: Spread
    replacing: Spread
    death: Spread
    leaving: Spread
    missed: int
    reverted: int


class FleetScenario:
    """Runs one fleet through all that is measured.

    Parameters
    ----------
    reactor : reactor
        The reactor of all nodes.
    seed : int
        Seed of all random numbers.
    """

    def __init__(self, reactor, seed: int):
        self._reactor = reactor
        self._fleet = Fleet(reactor, seed)
        self._value = 1.0
        self._missed = 0
        self._began = 0.0

    async def run(self, nodes: int) -> ScenarioResult:
        """Run the course with a number of nodes and stop everything."""
        began = self._reactor.seconds()
        self._began = began
        await self._fleet.start(nodes)
        await self._fleet.wait(self._fleet.is_joined, SETTLE_TIMEOUT)
        start = self._reactor.seconds() - began
        await self._sleep(2 * REST_SECONDS + 2.0)
        try:
            return await self._measure(round(start, 3))
        finally:
            await self._fleet.stop()

    async def _measure(self, start: float) -> ScenarioResult:
        """Measure everything, one after the other."""
        up = [await self._change(outage=False) for _ in range(CHANGES)]
        elapsed = self._reactor.seconds() - self._began
        await self._sleep(max(0.0, STEADY_AFTER - elapsed))
        steady = await self._measure_steady()
        down = [await self._change(outage=True) for _ in range(OUTAGES)]
        replacing = [await self._replace() for _ in range(REPLACEMENTS)]
        deaths = [await self._watch_event(DEAD) for _ in range(EVENTS)]
        leavings = [await self._watch_event(LEAVING) for _ in range(EVENTS)]
        return ScenarioResult(
            start,
            steady,
            *map(_spread, (up, down, replacing, deaths, leavings)),
            self._missed,
            self._fleet.reverted,
        )

    async def _measure_steady(self) -> Rates:
        """Return the traffic while nothing happens."""
        before = read_traffic(self._fleet)
        await self._sleep(STEADY_SECONDS)
        return compute_rates(before, read_traffic(self._fleet), len(self._fleet.nodes))

    async def _change(self, outage: bool) -> list[float]:
        """Change the settings; return each node's time until they are in force."""
        # A change that no proxy could read before the outage has to wait for its
        # end, so the watches have to be back after the last one.
        await self._fleet.wait(self._is_watched, SETTLE_TIMEOUT)
        value = await self._accept_change()
        if outage:
            self._fleet.platform.set_fault("down", None)
        conditions = [
            lambda node=node: node.value >= value for node in self._fleet.nodes
        ]
        times = await self._watch(conditions)
        if outage:
            await self._sleep(OUTAGE_SECONDS)
            self._fleet.platform.set_fault("up", None)
        await self._sleep(self._fleet.rng.uniform(0.5, 1.5) * REST_SECONDS)
        return times

    async def _replace(self) -> list[float]:
        """Change the settings while nodes are replaced, half of them by crashes."""
        fleet = self._fleet
        count = max(1, len(fleet.nodes) // REPLACED_SHARE)
        gone = fleet.rng.sample(fleet.nodes, count)
        value = await self._accept_change()
        kept = [node for node in fleet.nodes if node not in gone]
        removals = [
            Deferred.fromCoroutine(fleet.remove_node(node, abort=index % 2 == 0))
            for index, node in enumerate(gone)
        ]
        watching = Deferred.fromCoroutine(
            self._watch([lambda node=node: node.value >= value for node in kept])
        )
        added = [await fleet.add_node() for _ in range(count)]
        new = await self._watch([lambda n=n: n.value >= value for n in added])
        times = await watching + new
        await gatherResults(removals)
        await fleet.wait(fleet.is_joined, SETTLE_TIMEOUT)
        return times

    async def _watch_event(self, state: str) -> list[float]:
        """Kill a node or let it leave; return when each other node knows it."""
        fleet = self._fleet
        node = fleet.rng.choice(fleet.nodes)
        others = [other for other in fleet.nodes if other is not node]
        conditions = [
            lambda other=other: _sees(other, node.name, state) for other in others
        ]
        if state == LEAVING:
            node.service.leave()
            times = await self._watch(conditions)
            await fleet.remove_node(node)
        else:
            removal = Deferred.fromCoroutine(fleet.remove_node(node, abort=True))
            times = await self._watch(conditions)
            await removal
        return times

    def _is_watched(self) -> bool:
        """Return whether all watchers watch the store."""
        wanted = min(WATCHER_COUNT, len(self._fleet.nodes))
        return self._fleet.platform.watch_count >= wanted

    async def _accept_change(self) -> float:
        """Make one change and return its value once the store accepted it."""
        self._value += 1.0
        return await self._fleet.change_settings(self._value)

    async def _watch(self, conditions: list[Callable[[], bool]]) -> list[float]:
        """Return how long each condition took to hold."""
        began = self._reactor.seconds()
        waiting, times = conditions, []
        while waiting:
            elapsed = self._reactor.seconds() - began
            held = [condition for condition in waiting if condition()]
            waiting = [condition for condition in waiting if condition not in held]
            times += [elapsed] * len(held)
            if elapsed > EVENT_TIMEOUT:
                self._missed += len(waiting)
                return times + [elapsed] * len(waiting)
            await self._sleep(LOOK_PERIOD)
        return times

    def _sleep(self, seconds: float) -> Deferred:
        """Let time pass."""
        return deferLater(self._reactor, seconds)


def _sees(node, name: str, state: str) -> bool:
    """Return whether a node sees a member in a state."""
    return any(m.name == name and m.state == state for m in node.peers.members)


def _spread(times: list[list[float]]) -> Spread:
    """Return the spread over all events and nodes."""
    return compute_spread(time for event in times for time in event)
