"""The replicated log of one stand-in database and its rules for terms, without I/O.

The rules follow Raft: a database grants a term to one candidate, a primary
appends entries of its own term, and a replica discards entries that the primary of a
higher term lacks. Commits do not wait for replicas, as replication is asynchronous.
Both the databases that speak PostgreSQL and the fakes of the bench use this model.
"""

from collections.abc import Sequence
from typing import NamedTuple

from beryltrack.groups.messages import (
    NO_POSITION,
    PRIMARY,
    REPLICA,
    DatabaseStatus,
    GrantReply,
    LogPosition,
    TermStart,
)

# Number of the last terms that a status contains, as docs/DESIGN.md specifies.
HISTORY_LIMIT = 32


class Entry(NamedTuple):
    """One entry of the log.

    Parameters
    ----------
    term : int
        The term in which it was written.
    statements : tuple of object
        The statements that apply it; empty for the entry that starts a term.
    """

    term: int
    statements: tuple[object, ...]


class ReplicaLog:
    """The term, log and positions of one database.

    Parameters
    ----------
    name : str
        The database's name in its group.
    incarnation : str
        Identifies the data; a database that restarts empty gets another one.
    """

    def __init__(self, name: str, incarnation: str = "1"):
        self.name = name
        self.incarnation = incarnation
        self.role = REPLICA
        self.term = 0
        self.granted_to = ""
        self.entries: list[Entry] = []
        self._history: list[TermStart] = []
        self.applied_offset = 0
        self.heard_at = 0.0
        self.leaving = False
        self.stopped_writes = False

    @property
    def received(self) -> LogPosition:
        """The last entry in the log."""
        return self.get_position(len(self.entries))

    @property
    def applied(self) -> LogPosition:
        """The last entry that readers can see."""
        return self.get_position(self.applied_offset)

    @property
    def history(self) -> tuple[TermStart, ...]:
        """Where each of the last terms begins, oldest first."""
        return tuple(self._history[-HISTORY_LIMIT:])

    def get_position(self, offset: int) -> LogPosition:
        """Return the position of the entry at `offset`."""
        if offset == 0:
            return NO_POSITION
        return LogPosition(self.entries[offset - 1].term, offset)

    def get_status(self, now: float) -> DatabaseStatus:
        """Return the database's status at the time `now` (seconds)."""
        heard_age = 0.0 if self.role == PRIMARY else now - self.heard_at
        return DatabaseStatus(
            self.name,
            self.role,
            self.term,
            self.received,
            self.applied,
            self.history,
            heard_age,
            self.leaving,
            incarnation=self.incarnation,
        )

    def grant(
        self, term: int, candidate: str, lost_after: float, now: float
    ) -> GrantReply:
        """Grant a term to one candidate, and refuse lower terms from then on.

        Parameters
        ----------
        term : int
            The requested term.
        candidate : str
            The candidate's name, unique to this attempt.
        lost_after : float
            Seconds without replication from the primary after which it counts as
            lost. Zero for a planned hand-over.
        now : float
            The current time, seconds.

        Returns
        -------
        GrantReply
            The decision and the state after it.
        """
        repeated = term == self.term and candidate == self.granted_to
        hears_primary = self.get_status(now).heard_age < lost_after
        granted = repeated or (term > self.term and not hears_primary)
        if granted and not repeated:
            self._adopt_term(term)
            self.granted_to = candidate
        return GrantReply(granted, self.get_status(now))

    def promote(self, term: int, candidate: str) -> bool:
        """Become the primary of a term that this database granted to `candidate`.

        Returns
        -------
        bool
            False if it has granted another term or another candidate.
        """
        if self.term != term or self.granted_to != candidate:
            return False
        if self.role != PRIMARY:
            self.role = PRIMARY
            self.stopped_writes = False
            self.append(())
            self.applied_offset = len(self.entries)
        return True

    def append(self, statements: tuple[object, ...]) -> LogPosition:
        """Append an entry of the present term, as the primary does at each commit."""
        self._extend((Entry(self.term, statements),))
        return self.received

    def can_write(self) -> bool:
        """Return whether the database accepts writes now."""
        return self.role == PRIMARY and not self.stopped_writes

    def receive(self, primary: "ReplicaLog", now: float, limit: int = 1000) -> bool:
        """Copy new entries from a primary, unless its term is lower than this log's.

        Parameters
        ----------
        primary : ReplicaLog
            The log to copy from.
        now : float
            The current time, seconds.
        limit : int
            Maximum number of entries to copy in one call.

        Returns
        -------
        bool
            True if the primary was accepted, False if it was refused.
        """
        if primary.role != PRIMARY or primary.term < self.term:
            return False
        if primary.term > self.term:
            self._adopt_term(primary.term)
        self.heard_at = now
        common = self._get_common_length(primary)
        self._truncate(common)
        self._extend(primary.entries[common : common + limit])
        return True

    def _extend(self, entries: Sequence[Entry]) -> None:
        """Append entries, and record where terms begin among them."""
        for entry in entries:
            if not self._history or self._history[-1].term != entry.term:
                self._history.append(TermStart(entry.term, len(self.entries)))
            self.entries.append(entry)

    def _truncate(self, length: int) -> None:
        """Discard all entries after the first `length`."""
        if length == len(self.entries):
            return
        del self.entries[length:]
        self._history = [start for start in self._history if start.offset < length]
        self.applied_offset = min(self.applied_offset, length)

    def _adopt_term(self, term: int) -> None:
        """Adopt a higher term, as a replica."""
        self.term = term
        self.granted_to = ""
        self.role = REPLICA

    def _get_common_length(self, other: "ReplicaLog") -> int:
        """Return the length of the common prefix of both logs."""
        length = min(len(self.entries), len(other.entries))
        while (
            length and self.entries[length - 1].term != other.entries[length - 1].term
        ):
            length -= 1
        return length
