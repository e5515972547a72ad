"""The operations that wait for a database, in the order in which they are to run."""

import math
from heapq import heappop, heappush
from itertools import product

from sortedcontainers import SortedSet

from beryltrack.load.messages import LOWEST_PRIORITY, Demand
from beryltrack.load.turns import AccountTurns

PRIORITIES = range(LOWEST_PRIORITY + 1)

LANES = range(4)
"""Lanes of a priority: in time for their aims and not, without and with the reads that
a replica has left."""

DUE = 1.0 - 1e-9
"""Credit of a priority whose turn is due; sums of floors are not exact."""


class Waiting:
    """One operation that waits.

    Parameters
    ----------
    number : int
        Its number.
    demand : Demand
        What it asked for when it came.
    now : float
        When it came, seconds.
    """

    __slots__ = (
        "account",
        "aim",
        "is_displaced",
        "is_late",
        "number",
        "over",
        "priority",
    )

    def __init__(self, number: int, demand: Demand, now: float):
        self.number = number
        self.account = demand.account
        self.aim = now + demand.aim_left
        self.over = now + demand.time_left
        self.is_displaced = demand.is_displaced
        self.is_late = False
        self.priority = max(0, min(demand.priority, LOWEST_PRIORITY))

    @property
    def lane(self) -> int:
        """Its lane inside of its priority."""
        return 2 * self.is_late + self.is_displaced


class OperationQueue:
    """Operations by priority, then lane, then turns among accounts, then aim.

    Parameters
    ----------
    floors : tuple of float
        Least part of the turns that each priority gets while it waits.
    """

    def __init__(self, floors: tuple[float, ...]):
        self._floors = floors
        self._lanes = {key: AccountTurns() for key in product(PRIORITIES, LANES)}
        self._credits = [0.0 for _ in PRIORITIES]
        self._lengths = [0 for _ in PRIORITIES]
        self._waiting: dict[int, Waiting] = {}
        self._aims: list[tuple[float, int]] = []
        self._overs: list[tuple[float, int]] = []
        self._counts: list[dict[str, int]] = [{} for _ in PRIORITIES]
        self._longest = [SortedSet() for _ in PRIORITIES]

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, number: int) -> bool:
        return number in self._waiting

    @property
    def next_over(self) -> float:
        """When the first one's time is over, seconds; infinite if none waits."""
        overs = self._overs
        while overs and overs[0][1] not in self._waiting:
            heappop(overs)
        return overs[0][0] if overs else math.inf

    def add(self, operation: Waiting) -> None:
        """Add an operation."""
        self._waiting[operation.number] = operation
        self._lengths[operation.priority] += 1
        self._count(operation, 1)
        self._put(operation)
        if not operation.is_late and operation.aim < math.inf:
            heappush(self._aims, (operation.aim, operation.number))
        if operation.over < math.inf:
            heappush(self._overs, (operation.over, operation.number))

    def remove(self, number: int) -> Waiting:
        """Take out an operation, which must wait."""
        operation = self._waiting[number]
        self._get_lane(operation).remove(operation.account, operation.aim, number)
        self._forget(operation)
        return operation

    def pop(self) -> Waiting:
        """Take out the operation whose turn it is; one must wait."""
        priority = self._choose_priority()
        lanes = (self._lanes[priority, lane] for lane in LANES)
        number = next(lane for lane in lanes if lane).pop()
        operation = self._waiting[number]
        self._forget(operation)
        return operation

    def pop_over(self, now: float) -> Waiting | None:
        """Take out an operation whose time is over, None if there is none."""
        if self.next_over > now:
            return None
        return self.remove(heappop(self._overs)[1])

    def note_late(self, done_at: float) -> None:
        """Put back what cannot be in its aim if it is done at the time `done_at`."""
        while self._aims and self._aims[0][0] < done_at:
            operation = self._waiting.get(heappop(self._aims)[1])
            if operation is not None:
                number, aim = operation.number, operation.aim
                self._get_lane(operation).remove(operation.account, aim, number)
                operation.is_late = True
                self._put(operation)

    def pop_victim(self, priority: int, account: str) -> Waiting | None:
        """Take out an operation that has to make room for one that comes.

        Returns
        -------
        Waiting or None
            One of the least urgent that wait, of the account that has the most there;
            None unless the new one is more urgent, or as urgent and of an account with
            fewer operations that wait.
        """
        lowest = max(each for each in PRIORITIES if self._lengths[each])
        count, longest = self._longest[lowest][-1]
        own = self._counts[lowest].get(account, 0)
        is_fairer = priority == lowest and own + 1 < count
        if not (priority < lowest or is_fairer):
            return None
        return self._pop_last(lowest, longest)

    def pop_least(self) -> Waiting:
        """Take out one of the least urgent, of the account that has the most there."""
        lowest = max(each for each in PRIORITIES if self._lengths[each])
        return self._pop_last(lowest, self._longest[lowest][-1][1])

    def count_turns(self, priority: int, own: int) -> float:
        """Return how many operations start until one of a priority does.

        Parameters
        ----------
        priority : int
            The priority.
        own : int
            Operations of the same priority that come before it.
        """
        lower = (each for each in PRIORITIES if each > priority and self._lengths[each])
        left = 1.0 - sum(self._floors[each] for each in lower)
        by_order = (sum(self._lengths[:priority]) + own + 1) / left
        floor = self._floors[priority]
        return min(by_order, (own + 1) / floor) if floor else by_order

    def count_own(self, operation: Waiting) -> int:
        """Return how many of its priority come before an operation that comes."""
        better = range(operation.lane)
        before = sum(len(self._lanes[operation.priority, lane]) for lane in better)
        return before + self._get_lane(operation).count_ahead(operation.account)

    def count_until(self, priority: int) -> int:
        """Return how many wait that are as urgent as a priority or more."""
        return sum(self._lengths[: priority + 1])

    def get_length(self, priority: int) -> int:
        """Return how many operations of a priority wait."""
        return self._lengths[priority]

    def _choose_priority(self) -> int:
        """Return whose turn it is: the most urgent, unless a floor is due."""
        waiting = [each for each in PRIORITIES if self._lengths[each]]
        for each in waiting:
            self._credits[each] += self._floors[each]
        due = (each for each in waiting if self._credits[each] >= DUE)
        chosen = next(due, waiting[0])
        self._credits[chosen] = max(0.0, self._credits[chosen] - 1.0)
        return chosen

    def _pop_last(self, priority: int, account: str) -> Waiting:
        """Take out the last operation of an account in a priority."""
        lanes = (self._lanes[priority, lane] for lane in reversed(LANES))
        numbers = (lane.get_last(account) for lane in lanes)
        return self.remove(next(each for each in numbers if each is not None))

    def _get_lane(self, operation: Waiting) -> AccountTurns:
        return self._lanes[operation.priority, operation.lane]

    def _put(self, operation: Waiting) -> None:
        """Put an operation into its lane."""
        lane = self._get_lane(operation)
        lane.add(operation.account, operation.aim, operation.number)

    def _forget(self, operation: Waiting) -> None:
        """Count an operation no more that has left its lane."""
        del self._waiting[operation.number]
        priority = operation.priority
        self._lengths[priority] -= 1
        self._count(operation, -1)
        if not self._lengths[priority]:
            self._credits[priority] = 0.0

    def _count(self, operation: Waiting, change: int) -> None:
        """Count the operations of an account that wait in a priority."""
        account = operation.account
        counts = self._counts[operation.priority]
        longest = self._longest[operation.priority]
        count = counts.pop(account, 0)
        if count:
            longest.remove((count, account))
        if count + change:
            counts[account] = count + change
            longest.add((count + change, account))
