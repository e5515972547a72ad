"""Pending commits of a group: Deferreds that fire with each commit's outcome."""

import itertools
from collections.abc import Collection

from twisted.internet.defer import Deferred

from beryltrack.groups.messages import DatabaseStatus, LogPosition
from beryltrack.groups.waiters import make_timed_deferred
from beryltrack.pause_aware_clock import get_pause_aware_clock
from beryltrack.transactions.decider import CommitDecider, CommitOutcome


class PendingCommits:
    """The commits of one group whose outcome is awaited.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    size : int
        Number of databases in the group.
    """

    def __init__(self, reactor, size: int):
        self._clock = get_pause_aware_clock(reactor)
        self._decider = CommitDecider(size)
        self._keys = itertools.count()
        self._deferreds: dict[int, Deferred] = {}

    def wait(self, position: LogPosition, timeout: float, database: str) -> Deferred:
        """Wait for the outcome of a commit.

        Parameters
        ----------
        position : LogPosition
            The position that came with the answer to the commit.
        timeout : float
            Seconds after which the outcome is `UNKNOWN`.
        database : str
            The database that ran the commit; empty if unknown. If another database is
            primary of the position's term, the position does not identify this commit
            and the outcome is `UNKNOWN`.

        Returns
        -------
        Deferred
            Fires with a `CommitOutcome`; already fired if that is known.
        """
        key = next(self._keys)
        primary = self._decider.get_primary(position.term)
        # Pause-aware: receipts that arrived while this process was paused are read
        # before the time-out fires.
        answer = make_timed_deferred(self._clock, timeout, CommitOutcome.UNKNOWN)
        self._deferreds[key] = answer
        answer.addBoth(self._remove, key)
        if database and primary and primary != database:
            answer.callback(CommitOutcome.UNKNOWN)
            return answer
        decision = self._decider.add(key, position)
        if decision is not None:
            answer.callback(decision.outcome)
        return answer

    @property
    def pending(self) -> int:
        """Number of pending commits."""
        return self._decider.pending

    def set_databases(self, names: Collection[str]) -> None:
        """Set the group's databases; receipts of all others are dropped."""
        self._decider.set_databases(names)

    def reset_database(self, database: str) -> None:
        """Drop the receipts and terms of a database that has restarted empty."""
        self._decider.reset_database(database)

    def observe_status(self, status: DatabaseStatus) -> int:
        """Record a status, fire the commits that it decides and return their number."""
        decisions = self._decider.observe_status(status)
        for decision in decisions:
            self._deferreds[decision.key].callback(decision.outcome)
        return len(decisions)

    def get_wait_offset(self, database: str) -> int | None:
        """Return the lowest pending offset not known to be received by a database."""
        return self._decider.get_wait_offset(database)

    def stop(self) -> None:
        """Fire all pending commits with `UNKNOWN`."""
        for answer in tuple(self._deferreds.values()):
            answer.callback(CommitOutcome.UNKNOWN)

    def _remove(self, result: object, key: int) -> object:
        """Remove a commit whose Deferred has fired."""
        self._decider.remove(key)
        del self._deferreds[key]
        return result
