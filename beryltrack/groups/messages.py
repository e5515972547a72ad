"""Terms, log positions and the status that a database reports.

A term is a period with at most one primary, numbered in order, as in Raft. All other
folders use these types. They are flat tuples of numbers and text, so that CBOR encodes
them without a custom mapping.
"""

from enum import Enum
from typing import NamedTuple

PRIMARY = "primary"
REPLICA = "replica"


class LeadershipProof(Enum):
    """Evidence that no later term had a primary before a given time."""

    MAJORITY = "majority"
    """A majority of the databases was asked after that time and was in its term."""
    SELF_REPORT = "self report"
    """The primary was asked after that time and reported to lead. A replaced primary
    loses the role at the moment of the replacement, wherever it is."""
    WITNESSES = "witnesses"
    """Enough of the other databases were asked after that time, were in its term and
    were not held for the next one. A replaced primary continues on its own for a while,
    so that its report proves nothing; but a promotion first holds so many of the other
    databases that any two such sets intersect."""


class LogPosition(NamedTuple):
    """A position in a group's log.

    Parameters
    ----------
    term : int
        The term in which the entry at `offset` was written.
    offset : int
        The number of entries up to and including this one.
    """

    term: int
    offset: int


NO_POSITION = LogPosition(0, 0)


class TermStart(NamedTuple):
    """The position at which a term begins in a log.

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
    """The status that a database reports.

    Parameters
    ----------
    name : str
        The database's name in its group.
    role : str
        `PRIMARY` or `REPLICA`, according to the database itself.
    term : int
        The highest term that the database has granted or seen. It refuses
        writes and replication of lower terms.
    received : LogPosition
        The last entry in its log.
    applied : LogPosition
        The last entry that its readers can see.
    history : tuple of TermStart
        Start of each term in its log, oldest first.
    heard_age : float or None
        Seconds since it last heard from its primary; 0.0 on a primary. None if
        databases of this kind do not report it; then the silence that the instance
        itself measured is used.
    leaving : bool
        True if the database is about to leave and accepts no new work.
    is_held : bool
        True if `term` is a hold: promised to a candidate that can take it back.
        The database receives nothing until the hold ends.
    is_role_fenced : bool
        True if a database of this kind loses the primary role at the moment at which
        another one gains it. Its own report of that role then proves its term.
    incarnation : str
        Identifies the data that it holds; empty if databases of this kind do not
        report it. A later incarnation of the same name has lost all earlier data.
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
        True if the database promised the term to this candidate and to no other.
    status : DatabaseStatus
        The database's state immediately after its decision.
    """

    granted: bool
    status: DatabaseStatus


class ControlFailure(NamedTuple):
    """A control request without an answer. It may have been carried out.

    Parameters
    ----------
    database : str
        The database that was asked.
    text : str
        The reason, in a short sentence.
    is_answered : bool
        True if the database itself refused, which shows that it works.
    """

    database: str
    text: str
    is_answered: bool = False
