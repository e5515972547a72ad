"""A primary that answers, and whose commits reach no other database."""

import random

import pytest
from twisted.internet.task import Clock

from beryltrack.failover.decider import FailoverPolicy
from beryltrack.groups.messages import LogPosition
from beryltrack.groups.task import GroupTask
from tests.groups.test_plain import POLICY, PlainDatabases, make_group, run

STALLED_AFTER = 0.5


def start_group():
    clock = Clock()
    databases = PlainDatabases(clock)
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


def test_it_is_replaced_while_callers_still_wait():
    clock, databases, task = start_group()
    commit(databases, task, 6)
    run(clock, task, 0.4)
    assert databases.grants == []
    run(clock, task, 0.4)
    assert {name for name, _ in databases.grants} >= {"b", "c"}
    assert task.view.primary in ("b", "c")


@pytest.mark.parametrize("receiver", ["b", "c"])
def test_one_replica_that_receives_is_enough(receiver):
    clock, databases, task = start_group()
    for offset in range(6, 16):
        commit(databases, task, offset, receiver)
        run(clock, task, 0.2)
    assert databases.grants == []


def test_replicas_that_do_not_answer_prove_nothing():
    clock, databases, task = start_group()
    databases.silent = {"c"}
    commit(databases, task, 6)
    run(clock, task, 0.9)
    assert databases.grants == []


def test_a_commit_that_was_received_late_ends_it():
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


def test_without_the_policy_it_goes_on():
    clock = Clock()
    databases = PlainDatabases(clock)
    task = GroupTask(clock, make_group(), databases, "node", random.Random(1), POLICY)
    task.start()
    run(clock, task, 1.0)
    commit(databases, task, 6)
    run(clock, task, 0.9)
    assert databases.grants == []
