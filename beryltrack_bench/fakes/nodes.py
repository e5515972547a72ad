"""Nodes on a shared simulated clock that can crash, pause or slow down.

A node is the reactor clock of one instance's tasks. All nodes share one
`task.Clock`, so that a seed reproduces a run exactly. A crashed node's timers
never fire; a paused node's timers fire when it resumes, as in a process that was
stopped. Each timer that fires is reported to an observer, from which the fault
matrix gets the steps of a procedure.
"""

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from zope.interface import implementer

from beryltrack_bench.fakes.clock import OrderedClock


class Step(NamedTuple):
    """An event at which a fault can be injected.

    Parameters
    ----------
    node : str
        Name of the node.
    kind : str
        ``timer``, ``send`` or ``receive``.
    label : str
        Name of the timer's function or of the message.
    """

    node: str
    kind: str
    label: str


Observer = Callable[[Step], None]


def ignore_step(step: Step) -> None:
    """Ignore a step; the default observer."""


def get_label(function: Callable) -> str:
    """Return the name of a timer's function."""
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
        """Advance the clock to `end`, seconds, firing each timer at its time."""
        while (calls := self.clock.calls) and calls[0].getTime() <= end:
            self.clock.advance(max(0.0, calls[0].getTime() - self.clock.seconds()))
        self.clock.advance(max(0.0, end - self.clock.seconds()))

    def run_until_fired(self, answer: Deferred, limit: float) -> bool:
        """Advance the clock until a Deferred fires; return whether it has fired.

        Parameters
        ----------
        answer : Deferred
            The Deferred to wait for.
        limit : float
            Time on the clock at which the wait ends, seconds.
        """
        calls = self.clock.calls
        while not answer.called and calls and calls[0].getTime() <= limit:
            self.clock.advance(max(0.0, calls[0].getTime() - self.clock.seconds()))
            calls = self.clock.calls
        return answer.called


@implementer(IReactorTime)
class Node:
    """One instance: a view of the site's clock that faults can stop.

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
        """Whether the node is paused."""
        return self.seconds() < self.frozen_until

    def seconds(self) -> float:
        """Return the time of the site's clock, seconds."""
        return self.site.clock.seconds()

    def callLater(self, delay: float, function, *args, **kwargs) -> "NodeCall":  # noqa: N802
        """Schedule a function; it runs if the node's process still runs then."""
        step = Step(self.name, "timer", get_label(function))
        return NodeCall(self, delay, lambda: function(*args, **kwargs), step)

    def schedule(self, delay: float, run: Callable[[], object], step: Step | None):
        """Schedule a function that is observed as a step, or unobserved if None."""
        return NodeCall(self, delay, run, step)

    def observe(self, kind: str, label: str) -> None:
        """Report a step that is not a timer to the observer."""
        self.site.observer(Step(self.name, kind, label))

    def getDelayedCalls(self) -> list:  # noqa: N802
        """Return nothing: the site's clock holds the calls of all nodes."""
        return []

    def crash(self, silent: bool = False) -> None:
        """End this incarnation: none of its timers fires any more.

        Parameters
        ----------
        silent : bool
            True if the whole instance is lost, so that its peers get no reset.
        """
        if not self.alive:
            return
        self.alive = False
        self.silent = silent
        self.incarnation += 1
        if not silent:
            self._notify_crash_listeners()

    def restart(self) -> None:
        """Start a new incarnation without timers.

        Peers that still have a connection to the old incarnation get a reset now.
        """
        if self.alive:
            return
        self.alive = True
        self.frozen_until = 0.0
        self._notify_crash_listeners()

    def freeze(self, duration: float) -> None:
        """Pause for a time in seconds, then continue with the state as it was."""
        self.frozen_until = self.seconds() + duration

    def _notify_crash_listeners(self) -> None:
        """Close the connections of the ended incarnation."""
        listeners, self.crash_listeners = list(self.crash_listeners), {}
        for listener in listeners:
            listener()


@implementer(IDelayedCall)
class NodeCall:
    """A timer of a node; it survives a pause of the node but not a crash."""

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
        """Return the time at which it fires, seconds."""
        return self._call.getTime()

    def cancel(self) -> None:
        """Cancel the timer."""
        self._call.cancel()

    def delay(self, seconds: float) -> None:
        """Postpone the timer by some seconds."""
        self._call.delay(seconds)

    def reset(self, seconds: float) -> None:
        """Fire `seconds` from now."""
        self._call.reset(seconds)

    def active(self) -> bool:
        """Return whether the timer is pending."""
        return self._call.active()
