"""A fleet whose callers ask for operations of accounts, with faults and their figures.

An account's callers have a few sessions, each at an instance. The way says which
process counts an operation. A partition splits the fleet, and an owner is lost without
a sign.
"""

import heapq
import itertools
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

from beryltrack.accounts.messages import AccountSettings
from beryltrack.accounts.quota import Tolerance
from beryltrack.relay.owners import Peer, choose_account_owners
from beryltrack.relay.slot_owners import (
    FleetOwners,
    PreferenceList,
    SlotOwnerPolicy,
    make_all_preference_lists,
)
from beryltrack.settings.messages import Endpoint
from beryltrack_bench.quota.lender import Lender

STEP = 0.02
"""Seconds between two looks at the time."""

LATENCY = 0.003
"""Seconds that a message takes."""

DETECTION_TIME = 0.3
"""Seconds until an instance that is out of reach is passed over."""

WINDOW, TOLERANCE = 5.0, Tolerance(0.1, 20.0, 5.0)
"""The window in which limits hold, and how far they may be exceeded."""

ZONES = 4
ACCOUNTS = 60
SESSIONS = 3
"""Sessions of an account, each at one instance."""

USUAL_LOAD, HOT_LOAD = 0.6, 7.5
"""What accounts ask for, by their limit; the first one asks for far more."""

HOT_RATE = 40.0
"""Operations a second that the first account may run."""

MIN_CONNECTIONS = 128
"""Connections of the smallest database: as many owners as there are zones allow."""

CALM_UNTIL, SPLIT_UNTIL, LOST_FROM, END = 10.0, 16.0, 20.0, 26.0
FIRST_JUDGED = 2.0


class Phase(NamedTuple):
    """What callers asked for in a part of a run, while within their limits.

    Parameters
    ----------
    name : str
        Calm, split or lost.
    asked : int
        Operations of accounts that asked for no more than their limit.
    refused : int
        How many of these were refused.
    """

    name: str
    asked: int
    refused: int


class Figures(NamedTuple):
    """What a run showed.

    Parameters
    ----------
    phases : tuple of Phase
        By the part of the run.
    excess : float
        Most operations of an account in a window, by what it may run in one, with
        what is tolerated. Above one the limit is broken.
    messages_per_second : float
        Messages between instances, of the whole fleet, while it is calm.
    owner_messages_per_second : float
        Those that the busiest instance sends and takes.
    """

    phases: tuple[Phase, ...]
    excess: float
    messages_per_second: float
    owner_messages_per_second: float


class Member(Lender):
    """One instance of the fleet."""

    def __init__(self, site: "QuotaSite", name: str):
        self._site = site
        super().__init__(site, name, site.names, site.accounts, TOLERANCE)

    def choose_owner(self, slot: int) -> str | None:
        """Return the first owner of a slot that this instance reaches."""
        return self._site.choose_owner(self.name, slot)


class QuotaSite:
    """Instances, accounts and what is on its way.

    Parameters
    ----------
    count : int
        Instances.
    seed : int
        Decides the accounts and what they ask for.
    choice : SlotOwnerPolicy
        Which owner runs a slot's accounts.
    """

    def __init__(
        self,
        count: int,
        seed: int,
        choice: SlotOwnerPolicy = FleetOwners(),  # noqa: B008 - it keeps nothing
    ):
        self.now = 0.0
        self.rng = random.Random(seed)
        peers = [
            Peer(f"n{number}", f"z{number % ZONES}", Endpoint("", 1))
            for number in range(count)
        ]
        self.names = tuple(peer.name for peer in peers)
        self.sides = {name: number % 2 for number, name in enumerate(self.names)}
        self.owners = choose_account_owners(peers, MIN_CONNECTIONS)
        self.accounts = dict(map(self._make_account, range(ACCOUNTS)))
        self.zones = {peer.name: peer.zone for peer in peers}
        self._orders = {
            zone: make_all_preference_lists(self.owners, choice, zone)
            for zone in set(self.zones.values())
        }
        self._sessions = {
            name: self.rng.choices(self.names, k=SESSIONS) for name in self.accounts
        }
        # Callers of the first account come in on both sides of a split.
        self._sessions["account-0"] = self.names[:SESSIONS]
        self.messages: Counter[str] = Counter()
        self._mail: list[tuple[float, int, Lender, Callable[[], object]]] = []
        self._numbers = itertools.count()
        self.lost: frozenset[str] = frozenset()
        self.instances = {name: Member(self, name) for name in self.names}

    def _make_account(self, number: int) -> tuple[str, AccountSettings]:
        """Return an account; few are large, the first one is."""
        drawn = min(200.0, 2.0 * math.exp(self.rng.gauss(1.0, 1.0)))
        rate = drawn if number else HOT_RATE
        name = f"account-{number}"
        return name, AccountSettings(name, frozenset(), rate, rate * 0.5)

    def send(self, source: str, target: Lender, deliver: Callable[[], object]) -> None:
        """Put a message on its way."""
        self.messages[source] += 1
        self.messages[target.name] += 1
        if self.reaches(source, target.name):
            number = next(self._numbers)
            heapq.heappush(self._mail, (self.now + LATENCY, number, target, deliver))

    def reaches(self, source: str, target: str, notice: float = 0.0) -> bool:
        """Return whether an instance reaches another; `notice` seconds ago."""
        at = self.now - notice
        is_split = CALM_UNTIL <= at < SPLIT_UNTIL
        if is_split and self.sides[source] != self.sides[target]:
            return False
        return not (target in self.lost and at >= LOST_FROM)

    def choose_owner(self, name: str, slot: int) -> str:
        """Return the first owner of a slot that an instance takes to be in reach."""
        return self._choose_of(name, self._orders[self.zones[name]][slot][0])

    def list_counting_owners(self, name: str, slot: int) -> tuple[str, ...]:
        """Return who counts a slot's accounts, the one that an instance asks first."""
        first, *lines = self._orders[self.zones[name]][slot]
        others = (self._choose_of(name, line) for line in lines)
        reached = (each for each in others if self.reaches(name, each, DETECTION_TIME))
        return tuple(dict.fromkeys((self._choose_of(name, first), *reached)))

    def _choose_of(self, name: str, ordered: PreferenceList) -> str:
        """Return the first of some owners that an instance takes to be in reach."""
        fit = (
            peer.name
            for peer in ordered
            if self.reaches(name, peer.name, DETECTION_TIME)
        )
        return next(fit, ordered[0].name)

    def advance(self) -> None:
        """Let some time pass."""
        self.now += STEP
        if self.now >= LOST_FROM and not self.lost:
            self.lost = frozenset({self.owners[0].name})
        while self._mail and self._mail[0][0] <= self.now:
            _, _, target, deliver = heapq.heappop(self._mail)
            if target.name not in self.lost:
                deliver()

    def draw_operations(self) -> list[tuple[str, str]]:
        """Return who asks now: accounts, and the instances that they ask."""
        asked = []
        for number, account in enumerate(self.accounts.values()):
            load = USUAL_LOAD if number else HOT_LOAD
            for _ in range(draw_poisson(self.rng, account.rate * load * STEP)):
                instance = self.rng.choice(self._sessions[account.name])
                if instance not in self.lost:
                    asked.append((account.name, instance))
        return asked


def draw_poisson(rng: random.Random, mean: float) -> int:
    """Return a number with the Poisson distribution of a small mean."""
    limit, product, number = math.exp(-mean), rng.random(), 0
    while product > limit:
        product *= rng.random()
        number += 1
    return number


class Recorder:
    """Counts what was asked, refused and run, by account and window."""

    def __init__(self, accounts: dict[str, AccountSettings]):
        self._accounts = accounts
        self._asked = {name: deque() for name in accounts}
        self._run = {name: deque() for name in accounts}
        self._phases: Counter[tuple[str, bool]] = Counter()
        self.excess = 0.0

    def note(self, name: str, now: float, is_run: bool) -> None:
        """Take in one operation."""
        account, asked = self._accounts[name], self._asked[name]
        _add(asked, now)
        if is_run:
            _add(self._run[name], now)
            allowed = account.rate * WINDOW + account.burst
            most = allowed * (1 + TOLERANCE.overage) + TOLERANCE.slack
            self.excess = max(self.excess, len(self._run[name]) / most)
        is_within = len(asked) <= account.rate * WINDOW + account.burst
        if now >= FIRST_JUDGED and is_within:
            self._phases[get_phase(now), is_run] += 1

    def get_phases(self) -> tuple[Phase, ...]:
        """Return the figures of each part of the run."""
        return tuple(
            Phase(
                name,
                self._phases[name, True] + self._phases[name, False],
                self._phases[name, False],
            )
            for name in ("calm", "split", "lost")
        )


def get_phase(now: float) -> str:
    """Return the name of a part of a run; what follows the split counts to it."""
    if now < CALM_UNTIL:
        return "calm"
    return "split" if now < LOST_FROM else "lost"


def _add(times: deque, now: float) -> None:
    """Add a time, and drop what is older than a window."""
    times.append(now)
    while times[0] <= now - WINDOW:
        times.popleft()
