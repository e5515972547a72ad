"""Kinds of counts and the interface by which the slices report them.

The slices know only these types, so that a process can carry whichever form of
metrics its deployment scrapes, and loads no other.
"""

import enum
from typing import NamedTuple, Protocol


class RequestKind(enum.Enum):
    """What a request did."""

    READ = "read"
    WRITE = "write"

    # Members are singletons; the hash by name is slow on the path of a statement.
    __hash__ = object.__hash__


class RequestOutcome(enum.Enum):
    """How a request ended.

    DONE was answered by a target, errors of its own included. NOT_RUN,
    ROLLED_BACK and UNKNOWN are the three kinds of refusal.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    ROLLED_BACK = "rolled_back"
    UNKNOWN = "unknown"

    # Members are singletons; the hash by name is slow on the path of a statement.
    __hash__ = object.__hash__


class TargetKind(enum.Enum):
    """Which kind of target served a request; NONE if it was not run."""

    REPLICA = "replica"
    PRIMARY = "primary"
    NONE = "none"

    # Members are singletons; the hash by name is slow on the path of a statement.
    __hash__ = object.__hash__


class PoolUse(NamedTuple):
    """How far a database's connections are used by this instance.

    Parameters
    ----------
    group : str
        Name of the group.
    database : str
        Name of the database.
    busy : int
        Connections that run a statement or a transaction.
    idle : int
        Connections that wait for work.
    waiting : int
        Requests that wait for a connection.
    allowed : int
        Connections that this instance may have now.
    """

    group: str
    database: str
    busy: int
    idle: int
    waiting: int
    allowed: int


class Counters(NamedTuple):
    """Counts since the start of the instance.

    Parameters
    ----------
    replica_reads : int
        Reads that a replica served.
    primary_reads : int
        Reads that a primary served.
    writes : int
        Writes that were acknowledged.
    not_run : int
        Requests refused as not run.
    rolled_back : int
        Requests that ended as rolled back.
    unknown : int
        Requests whose outcome is unknown.
    failovers : int
        Changes of primary that this instance carried out.
    """

    replica_reads: int
    primary_reads: int
    writes: int
    not_run: int
    rolled_back: int
    unknown: int
    failovers: int


def compute_replica_share(counters: Counters) -> float | None:
    """Return the share of reads that replicas served; None without reads."""
    reads = counters.replica_reads + counters.primary_reads
    return counters.replica_reads / reads if reads else None


MetricSample = tuple[str, str, float]
"""Name, labels in the text form, and value."""


def format_label(name: str, value: str) -> str:
    """Return a label in the text form; the value may be any that operators chose."""
    escaped = value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
    return f'{name}="{escaped}"'


class RequestSummary(NamedTuple):
    """How a request ended, by what it had asked for.

    Parameters
    ----------
    priority : int
        Zero is the most urgent.
    has_account : bool
        True if a client account asked for it.
    is_served : bool
        True if a target answered it.
    is_in_aim : bool
        True if that was within the target latency of its route.
    refused_for : str
        Why it was refused before it ran, in one word of few; empty if it was not.
    """

    priority: int
    has_account: bool
    is_served: bool
    is_in_aim: bool
    refused_for: str = ""


class RequestMetrics(Protocol):
    """Takes what the courses of requests report."""

    def count_request(
        self, kind: RequestKind, outcome: RequestOutcome, target: TargetKind
    ) -> None:
        """Count one request that ended."""

    def count_by_priority(self, end: RequestSummary) -> None:
        """Count the same request by what it had asked for."""

    def record_queue_time(self, seconds: float) -> None:
        """Record how long a request waited for a connection."""

    def record_wait_by_priority(
        self, priority: int, has_account: bool, seconds: float
    ) -> None:
        """Record the same by what it asks for, also if it got no connection."""

    def record_confirm_wait(self, seconds: float) -> None:
        """Record how long a commit waited for a majority to receive it."""
