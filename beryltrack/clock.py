"""The monotonic time of an instance, in seconds.

Ages, timeouts and leases are measured by it, so it must not follow adjustments of the
wall clock, as the reactor's own `seconds` does.
"""

import math
import time
from collections.abc import Callable

from twisted.internet.interfaces import IReactorCore

NEVER = -math.inf
"""Time of an event that has not happened, or of which nothing is known."""


def get_monotonic_clock(reactor: object) -> Callable[[], float]:
    """Return the function that returns the instance's monotonic time in seconds.

    Parameters
    ----------
    reactor : object
        The running reactor, or a `task.Clock` in tests.

    Returns
    -------
    callable
        `time.monotonic` for a real reactor, else the clock's own `seconds`.
    """
    if IReactorCore.providedBy(reactor):
        return time.monotonic
    return reactor.seconds


def use_monotonic_time(reactor) -> None:
    """Make the reactor's timers follow the monotonic clock.

    Twisted's timers follow the wall clock: if that is set back by some seconds, every
    heartbeat and probe of the process is delayed by as much.
    """
    reactor.seconds = time.monotonic
