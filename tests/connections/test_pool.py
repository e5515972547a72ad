"""The pool's decisions: order of the queue, early refusals, limits and back-off."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from beryltrack.connections.messages import (
    CloseConnection,
    GiveConnection,
    OpenConnection,
    RefusalReason,
    RefuseWaiter,
)
from beryltrack.connections.pool import PoolDecider
from beryltrack.connections.pool_policy import PoolPolicy


def make_pool(limit=1, **policy):
    return PoolDecider(PoolPolicy(**policy), limit, random.Random(1))


def make_busy_pool(hold=0.1, **policy):
    """Return a pool whose one connection is in use since 0; uses take `hold` s."""
    pool = make_pool(**policy)
    pool.acquire(1, 10.0, -hold)
    pool.observe_opened(1, -hold)
    pool.release(1, True, 0.0)
    pool.acquire(2, 10.0, 0.0)
    return pool


def get_refused(actions):
    return [(a.waiter, a.refusal.reason) for a in actions if type(a) is RefuseWaiter]


def test_a_released_connection_serves_the_earliest_deadline():
    pool = make_busy_pool()
    pool.acquire(3, 9.0, 0.0)
    pool.acquire(4, 5.0, 0.0)
    assert pool.release(1, True, 0.1) == [GiveConnection(4, 1)]


def test_a_request_that_would_be_late_is_refused_at_once():
    pool = make_busy_pool(hold=0.1)
    (refusal,) = pool.acquire(3, 0.15, 0.0)
    assert refusal.refusal.reason is RefusalReason.TOO_LATE
    assert refusal.refusal.sqlstate == "53300"
    assert refusal.refusal.retry_after >= 0.1
    assert pool.acquire(4, 0.5, 0.0) == []


def test_a_request_that_an_urgent_one_makes_late_is_refused():
    pool = make_busy_pool(hold=0.1)
    assert pool.acquire(3, 0.45, 0.0) == []
    assert pool.acquire(4, 0.46, 0.0) == []
    assert get_refused(pool.acquire(5, 0.40, 0.0)) == [(4, RefusalReason.TOO_LATE)]


def test_the_queue_is_bounded():
    pool = make_busy_pool(queue_limit=1)
    pool.acquire(3, 9.0, 0.0)
    assert get_refused(pool.acquire(4, 9.0, 0.0)) == [(4, RefusalReason.QUEUE_FULL)]


def test_a_target_that_stopped_answering_is_noticed_before_deadlines_pass():
    pool = make_busy_pool(hold=0.01)
    assert pool.acquire(3, 5.0, 0.0) == []
    assert get_refused(pool.tick(3.0)) == [(3, RefusalReason.TOO_LATE)]


def test_one_long_transaction_does_not_have_other_requests_refused():
    pool = make_pool(limit=3)
    for number in (1, 2, 3):
        pool.acquire(number, 1000.0, 0.0)
        pool.observe_opened(number, 0.0)
    pool.release(2, True, 0.01)
    pool.release(3, True, 0.01)
    pool.acquire(4, 1000.0, 60.0)
    pool.acquire(5, 1000.0, 60.0)
    assert pool.acquire(6, 60.2, 60.0) == []


def test_a_connection_in_an_uncertain_state_is_closed_and_replaced():
    pool = make_busy_pool()
    pool.acquire(3, 9.0, 0.0)
    assert pool.release(1, False, 0.1) == [CloseConnection(1)]
    assert pool.observe_closed(1, 0.1) == [OpenConnection(2)]


def test_a_failed_opening_starts_a_back_off_and_refuses_requests():
    pool = make_pool(first_backoff=1.0, max_backoff=1.0)
    assert pool.acquire(1, 9.0, 0.0) == [OpenConnection(1)]
    (refusal,) = pool.observe_open_failed(1, 0.0)
    assert refusal.refusal.reason is RefusalReason.UNREACHABLE
    assert refusal.refusal.sqlstate == "57P03"
    assert 0.5 <= refusal.refusal.retry_after <= 1.0
    refused = get_refused(pool.acquire(2, 9.0, 0.1))
    assert refused == [(2, RefusalReason.UNREACHABLE)]
    wakeup = pool.get_wakeup(0.1)
    assert pool.tick(wakeup) == [OpenConnection(2)]


def test_openings_that_fail_together_count_once():
    pool = make_pool(limit=4, first_backoff=0.1, max_backoff=60.0)
    for number in range(1, 5):
        pool.acquire(number, 9.0, 0.0)
    for number in range(1, 5):
        pool.observe_open_failed(number, 0.01)
    assert pool.get_wakeup(0.01) is None or pool.get_wakeup(0.01) <= 0.11
    pool.acquire(9, 9.0, 0.2)
    assert len(pool.tick(0.2)) <= 1


def test_an_answer_on_another_connection_ends_the_back_off():
    pool = make_pool(first_backoff=9.0, max_backoff=9.0)
    pool.acquire(1, 99.0, 0.0)
    pool.observe_open_failed(1, 0.0)
    assert pool.tick(1.0) == []
    assert pool.observe_reachable(1.0) == [OpenConnection(2)]


def test_a_lowered_limit_closes_idle_ones_and_waits_for_the_others():
    pool = make_pool(limit=2, warm=2)
    for number in (1, 2):
        pool.acquire(number, 9.0, 0.0)
        pool.observe_opened(number, 0.0)
    pool.release(1, True, 0.1)
    assert pool.set_limit(0, 0.1) == [CloseConnection(1)]
    assert pool.release(2, True, 0.2) == [CloseConnection(2)]


def test_an_expired_share_closes_connections_in_use():
    pool = make_busy_pool()
    assert pool.enforce_limit(0) == [CloseConnection(1)]


def test_without_a_share_requests_wait_a_bounded_time():
    pool = make_pool(limit=0, share_wait=0.2)
    assert pool.acquire(1, 9.0, 0.0) == []
    assert pool.tick(0.1) == []
    assert get_refused(pool.tick(0.3)) == [(1, RefusalReason.NO_SHARE)]


def test_idle_connections_are_reaped_but_for_the_warm_ones():
    pool = make_pool(limit=3, warm=1, idle_timeout=5.0)
    for number in (1, 2):
        pool.acquire(number, 9.0, 0.0)
        pool.observe_opened(number, 0.0)
        pool.release(number, True, float(number))
        pool.acquire(number + 10, 9.0, float(number)) if number == 1 else None
    pool.release(1, True, 3.0)
    assert pool.tick(6.9) == []
    assert pool.tick(pool.get_wakeup(6.9)) == [CloseConnection(2)]
    assert pool.get_wakeup(9.0) is None


def test_a_draining_pool_refuses_and_ends_when_all_connections_are_released():
    pool = make_busy_pool()
    pool.acquire(3, 9.0, 0.0)
    assert get_refused(pool.drain(0.0)) == [(3, RefusalReason.LEAVING)]
    assert get_refused(pool.acquire(4, 9.0, 0.0)) == [(4, RefusalReason.LEAVING)]
    assert pool.release(1, True, 0.1) == [CloseConnection(1)]
    assert not pool.is_drained
    pool.observe_closed(1, 0.2)
    assert pool.is_drained
    assert pool.get_wakeup(0.2) is None


class PoolMachine(RuleBasedStateMachine):
    """Any order of events: one holder per connection, one answer per waiter."""

    def __init__(self):
        super().__init__()
        self.pool = make_pool(limit=3, queue_limit=4)
        self.now = 0.0
        self.waiting, self.opening = set(), set()
        self.idle, self.held, self.closing = set(), {}, set()
        self.number = 0

    def apply(self, actions):
        for action in actions:
            match action:
                case GiveConnection(waiter, connection):
                    self.waiting.remove(waiter)
                    self.idle.remove(connection)
                    self.held[connection] = waiter
                case RefuseWaiter(waiter, _):
                    self.waiting.remove(waiter)
                case OpenConnection(connection):
                    self.opening.add(connection)
                    assert self.count() <= self.pool.limit
                case CloseConnection(connection):
                    self.idle.discard(connection)
                    self.held.pop(connection, None)
                    self.closing.add(connection)

    def count(self):
        return sum(map(len, (self.opening, self.idle, self.held, self.closing)))

    @rule(patience=st.sampled_from([0.001, 0.05, 1.0, 60.0]))
    def acquire(self, patience):
        self.number += 1
        self.waiting.add(self.number)
        self.apply(self.pool.acquire(self.number, self.now + patience, self.now))

    @precondition(lambda self: self.opening)
    @rule(works=st.booleans())
    def finish_open(self, works):
        number = self.opening.pop()
        if works:
            self.idle.add(number)
            self.apply(self.pool.observe_opened(number, self.now))
        else:
            self.apply(self.pool.observe_open_failed(number, self.now))

    @precondition(lambda self: self.held)
    @rule(is_reusable=st.booleans())
    def release(self, is_reusable):
        number = next(iter(self.held))
        del self.held[number]
        self.idle.add(number)
        self.apply(self.pool.release(number, is_reusable, self.now))

    @precondition(lambda self: self.closing)
    @rule()
    def finish_close(self):
        self.apply(self.pool.observe_closed(self.closing.pop(), self.now))

    @precondition(lambda self: self.waiting)
    @rule()
    def cancel(self):
        self.pool.cancel(self.waiting.pop())

    @rule(limit=st.integers(0, 4))
    def set_limit(self, limit):
        self.apply(self.pool.set_limit(limit, self.now))

    @rule(step=st.sampled_from([0.01, 0.3, 40.0]))
    def wait(self, step):
        self.now += step
        self.apply(self.pool.tick(self.now))

    @invariant()
    def counts_agree(self):
        load = self.pool.get_load(self.now)
        assert load.open == self.count()
        assert load.in_use == len(self.held)
        assert load.waiting == len(self.waiting)

    @invariant()
    def no_request_waits_beside_an_idle_connection(self):
        assert not (self.idle and self.waiting)


PoolMachine.TestCase.settings = settings(
    derandomize=True, max_examples=30, stateful_step_count=30, deadline=None
)
TestPoolMachine = PoolMachine.TestCase


def test_one_very_long_use_does_not_have_all_requests_refused():
    pool = make_pool()
    pool.acquire(1, 100.0, 0.0)
    pool.observe_opened(1, 0.0)
    pool.release(1, True, 60.0)
    assert pool.acquire(2, 62.0, 60.0) == [GiveConnection(2, 1)]
    assert get_refused(pool.acquire(3, 62.0, 60.0)) == [(3, RefusalReason.TOO_LATE)]


def test_another_connection_is_opened_only_for_a_request_that_has_waited():
    pool = make_pool(limit=2, open_delay=0.03)
    pool.acquire(1, 10.0, 0.0)
    pool.observe_opened(1, 0.0)
    assert pool.acquire(2, 10.0, 1.0) == []
    assert pool.get_wakeup(1.0) == 1.03
    assert pool.tick(1.02) == []
    assert pool.tick(1.03) == [OpenConnection(2)]
    assert pool.tick(1.04) == []


def test_a_request_that_gets_a_connection_in_time_opens_none():
    pool = make_pool(limit=2, open_delay=0.03)
    pool.acquire(1, 10.0, 0.0)
    pool.observe_opened(1, 0.0)
    pool.acquire(2, 10.0, 1.0)
    assert pool.release(1, True, 1.01) == [GiveConnection(2, 1)]
    assert pool.tick(1.5) == []


def test_without_any_connection_one_is_opened_at_once():
    pool = make_pool(limit=2, open_delay=0.03)
    assert pool.acquire(1, 10.0, 0.0) == [OpenConnection(1)]


def test_a_short_request_of_the_proxy_does_not_change_the_hold_time():
    pool = make_pool(limit=1)
    pool.acquire(1, 10.0, 0.0)
    pool.observe_opened(1, 0.0)
    pool.release(1, True, 0.1)
    hold = pool.get_load(0.1).hold_time
    assert pool.acquire_briefly(2, 0.2) == [GiveConnection(2, 1)]
    pool.acquire(3, 10.0, 0.2)
    assert pool.release(1, True, 5.0) == [GiveConnection(3, 1)]
    assert pool.get_load(5.0).hold_time == hold


def test_a_short_request_goes_before_those_of_callers_and_opens_nothing():
    pool = make_busy_pool()
    pool.acquire(3, 9.0, 0.0)
    assert pool.acquire_briefly(4, 0.0) == []
    assert pool.release(1, True, 0.1) == [GiveConnection(4, 1)]
    assert pool.release(1, True, 0.2) == [GiveConnection(3, 1)]


def test_a_cancelled_short_request_gets_no_connection():
    pool = make_busy_pool()
    pool.acquire_briefly(3, 0.0)
    pool.cancel(3)
    assert pool.release(1, True, 0.1) == []


def test_a_changed_policy_applies_to_the_next_request():
    pool = make_pool(limit=2, open_delay=0.03)
    pool.acquire(1, 10.0, 0.0)
    pool.observe_opened(1, 0.0)
    assert pool.acquire(2, 10.0, 1.0) == []
    pool.set_policy(PoolPolicy())
    assert pool.acquire(3, 10.0, 1.0) == [OpenConnection(2)]


def test_without_deadline_order_the_first_request_is_served_first():
    pool = make_busy_pool(by_deadline=False)
    pool.acquire(3, 9.0, 0.0)
    pool.acquire(4, 5.0, 0.0)
    given = [
        each for each in pool.release(1, True, 0.1) if type(each) is GiveConnection
    ]
    assert [each.waiter for each in given] == [3]


def test_without_early_refusals_a_request_waits_until_its_deadline():
    for refuses_early, refused_at_once in ((True, True), (False, False)):
        pool = make_busy_pool(hold=1.0, refuses_early=refuses_early)
        refused = get_refused(pool.acquire(3, 0.4, 0.0))
        assert bool(refused) is refused_at_once
    assert get_refused(pool.tick(0.3)) == []
    assert get_refused(pool.tick(0.5)) == [(3, RefusalReason.TOO_LATE)]


def test_a_slow_opening_is_not_a_full_queue():
    """An opening that takes longer than `max_wait` refuses no request."""
    pool = PoolDecider(PoolPolicy(warm=0, max_wait=0.25), 9, random.Random(1))
    for number, now in ((1, 0.0), (2, 10.0)):
        assert pool.acquire(number, now + 9.0, now) == [OpenConnection(number)]
        pool.observe_opened(number, now + 1.0)
        pool.release(number, False, now + 1.1)
        pool.observe_closed(number, now + 1.1)
