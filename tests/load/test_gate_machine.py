"""What a gate holds to, whatever comes."""

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
"""Turns that a due floor may wait for other floors that are due."""


class Gate(RuleBasedStateMachine):
    """Operations come, run, rest, go on, end and are given up."""

    def __init__(self):
        super().__init__()
        self.gate = GateDecider(POLICY, random.Random(1), 1)
        self.now, self.number = 0.0, 0
        self.gate.set_capacity(SharedCapacity(4, 2, 5), self.now)
        self.connections, self.began, self.answered_at = 5, {}, -math.inf
        self.waiting, self.running, self.resting = {}, set(), set()
        self.passed_over = [0] * (LOWEST_PRIORITY + 1)

    def apply(self, actions, is_open=False):
        for action in actions:
            # One verdict each; what runs or rests gets none.
            priority = self.leave(action.operation)
            if not isinstance(action, Run):
                assert 0.0 < action.retry_after < math.inf
                continue
            self.begin(action.operation)
            current = self.running - self.list_overdue()
            assert is_open or len(current) <= self.gate.limit
            assert is_open or len(self.running) <= self.connections
            self.count_turn(priority)

    def begin(self, number):
        """Note that a statement of an operation begins."""
        self.running.add(number)
        self.began[number] = self.now

    def list_overdue(self):
        """Return what runs for far longer than statements usually take."""
        patience = max(MIN_OVERDUE, OVERDUE_FACTOR * self.gate._limit.mean)
        before = self.now - patience
        return {each for each in self.running if self.began[each] < before}

    def is_silent(self):
        """Return whether the database has answered nothing since some are overdue."""
        latest = max(map(self.began.get, self.list_overdue()), default=math.inf)
        return latest != math.inf and self.answered_at <= latest

    def note_end(self, outcome):
        """Note when the database has answered."""
        if outcome in (Outcome.ANSWERED, Outcome.FULL):
            self.answered_at = self.now

    def leave(self, number):
        """Let an operation wait no more; its priority counts anew if none waits."""
        priority = self.waiting.pop(number)
        if priority not in self.waiting.values():
            self.passed_over[priority] = 0
        return priority

    def count_turn(self, served):
        """Check that no priority that waits is passed over for too long."""
        self.passed_over[served] = 0
        for priority, floor in enumerate(POLICY.floors):
            if priority != served and priority in self.waiting.values():
                self.passed_over[priority] += 1
            if floor:
                most = math.ceil(1 / floor) + DUE_TOGETHER
                assert self.passed_over[priority] <= most

    @rule(
        priority=st.integers(-1, LOWEST_PRIORITY + 1),
        aim=st.one_of(st.just(math.inf), st.floats(-0.1, 1.0)),
        left=st.one_of(st.just(math.inf), st.floats(0.0, 4.0)),
        account=st.sampled_from("abc"),
        is_displaced=st.booleans(),
        count=st.integers(1, 12),
    )
    def arrive(self, priority, aim, left, account, is_displaced, count):
        demand = Demand(priority, aim, left, account, is_displaced)
        for _ in range(count):
            self.number += 1
            self.waiting[self.number] = max(0, min(priority, LOWEST_PRIORITY))
            self.apply(self.gate.submit(self.number, demand, self.now))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), seconds=SECONDS, outcome=OUTCOMES)
    def finish(self, data, seconds, outcome):
        number = data.draw(st.sampled_from(sorted(self.running)))
        self.running.discard(number)
        self.note_end(outcome)
        self.apply(self.gate.finish(number, seconds, outcome, self.now))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), seconds=SECONDS, outcome=OUTCOMES)
    def rest(self, data, seconds, outcome):
        number = data.draw(st.sampled_from(sorted(self.running)))
        self.running.discard(number)
        self.resting.add(number)
        self.note_end(outcome)
        self.apply(self.gate.end_statement(number, seconds, outcome, self.now))

    @precondition(lambda self: self.resting)
    @rule(data=st.data(), ends=st.booleans())
    def go_on_or_end(self, data, ends):
        number = data.draw(st.sampled_from(sorted(self.resting)))
        self.resting.discard(number)
        if ends:
            outcome = Outcome.UNKNOWN
            self.apply(self.gate.finish(number, None, outcome, self.now))
        else:
            self.begin(number)
            assert self.gate.start_statement(number, self.now) == []

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def give_up(self, data):
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
    def move(self, owners, connections):
        bounds = SharedCapacity(4, owners, connections)
        self.connections = connections
        self.apply(self.gate.set_capacity(bounds, self.now))

    @rule()
    def open(self):
        self.apply(self.gate.admit_all(self.now), is_open=True)
        assert not self.waiting

    @invariant()
    def the_gate_knows_the_same(self):
        assert self.gate.running == len(self.running)
        assert self.gate.waiting == len(self.waiting)

    @invariant()
    def room_is_used(self):
        assert self.gate.limit >= 1
        is_used = len(self.running) >= self.gate.limit
        assert not self.waiting or is_used or self.is_silent()

    @invariant()
    def who_waits_is_woken(self):
        wakeup = self.gate.get_wakeup(self.now)
        assert (wakeup is not None) == bool(self.waiting)

    @invariant()
    def the_report_can_be_sent(self):
        report = self.gate.get_report(self.now)
        assert all(0.0 <= wait < math.inf for wait in report.waits)
        assert 1 <= report.limit

    def teardown(self):
        """Whoever still waits is told in the end."""
        for number in sorted(self.running | self.resting):
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
