"""Decides what runs at one database, in which order, and what is refused.

Pure: each method takes the time and returns what follows. An operation is let run, and
then counts while one of its statements runs: an open transaction that rests between two
statements leaves its room to others, and its next statement runs at once, as what
its transaction holds at the database would otherwise hold up others for longer.

What cannot be done in time is told so when it comes, by the expected wait at its place.
What waits is bounded in time: when it would take too long until all have run, the least
urgent leave. Nothing that has been let run is ever refused or put out.
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

FIRST_TIME = 0.005
"""Seconds that an operation is expected to take before the first one has ended."""

LEAST_RETRY_AFTER = 0.05
"""Seconds after which nobody is told to come back sooner: a round trip and more."""

MOST_RETRY_AFTER = 5.0
"""Seconds after which anybody may come back: longer than callers' deadlines."""

RETRY_SPREAD = (1.0, 1.5)
"""Bounds of the factor on the time to come back, so that what was refused together does
not come back together. It is never under the time that the queue takes."""

UNKNOWN_WAIT = 0.6
"""Seconds that an operation without a known aim waits at most, as in the pools."""

LATE_PART = 0.25
"""Part of its time left that an operation waits though its aim is over then: a late
answer is worth more than none, and the rest is for its run and for another try."""

MOST_DRAIN = 1.0
"""Seconds until all that waits has run, at most: a caller with a target latency of
0.6 s and a deadline of 4 s waits that long. Beyond it the least urgent make room."""

SCAN_PERIOD = 0.05
"""Seconds between two looks at what waits."""


class GateDecider:
    """Decides for one database what runs there through one owner.

    Parameters
    ----------
    policy : LoadPolicy
        The figures that steer it.
    rng : random.Random
        For the spread of the times to come back.
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
        self._spent: dict[int, float] = {}
        self._time = BoundedEstimate(FIRST_TIME)

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

    def set_capacity(self, bounds: SharedCapacity, now: float) -> list[GateAction]:
        """Take in what this instance's part of the database follows from."""
        self._limit.set_capacity(bounds)
        return self._fill(now)

    def submit(self, number: int, demand: Demand, now: float) -> list[GateAction]:
        """Take in an operation; it waits unless an action is about it.

        Parameters
        ----------
        number : int
            Its number, never used before.
        demand : Demand
            What it asks for.
        now : float
            The current time, seconds.
        """
        if not self._policy.is_ordered:
            demand = Demand(time_left=demand.time_left)
        operation = WaitingOperation(number, demand, now)
        if demand.time_left <= 0.0:
            step = self._compute_step(now)
            return [self._refuse(operation, RefusalReason.TOO_LATE, step)]
        if not self._queue and self._has_room(now):
            self._queue.note_unqueued()
            return [self._run(number, now)]
        done_at, step = now + self._limit.mean, self._compute_step(now)
        self._queue.note_late(done_at)
        operation.is_late = done_at > operation.aim
        reason = self._judge(operation, demand, step)
        if reason is not None:
            return [self._refuse(operation, reason, step)]
        put_out = self._make_room(operation, step)
        if put_out and put_out[0].operation == number:
            return put_out
        self._queue.add(operation)
        return put_out + self._fill(now)

    def finish(
        self, number: int, seconds: float | None, outcome: Outcome, now: float
    ) -> list[GateAction]:
        """Take in that an operation has ended.

        Parameters
        ----------
        number : int
            Its number.
        seconds : float or None
            How long its last statement took at the database; None if none ran since it
            rested, or if that tells nothing.
        outcome : Outcome
            How that ended.
        now : float
            The current time, seconds.
        """
        if number in self._running:
            self._record_end(number, seconds, outcome, now)
        spent = self._spent.pop(number, 0.0)
        if spent:
            self._time.observe(spent)
        return self._fill(now)

    def end_statement(
        self, number: int, seconds: float | None, outcome: Outcome, now: float
    ) -> list[GateAction]:
        """Take in that a statement has ended and its operation may go on.

        See `finish` for the parameters.
        """
        if number not in self._running:
            return []
        self._record_end(number, seconds, outcome, now)
        return self._fill(now)

    def start_statement(self, number: int, now: float) -> list[GateAction]:
        """Take in that an operation that rested runs its next statement."""
        if number in self._spent and number not in self._running:
            self._running.add(number, self._limit.mean, now)
        return []

    def cancel(self, number: int, now: float) -> list[GateAction]:
        """Forget an operation that is not to run any more, or did not."""
        if number in self._queue:
            self._queue.remove(number)
        self._running.remove(number)
        self._spent.pop(number, None)
        return self._fill(now)

    def admit_all(self, now: float) -> list[GateAction]:
        """Let all run that wait; whoever comes next decides what becomes of them."""
        return [self._run(self._queue.pop().number, now) for _ in range(self.waiting)]

    def tick(self, now: float) -> list[GateAction]:
        """Do what is due by time alone."""
        actions = self._refuse_over(now)
        step = self._compute_step(now)
        while self._policy.refuses_early and len(self._queue) * step > MOST_DRAIN:
            operation = self._queue.pop_least()
            actions.append(self._refuse(operation, RefusalReason.QUEUE_FULL, step))
        return actions + self._fill(now)

    def get_wakeup(self, now: float) -> float | None:
        """Return when `tick` is next due, or None if nothing waits for time."""
        if not self._queue:
            return None
        return min(now + SCAN_PERIOD, max(now, self._queue.next_over))

    def get_report(self, now: float) -> DatabaseReport:
        """Return the load of the database as it is at the time `now`."""
        step = self._compute_step(now)
        is_free = self._has_room(now) and not self._queue
        waits = tuple(
            0.0 if is_free else step * self._count_turns(each) for each in PRIORITIES
        )
        return DatabaseReport(
            self.limit, self.running, waits, self._limit.mean, self._incarnation
        )

    def _has_room(self, now: float) -> bool:
        limit = self._limit
        return self._running.has_room(limit.value, limit.connections, limit.mean, now)

    def _run(self, number: int, now: float) -> Run:
        self._running.add(number, self._limit.mean, now)
        self._spent[number] = 0.0
        return Run(number)

    def _record_end(
        self, number: int, seconds: float | None, outcome: Outcome, now: float
    ) -> None:
        """Take in how a statement ended."""
        running = len(self._running)
        self._running.remove(number)
        if outcome in (Outcome.ANSWERED, Outcome.FULL):
            self._running.note_answer(now)
        if outcome is not Outcome.FULL:
            # A refusal takes no slot, and tells nothing of how long operations take.
            self._spent[number] += seconds or 0.0
        self._limit.observe(seconds, outcome, running, bool(self._queue), now)

    def _fill(self, now: float) -> list[GateAction]:
        """Let run what there is room for."""
        actions: list[GateAction] = []
        if not self._queue or not self._has_room(now):
            return actions
        self._queue.note_late(now + self._limit.mean)
        while self._has_room(now):
            # One that is refused must not use up the turn of its priority.
            actions += self._refuse_over(now)
            if not self._queue:
                break
            actions.append(self._run(self._queue.pop().number, now))
        return actions

    def _refuse_over(self, now: float) -> list[GateAction]:
        """Refuse what cannot be done any more, even if it ran now.

        While nothing runs one is let through as long as it has any time: the mean
        would learn nothing, and one slow spell would refuse all for ever.
        """
        is_early = self._policy.refuses_early and self._running
        done_at = now + (self._limit.mean if is_early else 0.0)
        actions: list[GateAction] = []
        while (operation := self._queue.pop_over(done_at)) is not None:
            step = self._compute_step(now)
            actions.append(self._refuse(operation, RefusalReason.TOO_LATE, step))
        return actions

    def _judge(
        self, operation: WaitingOperation, demand: Demand, step: float
    ) -> RefusalReason | None:
        """Return why an operation that comes is refused, None if it may wait."""
        if not self._policy.refuses_early:
            return None
        own = self._queue.count_own(operation)
        wait = step * self._queue.count_turns(operation.priority, own)
        if wait + self._limit.mean > demand.time_left:
            return RefusalReason.TOO_LATE
        return RefusalReason.QUEUE_FULL if wait > self._bound(demand) else None

    def _bound(self, demand: Demand) -> float:
        """Return how long an operation waits at most, seconds."""
        if demand.latency_left == math.inf:
            return UNKNOWN_WAIT
        by_aim = self._policy.most_wait * demand.latency_left
        return min(MOST_DRAIN, max(by_aim, LATE_PART * demand.time_left))

    def _make_room(self, operation: WaitingOperation, step: float) -> list[GateAction]:
        """Return who is refused so that all that waits is done in time."""
        is_full = (len(self._queue) + 1) * step > MOST_DRAIN
        if not (self._policy.refuses_early and is_full and self._queue):
            return []
        victim = self._queue.pop_victim(operation.priority, operation.account)
        return [self._refuse(victim or operation, RefusalReason.QUEUE_FULL, step)]

    def _refuse(
        self, operation: WaitingOperation, reason: RefusalReason, step: float
    ) -> Refuse:
        """Return a refusal with the time until what is as urgent has run."""
        ahead = self._queue.count_until(operation.priority) + 1
        wait = ahead * step * self._rng.uniform(*RETRY_SPREAD)
        retry_after = min(max(LEAST_RETRY_AFTER, wait), MOST_RETRY_AFTER)
        return Refuse(operation.number, reason, retry_after)

    def _count_turns(self, priority: int) -> float:
        """Return how many operations start until one of a priority does."""
        return self._queue.count_turns(priority, self._queue.get_length(priority))

    def _compute_step(self, now: float) -> float:
        """Return the seconds after which the next operation can start, on average.

        Where the database answers nothing, each is expected to last as long again.
        """
        silence = self._running.get_silence(self._limit.mean, now)
        return max(self._time.mean, silence) / self._limit.value
