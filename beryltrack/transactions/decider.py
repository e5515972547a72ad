"""Decides when a commit may be acknowledged, by Raft's commit rule; without I/O.

A commit `(term, offset)` is confirmed when a majority of the group's databases
has received it **while in that term**. Any later primary has grants from a
majority, so at least one database that granted holds the entry, and the most
advanced log among them is chosen.

Two hazards determine the rules. An entry that a majority holds, but that some of
them received from a primary of a later term, may still be overwritten. Only receipts
in the entry's own term therefore count. A primary of a later term may itself be
replaced by a database that has an entry which it lacks. A later primary's log
therefore decides on an entry only once a majority has received the first entry of that
later term in that term. From then on the log up to there is final.
"""

from collections.abc import Collection
from enum import Enum
from typing import NamedTuple

from beryltrack.groups.messages import (
    PRIMARY,
    DatabaseStatus,
    LogPosition,
    TermStart,
)
from beryltrack.groups.positions import has_entry
from beryltrack.groups.view import compute_majority

# Maximum number of terms in the history that a database reports; it omits older ones.
MAX_HISTORY_TERMS = 32
# Number of most recent terms for which a database's receipts are retained.
MAX_RECEIPT_TERMS = 4


class CommitOutcome(Enum):
    """The outcome of a commit."""

    CONFIRMED = "confirmed"
    ROLLED_BACK = "rolled back"
    UNKNOWN = "unknown"


class CommitDecision(NamedTuple):
    """The outcome of one pending commit.

    Parameters
    ----------
    key : int
        The key under which the commit was added.
    outcome : CommitOutcome
        `CONFIRMED` or `ROLLED_BACK`.
    term : int
        The term whose majority made it final: all primaries of later terms
        have the commit, or none has.
    """

    key: int
    outcome: CommitOutcome
    term: int


class CommittedPrefix(NamedTuple):
    """The committed prefix of the log, which every later primary has.

    Parameters
    ----------
    history : tuple of TermStart
        Where each term in it begins, oldest first.
    end : LogPosition
        Its last entry, the first one of its last term.
    """

    history: tuple[TermStart, ...]
    end: LogPosition


class CommitDecider:
    """Tracks receipts and decides the pending commits of one group.

    Parameters
    ----------
    size : int
        Number of databases in the group.
    """

    def __init__(self, size: int):
        self._majority = compute_majority(size)
        self._pending: dict[int, LogPosition] = {}
        self._receipts: dict[str, dict[int, int]] = {}
        self._primaries: dict[int, str] = {}
        self._committed: CommittedPrefix | None = None

    @property
    def pending(self) -> int:
        """Number of pending commits."""
        return len(self._pending)

    def set_databases(self, names: Collection[str]) -> None:
        """Set the group's databases; receipts of all others are dropped."""
        self._majority = compute_majority(len(names))
        self._receipts = {
            name: receipts for name, receipts in self._receipts.items() if name in names
        }
        self._primaries = {
            term: name for term, name in self._primaries.items() if name in names
        }

    def reset_database(self, name: str) -> None:
        """Drop the receipts and terms of a database that has restarted empty."""
        self._receipts.pop(name, None)
        self._primaries = {
            term: primary
            for term, primary in self._primaries.items()
            if primary != name
        }

    def add(self, key: int, position: LogPosition) -> CommitDecision | None:
        """Add a commit and return its outcome if it is already known.

        Parameters
        ----------
        key : int
            Identifies the commit in later decisions.
        position : LogPosition
            The position that the primary returned for the commit.

        Returns
        -------
        CommitDecision or None
            None if the commit stays pending.
        """
        decision = self._decide(key, position)
        if decision is None:
            self._pending[key] = position
        return decision

    def remove(self, key: int) -> None:
        """Remove a pending commit."""
        self._pending.pop(key, None)

    def get_primary(self, term: int) -> str:
        """Return the primary of a term; empty if none has been seen."""
        return self._primaries.get(term, "")

    def get_wait_offset(self, database: str) -> int | None:
        """Return the lowest pending offset not known to be received by a database.

        A wait for this offset serves all pending commits: the answer shows how far
        the database has received by then. None if no receipt is missing.
        """
        receipts = self._receipts.get(database, {})
        return min(
            (
                position.offset
                for position in self._pending.values()
                if receipts.get(position.term, -1) < position.offset
            ),
            default=None,
        )

    def observe_status(self, status: DatabaseStatus) -> tuple[CommitDecision, ...]:
        """Record a database's status and return the commits that it decides.

        Parameters
        ----------
        status : DatabaseStatus
            The status. It may be late: a receipt in a term stays valid.

        Returns
        -------
        tuple of CommitDecision
            The outcomes of commits that are no longer pending.
        """
        self._record_receipt(status)
        self._advance_committed_prefix(status)
        decided = tuple(
            decision
            for key, position in self._pending.items()
            if (decision := self._decide(key, position)) is not None
        )
        for decision in decided:
            del self._pending[decision.key]
        return decided

    def _record_receipt(self, status: DatabaseStatus) -> None:
        """Record how far a database has received entries of its current term."""
        if status.role == PRIMARY:
            self._primaries[status.term] = status.name
        if status.received.term != status.term:
            return
        receipts = self._receipts.setdefault(status.name, {})
        before = receipts.get(status.term, 0)
        receipts[status.term] = max(before, status.received.offset)
        for term in sorted(receipts)[:-MAX_RECEIPT_TERMS]:
            del receipts[term]

    def _advance_committed_prefix(self, status: DatabaseStatus) -> None:
        """Advance the prefix to a term's first entry once a majority received it."""
        committed = self._committed.end.term if self._committed else 0
        if status.received.term != status.term or status.term <= committed:
            return
        if not status.history or status.history[-1].term != status.term:
            return
        start = status.history[-1]
        first = LogPosition(start.term, start.offset + 1)
        if self._count_receipts(first) >= self._majority:
            self._committed = CommittedPrefix(status.history, first)

    def _count_receipts(self, position: LogPosition) -> int:
        """Return how many databases received an entry while in its term."""
        holders = {
            name
            for name, receipts in self._receipts.items()
            if receipts.get(position.term, -1) >= position.offset
        }
        # The primary of the term wrote the entry, so it has received it.
        writer = self._primaries.get(position.term)
        return len(holders | {writer} if writer else holders)

    def _decide(self, key: int, position: LogPosition) -> CommitDecision | None:
        if self._count_receipts(position) >= self._majority:
            return CommitDecision(key, CommitOutcome.CONFIRMED, position.term)
        committed = self._committed
        if committed is None or committed.end.term <= position.term:
            return None
        oldest = committed.history[0].term
        if len(committed.history) >= MAX_HISTORY_TERMS and position.term < oldest:
            return None
        has_commit = has_entry(committed.history, committed.end, position)
        outcome = CommitOutcome.CONFIRMED if has_commit else CommitOutcome.ROLLED_BACK
        return CommitDecision(key, outcome, committed.end.term)
