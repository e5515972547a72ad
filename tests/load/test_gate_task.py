"""A gate's timer, and the Deferreds of its waiting operations."""

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
    """A gate with a limit of one operation."""

    def __init__(self):
        self.clock = Clock()
        decider = GateDecider(LoadPolicy(), random.Random(1), 1)
        self.gate = GateTask(self.clock, decider)
        self.gate.set_capacity(SharedCapacity(slots=1, owners=1, connections=1))

    def enter(self, deadline=9.0, **demand):
        return self.gate.enter(deadline, Demand(**demand))

    def fill(self):
        """Start one, return its number and the Deferred of a second one that waits."""
        return get_result(self.enter()), self.enter()


@pytest.fixture
def site():
    return Site()


def get_refusal(waiting):
    with pytest.raises(PoolRefused) as refused:
        get_result(waiting)
    return refused.value.refusal


def test_the_end_of_an_operation_starts_the_next_one(site):
    first, waiting = site.fill()
    assert not waiting.called
    site.gate.finish(first)
    assert get_result(waiting) != first


def test_an_idle_transaction_lets_others_run(site):
    first, waiting = site.fill()
    site.gate.end_statement(first, 0.01, Outcome.ANSWERED)
    assert waiting.called
    site.gate.start_statement(first)
    assert site.gate.get_report().running == 2


def test_cancelling_removes_an_operation_from_the_queue(site):
    first, waiting = site.fill()
    waiting.cancel()
    with pytest.raises(CancelledError):
        get_result(waiting)
    site.gate.finish(first)
    assert site.gate.waiting == 0 and site.gate.get_report().running == 0


def test_the_timer_refuses_an_operation_at_its_deadline(site):
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


def test_an_operation_without_time_left_is_refused_at_once(site):
    assert get_refusal(site.enter(deadline=0.0)).retry_after > 0.0


def test_callbacks_that_cancel_at_once_let_all_others_start(site):
    """As when the database is unreachable: each cancel starts the next operation."""
    first = get_result(site.enter())
    seen = []

    def fail(number):
        seen.append(number)
        site.gate.cancel(number)

    for _ in range(50):
        site.enter().addCallback(fail)
    site.gate.finish(first)
    assert len(seen) == 50 and site.gate.get_report().running == 0


def test_an_operation_cancelled_by_another_ones_callback_does_not_run(site):
    first, waiting = site.fill()
    later = site.enter().addErrback(lambda failure: failure.trap(CancelledError))
    waiting.addCallback(lambda number: later.cancel())
    site.gate.admit_all()
    assert waiting.called and later.called
    site.gate.finish(first)
    assert site.gate.get_report().running == 1


def test_admit_all_starts_all_and_stops_the_timer(site):
    _, waiting = site.fill()
    site.gate.admit_all()
    assert waiting.called and not site.clock.getDelayedCalls()
