"""Ways to hold the limits of accounts over a fleet with nobody in charge.

Each says whether an operation that reaches an instance may run. All use the product's
bucket; they differ in who has which part of a limit.
"""

import math
from collections import Counter
from typing import Protocol

from beryltrack.accounts.shares import Loan
from beryltrack.accounts.slots import ALL_SLOTS, SLOT_COUNT, get_slot, make_slot_set
from beryltrack.relay.slot_owners import FleetOwners, QuotaRefusals, ZoneOwners
from beryltrack_bench.quota.site import CALM_UNTIL, END, Figures, QuotaSite, Recorder

RESERVE = 0.1
"""Part of each limit that instances have for what does not reach its owner, where one
owner counts the rest."""

JUDGED_FROM = 5.0
"""Seconds after which messages are counted: all links are open then."""


class QuotaStrategy(Protocol):
    """Who counts an operation, and by which part of the limit."""

    def advance(self, site: QuotaSite) -> None:
        """Do what is due."""

    def spend(self, site: QuotaSite, account: str, instance: str) -> bool:
        """Return whether an operation may run."""


class EvenShares:
    """Each instance has an even part of each limit for good; no messages."""

    def __init__(self):
        self._is_shared = False

    def advance(self, site: QuotaSite) -> None:
        """Give each instance its part, once."""
        if not self._is_shared:
            self._is_shared = True
            for name, member in site.instances.items():
                loan = Loan(ALL_SLOTS, 1 / len(site.names), math.inf)
                member.quota.shares.set_loan(name, loan, site.now)

    def spend(self, site: QuotaSite, account: str, instance: str) -> bool:
        """Count it where it comes in."""
        return not site.instances[instance].quota.spend(account, site.now)


class LentShares:
    """Even parts that are lent to the owner of the account: the product's way."""

    def advance(self, site: QuotaSite) -> None:
        """Let each instance renew its loans."""
        for name, member in site.instances.items():
            if name not in site.lost:
                member.tick()

    def spend(self, site: QuotaSite, account: str, instance: str) -> bool:
        """Count it at the owner; one that is not reached runs nothing."""
        owner = site.choose_owner(instance, get_slot(account))
        if not site.reaches(instance, owner):
            return False
        return not site.instances[owner].quota.spend(account, site.now)


class SingleOwner:
    """Whoever is taken for the owner counts alone, but for a small fixed part."""

    def __init__(self):
        self._owned: dict[str, int] = {}

    def advance(self, site: QuotaSite) -> None:
        """Let each instance have what it believes to own."""
        part = RESERVE / len(site.names)
        for name, member in site.instances.items():
            slots = (s for s in range(SLOT_COUNT) if site.choose_owner(name, s) == name)
            owned = make_slot_set(slots)
            if self._owned.get(name) != owned:
                self._owned[name] = owned
                shares = member.quota.shares
                shares.set_loan("own", Loan(owned, 1 - RESERVE, math.inf), site.now)
                shares.set_loan(name, Loan(ALL_SLOTS, part, math.inf), site.now)

    def spend(self, site: QuotaSite, account: str, instance: str) -> bool:
        """Count it at the owner, or by the fixed part if that is not reached."""
        owner = site.choose_owner(instance, get_slot(account))
        place = owner if site.reaches(instance, owner) else instance
        return not site.instances[place].quota.spend(account, site.now)


class ForwardedRequests(LentShares):
    """What an owner of the zone refuses goes to the owners of other zones."""

    def __init__(self):
        self._notes: dict[str, QuotaRefusals] = {}
        self.tries: Counter[int] = Counter()

    def spend(self, site: QuotaSite, account: str, instance: str) -> bool:
        """Count it at an owner that has a right left, by what the instance knows."""
        notes = self._notes.setdefault(instance, QuotaRefusals(lambda: site.now))
        names = site.list_counting_owners(instance, get_slot(account))
        for tries in range(1, len(names) + 1):
            owner = notes.choose(account, names)
            if not site.reaches(instance, owner):
                return False
            if not site.instances[owner].quota.spend(account, site.now):
                self.tries[tries] += 1
                return True
            notes.record(account, owner)
            if not notes.has_available(account, names):
                return False
        return False


STRATEGIES = {
    "even": EvenShares,
    "lent": LentShares,
    "one_owner": SingleOwner,
    "zone_lent": LentShares,
    "zone_passed_on": ForwardedRequests,
}

SLOT_OWNER_POLICIES = {"zone_lent": ZoneOwners(), "zone_passed_on": ZoneOwners()}
"""Who owns a slot, where that is not one instance of the whole fleet."""


def run_strategy(name: str, count: int, seed: int) -> Figures:
    """Play one way and return what it showed.

    Parameters
    ----------
    name : str
        One of `STRATEGIES`.
    count : int
        Instances.
    seed : int
        Decides the accounts and what they ask for, the same for all ways.
    """
    site = QuotaSite(count, seed, SLOT_OWNER_POLICIES.get(name, FleetOwners()))
    way = STRATEGIES[name]()
    recorder = Recorder(site.accounts)
    messages: list[Counter[str]] = []
    for until in (JUDGED_FROM, CALM_UNTIL, END):
        while site.now < until:
            site.advance()
            way.advance(site)
            for account, instance in site.draw_operations():
                is_run = way.spend(site, account, instance)
                recorder.note(account, site.now, is_run)
        messages.append(Counter(site.messages))
    calm, seconds = messages[1] - messages[0], CALM_UNTIL - JUDGED_FROM
    return Figures(
        recorder.get_phases(),
        recorder.excess,
        # Each message is counted at both of its ends.
        calm.total() / 2 / seconds,
        max(calm.values(), default=0) / seconds,
    )
