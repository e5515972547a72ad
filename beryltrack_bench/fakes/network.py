"""Links between nodes: delays, one-way partitions, and calls with an answer.

Messages between two nodes arrive in order, as over TCP. TCP retransmits what a
broken link drops, so a message on a cut link arrives when the link is healed, if
the receiving process still runs. Until then only the sender's own timeout shows
the cut. A crash of a process closes its connections, which the other end sees
at once; a crash of a whole instance is silent.
"""

from collections.abc import Callable
from random import Random
from typing import Protocol

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from beryltrack_bench.fakes.nodes import Node, Step

Link = tuple[str, str]
"""Names of the sending and the receiving node."""


class Pipe(Protocol):
    """One end of a persistent connection."""

    node: Node
    peer: "Pipe"

    def handle_loss(self, reason: Exception) -> None:
        """Handle the loss of the connection."""


class Network:
    """The links of one site.

    Parameters
    ----------
    get_delay : callable
        Returns the one-way delay between two availability zones, seconds.
    rng : Random
        Source of the jitter.
    jitter : float
        Maximum time that a message takes beyond the link's delay, seconds.
    """

    def __init__(
        self, get_delay: Callable[[str, str], float], rng: Random, jitter: float = 0.0
    ):
        self._get_delay = get_delay
        self._rng = rng
        self._jitter = jitter
        self.pipes: dict[Pipe, None] = {}
        self._cuts: set[Link] = set()
        self._delayed: dict[Link, list[Callable[[], None]]] = {}
        self._last_arrival: dict[Link, float] = {}

    def cut(self, source: str, target: str) -> None:
        """Hold all messages from one node to another until the link is healed."""
        self._cuts.add((source, target))

    def cut_both(self, one: str, other: str) -> None:
        """Cut the link between two nodes in both directions."""
        self._cuts |= {(one, other), (other, one)}

    def reset(self, one: str, other: str) -> None:
        """Reset all connections between two nodes; both ends see it at once."""
        for pipe in tuple(self.pipes):
            if {pipe.node.name, pipe.peer.node.name} == {one, other}:
                pipe.handle_loss(ConnectionLost())

    def heal(self, one: str, other: str) -> None:
        """Heal the link between two nodes and deliver the delayed messages."""
        links = ((one, other), (other, one))
        self._cuts.difference_update(links)
        for link in links:
            for deliver in self._delayed.pop(link, ()):
                deliver()

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether the link in this direction is cut."""
        return (source, target) in self._cuts

    def compute_delay(self, source: Node, target: Node) -> float:
        """Return the minimum time of a message, seconds."""
        delay = self._get_delay(source.zone, target.zone)
        return delay + source.extra_delay + target.extra_delay

    def send(
        self, source: Node, target: Node, label: str, run: Callable[[], object]
    ) -> None:
        """Send a message that runs a function when it arrives at another node."""
        source.observe("send", label)
        if source.alive and target.alive:
            self.deliver(source, target, label, run)

    def call(
        self, source: Node, target: Node, label: str, serve: Callable[[], object]
    ) -> Deferred:
        """Send a request to another node and return its answer.

        Parameters
        ----------
        source, target : Node
            The calling and the called node.
        label : str
            Name of the request.
        serve : callable
            Run at the target; returns a value or a Deferred.

        Returns
        -------
        Deferred
            The value, the failure that `serve` raised, or `ConnectionLost` if the
            target refused the connection or its process ended. Does not fire while
            the link is cut or if the target's instance crashed silently.
        """
        call = _Call(self, source, target, label)
        if not target.alive:
            if not target.silent:
                call.fail_connection()
            return call.answer
        target.crash_listeners[call.fail_connection] = None
        self.send(source, target, label, lambda: call.serve(serve))
        return call.answer

    def deliver(
        self, source: Node, target: Node, label: str, run: Callable[[], object]
    ) -> None:
        """Schedule a message's arrival at the target's current incarnation.

        Unlike with `send`, the process of the source may have ended.
        """
        incarnation = target.incarnation
        link = (source.name, target.name)

        def arrive() -> None:
            if target.incarnation != incarnation:
                return
            if link in self._cuts:
                self._delayed.setdefault(link, []).append(plan)
            else:
                run()

        def plan() -> None:
            if target.incarnation == incarnation:
                step = Step(target.name, "receive", label)
                target.schedule(self._plan(source, target), arrive, step)

        plan()

    def _plan(self, source: Node, target: Node) -> float:
        """Return a message's delay in seconds; messages of a link stay in order."""
        link = (source.name, target.name)
        delay = self.compute_delay(source, target)
        arrival = source.seconds() + delay + self._rng.random() * self._jitter
        arrival = max(arrival, self._last_arrival.get(link, 0.0))
        self._last_arrival[link] = arrival
        return arrival - source.seconds()


class _Call:
    """One request and its answer."""

    def __init__(self, network: Network, source: Node, target: Node, label: str):
        self.answer: Deferred = Deferred()
        self._network = network
        self._source = source
        self._target = target
        self._label = label
        self._incarnation = source.incarnation

    def serve(self, serve: Callable[[], object]) -> None:
        """Run the request at the target and send the result back."""
        maybeDeferred(serve).addBoth(self._reply)

    def fail_connection(self) -> None:
        """Report to the caller that the connection is lost."""
        failure = Failure(ConnectionLost(f"{self._target.name} is down"))
        self._network.deliver(
            self._target,
            self._source,
            f"{self._label} lost",
            lambda: self._finish(failure),
        )

    def _reply(self, result: object) -> None:
        """Send the result back."""
        self._network.send(
            self._target,
            self._source,
            f"{self._label} answer",
            lambda: self._finish(result),
        )

    def _finish(self, result: object) -> None:
        """Pass the result to the caller once, if its process is still the same."""
        self._target.crash_listeners.pop(self.fail_connection, None)
        if self._source.incarnation == self._incarnation and not self.answer.called:
            self.answer.callback(result)
