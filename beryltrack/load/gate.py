"""Gate of one database at an owner: admission, order and concurrency limit.

Sans-I/O: each method takes the time and returns the actions that follow. An admitted
operation counts while one of its statements runs. A transaction that is idle between
two statements leaves its place to others, and its next statement starts at once, as
the locks that it holds would otherwise delay others for longer.

An operation that is expected to wait for too long is refused on arrival. When the
queue would take too long to drain, the least urgent operations are evicted. An
operation that has been admitted is never refused or evicted.
"""

import math
import random

from beryltrack.connections.messages import RefusalReason
from beryltrack.load.estimate import BoundedEstimate
from beryltrack.load.limit import Outcome, SharedCapacity, StatementLimit
from beryltrack.load.messages import (
    DatabaseReport,
    Demand,
    GateAction,
    Refuse,
    Run,
)
from beryltrack.load.policy import LoadPolicy
from beryltrack.load.queue import PRIORITIES, OperationQueue, WaitingOperation
from beryltrack.load.running import RunningStatements

INITIAL_TIME = 0.005
"""Seconds that an operation is assumed to take before the first one has ended."""

MIN_RETRY_AFTER = 0.05
"""Minimum time to retry given to a caller, seconds: longer than one round trip."""

MAX_RETRY_AFTER = 5.0
"""Maximum time to retry, seconds: longer than callers' deadlines."""

RETRY_SPREAD = (1.0, 1.5)
"""Bounds of the random factor on the time to retry, so that callers that were refused
together do not retry together. It never goes below the time that the queue takes."""

MAX_WAIT_WITHOUT_TARGET = 0.6
"""Seconds that an operation without a target latency may wait, as in the pools."""

MIN_WAIT_FRACTION = 0.25
"""Fraction of the time to its deadline that an operation may wait even if it then
misses its latency deadline: a late answer is worth more than none, and the rest is for
its run and for another attempt."""

MAX_DRAIN_TIME = 1.0
"""Seconds that the queue may take to drain: a caller with a target latency of 0.6 s
and a deadline of 4 s waits that long. Beyond it the least urgent are evicted."""

SCAN_PERIOD = 0.05
"""Seconds between two checks of the waiting operations."""


class GateDecider:
    """Decides what one owner runs at one database.

    Parameters
    ----------
    policy : LoadPolicy
        Its parameters.
    rng : random.Random
        Source of the random spread of the times to retry.
    incarnation : int
        Number of this instance's process.
    """

    def __init__(self, policy: LoadPolicy, rng: random.Random, incarnation: int):
        self._policy = policy
        self._rng = rng
        self._incarnation = incarnation
        self._limit = StatementLimit(policy.per_slot, policy.is_limited)
        self._queue = OperationQueue(policy.floors)
        self._running = RunningStatements()
        # Seconds that the statements of each admitted operation have taken.
        self._time_spent: dict[int, float] = {}
        self._time = BoundedEstimate(INITIAL_TIME)

    @property
    def waiting(self) -> int:
        """Operations that wait."""
        return len(self._queue)

    @property
    def lengths(self) -> tuple[int, ...]:
        """Operations that wait, by priority."""
        return tuple(map(self._queue.get_length, PRIORITIES))

    @property
    def limit(self) -> int:
        """Operations that may run at once."""
        return self._limit.value

    @property
    def running(self) -> int:
        """Operations that run."""
        return len(self._running)

    def set_capacity(self, capacity: SharedCapacity, now: float) -> list[GateAction]:
        """Set the capacity of the database and how it is shared."""
        self._limit.set_capacity(capacity)
        return self._start_waiting(now)

    def submit(self, number: int, demand: Demand, now: float) -> list[GateAction]:
        """Decide on an operation that arrives; without an action on it, it waits.

        Parameters
        ----------
        number : int
            Its number, never used before.
        demand : Demand
            Its demand.
        now : float
            The current time, seconds.
        """
        if not self._policy.is_ordered:
            demand = Demand(time_left=demand.time_left)
        operation = WaitingOperation(number, demand, now)
        if demand.time_left <= 0.0:
            interval = self._compute_start_interval(now)
            return [self._refuse(operation, RefusalReason.TOO_LATE, interval)]
        if not self._queue and self._has_capacity(now):
            self._queue.record_unqueued()
            return [self._start(number, now)]
        done_at, interval = now + self._limit.mean, self._compute_start_interval(now)
        self._queue.move_late(done_at)
        operation.is_late = done_at > operation.latency_deadline
        reason = self._get_refusal_reason(operation, demand, interval)
        if reason is not None:
            return [self._refuse(operation, reason, interval)]
        evicted = self._evict_if_full(operation, interval)
        if evicted and evicted[0].operation == number:
            return evicted
        self._queue.add(operation)
        return evicted + self._start_waiting(now)

    def finish(
        self, number: int, seconds: float | None, outcome: Outcome, now: float
    ) -> list[GateAction]:
        """Record that an operation has ended.

        Parameters
        ----------
        number : int
            Its number.
        seconds : float or None
            How long its last statement took at the database; None if it ran none since
            it was idle, or if that says nothing.
        outcome : Outcome
            How that statement ended.
        now : float
            The current time, seconds.
        """
        if number in self._running:
            self._record_end(number, seconds, outcome, now)
        spent = self._time_spent.pop(number, 0.0)
        if spent:
            self._time.observe(spent)
        return self._start_waiting(now)

    def end_statement(
        self, number: int, seconds: float | None, outcome: Outcome, now: float
    ) -> list[GateAction]:
        """Record that a statement has ended; its operation may run another one.

        See `finish` for the parameters.
        """
        if number not in self._running:
            return []
        self._record_end(number, seconds, outcome, now)
        return self._start_waiting(now)

    def start_statement(self, number: int, now: float) -> list[GateAction]:
        """Record that an operation starts a statement; an idle one counts again."""
        if number in self._time_spent and number not in self._running:
            self._running.add(number, self._limit.mean, now)
        return []

    def cancel(self, number: int, now: float) -> list[GateAction]:
        """Drop an operation that was given up, or that was admitted and did not run."""
        if number in self._queue:
            self._queue.remove(number)
        self._running.remove(number)
        self._time_spent.pop(number, None)
        return self._start_waiting(now)

    def admit_all(self, now: float) -> list[GateAction]:
        """Admit all waiting operations, whatever the limit; the pool bounds them."""
        return [self._start(self._queue.pop().number, now) for _ in range(self.waiting)]

    def tick(self, now: float) -> list[GateAction]:
        """Refuse, evict and start what is due by time alone."""
        actions = self._refuse_expired(now)
        interval = self._compute_start_interval(now)
        while (
            self._policy.refuses_early and len(self._queue) * interval > MAX_DRAIN_TIME
        ):
            operation = self._queue.pop_least_urgent()
            actions.append(self._refuse(operation, RefusalReason.QUEUE_FULL, interval))
        return actions + self._start_waiting(now)

    def get_wakeup(self, now: float) -> float | None:
        """Return when `tick` is next due, None if no operation waits."""
        if not self._queue:
            return None
        return min(now + SCAN_PERIOD, max(now, self._queue.next_deadline))

    def get_report(self, now: float) -> DatabaseReport:
        """Return the load of the database at the time `now`."""
        interval = self._compute_start_interval(now)
        is_free = self._has_capacity(now) and not self._queue
        waits = tuple(
            0.0 if is_free else interval * self._estimate_position(each)
            for each in PRIORITIES
        )
        return DatabaseReport(
            self.limit, self.running, waits, self._limit.mean, self._incarnation
        )

    def _has_capacity(self, now: float) -> bool:
        limit = self._limit
        return self._running.has_capacity(
            limit.value, limit.connections, limit.mean, now
        )

    def _start(self, number: int, now: float) -> Run:
        self._running.add(number, self._limit.mean, now)
        self._time_spent[number] = 0.0
        return Run(number)

    def _record_end(
        self, number: int, seconds: float | None, outcome: Outcome, now: float
    ) -> None:
        """Record how a statement ended."""
        running = len(self._running)
        self._running.remove(number)
        if outcome in (Outcome.ANSWERED, Outcome.FULL):
            self._running.record_answer(now)
        if outcome is not Outcome.FULL:
            # A refusal by the database takes no slot, and its time says nothing about
            # how long operations take.
            self._time_spent[number] += seconds or 0.0
        self._limit.observe(seconds, outcome, running, bool(self._queue), now)

    def _start_waiting(self, now: float) -> list[GateAction]:
        """Start waiting operations while the limit allows."""
        actions: list[GateAction] = []
        if not self._queue or not self._has_capacity(now):
            return actions
        self._queue.move_late(now + self._limit.mean)
        while self._has_capacity(now):
            # Refused first, as an expired operation must not use up a start of its
            # priority's share.
            actions += self._refuse_expired(now)
            if not self._queue:
                break
            actions.append(self._start(self._queue.pop().number, now))
        return actions

    def _refuse_expired(self, now: float) -> list[GateAction]:
        """Refuse operations that would miss their deadlines even if they ran now.

        While nothing runs, an operation is admitted if it has any time left: otherwise
        the mean would get no samples, and one slow period would refuse all for good.
        """
        is_early = self._policy.refuses_early and self._running
        done_at = now + (self._limit.mean if is_early else 0.0)
        actions: list[GateAction] = []
        while (operation := self._queue.pop_expired(done_at)) is not None:
            interval = self._compute_start_interval(now)
            actions.append(self._refuse(operation, RefusalReason.TOO_LATE, interval))
        return actions

    def _get_refusal_reason(
        self, operation: WaitingOperation, demand: Demand, interval: float
    ) -> RefusalReason | None:
        """Return why an operation is refused on arrival, None if it may wait."""
        if not self._policy.refuses_early:
            return None
        ahead = self._queue.count_ahead(operation)
        wait = interval * self._queue.estimate_position(operation.priority, ahead)
        if wait + self._limit.mean > demand.time_left:
            return RefusalReason.TOO_LATE
        return RefusalReason.QUEUE_FULL if wait > self._get_max_wait(demand) else None

    def _get_max_wait(self, demand: Demand) -> float:
        """Return how long an operation may wait, seconds."""
        if demand.latency_left == math.inf:
            return MAX_WAIT_WITHOUT_TARGET
        by_latency = self._policy.most_wait * demand.latency_left
        return min(
            MAX_DRAIN_TIME, max(by_latency, MIN_WAIT_FRACTION * demand.time_left)
        )

    def _evict_if_full(
        self, operation: WaitingOperation, interval: float
    ) -> list[GateAction]:
        """Evict an operation if the queue takes too long to drain with one more.

        The new operation itself is refused if no other one may be evicted for it.
        """
        is_full = (len(self._queue) + 1) * interval > MAX_DRAIN_TIME
        if not (self._policy.refuses_early and is_full and self._queue):
            return []
        victim = self._queue.pop_victim(operation.priority, operation.account)
        return [self._refuse(victim or operation, RefusalReason.QUEUE_FULL, interval)]

    def _refuse(
        self, operation: WaitingOperation, reason: RefusalReason, interval: float
    ) -> Refuse:
        """Return a refusal with the time until all that is as urgent has started."""
        ahead = self._queue.count_as_urgent(operation.priority) + 1
        wait = ahead * interval * self._rng.uniform(*RETRY_SPREAD)
        retry_after = min(max(MIN_RETRY_AFTER, wait), MAX_RETRY_AFTER)
        return Refuse(operation.number, reason, retry_after)

    def _estimate_position(self, priority: int) -> float:
        """Return how many operations start until a new one of a priority does."""
        return self._queue.estimate_position(priority, self._queue.get_length(priority))

    def _compute_start_interval(self, now: float) -> float:
        """Return the mean seconds between the starts of two operations.

        While the database is silent, an operation is expected to take at least as long
        as the silence has lasted.
        """
        silence = self._running.get_silence(self._limit.mean, now)
        return max(self._time.mean, silence) / self._limit.value
