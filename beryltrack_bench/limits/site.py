"""One database, its owners' gates and their callers, in simulated time.

The deciders are the product's. There are no sockets, no transactions and no connections
to open, and callers do not retry refused operations.
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
"""Statements that the database runs concurrently."""

QUEUE = 32
"""Maximum number of statements that wait for a slot at the database."""

STATEMENT_TIMES = (0.004, 0.008, 0.04)
"""Seconds per statement of each kind; 231 statements per second fill the slots."""

REFUSAL_TIME = 0.002
"""Seconds until a full database refuses a statement."""

ACCOUNTS = 20
PRIORITY_WEIGHTS = (2, 3, 3, 2)
"""Relative number of operations of each priority."""

TARGET_LATENCIES = (0.15, 0.25, 0.4, 0.6)
DEADLINES = (0.6, 1.0, 2.0, 4.0)
"""Target latency and deadline by priority, seconds."""

TICK = 0.05
"""Interval of the gates' timers, seconds."""


class Load(NamedTuple):
    """The load that callers offer.

    Parameters
    ----------
    rate : float
        Operations per second.
    owner_weights : tuple of float
        Relative share of the operations of each owner.
    slow_from, slow_until : float
        Interval in which the database is slower, seconds.
    slowdown_factor : float
        Factor on its statements' times in this interval.
    """

    rate: float
    owner_weights: tuple[float, ...] = (1.0, 1.0, 1.0, 1.0)
    slow_from: float = 0.0
    slow_until: float = 0.0
    slowdown_factor: float = 1.0


class OperationCounts:
    """Counts of one priority's operations by outcome."""

    def __init__(self):
        self.offered = self.in_time = self.late = self.refused = 0


class _Operation(NamedTuple):
    """An operation in progress, with its time of latest completion (seconds)."""

    owner: int
    priority: int
    latency_deadline: float


class Site:
    """Owners of one database.

    Parameters
    ----------
    policy : LoadPolicy
        Policy of the gates.
    connections : int
        Connections of each owner.
    load : Load
        The load that callers offer.
    seed : int
        Seed of all random numbers.
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
        """Run arrivals for some seconds and serve all operations to their end."""
        self._call(0.0, lambda: self._arrive(seconds))
        self._call(0.0, lambda: self._tick(seconds + max(DEADLINES)))
        while self._due:
            self.now, _, callback = heapq.heappop(self._due)
            callback()

    def _call(self, delay: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + delay, next(self._order), callback))

    def _arrive(self, until: float) -> None:
        """Submit one operation to a gate and schedule the next arrival."""
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
        """Run the gates' timers and schedule the next tick."""
        for gate in self._gates:
            self._apply_actions(gate.tick(self.now))
        if self.now < until:
            self._call(TICK, lambda: self._tick(until))

    def _apply_actions(self, actions: list[GateAction]) -> None:
        """Apply a gate's actions: send or refuse operations."""
        for action in actions:
            if isinstance(action, Run):
                self._send(action.operation)
            else:
                operation = self._operations.pop(action.operation)
                self.served[operation.priority].refused += 1

    def _send(self, number: int) -> None:
        """Send a statement to the database: run, queue or refuse it there."""
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
        """End a statement and start the next one in the database's queue."""
        self._running -= 1
        if self._queue:
            self._start(self._queue.popleft())
        self._end(number, Outcome.ANSWERED)

    def _end(self, number: int, outcome: Outcome) -> None:
        """Count a statement's outcome and report it to the owner's gate."""
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
