"""The operations that wait for a database, in the order in which they are to run.

Strict priority with a minimum share for each less urgent priority. Within a priority,
operations that can still meet their latency deadlines go first and displaced reads go
after others; then accounts are served round robin.
"""

import math
from heapq import heappop, heappush

from beryltrack.load.counts import AccountCounts
from beryltrack.load.fair_queue import FairQueue
from beryltrack.load.messages import LOWEST_PRIORITY, Demand

PRIORITIES = range(LOWEST_PRIORITY + 1)

LANES = range(4)
"""Lanes of a priority, in the order in which they are served: in time for the latency
deadline, in time but displaced, late, and late and displaced."""

DUE_CREDIT = 1.0 - 1e-9
"""Credit, in starts, with which a priority is next by its minimum share; sums of shares
are not exact."""

URGENT_SHARE_WEIGHT = 1 / 64
"""Weight of one start in the smoothed share of starts that go to operations that are
more urgent than a priority."""

MIN_ASSUMED_SHARE = 0.01
"""Share of the starts that a priority is assumed to get at least; it keeps expected
waits finite where a priority has no minimum share."""


class WaitingOperation:
    """One operation that waits.

    Parameters
    ----------
    number : int
        Its number.
    demand : Demand
        Its demand on arrival.
    now : float
        The time of its arrival, seconds.
    """

    __slots__ = (
        "account",
        "deadline",
        "is_displaced",
        "is_late",
        "latency_deadline",
        "number",
        "priority",
    )

    def __init__(self, number: int, demand: Demand, now: float):
        self.number = number
        self.account = demand.account
        self.latency_deadline = now + demand.latency_left
        self.deadline = now + demand.time_left
        self.is_displaced = demand.is_displaced
        self.is_late = False
        self.priority = max(0, min(demand.priority, LOWEST_PRIORITY))

    @property
    def lane(self) -> int:
        """Its lane within its priority."""
        return 2 * self.is_late + self.is_displaced


class OperationQueue:
    """Operations by priority, lane, round robin of accounts and latency deadline.

    Parameters
    ----------
    min_shares : tuple of float
        Minimum share of the starts that each priority gets while it waits.
    """

    def __init__(self, min_shares: tuple[float, ...]):
        self._min_shares = min_shares
        self._lanes = [[FairQueue() for _ in LANES] for _ in PRIORITIES]
        self._credits = [0.0 for _ in PRIORITIES]
        self._urgent_shares = [0.0 for _ in PRIORITIES]
        self._lengths = [0 for _ in PRIORITIES]
        self._waiting: dict[int, WaitingOperation] = {}
        self._latency_deadlines: list[tuple[float, int]] = []
        self._deadlines: list[tuple[float, int]] = []
        self._account_counts = [AccountCounts() for _ in PRIORITIES]

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, number: int) -> bool:
        return number in self._waiting

    @property
    def next_deadline(self) -> float:
        """The earliest deadline of all operations, seconds; infinite without one."""
        deadlines = self._deadlines
        while deadlines and deadlines[0][1] not in self._waiting:
            heappop(deadlines)
        return deadlines[0][0] if deadlines else math.inf

    def add(self, operation: WaitingOperation) -> None:
        """Add an operation."""
        self._waiting[operation.number] = operation
        self._lengths[operation.priority] += 1
        self._account_counts[operation.priority].add(operation.account)
        self._add_to_lane(operation)
        if not operation.is_late and operation.latency_deadline < math.inf:
            heappush(
                self._latency_deadlines, (operation.latency_deadline, operation.number)
            )
        if operation.deadline < math.inf:
            heappush(self._deadlines, (operation.deadline, operation.number))

    def record_unqueued(self) -> None:
        """Record that an operation started while the queue was empty."""
        self._urgent_shares = [
            each - URGENT_SHARE_WEIGHT * each for each in self._urgent_shares
        ]

    def remove(self, number: int) -> WaitingOperation:
        """Remove an operation, which must be in the queue."""
        operation = self._waiting[number]
        self._get_lane(operation).remove(
            operation.account, operation.latency_deadline, number
        )
        self._count_removed(operation)
        return operation

    def pop(self) -> WaitingOperation:
        """Remove the next operation to run; the queue must not be empty."""
        priority = self._choose_priority()
        number = next(lane for lane in self._lanes[priority] if lane).pop()
        operation = self._waiting[number]
        self._count_removed(operation)
        return operation

    def pop_expired(self, now: float) -> WaitingOperation | None:
        """Remove an operation whose deadline has passed, None if there is none."""
        if self.next_deadline > now:
            return None
        return self.remove(heappop(self._deadlines)[1])

    def move_late(self, done_at: float) -> None:
        """Move operations to the late lanes that would miss their latency deadlines.

        `done_at` is the earliest time at which one can be done, seconds.
        """
        while self._latency_deadlines and self._latency_deadlines[0][0] < done_at:
            operation = self._waiting.get(heappop(self._latency_deadlines)[1])
            if operation is not None:
                number, latency_deadline = operation.number, operation.latency_deadline
                self._get_lane(operation).remove(
                    operation.account, latency_deadline, number
                )
                operation.is_late = True
                self._add_to_lane(operation)

    def pop_victim(self, priority: int, account: str) -> WaitingOperation | None:
        """Evict an operation in favour of one that arrives.

        Returns
        -------
        WaitingOperation or None
            One of the least urgent that wait, of the account that has the most there;
            None unless the new one is more urgent, or as urgent and of an account with
            fewer waiting operations.
        """
        lowest = max(each for each in PRIORITIES if self._lengths[each])
        largest, count = self._account_counts[lowest].get_largest()
        own = self._account_counts[lowest].get(account)
        is_fairer = priority == lowest and own + 1 < count
        if not (priority < lowest or is_fairer):
            return None
        return self._pop_last(lowest, largest)

    def pop_least_urgent(self) -> WaitingOperation:
        """Evict one of the least urgent, of the account that has the most there."""
        lowest = max(each for each in PRIORITIES if self._lengths[each])
        return self._pop_last(lowest, self._account_counts[lowest].get_largest()[0])

    def estimate_position(self, priority: int, ahead: int) -> float:
        """Return how many operations start until one of a priority does, with it.

        Parameters
        ----------
        priority : int
            The priority.
        ahead : int
            Operations of the same priority that go before it.
        """
        pairs = zip(
            self._min_shares[priority + 1 :], self._lengths[priority + 1 :], strict=True
        )
        left = 1.0 - sum([min_share for min_share, length in pairs if length])
        # More urgent operations keep arriving while it waits.
        own_starts = (ahead + 1) / max(
            MIN_ASSUMED_SHARE, 1.0 - self._urgent_shares[priority]
        )
        by_order = (sum(self._lengths[:priority]) + own_starts) / left
        min_share = self._min_shares[priority]
        return min(by_order, (ahead + 1) / min_share) if min_share else by_order

    def count_ahead(self, operation: WaitingOperation) -> int:
        """Return how many of its priority go before an operation that arrives."""
        better = self._lanes[operation.priority][: operation.lane]
        own = self._get_lane(operation).count_ahead(operation.account)
        return sum(map(len, better)) + own

    def count_as_urgent(self, priority: int) -> int:
        """Return how many wait that are as urgent as a priority, or more."""
        return sum(self._lengths[: priority + 1])

    def get_length(self, priority: int) -> int:
        """Return how many operations of a priority wait."""
        return self._lengths[priority]

    def _choose_priority(self) -> int:
        """Return the next priority: the most urgent, unless a minimum share is due."""
        credits, urgent_shares = self._credits, self._urgent_shares
        waiting = [each for each in PRIORITIES if self._lengths[each]]
        for each in waiting:
            credits[each] += self._min_shares[each]
        due = (each for each in waiting if credits[each] >= DUE_CREDIT)
        chosen = next(due, waiting[0])
        credits[chosen] = max(0.0, credits[chosen] - 1.0)
        for each in PRIORITIES:
            urgent_shares[each] += URGENT_SHARE_WEIGHT * (
                (chosen < each) - urgent_shares[each]
            )
        return chosen

    def _pop_last(self, priority: int, account: str) -> WaitingOperation:
        """Remove the last operation of an account in a priority."""
        lanes = reversed(self._lanes[priority])
        numbers = (lane.get_last(account) for lane in lanes)
        return self.remove(next(each for each in numbers if each is not None))

    def _get_lane(self, operation: WaitingOperation) -> FairQueue:
        return self._lanes[operation.priority][operation.lane]

    def _add_to_lane(self, operation: WaitingOperation) -> None:
        lane = self._get_lane(operation)
        lane.add(operation.account, operation.latency_deadline, operation.number)

    def _count_removed(self, operation: WaitingOperation) -> None:
        """Count an operation that has been removed from its lane."""
        del self._waiting[operation.number]
        priority = operation.priority
        self._lengths[priority] -= 1
        self._account_counts[priority].remove(operation.account)
        if not self._lengths[priority]:
            self._credits[priority] = 0.0
