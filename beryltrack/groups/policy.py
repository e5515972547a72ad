"""Probe intervals: how often the databases of a group are asked for their status."""

from collections.abc import Sequence
from typing import NamedTuple

from beryltrack.groups.adapter import NO_WAIT, StatusWait
from beryltrack.groups.messages import PRIMARY, LogPosition
from beryltrack.groups.view import DatabaseView

LIMIT_MARGIN = 1e-6
"""Seconds after a replica's detection limit at which it is asked, so that its answer
shows the loss of its primary."""


class ProbePolicy(NamedTuple):
    """Intervals of status requests.

    Parameters
    ----------
    interval : float
        Seconds between two probes of a database while the group is in use; it
        bounds the precision of the known ages.
    idle_interval : float
        Seconds between two probes of a database while the group has no requests.
    suspect_interval : float
        Seconds between two probes while the primary may be lost.
    max_long_poll : float
        Maximum seconds that one long poll occupies a control connection, and so
        delays a grant over it.
    active_time : float
        Seconds after a request for which the group counts as in use.
    is_poll_only : bool
        True if databases of this kind answer each request at once, without long
        polls, and do not report whether they hear their primary.
    poll_interval : float
        Seconds between two probes of a poll-only replica while a request waits for
        its progress: about a round trip.
    idle_primary_interval : float
        Idle probe interval: seconds of silence after which the instance that ranks
        first among the failover candidates probes a poll-only primary.
    background_interval : float
        Seconds between two probes of a poll-only database for which no other rule
        asks for a probe.
    suspicion_time : float
        Seconds for which a group counts as suspect after a sign of a loss.
    """

    interval: float
    idle_interval: float
    suspect_interval: float = 0.02
    max_long_poll: float = 0.05
    active_time: float = 1.0
    is_poll_only: bool = False
    poll_interval: float = 0.005
    idle_primary_interval: float = 0.4
    background_interval: float = 20.0
    suspicion_time: float = 1.5


def make_probe_policy(lost_after: float) -> ProbePolicy:
    """Return the default policy for a group whose primary is lost after some silence.

    A longer interval does not delay the detection of a loss: a replica is asked again
    at the moment at which it would have lost its primary; see `compute_delay`.
    """
    return ProbePolicy(interval=lost_after / 5, idle_interval=lost_after)


def make_status_wait(
    item: DatabaseView, received: int | None, tokens: Sequence[LogPosition]
) -> StatusWait:
    """Return the conditions of a long poll for a replica's progress.

    Parameters
    ----------
    item : DatabaseView
        The replica.
    received : int or None
        Offset that has to be received, if any.
    tokens : sequence of LogPosition
        Positions that have to be applied.

    Returns
    -------
    StatusWait
        A wait that ends on progress only: an offset that the replica already has,
        in another term, would end each long poll immediately.
    """
    next_applied = item.applied.offset + 1
    return StatusWait(
        item.term,
        max(received or 0, item.received.offset + 1),
        max(min(tokens).offset, next_applied) if tokens else NO_WAIT,
    )


def compute_long_poll_timeout(policy: ProbePolicy, until_lost: float) -> float:
    """Return the timeout of a long poll on a replica's control connection.

    Parameters
    ----------
    policy : ProbePolicy
        The intervals.
    until_lost : float
        Seconds of silence after which the replica has lost its primary.

    Returns
    -------
    float
        Seconds. The poll ends when the primary would count as lost, so that
        its answer reports the loss and the connection is free for a grant.
    """
    if until_lost <= 0:
        return policy.suspect_interval
    return min(policy.max_long_poll, until_lost + LIMIT_MARGIN)


def compute_delay(
    policy: ProbePolicy, item: DatabaseView, until_lost: float, in_use: bool
) -> float:
    """Return the seconds between an answer of a database and the next probe.

    Parameters
    ----------
    policy : ProbePolicy
        The intervals.
    item : DatabaseView
        The database.
    until_lost : float
        Seconds of silence after which it has lost its primary.
    in_use : bool
        True if the group had a request recently.

    Returns
    -------
    float
        The usual interval, or less if it would have lost its primary by then.
    """
    interval = policy.interval if in_use else policy.idle_interval
    if item.role == PRIMARY or until_lost <= 0 or not item.reachable:
        return interval
    return min(interval, until_lost + LIMIT_MARGIN)
