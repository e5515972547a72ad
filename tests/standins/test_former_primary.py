"""Stand-ins of former primaries that continue, and of promotions without a fence.

Such databases can lose acknowledged commits: a former primary accepts writes that no
replica receives, and a late call with a lower fencing token promotes another database.
"""

import random

from twisted.internet.task import Clock

from beryltrack.groups.messages import PRIMARY, REPLICA
from beryltrack_standins.lines.group import STEP_DOWN_DELAY, Group
from beryltrack_standins.lines.store import FencingTokenLog


def make_group():
    clock = Clock()
    group = Group(
        clock, ("a", "b", "c"), random.Random(1), former_primary_continues=True
    )
    group.commit(group.primary, {b"k": b"1"})
    clock.advance(0.1)
    return clock, group, group.databases["a"]


def test_a_former_primary_accepts_writes_that_no_replica_receives():
    clock, group, former = make_group()
    group.promote("b")
    assert group.primary.name == "b" and former.role == PRIMARY
    lost = group.commit(former, {b"k": b"2"})
    clock.advance(STEP_DOWN_DELAY / 2)
    assert group.databases["c"].received.term == 1 and lost.offset == 2
    assert len(group.databases["c"].log) == 1


def test_a_former_primary_steps_down_after_the_delay():
    clock, group, former = make_group()
    group.promote("b")
    lost = group.commit(former, {b"k": b"2"})
    clock.advance(STEP_DOWN_DELAY)
    assert former.role == REPLICA and former.term == 2
    assert lost in group.rolled_back


def test_a_partitioned_former_primary_continues_until_it_is_stepped_down():
    clock, group, former = make_group()
    former.is_partitioned = True
    group.promote("b")
    clock.pump([STEP_DOWN_DELAY] * 3)
    assert former.role == PRIMARY
    group.step_down(former, 2)
    assert former.role == REPLICA


def test_a_lower_token_is_a_breach_only_without_a_fence():
    for is_fenced, breaches in ((True, 0), (False, 1)):
        log = FencingTokenLog(is_fenced)
        for token, holder in ((4, "node-1"), (3, "node-2")):
            log.record_call("main", token, holder)
            log.accept_token("main", token)
        assert len(log.breaches) == breaches


def test_two_holders_of_one_token_are_a_breach():
    log = FencingTokenLog()
    log.record_call("main", 4, "node-1")
    log.record_call("main", 4, "node-2")
    assert len(log.breaches) == 1
