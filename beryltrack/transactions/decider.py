"""When a commit may be acknowledged: the decision, without any I/O.

A commit `(term, offset)` is confirmed when a majority of the group's databases
has received it **while in that term**. Any later primary has grants from a
majority, so at least one database that granted it holds the entry, and the
highest log among them is chosen.

Two traps shape the code. An entry that a majority holds, but that some of
them got from a primary of a later term, may still be overwritten; so only
receipts in the entry's own term count. And a primary of a later term may
itself be replaced by a database that still has the entry that it lacks; so
what a later primary's log says of the entry counts only once a majority has
received the first entry of that later term in that term. From then on the log
up to there is final.
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

# A database's history has at most so many terms; older ones are not told.
MAX_HISTORY_TERMS = 32
# Terms for which receipts are kept for each database.
MAX_RECEIPT_TERMS = 4


class CommitOutcome(Enum):
    """What is known of a commit."""

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
        The term whose majority made it final: each primary of a later term
        has the commit, or does not have it.
    """

    key: int
    outcome: CommitOutcome
    term: int


class CommittedPrefix(NamedTuple):
    """A part of the log that every later primary has.

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
    """The commits of one group that wait for a majority.

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
        self._final: CommittedPrefix | None = None

    @property
    def pending(self) -> int:
        """Number of commits that wait."""
        return len(self._pending)

    def set_databases(self, names: Collection[str]) -> None:
        """Take the group's members from new settings; others confirm nothing more."""
        self._majority = compute_majority(len(names))
        self._receipts = {
            name: kept for name, kept in self._receipts.items() if name in names
        }
        self._primaries = {
            term: name for term, name in self._primaries.items() if name in names
        }

    def reset_database(self, name: str) -> None:
        """Forget what a database has received or led: it has started again empty."""
        self._receipts.pop(name, None)
        self._primaries = {
            term: each for term, each in self._primaries.items() if each != name
        }

    def add(self, key: int, position: LogPosition) -> CommitDecision | None:
        """Add a commit and return its outcome if it is known already.

        Parameters
        ----------
        key : int
            A key of the caller's choice.
        position : LogPosition
            The position that the primary gave for the commit.

        Returns
        -------
        Decision or None
            None if the commit has to wait.
        """
        decision = self._decide(key, position)
        if decision is None:
            self._pending[key] = position
        return decision

    def remove(self, key: int) -> None:
        """Forget a commit that is waited for no longer."""
        self._pending.pop(key, None)

    def get_primary(self, term: int) -> str:
        """Return which database was seen to lead a term; empty if none was."""
        return self._primaries.get(term, "")

    def get_wait_offset(self, database: str) -> int | None:
        """Return the offset whose receipt by a database would tell most.

        One wait for it serves all pending commits: its answer shows how far
        the database has received meanwhile.
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
        """Take in a database's status and return the commits that it decides.

        Parameters
        ----------
        status : DatabaseStatus
            The status. It may be late: a receipt in a term stays a fact.

        Returns
        -------
        tuple of Decision
            The commits that need not wait any longer.
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
        """Keep how far a database received entries of the term that it is in."""
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
        """Keep the log up to a term's first entry once a majority has it."""
        known = self._final.end.term if self._final else 0
        if status.received.term != status.term or status.term <= known:
            return
        if not status.history or status.history[-1].term != status.term:
            return
        start = status.history[-1]
        first = LogPosition(start.term, start.offset + 1)
        if self._count_receipts(first) >= self._majority:
            self._final = CommittedPrefix(status.history, first)

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
        final = self._final
        if final is None or final.end.term <= position.term:
            return None
        oldest = final.history[0].term
        if len(final.history) >= MAX_HISTORY_TERMS and position.term < oldest:
            return None
        kept = has_entry(final.history, final.end, position)
        outcome = CommitOutcome.CONFIRMED if kept else CommitOutcome.ROLLED_BACK
        return CommitDecision(key, outcome, final.end.term)
