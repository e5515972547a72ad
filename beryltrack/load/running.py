"""The statements that one owner has running at a database, and which count.

Answers the load of a database that loses answers, or is long over a few statements.
Each keeps its place until its time is over, so that a limit of two or three is soon
filled by statements that nothing will come of, while the database has free slots. With
a fifth of one primary's answers lost, a quarter of a site's callers were refused.
"""

from collections.abc import Iterator
from itertools import takewhile

OVERDUE_FACTOR = 8.0
"""A statement that runs for this many times the mean is overdue."""

LEAST_OVERDUE = 0.1
"""Seconds under which none is overdue: the usual reads run for less."""

LEAST_SILENCE = 0.25
"""Seconds under which no database counts as silent: reads run for 0.22 s at most."""

FIRST_PAUSE, MOST_PAUSE = 0.1, 1.0
"""Seconds between two statements that find out whether a database answers that has
answered none, the first and the longest: of several owners each asks for itself."""


class RunningStatements:
    """Statements by number, with when each began, the oldest first."""

    def __init__(self):
        self._starts: dict[int, float] = {}
        self._answered_at = float("-inf")
        self._probe_at = float("-inf")
        self._pause = FIRST_PAUSE

    def __len__(self) -> int:
        return len(self._starts)

    def __iter__(self) -> Iterator[int]:
        return iter(self._starts)

    def __contains__(self, number: int) -> bool:
        return number in self._starts

    def add(self, number: int, mean: float, now: float) -> None:
        """Note that a statement begins."""
        if self._is_silent(mean, now):
            self._probe_at = now + self._pause
            self._pause = min(2 * self._pause, MOST_PAUSE)
        self._starts[number] = now

    def remove(self, number: int) -> None:
        """Note that a statement has ended; an unknown one changes nothing."""
        self._starts.pop(number, None)

    def note_answer(self, now: float) -> None:
        """Note that the database has answered one."""
        self._answered_at = now
        self._pause = FIRST_PAUSE

    def has_room(self, limit: int, connections: int, mean: float, now: float) -> bool:
        """Return whether one more may run.

        Overdue ones do not count while later ones are answered. Where none is, one
        statement after the other finds out whether the database answers again.

        Parameters
        ----------
        limit : int
            Statements that may run.
        connections : int
            Statements that can run, with the overdue ones.
        mean : float
            Seconds that statements usually take.
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
        """Return for how long a database has answered nothing, seconds; else 0.

        See `has_room` for the parameters.
        """
        if not self._is_silent(mean, now):
            return 0.0
        silence = now - next(iter(self._starts.values()))
        return silence if silence >= LEAST_SILENCE else 0.0

    def _is_silent(self, mean: float, now: float) -> bool:
        """Return whether some are overdue, and none that came later was answered."""
        overdue = self._list_overdue(mean, now)
        return bool(overdue) and self._answered_at <= overdue[-1]

    def _list_overdue(self, mean: float, now: float) -> list[float]:
        """Return when the statements began that are overdue, the oldest first."""
        before = now - max(LEAST_OVERDUE, OVERDUE_FACTOR * mean)
        return list(takewhile(lambda start: start < before, self._starts.values()))
