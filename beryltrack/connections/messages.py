"""Messages and actions of connection pools, and the interface of their connections.

Waiters and connections are identified by numbers, so that `PoolDecider` needs no I/O.
"""

from enum import Enum
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred

from beryltrack.errors import (
    CANNOT_CONNECT_NOW,
    CONFIGURATION_LIMIT_EXCEEDED,
    TOO_MANY_CONNECTIONS,
)


class PooledConnection(Protocol):
    """A connection to a target, as pools use it.

    `run_since` is when the request that runs was sent, in seconds of the instance's
    clock; None if none runs. `run_until` is when that request counts as overdue.
    `last_run_time` is how many seconds the last request took to be answered, 0 before
    the first. `via` is the owner through which the connection goes; empty if it is
    direct. `observer`, if set, is notified of each statement.
    """

    run_since: float | None
    run_until: float
    last_run_time: float
    via: str
    observer: "RunObserver | None"

    @property
    def broken(self) -> bool:
        """True if the connection's state is uncertain: it must not be used again."""

    @property
    def closed(self) -> Deferred[None]:
        """Fires once when the connection has ended; callbacks return their value."""

    def close(self) -> None:
        """Close the connection; `closed` fires when it has ended."""


class RunObserver(Protocol):
    """Observes the statements that run on a connection while a request holds it."""

    def observe_start(self) -> None:
        """Record that a statement is sent."""

    def observe_end(self, seconds: float, end: object) -> None:
        """Record that a statement has ended.

        Parameters
        ----------
        seconds : float
            Its duration.
        end : ResponseEnd or Failure
            The end of its answer, or its failure.
        """


class RefusalReason(Enum):
    """Why a pool gave no connection; in each case the request was not run."""

    QUEUE_FULL = "too many requests wait for a connection"
    TOO_LATE = "no connection in time for the request's deadline"
    UNREACHABLE = "the target cannot be reached"
    NO_SHARE = "no share of the target's connections is free"
    LEAVING = "the target takes no new work"
    OVER_LIMIT = "the account is over its limit"
    OWNER_FULL = "too many requests wait at the database's owner"

    @property
    def is_overload(self) -> bool:
        """True if another attempt would only add to the load."""
        return self in _OVERLOADS


_OVERLOADS = (
    RefusalReason.QUEUE_FULL,
    RefusalReason.TOO_LATE,
    RefusalReason.OWNER_FULL,
)


class PoolRefusal(NamedTuple):
    """A final refusal: the request was not run.

    Parameters
    ----------
    reason : RefusalReason
        Why the pool refused.
    retry_after : float
        Seconds after which a new attempt may succeed.
    """

    reason: RefusalReason
    retry_after: float

    @property
    def sqlstate(self) -> str:
        """The SQLSTATE of the error that the caller receives."""
        if self.reason is RefusalReason.OVER_LIMIT:
            return CONFIGURATION_LIMIT_EXCEEDED
        is_overload = self.reason.is_overload
        return TOO_MANY_CONNECTIONS if is_overload else CANNOT_CONNECT_NOW


class PoolRefused(Exception):
    """Raised if a pool refuses a request, which was not run.

    Parameters
    ----------
    refusal : PoolRefusal
        The reason, and when to retry.
    """

    def __init__(self, refusal: PoolRefusal):
        super().__init__(refusal.reason.value)
        self.refusal = refusal


class TargetUnreachable(ConnectionError):
    """Raised if no packet came back from a target's address."""


class ConnectRefused(Exception):
    """Raised by a `connect` when the target answered and refused the session.

    Parameters
    ----------
    sqlstate : str
        The target's SQLSTATE; 53300 means that its connection limit is reached.
    is_target_unreachable : bool
        True if an owner of the group refused it because this one database is
        unreachable from it.
    """

    def __init__(self, sqlstate: str, is_target_unreachable: bool = False):
        super().__init__(f"the target refused the connection: SQLSTATE {sqlstate}")
        self.sqlstate = sqlstate
        self.is_target_unreachable = is_target_unreachable


class TargetLost(Exception):
    """Raised if a connection ended before the answer did.

    Parameters
    ----------
    sent : bool
        False if no byte of the request was sent, so that it was certainly not run. True
        if it may have been run.
    reason : str
        Why the connection ended.
    """

    def __init__(self, sent: bool, reason: str):
        super().__init__(reason)
        self.sent = sent
        self.reason = reason


class GiveConnection(NamedTuple):
    """Give a connection to a waiter."""

    waiter: int
    connection: int


class RefuseWaiter(NamedTuple):
    """Refuse a waiter."""

    waiter: int
    refusal: PoolRefusal


class OpenConnection(NamedTuple):
    """Open a connection under a new number, for an account."""

    connection: int
    account: str = ""


class CloseConnection(NamedTuple):
    """Close a connection; call `observe_closed` when it has ended."""

    connection: int


PoolAction = GiveConnection | RefuseWaiter | OpenConnection | CloseConnection


class PoolLoad(NamedTuple):
    """The load of one pool, for routing, budgets and metrics.

    Parameters
    ----------
    limit : int
        Maximum number of connections that the pool may have open now.
    open : int
        Connections that the target may still count, closing ones included.
    in_use : int
        Connections that a request holds.
    waiting : int
        Requests in the queue.
    expected_wait : float
        Seconds that a request arriving now would wait.
    hold_time : float
        Seconds that a request is expected to hold a connection.
    """

    limit: int
    open: int
    in_use: int
    waiting: int
    expected_wait: float
    hold_time: float
