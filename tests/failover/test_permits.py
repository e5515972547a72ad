"""Elections under a permit: who is released when, and which token is used."""

from random import Random

from returns.result import Failure, Success
from twisted.internet.task import Clock

from beryltrack.failover.authority import Permit
from beryltrack.failover.decider import FailoverPolicy
from beryltrack.failover.detector import FixedDetector
from beryltrack.failover.task import LEAD_LIMIT, FailoverTask
from beryltrack.groups.adapter import PromoteReply
from beryltrack.groups.messages import (
    PRIMARY,
    REPLICA,
    ControlFailure,
    DatabaseStatus,
    GrantReply,
    LogPosition,
)
from beryltrack.groups.view import DatabaseView, GroupView
from beryltrack.settings.messages import DatabaseSettings, Endpoint, GroupSettings

NAMES = ("a", "b", "c")
END = LogPosition(1, 5)
LOST = Failure(ControlFailure("b", "no answer"))


class Authority:
    """Counts its tokens."""

    keeps_permits = True

    def __init__(self):
        self.token = 0
        self.is_held = True

    def holds(self, group):
        return self.is_held

    def drop(self, group):
        self.is_held = False

    async def prepare(self, group):
        pass

    async def acquire(self, group, renew):
        self.token += renew or not self.token
        return Success(Permit("node", self.token))


class Databases:
    """Replicas that grant; promotions end as a test says."""

    def __init__(self, *promotions):
        self.promotions = list(promotions)
        self.tokens = []
        self.released = []
        self.leader = ""

    def make_status(self, name, held=True):
        role = PRIMARY if name == self.leader else REPLICA
        return DatabaseStatus(name, role, 2, END, END, (), None, False, held, True)

    async def get_status(self, name):
        return Success(self.make_status(name))

    async def grant(self, name, term, candidate, lost_after):
        if name == "a":
            return LOST
        return Success(GrantReply(True, self.make_status(name)))

    async def promote(self, name, term, candidate, token):
        self.tokens.append(token)
        outcome = self.promotions.pop(0)
        if outcome == "leads":
            self.leader = name
        if outcome == "lost":
            return LOST
        return Success(PromoteReply(outcome != "refused", self.make_status(name)))

    async def release(self, name):
        self.released.append(name)
        return Success(self.make_status(name))


class Owner:
    """A group's task."""

    draining = frozenset()

    def __init__(self, clock):
        self.get_time = clock.seconds
        self.reports = []

    def take_status(self, status, sent_at):
        pass

    def take_report(self, report):
        self.reports.append(report)


def hold_election(*promotions):
    clock, databases, authority = Clock(), Databases(*promotions), Authority()
    members = tuple(
        DatabaseSettings(name, Endpoint("10.0.0.1", 1), "z", 9, 3, False)
        for name in NAMES
    )
    group = GroupSettings("main", "", members, "", "", 0.0, 0.5)
    owner = Owner(clock)
    task = FailoverTask(
        clock,
        group,
        databases,
        "node",
        Random(1),
        owner,
        FixedDetector(0.5),
        FailoverPolicy(has_authority=True),
        authority,
    )
    lost = [
        DatabaseView(name, REPLICA, 1, END, END, (), True, seen_at=0.0, heard_age=0.6)
        for name in "bc"
    ]
    primary = DatabaseView("a", PRIMARY, 1, END, END)
    task.observe_view(GroupView("main", 1, "a", databases=(primary, *lost)))
    clock.pump([0.05] * int(LEAD_LIMIT / 0.05 + 5))
    return databases, authority, owner


def test_the_others_are_released_once_the_new_primary_leads():
    databases, _, owner = hold_election("leads")
    assert databases.tokens == [1]
    assert set(databases.released) == set(NAMES) - {databases.leader}
    assert owner.reports[0].primary == databases.leader


def test_a_promotion_without_an_answer_is_repeated_with_a_new_token():
    databases, _, _ = hold_election("lost", "leads")
    assert databases.tokens == [1, 2]


def test_nobody_is_released_while_a_promotion_may_still_be_carried_out():
    assert hold_election("late", *["late"] * 9)[0].released == []
    assert hold_election(*["lost"] * 30)[0].released == []


def test_a_refused_promotion_releases_all_and_gives_the_permit_up():
    databases, authority, _ = hold_election("refused", *["refused"] * 30)
    assert {"b", "c"} <= set(databases.released)
    assert not authority.is_held
