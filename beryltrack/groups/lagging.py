"""How long a replica that was behind is taken to be so still.

Answers load on a primary whose replicas are far behind: replicas apply one write after
the other, so that one that has been behind for seconds remains so for seconds. Asked
again each 0.3 s by each instance of a large fleet, two replicas refused 15 of each 100
statements of a whole site for as long as they were behind.
"""

from typing import NamedTuple

from beryltrack.groups.messages import LogPosition

BEHIND_PART = 0.25
"""Part of the time for which a replica has been behind that it is left alone for."""

MOST_PAUSE = 2.0
"""Most seconds for which it is left alone; its return may be missed for so long."""


class Lag(NamedTuple):
    """What the refusals of a replica that is behind say.

    Parameters
    ----------
    since : float
        When it was first found behind, by the node's clock.
    refused_at : float
        When it last refused.
    lacked : LogPosition
        The position that it lacked then.
    """

    since: float
    refused_at: float
    lacked: LogPosition


def compute_pause(lag: Lag, least: float) -> float:
    """Return for how long after its last refusal a replica is left alone, seconds."""
    return min(max(least, BEHIND_PART * (lag.refused_at - lag.since)), MOST_PAUSE)


def note_refusal(lag: Lag | None, position: LogPosition, now: float) -> Lag:
    """Return what is known once a replica has refused to show a position."""
    if lag is None or now - lag.refused_at > 2 * MOST_PAUSE:
        return Lag(now, now, position)
    return Lag(lag.since, now, position)


def note_shown(lag: Lag | None, position: LogPosition) -> Lag | None:
    """Return what is known once a replica has shown a position."""
    return None if lag is None or position >= lag.lacked else lag


def is_presumed_behind(
    lag: Lag | None, position: LogPosition, now: float, least: float
) -> bool:
    """Return whether a replica is taken to lack a position still.

    Parameters
    ----------
    lag : Lag or None
        What its refusals say, None if it has not refused.
    position : LogPosition
        What it would have to show. An earlier one than it lacked is worth a try.
    now : float
        The current time.
    least : float
        Least seconds for which a replica that refused is left alone; zero: it is tried
        again at once.
    """
    if lag is None or position < lag.lacked or not least:
        return False
    return now < lag.refused_at + compute_pause(lag, least)
