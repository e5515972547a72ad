"""The timer and those who wait at a gate."""

import random

import pytest
from twisted.internet.defer import CancelledError
from twisted.internet.task import Clock

from beryltrack.connections.messages import PoolRefused, RefusalReason
from beryltrack.load.gate import GateDecider
from beryltrack.load.gate_task import GateTask
from beryltrack.load.limit import Outcome, SharedCapacity
from beryltrack.load.messages import Demand
from beryltrack.load.policy import LoadPolicy
from tests.connections.test_task import get_result


class Site:
    """A gate that lets one operation run."""

    def __init__(self):
        self.clock = Clock()
        decider = GateDecider(LoadPolicy(), random.Random(1), 1)
        self.gate = GateTask(self.clock, decider)
        self.gate.set_capacity(SharedCapacity(slots=1, owners=1, connections=1))

    def enter(self, deadline=9.0, **demand):
        return self.gate.enter(deadline, Demand(**demand))

    def fill(self):
        """Let one run and one wait; return the number of the first, and the second."""
        return get_result(self.enter()), self.enter()


@pytest.fixture
def site():
    return Site()


def get_refusal(waiting):
    with pytest.raises(PoolRefused) as refused:
        get_result(waiting)
    return refused.value.refusal


def test_the_next_one_runs_when_one_has_ended(site):
    first, waiting = site.fill()
    assert not waiting.called
    site.gate.finish(first)
    assert get_result(waiting) != first


def test_a_transaction_that_rests_lets_others_run(site):
    first, waiting = site.fill()
    site.gate.end_statement(first, 0.01, Outcome.ANSWERED)
    assert waiting.called
    site.gate.start_statement(first)
    assert site.gate.get_report().running == 2


def test_who_gives_up_leaves_the_queue(site):
    first, waiting = site.fill()
    waiting.cancel()
    with pytest.raises(CancelledError):
        get_result(waiting)
    site.gate.finish(first)
    assert site.gate.waiting == 0 and site.gate.get_report().running == 0


def test_who_waits_for_too_long_is_told_so_by_the_timer(site):
    first = get_result(site.enter())
    waiting = site.enter(deadline=0.2)
    site.clock.pump([0.05] * 3)
    assert not waiting.called
    site.clock.pump([0.05])
    assert get_refusal(waiting).reason is RefusalReason.TOO_LATE
    site.gate.finish(first)
    assert not site.clock.getDelayedCalls()


def test_the_time_left_counts_if_it_ends_before_the_deadline(site):
    get_result(site.enter())
    waiting = site.enter(time_left=0.1)
    site.clock.pump([0.05] * 3)
    assert get_refusal(waiting).reason is RefusalReason.TOO_LATE


def test_what_has_no_time_left_is_refused_at_once(site):
    assert get_refusal(site.enter(deadline=0.0)).retry_after > 0.0


def test_one_that_fails_at_once_lets_all_others_have_their_turn(site):
    """So do all behind a database that cannot be reached."""
    first = get_result(site.enter())
    seen = []

    def fail(number):
        seen.append(number)
        site.gate.cancel(number)

    for _ in range(50):
        site.enter().addCallback(fail)
    site.gate.finish(first)
    assert len(seen) == 50 and site.gate.get_report().running == 0


def test_who_is_cancelled_by_the_verdict_on_another_does_not_run(site):
    first, waiting = site.fill()
    later = site.enter().addErrback(lambda failure: failure.trap(CancelledError))
    waiting.addCallback(lambda number: later.cancel())
    site.gate.admit_all()
    assert waiting.called and later.called
    site.gate.finish(first)
    assert site.gate.get_report().running == 1


def test_a_gate_that_opens_lets_all_run(site):
    _, waiting = site.fill()
    site.gate.admit_all()
    assert waiting.called and not site.clock.getDelayedCalls()
