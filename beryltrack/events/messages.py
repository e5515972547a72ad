"""Log events of requests: each decision with the inputs that led to it.

A line contains the age or version of the decision's inputs, so that its reader can tell
a wrong decision from one that was based on stale information.
"""

from enum import Enum
from typing import NamedTuple, Protocol


class RequestStep(Enum):
    """The decision about a request."""

    SERVED = "served"
    """A target's answer was sent to the caller."""
    TARGET_ERROR = "target_error"
    """The answer that was sent to the caller is an error of the target itself."""
    RETRIED = "retried"
    """An attempt had no effect, and another one follows."""
    NOT_RUN = "not_run"
    """The request was refused before it ran."""
    ROLLED_BACK = "rolled_back"
    """The request had no effect and never will."""
    UNKNOWN = "unknown"
    """It is unknown whether the request took effect."""


class RequestEvent(NamedTuple):
    """One decision about one request.

    Parameters
    ----------
    request : str
        The request's identifier, given by the caller; empty without one.
    database : str
        The database name that the caller asked for.
    kind : str
        Kind of the statement, as in `StatementKind`.
    step : RequestStep
        The decision.
    reason : str
        The cause, in a short sentence; empty if there was no failure.
    target : str
        The target that it ran on; empty if it ran on none.
    attempt : int
        Number of the attempt; zero if attempts are not counted.
    elapsed_ms : float
        Milliseconds since the request arrived.
    settings_version : int
        Version of the settings in force.
    term : int
        Term of the group's primary as this instance knew it; zero if none.
    primary : str
        Name of that primary; empty if none was known.
    confirmed_ms : float or None
        Milliseconds since that term was last proven; None if it never was.
    pool_busy : int
        Connections of this instance to the primary that were in use.
    pool_limit : int
        Maximum number of those connections.
    way : str
        The owner whose connection it ran on; empty for this instance's own.
    opened_by : str
        Identifier of the request that opened its transaction; empty if it opened one
        itself, or ran outside of one.
    priority : int or None
        Its route's priority; None if routes have none. This field and those after it
        are in the line only if they are known.
    aim_left_ms : float or None
        Milliseconds left of its route's target latency, negative once that is exceeded;
        None if the route has none.
    wait_expected_ms : float or None
        Milliseconds that a request was expected to wait for the chosen database; None
        if unknown.
    verdict : str
        The refusal reason, a key of `REFUSAL_TEXTS`; empty if it was not refused.
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
"""Fields that are left out of a line if they are unknown."""


class RequestEvents(Protocol):
    """Receives the decisions about requests."""

    def reserve_line(self, step: RequestStep) -> bool:
        """Reserve a line of the budget; return whether there was one left."""

    def record(self, event: RequestEvent) -> None:
        """Log one decision, for which `reserve_line` has returned True."""

    def record_shared(self, request: str, shared: "SharedDecision") -> None:
        """Record a decision for which `reserve_line` has returned False."""


class SharedDecision(NamedTuple):
    """The common fields of requests that share a line.

    Parameters
    ----------
    step : RequestStep
        The decision.
    reason : str
        The cause, in a short sentence.
    term : int
        Term of the group's primary as this instance knew it; zero if none.
    primary : str
        Name of that primary; empty if none was known.
    priority : int or None
        Priority of their routes; left out of the line if None.
    verdict : str
        Their refusal reason; left out of the line if empty.
    """

    step: RequestStep
    reason: str
    term: int
    primary: str
    priority: int | None = None
    verdict: str = ""


class NullRequestEvents:
    """Logs nothing, for instances whose log has no reader."""

    def reserve_line(self, step: RequestStep) -> bool:
        """Return False: no line is logged."""
        return False

    def record(self, event: RequestEvent) -> None:
        """Discard a decision."""

    def record_shared(self, request: str, shared: SharedDecision) -> None:
        """Discard a decision."""
