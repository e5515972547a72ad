"""A group's runtime ends the back-off of pools when a database is reachable."""

import random

import pytest
from twisted.internet.task import Clock

from beryltrack.connections.messages import PoolRefused, RefusalReason
from beryltrack.connections.pool_policy import PoolPolicy
from beryltrack.connections.task import PoolTask
from beryltrack.groups.view import DatabaseView, GroupView
from beryltrack.requests.runtime import GroupRuntime
from beryltrack.settings.messages import DatabaseSettings, Endpoint, GroupSettings
from tests.connections.fake_target import FakeTarget

DATABASE = DatabaseSettings("d", Endpoint("127.0.0.1", 1), "z", 2, 3, False)
GROUP = GroupSettings("g", "team", (DATABASE,), "u", "", 0.0, 1.0)


class StubTask:
    """Stands for a GroupTask whose view the test sets."""

    def __init__(self):
        self.view = GroupView("g")
        self.callbacks = []

    def subscribe(self, callback):
        self.callbacks.append(callback)

    def show(self, reachable, primary="", **fields):
        database = DatabaseView("d", reachable=reachable, **fields)
        self.view = GroupView("g", 1, primary, databases=(database,))
        for callback in self.callbacks:
            callback(self.view)


def acquire(clock, pool):
    """Return the connection that a pool gives at once; raise a refusal."""
    results = []
    pool.acquire(clock.seconds() + 9.0).addBoth(results.append)
    if isinstance(getattr(results[0], "value", None), PoolRefused):
        raise results[0].value
    return results[0]


def test_a_database_that_becomes_reachable_ends_the_back_off_once():
    clock, target, task = Clock(), FakeTarget(), StubTask()
    policy = PoolPolicy(first_backoff=60.0, max_backoff=60.0)
    rng = random.Random(1)
    pool = PoolTask(clock, DATABASE, target.connect, policy, rng=rng)
    GroupRuntime(clock, GROUP, task, {"d": pool})
    target.failure = OSError("down")
    task.show(True)
    with pytest.raises(PoolRefused):
        acquire(clock, pool)
    target.failure = None
    task.show(True)
    with pytest.raises(PoolRefused):
        acquire(clock, pool)
    task.show(False)
    task.show(True)
    assert acquire(clock, pool) is target.connections[0]


def test_a_request_that_waits_is_refused_as_the_time_of_a_leaving_primary_ends():
    """Guards against a request that was sent here in time and runs long after it."""
    clock, target, task = Clock(), FakeTarget(), StubTask()
    policy, rng = PoolPolicy(refuses_early=False), random.Random(1)
    pool = PoolTask(clock, DATABASE, target.connect, policy, 1, rng)
    GroupRuntime(clock, GROUP, task, {"d": pool})
    task.show(True, "d", leaving=True, works_until=5.0)
    held, refused = acquire(clock, pool), []
    pool.acquire(9.0).addErrback(lambda failure: refused.append(failure.value))
    clock.advance(4.9)
    assert not refused
    clock.advance(0.2)
    assert refused[0].refusal.reason is RefusalReason.LEAVING
    pool.release(held, True)
    with pytest.raises(PoolRefused):
        acquire(clock, pool)


class Replicas(StubTask):
    """Stands for a GroupTask whose members are those of the settings."""

    def set_databases(self, settings):
        views = tuple(DatabaseView(each.name) for each in settings.databases)
        self.view = GroupView("g", 1, "", databases=views)


def test_a_request_that_waits_for_a_removed_database_chooses_among_the_others():
    """Guards against a KeyError that cut off callers whose database was removed."""
    clock, target, task = Clock(), FakeTarget(at_once=False), Replicas()
    two = GROUP._replace(databases=(DATABASE, DATABASE._replace(name="e")))

    def make_pool(group, database):
        return PoolTask(clock, database, target.connect, PoolPolicy(), limit=1)

    pools = {each.name: make_pool(two, each) for each in two.databases}
    runtime = GroupRuntime(clock, two, task, pools)
    names = []
    waiting = pools["d"].acquire(9.0)
    waiting.addErrback(lambda _: names.extend(each[0] for each in runtime.get_loads()))
    runtime.set_databases(GROUP._replace(databases=two.databases[1:]), make_pool)
    assert names == ["e"] and set(runtime.pools) == {"e"}
    assert [each.name for each in runtime.view.databases] == ["e"]
