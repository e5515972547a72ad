"""What the decisions under load are told, and what they answer.

An operation is one statement, or a transaction. Times that pass between instances are
durations, so that no two clocks are compared: whoever receives one counts it from the
moment of the receipt.
"""

import math
from typing import NamedTuple, Protocol

from beryltrack.connections.messages import RefusalReason

LOWEST_PRIORITY = 3
"""Priorities beyond this one count as this one; zero is the most urgent."""


class Demand(NamedTuple):
    """What an operation asks of its database.

    Parameters
    ----------
    priority : int
        Zero is the most urgent, `LOWEST_PRIORITY` the least.
    latency_left : float
        Seconds within which its caller wants it done; below zero once it is late.
    time_left : float
        Seconds after which its result is of no use.
    account : str
        Whose operation it is; empty where there are no accounts.
    is_displaced : bool
        True for a read that a replica would run if it were not behind.
    is_retry : bool
        True if its caller was refused, and comes back when it was told to. Other
        instances are not told.
    """

    priority: int = 0
    latency_left: float = math.inf
    time_left: float = math.inf
    account: str = ""
    is_displaced: bool = False
    is_retry: bool = False

    def after(self, elapsed: float) -> "Demand":
        """Return the demand as it is some seconds later."""
        return self._replace(
            latency_left=self.latency_left - elapsed, time_left=self.time_left - elapsed
        )


DEFAULT_DEMAND = Demand()
"""Of an operation of which nothing is known, as instances of earlier releases send."""


class DatabaseReport(NamedTuple):
    """What an owner tells of the load of one database.

    Parameters
    ----------
    limit : int
        Operations that it lets run there at once.
    running : int
        Operations that it has running there.
    waits : tuple of float
        Expected wait of an operation that comes now, seconds, by priority from zero on.
        A priority beyond the last entry waits as long as the last one.
    service_time : float
        Usual time of a statement at the database, seconds.
    incarnation : int
        Number of the owner's process; reports of an earlier one are void.
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
    """Refuse an operation that waits or has just come; it has not run.

    Parameters
    ----------
    operation : int
        Its number.
    reason : RefusalReason
        Why.
    retry_after : float
        Seconds after which to come back.
    """

    operation: int
    reason: RefusalReason
    retry_after: float


GateAction = Run | Refuse
"""What a gate decides; an operation without an action waits."""


class ExpectedTimes(NamedTuple):
    """What an operation may expect of a database.

    Parameters
    ----------
    wait : float
        Seconds until it runs there; 0 if unknown.
    service_time : float
        Usual seconds of a statement there; 0 if unknown.
    """

    wait: float = 0.0
    service_time: float = 0.0


class OwnerLoads(Protocol):
    """What is known of the databases' load through each owner."""

    def get_wait(self, owner: str, database: str, priority: int) -> float:
        """Return the expected wait through an owner, seconds.

        Zero if nothing is known, or if what was told is too old to go by. `owner` is
        empty for this instance's own connections.
        """

    def get_service_time(self, database: str) -> float:
        """Return the usual time of a statement at a database, seconds; 0 if unknown."""
