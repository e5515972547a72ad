"""Elections where the former primary goes on until it is told."""

from random import Random

from returns.result import Failure, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from beryltrack.failover.authority import Permit
from beryltrack.failover.decider import FailoverPolicy, choose_primary
from beryltrack.failover.detector import FixedDetector
from beryltrack.failover.grants import collect_grants
from beryltrack.failover.messages import Election, ElectionKind
from beryltrack.failover.task import STEP_DOWN_PERIOD, FailoverTask
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
POLICY = FailoverPolicy(has_authority=True, former_goes_on=True)


def make_reply(name, offset=5, granted=True):
    end = LogPosition(1, offset)
    status = DatabaseStatus(name, REPLICA, 2, end, end, (), None, False, True)
    return GrantReply(granted, status)


def test_the_grant_of_the_former_primary_does_not_count():
    replies = [make_reply("a"), make_reply("b")]
    assert choose_primary(replies, 3, "b", frozenset(), 2) == "b"
    assert choose_primary(replies, 3, "b", frozenset(), 2, "a") is None
    replies.append(make_reply("c"))
    assert choose_primary(replies, 3, "b", frozenset(), 2, "a") == "b"


def test_one_that_lacks_what_another_voter_has_does_not_lead():
    replies = [make_reply("a", 9), make_reply("b", 5), make_reply("c", 7)]
    assert choose_primary(replies, 3, "b", frozenset("a"), 2, "a") == "c"


class Group:
    """Databases of which the first leads; `answers` says who does."""

    def __init__(self, *answers):
        self.answers = answers
        self.granted, self.stepped, self.promoted = [], [], []
        self.roles = dict.fromkeys(NAMES, REPLICA) | {"a": PRIMARY}

    def make_status(self, name):
        return make_reply(name).status._replace(role=self.roles[name])

    async def grant(self, name, term, candidate, lost_after):
        self.granted.append(name)
        if name not in self.answers:
            return Failure(ControlFailure(name, "no answer"))
        return Success(make_reply(name))

    async def promote(self, name, term, candidate, token):
        self.promoted.append(name)
        self.roles[name] = PRIMARY
        return Success(PromoteReply(True, self.make_status(name)))

    async def get_status(self, name):
        return Success(self.make_status(name))

    async def release(self, name):
        return Success(self.make_status(name))

    async def stop_writes(self, name, term):
        self.stepped.append((name, term))
        if name not in self.answers:
            return Failure(ControlFailure(name, "no answer"))
        self.roles[name] = REPLICA
        return Success(self.make_status(name))


class Authority:
    """Gives one permit after the other."""

    keeps_permits = False

    def __init__(self):
        self.token, self.prepared = 0, 0

    def holds(self, group):
        return False

    def drop(self, group):
        pass

    async def prepare(self, group):
        self.prepared += 1

    async def acquire(self, group, renew):
        self.token += 1
        return Success(Permit("node", self.token))


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


def lose_primary(*answers):
    """Let the primary be lost; only some databases answer."""
    clock, group, authority = Clock(), Group(*answers), Authority()
    members = tuple(
        DatabaseSettings(name, Endpoint("10.0.0.1", 1), "z", 9, 3, False)
        for name in NAMES
    )
    owner = Owner(clock)
    task = FailoverTask(
        clock,
        GroupSettings("main", "", members, "", "", 0.0, 0.5),
        group,
        "node",
        Random(1),
        owner,
        FixedDetector(0.5),
        POLICY,
        authority,
    )
    end = LogPosition(1, 5)
    lost = [
        DatabaseView(name, REPLICA, 1, end, end, (), True, seen_at=0.0, heard_age=0.6)
        for name in "bc"
    ]
    former = DatabaseView("a", PRIMARY, 1, end, end)
    clock.advance(0.1)
    view = GroupView("main", 1, "a", databases=(former, *lost), last_primary="a")
    task.observe_view(view)
    return clock, group, authority, owner


def test_the_former_primary_is_stepped_down_until_it_answers():
    clock, group, _, owner = lose_primary("b", "c")
    assert len(group.promoted) == 1 and owner.reports
    clock.pump([STEP_DOWN_PERIOD] * 3)
    assert group.stepped == [("a", 1)] * 4
    group.answers = NAMES
    clock.pump([STEP_DOWN_PERIOD] * 4)
    assert len(group.stepped) == 5


def test_nobody_is_promoted_while_a_witness_is_not_held():
    _, group, _, _ = lose_primary("a", "b")
    assert group.promoted == []


def test_the_permit_is_looked_at_when_a_change_becomes_due():
    assert lose_primary("b", "c")[2].prepared == 1


def test_grants_are_waited_for_until_enough_others_have_given_theirs():
    clock = Clock()
    answers = {name: Deferred() for name in NAMES}

    class Slow:
        async def grant(self, name, term, candidate, lost_after):
            return await answers[name]

    election = Election(
        ElectionKind.HAND_OVER, 2, "node/1", 0.0, "a", 1, "", 0.5, (), "a"
    )
    collecting = Deferred.fromCoroutine(
        collect_grants(clock, Slow(), NAMES, election, 2)
    )
    for name in "ab":
        answers[name].callback(Success(make_reply(name)))
    assert not collecting.called
    answers["c"].callback(Success(make_reply("c")))
    assert len(collecting.result) == 3
