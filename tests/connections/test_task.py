"""The pool's task: Deferreds, timers and broken connections."""

import random

import pytest
from twisted.internet.defer import CancelledError
from twisted.internet.task import Clock

from beryltrack.connections.messages import ConnectRefused, PoolRefused
from beryltrack.connections.task import PoolTask
from beryltrack.load.messages import Demand
from beryltrack.settings.messages import DatabaseSettings, Endpoint
from tests.connections.fake_target import FakeTarget

DATABASE = DatabaseSettings("a", Endpoint("127.0.0.1", 5432), "z1", 1, 3, False)


@pytest.fixture
def site():
    clock, target = Clock(), FakeTarget()
    pool = PoolTask(clock, DATABASE, target.connect, rng=random.Random(1))
    return clock, target, pool


def get_result(deferred):
    """Return what a Deferred fired with; a failure is raised."""
    results, failures = [], []
    deferred.addCallbacks(results.append, failures.append)
    for failure in failures:
        failure.raiseException()
    return results[0] if results else None


def test_a_released_connection_serves_the_next_request(site):
    _, target, pool = site
    first = get_result(pool.acquire(10.0))
    second = pool.acquire(10.0)
    assert get_result(second) is None
    pool.release(first, True)
    assert second.called and len(target.connections) == 1


def test_a_broken_connection_is_not_reused(site):
    _, target, pool = site
    first = get_result(pool.acquire(10.0))
    first.broken = True
    pool.release(first, True)
    assert get_result(pool.acquire(10.0)) is target.connections[1]


def test_a_connection_that_the_target_closes_is_replaced(site):
    _, target, pool = site
    first = get_result(pool.acquire(10.0))
    pool.release(first, True)
    first.close()
    assert get_result(pool.acquire(10.0)) is not first


def test_a_cancelled_request_leaves_the_queue(site):
    _, _, pool = site
    first = get_result(pool.acquire(10.0))
    second, third = pool.acquire(10.0), pool.acquire(10.0)
    second.addErrback(lambda failure: failure.trap(CancelledError))
    second.cancel()
    pool.release(first, True)
    assert third.called and pool.load.waiting == 0


def test_a_release_inside_a_callback_is_safe(site):
    _, _, pool = site
    first = get_result(pool.acquire(10.0))
    served = []
    for number in range(3):
        waiting = pool.acquire(10.0)
        waiting.addCallback(lambda c, n=number: (served.append(n), pool.release(c, 1)))
    pool.release(first, True)
    assert served == [0, 1, 2]


def test_a_refused_open_is_retried_after_the_back_off(site):
    clock, target, pool = site
    target.failure = ConnectRefused("53300")
    with pytest.raises(PoolRefused):
        get_result(pool.acquire(10.0))
    target.failure = None
    clock.advance(0.1)
    assert get_result(pool.acquire(10.0)) is target.connections[0]


def test_a_drain_fires_when_all_connections_are_closed(site):
    clock, target, pool = site
    first = get_result(pool.acquire(10.0))
    done = pool.drain()
    assert not done.called
    pool.release(first, True)
    assert done.called and target.open_count == 0
    assert clock.getDelayedCalls() == []


def test_an_idle_connection_that_is_retired_closes(site):
    _, target, pool = site
    first = get_result(pool.acquire(10.0))
    pool.release(first, True)
    pool.retire(lambda connection: connection is first)
    assert first.closed.called
    assert get_result(pool.acquire(10.0)) is target.connections[1]


def test_a_retired_connection_in_use_closes_when_it_is_released(site):
    _, _, pool = site
    first = get_result(pool.acquire(10.0))
    pool.retire(lambda connection: connection is first)
    assert not first.closed.called
    pool.release(first, True)
    assert first.closed.called


def test_a_stale_connection_that_opens_later_is_used_once(site):
    _, target, pool = site
    pool.retire(lambda connection: connection is target.connections[0])
    first = get_result(pool.acquire(10.0))
    pool.release(first, True)
    assert first.closed.called


def test_a_short_request_gets_the_first_connection_or_none_in_time(site):
    clock, target, pool = site
    held = get_result(pool.acquire(10.0))
    brief = pool.acquire_briefly(0.025, 0.15)
    clock.advance(0.02)
    pool.release(held, True)
    assert get_result(brief) is held
    again = pool.acquire_briefly(0.025, 0.15)
    clock.advance(0.03)
    assert again.called and get_result(again) is None
    pool.release(held, True)
    assert get_result(pool.acquire(10.0)) is held


@pytest.mark.parametrize(("sqlstate", "closes"), [("53300", True), ("57P03", False)])
def test_an_idle_connection_is_closed_if_the_target_is_full(sqlstate, closes):
    clock, target = Clock(), FakeTarget()
    pool = PoolTask(clock, DATABASE, target.connect, limit=5, rng=random.Random(1))
    first = get_result(pool.acquire(10.0, Demand(account="one")))
    pool.release(first, True)
    target.failure = ConnectRefused(sqlstate)
    pool.acquire(10.0, Demand(account="two")).addErrback(lambda _: None)
    assert first.closed.called is closes
