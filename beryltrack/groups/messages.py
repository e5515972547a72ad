"""Terms, log positions and the status that a database reports.

Every slice speaks of positions in these types. All of them are flat tuples of
numbers and text, so that CBOR carries them without a mapping of its own.
"""

from enum import Enum
from typing import NamedTuple

PRIMARY = "primary"
REPLICA = "replica"


class LeadershipProof(Enum):
    """What proves that no later term had a primary before a time."""

    MAJORITY = "majority"
    """A majority of the databases was asked later, and all were in its term."""
    SELF_REPORT = "self report"
    """The primary was asked later and leads: one that is replaced loses its lead at
    that moment, wherever it is."""
    WITNESSES = "witnesses"
    """Enough of the others were asked later, were in its term and were not held for
    the next one. A replaced primary goes on by itself for a while, so that its own
    word proves nothing; but whoever promotes holds so many of the others first that
    any two such sets meet."""


class LogPosition(NamedTuple):
    """A place in a group's log.

    Parameters
    ----------
    term : int
        The term in which the entry at `offset` was written.
    offset : int
        The number of entries up to and with this one.
    """

    term: int
    offset: int


NO_POSITION = LogPosition(0, 0)


class TermStart(NamedTuple):
    """Where a term begins in a log.

    Parameters
    ----------
    term : int
        The term that begins.
    offset : int
        The offset of the last entry before the term's first entry.
    """

    term: int
    offset: int


class DatabaseStatus(NamedTuple):
    """What one database says of itself.

    Parameters
    ----------
    name : str
        The database's name in its group.
    role : str
        `PRIMARY` or `REPLICA`: what the database believes that it is.
    term : int
        The highest term that the database has granted or seen. It refuses
        writes and replication of lower terms.
    received : LogPosition
        The last entry in its log.
    applied : LogPosition
        The last entry that its readers can see.
    history : tuple of TermStart
        Where each term in its log begins, oldest first.
    heard_age : float or None
        Seconds since it last heard from its primary; 0.0 on a primary. None if
        databases of this kind do not tell; then the node's own word counts.
    leaving : bool
        True if the database is about to leave and wants no new work.
    is_held : bool
        True if `term` was only promised to a candidate that can take it back.
        Until then the database receives nothing.
    is_role_fenced : bool
        True if a database of this kind loses its lead at the very moment at which
        another one gains it. Its own word that it leads then proves its term.
    incarnation : str
        Names the data that it holds, where databases of its kind tell: another one
        under the same name holds nothing of before.
    """

    name: str
    role: str
    term: int
    received: LogPosition
    applied: LogPosition
    history: tuple[TermStart, ...]
    heard_age: float | None
    leaving: bool
    is_held: bool = False
    is_role_fenced: bool = False
    incarnation: str = ""


class GrantReply(NamedTuple):
    """A database's answer to a candidate that asks for a term.

    Parameters
    ----------
    granted : bool
        True if the database promised the term to this candidate alone.
    status : DatabaseStatus
        The database's state just after its decision.
    """

    granted: bool
    status: DatabaseStatus


class ControlFailure(NamedTuple):
    """Why a control request has no answer. It may have been carried out.

    Parameters
    ----------
    database : str
        The database that was asked.
    text : str
        What happened, in a short sentence.
    is_answered : bool
        True if the database itself refused, so that it is at work.
    """

    database: str
    text: str
    is_answered: bool = False
