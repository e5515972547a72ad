"""Elections under a permit: when databases are released, which token is used."""

from returns.result import Failure, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from beryltrack.failover.authority import Permit
from beryltrack.failover.decider import FailoverPolicy
from beryltrack.failover.task import CONFIRMATION_VALIDITY, LEAD_TIMEOUT
from beryltrack.groups.adapter import PromoteReply
from beryltrack.groups.messages import (
    PRIMARY,
    REPLICA,
    ControlFailure,
    DatabaseStatus,
    GrantReply,
)
from beryltrack.groups.view import DatabaseView, GroupView
from beryltrack.objects.messages import ErrorKind, PlatformError
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

    async def confirm(self, group):
        if self.is_held:
            return await self.acquire(group, False)
        return Failure(PlatformError(ErrorKind.REFUSED, "another has taken it"))

    async def acquire(self, group, renew):
        self.token += renew or not self.token
        return Success(Permit("node", self.token))


class TakenAuthority(Authority):
    """Issues a permit that another instance takes at once."""

    async def confirm(self, group):
        self.is_held = False
        return await super().confirm(group)


class ExpiringAuthority(Authority):
    """Issues some permits that are valid for 0.2 s, and then no more."""

    keeps_permits = False
    valid_until = 0.0

    def __init__(self, permits):
        super().__init__()
        self.permits = permits

    async def confirm(self, group):
        return await self.acquire(group, True)

    async def acquire(self, group, renew):
        if renew or not self.token:
            if self.token == self.permits:
                error = PlatformError(ErrorKind.CONFLICT, "another has taken it")
                return Failure(error)
            self.token += 1
            self.valid_until = self.clock.seconds() + 0.2
        return Success(Permit("node", self.token, self.valid_until))


class Databases:
    """Replicas that grant; promotions end as listed in `promotions`."""

    def __init__(self, *promotions, held_term=2):
        self.held_term = held_term
        self.promotions = list(promotions)
        self.tokens = []
        self.observe_promotion = lambda: None
        self.released = []
        self.leader = ""

    def make_status(self, name, held=True):
        role = PRIMARY if name == self.leader else REPLICA
        term = self.held_term if held else 2
        return DatabaseStatus(name, role, term, END, END, (), None, False, held, True)

    async def get_status(self, name):
        return Success(self.make_status(name))

    async def grant(self, name, term, candidate, lost_after):
        if name == "a":
            return LOST
        return Success(GrantReply(True, self.make_status(name)))

    async def promote(self, name, term, candidate, token):
        self.tokens.append(token)
        self.observe_promotion()
        outcome = self.promotions.pop(0)
        if outcome == "leads":
            self.leader = name
        if outcome == "lost":
            return LOST
        return Success(PromoteReply(outcome != "refused", self.make_status(name)))

    async def release(self, name, send_before):
        self.released.append(name)
        self.send_before = send_before
        return Success(self.make_status(name))


class SilentAuthority(Authority):
    """Holds a permit; the store does not answer."""

    confirmations = 0

    async def confirm(self, group):
        self.confirmations += 1
        await Deferred()


class SlowAuthority(Authority):
    """Issues permits; the first one arrives late."""

    def __init__(self):
        super().__init__()
        self.first = Deferred()

    async def acquire(self, group, renew):
        if not self.token:
            await self.first
        return await super().acquire(group, renew)


def hold_election(*promotions, authority=None, **fields):
    clock, databases = Clock(), Databases(*promotions, **fields)
    authority = authority or Authority()
    authority.clock = clock
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


def test_a_refused_promotion_releases_no_database_and_drops_the_permit():
    """Guards against the end of holds of the instance with the higher token."""
    databases, authority, _ = hold_election("refused", *["refused"] * 30)
    assert databases.released == []
    assert not authority.is_held


def test_a_promotion_is_not_repeated_once_another_database_leads_the_term():
    """Guards against the loss of what the other primary's callers have written."""
    clock, databases = Clock(), Databases("lost", "leads")
    authority = SlowAuthority()
    policy = FailoverPolicy(has_authority=True)
    task = lose_primary(clock, databases, authority, policy).task
    leader = DatabaseView("c", PRIMARY, 2, END, END, (), True, seen_at=0.0)
    others = [DatabaseView(name, REPLICA, 1, END, END) for name in "ab"]
    view = GroupView("main", 2, "c", databases=(*others, leader))
    databases.observe_promotion = lambda: task.observe_view(view)
    authority.first.callback(None)
    assert databases.tokens == [1] and databases.released == []


def test_an_instance_whose_permit_was_taken_promotes_no_database():
    """Guards against two instances that both act on a loss as the permit's holder."""
    databases, _, delegate = hold_election(authority=TakenAuthority())
    assert databases.tokens == [] and databases.released == []
    assert not delegate.reports


def test_a_kept_permit_serves_an_election_while_the_store_is_silent():
    """Guards against a primary that is not replaced during an outage of the store."""
    databases, _, delegate = hold_election("leads", authority=SilentAuthority())
    assert databases.tokens == [1] and delegate.reports
    assert "c" in databases.released


def test_a_silent_store_delays_a_promotion_only_once():
    """Guards against callers who wait for the store again before each promotion."""
    clock, databases, authority = Clock(), Databases("leads"), SilentAuthority()
    seen = []
    databases.observe_promotion = lambda: seen.append(authority.confirmations)
    lose_primary(clock, databases, authority, FailoverPolicy(has_authority=True))
    clock.pump([0.05] * 20)
    assert seen == [1]


def test_a_hold_for_a_later_term_is_not_ended():
    """Guards against a late release that ends the hold of the next election."""
    databases, _, delegate = hold_election("leads", held_term=3)
    assert delegate.reports and databases.released == []


def test_holds_are_not_ended_without_a_permit():
    """Guards against a release while another instance may hold the databases."""
    databases, _, delegate = hold_election("leads", authority=ExpiringAuthority(1))
    assert delegate.reports and databases.released == []


def test_holds_are_ended_within_the_time_of_a_renewed_permit():
    """Guards against a release that waits until another instance holds databases."""
    databases, authority, _ = hold_election("leads", authority=ExpiringAuthority(2))
    assert authority.token == 2 and "c" in databases.released
    assert databases.send_before <= authority.valid_until


class LateGrants(Databases):
    """Replicas whose grants arrive after a pause of the candidate."""

    def __init__(self, *promotions, authority, pause):
        super().__init__(*promotions)
        self.authority, self.pause = authority, pause

    async def grant(self, name, term, candidate, lost_after):
        if name == "c":
            self.authority.clock.rightNow += self.pause
            self.authority.is_held = False
        return await super().grant(name, term, candidate, lost_after)


class KeptAuthority(Authority):
    """Gives the permit that it keeps, taken or not, unless it is to be confirmed."""

    def holds(self, group):
        return True


def promote_after_pause(seconds):
    clock, authority = Clock(), KeptAuthority()
    authority.clock = clock
    databases = LateGrants("leads", authority=authority, pause=seconds)
    policy = FailoverPolicy(has_authority=True)
    lose_primary(clock, databases, authority, policy)
    clock.pump([0.05] * int(LEAD_TIMEOUT / 0.05 + 5))
    return databases


def test_a_candidate_that_was_paused_does_not_promote_without_its_permit():
    """Guards against votes whose holds another holder of the permit has ended."""
    databases = promote_after_pause(CONFIRMATION_VALIDITY + 0.1)
    assert databases.tokens == [] and databases.released == []


def test_an_election_without_a_pause_asks_the_store_once():
    """Guards against a second call to the store before each promotion."""
    assert promote_after_pause(0.1).tokens == [1]
