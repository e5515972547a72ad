"""What is logged of a request: each decision with the inputs that made it.

A line carries the age or version of what the decision rested on, so that whoever
reads it later can tell a wrong decision from one on old knowledge.
"""

from enum import Enum
from typing import NamedTuple, Protocol


class RequestStep(Enum):
    """What was decided about a request."""

    SERVED = "served"
    """A target's answer went to the caller."""
    TARGET_ERROR = "target_error"
    """The answer that went to the caller is an error of the target's own."""
    RETRIED = "retried"
    """A run had no effect, and another one follows."""
    NOT_RUN = "not_run"
    """It was refused before it ran."""
    ROLLED_BACK = "rolled_back"
    """It had no effect and never will."""
    UNKNOWN = "unknown"
    """Whether it took effect cannot be told."""


class RequestEvent(NamedTuple):
    """One decision about one request.

    Parameters
    ----------
    request : str
        The caller's identifier of it; empty if it has none.
    database : str
        The database name that the caller asked for.
    kind : str
        What it does, as `StatementKind` says.
    step : RequestStep
        The decision.
    reason : str
        Why, in a short sentence; empty if nothing went wrong.
    target : str
        The target that it ran on; empty if it ran on none.
    attempt : int
        Number of the attempt; zero if that is not counted.
    elapsed_ms : float
        Milliseconds since it arrived.
    settings_version : int
        Version of the settings in force.
    term : int
        Term of the group's primary as this instance knew it; zero if none.
    primary : str
        That primary; empty if none was known.
    confirmed_ms : float or None
        Milliseconds since that term was last proven; None if it never was.
    pool_busy : int
        Connections of this instance to the primary that were in use.
    pool_limit : int
        How many it may have.
    way : str
        The owner that lent the connection; empty if it is this instance's own.
    opened_by : str
        Identifier of the request that opened its transaction; empty if it opened one
        itself, or ran outside of one.
    priority : int or None
        Its route's priority; None if routes have none. This field and those after it
        stand in the line only where they are known.
    aim_left_ms : float or None
        Milliseconds left of its route's target latency, below zero once it is over;
        None if the route has none.
    wait_expected_ms : float or None
        Milliseconds that a request was expected to wait for the database that was
        chosen; None if nobody could tell.
    verdict : str
        Why it was refused before it ran, in one word of few; empty if it was not.
    """

    request: str
    database: str
    kind: str
    step: RequestStep
    reason: str = ""
    target: str = ""
    attempt: int = 0
    elapsed_ms: float = 0.0
    settings_version: int = 0
    term: int = 0
    primary: str = ""
    confirmed_ms: float | None = None
    pool_busy: int = 0
    pool_limit: int = 0
    way: str = ""
    opened_by: str = ""
    priority: int | None = None
    aim_left_ms: float | None = None
    wait_expected_ms: float | None = None
    verdict: str = ""


OPTIONAL_FIELDS = ("priority", "aim_left_ms", "wait_expected_ms", "verdict")
"""Fields that are left out of a line where nothing is known."""


class RequestEvents(Protocol):
    """Takes the decisions about requests."""

    def reserve_line(self, step: RequestStep) -> bool:
        """Return whether the budget has room for a line; it is used up by that."""

    def record(self, event: RequestEvent) -> None:
        """Log one decision, for which `reserve_line` has said so."""

    def record_shared(self, request: str, shared: "SharedDecision") -> None:
        """Take a decision for which `reserve_line` had no room."""


class SharedDecision(NamedTuple):
    """What requests have in common that share a line.

    Parameters
    ----------
    step : RequestStep
        The decision.
    reason : str
        Why, in a short sentence.
    term : int
        Term of the group's primary as this instance knew it; zero if none.
    primary : str
        That primary; empty if none was known.
    priority : int or None
        Their routes' priority; left out of the line if None.
    verdict : str
        Why they were refused, in one word of few; left out if empty.
    """

    step: RequestStep
    reason: str
    term: int
    primary: str
    priority: int | None = None
    verdict: str = ""


class NullRequestEvents:
    """Logs nothing, for instances that nobody reads the logs of."""

    def reserve_line(self, step: RequestStep) -> bool:
        """Return False."""
        return False

    def record(self, event: RequestEvent) -> None:
        """Drop a decision."""

    def record_shared(self, request: str, shared: SharedDecision) -> None:
        """Drop a decision."""
