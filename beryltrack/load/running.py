"""The statements that one owner has running at a database, and which of them count.

Guards the concurrency limit against a database that loses answers, or is slow over a
few statements. A statement without an answer stays until its time limit, so that such
statements soon fill a limit of two or three while the database has free slots. With a
fifth of one primary's answers lost, a quarter of the callers were refused that way.
Overdue statements therefore stop counting while later ones are answered. A database
that answers none is probed by one statement at a time, with exponential backoff.
"""

from collections.abc import Iterator
from itertools import takewhile

OVERDUE_FACTOR = 8.0
"""A statement that runs for more than this many times the mean is overdue."""

MIN_OVERDUE = 0.1
"""Seconds under which no statement is overdue: most reads run for less."""

MIN_SILENCE = 0.25
"""Seconds under which no database counts as silent: reads run for 0.22 s at most."""

FIRST_BACKOFF, MAX_BACKOFF = 0.1, 1.0
"""Seconds between two probes of a database that answers nothing, the first and the
longest: each of several owners probes by itself."""


class RunningStatements:
    """Running statements by number, with their start times, the oldest first."""

    def __init__(self):
        self._starts: dict[int, float] = {}
        self._answered_at = float("-inf")
        self._probe_at = float("-inf")
        self._backoff = FIRST_BACKOFF

    def __len__(self) -> int:
        return len(self._starts)

    def __iter__(self) -> Iterator[int]:
        return iter(self._starts)

    def __contains__(self, number: int) -> bool:
        return number in self._starts

    def add(self, number: int, mean: float, now: float) -> None:
        """Record that a statement starts; `mean` is the mean time, seconds."""
        if self._is_silent(mean, now):
            self._probe_at = now + self._backoff
            self._backoff = min(2 * self._backoff, MAX_BACKOFF)
        self._starts[number] = now

    def remove(self, number: int) -> None:
        """Record that a statement has ended; an unknown one is ignored."""
        self._starts.pop(number, None)

    def record_answer(self, now: float) -> None:
        """Record that the database has answered a statement."""
        self._answered_at = now
        self._backoff = FIRST_BACKOFF

    def has_capacity(
        self, limit: int, connections: int, mean: float, now: float
    ) -> bool:
        """Return whether one more statement may run.

        Overdue statements do not count while later ones are answered. While none is,
        one statement at a time probes whether the database answers again.

        Parameters
        ----------
        limit : int
            Statements that may run.
        connections : int
            Statements that can run, including the overdue ones.
        mean : float
            Mean time of statements, seconds.
        now : float
            The current time, seconds.
        """
        overdue = self._list_overdue(mean, now)
        if not overdue:
            return len(self._starts) < limit
        if len(self._starts) >= connections:
            return False
        current = len(self._starts) - len(overdue)
        if self._is_silent(mean, now):
            return not current and now >= self._probe_at
        return current < limit

    def get_silence(self, mean: float, now: float) -> float:
        """Return for how long a silent database has not answered, seconds; else 0.

        See `has_capacity` for the parameters.
        """
        if not self._is_silent(mean, now):
            return 0.0
        silence = now - next(iter(self._starts.values()))
        return silence if silence >= MIN_SILENCE else 0.0

    def _is_silent(self, mean: float, now: float) -> bool:
        """Return whether statements are overdue and no later one was answered."""
        overdue = self._list_overdue(mean, now)
        return bool(overdue) and self._answered_at <= overdue[-1]

    def _list_overdue(self, mean: float, now: float) -> list[float]:
        """Return the start times of the overdue statements, the oldest first."""
        before = now - max(MIN_OVERDUE, OVERDUE_FACTOR * mean)
        return list(takewhile(lambda start: start < before, self._starts.values()))
