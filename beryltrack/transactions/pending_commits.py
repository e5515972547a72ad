"""Those who wait for the outcome of a commit, and the decider that knows it."""

import itertools
from collections.abc import Collection

from twisted.internet.defer import Deferred

from beryltrack.groups.messages import DatabaseStatus, LogPosition
from beryltrack.groups.waiters import make_timed_deferred
from beryltrack.pause_aware_clock import get_pause_aware_clock
from beryltrack.transactions.decider import CommitDecider, CommitOutcome


class PendingCommits:
    """The commits of one group whose outcome somebody waits for.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    size : int
        Number of databases in the group.
    """

    def __init__(self, reactor, size: int):
        self._awake = get_pause_aware_clock(reactor)
        self._decider = CommitDecider(size)
        self._keys = itertools.count()
        self._waiting: dict[int, Deferred] = {}

    def wait(self, position: LogPosition, timeout: float, database: str) -> Deferred:
        """Wait for the outcome of a commit.

        Parameters
        ----------
        position : LogPosition
            The position that came with the answer to the commit.
        timeout : float
            Seconds after which the outcome is `UNKNOWN`.
        database : str
            Where it ran; empty if that is not known. A position of a term that
            another database leads says nothing of this commit.

        Returns
        -------
        Deferred
            Fires with a `CommitOutcome`; it has fired already if that is known.
        """
        key = next(self._keys)
        primary = self._decider.get_primary(position.term)
        # A receipt that has come during a pause of this process is read first.
        answer = make_timed_deferred(self._awake, timeout, CommitOutcome.UNKNOWN)
        self._waiting[key] = answer
        answer.addBoth(self._drop, key)
        if database and primary and primary != database:
            answer.callback(CommitOutcome.UNKNOWN)
            return answer
        decision = self._decider.add(key, position)
        if decision is not None:
            answer.callback(decision.outcome)
        return answer

    @property
    def pending(self) -> int:
        """Number of commits that wait."""
        return self._decider.pending

    def set_databases(self, names: Collection[str]) -> None:
        """Take the group's members from new settings; others confirm nothing more."""
        self._decider.set_databases(names)

    def reset_database(self, database: str) -> None:
        """Forget what a database has received: it has started again empty."""
        self._decider.reset_database(database)

    def observe_status(self, status: DatabaseStatus) -> int:
        """Take in a status, answer whose commits it decides, return their number."""
        decisions = self._decider.observe_status(status)
        for decision in decisions:
            self._waiting[decision.key].callback(decision.outcome)
        return len(decisions)

    def get_wait_offset(self, database: str) -> int | None:
        """Return the offset whose receipt by a database would tell most."""
        return self._decider.get_wait_offset(database)

    def stop(self) -> None:
        """Tell all who wait that the outcome is not known."""
        for answer in tuple(self._waiting.values()):
            answer.callback(CommitOutcome.UNKNOWN)

    def _drop(self, result: object, key: int) -> object:
        """Forget a commit that is waited for no longer."""
        self._decider.remove(key)
        del self._waiting[key]
        return result
