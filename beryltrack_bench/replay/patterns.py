"""Load patterns: streams of operations, and faults of the database and the owners.

Loads are in multiples of the database's capacity, so that a pattern is independent of
the number of slots. Times are fractions of the run. Tests use the same patterns.
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

MEAN_SERVICE_TIME = 0.004
"""Mean service time of a statement at the database, seconds (an assumption;
production databases answer most statements in 1 to 40 ms)."""

MEAN_STATEMENTS = 1 + TRANSACTION_SHARE * (TRANSACTION_STATEMENTS - 1)
"""Mean statements of an operation."""

TARGET_LATENCIES = (0.15, 0.15, 0.25, 0.6)
"""Target latency of each priority, seconds (an assumption; typical for routes)."""

DEADLINES = (1.0, 1.5, 2.0, 4.0)
"""Deadline of each priority, seconds from the arrival of an operation."""

PRIORITIES = tuple(range(LOWEST_PRIORITY + 1))

HOT_ACCOUNT = "hot"


class Window(NamedTuple):
    """An interval of a run, as fractions from 0.0 to 1.0 of its length."""

    start: float = 0.0
    end: float = 1.0


WHOLE = Window()


class Stream(NamedTuple):
    """Operations of one kind that arrive at a steady mean rate.

    Parameters
    ----------
    priority : int
        Priority of the operations.
    load : float
        Arrival rate, in multiples of the database's capacity.
    window : Window
        When they arrive.
    account : str
        Their account; empty for a random one each.
    zone : int or None
        Availability zone of the receiving instances; None for all.
    is_displaced : bool
        True for displaced reads, which replicas would run if they did not lag.
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
        The load.
    has_accounts : bool
        True if an operation's account selects the owner; otherwise the zone does.
    slow : Window or None
        When statements take `SLOW_FACTOR` times as long.
    hanging : Window or None
        When the database answers nothing.
    owner_lost : float or None
        When the first owner crashes without closing its connections, for good.
    """

    streams: tuple[Stream, ...]
    has_accounts: bool = True
    slow: Window | None = None
    hanging: Window | None = None
    owner_lost: float | None = None


SLOW_FACTOR = 8.0
"""Factor of the service times of a slow database."""


def make_even_load(load: float, priorities: tuple[int, ...] = PRIORITIES):
    """Return a steady load, split evenly among some priorities."""
    return tuple(Stream(each, load / len(priorities)) for each in priorities)


PATTERNS = {
    "usual load": Pattern(make_even_load(0.8)),
    "bursts of the least urgent": Pattern(
        (
            *make_even_load(0.6, PRIORITIES[:-1]),
            Stream(LOWEST_PRIORITY, 3.0, Window(0.25, 0.45)),
            Stream(LOWEST_PRIORITY, 3.0, Window(0.6, 0.8)),
        )
    ),
    "one hot account": Pattern(
        (*make_even_load(0.6), Stream(1, 2.0, Window(0.2, 0.8), HOT_ACCOUNT))
    ),
    "waves of unlike zones": Pattern(
        (
            *make_even_load(0.2),
            *(
                Stream(priority, 0.25, Window(zone / 3, (zone + 1) / 3), zone=zone)
                for zone in range(3)
                for priority in PRIORITIES
            ),
        ),
        has_accounts=False,
    ),
    "slow database": Pattern(make_even_load(0.7), slow=Window(0.3, 0.5)),
    "hanging database": Pattern(make_even_load(0.7), hanging=Window(0.3, 0.45)),
    "replicas that lag": Pattern(
        (
            *make_even_load(0.6),
            Stream(0, 0.5, Window(0.3, 0.7), is_displaced=True),
            Stream(2, 1.0, Window(0.3, 0.7), is_displaced=True),
        )
    ),
    "lost owner": Pattern(make_even_load(0.8), owner_lost=0.4),
    "twice the load": Pattern(make_even_load(2.0)),
    "four times the load": Pattern(make_even_load(4.0)),
}
"""All patterns, by name."""


class Sizes(NamedTuple):
    """Sizes of the site.

    Parameters
    ----------
    instances : int
        Instances that receive operations.
    owners : int
        Number of them that hold the connections to the database.
    slots : int
        Statements that the database runs at once.
    connections : int
        Maximum of connections to the database.
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
        """Mean throughput of the saturated database, operations a second."""
        return self.slots / (MEAN_STATEMENTS * MEAN_SERVICE_TIME)


def validate_sizes(sizes: Sizes) -> list[str]:
    """Return the reasons why a site cannot have these sizes; empty if it can."""
    small = (name for name, number in sizes._asdict().items() if number < 1)
    bounds = (
        (sizes.owners > sizes.instances, "more owners than instances"),
        (sizes.zones > sizes.instances, "more zones than instances"),
        (sizes.connections < sizes.owners, "fewer connections than owners"),
    )
    problems = [text for is_exceeded, text in bounds if is_exceeded]
    return [f"{name} must be 1 or more" for name in small] or problems


class Operation(NamedTuple):
    """One operation of a caller.

    Parameters
    ----------
    at : float
        Time of its arrival, seconds.
    instance : int
        Number of the receiving instance.
    demand : Demand
        Its priority, times and account.
    service_times : tuple of float
        Service time of each of its statements, seconds.
    """

    at: float
    instance: int
    demand: Demand
    service_times: tuple[float, ...]


def draw_operations(
    pattern: Pattern, sizes: Sizes, seconds: float, rng: random.Random
) -> list[Operation]:
    """Return all operations of a run, in order of arrival."""
    drawn = (
        operation
        for stream in pattern.streams
        for operation in _draw_stream(stream, sizes, seconds, rng)
    )
    return sorted(drawn, key=lambda operation: operation.at)


def _draw_stream(
    stream: Stream, sizes: Sizes, seconds: float, rng: random.Random
) -> Iterator[Operation]:
    """Return the operations of one stream, a Poisson process."""
    at, end = (fraction * seconds for fraction in stream.window)
    is_everywhere = stream.zone is None
    zone, step = (0, 1) if is_everywhere else (stream.zone % sizes.zones, sizes.zones)
    priority = stream.priority
    while (at := at + rng.expovariate(stream.load * sizes.capacity)) < end:
        account = stream.account or f"account-{rng.randrange(sizes.accounts)}"
        demand = Demand(
            priority,
            TARGET_LATENCIES[priority],
            DEADLINES[priority],
            account,
            stream.is_displaced,
        )
        service_times = (
            rng.expovariate(1 / MEAN_SERVICE_TIME) for _ in range(draw_statements(rng))
        )
        instance = rng.randrange(zone, sizes.instances, step)
        yield Operation(at, instance, demand, tuple(service_times))
