"""Back-off for reads at a replica that refused a position as not yet applied.

Replicas apply writes one after the other, so that one that has been behind for seconds
remains so for seconds. Asked again each 0.3 s by each instance of a large fleet, two
replicas refused 15 of each 100 statements of a whole site while they were behind, and
so added load to the primary.
"""

from typing import NamedTuple

from beryltrack.groups.messages import LogPosition

PAUSE_RATIO = 0.25
"""Pause after a refusal, as a fraction of the time the replica has been behind."""

MAX_PAUSE = 2.0
"""Maximum pause in seconds; a replica that caught up may stay unused for as long."""


class Lag(NamedTuple):
    """Summary of a replica's refusals while it is behind.

    Parameters
    ----------
    since : float
        Time of the first refusal, by the instance's clock.
    refused_at : float
        Time of the last refusal.
    missing : LogPosition
        The position that it had not applied at the last refusal.
    """

    since: float
    refused_at: float
    missing: LogPosition


def compute_pause(lag: Lag, min_pause: float) -> float:
    """Return the pause after a replica's last refusal, in seconds."""
    return min(max(min_pause, PAUSE_RATIO * (lag.refused_at - lag.since)), MAX_PAUSE)


def record_refusal(lag: Lag | None, position: LogPosition, now: float) -> Lag:
    """Return the lag after a replica refused a read at a position."""
    if lag is None or now - lag.refused_at > 2 * MAX_PAUSE:
        return Lag(now, now, position)
    return Lag(lag.since, now, position)


def record_applied(lag: Lag | None, position: LogPosition) -> Lag | None:
    """Return the lag after a replica showed a position; None if it caught up."""
    return None if lag is None or position >= lag.missing else lag


def is_presumed_behind(
    lag: Lag | None, position: LogPosition, now: float, min_pause: float
) -> bool:
    """Return whether a replica is presumed not to have applied a position yet.

    Parameters
    ----------
    lag : Lag or None
        Summary of its refusals; None if it has not refused.
    position : LogPosition
        The position that a read needs. One earlier than `lag.missing` is tried.
    now : float
        The current time.
    min_pause : float
        Minimum pause after a refusal, in seconds; with zero there is no pause.
    """
    if lag is None or position < lag.missing or not min_pause:
        return False
    return now < lag.refused_at + compute_pause(lag, min_pause)
