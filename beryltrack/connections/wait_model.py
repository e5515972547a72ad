"""Estimates how long requests wait for a connection, by position in the queue."""

from collections.abc import ValuesView
from itertools import takewhile
from typing import NamedTuple


class WaitModel(NamedTuple):
    """The expected waits by position in the queue.

    Parameters
    ----------
    free : int
        Requests that need not wait for another request to end.
    open_wait : float
        Seconds that these requests wait: for a connection to open, if none is idle.
    release_interval : float
        Mean seconds between two releases of a connection.
    """

    free: int
    open_wait: float
    release_interval: float

    def get_wait(self, position: int) -> float:
        """Return the expected wait at a position, seconds."""
        ahead = position - self.free
        return self.open_wait if ahead < 0 else (ahead + 1) * self.release_interval


def model_waits(
    capacity: int,
    started: ValuesView[float],
    open_wait: float,
    hold_time: float,
    stuck_before: float,
    now: float,
) -> WaitModel:
    """Compute the expected waits from the present use of the connections.

    A use that began before `stuck_before` is not expected to end soon. So one long
    transaction does not have all other requests refused, and a target that stopped
    answering is noticed before any request on it ends.

    Parameters
    ----------
    capacity : int
        Connections that may be in use at the same time.
    started : view of float
        When each present use of a connection began, oldest first, seconds.
    open_wait : float
        Seconds until a connection that is not in use is available.
    hold_time : float
        Expected length of a use, seconds.
    stuck_before : float
        Uses that began earlier count as stuck.
    now : float
        The current time, seconds.

    Returns
    -------
    WaitModel
        The wait for each position.
    """
    total = max(1, capacity)
    held = len(started)
    oldest = next(iter(started), now)
    if oldest >= stuck_before:
        return WaitModel(total - held, open_wait, hold_time / total)
    stuck = sum(1 for _ in takewhile(lambda time: time < stuck_before, started))
    if stuck < total:
        return WaitModel(total - held, open_wait, hold_time / (total - stuck))
    # All are stuck: each is expected to last as long again as it has lasted.
    newest = next(iter(reversed(started)))
    return WaitModel(total - held, open_wait, (now - newest) / total)
