"""Cost of a gate's decision at an owner, by the number of waiting accounts."""

import random
import time
from collections import deque
from collections.abc import Sequence
from itertools import count

from beryltrack.load.gate import GateDecider
from beryltrack.load.limit import Outcome, SharedCapacity
from beryltrack.load.messages import LOWEST_PRIORITY, Demand, Run
from beryltrack.load.policy import LoadPolicy

SIZES = (8, 74, 195, 520)
"""Instances of the users' fleets, and of the fleet size to design for."""

ACCOUNTS_PER_INSTANCE = 4
"""Accounts that wait at the owner per instance of the fleet (an assumption)."""

STATEMENT_TIME = 0.0001
"""Seconds per statement: short enough that all queued statements end in time."""

CAPACITY = SharedCapacity(slots=3, owners=1, connections=9)
TARGET_LATENCY, DEADLINE = 0.5, 2.0
OPERATIONS = 20_000
WARM_UP = 500
"""Operations from which a gate learns the statements' time."""

ROUNDS = 3


def measure_gates(sizes: Sequence[int] = SIZES) -> dict[str, float]:
    """Return an operation's processor time in microseconds, by instances."""
    return {str(size): round(measure_gate(size) * 1e6, 2) for size in sizes}


def measure_gate(instances: int, operations: int = OPERATIONS) -> float:
    """Return the processor time of an arrival and an end, in seconds.

    One operation of each account waits all the time. The result is the minimum over
    `ROUNDS`.
    """
    return min(_measure_round(instances, operations) for _ in range(ROUNDS))


def _measure_round(instances: int, operations: int) -> float:
    """Return the mean time of an arrival and an end in one round, seconds."""
    gate = GateDecider(LoadPolicy(), random.Random(1), 1)
    gate.set_capacity(CAPACITY, 0.0)
    waiting = instances * ACCOUNTS_PER_INSTANCE
    demands = [_make_demand(number) for number in range(waiting)]
    numbers, running = count(), deque()
    for number in (next(numbers) for _ in range(WARM_UP)):
        gate.submit(number, demands[0], 0.0)
        gate.finish(number, STATEMENT_TIME, Outcome.ANSWERED, 0.0)
    for number in (next(numbers) for _ in range(gate.limit + waiting)):
        _append_running(running, gate.submit(number, demands[number % waiting], 0.0))
    began, now = time.process_time(), 0.0
    for _ in range(operations):
        now += STATEMENT_TIME / gate.limit
        number = next(numbers)
        _append_running(running, gate.submit(number, demands[number % waiting], now))
        ended = running.popleft()
        actions = gate.finish(ended, STATEMENT_TIME, Outcome.ANSWERED, now)
        _append_running(running, actions)
    taken = time.process_time() - began
    if gate.waiting != waiting:
        raise RuntimeError(f"{gate.waiting} of {waiting} operations wait")
    return taken / operations


def _make_demand(number: int) -> Demand:
    """Return the demand of one account's operations."""
    priority = number % (LOWEST_PRIORITY + 1)
    return Demand(priority, TARGET_LATENCY, DEADLINE, f"account-{number}")


def _append_running(running: deque, actions: list) -> None:
    """Append the operations that the gate admitted."""
    running.extend(each.operation for each in actions if isinstance(each, Run))
