"""The fleet experiment: settings changes, replacements, crashes and leaves of nodes.

It measures how fast the nodes converge after each event, and the idle traffic.
"""

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

CONVERGENCE_TIMEOUT = 30.0
"""Seconds within which all nodes must know each other, or all watches be open."""

EVENT_TIMEOUT = 10.0
"""Seconds after which a node counts as not informed of an event."""

STEADY_SECONDS = 6.0
"""Length of the measurement of idle traffic."""

STEADY_AFTER = 20.0
"""Seconds from the start to the measurement of idle traffic. A node first polls its
settings up to 19 s after its start, before it knows how many nodes share the store;
only after that do its calls show the fleet's rate."""

OUTAGE_SECONDS = 1.0
"""Seconds for which the store stays down after a change has arrived everywhere."""

PAUSE_SECONDS = 0.3
"""Mean pause between two changes."""

CHANGES = 20
"""Settings changes with the store up."""

OUTAGES = 3
"""Settings changes with the store down from the acceptance on."""

REPLACEMENTS = 3
"""Settings changes during a replacement of nodes."""

REPLACED_SHARE = 8
"""One node of so many is replaced at a time."""

EVENTS = 3
"""Crashes, and leaves, that are measured."""

CHECK_PERIOD = 0.01
"""Seconds between two checks of a condition."""


class ScenarioResult(NamedTuple):
    """The measured figures; times in seconds.

    Parameters
    ----------
    start : float
        From the start of the first node until all know each other.
    steady : Rates
        Traffic of an idle fleet.
    store_up : Spread
        From the acceptance of a change until it is in force, on each node.
    store_down : Spread
        The same, with the store down from the acceptance on.
    replacing : Spread
        The same, while some of the nodes are replaced; a new node's time
        begins with its own start.
    death, leaving : Spread
        Until each other node knows of a crash or a leave.
    missed : int
        Number of nodes that an event had not reached within `EVENT_TIMEOUT`.
    reverted : int
        Number of times that an older setting came into force again.
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
    """Runs one fleet through all events and measures their spread.

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
        self._started_at = 0.0

    async def run(self, nodes: int) -> ScenarioResult:
        """Run the scenario with a number of nodes, and stop all of them."""
        began = self._reactor.seconds()
        self._started_at = began
        await self._fleet.start(nodes)
        await self._fleet.wait(self._fleet.is_joined, CONVERGENCE_TIMEOUT)
        start = self._reactor.seconds() - began
        await self._sleep(2 * PAUSE_SECONDS + 2.0)
        try:
            return await self._measure(round(start, 3))
        finally:
            await self._fleet.stop()

    async def _measure(self, start: float) -> ScenarioResult:
        """Run all measurements, one after the other."""
        up = [await self._change(outage=False) for _ in range(CHANGES)]
        elapsed = self._reactor.seconds() - self._started_at
        await self._sleep(max(0.0, STEADY_AFTER - elapsed))
        steady = await self._measure_steady()
        down = [await self._change(outage=True) for _ in range(OUTAGES)]
        replacing = [await self._replace() for _ in range(REPLACEMENTS)]
        deaths = [await self._measure_event(DEAD) for _ in range(EVENTS)]
        leavings = [await self._measure_event(LEAVING) for _ in range(EVENTS)]
        return ScenarioResult(
            start,
            steady,
            *map(_compute_event_spread, (up, down, replacing, deaths, leavings)),
            self._missed,
            self._fleet.reverted,
        )

    async def _measure_steady(self) -> Rates:
        """Return the traffic of the idle fleet."""
        before = read_traffic(self._fleet)
        await self._sleep(STEADY_SECONDS)
        return compute_rates(before, read_traffic(self._fleet), len(self._fleet.nodes))

    async def _change(self, outage: bool) -> list[float]:
        """Change the settings; return each node's time until they are in force."""
        # A change that no node reads before the outage arrives only after it, so
        # the watches must be open again after the last outage.
        await self._fleet.wait(self._has_all_watches, CONVERGENCE_TIMEOUT)
        value = await self._make_change()
        if outage:
            self._fleet.platform.set_fault("down", None)
        conditions = [
            lambda node=node: node.value >= value for node in self._fleet.nodes
        ]
        times = await self._measure_delays(conditions)
        if outage:
            await self._sleep(OUTAGE_SECONDS)
            self._fleet.platform.set_fault("up", None)
        await self._sleep(self._fleet.rng.uniform(0.5, 1.5) * PAUSE_SECONDS)
        return times

    async def _replace(self) -> list[float]:
        """Change the settings while nodes are replaced, half of them by crashes."""
        fleet = self._fleet
        count = max(1, len(fleet.nodes) // REPLACED_SHARE)
        replaced = fleet.rng.sample(fleet.nodes, count)
        value = await self._make_change()
        remaining = [node for node in fleet.nodes if node not in replaced]
        removals = [
            Deferred.fromCoroutine(fleet.remove_node(node, abort=index % 2 == 0))
            for index, node in enumerate(replaced)
        ]
        watching = Deferred.fromCoroutine(
            self._measure_delays(
                [lambda node=node: node.value >= value for node in remaining]
            )
        )
        added = [await fleet.add_node() for _ in range(count)]
        new = await self._measure_delays([lambda n=n: n.value >= value for n in added])
        times = await watching + new
        await gatherResults(removals)
        await fleet.wait(fleet.is_joined, CONVERGENCE_TIMEOUT)
        return times

    async def _measure_event(self, state: str) -> list[float]:
        """Crash a node or let it leave; return the times until each other knows."""
        fleet = self._fleet
        node = fleet.rng.choice(fleet.nodes)
        others = [other for other in fleet.nodes if other is not node]
        conditions = [
            lambda other=other: _sees_state(other, node.name, state) for other in others
        ]
        if state == LEAVING:
            node.service.leave()
            times = await self._measure_delays(conditions)
            await fleet.remove_node(node)
        else:
            removal = Deferred.fromCoroutine(fleet.remove_node(node, abort=True))
            times = await self._measure_delays(conditions)
            await removal
        return times

    def _has_all_watches(self) -> bool:
        """Return whether all watches of the store are open."""
        expected = min(WATCHER_COUNT, len(self._fleet.nodes))
        return self._fleet.platform.watch_count >= expected

    async def _make_change(self) -> float:
        """Change the setting; return its value once the store has accepted it."""
        self._value += 1.0
        return await self._fleet.change_settings(self._value)

    async def _measure_delays(
        self, conditions: list[Callable[[], bool]]
    ) -> list[float]:
        """Return the seconds until each condition held, at most about the time-out."""
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
            await self._sleep(CHECK_PERIOD)
        return times

    def _sleep(self, seconds: float) -> Deferred:
        """Wait for a number of seconds."""
        return deferLater(self._reactor, seconds)


def _sees_state(node, name: str, state: str) -> bool:
    """Return whether a node sees a member in a state."""
    return any(m.name == name and m.state == state for m in node.peers.members)


def _compute_event_spread(times: list[list[float]]) -> Spread:
    """Return the spread of the times of all events and nodes."""
    return compute_spread(time for event in times for time in event)
