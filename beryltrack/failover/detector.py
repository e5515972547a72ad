"""Failure detection: decides when a group's primary counts as lost.

The databases report how long ago they heard from their primary. Only these reports
count, not whether this instance reaches the primary: a bad link of one instance must
not cause a failover, and a primary that only this instance reaches is of no use.
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
    """Sets the heartbeat timeout after which a database has lost its primary."""

    def observe(self, database: DatabaseView) -> None:
        """Record a new status of a database."""

    def get_timeout(self, database: str) -> float:
        """Return the seconds of silence after which a database lost its primary."""


class FixedTimeoutDetector:
    """A failure detector with one fixed timeout for all databases.

    Parameters
    ----------
    lost_after : float
        Seconds of silence after which the primary is lost.
    """

    def __init__(self, lost_after: float):
        self._lost_after = lost_after

    def observe(self, database: DatabaseView) -> None:
        """Do nothing: the timeout is fixed."""

    def get_timeout(self, database: str) -> float:
        """Return the timeout in seconds."""
        return self._lost_after


def get_databases_without_primary(
    view: GroupView, detector: FailureDetector, oldest: float
) -> tuple[DatabaseView, ...]:
    """Return the databases that have lost their primary.

    Parameters
    ----------
    view : GroupView
        The group's view.
    detector : FailureDetector
        Gives the timeout of each database.
    oldest : float
        Answers to requests sent before this time do not count, seconds of the
        instance's clock.

    Returns
    -------
    tuple of DatabaseView
        Replicas that answered recently and whose primary has been silent for the
        timeout, and deposed primaries, which never heard the current one.
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
    """Return whether deposed primaries count as having lost the current primary.

    Just after a promotion the replicas still report silence from the previous loss.
    A deposed primary together with one of them must not cause another failover. It
    counts only if the current primary does not answer either, or if a replica that
    received entries of the current term has lost the primary again.
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
    """Return whether a replica has not heard its primary for the timeout."""
    return item.role == REPLICA and item.heard_age >= detector.get_timeout(item.name)


def is_primary_lost(
    view: GroupView,
    detector: FailureDetector,
    oldest: float,
    quorum: int | None = None,
) -> bool:
    """Return whether a quorum of the group's databases has lost the primary.

    Parameters
    ----------
    view : GroupView
        The group's view.
    detector : FailureDetector
        Gives the timeout of each database.
    oldest : float
        Answers to requests sent before this time do not count, seconds of the
        instance's clock.
    quorum : int or None
        How many databases an election needs; None for a majority.
    """
    orphaned = get_databases_without_primary(view, detector, oldest)
    needed = quorum or compute_majority(len(view.databases))
    return count_eligible_voters(view, orphaned) >= needed


def compute_loss_time(
    view: GroupView, detector: FailureDetector, now: float, quorum: int | None = None
) -> float:
    """Return since when a quorum of the group's databases has lost the primary.

    Parameters
    ----------
    view : GroupView
        The view of a group whose primary is lost; see `is_primary_lost`.
    detector : FailureDetector
        Gives the timeout of each database.
    now : float
        The current time of the instance's clock, seconds.
    quorum : int or None
        How many databases an election needs; None for a majority.

    Returns
    -------
    float
        Seconds of the instance's clock. Instances with synchronized clocks compute
        the same time, within the delay of an answer, whenever they asked.
    """
    needed = quorum or compute_majority(len(view.databases))
    loss_times = sorted(
        NEVER
        if is_deposed(view, item)
        else item.seen_at - item.heard_age + detector.get_timeout(item.name)
        for item in get_databases_without_primary(view, detector, NEVER)
    )
    return min(now, loss_times[needed - 1])


def compute_primary_silence(view: GroupView, now: float) -> float:
    """Return for how long no reachable replica has heard its primary.

    Parameters
    ----------
    view : GroupView
        The group's view.
    now : float
        The current time of the instance's clock, seconds.

    Returns
    -------
    float
        Seconds since a reachable replica last heard its primary; zero if no replica
        is reachable.
    """
    ages = (
        now - item.seen_at + item.heard_age
        for item in view.databases
        if item.reachable and item.role == REPLICA
    )
    return max(0.0, min(ages, default=0.0))
