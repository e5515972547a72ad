"""The ways in which a primary is lost, and what troubles a group without a loss."""

from random import Random
from typing import NamedTuple, Protocol

from beryltrack_bench.fakes.group import FakeGroup
from beryltrack_bench.fakes.nodes import Node

# A primary that is slow to death answers later and later for this long.
SLOWDOWN_STEPS = 10
SLOWDOWN_STEP_TIME = 0.1
SLOWDOWN_STEP_DELAY = 0.01
# A paused primary wakes after this time, and then still believes that it leads.
MIN_PAUSE = 0.8
MAX_PAUSE = 1.4


class FaultContext(NamedTuple):
    """What a fault acts on.

    Parameters
    ----------
    group : FakeGroup
        The group.
    proxies : tuple of Node
        The proxies before it.
    rng : Random
        Source of all choices.
    """

    group: FakeGroup
    proxies: tuple[Node, ...]
    rng: Random


class Loss(Protocol):
    """One way to lose a primary."""

    name: str
    warning_time: float

    def begin(self, context: FaultContext) -> None:
        """Begin the fault; the primary is lost `warning_time` seconds later."""

    def end(self, context: FaultContext, primary: str) -> None:
        """Let the old primary come back."""


class Crash:
    """The process or the whole instance ends."""

    name = "crash"
    warning_time = 0.0

    def begin(self, context: FaultContext) -> None:
        """End it; half of the times nobody is told that its connections broke."""
        silent = context.rng.random() < 0.5
        context.group.crash(context.group.primary.name, silent)

    def end(self, context: FaultContext, primary: str) -> None:
        """Start it again with the log that it had."""
        context.group.restart(primary)


class MinorityPartition:
    """The primary is cut off from its group and believes that it leads."""

    name = "minority partition"
    warning_time = 0.0

    def begin(self, context: FaultContext) -> None:
        """Cut it off, half of the times together with the proxies of its zone."""
        primary = context.group.primary
        context.group.isolate(primary.name)
        if context.rng.random() < 0.5:
            for proxy, database in self._get_cuts(context, primary.name):
                context.group.network.cut_both(proxy, database)

    def end(self, context: FaultContext, primary: str) -> None:
        """Mend all links."""
        context.group.heal(primary)
        for proxy, database in self._get_cuts(context, primary):
            context.group.network.heal(proxy, database)

    def _get_cuts(self, context: FaultContext, primary: str) -> list[tuple[str, str]]:
        """Return the links that a cut around the primary's zone breaks."""
        zone = context.group.databases[primary].node.zone
        return [
            (proxy.name, database)
            for proxy in context.proxies
            for database in context.group.databases
            if (proxy.zone == zone) != (database == primary)
        ]


class Pause:
    """The primary pauses long, and wakes as if nothing had been."""

    name = "pause and wake"
    warning_time = 0.0

    def begin(self, context: FaultContext) -> None:
        """Pause it."""
        duration = context.rng.uniform(MIN_PAUSE, MAX_PAUSE)
        context.group.primary.node.freeze(duration)

    def end(self, context: FaultContext, primary: str) -> None:
        """Do nothing; it wakes by itself."""


class SlowdownBeforeCrash:
    """The primary gets slower and slower and then is gone without a word."""

    name = "slow to death"
    warning_time = SLOWDOWN_STEPS * SLOWDOWN_STEP_TIME

    def begin(self, context: FaultContext) -> None:
        """Slow it down step by step."""
        node = context.group.primary.node
        for step in range(SLOWDOWN_STEPS):
            context.group.databases[node.name].node.schedule(
                step * SLOWDOWN_STEP_TIME, lambda: self._slow_down(node), None
            )
        node.schedule(self.warning_time, lambda: node.crash(silent=True), None)

    def end(self, context: FaultContext, primary: str) -> None:
        """Start it again, as fast as before."""
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
    """Trouble that is no loss of the primary.

    Parameters
    ----------
    max_pause : float
        Most seconds for which the primary pauses.
    interval : float
        Seconds between two disturbances.
    """

    max_pause: float
    interval: float = 0.6


def disturb(context: FaultContext, disturbance: Disturbance) -> None:
    """Cause one disturbance that ends by itself.

    Parameters
    ----------
    context : Surroundings
        What it acts on.
    disturbance : Disturbance
        How strong it is.
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
    """Cut a link for a while."""
    network = context.group.network
    network.cut_both(one.name, other.name)
    clock = one.site.clock
    clock.callLater(seconds, network.heal, one.name, other.name)


def _slow_for(node: Node, delay: float, seconds: float) -> None:
    """Make a node slow for a while."""

    def end() -> None:
        node.extra_delay = 0.0

    node.extra_delay = delay
    node.site.clock.callLater(seconds, end)
