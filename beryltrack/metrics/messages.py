"""Types of metrics, and the interface by which other packages record them.

Other packages depend on these types only, so that a process loads just the format of
metrics that its deployment scrapes.
"""

import enum
from typing import NamedTuple, Protocol


class RequestKind(enum.Enum):
    """Whether a request read or wrote."""

    READ = "read"
    WRITE = "write"

    # Members are singletons. The default hash by name is slow for each statement.
    __hash__ = object.__hash__


class RequestOutcome(enum.Enum):
    """How a request ended.

    DONE: a target answered, possibly with an error. NOT_RUN, ROLLED_BACK and UNKNOWN
    are the three outcomes of the proxy's own errors.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    ROLLED_BACK = "rolled_back"
    UNKNOWN = "unknown"

    # Members are singletons. The default hash by name is slow for each statement.
    __hash__ = object.__hash__


class TargetKind(enum.Enum):
    """Kind of the target that served a request; NONE if it was not run."""

    REPLICA = "replica"
    PRIMARY = "primary"
    NONE = "none"

    # Members are singletons. The default hash by name is slow for each statement.
    __hash__ = object.__hash__


class PoolUse(NamedTuple):
    """Use of one instance's connections to a database.

    Parameters
    ----------
    group : str
        Name of the group.
    database : str
        Name of the database.
    busy : int
        Connections that run a statement or a transaction.
    idle : int
        Connections that are not in use.
    waiting : int
        Requests that wait for a connection.
    allowed : int
        Maximum number of connections that this instance may have now.
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
"""Name, labels in the Prometheus text format, and value."""


def format_label(name: str, value: str) -> str:
    """Return a label in the Prometheus text format, with its value escaped."""
    escaped = value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
    return f'{name}="{escaped}"'


class RequestSummary(NamedTuple):
    """The end of a request, by its priority and whether it has an account.

    Parameters
    ----------
    priority : int
        Priority of its route; zero is the most urgent.
    has_account : bool
        True if its caller has a client account.
    is_served : bool
        True if a target answered it.
    is_in_aim : bool
        True if the answer came within the target latency of its route.
    refused_for : str
        The refusal reason, as in the log field ``verdict``; empty if it was not
        refused.
    """

    priority: int
    has_account: bool
    is_served: bool
    is_in_aim: bool
    refused_for: str = ""


class RequestMetrics(Protocol):
    """Receives the metrics that the execution of requests reports."""

    def count_request(
        self, kind: RequestKind, outcome: RequestOutcome, target: TargetKind
    ) -> None:
        """Count a request that ended, by kind, outcome and target."""

    def count_by_priority(self, summary: RequestSummary) -> None:
        """Count a request that ended, by priority and account class."""

    def record_queue_time(self, seconds: float) -> None:
        """Record how many seconds a request waited for a connection."""

    def record_wait_by_priority(
        self, priority: int, has_account: bool, seconds: float
    ) -> None:
        """Record how many seconds a request waited, even if it got no connection."""

    def record_confirm_wait(self, seconds: float) -> None:
        """Record how many seconds a commit waited for a majority to receive it."""
