"""Inputs and outputs of the overload control.

An operation is one statement or one transaction. Times that pass between instances
are durations: the receiver counts them from the moment of receipt, so that no two
clocks are compared.
"""

import math
from typing import NamedTuple, Protocol

from beryltrack.connections.messages import RefusalReason

LOWEST_PRIORITY = 3
"""The least urgent priority, as zero is the most urgent; higher numbers count as it."""


class Demand(NamedTuple):
    """What an operation requires of its database, for scheduling and admission.

    Parameters
    ----------
    priority : int
        Zero is the most urgent, `LOWEST_PRIORITY` the least.
    latency_left : float
        Seconds until its latency deadline; negative once that has passed.
    time_left : float
        Seconds until its deadline, after which its result is of no use.
    account : str
        Account that it belongs to; empty where there are no accounts.
    is_displaced : bool
        True for a read that a replica would run if it were not behind.
    is_retry : bool
        True if its caller was refused and retries after the time that it was given.
        Not sent to other instances.
    """

    priority: int = 0
    latency_left: float = math.inf
    time_left: float = math.inf
    account: str = ""
    is_displaced: bool = False
    is_retry: bool = False

    def after(self, elapsed: float) -> "Demand":
        """Return the demand as it is after some seconds."""
        return self._replace(
            latency_left=self.latency_left - elapsed, time_left=self.time_left - elapsed
        )


DEFAULT_DEMAND = Demand()
"""Demand of an operation that states none, as from instances of earlier releases."""


class DatabaseReport(NamedTuple):
    """Load of one database as its owner reports it.

    Parameters
    ----------
    limit : int
        Operations that the owner lets run there at once.
    running : int
        Operations that the owner has running there.
    waits : tuple of float
        Expected wait of an operation that arrives now, seconds, by priority from zero
        on. A priority beyond the last entry waits as long as the last one.
    service_time : float
        Mean time of a statement at the database, seconds; 0 if unknown.
    incarnation : int
        Number of the owner's process; it invalidates reports of earlier processes.
    """

    limit: int
    running: int
    waits: tuple[float, ...]
    service_time: float
    incarnation: int

    def get_wait(self, priority: int) -> float:
        """Return the expected wait of a priority, seconds."""
        return self.waits[min(priority, len(self.waits) - 1)] if self.waits else 0.0


class Run(NamedTuple):
    """Let an operation run now."""

    operation: int


class Refuse(NamedTuple):
    """Refuse an operation that waits or has just arrived; it has not run.

    Parameters
    ----------
    operation : int
        Its number.
    reason : RefusalReason
        The refusal reason.
    retry_after : float
        Seconds after which its caller may retry.
    """

    operation: int
    reason: RefusalReason
    retry_after: float


GateAction = Run | Refuse
"""A gate's decision; an operation without an action waits."""


class ExpectedTimes(NamedTuple):
    """Expected times of an operation at a database.

    Parameters
    ----------
    wait : float
        Seconds until it runs; 0 if unknown.
    service_time : float
        Mean seconds of a statement; 0 if unknown.
    """

    wait: float = 0.0
    service_time: float = 0.0


class OwnerLoads(Protocol):
    """Estimates of the databases' load, by the owner through which they are reached."""

    def get_wait(self, owner: str, database: str, priority: int) -> float:
        """Return the expected wait through an owner, seconds.

        Zero if there is no report or the last one has expired. `owner` is empty for
        this instance's own connections.
        """

    def get_service_time(self, database: str) -> float:
        """Return the mean time of a statement at a database, seconds; 0 if unknown."""
