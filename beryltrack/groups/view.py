"""One instance's view of a database group (a primary and its replicas).

Routing, confirmation of commits and failover read this view. It is an immutable tuple,
so that each decision uses one consistent state. It includes its proofs: a replica's age
is counted from `fresh_at`, which is set only from a sample whose term was confirmed
afterwards; see `LeadershipProof`.
"""

import math
from collections.abc import Collection
from typing import NamedTuple

from beryltrack.clock import NEVER
from beryltrack.groups.lagging import Lag
from beryltrack.groups.messages import (
    NO_POSITION,
    PRIMARY,
    REPLICA,
    LogPosition,
    TermStart,
)
from beryltrack.groups.positions import covers


class DatabaseView(NamedTuple):
    """What one instance knows of one database.

    Parameters
    ----------
    name : str
        The database's name in its group.
    role : str
        `PRIMARY` or `REPLICA`, as the database last reported.
    term : int
        The highest term that it has reported.
    received : LogPosition
        The last entry in its log.
    applied : LogPosition
        The last entry that its readers can see.
    history : tuple of TermStart
        Start of each term in its log, oldest first.
    reachable : bool
        True if its last request was answered.
    leaving : bool
        True if it accepts no new work, or an operator drains it.
    reports_leaving : bool
        True if it reported that it accepts no new work.
    works_until : float
        Time from which it gets no new work even if it is the primary, as it leaves.
    seen_at : float
        Send time, by the instance's clock, of the last status request it answered.
    fresh_at : float
        Its readers see every write that was acknowledged before this time of
        the instance's clock. `NEVER` if nothing is proven.
    heard_age : float
        Seconds since it heard from its primary, as of `seen_at`. Where databases
        do not report it, seconds of silence of the primary that this instance measured.
    is_held : bool
        True if `term` is a hold, a promise that the candidate can take back.
    is_role_fenced : bool
        True if its own report that it leads proves its term.
    lag : Lag or None
        Summary of its refusals of reads at positions it had not applied; None if it
        is not known to be behind.
    recovering_since : float or None
        Time at which it was found to have restarted empty; None if it has since
        received what it may have held, or has not restarted.
    recovery_position : LogPosition or None
        A position up to which it may have received entries before it restarted;
        None until a primary has reported one.
    """

    name: str
    role: str = REPLICA
    term: int = 0
    received: LogPosition = NO_POSITION
    applied: LogPosition = NO_POSITION
    history: tuple[TermStart, ...] = ()
    reachable: bool = False
    leaving: bool = False
    reports_leaving: bool = False
    works_until: float = math.inf
    seen_at: float = NEVER
    fresh_at: float = NEVER
    heard_age: float = math.inf
    is_held: bool = False
    is_role_fenced: bool = False
    lag: Lag | None = None
    recovering_since: float | None = None
    recovery_position: LogPosition | None = None


class GroupView(NamedTuple):
    """What one instance knows of one database group.

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
        The highest known position of that primary's log.
    confirmed_at : float
        No higher term had a primary before this time of the instance's clock.
    databases : tuple of DatabaseView
        All members, in the order of the settings.
    last_primary : str
        The primary of the newest term that had one, even if it no longer leads.
    stalled_since : float
        Time since which commits of this instance wait and none of them has been
        received by another database; infinite if none waits.
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
    """Return the view of one database, or None if the group has no such member.

    Parameters
    ----------
    view : GroupView
        The group's view.
    name : str
        The database's name.

    Returns
    -------
    DatabaseView or None
        The database's entry in the view.
    """
    return next((item for item in view.databases if item.name == name), None)


def get_primary(view: GroupView) -> DatabaseView | None:
    """Return the view of the primary, or None if there is none."""
    return get_database(view, view.primary) if view.primary else None


def compute_age(database: DatabaseView, now: float) -> float:
    """Return a proven upper bound of the staleness of reads at a database.

    Parameters
    ----------
    database : DatabaseView
        The database's view.
    now : float
        The current time of the instance's clock, in seconds.

    Returns
    -------
    float
        Seconds; `math.inf` if nothing is proven.
    """
    return now - database.fresh_at


def get_known_primary_term(database: DatabaseView) -> int:
    """Return the highest term whose primary a database knows.

    A hold, which the candidate can take back, is no such term.
    """
    return database.received.term if database.is_held else database.term


def get_recovering(view: GroupView) -> dict[str, LogPosition | None]:
    """Return each recovering database with the position it may have held, if known.

    A database that restarted empty had confirmed commits. In an election its vote
    counts only for a candidate that has received all of them. A database with an empty
    log beside others with entries counts as recovering too, since an instance that was
    started later did not see the restart.
    """
    longest = max((item.received.offset for item in view.databases), default=0)
    return {
        item.name: item.recovery_position
        for item in view.databases
        if item.recovering_since is not None
        or (item.reachable and longest and _has_empty_log(item))
    }


def _has_empty_log(database: DatabaseView) -> bool:
    """Return whether a replica has an empty log."""
    return database.role == REPLICA and not database.received.offset


def count_eligible_voters(view: GroupView, voters: Collection[DatabaseView]) -> int:
    """Return how many of these databases count towards the quorum of an election.

    Parameters
    ----------
    view : GroupView
        The group's view.
    voters : collection of DatabaseView
        Members that would grant a term.

    Returns
    -------
    int
        Number of voters that are not recovering, or whose lost entries another voter
        has. If all members vote, no other member can have entries, so that all count.
    """
    if len(voters) == len(view.databases):
        return len(voters)
    recovering = get_recovering(view)
    longest = max((item.received for item in voters), default=NO_POSITION)
    lost = (recovering.get(item.name, NO_POSITION) for item in voters)
    return sum(needed is not None and needed <= longest for needed in lost)


def is_deposed(view: GroupView, database: DatabaseView) -> bool:
    """Return whether a database still reports to lead a term that has ended.

    Parameters
    ----------
    view : GroupView
        The group's view.
    database : DatabaseView
        One of its members.

    Returns
    -------
    bool
        True if a later term has a primary that this database does not know of.
    """
    return database.role == PRIMARY and database.term < view.term


def has_applied(database: DatabaseView, token: LogPosition) -> bool:
    """Return whether a database has applied all acknowledged writes up to a token."""
    return covers(database.history, database.applied, token)


def compute_majority(size: int) -> int:
    """Return how many of a group's databases form a majority."""
    return size // 2 + 1


def compute_election_quorum(size: int) -> int:
    """Return the quorum of an election where a fenced authority gives the permit.

    The voters must intersect each set of databases that can have confirmed a commit,
    and those sets are majorities. The authority ensures that at most one database is
    elected, so that the voters need not be a majority themselves: of two databases one
    suffices, since a commit needed both.
    """
    return size - compute_majority(size) + 1


def is_primary(database: DatabaseView) -> bool:
    """Return whether a database reports to be the primary."""
    return database.role == PRIMARY


class GroupSummary(NamedTuple):
    """The fields of a view whose changes are reported to subscribers at once.

    Parameters
    ----------
    term : int
        The term of the primary.
    primary : str
        The primary's name; empty if none is known.
    reachable : tuple of str
        Databases that answer.
    leaving : tuple of str
        Databases that accept no new work.
    """

    term: int
    primary: str
    reachable: tuple[str, ...]
    leaving: tuple[str, ...]


def get_summary(view: GroupView) -> GroupSummary:
    """Return the summary of a view."""
    return GroupSummary(
        view.term,
        view.primary,
        tuple(item.name for item in view.databases if item.reachable),
        tuple(item.name for item in view.databases if item.leaving),
    )
