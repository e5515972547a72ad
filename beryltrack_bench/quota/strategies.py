"""Strategies for distributed rate limiting of accounts without a coordinator.

A strategy decides whether an operation that reaches an instance may run. All use the
product's token bucket; they differ in how a limit is divided among instances.
"""

import math
from collections import Counter
from typing import Protocol

from beryltrack.accounts.shares import Loan
from beryltrack.accounts.slots import ALL_SLOTS, SLOT_COUNT, get_slot, make_slot_set
from beryltrack.relay.slot_owners import FleetOwners, QuotaRefusals, ZoneOwners
from beryltrack_bench.quota.site import CALM_UNTIL, END, Figures, QuotaSite, Recorder

RESERVE = 0.1
"""Share of each limit that the instances keep for operations that cannot reach the
owner, where a single owner counts the rest."""

MESSAGES_COUNTED_FROM = 5.0
"""Seconds after which messages are counted: all links are open then."""


class QuotaStrategy(Protocol):
    """Decides which instance counts an operation, against which share of the limit."""

    def advance(self, site: QuotaSite) -> None:
        """Run the periodic work that is due."""

    def spend(self, site: QuotaSite, account: str, instance: str) -> bool:
        """Return whether an operation may run."""


class EvenShares:
    """Each instance has a fixed even share of each limit; no messages are needed."""

    def __init__(self):
        self._is_shared = False

    def advance(self, site: QuotaSite) -> None:
        """Give each instance its share, once."""
        if not self._is_shared:
            self._is_shared = True
            for name, member in site.instances.items():
                loan = Loan(ALL_SLOTS, 1 / len(site.names), math.inf)
                member.quota.shares.set_loan(name, loan, site.now)

    def spend(self, site: QuotaSite, account: str, instance: str) -> bool:
        """Count the operation at the receiving instance."""
        return not site.instances[instance].quota.spend(account, site.now)


class LentShares:
    """Even shares that are lent to the account's owner, as the product does."""

    def advance(self, site: QuotaSite) -> None:
        """Renew the loans of each instance."""
        for name, member in site.instances.items():
            if name not in site.lost:
                member.tick()

    def spend(self, site: QuotaSite, account: str, instance: str) -> bool:
        """Count the operation at the owner; without a reachable owner it is refused."""
        owner = site.choose_owner(instance, get_slot(account))
        if not site.reaches(instance, owner):
            return False
        return not site.instances[owner].quota.spend(account, site.now)


class SingleOwner:
    """A single owner counts all operations, except for a small fixed reserve.

    Each instance acts on its own view of the owner.
    """

    def __init__(self):
        self._owned: dict[str, int] = {}

    def advance(self, site: QuotaSite) -> None:
        """Give each instance the slots that it considers its own."""
        reserve = RESERVE / len(site.names)
        for name, member in site.instances.items():
            slots = (s for s in range(SLOT_COUNT) if site.choose_owner(name, s) == name)
            owned = make_slot_set(slots)
            if self._owned.get(name) != owned:
                self._owned[name] = owned
                shares = member.quota.shares
                shares.set_loan("own", Loan(owned, 1 - RESERVE, math.inf), site.now)
                shares.set_loan(name, Loan(ALL_SLOTS, reserve, math.inf), site.now)

    def spend(self, site: QuotaSite, account: str, instance: str) -> bool:
        """Count the operation at the owner, or by the reserve if it is unreachable."""
        owner = site.choose_owner(instance, get_slot(account))
        place = owner if site.reaches(instance, owner) else instance
        return not site.instances[place].quota.spend(account, site.now)


class ForwardedRequests(LentShares):
    """Operations that the zone's owner refuses are forwarded to other zones' owners."""

    def __init__(self):
        self._refusals: dict[str, QuotaRefusals] = {}
        self.tries: Counter[int] = Counter()

    def spend(self, site: QuotaSite, account: str, instance: str) -> bool:
        """Count the operation at an owner that has not refused the account recently."""
        refusals = self._refusals.setdefault(instance, QuotaRefusals(lambda: site.now))
        names = site.list_counting_owners(instance, get_slot(account))
        for tries in range(1, len(names) + 1):
            owner = refusals.choose(account, names)
            if not site.reaches(instance, owner):
                return False
            if not site.instances[owner].quota.spend(account, site.now):
                self.tries[tries] += 1
                return True
            refusals.record(account, owner)
            if not refusals.has_available(account, names):
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
"""Slot owner policies of the strategies with an owner in each zone."""


def run_strategy(name: str, count: int, seed: int) -> Figures:
    """Simulate one strategy and return its figures.

    Parameters
    ----------
    name : str
        One of `STRATEGIES`.
    count : int
        Number of instances.
    seed : int
        Seed of the accounts and of their operations, which are the same for all
        strategies.
    """
    site = QuotaSite(count, seed, SLOT_OWNER_POLICIES.get(name, FleetOwners()))
    strategy = STRATEGIES[name]()
    recorder = Recorder(site.accounts)
    messages: list[Counter[str]] = []
    for until in (MESSAGES_COUNTED_FROM, CALM_UNTIL, END):
        while site.now < until:
            site.advance()
            strategy.advance(site)
            for account, instance in site.draw_operations():
                is_run = strategy.spend(site, account, instance)
                recorder.record(account, site.now, is_run)
        messages.append(Counter(site.messages))
    calm, seconds = messages[1] - messages[0], CALM_UNTIL - MESSAGES_COUNTED_FROM
    return Figures(
        recorder.get_phases(),
        recorder.excess,
        # Each message is counted at its sender and at its receiver.
        calm.total() / 2 / seconds,
        max(calm.values(), default=0) / seconds,
    )
