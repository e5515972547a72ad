"""Databases that restart empty under their former identifier.

Such a database has lost the entries that it received, the term that it promised and the
term that it led. Majorities confirm commits and elect primaries, and any two of them
must intersect in a database that still has its data. If the empty database counted in
both, acknowledged commits could be lost.
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
from tests.groups.test_plain import POLICY, PollOnlyDatabases, make_group, run


class RestartingDatabases(PollOnlyDatabases):
    """Databases that can restart empty; each name is one incarnation."""

    def __init__(self, clock):
        super().__init__(clock)
        self.promoted = []

    def restart_empty(self, name, later=None):
        """Restart a database empty, under a new name if the settings announce it."""
        later = later or name
        for table in (self.roles, self.terms, self.received, self.asked):
            table[later] = table.pop(name)
        self.roles[later], self.terms[later], self.received[later] = REPLICA, 0, 0
        self.held.discard(name)
        self.silent.discard(name)

    def lead(self, offset):
        """Commit up to an offset, received by all databases that hear the primary."""
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

    async def release(self, name, send_before):
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

    async def confirm(self, group):
        return await self.acquire(group, False)

    async def acquire(self, group, renew):
        return Success(Permit())


class Permit:
    """A permit."""

    token = 1


class Site:
    """One instance, which ranks first, and its group of three."""

    def __init__(self):
        self.clock = Clock()
        self.databases = RestartingDatabases(self.clock)
        self.task = None
        self.start()

    def start(self, seconds=1.0):
        """Start the instance without earlier state, and run it for some seconds."""
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

    def apply_settings(self, *names):
        """Apply settings with these members."""
        self.task.set_databases(make_group(names))
        self.run(0.05)

    @property
    def view(self):
        return self.task.view

    @property
    def promoted(self):
        return self.databases.promoted


def test_a_position_that_regresses_is_recorded():
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


def test_a_commit_is_not_confirmed_by_a_member_that_the_settings_replaced():
    site = Site()
    site.databases.received |= {"a": 9, "c": 9}
    site.ask("a", "c")
    site.databases.restart_empty("c", "c@2")
    site.apply_settings("a", "b", "c@2")
    assert site.confirm(8) is CommitOutcome.UNKNOWN


def test_an_empty_member_counts_once_it_has_received_what_the_primary_had():
    site = Site()
    site.databases.restart_empty("c")
    site.ask("c", "a")
    site.databases.received |= {"a": 9, "c": 9}
    site.databases.terms["c"] = 1
    site.ask("a", "c", "c")
    assert site.confirm(8) is CommitOutcome.CONFIRMED


def test_a_primary_that_restarts_empty_is_replaced():
    site = Site()
    site.ask("a", "b", "c")
    site.databases.restart_empty("a")
    site.run(3.0)
    assert site.promoted and site.promoted[0] in "bc"
    assert site.view.primary == site.promoted[0]


def test_no_election_with_an_empty_member_and_without_its_lost_entries():
    """The empty one may have been the only replica that had received a commit."""
    site = Site()
    site.databases.received |= {"a": 9, "c": 9}
    site.ask("a", "b", "c")
    site.databases.silent.add("a")
    site.databases.restart_empty("c", "c@2")
    site.apply_settings("a", "b", "c@2")
    site.run(5.0)
    assert site.promoted == []
    # The primary comes back with its log.
    site.databases.silent.discard("a")
    site.run(1.0)
    assert site.view.primary == "a"


def test_a_replica_with_all_entries_is_elected_with_an_empty_member():
    site = Site()
    site.databases.restart_empty("c", "c@2")
    site.apply_settings("a", "b", "c@2")
    site.ask("a", "b")
    site.databases.silent.add("a")
    site.run(3.0)
    assert site.promoted == ["b"]


def test_the_longest_log_is_elected_once_the_primary_is_removed():
    site = Site()
    site.databases.received |= {"a": 9, "c": 9}
    site.ask("a", "b", "c")
    site.databases.silent.add("a")
    site.databases.restart_empty("c", "c@2")
    site.apply_settings("a", "b", "c@2")
    site.run(3.0)
    assert site.promoted == []
    site.apply_settings("b", "c@2")
    site.run(3.0)
    assert site.promoted == ["b"]


@pytest.mark.parametrize("silent", ["b", "c@2"])
def test_two_empty_members_elect_no_primary_while_a_member_is_silent(silent):
    site = Site()
    site.ask("a", "b", "c")
    site.databases.restart_empty("c", "c@2")
    site.databases.restart_empty("a", "a@2")
    site.databases.silent.add(silent)
    site.apply_settings("a@2", "b", "c@2")
    site.run(4.0)
    assert site.promoted == []


def test_two_empty_members_elect_no_primary_while_the_old_one_may_return():
    site = Site()
    site.ask("a", "b", "c")
    site.databases.silent.add("a")
    site.databases.restart_empty("b", "b@2")
    site.databases.restart_empty("c", "c@2")
    site.apply_settings("a", "b@2", "c@2")
    site.run(5.0)
    assert site.promoted == []


def test_a_group_of_empty_members_elects_a_primary():
    site = Site()
    site.ask("a", "b", "c")
    for name in "abc":
        site.databases.restart_empty(name, f"{name}@2")
    site.apply_settings("a@2", "b@2", "c@2")
    site.run(3.0)
    assert len(site.promoted) == 1


def test_a_group_whose_primary_no_instance_has_seen_elects_one():
    """All instances started while the primary was down, and it came back empty."""
    site = Site()
    site.databases.restart_empty("a")
    site.start(0.1)
    for name in "bc":
        site.databases.restart_empty(name, f"{name}@2")
    site.apply_settings("a", "b@2", "c@2")
    site.run(3.0)
    assert len(site.promoted) == 1


def test_a_new_instance_does_not_elect_with_an_empty_member():
    """It did not see the restart; the third member may have the lost entries."""
    site = Site()
    site.databases.received |= {"a": 9, "c": 9}
    site.databases.silent.add("a")
    site.databases.restart_empty("c")
    site.start(3.0)
    assert site.promoted == []
    site.databases.silent.discard("a")
    site.run(1.0)
    assert site.view.primary == "a"


def test_a_candidate_database_that_restarted_is_not_promoted():
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


def test_late_answers_of_an_earlier_incarnation_are_ignored():
    site = Site()
    site.ask("a", "b", "c")
    site.databases.restart_empty("a", "a@2")
    site.apply_settings("a@2", "b", "c")
    site.task.observe_position("a", LogPosition(1, 9), 0.5)
    site.task.observe_leadership("a", LogPosition(1, 9), 0.5)
    site.task.suspect("a", 0.0)
    site.task.observe_lagging("a", LogPosition(1, 9))
    assert site.task.get_age("a") > 1e9
    assert not site.task.wait_applied("a", LogPosition(1, 5), 0.1).called
    site.run(0.2)
    assert get_database(site.view, "a") is None
