"""Signs that a database has started again and holds nothing of before.

The settings tell of a start as soon as the store does. While that is away, or where no
settings tell, what the database says of itself is the sign: it falls back behind what
it has said before.
"""

from typing import NamedTuple

from beryltrack.groups.messages import DatabaseStatus


class Told(NamedTuple):
    """What a database has said of itself.

    Parameters
    ----------
    status : DatabaseStatus
        Its words.
    answered_at : float
        When they came, by the node's clock.
    """

    status: DatabaseStatus
    answered_at: float


def has_fallen_back(told: Told | None, status: DatabaseStatus, sent_at: float) -> bool:
    """Return whether a status shows that its database has forgotten an earlier one.

    Parameters
    ----------
    told : Told or None
        The earlier status; None if there is none.
    status : DatabaseStatus
        The later one.
    sent_at : float
        When it was asked for, by the node's clock.

    Returns
    -------
    bool
        False also where the order of the two is not certain, and where a log may have
        become shorter in another way: a hold was taken back, or a primary of a later
        term has removed what was not its own.
    """
    if told is None or told.answered_at > sent_at:
        return False
    before = told.status
    if status.incarnation != before.incarnation:
        return True
    if status.is_held or before.is_held:
        return status.received.term < before.received.term
    if status.term != before.term:
        return status.term < before.term
    had_entries_of_term = before.received.term == before.term
    return had_entries_of_term and status.received < before.received
