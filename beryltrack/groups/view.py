"""The view that a node has of one database group.

Routing, confirmation and failover all read this view. It is an immutable
tuple, so that a decision is made on one consistent state, and it carries its
proofs with it: a replica's age is counted from `fresh_at`, which is only ever
set from a sample whose term a majority of the group confirmed afterwards.
"""

import math
from collections.abc import Collection
from typing import NamedTuple

from beryltrack.groups.lagging import Lag
from beryltrack.groups.messages import (
    NO_POSITION,
    PRIMARY,
    REPLICA,
    LogPosition,
    TermStart,
)
from beryltrack.groups.positions import covers

NEVER = -math.inf


class DatabaseView(NamedTuple):
    """What a node knows of one database.

    Parameters
    ----------
    name : str
        The database's name in its group.
    role : str
        `PRIMARY` or `REPLICA`, as the database last said.
    term : int
        The highest term that it was seen in.
    received : LogPosition
        The last entry in its log.
    applied : LogPosition
        The last entry that its readers can see.
    history : tuple of TermStart
        Where each term in its log begins, oldest first.
    reachable : bool
        True if its last request was answered.
    leaving : bool
        True if it wants no new work, or an operator drains it.
    said_leaving : bool
        True if it said by itself that it wants no new work.
    seen_at : float
        Send time, by the node's clock, of the last status that was answered.
    fresh_at : float
        Its readers see every write that was acknowledged before this time of
        the node's clock. `NEVER` if nothing is proven.
    heard_age : float
        Seconds since it heard from its primary, as of `seen_at`. Where databases
        do not tell, seconds since this node heard from that primary.
    is_held : bool
        True if `term` is a promise that the candidate can take back.
    is_role_fenced : bool
        True if its own word that it leads proves its term.
    lag : Lag or None
        What its refusals of positions that reads asked for say; None without any.
    recovering_since : float or None
        When it was known to have started again with nothing of before; None if it
        has since received what it may have held, or has not started again.
    needed : LogPosition or None
        A position up to which it may have received entries before it started again;
        None until a primary has told of one.
    """

    name: str
    role: str = REPLICA
    term: int = 0
    received: LogPosition = NO_POSITION
    applied: LogPosition = NO_POSITION
    history: tuple[TermStart, ...] = ()
    reachable: bool = False
    leaving: bool = False
    said_leaving: bool = False
    seen_at: float = NEVER
    fresh_at: float = NEVER
    heard_age: float = math.inf
    is_held: bool = False
    is_role_fenced: bool = False
    lag: Lag | None = None
    recovering_since: float | None = None
    needed: LogPosition | None = None


class GroupView(NamedTuple):
    """What a node knows of one database group.

    Parameters
    ----------
    group : str
        The group's name.
    term : int
        The highest term in which a primary was seen.
    primary : str
        The name of that primary; empty if none is known, or if a majority is
        already known to have moved to a higher term.
    head : LogPosition
        The furthest position known of that primary's log.
    confirmed_at : float
        No higher term had a primary before this time of the node's clock.
    databases : tuple of DatabaseView
        All members, in the order of the settings.
    last_primary : str
        Who led the newest term that had a primary, also if it leads no more.
    stalled_since : float
        Since when commits of this node wait and none of them has been received by
        another database; infinite if none waits.
    """

    group: str
    term: int = 0
    primary: str = ""
    head: LogPosition = NO_POSITION
    confirmed_at: float = NEVER
    databases: tuple[DatabaseView, ...] = ()
    last_primary: str = ""
    stalled_since: float = math.inf


def get_database(view: GroupView, name: str) -> DatabaseView | None:
    """Return the view of one database, or None if the group has none of the name.

    Parameters
    ----------
    view : GroupView
        The group's view.
    name : str
        The database's name.

    Returns
    -------
    DatabaseView or None
        The database's part of the view.
    """
    return next((item for item in view.databases if item.name == name), None)


def get_primary(view: GroupView) -> DatabaseView | None:
    """Return the view of the primary, or None if there is none."""
    return get_database(view, view.primary) if view.primary else None


def compute_age(database: DatabaseView, now: float) -> float:
    """Return a proven upper bound of the age of what a database's readers see.

    Parameters
    ----------
    database : DatabaseView
        The database's view.
    now : float
        The current time of the node's clock, seconds.

    Returns
    -------
    float
        Seconds; `math.inf` if nothing is proven.
    """
    return now - database.fresh_at


def get_known_primary_term(database: DatabaseView) -> int:
    """Return the highest term that a database knows a primary of.

    A promise that a candidate can take back is no such term.
    """
    return database.received.term if database.is_held else database.term


def get_recovering(view: GroupView) -> dict[str, LogPosition | None]:
    """Return what each recovering database may have held, None if that is not known.

    A database that has started again empty took part in confirming commits. In an
    election it stands for them only with a candidate that has received all of them.
    One that holds nothing beside others that hold something is taken for such a one:
    an instance that has started since was not told.
    """
    longest = max((item.received.offset for item in view.databases), default=0)
    return {
        item.name: item.needed
        for item in view.databases
        if item.recovering_since is not None
        or (item.reachable and longest and _holds_nothing(item))
    }


def _holds_nothing(database: DatabaseView) -> bool:
    """Return whether a replica has an empty log."""
    return database.role == REPLICA and not database.received.offset


def count_eligible_voters(view: GroupView, voters: Collection[DatabaseView]) -> int:
    """Return how many of some databases count in an election among them.

    Parameters
    ----------
    view : GroupView
        The group's view.
    voters : collection of DatabaseView
        Members that would grant a term.

    Returns
    -------
    int
        Those that are not recovering, and those whose losses one of them makes good.
        Where all members vote nobody else has a log to wait for, so that all count.
    """
    if len(voters) == len(view.databases):
        return len(voters)
    recovering = get_recovering(view)
    longest = max((item.received for item in voters), default=NO_POSITION)
    lost = (recovering.get(item.name, NO_POSITION) for item in voters)
    return sum(needed is not None and needed <= longest for needed in lost)


def is_deposed(view: GroupView, database: DatabaseView) -> bool:
    """Return whether a database still believes to lead a term that is over.

    Parameters
    ----------
    view : GroupView
        The group's view.
    database : DatabaseView
        One of its members.

    Returns
    -------
    bool
        True if a later term has a primary that this database has not heard of.
    """
    return database.role == PRIMARY and database.term < view.term


def has_applied(database: DatabaseView, token: LogPosition) -> bool:
    """Return whether a database's readers see all that a token stands for."""
    return covers(database.history, database.applied, token)


def compute_majority(size: int) -> int:
    """Return how many of a group's databases are a majority."""
    return size // 2 + 1


def compute_election_quorum(size: int) -> int:
    """Return how many databases an election needs where an authority is fenced.

    An elected database must be chosen from a set that meets each set of databases
    which can have confirmed a commit, and those are majorities. That no two are
    elected at once is the authority's concern, so that the set need be no majority
    itself: of two databases one suffices, since a commit needed both.
    """
    return size - compute_majority(size) + 1


def is_primary(database: DatabaseView) -> bool:
    """Return whether the database believes that it leads."""
    return database.role == PRIMARY


class GroupOutline(NamedTuple):
    """The parts of a view whose change others are told of at once.

    Parameters
    ----------
    term : int
        The term of the primary.
    primary : str
        The primary.
    reachable : tuple of str
        Databases that answer.
    leaving : tuple of str
        Databases that want no new work.
    """

    term: int
    primary: str
    reachable: tuple[str, ...]
    leaving: tuple[str, ...]


def get_outline(view: GroupView) -> GroupOutline:
    """Return the outline of a view."""
    return GroupOutline(
        view.term,
        view.primary,
        tuple(item.name for item in view.databases if item.reachable),
        tuple(item.name for item in view.databases if item.leaving),
    )
