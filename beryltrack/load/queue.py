"""The operations that wait for a database, in the order in which they are to run."""

import math
from heapq import heappop, heappush

from beryltrack.load.counts import AccountCounts
from beryltrack.load.fair_queue import FairQueue
from beryltrack.load.messages import LOWEST_PRIORITY, Demand

PRIORITIES = range(LOWEST_PRIORITY + 1)

LANES = range(4)
"""Lanes of a priority: in time for their aims and not, without and with the reads that
a replica has left."""

DUE = 1.0 - 1e-9
"""Credit of a priority whose turn is due; sums of floors are not exact."""


URGENT_WEIGHT = 1 / 64
"""Weight of a turn in how many turns go to what is more urgent than a priority."""

LEAST_SHARE = 0.01
"""Part of the turns that a priority is expected to get in any case; keeps waits finite
where one has no floor."""


class WaitingOperation:
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
        self.aim = now + demand.latency_left
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
        self._lanes = [[FairQueue() for _ in LANES] for _ in PRIORITIES]
        self._credits = [0.0 for _ in PRIORITIES]
        self._urgent = [0.0 for _ in PRIORITIES]
        self._lengths = [0 for _ in PRIORITIES]
        self._waiting: dict[int, WaitingOperation] = {}
        self._aims: list[tuple[float, int]] = []
        self._overs: list[tuple[float, int]] = []
        self._counts = [AccountCounts() for _ in PRIORITIES]

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

    def add(self, operation: WaitingOperation) -> None:
        """Add an operation."""
        self._waiting[operation.number] = operation
        self._lengths[operation.priority] += 1
        self._counts[operation.priority].add(operation.account)
        self._put(operation)
        if not operation.is_late and operation.aim < math.inf:
            heappush(self._aims, (operation.aim, operation.number))
        if operation.over < math.inf:
            heappush(self._overs, (operation.over, operation.number))

    def note_unqueued(self) -> None:
        """Take in that an operation had its turn while none waited."""
        self._urgent = [each - URGENT_WEIGHT * each for each in self._urgent]

    def remove(self, number: int) -> WaitingOperation:
        """Take out an operation, which must wait."""
        operation = self._waiting[number]
        self._get_lane(operation).remove(operation.account, operation.aim, number)
        self._forget(operation)
        return operation

    def pop(self) -> WaitingOperation:
        """Take out the operation whose turn it is; one must wait."""
        priority = self._choose_priority()
        number = next(lane for lane in self._lanes[priority] if lane).pop()
        operation = self._waiting[number]
        self._forget(operation)
        return operation

    def pop_over(self, now: float) -> WaitingOperation | None:
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

    def pop_victim(self, priority: int, account: str) -> WaitingOperation | None:
        """Take out an operation that has to make room for one that comes.

        Returns
        -------
        WaitingOperation or None
            One of the least urgent that wait, of the account that has the most there;
            None unless the new one is more urgent, or as urgent and of an account with
            fewer operations that wait.
        """
        lowest = max(each for each in PRIORITIES if self._lengths[each])
        longest, count = self._counts[lowest].get_longest()
        own = self._counts[lowest].get(account)
        is_fairer = priority == lowest and own + 1 < count
        if not (priority < lowest or is_fairer):
            return None
        return self._pop_last(lowest, longest)

    def pop_least(self) -> WaitingOperation:
        """Take out one of the least urgent, of the account that has the most there."""
        lowest = max(each for each in PRIORITIES if self._lengths[each])
        return self._pop_last(lowest, self._counts[lowest].get_longest()[0])

    def count_turns(self, priority: int, own: int) -> float:
        """Return how many operations start until one of a priority does.

        Parameters
        ----------
        priority : int
            The priority.
        own : int
            Operations of the same priority that come before it.
        """
        pairs = zip(
            self._floors[priority + 1 :], self._lengths[priority + 1 :], strict=True
        )
        left = 1.0 - sum([floor for floor, length in pairs if length])
        # What is more urgent goes on coming while it waits.
        own_turns = (own + 1) / max(LEAST_SHARE, 1.0 - self._urgent[priority])
        by_order = (sum(self._lengths[:priority]) + own_turns) / left
        floor = self._floors[priority]
        return min(by_order, (own + 1) / floor) if floor else by_order

    def count_own(self, operation: WaitingOperation) -> int:
        """Return how many of its priority come before an operation that comes."""
        better = self._lanes[operation.priority][: operation.lane]
        own = self._get_lane(operation).count_ahead(operation.account)
        return sum(map(len, better)) + own

    def count_until(self, priority: int) -> int:
        """Return how many wait that are as urgent as a priority or more."""
        return sum(self._lengths[: priority + 1])

    def get_length(self, priority: int) -> int:
        """Return how many operations of a priority wait."""
        return self._lengths[priority]

    def _choose_priority(self) -> int:
        """Return whose turn it is: the most urgent, unless a floor is due."""
        credits, urgent = self._credits, self._urgent
        waiting = [each for each in PRIORITIES if self._lengths[each]]
        for each in waiting:
            credits[each] += self._floors[each]
        due = (each for each in waiting if credits[each] >= DUE)
        chosen = next(due, waiting[0])
        credits[chosen] = max(0.0, credits[chosen] - 1.0)
        for each in PRIORITIES:
            urgent[each] += URGENT_WEIGHT * ((chosen < each) - urgent[each])
        return chosen

    def _pop_last(self, priority: int, account: str) -> WaitingOperation:
        """Take out the last operation of an account in a priority."""
        lanes = reversed(self._lanes[priority])
        numbers = (lane.get_last(account) for lane in lanes)
        return self.remove(next(each for each in numbers if each is not None))

    def _get_lane(self, operation: WaitingOperation) -> FairQueue:
        return self._lanes[operation.priority][operation.lane]

    def _put(self, operation: WaitingOperation) -> None:
        """Put an operation into its lane."""
        lane = self._get_lane(operation)
        lane.add(operation.account, operation.aim, operation.number)

    def _forget(self, operation: WaitingOperation) -> None:
        """Count an operation no more that has left its lane."""
        del self._waiting[operation.number]
        priority = operation.priority
        self._lengths[priority] -= 1
        self._counts[priority].remove(operation.account)
        if not self._lengths[priority]:
            self._credits[priority] = 0.0
