"""What a connection that rests is worth."""

import random

import pytest

from beryltrack.connections.connection_table import ConnectionTable
from beryltrack.connections.idle_ranking import MAX_ACCOUNTS, AccountRates, IdleRanking
from beryltrack.connections.messages import CloseConnection, OpenConnection
from beryltrack.connections.pool import PoolDecider
from beryltrack.connections.pool_policy import PoolPolicy
from beryltrack.connections.service_estimate import ServiceEstimate

POLICY = PoolPolicy(
    warm=0, idle_timeout=1.0, retained_fraction=0.5, retained_idle_timeout=20.0
)


def make_resting(*accounts, hold=0.02):
    """Return the plan of a pool in which one connection of each account rests."""
    table = ConnectionTable()
    for account in accounts:
        number = table.begin_opening(account, 0.0)
        table.idle[number] = table.opening.pop(number)
    return IdleRanking(table, ServiceEstimate(hold))


def ask(rates, account, gap, until=10.0):
    for turn in range(int(until / gap)):
        rates.observe(account, (turn + 1) * gap)


def test_the_rate_follows_the_gaps():
    rates = AccountRates()
    ask(rates, "often", 0.1)
    assert rates.get_rate("often", 10.0) == pytest.approx(10.0, rel=0.1)


def test_an_account_that_is_silent_is_expected_less_and_less():
    rates = AccountRates()
    ask(rates, "gone", 0.1)
    ask(rates, "there", 2.0)
    assert rates.get_rate("gone", 10.0) > rates.get_rate("there", 10.0)
    assert rates.get_rate("gone", 14.0) == pytest.approx(0.25)


def test_an_account_that_never_asked_is_worth_nothing():
    assert AccountRates().get_rate("none", 1.0) == 0.0


def test_accounts_that_asked_long_ago_are_forgotten():
    rates = AccountRates()
    for number in range(MAX_ACCOUNTS + 1):
        rates.observe(f"a{number}", 1.0)
    assert rates.get_rate("a0", 1.0) == 0.0 and rates.get_rate("a1", 1.0) > 0.0


def test_a_second_connection_is_worth_less_than_another_accounts_first():
    """Few operations of an account come while another one of it runs."""
    resting = make_resting("often", "often", "seldom")
    ask(resting.rates, "often", 0.5)
    ask(resting.rates, "seldom", 2.0)
    # The older one of an account counts as its further one.
    assert resting.rank(POLICY, 10.0) == [1, 3, 2]


def test_a_second_connection_of_a_busy_account_is_worth_a_place():
    resting = make_resting("busy", "busy", "seldom")
    ask(resting.rates, "busy", 0.02)
    ask(resting.rates, "seldom", 2.0)
    assert resting.rank(POLICY, 10.0)[0] == 3


def test_without_a_part_that_is_kept_the_one_that_rested_longest_goes_first():
    resting = make_resting("seldom", "often", "seldom")
    ask(resting.rates, "seldom", 2.0)
    assert resting.rank(POLICY._replace(retained_fraction=0.0), 10.0) == [1, 2, 3]


def count_opened(policy, seed=3):
    """Return how many connections a pool of nine opens for thirty accounts."""
    rng = random.Random(seed)
    pool, opened, now = PoolDecider(policy, 9, rng), 0, 0.0
    names = [f"a{number}" for number in range(30)]
    for number in range(2000):
        now += rng.expovariate(15.0)
        # Some accounts ask far more often than others.
        account = rng.choices(names, [1.0 / (each + 1) for each in range(30)])[0]
        pending = pool.tick(now) + pool.acquire(number, now + 9.0, now, account)
        while pending:
            match pending.pop(0):
                case OpenConnection(connection):
                    opened += 1
                    pending += pool.observe_opened(connection, now)
                case CloseConnection(connection):
                    pending += pool.observe_closed(connection, now)
                case given:
                    pending += pool.release(given.connection, True, now)
    return opened


def test_fewer_connections_are_opened_than_by_the_time_of_rest():
    standing = POLICY._replace(retained_fraction=0.0)
    assert count_opened(POLICY) < 0.8 * count_opened(standing)
