"""Records of the sessions' requests, their outcomes and violations."""

import enum
import itertools
import threading
from collections import Counter
from typing import NamedTuple

import psycopg

_NOT_RUN_STATES = ("57P03", "53300", "53400")
_ROLLED_BACK_STATES = ("40001",)
_UNKNOWN_STATES = ("08007", "57P01", "57P02", "08006", "08003", "08000")


class Outcome(enum.Enum):
    """What a caller knows of a request's execution, with or without an answer."""

    ACKNOWLEDGED = "acknowledged"
    NOT_RUN = "not run"
    ROLLED_BACK = "rolled back"
    UNKNOWN = "unknown"
    UNEXPECTED = "unexpected"


class Effect(NamedTuple):
    """One write and its final outcome.

    Parameters
    ----------
    key : str
        The key of the row that it writes.
    outcome : Outcome
        Its outcome as known to the caller.
    started_at : float
        Start of the last attempt, seconds of the monotonic clock.
    ended_at : float
        End of the last attempt, seconds of the monotonic clock.
    """

    key: str
    outcome: Outcome
    started_at: float
    ended_at: float


class Duration(NamedTuple):
    """Duration of one attempt of a request.

    Parameters
    ----------
    seconds : float
        Time from the choice of a proxy to its answer, seconds.
    action : str
        Name of the action.
    outcome : str
        Outcome of the attempt.
    started_at : float
        Its start, seconds of the monotonic clock.
    """

    seconds: float
    action: str
    outcome: str
    started_at: float


class Violation(NamedTuple):
    """A violated guarantee.

    Parameters
    ----------
    promise : str
        ``stale``, ``lost``, ``doubled``, ``untrue refusal``, ``mixed``,
        ``torn transaction`` or ``unexpected error``.
    text : str
        What was observed.
    """

    promise: str
    text: str


class Records:
    """Records of all sessions; safe for use from all their threads."""

    def __init__(self):
        self.counts: Counter[str] = Counter()
        self.at_most_once: list[Effect] = []
        self.pairs: list[Effect] = []
        self.violations: list[Violation] = []
        self.durations: list[Duration] = []
        self._acknowledged: list[Effect] = []
        self._changed = threading.Condition()

    def count(self, name: str) -> None:
        """Count one event."""
        with self._changed:
            self.counts[name] += 1

    def report(self, promise: str, text: str) -> None:
        """Record a violated guarantee."""
        with self._changed:
            self.violations.append(Violation(promise, text))

    def record_acknowledged(self, effect: Effect) -> None:
        """Record an acknowledged write, for the failover gap."""
        with self._changed:
            self._acknowledged.append(effect)
            self._changed.notify_all()

    def wait_for_write(self, after: float, timeout: float) -> float | None:
        """Wait for an acknowledged write that began after a time.

        Parameters
        ----------
        after : float
            A time of the monotonic clock, seconds.
        timeout : float
            Maximum wait, seconds.

        Returns
        -------
        float or None
            Time of the first such acknowledgement; None after the timeout.
        """
        with self._changed:
            found = self._changed.wait_for(
                lambda: self._find_acknowledged(after), timeout
            )
            return found.ended_at if found else None

    def _find_acknowledged(self, after: float) -> Effect | None:
        """Return the first acknowledged write that began after a time."""
        recent = itertools.takewhile(
            lambda effect: effect.ended_at > after, reversed(self._acknowledged)
        )
        found = [effect for effect in recent if effect.started_at > after]
        return found[-1] if found else None


def classify_error(error: psycopg.Error, is_sent: bool) -> Outcome:
    """Return the outcome of a request that an error reports.

    Parameters
    ----------
    error : psycopg.Error
        The error; without an SQLSTATE the connection was lost.
    is_sent : bool
        False if the connection failed before the request was sent.
    """
    if not is_sent or error.sqlstate in _NOT_RUN_STATES:
        return Outcome.NOT_RUN
    if error.sqlstate in _ROLLED_BACK_STATES:
        return Outcome.ROLLED_BACK
    if error.sqlstate is None or error.sqlstate in _UNKNOWN_STATES:
        return Outcome.UNKNOWN
    return Outcome.UNEXPECTED
