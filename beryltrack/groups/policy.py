"""How often the databases of a group are asked for their status."""

from collections.abc import Sequence
from typing import NamedTuple

from beryltrack.groups.adapter import NO_WAIT, StatusWait
from beryltrack.groups.messages import PRIMARY, LogPosition
from beryltrack.groups.view import DatabaseView

# How long after a replica's limit it is asked, so that its answer shows a loss.
LIMIT_MARGIN = 1e-6


class ProbePolicy(NamedTuple):
    """How often databases are asked.

    Parameters
    ----------
    interval : float
        Seconds between two probes of a database while the group is in use:
        how exactly ages are known.
    idle_interval : float
        The same while nobody asks anything of the group.
    suspect_interval : float
        Seconds between two probes while the primary may be lost.
    wait_slice : float
        Most seconds that one long poll holds a control connection, and so
        delays a grant that is asked for over it.
    use_time : float
        Seconds after a request for which the group counts as in use.
    is_poll_only : bool
        True if databases of this kind answer at once, whatever is waited for, and
        do not tell whether they hear their primary.
    poll_interval : float
        Seconds between two probes of a replica whose progress somebody waits
        for, where there are no long polls: about a round trip.
    idle_primary_interval : float
        Seconds between two questions of the instance that is first to act to a
        primary that it has not heard from otherwise.
    background_interval : float
        Seconds between two probes of plain databases that nothing calls for.
    suspect_time : float
        Seconds for which a group stays suspect after a sign of a loss.
    """

    interval: float
    idle_interval: float
    suspect_interval: float = 0.02
    wait_slice: float = 0.05
    use_time: float = 1.0
    is_poll_only: bool = False
    poll_interval: float = 0.005
    idle_primary_interval: float = 0.4
    background_interval: float = 20.0
    suspect_time: float = 1.5


def make_probe_policy(lost_after: float) -> ProbePolicy:
    """Return the usual pace for a group.

    A longer interval makes no loss be noticed later: a replica is asked again
    at the moment at which it would have lost its primary; see `compute_delay`.
    """
    return ProbePolicy(interval=lost_after / 5, idle_interval=lost_after)


def make_wait(
    item: DatabaseView, received: int | None, tokens: Sequence[LogPosition]
) -> StatusWait:
    """Return the long poll that tells those who wait of a replica's progress.

    Parameters
    ----------
    item : DatabaseView
        The replica.
    received : int or None
        Offset whose receipt is waited for, if any.
    tokens : sequence of LogPosition
        Positions whose application is waited for.

    Returns
    -------
    StatusWait
        A wait that ends on progress only: an offset that is there already, in
        another term, would end it at once, again and again.
    """
    next_applied = item.applied.offset + 1
    return StatusWait(
        item.term,
        max(received or 0, item.received.offset + 1),
        max(min(tokens).offset, next_applied) if tokens else NO_WAIT,
    )


def compute_slice(policy: ProbePolicy, until_lost: float) -> float:
    """Return how long a long poll may hold a replica's control connection.

    Parameters
    ----------
    policy : ProbePolicy
        The pace.
    until_lost : float
        Seconds of silence after which the replica has lost its primary.

    Returns
    -------
    float
        Seconds. The poll ends when the primary would count as lost, so that
        its answer tells of the loss and the connection is free for a grant.
    """
    if until_lost <= 0:
        return policy.suspect_interval
    return min(policy.wait_slice, until_lost + LIMIT_MARGIN)


def compute_delay(
    policy: ProbePolicy, item: DatabaseView, until_lost: float, in_use: bool
) -> float:
    """Return the seconds between an answer of a database and the next probe.

    Parameters
    ----------
    policy : ProbePolicy
        The pace.
    item : DatabaseView
        The database.
    until_lost : float
        Seconds of silence after which it has lost its primary.
    in_use : bool
        True if somebody lately asked something of the group.

    Returns
    -------
    float
        The usual interval, or less if it would have lost its primary by then.
    """
    interval = policy.interval if in_use else policy.idle_interval
    if item.role == PRIMARY or until_lost <= 0 or not item.reachable:
        return interval
    return min(interval, until_lost + LIMIT_MARGIN)
