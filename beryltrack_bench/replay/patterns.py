"""Load patterns: who asks for what, and what happens to the database meanwhile.

Loads are in multiples of what the database carries, so that a pattern means the same
whatever its slots are. Times are parts of the run. Tests use the same patterns.
"""

import random
from collections.abc import Iterator
from typing import NamedTuple

from beryltrack.load.messages import LOWEST_PRIORITY, Demand
from beryltrack_bench.overload.workload import (
    TRANSACTION_SHARE,
    TRANSACTION_STATEMENTS,
    draw_statements,
)

WORK = 0.004
"""Mean seconds that a statement takes at the database (an assumption; databases of the
users' platform answer most statements in 1 to 40 ms)."""

STATEMENTS = 1 + TRANSACTION_SHARE * (TRANSACTION_STATEMENTS - 1)
"""Mean statements of an operation."""

AIMS = (0.15, 0.15, 0.25, 0.6)
"""Target latency of each priority, seconds (an assumption, as usual routes have)."""

DEADLINES = (1.0, 1.5, 2.0, 4.0)
"""Seconds after which the result of each priority is of no use."""

PRIORITIES = tuple(range(LOWEST_PRIORITY + 1))

HOT_ACCOUNT = "hot"


class Window(NamedTuple):
    """A part of a run, from 0.0 to 1.0 of its length."""

    start: float = 0.0
    end: float = 1.0


WHOLE = Window()


class Stream(NamedTuple):
    """Operations of one kind that come at a steady rate for a while.

    Parameters
    ----------
    priority : int
        Their priority.
    load : float
        Operations, by what the database carries.
    window : Window
        When they come.
    account : str
        Whose they are; empty for any of the accounts.
    zone : int or None
        Availability zone of the instances that they come in at; None for all.
    is_displaced : bool
        True for reads that replicas would run if they were not behind.
    """

    priority: int
    load: float
    window: Window = WHOLE
    account: str = ""
    zone: int | None = None
    is_displaced: bool = False


class Pattern(NamedTuple):
    """One load pattern.

    Parameters
    ----------
    streams : tuple of Stream
        What comes.
    has_accounts : bool
        True if an operation's account says which owner decides; the zone otherwise.
    slow : Window or None
        When the database takes `SLOW_FACTOR` times as long.
    hanging : Window or None
        When it answers nothing.
    owner_lost : float or None
        When the first owner is lost without a sign, and stays away.
    """

    streams: tuple[Stream, ...]
    has_accounts: bool = True
    slow: Window | None = None
    hanging: Window | None = None
    owner_lost: float | None = None


SLOW_FACTOR = 8.0


def make_even(load: float, priorities: tuple[int, ...] = PRIORITIES):
    """Return a steady load, in even parts of some priorities."""
    return tuple(Stream(each, load / len(priorities)) for each in priorities)


PATTERNS = {
    "usual load": Pattern(make_even(0.8)),
    "bursts of the least urgent": Pattern(
        (
            *make_even(0.6, PRIORITIES[:-1]),
            Stream(LOWEST_PRIORITY, 3.0, Window(0.25, 0.45)),
            Stream(LOWEST_PRIORITY, 3.0, Window(0.6, 0.8)),
        )
    ),
    "one hot account": Pattern(
        (*make_even(0.6), Stream(1, 2.0, Window(0.2, 0.8), HOT_ACCOUNT))
    ),
    "waves of unlike zones": Pattern(
        (
            *make_even(0.2),
            *(
                Stream(priority, 0.25, Window(zone / 3, (zone + 1) / 3), zone=zone)
                for zone in range(3)
                for priority in PRIORITIES
            ),
        ),
        has_accounts=False,
    ),
    "slow database": Pattern(make_even(0.7), slow=Window(0.3, 0.5)),
    "hanging database": Pattern(make_even(0.7), hanging=Window(0.3, 0.45)),
    "replicas that lag": Pattern(
        (
            *make_even(0.6),
            Stream(0, 0.5, Window(0.3, 0.7), is_displaced=True),
            Stream(2, 1.0, Window(0.3, 0.7), is_displaced=True),
        )
    ),
    "lost owner": Pattern(make_even(0.8), owner_lost=0.4),
    "twice the load": Pattern(make_even(2.0)),
    "four times the load": Pattern(make_even(4.0)),
}
"""All patterns, by name."""


class Sizes(NamedTuple):
    """How large the site is.

    Parameters
    ----------
    instances : int
        Instances that callers come in at.
    owners : int
        How many of them hold the connections to the database.
    slots : int
        Statements that the database runs at once.
    connections : int
        Most connections to it.
    accounts : int
        Client accounts.
    zones : int
        Availability zones.
    """

    instances: int = 72
    owners: int = 3
    slots: int = 3
    connections: int = 30
    accounts: int = 40
    zones: int = 3

    @property
    def capacity(self) -> float:
        """Operations a second that the database carries."""
        return self.slots / (STATEMENTS * WORK)


def find_faults(sizes: Sizes) -> list[str]:
    """Return why a site of these sizes cannot be played; empty if it can."""
    small = (name for name, number in sizes._asdict().items() if number < 1)
    bounds = (
        (sizes.owners > sizes.instances, "more owners than instances"),
        (sizes.zones > sizes.instances, "more zones than instances"),
        (sizes.connections < sizes.owners, "fewer connections than owners"),
    )
    wrong = [text for is_wrong, text in bounds if is_wrong]
    return [f"{name} must be 1 or more" for name in small] or wrong


class Operation(NamedTuple):
    """One operation of a caller.

    Parameters
    ----------
    at : float
        When it comes, seconds.
    instance : int
        Number of the instance that it comes in at.
    demand : Demand
        What it asks for.
    works : tuple of float
        Seconds that each of its statements takes at the database.
    """

    at: float
    instance: int
    demand: Demand
    works: tuple[float, ...]


def draw_operations(
    pattern: Pattern, sizes: Sizes, seconds: float, rng: random.Random
) -> list[Operation]:
    """Return all operations of a run, in the order in which they come."""
    drawn = (
        operation
        for stream in pattern.streams
        for operation in _draw_stream(stream, sizes, seconds, rng)
    )
    return sorted(drawn, key=lambda operation: operation.at)


def _draw_stream(
    stream: Stream, sizes: Sizes, seconds: float, rng: random.Random
) -> Iterator[Operation]:
    """Return the operations of one stream."""
    at, end = (part * seconds for part in stream.window)
    is_everywhere = stream.zone is None
    zone, step = (0, 1) if is_everywhere else (stream.zone % sizes.zones, sizes.zones)
    priority = stream.priority
    while (at := at + rng.expovariate(stream.load * sizes.capacity)) < end:
        account = stream.account or f"account-{rng.randrange(sizes.accounts)}"
        demand = Demand(
            priority, AIMS[priority], DEADLINES[priority], account, stream.is_displaced
        )
        works = (rng.expovariate(1 / WORK) for _ in range(draw_statements(rng)))
        instance = rng.randrange(zone, sizes.instances, step)
        yield Operation(at, instance, demand, tuple(works))
