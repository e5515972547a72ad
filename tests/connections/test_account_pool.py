"""A pool whose connections belong to accounts."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from beryltrack.connections.messages import (
    CloseConnection,
    GiveConnection,
    OpenConnection,
    RefuseWaiter,
)
from beryltrack.connections.pool import PoolDecider
from beryltrack.connections.pool_policy import PoolPolicy
from beryltrack.connections.target_capacity import FULL_PERIOD

POLICY = PoolPolicy(warm=0, idle_timeout=5.0, open_delay=0.03, max_wait=1.0)
KEEPING = POLICY._replace(
    idle_timeout=1.0, retained_fraction=0.5, retained_idle_timeout=20.0
)


def make_pool(limit=2, policy=POLICY):
    return PoolDecider(policy, limit, random.Random(1))


@pytest.fixture
def pool():
    return make_pool()


def test_a_connection_is_opened_for_an_account(pool):
    assert pool.acquire(1, 9.0, 0.0, "one") == [OpenConnection(1, "one")]
    assert pool.observe_opened(1, 0.01) == [GiveConnection(1, 1)]


def test_an_idle_connection_of_another_account_is_not_given(pool):
    pool.acquire(1, 9.0, 0.0, "one")
    pool.observe_opened(1, 0.01)
    pool.release(1, True, 0.02)
    assert pool.acquire(2, 9.0, 0.03, "two") == [OpenConnection(2, "two")]
    assert pool.acquire(3, 9.0, 0.03, "one") == [GiveConnection(3, 1)]


def test_a_connection_that_was_opened_for_an_account_is_given_to_it():
    """Closed for a later request of another account it would be reopened endlessly."""
    pool = make_pool(limit=1)
    assert pool.acquire(1, 9.0, 0.0, "one") == [OpenConnection(1, "one")]
    pool.acquire(2, 5.0, 0.001, "two")
    assert pool.observe_opened(1, 0.04) == [GiveConnection(1, 1)]
    assert pool.release(1, True, 0.05) == [CloseConnection(1)]
    assert pool.observe_closed(1, 0.05) == [OpenConnection(2, "two")]
    assert pool.observe_opened(2, 0.09) == [GiveConnection(2, 2)]


def fill(pool, *accounts):
    """Leave one idle connection of each account; the first is idle the longest."""
    for number, account in enumerate(accounts, 1):
        pool.acquire(number, 9.0, number / 100, account)
        pool.observe_opened(number, number / 100)
        pool.release(number, True, number / 100)


def test_at_the_limit_the_connection_that_is_idle_the_longest_is_closed(pool):
    fill(pool, "one", "two")
    assert pool.acquire(3, 9.0, 0.5, "three") == [CloseConnection(1)]
    assert pool.observe_closed(1, 0.5) == [OpenConnection(3, "three")]
    assert pool.open_count == 2


def test_one_idle_connection_is_closed_for_each_waiting_request(pool):
    fill(pool, "one", "two")
    closed = pool.acquire(3, 9.0, 0.5, "three") + pool.acquire(4, 9.0, 0.5, "four")
    assert closed == [CloseConnection(1), CloseConnection(2)]


def test_a_released_connection_serves_its_own_account_first(pool):
    fill(pool, "one", "two")
    pool.acquire(3, 9.0, 0.5, "one")
    pool.acquire(4, 9.0, 0.5, "two")
    assert pool.acquire(5, 5.0, 0.5, "three") == []
    assert pool.acquire(6, 8.0, 0.5, "one") == []
    assert pool.release(1, True, 0.51) == [GiveConnection(6, 1)]


def test_an_account_with_more_connections_cedes_one_to_another(pool):
    """A busy account does not keep all its connections while other accounts wait."""
    assert pool.acquire(1, 9.0, 0.0, "one") == [OpenConnection(1, "one")]
    pool.observe_opened(1, 0.01)
    pool.acquire(2, 9.0, 0.01, "one")
    assert pool.tick(0.05) == [OpenConnection(2, "one")]
    pool.observe_opened(2, 0.06)
    assert pool.acquire(5, 9.0, 0.5, "two") == []
    assert pool.acquire(6, 8.0, 0.5, "one") == []
    assert pool.release(1, True, 0.6) == [CloseConnection(1)]
    assert pool.observe_closed(1, 0.6) == [OpenConnection(3, "two")]
    assert pool.observe_opened(3, 0.62) == [GiveConnection(5, 3)]


def test_an_account_without_a_connection_gets_one(pool):
    """Two busy accounts have one connection each; the third asked before them."""
    pool.acquire(1, 9.0, 0.0, "one")
    pool.observe_opened(1, 0.01)
    pool.acquire(2, 9.0, 0.0, "two")
    pool.observe_opened(2, 0.01)
    pool.acquire(3, 8.0, 0.1, "three")
    pool.acquire(4, 8.5, 0.1, "one")
    assert pool.release(1, True, 0.11) == [GiveConnection(4, 1)]
    pool.acquire(5, 8.6, 0.12, "one")
    assert pool.release(1, True, 0.2) == [CloseConnection(1)]


def test_an_account_without_traffic_keeps_no_connection(pool):
    fill(pool, "one", "two")
    assert pool.tick(20.0) == [CloseConnection(1), CloseConnection(2)]


def test_a_connection_whose_request_was_cancelled_is_kept(pool):
    pool.acquire(1, 9.0, 0.0, "one")
    pool.cancel(1)
    assert pool.observe_opened(1, 0.01) == []
    assert pool.acquire(2, 9.0, 0.02, "one") == [GiveConnection(2, 1)]


def use(pool, number, account, now):
    """Acquire a connection for an account and release it at once."""
    actions = pool.acquire(number, now + 9.0, now, account)
    while actions and not isinstance(actions[-1], GiveConnection):
        match actions[-1]:
            case OpenConnection(connection):
                actions = pool.observe_opened(connection, now)
            case CloseConnection(connection):
                actions = pool.observe_closed(connection, now)
    return pool.release(actions[-1].connection, True, now)


def test_the_account_that_asks_least_often_loses_its_connection():
    """Even if it has just asked and the other connection has been idle for longer."""
    pool = make_pool(2, KEEPING)
    for number in range(10):
        use(pool, number, "often", number / 2)
    use(pool, 20, "seldom", 4.9)
    assert pool.acquire(30, 9.0, 5.0, "third") == [CloseConnection(2)]


def test_a_fraction_of_the_limit_is_retained_for_longer():
    pool = make_pool(2, KEEPING)
    for number in range(10):
        use(pool, number, "often", number / 2)
    use(pool, 20, "seldom", 4.6)
    assert pool.get_wakeup(4.6) == 5.5
    assert pool.tick(5.5) == []
    # The retained fraction is full when the second one has passed the idle timeout.
    assert pool.get_wakeup(5.5) == 5.6
    assert pool.tick(5.6) == [CloseConnection(2)]
    pool.observe_closed(2, 5.6)
    assert pool.get_wakeup(5.6) == 24.5
    assert pool.tick(24.5) == [CloseConnection(1)]


def test_a_smaller_limit_retains_fewer():
    pool = make_pool(4, KEEPING)
    for number, account in enumerate(("one", "two")):
        use(pool, number, account, 0.0)
    assert pool.tick(2.0) == []
    pool.set_limit(2, 2.0)
    assert pool.get_wakeup(2.0) == 2.0
    assert len(pool.tick(2.0)) == 1 and pool.get_wakeup(2.0) == 20.0


def test_retained_connections_leave_capacity_after_a_loss_of_all_power():
    """The target still counts the lost connections, so new ones need free capacity."""
    pool = make_pool(9, KEEPING)
    for number in range(9):
        use(pool, number, f"account-{number}", 0.0)
    assert len(pool.tick(1.0)) == 5


def refuse_second(pool):
    """Leave one account an idle connection; the target refuses another account's."""
    fill(pool, "one")
    assert pool.acquire(2, 9.0, 0.5, "two") == [OpenConnection(2, "two")]
    return pool.observe_open_failed(2, 0.51, is_full=True)


def test_accounts_share_the_connections_that_a_full_target_has_accepted():
    """After a loss of power a target counts the former connections for 3 s.

    Without sharing, the few new ones that it accepts stay with the accounts that had
    them first, mostly idle, while the requests of all other accounts time out.
    """
    pool = make_pool(limit=5)
    assert refuse_second(pool) == [CloseConnection(1)]
    assert pool.observe_closed(1, 0.52) == [OpenConnection(3, "two")]
    assert pool.observe_opened(3, 0.54) == [GiveConnection(2, 3)]
    assert pool.acquire(4, 9.0, 0.55, "one") == []
    pool.tick(0.59)
    assert pool.release(3, True, 0.6) == [CloseConnection(3)]


def test_after_a_refusal_one_connection_is_opened_at_a_time():
    pool = make_pool(limit=5)
    refuse_second(pool)
    pool.observe_closed(1, 0.52)
    pool.observe_opened(3, 0.54)
    for number in range(4, 8):
        pool.acquire(number, 9.0, 0.55, f"account-{number}")
    opened = pool.tick(0.51 + FULL_PERIOD)
    assert opened == [OpenConnection(4, "account-4")]
    # The target has accepted more than before, so it has capacity again.
    more = pool.observe_opened(4, 0.9)
    assert [type(each) for each in more] == [GiveConnection, *[OpenConnection] * 3]


def test_a_refusal_without_accounts_starts_the_back_off():
    pool = make_pool(limit=5)
    pool.acquire(1, 9.0, 0.0)
    pool.observe_opened(1, 0.01)
    pool.acquire(2, 9.0, 0.01)
    assert pool.tick(0.05) == [OpenConnection(2)]
    assert pool.observe_open_failed(2, 0.06, is_full=True) == []
    assert pool.tick(0.06) == []


def test_a_refusal_without_open_connections_refuses_the_requests():
    pool = make_pool(limit=5)
    pool.acquire(1, 9.0, 0.0, "one")
    (refusal,) = pool.observe_open_failed(1, 0.01, is_full=True)
    assert refusal.waiter == 1


class AccountPool(RuleBasedStateMachine):
    """Any order of requests, holds, failures and changes of the limit."""

    POLICY = POLICY

    def __init__(self):
        super().__init__()
        self.now, self.number = 0.0, 0
        self.pool = make_pool(3, self.POLICY)
        self.waiting, self.held, self.opening, self.closing = {}, {}, {}, set()
        self.accounts, self.limit, self.most_open = {}, 3, 0

    def apply(self, actions):
        for action in actions:
            match action:
                case OpenConnection(number, account):
                    self.opening[number] = account
                    self.accounts[number] = account
                    assert len(self.accounts) <= self.limit
                case CloseConnection(number):
                    self.closing.add(number)
                    self.held.pop(number, None)
                case GiveConnection(waiter, number):
                    assert self.waiting.pop(waiter) == self.accounts[number]
                    assert number not in self.held and number not in self.opening
                    self.held[number] = waiter
                case RefuseWaiter(waiter):
                    del self.waiting[waiter]

    @rule(account=st.sampled_from("abcde"), patience=st.floats(0.01, 3.0))
    def ask(self, account, patience):
        self.number += 1
        self.waiting[self.number] = account
        deadline = self.now + patience
        self.apply(self.pool.acquire(self.number, deadline, self.now, account))

    @precondition(lambda self: self.opening)
    @rule(data=st.data(), is_open=st.booleans(), is_full=st.booleans())
    def end_opening(self, data, is_open, is_full):
        number = data.draw(st.sampled_from(sorted(self.opening)))
        del self.opening[number]
        if is_open:
            self.apply(self.pool.observe_opened(number, self.now))
            return
        del self.accounts[number]
        self.apply(self.pool.observe_open_failed(number, self.now, is_full))

    @precondition(lambda self: self.held)
    @rule(data=st.data(), is_reusable=st.booleans())
    def give_back(self, data, is_reusable):
        number = data.draw(st.sampled_from(sorted(self.held)))
        del self.held[number]
        self.apply(self.pool.release(number, is_reusable, self.now))

    @precondition(lambda self: self.closing)
    @rule(data=st.data())
    def end_closing(self, data):
        number = data.draw(st.sampled_from(sorted(self.closing)))
        self.closing.discard(number)
        del self.accounts[number]
        self.apply(self.pool.observe_closed(number, self.now))

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def give_up(self, data):
        waiter = data.draw(st.sampled_from(sorted(self.waiting)))
        del self.waiting[waiter]
        self.pool.cancel(waiter)

    @rule(step=st.floats(0.0, 1.0))
    def pass_time(self, step):
        self.now += step
        self.apply(self.pool.tick(self.now))

    @invariant()
    def no_request_is_forgotten(self):
        """A waiting request has a connection or a timer that will end its wait."""
        if self.waiting and not (self.opening or self.held or self.closing):
            assert self.pool.get_wakeup(self.now) is not None

    @rule()
    def lose_all(self):
        """The database is lost, and with it all open connections."""
        gone = [*self.held, *self.pool.idle_numbers]
        self.held.clear()
        for number in gone:
            del self.accounts[number]
            self.closing.discard(number)
            self.apply(self.pool.observe_closed(number, self.now))


class KeepingPool(AccountPool):
    """The same with some connections retained for longer."""

    POLICY = KEEPING

    def __init__(self):
        super().__init__()
        self.idle_since = {}

    @invariant()
    def few_are_retained_for_longer(self):
        """After a tick no more than the fraction exceed the idle timeout."""
        self.apply(self.pool.tick(self.now))
        before, self.idle_since = self.idle_since, {}
        for number in self.pool.idle_numbers:
            self.idle_since[number] = before.get(number, self.now)
        long = [at for at in self.idle_since.values() if self.now - at > 1.0]
        assert len(long) <= 1
        assert all(self.now - at < 20.0 for at in long)

    @invariant()
    def the_timer_always_advances(self):
        """After a tick without actions the next one is not due at once."""
        actions = self.pool.tick(self.now)
        self.apply(actions)
        if not actions and not self.waiting:
            wakeup = self.pool.get_wakeup(self.now)
            assert wakeup is None or wakeup > self.now


SETTINGS = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
TestAccountPool = AccountPool.TestCase
TestAccountPool.settings = SETTINGS
TestKeepingPool = KeepingPool.TestCase
TestKeepingPool.settings = SETTINGS
