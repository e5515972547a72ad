"""The ranking of idle connections by the openings that they save."""

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


def make_ranking(*accounts, hold=0.02):
    """Return the ranking of a pool with one idle connection for each account given."""
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


def test_the_rate_of_a_silent_account_declines():
    rates = AccountRates()
    ask(rates, "gone", 0.1)
    ask(rates, "there", 2.0)
    assert rates.get_rate("gone", 10.0) > rates.get_rate("there", 10.0)
    assert rates.get_rate("gone", 14.0) == pytest.approx(0.25)


def test_the_rate_of_an_unknown_account_is_zero():
    assert AccountRates().get_rate("none", 1.0) == 0.0


def test_the_accounts_that_asked_longest_ago_are_removed():
    rates = AccountRates()
    for number in range(MAX_ACCOUNTS + 1):
        rates.observe(f"a{number}", 1.0)
    assert rates.get_rate("a0", 1.0) == 0.0 and rates.get_rate("a1", 1.0) > 0.0


def test_a_second_connection_ranks_below_the_first_of_another_account():
    """Few operations of an account arrive while another one of it runs."""
    ranking = make_ranking("often", "often", "seldom")
    ask(ranking.rates, "often", 0.5)
    ask(ranking.rates, "seldom", 2.0)
    # Of an account's two connections the one idle for longer counts as the second.
    assert ranking.rank(POLICY, 10.0) == [1, 3, 2]


def test_a_second_connection_of_a_busy_account_can_rank_above_a_first():
    ranking = make_ranking("busy", "busy", "seldom")
    ask(ranking.rates, "busy", 0.02)
    ask(ranking.rates, "seldom", 2.0)
    assert ranking.rank(POLICY, 10.0)[0] == 3


def test_without_a_retained_fraction_the_longest_idle_is_first():
    ranking = make_ranking("seldom", "often", "seldom")
    ask(ranking.rates, "seldom", 2.0)
    assert ranking.rank(POLICY._replace(retained_fraction=0.0), 10.0) == [1, 2, 3]


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


def test_fewer_connections_are_opened_than_in_the_order_of_idle_time():
    standing = POLICY._replace(retained_fraction=0.0)
    assert count_opened(POLICY) < 0.8 * count_opened(standing)
