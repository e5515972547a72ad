"""What a pool is asked, what it decides, and what it needs of a connection.

Waiters and connections are named by numbers that the pool's task gives out, so
that the decider never touches a socket.
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
    """What a pool needs of a connection to a target.

    `run_since` is when the request that it runs was sent, by the node's clock;
    None while it runs none. `run_until` is when that run is to be given up. `via`
    names the instance that the connection goes through; empty if it goes straight.
    `observer` is told of each statement, if there is one.
    """

    run_since: float | None
    run_until: float
    via: str
    observer: "RunObserver | None"

    @property
    def broken(self) -> bool:
        """True if the connection is in doubt and must not be used again."""

    @property
    def closed(self) -> Deferred[None]:
        """Fires once when the connection is gone; callbacks pass the value on."""

    def close(self) -> None:
        """Close the connection; `closed` fires when it is gone."""


class RunObserver(Protocol):
    """Follows the statements that run on a connection while it is lent."""

    def observe_start(self) -> None:
        """Take in that a statement is sent."""

    def observe_end(self, seconds: float, end: object) -> None:
        """Take in that a statement has ended.

        Parameters
        ----------
        seconds : float
            How long it took.
        end : ResponseEnd or Failure
            What became of it.
        """


class RefusalReason(Enum):
    """Why a pool gave no connection; in each case the request was not run."""

    QUEUE_FULL = "too many requests wait for a connection"
    TOO_LATE = "no connection in time for the request's deadline"
    UNREACHABLE = "the target cannot be reached"
    NO_SHARE = "no share of the target's connections is free"
    LEAVING = "the target takes no new work"
    OVER_LIMIT = "the account is over its limit"
    OWNER_FULL = "too much waits where the connections are"

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
    """A refusal, true as "not run" and final.

    Parameters
    ----------
    reason : RefusalReason
        Why.
    retry_after : float
        Seconds after which a new attempt has a fair chance.
    """

    reason: RefusalReason
    retry_after: float

    @property
    def sqlstate(self) -> str:
        """The SQLSTATE that says the same to a caller."""
        if self.reason is RefusalReason.OVER_LIMIT:
            return CONFIGURATION_LIMIT_EXCEEDED
        is_overload = self.reason.is_overload
        return TOO_MANY_CONNECTIONS if is_overload else CANNOT_CONNECT_NOW


class PoolRefused(Exception):
    """Raised to who asked for a connection; the request was not run.

    Parameters
    ----------
    refusal : PoolRefusal
        Why, and when to try again.
    """

    def __init__(self, refusal: PoolRefusal):
        super().__init__(refusal.reason.value)
        self.refusal = refusal


class TargetUnreachable(ConnectionError):
    """No packet came back from where a target listens."""


class ConnectRefused(Exception):
    """Raised by a `connect` when the target answered and refused the session.

    Parameters
    ----------
    sqlstate : str
        The target's SQLSTATE; 53300 means that its connections are used up.
    is_target_unreachable : bool
        True if another instance refused it that serves the group, and does not reach
        this database alone.
    """

    def __init__(self, sqlstate: str, is_target_unreachable: bool = False):
        super().__init__(f"the target refused the connection: {sqlstate}")
        self.sqlstate = sqlstate
        self.is_target_unreachable = is_target_unreachable


class TargetLost(Exception):
    """Raised when a connection ended before the answer did.

    Parameters
    ----------
    sent : bool
        False if no byte of the request was sent: it was not run, truly. True
        if it may have been run.
    reason : str
        Why the connection ended.
    """

    def __init__(self, sent: bool, reason: str):
        super().__init__(reason)
        self.sent = sent
        self.reason = reason


class GiveConnection(NamedTuple):
    """Hand a connection to a waiter."""

    waiter: int
    connection: int


class RefuseWaiter(NamedTuple):
    """Tell a waiter that it gets no connection."""

    waiter: int
    refusal: PoolRefusal


class OpenConnection(NamedTuple):
    """Open a connection under a new number, for an account."""

    connection: int
    account: str = ""


class CloseConnection(NamedTuple):
    """Close a connection; report `observe_closed` when it is gone."""

    connection: int


PoolAction = GiveConnection | RefuseWaiter | OpenConnection | CloseConnection


class PoolLoad(NamedTuple):
    """The load of one pool, for routing, budgets and metrics.

    Parameters
    ----------
    limit : int
        Most connections that the pool may open now.
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
