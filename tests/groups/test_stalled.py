"""A stalled primary: it answers, but no replica receives its commits."""

import random

import pytest
from twisted.internet.task import Clock

from beryltrack.failover.decider import FailoverPolicy
from beryltrack.groups.messages import LogPosition
from beryltrack.groups.task import GroupTask
from tests.groups.test_plain import POLICY, PollOnlyDatabases, make_group, run

STALLED_AFTER = 0.5


def start_group():
    clock = Clock()
    databases = PollOnlyDatabases(clock)
    task = GroupTask(
        clock,
        make_group(),
        databases,
        "node",
        random.Random(1),
        POLICY,
        failover_policy=FailoverPolicy(has_authority=True, stalled_after=STALLED_AFTER),
    )
    task.start()
    run(clock, task, 1.0)
    return clock, databases, task


def commit(databases, task, offset, *receivers):
    for name in ("a", *receivers):
        databases.received[name] = offset
    task.confirm(LogPosition(1, offset), 0.8, "a")


def test_a_stalled_primary_is_replaced_while_callers_still_wait():
    clock, databases, task = start_group()
    commit(databases, task, 6)
    run(clock, task, 0.4)
    assert databases.grants == []
    run(clock, task, 0.4)
    assert {name for name, _ in databases.grants} >= {"b", "c"}
    assert task.view.primary in ("b", "c")


@pytest.mark.parametrize("receiver", ["b", "c"])
def test_a_primary_with_one_receiving_replica_is_not_stalled(receiver):
    clock, databases, task = start_group()
    for offset in range(6, 16):
        commit(databases, task, offset, receiver)
        run(clock, task, 0.2)
    assert databases.grants == []


def test_silent_replicas_do_not_prove_a_stall():
    clock, databases, task = start_group()
    databases.silent = {"c"}
    commit(databases, task, 6)
    run(clock, task, 0.9)
    assert databases.grants == []


def test_a_late_receipt_ends_the_stall():
    clock, databases, task = start_group()
    commit(databases, task, 6)
    run(clock, task, 0.3)
    databases.received["b"] = 6
    run(clock, task, 0.2)
    commit(databases, task, 7)
    run(clock, task, 0.3)
    databases.received["c"] = 7
    run(clock, task, 0.6)
    assert databases.grants == []


def test_a_stalled_primary_stays_without_the_policy():
    clock = Clock()
    databases = PollOnlyDatabases(clock)
    task = GroupTask(clock, make_group(), databases, "node", random.Random(1), POLICY)
    task.start()
    run(clock, task, 1.0)
    commit(databases, task, 6)
    run(clock, task, 0.9)
    assert databases.grants == []
