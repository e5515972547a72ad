"""Invariants of a gate under random sequences of calls."""

import math
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from beryltrack.load.gate import GateDecider
from beryltrack.load.limit import Outcome, SharedCapacity
from beryltrack.load.messages import LOWEST_PRIORITY, Demand, Run
from beryltrack.load.policy import LoadPolicy
from beryltrack.load.running import MIN_OVERDUE, OVERDUE_FACTOR

POLICY = LoadPolicy()
OUTCOMES = st.sampled_from(list(Outcome))
SECONDS = st.one_of(st.none(), st.floats(0.0, 0.5))
DUE_TOGETHER = 3
"""Starts for which a due priority may wait for other due priorities."""


class Gate(RuleBasedStateMachine):
    """Submits, runs, ends, cancels and expires operations, and checks each decision."""

    def __init__(self):
        super().__init__()
        self.gate = GateDecider(POLICY, random.Random(1), 1)
        self.now, self.number = 0.0, 0
        self.gate.set_capacity(SharedCapacity(4, 2, 5), self.now)
        self.connections, self.began, self.answered_at = 5, {}, -math.inf
        self.waiting, self.running, self.idle = {}, set(), set()
        self.passed_over = [0] * (LOWEST_PRIORITY + 1)

    def apply(self, actions, is_open=False):
        for action in actions:
            # Each operation gets one decision; running and idle ones get none.
            priority = self.leave(action.operation)
            if not isinstance(action, Run):
                assert 0.0 < action.retry_after < math.inf
                continue
            self.begin(action.operation)
            current = self.running - self.list_overdue()
            assert is_open or len(current) <= self.gate.limit
            assert is_open or len(self.running) <= self.connections
            self.count_start(priority)

    def begin(self, number):
        """Record that a statement of an operation starts."""
        self.running.add(number)
        self.began[number] = self.now

    def list_overdue(self):
        """Return the statements that run for far longer than the mean time."""
        min_overdue = max(MIN_OVERDUE, OVERDUE_FACTOR * self.gate._limit.mean)
        before = self.now - min_overdue
        return {each for each in self.running if self.began[each] < before}

    def is_silent(self):
        """Return whether statements are overdue and no later one was answered."""
        latest = max(map(self.began.get, self.list_overdue()), default=math.inf)
        return latest != math.inf and self.answered_at <= latest

    def record_end(self, outcome):
        """Record when the database has answered."""
        if outcome in (Outcome.ANSWERED, Outcome.FULL):
            self.answered_at = self.now

    def leave(self, number):
        """Remove a waiting operation; if its priority has none left, it counts anew."""
        priority = self.waiting.pop(number)
        if priority not in self.waiting.values():
            self.passed_over[priority] = 0
        return priority

    def count_start(self, served):
        """Check that each priority with waiting operations gets its minimum share."""
        self.passed_over[served] = 0
        for priority, min_share in enumerate(POLICY.floors):
            if priority != served and priority in self.waiting.values():
                self.passed_over[priority] += 1
            if min_share:
                bound = math.ceil(1 / min_share) + DUE_TOGETHER
                assert self.passed_over[priority] <= bound

    @rule(
        priority=st.integers(-1, LOWEST_PRIORITY + 1),
        latency=st.one_of(st.just(math.inf), st.floats(-0.1, 1.0)),
        left=st.one_of(st.just(math.inf), st.floats(0.0, 4.0)),
        account=st.sampled_from("abc"),
        is_displaced=st.booleans(),
        count=st.integers(1, 12),
    )
    def submit(self, priority, latency, left, account, is_displaced, count):
        demand = Demand(priority, latency, left, account, is_displaced)
        for _ in range(count):
            self.number += 1
            self.waiting[self.number] = max(0, min(priority, LOWEST_PRIORITY))
            self.apply(self.gate.submit(self.number, demand, self.now))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), seconds=SECONDS, outcome=OUTCOMES)
    def finish(self, data, seconds, outcome):
        number = data.draw(st.sampled_from(sorted(self.running)))
        self.running.discard(number)
        self.record_end(outcome)
        self.apply(self.gate.finish(number, seconds, outcome, self.now))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), seconds=SECONDS, outcome=OUTCOMES)
    def end_statement(self, data, seconds, outcome):
        number = data.draw(st.sampled_from(sorted(self.running)))
        self.running.discard(number)
        self.idle.add(number)
        self.record_end(outcome)
        self.apply(self.gate.end_statement(number, seconds, outcome, self.now))

    @precondition(lambda self: self.idle)
    @rule(data=st.data(), ends=st.booleans())
    def start_statement_or_finish(self, data, ends):
        number = data.draw(st.sampled_from(sorted(self.idle)))
        self.idle.discard(number)
        if ends:
            outcome = Outcome.UNKNOWN
            self.apply(self.gate.finish(number, None, outcome, self.now))
        else:
            self.begin(number)
            assert self.gate.start_statement(number, self.now) == []

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data):
        number = data.draw(st.sampled_from(sorted(self.waiting)))
        self.leave(number)
        self.apply(self.gate.cancel(number, self.now))

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def get_no_connection(self, data):
        number = data.draw(st.sampled_from(sorted(self.running)))
        self.running.discard(number)
        self.apply(self.gate.cancel(number, self.now))

    @rule(step=st.floats(0.0, 0.5))
    def pass_time(self, step):
        self.now += step
        self.apply(self.gate.tick(self.now))

    @rule(owners=st.integers(1, 6), connections=st.integers(1, 11))
    def change_capacity(self, owners, connections):
        bounds = SharedCapacity(4, owners, connections)
        self.connections = connections
        self.apply(self.gate.set_capacity(bounds, self.now))

    @rule()
    def admit_all(self):
        self.apply(self.gate.admit_all(self.now), is_open=True)
        assert not self.waiting

    @invariant()
    def counts_agree_with_the_model(self):
        assert self.gate.running == len(self.running)
        assert self.gate.waiting == len(self.waiting)

    @invariant()
    def the_limit_is_used(self):
        assert self.gate.limit >= 1
        is_used = len(self.running) >= self.gate.limit
        assert not self.waiting or is_used or self.is_silent()

    @invariant()
    def a_timer_is_set_while_operations_wait(self):
        wakeup = self.gate.get_wakeup(self.now)
        assert (wakeup is not None) == bool(self.waiting)

    @invariant()
    def the_report_can_be_sent(self):
        report = self.gate.get_report(self.now)
        assert all(0.0 <= wait < math.inf for wait in report.waits)
        assert 1 <= report.limit

    def teardown(self):
        """Each waiting operation gets a decision once all running ones have ended."""
        for number in sorted(self.running | self.idle):
            self.running.discard(number)
            outcome = Outcome.ANSWERED
            self.apply(self.gate.finish(number, None, outcome, self.now))
        while self.running:
            number = self.running.pop()
            outcome = Outcome.ANSWERED
            self.apply(self.gate.finish(number, None, outcome, self.now))
        assert not self.waiting


TestGate = Gate.TestCase
TestGate.settings = settings(
    max_examples=200, stateful_step_count=50, derandomize=True, deadline=None
)
