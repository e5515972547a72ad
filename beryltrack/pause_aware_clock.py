"""A clock that counts the time in which this process ran, without its pauses.

A process is paused by a signal, by a live migration of its machine, or by a host that
has no processor time to give. After a pause the timers that are due fire before the
event loop reads any input, so that peers that answered during the pause would be taken
for silent. Code that concludes a failure from missing answers uses this clock.

Promises to others (leases, permits, proofs of freshness) end by the instance's
monotonic time, `clock.get_monotonic_clock`: a pause does not extend them.
"""

import math
from collections import deque
from collections.abc import Callable
from typing import NamedTuple
from weakref import WeakValueDictionary

from twisted.internet.interfaces import IReactorTime

from beryltrack.clock import get_monotonic_clock

TICK_PERIOD = 0.1
"""Maximum seconds between two ticks of a running process. Of each pause, as much counts
as running time, so that repeated pauses do not hide a silence forever."""

PAUSE_LIMIT = 0.4
"""Seconds without a tick after which the process counts as paused: longer than a
garbage collection or a CPU quota stops it, and no longer than the shortest silence that
counts as a loss."""

RESUME_GRACE = 0.1
"""Seconds after a pause during which no peer counts as silent, so that the input that
arrived during the pause is read first."""

MAX_PAUSES = 64
"""Number of recent pauses that are retained. `get_paused_time` is exact for times after
the oldest of them."""


class Pause(NamedTuple):
    """A pause of this process.

    Parameters
    ----------
    resumed_at : float
        When the pause was detected, by the instance's monotonic time in seconds.
    length : float
        Seconds that do not count as running time.
    ran_for : float
        Seconds for which the process ran since the previous pause.
    """

    resumed_at: float
    length: float
    ran_for: float


PauseCallback = Callable[[Pause], None]


class PauseAwareCall:
    """A delayed call that is due after some running time of the process.

    It can be cancelled like an `IDelayedCall`, but not rescheduled.

    Parameters
    ----------
    clock : PauseAwareClock
        The clock that created it.
    reactor : IReactorTime
        Source of timers.
    delay : float
        Seconds of running time.
    function : callable
        Called without arguments.
    """

    def __init__(
        self,
        clock: "PauseAwareClock",
        reactor: IReactorTime,
        delay: float,
        function: Callable[[], object],
    ):
        self._clock = clock
        self._reactor = reactor
        self._function = function
        self._due = clock.seconds() + delay
        self._pause_count = clock.pause_count
        self._call = reactor.callLater(delay, self._fire)

    def active(self) -> bool:
        """Return whether the call is pending."""
        return self._call is not None and self._call.active()

    def cancel(self) -> None:
        """Cancel the call."""
        self._call.cancel()

    def _fire(self) -> None:
        """Call the function, or reschedule if a pause has consumed the delay."""
        left = self._due - self._clock.seconds()
        if left <= 0.0 and self._clock.pause_count > self._pause_count:
            # Only once, so that repeated pauses do not postpone the call forever.
            self._pause_count = math.inf
            left = RESUME_GRACE if self._clock.is_resuming else 0.0
        if left > 0.0:
            self._call = self._reactor.callLater(left, self._fire)
        else:
            self._call = None
            self._function()


class PauseAwareClock:
    """Measures the running time of this process.

    Without pause detection it counts every second. While detection is on, the user that
    started it has to call `record_tick` at least once each `TICK_PERIOD`.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers, and of the time if it is a `task.Clock`.

    Attributes
    ----------
    pause_count : int
        Pauses detected so far.
    """

    def __init__(self, reactor: IReactorTime):
        self._reactor = reactor
        self._seconds = get_monotonic_clock(reactor)
        self.pause_count = 0
        self._user_count = 0
        self._tick_at: float | None = None
        self._paused_time = 0.0
        self._pauses: deque[Pause] = deque(maxlen=MAX_PAUSES)
        self._callbacks: list[PauseCallback] = []

    @property
    def is_resuming(self) -> bool:
        """True if a pause ended less than `RESUME_GRACE` ago."""
        self.record_tick()
        has_paused = bool(self._pauses)
        return (
            has_paused and self._seconds() - self._pauses[-1].resumed_at < RESUME_GRACE
        )

    def start_detection(self) -> None:
        """Detect pauses until `stop_detection` has been called as often as this."""
        self._user_count += 1
        if self._tick_at is None:
            self._tick_at = self._seconds()

    def stop_detection(self) -> None:
        """Stop detecting pauses for one user; the last one turns detection off."""
        self._user_count -= 1
        if not self._user_count:
            self._tick_at = None

    def subscribe(self, callback: PauseCallback) -> None:
        """Call `callback` after each pause, before the clock returns a later time."""
        self._callbacks.append(callback)

    def unsubscribe(self, callback: PauseCallback) -> None:
        """Remove a callback."""
        self._callbacks.remove(callback)

    def record_tick(self) -> None:
        """Record that the process runs now; detect a pause since the last tick."""
        if self._tick_at is None:
            return
        now = self._seconds()
        gap, self._tick_at = now - self._tick_at, now
        if gap > PAUSE_LIMIT:
            before = self._pauses[-1].resumed_at if self._pauses else -math.inf
            pause = Pause(now, gap - TICK_PERIOD, now - gap - before)
            self.pause_count += 1
            self._paused_time += pause.length
            self._pauses.append(pause)
            for callback in tuple(self._callbacks):
                callback(pause)

    def seconds(self) -> float:
        """Return the running time in seconds: the monotonic time less all pauses."""
        self.record_tick()
        return self._seconds() - self._paused_time

    def get_paused_time(self, since: float) -> float:
        """Return for how many seconds the process was paused after `since`.

        Parameters
        ----------
        since : float
            A monotonic time of the instance, in seconds.
        """
        self.record_tick()
        return sum(each.length for each in self._pauses if each.resumed_at > since)

    def callLater(  # noqa: N802
        self, delay: float, function: Callable, *arguments, **options
    ) -> PauseAwareCall:
        """Call a function after `delay` seconds of running time."""

        def call() -> None:
            function(*arguments, **options)

        return PauseAwareCall(self, self._reactor, delay, call)


# Keyed by the reactor's id. A clock refers to its reactor, so that the id cannot be
# reused while the clock is alive.
_clocks: WeakValueDictionary[int, PauseAwareClock] = WeakValueDictionary()


def get_pause_aware_clock(reactor: IReactorTime) -> PauseAwareClock:
    """Return the one pause-aware clock of a reactor."""
    clock = _clocks.get(id(reactor))
    if clock is None:
        clock = _clocks[id(reactor)] = PauseAwareClock(reactor)
    return clock
