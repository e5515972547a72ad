"""Detection of a database that has restarted with an empty log.

Normally new settings from the store announce a restart. While the store is unreachable,
or where settings do not show it, the sign is a status that falls behind an earlier
status of the same database.
"""

from typing import NamedTuple

from beryltrack.groups.messages import DatabaseStatus


class ReceivedStatus(NamedTuple):
    """A status, and when it arrived.

    Parameters
    ----------
    status : DatabaseStatus
        The status.
    answered_at : float
        Arrival time, by the instance's clock.
    """

    status: DatabaseStatus
    answered_at: float


def has_regressed(
    earlier: ReceivedStatus | None, status: DatabaseStatus, sent_at: float
) -> bool:
    """Return whether a status shows that its database lost the data of an earlier one.

    Parameters
    ----------
    earlier : ReceivedStatus or None
        The earlier status; None if there is none.
    status : DatabaseStatus
        The later status.
    sent_at : float
        Send time of the request for the later status, by the instance's clock.

    Returns
    -------
    bool
        False also where the order of the two is not certain, and where a log may have
        become shorter in another way: a hold was taken back, or a primary of a later
        term has truncated entries that its own log lacks.
    """
    if earlier is None or earlier.answered_at > sent_at:
        return False
    before = earlier.status
    if status.incarnation != before.incarnation:
        return True
    if status.is_held or before.is_held:
        return status.received.term < before.received.term
    if status.term != before.term:
        return status.term < before.term
    had_entries_of_term = before.received.term == before.term
    return had_entries_of_term and status.received < before.received
