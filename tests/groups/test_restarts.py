"""Databases that start again empty, under the identifier that they had.

What was known of such a database is not true of it any more: the position that it had
received, the term that it had promised, the term that it led. Commits are acknowledged
by a majority that received them, and a primary is elected by a majority: one that
forgets belongs to both, and the two must still meet.
"""

import random

import pytest
from returns.result import Failure, Success
from twisted.internet.task import Clock

from beryltrack.failover.decider import FailoverPolicy
from beryltrack.groups.adapter import PromoteReply
from beryltrack.groups.messages import (
    PRIMARY,
    REPLICA,
    ControlFailure,
    LeadershipProof,
    LogPosition,
)
from beryltrack.groups.task import GroupTask
from beryltrack.groups.view import get_database
from beryltrack.transactions.decider import CommitOutcome
from tests.groups.test_plain import POLICY, PlainDatabases, make_group, run


class ForgetfulDatabases(PlainDatabases):
    """Databases that can start again with nothing; each name is one start."""

    def __init__(self, clock):
        super().__init__(clock)
        self.promoted = []

    def restart_empty(self, name, again=None):
        """Start a database again, under another name if the store tells of it."""
        again = again or name
        for table in (self.roles, self.terms, self.received, self.asked):
            table[again] = table.pop(name)
        self.roles[again], self.terms[again], self.received[again] = REPLICA, 0, 0
        self.held.discard(name)
        self.silent.discard(name)

    def lead(self, offset):
        """Let the primary commit up to an offset and all that hear it receive."""
        primary = next(name for name, role in self.roles.items() if role == PRIMARY)
        for name in self.received:
            if name not in self.silent | self.held:
                self.received[name] = offset
                self.terms[name] = self.terms[primary]

    def make_status(self, name):
        return super().make_status(name) if name in self.roles else None

    async def answer(self, name, make):
        result = await super().answer(name, make)
        if name in self.roles:
            return result
        return Failure(ControlFailure(name, "the database is no member any more"))

    async def get_status(self, name):
        self.asked.setdefault(name, 0)
        return await super().get_status(name)

    async def grant(self, name, term, candidate, lost_after):
        if name not in self.roles:
            return await self.answer(name, lambda: None)
        return await super().grant(name, term, candidate, lost_after)

    async def promote(self, name, term, candidate, token):
        self.promoted.append(name)
        self.roles = dict.fromkeys(self.roles, REPLICA) | {name: PRIMARY}
        self.terms[name] = term
        self.held.discard(name)
        return await self.answer(
            name, lambda: Success(PromoteReply(True, self.make_status(name)))
        )

    async def release(self, name):
        self.held.discard(name)
        return await self.answer(name, lambda: Success(self.make_status(name)))


class Permits:
    """Gives every permit at once."""

    keeps_permits = True

    def holds(self, group):
        return True

    def drop(self, group):
        pass

    async def prepare(self, group):
        pass

    async def acquire(self, group, renew):
        return Success(Permit())


class Permit:
    """A permit."""

    token = 1


class Site:
    """One instance, the first in rank, and its group of three."""

    def __init__(self):
        self.clock = Clock()
        self.databases = ForgetfulDatabases(self.clock)
        self.task = None
        self.start()

    def start(self, seconds=1.0):
        """Start the instance, which knows nothing of before, and let it look."""
        if self.task is not None:
            self.task.stop()
        self.task = GroupTask(
            self.clock,
            make_group(),
            self.databases,
            "node",
            random.Random(1),
            POLICY,
            authority=Permits(),
            failover_policy=FailoverPolicy(has_authority=True),
            proof=LeadershipProof.SELF_REPORT,
        )
        self.task.start()
        self.run(seconds)

    def run(self, seconds):
        run(self.clock, self.task, seconds)

    def ask(self, *names):
        for name in names:
            self.task.wake(name)
        self.run(0.05)

    def confirm(self, offset):
        answer = self.task.confirm(LogPosition(1, offset), 0.5, "a")
        self.run(0.6)
        return answer.result

    def tell(self, *names):
        """Let the store tell who the members are."""
        self.task.set_databases(make_group(names))
        self.run(0.05)

    @property
    def view(self):
        return self.task.view

    @property
    def promoted(self):
        return self.databases.promoted


def test_a_position_that_falls_back_is_taken_in():
    site = Site()
    site.ask("c")
    site.databases.restart_empty("c")
    site.ask("c")
    item = get_database(site.view, "c")
    assert (item.term, item.received) == (0, LogPosition(1, 0)._replace(term=0))


def test_a_commit_is_not_confirmed_by_what_an_earlier_incarnation_received():
    site = Site()
    site.databases.received |= {"a": 9, "c": 9}
    site.ask("a", "c")
    site.databases.restart_empty("c")
    site.ask("c")
    assert site.confirm(8) is CommitOutcome.UNKNOWN
    site.databases.received["b"] = 9
    assert site.confirm(8) is CommitOutcome.CONFIRMED


def test_nor_after_the_store_has_told_of_the_start():
    site = Site()
    site.databases.received |= {"a": 9, "c": 9}
    site.ask("a", "c")
    site.databases.restart_empty("c", "c@2")
    site.tell("a", "b", "c@2")
    assert site.confirm(8) is CommitOutcome.UNKNOWN


def test_an_empty_member_counts_once_it_has_received_what_the_primary_had():
    site = Site()
    site.databases.restart_empty("c")
    site.ask("c", "a")
    site.databases.received |= {"a": 9, "c": 9}
    site.databases.terms["c"] = 1
    site.ask("a", "c", "c")
    assert site.confirm(8) is CommitOutcome.CONFIRMED


def test_a_primary_that_comes_back_empty_leads_no_more():
    site = Site()
    site.ask("a", "b", "c")
    site.databases.restart_empty("a")
    site.run(3.0)
    assert site.promoted and site.promoted[0] in "bc"
    assert site.view.primary == site.promoted[0]


def test_nobody_is_elected_beside_an_empty_member_without_what_it_had():
    """It may have been the only one beside the primary that had received a commit."""
    site = Site()
    site.databases.received |= {"a": 9, "c": 9}
    site.ask("a", "b", "c")
    site.databases.silent.add("a")
    site.databases.restart_empty("c", "c@2")
    site.tell("a", "b", "c@2")
    site.run(5.0)
    assert site.promoted == []
    # The primary comes back with its log.
    site.databases.silent.discard("a")
    site.run(1.0)
    assert site.view.primary == "a"


def test_one_that_has_received_all_is_elected_beside_an_empty_member():
    site = Site()
    site.databases.restart_empty("c", "c@2")
    site.tell("a", "b", "c@2")
    site.ask("a", "b")
    site.databases.silent.add("a")
    site.run(3.0)
    assert site.promoted == ["b"]


def test_the_longest_is_elected_once_the_primary_is_a_member_no_more():
    site = Site()
    site.databases.received |= {"a": 9, "c": 9}
    site.ask("a", "b", "c")
    site.databases.silent.add("a")
    site.databases.restart_empty("c", "c@2")
    site.tell("a", "b", "c@2")
    site.run(3.0)
    assert site.promoted == []
    site.tell("b", "c@2")
    site.run(3.0)
    assert site.promoted == ["b"]


@pytest.mark.parametrize("silent", ["b", "c@2"])
def test_but_not_while_a_member_is_silent(silent):
    site = Site()
    site.ask("a", "b", "c")
    site.databases.restart_empty("c", "c@2")
    site.databases.restart_empty("a", "a@2")
    site.databases.silent.add(silent)
    site.tell("a@2", "b", "c@2")
    site.run(4.0)
    assert site.promoted == []


def test_two_empty_members_elect_nobody_while_the_primary_may_come_back():
    site = Site()
    site.ask("a", "b", "c")
    site.databases.silent.add("a")
    site.databases.restart_empty("b", "b@2")
    site.databases.restart_empty("c", "c@2")
    site.tell("a", "b@2", "c@2")
    site.run(5.0)
    assert site.promoted == []


def test_a_group_that_is_empty_as_a_whole_gets_a_primary():
    site = Site()
    site.ask("a", "b", "c")
    for name in "abc":
        site.databases.restart_empty(name, f"{name}@2")
    site.tell("a@2", "b@2", "c@2")
    site.run(3.0)
    assert len(site.promoted) == 1


def test_a_group_gets_a_primary_that_no_instance_has_seen_led():
    """All instances started while its primary was down, which came back empty."""
    site = Site()
    site.databases.restart_empty("a")
    site.start(0.1)
    for name in "bc":
        site.databases.restart_empty(name, f"{name}@2")
    site.tell("a", "b@2", "c@2")
    site.run(3.0)
    assert len(site.promoted) == 1


def test_an_instance_that_started_since_elects_nobody_beside_an_empty_member():
    """It was not told of the start; the third member may have what was lost."""
    site = Site()
    site.databases.received |= {"a": 9, "c": 9}
    site.databases.silent.add("a")
    site.databases.restart_empty("c")
    site.start(3.0)
    assert site.promoted == []
    site.databases.silent.discard("a")
    site.run(1.0)
    assert site.view.primary == "a"


def test_one_that_started_again_since_it_was_chosen_is_not_promoted():
    site = Site()
    site.ask("a", "b", "c")
    site.databases.received |= {"b": 9}
    site.ask("b")
    site.databases.silent.add("a")
    while not site.databases.grants:
        site.run(0.01)
    site.databases.restart_empty("b", "b@2")
    site.task.set_databases(make_group(("a", "b@2", "c")))
    site.run(0.3)
    assert "b" not in site.promoted and "b@2" not in site.promoted


def test_what_is_late_of_an_earlier_incarnation_says_nothing():
    site = Site()
    site.ask("a", "b", "c")
    site.databases.restart_empty("a", "a@2")
    site.tell("a@2", "b", "c")
    site.task.observe_position("a", LogPosition(1, 9), 0.5)
    site.task.observe_leadership("a", LogPosition(1, 9), 0.5)
    site.task.suspect("a", 0.0)
    site.task.observe_lagging("a", LogPosition(1, 9))
    assert site.task.get_age("a") > 1e9
    assert not site.task.wait_applied("a", LogPosition(1, 5), 0.1).called
    site.run(0.2)
    assert get_database(site.view, "a") is None
