"""Nodes under a shared clock, each of which can crash, freeze or run slow.

A node is the clock that one instance's tasks see. All nodes share one
`task.Clock`, so that a run is repeated exactly by its seed, but each node's
timers stop with it: a crashed node's timers never fire, a frozen node's fire
when it wakes, as in a process that was paused. Each timer that fires is told
to an observer, which is how the fault matrix finds the steps of a procedure.
"""

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from zope.interface import implementer

from beryltrack_bench.fakes.clock import OrderedClock


class Step(NamedTuple):
    """One thing that happened at a seam, where a fault can strike.

    Parameters
    ----------
    node : str
        Where it happened.
    kind : str
        ``timer``, ``send`` or ``receive``.
    label : str
        What it was: a function or a message.
    """

    node: str
    kind: str
    label: str


Observer = Callable[[Step], None]


def ignore_step(step: Step) -> None:
    """Observe nothing."""


def get_label(function: Callable) -> str:
    """Return a name for a function that a timer calls."""
    return getattr(function, "__qualname__", type(function).__name__)


class Site:
    """The clock, the observer and the nodes of one run."""

    def __init__(self, observer: Observer = ignore_step):
        self.clock = OrderedClock()
        self.observer = observer
        self.nodes: dict[str, Node] = {}

    def add_node(self, name: str, zone: str) -> "Node":
        """Add a node to the site and return it."""
        node = Node(self, name, zone)
        self.nodes[name] = node
        return node

    def run_until(self, end: float) -> None:
        """Let the time pass until `end`, seconds, firing each timer at its time."""
        while (calls := self.clock.calls) and calls[0].getTime() <= end:
            self.clock.advance(max(0.0, calls[0].getTime() - self.clock.seconds()))
        self.clock.advance(max(0.0, end - self.clock.seconds()))

    def run_until_fired(self, answer: Deferred, limit: float) -> bool:
        """Let the time pass until a Deferred has fired; return whether it has.

        Parameters
        ----------
        answer : Deferred
            What is waited for.
        limit : float
            The time at which the wait ends in any case, seconds.
        """
        calls = self.clock.calls
        while not answer.called and calls and calls[0].getTime() <= limit:
            self.clock.advance(max(0.0, calls[0].getTime() - self.clock.seconds()))
            calls = self.clock.calls
        return answer.called


@implementer(IReactorTime)
class Node:
    """One instance: a view onto the site's clock that faults can stop.

    Parameters
    ----------
    site : Site
        The site that it belongs to.
    name : str
        Its name.
    zone : str
        Its availability zone.
    """

    def __init__(self, site: Site, name: str, zone: str):
        self.site = site
        self.name = name
        self.zone = zone
        self.alive = True
        self.incarnation = 1
        self.frozen_until = 0.0
        self.extra_delay = 0.0
        self.silent = False
        self.crash_listeners: dict[Callable[[], None], None] = {}

    @property
    def frozen(self) -> bool:
        """True while the node is paused."""
        return self.seconds() < self.frozen_until

    def seconds(self) -> float:
        """Return the time of the site's clock, seconds."""
        return self.site.clock.seconds()

    def callLater(self, delay: float, function, *args, **kwargs) -> "NodeCall":  # noqa: N802
        """Run a function later, if the node still lives then."""
        step = Step(self.name, "timer", get_label(function))
        return NodeCall(self, delay, lambda: function(*args, **kwargs), step)

    def schedule(self, delay: float, run: Callable[[], object], step: Step | None):
        """Run a function later as a step of its own, or unobserved if None."""
        return NodeCall(self, delay, run, step)

    def observe(self, kind: str, label: str) -> None:
        """Tell the observer of something that is not a timer."""
        self.site.observer(Step(self.name, kind, label))

    def getDelayedCalls(self) -> list:  # noqa: N802
        """Return nothing: the site's clock holds the calls of all nodes."""
        return []

    def crash(self, silent: bool = False) -> None:
        """Stop for good: no timer of this incarnation fires any more.

        Parameters
        ----------
        silent : bool
            True if the whole instance is gone, so that nobody is told.
        """
        if not self.alive:
            return
        self.alive = False
        self.silent = silent
        self.incarnation += 1
        if not silent:
            self._notify_crash_listeners()

    def restart(self) -> None:
        """Live again, as a new incarnation without timers.

        Whoever still believes in a connection to the old one is told now.
        """
        if self.alive:
            return
        self.alive = True
        self.frozen_until = 0.0
        self._notify_crash_listeners()

    def freeze(self, duration: float) -> None:
        """Pause for a time (seconds), then run on as if nothing had been."""
        self.frozen_until = self.seconds() + duration

    def _notify_crash_listeners(self) -> None:
        """Break the connections of the incarnation that has ended."""
        listeners, self.crash_listeners = list(self.crash_listeners), {}
        for listener in listeners:
            listener()


@implementer(IDelayedCall)
class NodeCall:
    """A timer of a node; it outlasts a pause of the node and not its crash."""

    def __init__(self, node: Node, delay: float, run: Callable, step: Step | None):
        self._node = node
        self._incarnation = node.incarnation
        self._run = run
        self._step = step
        self._call = node.site.clock.callLater(max(0.0, delay), self._fire)

    def _fire(self) -> None:
        """Run the function, unless the node is down or paused."""
        node = self._node
        if node.incarnation == self._incarnation and self._step is not None:
            step, self._step = self._step, None
            node.site.observer(step)
        if node.incarnation != self._incarnation:
            return
        if node.frozen:
            wait = node.frozen_until - node.seconds()
            self._call = node.site.clock.callLater(wait, self._fire)
            return
        self._run()

    def getTime(self) -> float:  # noqa: N802
        """Return when it fires, seconds."""
        return self._call.getTime()

    def cancel(self) -> None:
        """Do not fire."""
        self._call.cancel()

    def delay(self, seconds: float) -> None:
        """Fire later than said by some seconds."""
        self._call.delay(seconds)

    def reset(self, seconds: float) -> None:
        """Fire in `seconds` from now."""
        self._call.reset(seconds)

    def active(self) -> bool:
        """Return whether it is still to fire."""
        return self._call.active()
