"""How long a request waits for a connection, by its place in the queue."""

from collections.abc import ValuesView
from itertools import takewhile
from typing import NamedTuple


class WaitModel(NamedTuple):
    """How long requests wait by their place in the queue.

    Parameters
    ----------
    free : int
        Requests that need not wait for another one to end.
    at_once : float
        Seconds that these wait: for a connection to open, if none is idle.
    step : float
        Seconds after which a connection comes back, on average.
    """

    free: int
    at_once: float
    step: float

    def get_wait(self, place: int) -> float:
        """Return the expected wait at a place, seconds."""
        ahead = place - self.free
        return self.at_once if ahead < 0 else (ahead + 1) * self.step


def model_waits(
    capacity: int,
    started: ValuesView[float],
    open_wait: float,
    hold_time: float,
    stuck_before: float,
    now: float,
) -> WaitModel:
    """Work out the waits from what the connections do now.

    A hold that began before `stuck_before` is not counted on to end soon: one
    long transaction must not make all others look hopeless, and a target that
    answers nobody must be seen before the first hold ends.

    Parameters
    ----------
    capacity : int
        Connections that may be in use at once.
    started : view of float
        When each hold that goes on began, oldest first, seconds.
    open_wait : float
        Seconds until a connection that nobody holds is there.
    hold_time : float
        Expected length of a hold, seconds.
    stuck_before : float
        Holds that began earlier count as stuck.
    now : float
        The current time, seconds.

    Returns
    -------
    WaitModel
        The wait for each place.
    """
    total = max(1, capacity)
    held = len(started)
    oldest = next(iter(started), now)
    if oldest >= stuck_before:
        return WaitModel(total - held, open_wait, hold_time / total)
    stuck = sum(1 for _ in takewhile(lambda time: time < stuck_before, started))
    if stuck < total:
        return WaitModel(total - held, open_wait, hold_time / (total - stuck))
    # All are stuck: what lasts long is expected to last as long again.
    newest = next(iter(reversed(started)))
    return WaitModel(total - held, open_wait, (now - newest) / total)
