"""When a primary counts as lost.

The databases say how long ago they heard their primary. Only their word
counts, not whether this node reaches the primary: one node's bad link must not
cost a failover, and a primary that only this node still reaches is of no use.
"""

from typing import Protocol

from beryltrack.groups.messages import REPLICA
from beryltrack.groups.view import (
    NEVER,
    DatabaseView,
    GroupView,
    compute_majority,
    count_eligible_voters,
    get_primary,
    is_deposed,
)


class FailureDetector(Protocol):
    """Says whether a database has lost its primary."""

    def observe(self, database: DatabaseView) -> None:
        """Take in a new status of a database."""

    def get_timeout(self, database: str) -> float:
        """Return the seconds without a word after which the primary is lost."""


class FixedTimeoutDetector:
    """A detector with one limit for all.

    Parameters
    ----------
    lost_after : float
        Seconds without a word after which the primary is lost.
    """

    def __init__(self, lost_after: float):
        self._lost_after = lost_after

    def observe(self, database: DatabaseView) -> None:
        """Learn nothing."""

    def get_timeout(self, database: str) -> float:
        """Return the limit."""
        return self._lost_after


def get_databases_without_primary(
    view: GroupView, detector: FailureDetector, oldest: float
) -> tuple[DatabaseView, ...]:
    """Return the databases that have lost their primary.

    Parameters
    ----------
    view : GroupView
        The group's view.
    detector : LossDetector
        Says how long a silence is a loss.
    oldest : float
        Answers to requests that were sent before this time do not count.

    Returns
    -------
    tuple of DatabaseView
        Replicas that answered lately and have not heard their primary, and
        deposed primaries, which have never heard the one that leads now.
    """
    counts_deposed = _counts_deposed(view, detector)
    return tuple(
        item
        for item in view.databases
        if item.reachable
        and item.seen_at >= oldest
        and ((counts_deposed and is_deposed(view, item)) or _is_silent(item, detector))
    )


def _counts_deposed(view: GroupView, detector: FailureDetector) -> bool:
    """Return whether the present primary has been at work and may be lost now.

    Just after a promotion the replicas are still silent from the loss before.
    A deposed primary beside one of them must not cost the next failover, so it
    counts only if the primary does not answer either, or if a replica that has
    received entries of its term has fallen silent again.
    """
    leader = get_primary(view)
    return (
        leader is None
        or not leader.reachable
        or any(
            item.received.term == view.term and _is_silent(item, detector)
            for item in view.databases
        )
    )


def _is_silent(item: DatabaseView, detector: FailureDetector) -> bool:
    """Return whether a replica has not heard its primary for too long."""
    return item.role == REPLICA and item.heard_age >= detector.get_timeout(item.name)


def is_primary_lost(
    view: GroupView,
    detector: FailureDetector,
    oldest: float,
    quorum: int | None = None,
) -> bool:
    """Return whether enough of the group's databases lost their primary.

    `quorum` is how many an election needs; None for a majority.
    """
    orphaned = get_databases_without_primary(view, detector, oldest)
    needed = quorum or compute_majority(len(view.databases))
    return count_eligible_voters(view, orphaned) >= needed


def compute_loss_time(
    view: GroupView, detector: FailureDetector, now: float, quorum: int | None = None
) -> float:
    """Return since when a majority of the group's databases has lost the primary.

    Parameters
    ----------
    view : GroupView
        The view of a group whose primary is lost; see `is_primary_lost`.
    detector : LossDetector
        Says how long a silence is a loss.
    now : float
        The current time of the node's clock, seconds.
    quorum : int or None
        How many databases an election needs; None for a majority.

    Returns
    -------
    float
        A time of the node's clock. Nodes whose clocks agree come to the same
        time but for the delay of an answer, whenever they were told.
    """
    needed = quorum or compute_majority(len(view.databases))
    lost_at = sorted(
        NEVER
        if is_deposed(view, item)
        else item.seen_at - item.heard_age + detector.get_timeout(item.name)
        for item in get_databases_without_primary(view, detector, NEVER)
    )
    return min(now, lost_at[needed - 1])


def compute_primary_silence(view: GroupView, now: float) -> float:
    """Return how long no replica has heard its primary.

    Parameters
    ----------
    view : GroupView
        The group's view.
    now : float
        The current time of the node's clock, seconds.

    Returns
    -------
    float
        Seconds since the latest word that a reachable replica had; zero if
        there is no such replica.
    """
    ages = (
        now - item.seen_at + item.heard_age
        for item in view.databases
        if item.reachable and item.role == REPLICA
    )
    return max(0.0, min(ages, default=0.0))
