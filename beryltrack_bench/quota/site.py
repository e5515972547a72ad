"""A simulated fleet under per-account load, with faults, and the recorded figures.

An account's callers have a few sessions, each at one instance. The strategy decides
which process counts an operation. A partition splits the fleet for a while, and later
an owner crashes without closing its connections.
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
"""Simulated seconds of a step."""

LATENCY = 0.003
"""One-way delay of a message, seconds."""

DETECTION_TIME = 0.3
"""Seconds until others detect that an instance is unreachable and skip it."""

WINDOW, TOLERANCE = 5.0, Tolerance(0.1, 20.0, 5.0)
"""The window in which limits hold, seconds, and how far they may be exceeded."""

ZONES = 4
ACCOUNTS = 60
SESSIONS = 3
"""Sessions of an account, each at one instance."""

USUAL_LOAD, HOT_LOAD = 0.6, 7.5
"""Offered load of an account as a factor of its limit; the first account is hot."""

HOT_RATE = 40.0
"""Limit of the first account, operations a second."""

MIN_CONNECTIONS = 128
"""Connections of the smallest database; enough for one owner in each zone."""

CALM_UNTIL, SPLIT_UNTIL, LOST_FROM, END = 10.0, 16.0, 20.0, 26.0
"""Seconds at which the partition begins and ends, the owner is lost, the run ends."""

EVALUATED_FROM = 2.0
"""Seconds after which refusals are counted."""


class Phase(NamedTuple):
    """Operations within the accounts' limits during one phase of a run.

    Parameters
    ----------
    name : str
        Calm, split or lost.
    asked : int
        Operations requested by accounts that were within their limit.
    refused : int
        Number of these that were refused.
    """

    name: str
    asked: int
    refused: int


class Figures(NamedTuple):
    """The figures of a run.

    Parameters
    ----------
    phases : tuple of Phase
        One entry for each phase, in order.
    excess : float
        Maximum over accounts and windows of the operations run, divided by the
        number allowed including the tolerance. Above one the limit is broken.
    messages_per_second : float
        Messages between all instances in the calm phase.
    owner_messages_per_second : float
        Messages that the busiest instance sends and receives.
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
        """Return the first owner of a slot that this instance considers reachable."""
        return self._site.choose_owner(self.name, slot)


class QuotaSite:
    """The instances, the accounts and the messages in flight.

    Parameters
    ----------
    count : int
        Number of instances.
    seed : int
        Seed of the accounts and of their operations.
    owner_policy : SlotOwnerPolicy
        Chooses the owners of an account hash slot.
    """

    def __init__(
        self,
        count: int,
        seed: int,
        owner_policy: SlotOwnerPolicy = FleetOwners(),  # noqa: B008 (stateless)
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
        self._preference_lists = {
            zone: make_all_preference_lists(self.owners, owner_policy, zone)
            for zone in set(self.zones.values())
        }
        self._sessions = {
            name: self.rng.choices(self.names, k=SESSIONS) for name in self.accounts
        }
        # The first account has sessions on both sides of the partition.
        self._sessions["account-0"] = self.names[:SESSIONS]
        self.messages: Counter[str] = Counter()
        self._in_flight: list[tuple[float, int, Lender, Callable[[], object]]] = []
        self._numbers = itertools.count()
        self.lost: frozenset[str] = frozenset()
        self.instances = {name: Member(self, name) for name in self.names}

    def _make_account(self, number: int) -> tuple[str, AccountSettings]:
        """Return an account; few have a large limit, among them the first."""
        drawn = min(200.0, 2.0 * math.exp(self.rng.gauss(1.0, 1.0)))
        rate = drawn if number else HOT_RATE
        name = f"account-{number}"
        return name, AccountSettings(name, frozenset(), rate, rate * 0.5)

    def send(self, source: str, target: Lender, deliver: Callable[[], object]) -> None:
        """Send a message; it is dropped if the target is unreachable."""
        self.messages[source] += 1
        self.messages[target.name] += 1
        if self.reaches(source, target.name):
            number = next(self._numbers)
            heapq.heappush(
                self._in_flight, (self.now + LATENCY, number, target, deliver)
            )

    def reaches(self, source: str, target: str, age: float = 0.0) -> bool:
        """Return whether an instance could reach another `age` seconds ago."""
        at = self.now - age
        is_split = CALM_UNTIL <= at < SPLIT_UNTIL
        if is_split and self.sides[source] != self.sides[target]:
            return False
        return not (target in self.lost and at >= LOST_FROM)

    def choose_owner(self, name: str, slot: int) -> str:
        """Return the first owner of a slot that an instance considers reachable."""
        return self._choose_reachable(
            name, self._preference_lists[self.zones[name]][slot][0]
        )

    def list_counting_owners(self, name: str, slot: int) -> tuple[str, ...]:
        """Return the owners that count a slot's accounts, the preferred one first."""
        first, *lists = self._preference_lists[self.zones[name]][slot]
        others = (self._choose_reachable(name, each) for each in lists)
        reached = (each for each in others if self.reaches(name, each, DETECTION_TIME))
        return tuple(dict.fromkeys((self._choose_reachable(name, first), *reached)))

    def _choose_reachable(self, name: str, ordered: PreferenceList) -> str:
        """Return the first owner of a list that an instance considers reachable."""
        fit = (
            peer.name
            for peer in ordered
            if self.reaches(name, peer.name, DETECTION_TIME)
        )
        return next(fit, ordered[0].name)

    def advance(self) -> None:
        """Advance the time by a step and deliver the messages that are due."""
        self.now += STEP
        if self.now >= LOST_FROM and not self.lost:
            self.lost = frozenset({self.owners[0].name})
        while self._in_flight and self._in_flight[0][0] <= self.now:
            _, _, target, deliver = heapq.heappop(self._in_flight)
            if target.name not in self.lost:
                deliver()

    def draw_operations(self) -> list[tuple[str, str]]:
        """Return the operations of this step, as pairs of account and instance."""
        operations = []
        for number, account in enumerate(self.accounts.values()):
            load = USUAL_LOAD if number else HOT_LOAD
            for _ in range(draw_poisson(self.rng, account.rate * load * STEP)):
                instance = self.rng.choice(self._sessions[account.name])
                if instance not in self.lost:
                    operations.append((account.name, instance))
        return operations


def draw_poisson(rng: random.Random, mean: float) -> int:
    """Return a Poisson random number by Knuth's algorithm, for a small mean."""
    limit, product, number = math.exp(-mean), rng.random(), 0
    while product > limit:
        product *= rng.random()
        number += 1
    return number


class Recorder:
    """Counts operations requested, refused and run, by account in sliding windows."""

    def __init__(self, accounts: dict[str, AccountSettings]):
        self._accounts = accounts
        self._asked = {name: deque() for name in accounts}
        self._run = {name: deque() for name in accounts}
        self._phases: Counter[tuple[str, bool]] = Counter()
        self.excess = 0.0

    def record(self, name: str, now: float, is_run: bool) -> None:
        """Record one operation, which was run or refused."""
        account, asked = self._accounts[name], self._asked[name]
        _add(asked, now)
        if is_run:
            _add(self._run[name], now)
            allowed = account.rate * WINDOW + account.burst
            max_allowed = allowed * (1 + TOLERANCE.overage) + TOLERANCE.slack
            self.excess = max(self.excess, len(self._run[name]) / max_allowed)
        is_within = len(asked) <= account.rate * WINDOW + account.burst
        if now >= EVALUATED_FROM and is_within:
            self._phases[get_phase(now), is_run] += 1

    def get_phases(self) -> tuple[Phase, ...]:
        """Return the figures of each phase of the run."""
        return tuple(
            Phase(
                name,
                self._phases[name, True] + self._phases[name, False],
                self._phases[name, False],
            )
            for name in ("calm", "split", "lost")
        )


def get_phase(now: float) -> str:
    """Return the phase at a time; the recovery after the split counts as split."""
    if now < CALM_UNTIL:
        return "calm"
    return "split" if now < LOST_FROM else "lost"


def _add(times: deque, now: float) -> None:
    """Add a time, and drop those older than a window."""
    times.append(now)
    while times[0] <= now - WINDOW:
        times.popleft()
