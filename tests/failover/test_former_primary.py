"""Elections where a replaced primary accepts writes until it is stepped down."""

from returns.result import Failure, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from beryltrack.failover.authority import Permit
from beryltrack.failover.decider import FailoverPolicy, choose_primary
from beryltrack.failover.grants import collect_grants
from beryltrack.failover.messages import Election, ElectionKind
from beryltrack.failover.task import STEP_DOWN_INTERVAL
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
from beryltrack.objects.messages import ErrorKind, PlatformError
from tests.failover.lost_primary import NAMES, lose_primary

POLICY = FailoverPolicy(has_authority=True, former_accepts_writes=True)


def make_reply(name, offset=5, granted=True):
    end = LogPosition(1, offset)
    status = DatabaseStatus(name, REPLICA, 2, end, end, (), None, False, True)
    return GrantReply(granted, status)


def test_the_grant_of_a_non_voting_primary_does_not_count():
    replies = [make_reply("a"), make_reply("b")]
    assert choose_primary(replies, 3, "b", frozenset(), 2) == "b"
    assert choose_primary(replies, 3, "b", frozenset(), 2, "a") is None
    replies.append(make_reply("c"))
    assert choose_primary(replies, 3, "b", frozenset(), 2, "a") == "b"


def test_a_database_that_lacks_an_entry_of_a_voter_is_not_chosen():
    replies = [make_reply("a", 9), make_reply("b", 5), make_reply("c", 7)]
    assert choose_primary(replies, 3, "b", frozenset("a"), 2, "a") == "c"


class Group:
    """Databases of which `a` leads; those named in `answers` answer requests."""

    def __init__(self, *answers):
        self.answers = answers
        self.granted, self.stepped_down, self.promoted = [], [], []
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

    async def wait_status(self, name, wait, timeout):
        return Success(self.make_status(name)._replace(term=1))

    async def release(self, name, send_before):
        return Success(self.make_status(name))

    async def stop_writes(self, name, term):
        self.stepped_down.append((name, term))
        if name not in self.answers:
            return Failure(ControlFailure(name, "no answer"))
        self.roles[name] = REPLICA
        return Success(self.make_status(name))


class Authority:
    """Issues a new permit for each call."""

    keeps_permits = False

    def __init__(self):
        self.token, self.prepared = 0, 0

    def holds(self, group):
        return False

    def drop(self, group):
        pass

    async def prepare(self, group):
        self.prepared += 1

    async def confirm(self, group):
        return await self.acquire(group, True)

    async def acquire(self, group, renew):
        self.token += 1
        return Success(Permit("node", self.token))


def start(*answers):
    """Lose the primary; only the databases of `answers` answer."""
    clock, group, authority = Clock(), Group(*answers), Authority()
    clock.advance(0.1)
    return clock, group, authority, lose_primary(clock, group, authority, POLICY)


def test_the_former_primary_is_stepped_down_until_it_answers():
    clock, group, _, delegate = start("b", "c")
    assert len(group.promoted) == 1 and delegate.reports
    clock.pump([STEP_DOWN_INTERVAL] * 3)
    assert group.stepped_down == [("a", 1)] * 4
    group.answers = NAMES
    clock.pump([STEP_DOWN_INTERVAL] * 4)
    assert len(group.stepped_down) == 5


def test_no_database_is_promoted_without_enough_voting_grants():
    _, group, _, _ = start("a", "b")
    assert group.promoted == []


def test_the_permit_is_prepared_when_an_election_becomes_due():
    assert start("b", "c")[2].prepared == 1


def test_grants_are_collected_until_enough_voters_have_granted():
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


def hand_over(has_permit):
    """Let a primary leave; return the group with the calls made."""
    clock, group = Clock(), Group(*NAMES)
    authority = Authority() if has_permit else UnavailableAuthority()
    end = LogPosition(1, 5)
    clock.advance(10.0)
    primary = DatabaseView("a", PRIMARY, 1, end, end, (), True, True, seen_at=10.0)
    others = [
        DatabaseView(name, REPLICA, 1, end, end, (), True, seen_at=10.0, heard_age=0.0)
        for name in "bc"
    ]
    view = GroupView("main", 1, "a", databases=(primary, *others), last_primary="a")
    lose_primary(clock, group, authority, POLICY, view)
    return group


class UnavailableAuthority(Authority):
    """The store is unavailable."""

    async def acquire(self, group, renew):
        return Failure(PlatformError(ErrorKind.REFUSED, "no store"))


def test_a_leaving_primary_is_not_stopped_without_a_permit():
    assert hand_over(has_permit=False).stepped_down == []
    assert hand_over(has_permit=True).stepped_down[0] == ("a", 1)


class DeposedPrimaryGroup(Group):
    """A group whose primary is "a"; "b" is deposed and still considers itself primary.

    As over the line protocol, a primary that is asked without `lost_after` grants and
    is not held.
    """

    def __init__(self):
        super().__init__(*NAMES)
        self.roles["b"] = PRIMARY
        self.held = set()

    async def grant(self, name, term, candidate, lost_after):
        if self.roles[name] == REPLICA:
            self.held.add(name)
        granted = name in self.held or not lost_after
        return Success(make_reply(name, granted=granted))


def test_a_deposed_primary_grants_only_once_it_is_held():
    """Guards against a deposed primary that confirms commits after its grant."""
    clock, group = Clock(), DeposedPrimaryGroup()
    election = Election(
        ElectionKind.LOST,
        3,
        "node/1",
        0.5,
        "a",
        2,
        "",
        0.5,
        ("b",),
        non_voting_primary="a",
    )
    collecting = Deferred.fromCoroutine(
        collect_grants(clock, group, NAMES, election, 2)
    )
    granted = {reply.status.name for reply in collecting.result if reply.granted}
    assert granted - {"a"} <= group.held
    assert group.stepped_down == [("b", 2)] and "b" in granted
