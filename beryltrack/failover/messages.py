"""What the failover slice decides and reports."""

from enum import Enum
from typing import NamedTuple


class ElectionKind(Enum):
    """Why a new term is asked for."""

    LOST = "lost"
    """A majority of the group's databases has lost the primary."""
    STALLED = "stalled"
    """The primary answers, but nothing that it commits reaches another database, so
    that no commit can be acknowledged."""
    HAND_OVER = "hand-over"
    """The primary is leaving and another database takes over."""
    RECLAIM = "reclaim"
    """A database granted a term that came to nothing and now refuses the
    primary; the primary takes a higher term and goes on."""


class Election(NamedTuple):
    """An attempt to give a group a primary in a new term.

    Parameters
    ----------
    kind : ElectionKind
        Why.
    term : int
        The term to ask for, higher than any that was seen.
    candidate : str
        A name that no other attempt has, of any node.
    lost_after : float
        Seconds without a word from its primary after which a database may
        grant the term; zero if the primary itself takes part.
    primary : str
        The primary so far; empty if none is known.
    primary_term : int
        The term in which it leads.
    preferred : str
        The database that should lead; empty if any may.
    grant_timeout : float
        How long to wait for grants of a majority, seconds.
    deposed : tuple of str
        Databases that still believe to lead a term that is over. They hear
        themselves, so they are asked for the term without `lost_after`.
    non_voting_primary : str
        The primary so far where its own grant counts for nothing, as it goes on
        after it was replaced; else empty.
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
    """A change of primary that this node has carried out.

    Parameters
    ----------
    group : str
        The group.
    kind : ElectionKind
        Why the primary was changed.
    term : int
        The new term.
    primary : str
        Who leads it.
    seconds : float
        How long the change took since the node decided on it.
    silence : float
        How long no replica had heard the lost primary by then, seconds; zero in
        a hand-over, whose primary works until the change begins.
    """

    group: str
    kind: ElectionKind
    term: int
    primary: str
    seconds: float
    silence: float
