"""Elections under a permit: when databases are released, which token is used."""

from returns.result import Failure, Success
from twisted.internet.task import Clock

from beryltrack.failover.authority import Permit
from beryltrack.failover.decider import FailoverPolicy
from beryltrack.failover.task import LEAD_TIMEOUT
from beryltrack.groups.adapter import PromoteReply
from beryltrack.groups.messages import (
    PRIMARY,
    REPLICA,
    ControlFailure,
    DatabaseStatus,
    GrantReply,
)
from tests.failover.lost_primary import END, NAMES, lose_primary

LOST = Failure(ControlFailure("b", "no answer"))


class Authority:
    """Issues permits with consecutive tokens."""

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
    """Replicas that grant; promotions end as listed in `promotions`."""

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


def hold_election(*promotions):
    clock, databases, authority = Clock(), Databases(*promotions), Authority()
    policy = FailoverPolicy(has_authority=True)
    delegate = lose_primary(clock, databases, authority, policy)
    clock.pump([0.05] * int(LEAD_TIMEOUT / 0.05 + 5))
    return databases, authority, delegate


def test_the_others_are_released_once_the_new_primary_leads():
    databases, _, delegate = hold_election("leads")
    assert databases.tokens == [1]
    assert set(databases.released) == set(NAMES) - {databases.leader}
    assert delegate.reports[0].primary == databases.leader


def test_a_promotion_without_an_answer_is_repeated_with_a_new_token():
    databases, _, _ = hold_election("lost", "leads")
    assert databases.tokens == [1, 2]


def test_no_database_is_released_while_a_promotion_may_still_be_carried_out():
    assert hold_election("late", *["late"] * 9)[0].released == []
    assert hold_election(*["lost"] * 30)[0].released == []


def test_a_refused_promotion_releases_all_databases_and_drops_the_permit():
    databases, authority, _ = hold_election("refused", *["refused"] * 30)
    assert {"b", "c"} <= set(databases.released)
    assert not authority.is_held
