"""The time of a node: seconds that never go back.

Ages and timeouts are proven by this time, so it must not follow corrections
of the wall clock, which the reactor's own `seconds` does.
"""

import time
from collections.abc import Callable

from twisted.internet.interfaces import IReactorCore


def get_monotonic_clock(reactor: object) -> Callable[[], float]:
    """Return the function that tells the time of a node.

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
    """Let the reactor's timers follow a clock that never goes back.

    Twisted's timers follow the wall clock, so that a correction of it by some
    seconds would hold back every heartbeat and probe of the process.
    """
    reactor.seconds = time.monotonic
