"""One database, its owners' gates and their callers, in simulated time.

The deciders are the product's; there are no sockets, no transactions and no connections
that have to be opened, and who is refused does not come back.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from itertools import count
from typing import NamedTuple

from beryltrack.load.gate import GateDecider
from beryltrack.load.limit import Outcome, SharedCapacity
from beryltrack.load.messages import Demand, GateAction, Run
from beryltrack.load.policy import LoadPolicy

SLOTS = 4
QUEUE = 32
"""Statements that the database lets wait for a slot."""

STATEMENT_TIMES = (0.004, 0.008, 0.04)
"""Seconds that statements of each kind take; 231 a second fill the slots."""

REFUSAL_TIME = 0.002
"""Seconds until a full database says so."""

ACCOUNTS = 20
PRIORITY_WEIGHTS = (2, 3, 3, 2)
"""How many operations have each priority, in proportion."""

TARGET_LATENCIES = (0.15, 0.25, 0.4, 0.6)
DEADLINES = (0.6, 1.0, 2.0, 4.0)
"""Target latency and deadline by priority, seconds."""

TICK = 0.05


class Load(NamedTuple):
    """What callers ask for.

    Parameters
    ----------
    rate : float
        Operations a second.
    owner_weights : tuple of float
        Proportions in which they come to the owners.
    slow_from, slow_until : float
        When the database is slower, seconds.
    slowdown_factor : float
        Factor on the times of its statements then.
    """

    rate: float
    owner_weights: tuple[float, ...] = (1.0, 1.0, 1.0, 1.0)
    slow_from: float = 0.0
    slow_until: float = 0.0
    slowdown_factor: float = 1.0


class OperationCounts:
    """What became of the operations of one priority."""

    def __init__(self):
        self.offered = self.in_time = self.late = self.refused = 0


class _Operation(NamedTuple):
    """One operation on its way."""

    owner: int
    priority: int
    latency_deadline: float


class Site:
    """Owners before one database.

    Parameters
    ----------
    policy : LoadPolicy
        Steers the gates.
    connections : int
        Connections of each owner.
    load : Load
        What callers ask for.
    seed : int
        Of all that is drawn.
    """

    def __init__(self, policy: LoadPolicy, connections: int, load: Load, seed: int):
        self.now = 0.0
        self.max_in_database = 0
        self.served = [OperationCounts() for _ in TARGET_LATENCIES]
        self._load = load
        self._rng = random.Random(seed)
        self._gates = [
            GateDecider(policy, random.Random(f"{seed} {owner}"), 0)
            for owner in range(len(load.owner_weights))
        ]
        for gate in self._gates:
            gate.set_capacity(
                SharedCapacity(SLOTS, len(load.owner_weights), connections), 0.0
            )
        self._numbers = count(1)
        self._operations: dict[int, _Operation] = {}
        self._sent: dict[int, float] = {}
        self._running = 0
        self._queue: deque[int] = deque()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def run(self, seconds: float) -> None:
        """Let callers come for some seconds, and serve all."""
        self._call(0.0, lambda: self._arrive(seconds))
        self._call(0.0, lambda: self._tick(seconds + max(DEADLINES)))
        while self._due:
            self.now, _, callback = heapq.heappop(self._due)
            callback()

    def _call(self, delay: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + delay, next(self._order), callback))

    def _arrive(self, until: float) -> None:
        """Let one operation come, and the next one later."""
        gap = self._rng.expovariate(self._load.rate)
        if self.now + gap < until:
            self._call(gap, lambda: self._arrive(until))
        (owner,) = self._rng.choices(range(len(self._gates)), self._load.owner_weights)
        (priority,) = self._rng.choices(range(len(TARGET_LATENCIES)), PRIORITY_WEIGHTS)
        number, target_latency = next(self._numbers), TARGET_LATENCIES[priority]
        account = str(self._rng.randrange(ACCOUNTS))
        self._operations[number] = _Operation(
            owner, priority, self.now + target_latency
        )
        self.served[priority].offered += 1
        demand = Demand(priority, target_latency, DEADLINES[priority], account)
        self._apply_actions(self._gates[owner].submit(number, demand, self.now))

    def _tick(self, until: float) -> None:
        """Call the gates' timers."""
        for gate in self._gates:
            self._apply_actions(gate.tick(self.now))
        if self.now < until:
            self._call(TICK, lambda: self._tick(until))

    def _apply_actions(self, actions: list[GateAction]) -> None:
        """Carry out what a gate decided."""
        for action in actions:
            if isinstance(action, Run):
                self._send(action.operation)
            else:
                operation = self._operations.pop(action.operation)
                self.served[operation.priority].refused += 1

    def _send(self, number: int) -> None:
        """Send a statement to the database."""
        self._sent[number] = self.now
        if self._running < SLOTS:
            self._start(number)
        elif len(self._queue) < QUEUE:
            self._queue.append(number)
        else:
            self._call(REFUSAL_TIME, lambda: self._end(number, Outcome.FULL))
        self.max_in_database = max(
            self.max_in_database, self._running + len(self._queue)
        )

    def _start(self, number: int) -> None:
        """Run a statement in a slot."""
        self._running += 1
        load = self._load
        is_slow = load.slow_from <= self.now < load.slow_until
        seconds = self._rng.choice(STATEMENT_TIMES) * (
            load.slowdown_factor if is_slow else 1.0
        )
        self._call(seconds, lambda: self._finish(number))

    def _finish(self, number: int) -> None:
        """End a statement, and run the next one that waits at the database."""
        self._running -= 1
        if self._queue:
            self._start(self._queue.popleft())
        self._end(number, Outcome.ANSWERED)

    def _end(self, number: int, outcome: Outcome) -> None:
        """Tell the owner how a statement ended."""
        operation = self._operations.pop(number)
        served = self.served[operation.priority]
        seconds = self.now - self._sent.pop(number)
        if outcome is Outcome.FULL:
            served.refused += 1
        elif self.now <= operation.latency_deadline:
            served.in_time += 1
        else:
            served.late += 1
        gate = self._gates[operation.owner]
        took = seconds if outcome is Outcome.ANSWERED else None
        self._apply_actions(gate.finish(number, took, outcome, self.now))
