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
    """Closed for another one, which came later, it would be opened anew for ever."""
    pool = make_pool(limit=1)
    assert pool.acquire(1, 9.0, 0.0, "one") == [OpenConnection(1, "one")]
    pool.acquire(2, 5.0, 0.001, "two")
    assert pool.observe_opened(1, 0.04) == [GiveConnection(1, 1)]
    assert pool.release(1, True, 0.05) == [CloseConnection(1)]
    assert pool.observe_closed(1, 0.05) == [OpenConnection(2, "two")]
    assert pool.observe_opened(2, 0.09) == [GiveConnection(2, 2)]


def fill(pool, *accounts):
    """Leave one idle connection of each account, the first one idle for longest."""
    for number, account in enumerate(accounts, 1):
        pool.acquire(number, 9.0, number / 100, account)
        pool.observe_opened(number, number / 100)
        pool.release(number, True, number / 100)


def test_where_none_may_be_opened_the_one_that_rested_longest_goes(pool):
    fill(pool, "one", "two")
    assert pool.acquire(3, 9.0, 0.5, "three") == [CloseConnection(1)]
    assert pool.observe_closed(1, 0.5) == [OpenConnection(3, "three")]
    assert pool.open_count == 2


def test_one_is_closed_for_each_that_waits(pool):
    fill(pool, "one", "two")
    closed = pool.acquire(3, 9.0, 0.5, "three") + pool.acquire(4, 9.0, 0.5, "four")
    assert closed == [CloseConnection(1), CloseConnection(2)]


def test_a_connection_that_comes_back_serves_its_own_account_first(pool):
    fill(pool, "one", "two")
    pool.acquire(3, 9.0, 0.5, "one")
    pool.acquire(4, 9.0, 0.5, "two")
    assert pool.acquire(5, 5.0, 0.5, "three") == []
    assert pool.acquire(6, 8.0, 0.5, "one") == []
    assert pool.release(1, True, 0.51) == [GiveConnection(6, 1)]


def test_an_account_with_more_connections_gives_one_up_to_another(pool):
    """A busy account takes no connection for ever from those that wait for one."""
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


def test_an_account_that_has_none_gets_its_turn(pool):
    """Two busy accounts with one connection each, and a third that asked before."""
    pool.acquire(1, 9.0, 0.0, "one")
    pool.observe_opened(1, 0.01)
    pool.acquire(2, 9.0, 0.0, "two")
    pool.observe_opened(2, 0.01)
    pool.acquire(3, 8.0, 0.1, "three")
    pool.acquire(4, 8.5, 0.1, "one")
    assert pool.release(1, True, 0.11) == [GiveConnection(4, 1)]
    pool.acquire(5, 8.6, 0.12, "one")
    assert pool.release(1, True, 0.2) == [CloseConnection(1)]


def test_an_account_without_traffic_holds_no_connection(pool):
    fill(pool, "one", "two")
    assert pool.tick(20.0) == [CloseConnection(1), CloseConnection(2)]


def test_a_connection_for_which_nobody_waits_any_more_is_kept(pool):
    pool.acquire(1, 9.0, 0.0, "one")
    pool.cancel(1)
    assert pool.observe_opened(1, 0.01) == []
    assert pool.acquire(2, 9.0, 0.02, "one") == [GiveConnection(2, 1)]


def use(pool, number, account, now):
    """Have an account ask and give back at once what it gets."""
    actions = pool.acquire(number, now + 9.0, now, account)
    while actions and not isinstance(actions[-1], GiveConnection):
        match actions[-1]:
            case OpenConnection(connection):
                actions = pool.observe_opened(connection, now)
            case CloseConnection(connection):
                actions = pool.observe_closed(connection, now)
    return pool.release(actions[-1].connection, True, now)


def test_the_account_that_asks_least_often_gives_up_its_connection():
    """Though it has just asked, and the other one rested for longer."""
    pool = make_pool(2, KEEPING)
    for number in range(10):
        use(pool, number, "often", number / 2)
    use(pool, 20, "seldom", 4.9)
    assert pool.acquire(30, 9.0, 5.0, "third") == [CloseConnection(2)]


def test_a_part_of_the_limit_rests_for_long():
    pool = make_pool(2, KEEPING)
    for number in range(10):
        use(pool, number, "often", number / 2)
    use(pool, 20, "seldom", 4.6)
    assert pool.get_wakeup(4.6) == 5.5
    assert pool.tick(5.5) == []
    # The part is full once the second one has rested for the short time.
    assert pool.get_wakeup(5.5) == 5.6
    assert pool.tick(5.6) == [CloseConnection(2)]
    pool.observe_closed(2, 5.6)
    assert pool.get_wakeup(5.6) == 24.5
    assert pool.tick(24.5) == [CloseConnection(1)]


def test_a_smaller_limit_keeps_fewer():
    pool = make_pool(4, KEEPING)
    for number, account in enumerate(("one", "two")):
        use(pool, number, account, 0.0)
    assert pool.tick(2.0) == []
    pool.set_limit(2, 2.0)
    assert pool.get_wakeup(2.0) == 2.0
    assert len(pool.tick(2.0)) == 1 and pool.get_wakeup(2.0) == 20.0


def test_after_a_loss_of_all_power_there_is_room():
    """What rests for long leaves a part of the limit to those that are opened anew."""
    pool = make_pool(9, KEEPING)
    for number in range(9):
        use(pool, number, f"account-{number}", 0.0)
    assert len(pool.tick(1.0)) == 5


def refuse_second(pool):
    """Leave one idle connection of one account; the target refuses another one's."""
    fill(pool, "one")
    assert pool.acquire(2, 9.0, 0.5, "two") == [OpenConnection(2, "two")]
    return pool.observe_open_failed(2, 0.51, is_full=True)


def test_accounts_take_turns_with_what_a_full_target_has_taken():
    """After a loss of power it counted the connections of before for 3 s.

    The few that it took stayed with the accounts that had them first, at rest for most
    of the time, while the requests of all others waited in vain.
    """
    pool = make_pool(limit=5)
    assert refuse_second(pool) == [CloseConnection(1)]
    assert pool.observe_closed(1, 0.52) == [OpenConnection(3, "two")]
    assert pool.observe_opened(3, 0.54) == [GiveConnection(2, 3)]
    assert pool.acquire(4, 9.0, 0.55, "one") == []
    pool.tick(0.59)
    assert pool.release(3, True, 0.6) == [CloseConnection(3)]


def test_a_full_target_is_asked_for_one_connection_at_a_time_then():
    pool = make_pool(limit=5)
    refuse_second(pool)
    pool.observe_closed(1, 0.52)
    pool.observe_opened(3, 0.54)
    for number in range(4, 8):
        pool.acquire(number, 9.0, 0.55, f"account-{number}")
    opened = pool.tick(0.51 + FULL_PERIOD)
    assert opened == [OpenConnection(4, "account-4")]
    # It has taken more than before: there is room again.
    more = pool.observe_opened(4, 0.9)
    assert [type(each) for each in more] == [GiveConnection, *[OpenConnection] * 3]


def test_a_full_target_without_accounts_is_left_alone_for_a_while():
    pool = make_pool(limit=5)
    pool.acquire(1, 9.0, 0.0)
    pool.observe_opened(1, 0.01)
    pool.acquire(2, 9.0, 0.01)
    assert pool.tick(0.05) == [OpenConnection(2)]
    assert pool.observe_open_failed(2, 0.06, is_full=True) == []
    assert pool.tick(0.06) == []


def test_a_target_that_takes_none_is_left_alone_for_a_while():
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
        """Whoever waits is served, refused, or has something that will wake it."""
        if self.waiting and not (self.opening or self.held or self.closing):
            assert self.pool.get_wakeup(self.now) is not None

    @rule()
    def lose_all(self):
        """The database is lost: what was open is gone."""
        gone = [*self.held, *self.pool.idle_numbers]
        self.held.clear()
        for number in gone:
            del self.accounts[number]
            self.closing.discard(number)
            self.apply(self.pool.observe_closed(number, self.now))


class KeepingPool(AccountPool):
    """The same where some connections rest for long."""

    POLICY = KEEPING

    def __init__(self):
        super().__init__()
        self.resting = {}

    @invariant()
    def few_rest_for_long(self):
        """No more than their part, as soon as time has been looked at."""
        self.apply(self.pool.tick(self.now))
        before, self.resting = self.resting, {}
        for number in self.pool.idle_numbers:
            self.resting[number] = before.get(number, self.now)
        long = [at for at in self.resting.values() if self.now - at > 1.0]
        assert len(long) <= 1
        assert all(self.now - at < 20.0 for at in long)

    @invariant()
    def the_timer_never_stands_still(self):
        """After what was due is done, nothing is due at once again."""
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
