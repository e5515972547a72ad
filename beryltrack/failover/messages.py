"""Types of failover: elections, their reasons, and the report of a change."""

from enum import Enum
from typing import NamedTuple


class ElectionKind(Enum):
    """Why an election for a new term is held."""

    LOST = "lost"
    """A majority of the group's databases has lost the primary."""
    STALLED = "stalled"
    """The primary answers, but its commits reach no other database, so that none can be
    acknowledged."""
    HAND_OVER = "hand-over"
    """The primary is leaving and another database succeeds it (planned)."""
    RECLAIM = "reclaim"
    """A database granted a term that got no primary, or its hold was not ended. It
    refuses the current primary, which is elected again in a higher term."""


class Election(NamedTuple):
    """An attempt to give a group a primary in a new term.

    Parameters
    ----------
    kind : ElectionKind
        Why it is held.
    term : int
        The term to ask for, higher than any that was seen.
    candidate : str
        Name of this attempt, unique among the attempts of all instances.
    lost_after : float
        Seconds of silence of its primary after which a database may grant the
        term; zero if the primary itself takes part.
    primary : str
        The current primary; empty if none is known.
    primary_term : int
        The term in which that primary leads; 0 if none is known.
    preferred : str
        The database that should lead; empty if any may.
    grant_timeout : float
        How long to wait for grants of a quorum, seconds.
    deposed : tuple of str
        Databases that still consider themselves primary of a previous term. They
        never lose their primary, so they are asked for the term without `lost_after`.
    non_voting_primary : str
        The last primary where its own grant does not count, as it keeps accepting
        writes after it was replaced; else empty.
    """

    kind: ElectionKind
    term: int
    candidate: str
    lost_after: float
    primary: str
    primary_term: int
    preferred: str
    grant_timeout: float
    deposed: tuple[str, ...] = ()
    non_voting_primary: str = ""


class FailoverReport(NamedTuple):
    """A change of primary that this instance has carried out.

    Parameters
    ----------
    group : str
        The group.
    kind : ElectionKind
        Why the primary was changed.
    term : int
        The new term.
    primary : str
        The database that leads the new term.
    seconds : float
        How long the change took from the decision to hold the election, seconds.
    silence : float
        How long no replica had heard the lost primary at that decision, seconds;
        zero in a hand-over, whose primary serves until the change begins.
    """

    group: str
    kind: ElectionKind
    term: int
    primary: str
    seconds: float
    silence: float
