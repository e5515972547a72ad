"""Faults that lose a primary, and disturbances of a group without a loss."""

from random import Random
from typing import NamedTuple, Protocol

from beryltrack_bench.fakes.group import FakeGroup
from beryltrack_bench.fakes.nodes import Node

# Number, interval (seconds) and added delay (seconds) of the steps in which a
# primary slows down before it crashes.
SLOWDOWN_STEPS = 10
SLOWDOWN_STEP_TIME = 0.1
SLOWDOWN_STEP_DELAY = 0.01
# Bounds of a pause, seconds, after which the primary resumes and still acts as
# primary.
MIN_PAUSE = 0.8
MAX_PAUSE = 1.4


class FaultContext(NamedTuple):
    """The group and proxies that a fault acts on.

    Parameters
    ----------
    group : FakeGroup
        The group.
    proxies : tuple of Node
        The proxies of the group.
    rng : Random
        Source of all random choices.
    """

    group: FakeGroup
    proxies: tuple[Node, ...]
    rng: Random


class Loss(Protocol):
    """A fault that loses the primary."""

    name: str
    warning_time: float

    def begin(self, context: FaultContext) -> None:
        """Begin the fault; the loss follows `warning_time` seconds later."""

    def end(self, context: FaultContext, primary: str) -> None:
        """End the fault, so that the old primary comes back."""


class Crash:
    """The primary's process or its whole instance ends."""

    name = "crash"
    warning_time = 0.0

    def begin(self, context: FaultContext) -> None:
        """Crash it; in half of the runs silently, without resets of connections."""
        silent = context.rng.random() < 0.5
        context.group.crash(context.group.primary.name, silent)

    def end(self, context: FaultContext, primary: str) -> None:
        """Restart it with its log."""
        context.group.restart(primary)


class MinorityPartition:
    """The primary is partitioned from its group and still acts as primary."""

    name = "minority partition"
    warning_time = 0.0

    def begin(self, context: FaultContext) -> None:
        """Partition it, in half of the runs together with its zone's proxies."""
        primary = context.group.primary
        context.group.isolate(primary.name)
        if context.rng.random() < 0.5:
            for proxy, database in self._get_cuts(context, primary.name):
                context.group.network.cut_both(proxy, database)

    def end(self, context: FaultContext, primary: str) -> None:
        """Heal all links."""
        context.group.heal(primary)
        for proxy, database in self._get_cuts(context, primary):
            context.group.network.heal(proxy, database)

    def _get_cuts(self, context: FaultContext, primary: str) -> list[tuple[str, str]]:
        """Return the links that a partition of the primary's zone cuts."""
        zone = context.group.databases[primary].node.zone
        return [
            (proxy.name, database)
            for proxy in context.proxies
            for database in context.group.databases
            if (proxy.zone == zone) != (database == primary)
        ]


class Pause:
    """The primary pauses and resumes with its old state."""

    name = "pause and wake"
    warning_time = 0.0

    def begin(self, context: FaultContext) -> None:
        """Pause the primary."""
        duration = context.rng.uniform(MIN_PAUSE, MAX_PAUSE)
        context.group.primary.node.freeze(duration)

    def end(self, context: FaultContext, primary: str) -> None:
        """Do nothing: the primary resumes by itself."""


class SlowdownBeforeCrash:
    """The primary slows down in steps and then crashes silently."""

    name = "slow to death"
    warning_time = SLOWDOWN_STEPS * SLOWDOWN_STEP_TIME

    def begin(self, context: FaultContext) -> None:
        """Schedule the steps and the crash."""
        node = context.group.primary.node
        for step in range(SLOWDOWN_STEPS):
            context.group.databases[node.name].node.schedule(
                step * SLOWDOWN_STEP_TIME, lambda: self._slow_down(node), None
            )
        node.schedule(self.warning_time, lambda: node.crash(silent=True), None)

    def end(self, context: FaultContext, primary: str) -> None:
        """Restart it without the added delay."""
        context.group.databases[primary].node.extra_delay = 0.0
        context.group.restart(primary)

    def _slow_down(self, node: Node) -> None:
        node.extra_delay += SLOWDOWN_STEP_DELAY


LOSSES: tuple[Loss, ...] = (
    Crash(),
    MinorityPartition(),
    Pause(),
    SlowdownBeforeCrash(),
)


class Disturbance(NamedTuple):
    """Faults that do not lose the primary.

    Parameters
    ----------
    max_pause : float
        Maximum pause of the primary, seconds.
    interval : float
        Seconds between two disturbances.
    """

    max_pause: float
    interval: float = 0.6


def disturb(context: FaultContext, disturbance: Disturbance) -> None:
    """Begin one random disturbance that ends by itself.

    Parameters
    ----------
    context : FaultContext
        The group and proxies that it acts on.
    disturbance : Disturbance
        Its strength.
    """
    rng, group = context.rng, context.group
    primary = group.primary.node
    replica = rng.choice([item.node for item in group.primary.peers])
    proxy = rng.choice(context.proxies)
    match rng.randrange(6):
        case 0:
            primary.freeze(rng.uniform(0.0, disturbance.max_pause))
        case 1:
            _cut_for(context, primary, replica, rng.uniform(0.0, 0.5))
        case 2:
            _cut_for(context, proxy, primary, rng.uniform(0.0, 2.0))
        case 3:
            replica.freeze(rng.uniform(0.0, 0.5))
        case 4:
            proxy.freeze(rng.uniform(0.0, 1.0))
        case 5:
            _slow_for(primary, rng.uniform(0.0, 0.02), 0.5)


def _cut_for(context: FaultContext, one: Node, other: Node, seconds: float) -> None:
    """Cut a link in both directions for some seconds."""
    network = context.group.network
    network.cut_both(one.name, other.name)
    clock = one.site.clock
    clock.callLater(seconds, network.heal, one.name, other.name)


def _slow_for(node: Node, delay: float, seconds: float) -> None:
    """Add a delay to a node's messages for some seconds."""

    def end() -> None:
        node.extra_delay = 0.0

    node.extra_delay = delay
    node.site.clock.callLater(seconds, end)
