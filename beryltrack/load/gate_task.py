"""Runs a database's gate: its timer, and the Deferreds of waiting operations."""

from collections import Counter, deque
from collections.abc import Mapping
from itertools import count
from typing import NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from beryltrack.connections.messages import PoolRefusal, PoolRefused, RefusalReason
from beryltrack.load.gate import GateDecider
from beryltrack.load.limit import Outcome, SharedCapacity
from beryltrack.load.messages import DatabaseReport, Demand, GateAction, Refuse, Run


class GateCounters(NamedTuple):
    """Counters of a gate since it was created, and its queue lengths.

    Parameters
    ----------
    waiting : tuple of int
        Operations that wait now, by priority.
    refused : mapping of RefusalReason to int
        Operations that were refused on arrival.
    put_out : mapping of RefusalReason to int
        Operations that were evicted: refused after they had waited.
    """

    waiting: tuple[int, ...]
    refused: Mapping[RefusalReason, int]
    put_out: Mapping[RefusalReason, int]


class GateTask:
    """Admits operations to one database as a `GateDecider` decides.

    Parameters
    ----------
    reactor : IReactorTime
        The clock; a `task.Clock` in tests.
    decider : GateDecider
        Decides what runs and what is refused.
    """

    def __init__(self, reactor: IReactorTime, decider: GateDecider):
        self._reactor = reactor
        self._decider = decider
        self._numbers = count(1)
        self._waiters: dict[int, Deferred[int]] = {}
        self._actions: deque[GateAction] = deque()
        self._is_performing = False
        self._timer: IDelayedCall | None = None
        self._timer_at = 0.0
        self._refused: Counter[RefusalReason] = Counter()
        self._evicted: Counter[RefusalReason] = Counter()

    @property
    def waiting(self) -> int:
        """Operations that wait."""
        return self._decider.waiting

    @property
    def _now(self) -> float:
        return self._reactor.seconds()

    def get_report(self) -> DatabaseReport:
        """Return the load of the database as it is now."""
        return self._decider.get_report(self._now)

    def get_counters(self) -> GateCounters:
        """Return the counters, for the metrics."""
        return GateCounters(self._decider.lengths, self._refused, self._evicted)

    def set_capacity(self, capacity: SharedCapacity) -> None:
        """Set the capacity of the database and how it is shared."""
        self._perform(self._decider.set_capacity(capacity, self._now))

    def enter(self, deadline: float, demand: Demand) -> Deferred[int]:
        """Submit an operation.

        Parameters
        ----------
        deadline : float
            Time by the reactor's clock, seconds, by which it must be done.
        demand : Demand
            Its demand; its time left counts if it ends before `deadline`.

        Returns
        -------
        Deferred of int
            The operation's number once it may run. Fails with `PoolRefused` if it was
            refused and has not run. Cancelling removes it from the queue.
        """
        number = next(self._numbers)
        result: Deferred[int] = Deferred(lambda _: self.cancel(number))
        self._waiters[number] = result
        time_left = min(demand.time_left, deadline - self._now)
        demand = demand._replace(time_left=time_left)
        self._perform(self._decider.submit(number, demand, self._now), number)
        return result

    def finish(self, number: int) -> None:
        """Record that an operation has ended."""
        # The end of its last statement has been recorded by `end_statement`.
        self._perform(self._decider.finish(number, None, Outcome.UNKNOWN, self._now))

    def end_statement(
        self, number: int, seconds: float | None, outcome: Outcome
    ) -> None:
        """Record how a statement of an operation ended; see `GateDecider.finish`."""
        self._perform(self._decider.end_statement(number, seconds, outcome, self._now))

    def start_statement(self, number: int) -> None:
        """Record that an operation starts a statement; an idle one counts again."""
        self._perform(self._decider.start_statement(number, self._now))

    def cancel(self, number: int) -> None:
        """Drop an operation that was given up, or that was admitted and did not run."""
        self._waiters.pop(number, None)
        self._perform(self._decider.cancel(number, self._now))

    def admit_all(self) -> None:
        """Admit all waiting operations, whatever the limit; the pool bounds them."""
        self._perform(self._decider.admit_all(self._now))

    def _count(self, actions: list[GateAction], arriving: int) -> None:
        """Count refusals on arrival and evictions."""
        for action in actions:
            if isinstance(action, Refuse):
                is_new = action.operation == arriving
                (self._refused if is_new else self._evicted)[action.reason] += 1

    def _perform(self, actions: list[GateAction], arriving: int = 0) -> None:
        """Carry out actions, then set the timer.

        A callback may call the gate again; the actions that follow are appended.
        """
        self._count(actions, arriving)
        self._actions.extend(actions)
        if self._is_performing:
            return
        self._is_performing = True
        try:
            while self._actions:
                self._perform_one(self._actions.popleft())
        finally:
            self._is_performing = False
        self._set_timer()

    def _perform_one(self, action: GateAction) -> None:
        """Pass a decision to the operation's waiter."""
        waiter = self._waiters.pop(action.operation, None)
        if waiter is None:
            # A callback of an earlier action has cancelled it.
            self._actions.extend(self._decider.cancel(action.operation, self._now))
        elif isinstance(action, Run):
            waiter.callback(action.operation)
        else:
            refusal = PoolRefusal(action.reason, action.retry_after)
            waiter.errback(PoolRefused(refusal))

    def _set_timer(self) -> None:
        """Keep one timer, at the earliest time at which `tick` is due."""
        wakeup = self._decider.get_wakeup(self._now)
        if self._timer is not None and self._timer.active():
            if wakeup is not None and self._timer_at <= wakeup:
                return
            self._timer.cancel()
        self._timer = None
        if wakeup is not None:
            self._timer_at = wakeup
            delay = max(0.0, wakeup - self._now)
            self._timer = self._reactor.callLater(delay, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._perform(self._decider.tick(self._now))
