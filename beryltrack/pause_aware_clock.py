"""The time in which this process ran, without the pauses in which it was stopped.

A process is stopped for a while by a signal, by the migration of its machine, or by a
host that has no processor time. When it wakes, the timers that ran out meanwhile fire
before anything is read, so that all who answered during the pause would be taken for
silent. Whoever concludes something from the silence of others goes by this clock.

What others were promised, such as leases, permits and proofs of freshness, ends by the
node's own time, `clock.get_seconds`: it does not live longer by a pause.
"""

import math
from collections import deque
from collections.abc import Callable
from typing import NamedTuple
from weakref import WeakValueDictionary

from twisted.internet.interfaces import IReactorTime

from beryltrack.clock import get_monotonic_clock

TICK_PERIOD = 0.1
"""Most seconds between two turns of a process that runs; of a pause, as much counts as
time in which it ran, so that pauses one after the other hide no silence for good."""

PAUSE_LIMIT = 0.4
"""Seconds without a turn after which the process was paused: longer than a collection
of garbage or a quota of the processor stops it, and no longer than the shortest silence
that counts as a loss."""

RESUME_GRACE = 0.1
"""Seconds after a pause for which nothing counts as silent: what has come meanwhile is
read first."""

MAX_PAUSES = 64
"""Pauses that are remembered; what is measured began after the oldest of them."""


class Pause(NamedTuple):
    """A pause of this process.

    Parameters
    ----------
    resumed_at : float
        When it was noticed, by the node's time in seconds.
    length : float
        Seconds that do not count as time in which the process ran.
    ran_for : float
        Seconds for which it ran since the pause before.
    """

    resumed_at: float
    length: float
    ran_for: float


PauseCallback = Callable[[Pause], None]


class PauseAwareCall:
    """A call that is due once the process has run for some time.

    It can be cancelled like an `IDelayedCall`, but not moved.

    Parameters
    ----------
    clock : AwakeClock
        The clock that made it.
    reactor : IReactorTime
        Source of timers.
    delay : float
        Seconds.
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
        self._pauses = clock.pause_count
        self._call = reactor.callLater(delay, self._fire)

    def active(self) -> bool:
        """Return whether the call is still to be made."""
        return self._call is not None and self._call.active()

    def cancel(self) -> None:
        """Make no call."""
        self._call.cancel()

    def _fire(self) -> None:
        """Make the call, unless a pause has used up its time."""
        left = self._due - self._clock.seconds()
        if left <= 0.0 and self._clock.pause_count > self._pauses:
            # Only once, so that pauses one after the other do not put it off for good.
            self._pauses = math.inf
            left = RESUME_GRACE if self._clock.is_resuming else 0.0
        if left > 0.0:
            self._call = self._reactor.callLater(left, self._fire)
        else:
            self._call = None
            self._function()


class PauseAwareClock:
    """Measures for how long this process ran.

    It counts each second until `start_detection` is called. Its caller has to call
    `record_tick` at least once each `TICK_PERIOD`.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers, and of the time if it is a `task.Clock`.

    Attributes
    ----------
    pause_count : int
        Pauses so far.
    """

    def __init__(self, reactor: IReactorTime):
        self._reactor = reactor
        self._seconds = get_monotonic_clock(reactor)
        self.pause_count = 0
        self._users = 0
        self._turn_at: float | None = None
        self._slept = 0.0
        self._pauses: deque[Pause] = deque(maxlen=MAX_PAUSES)
        self._callbacks: list[PauseCallback] = []

    @property
    def is_resuming(self) -> bool:
        """True if a pause was over less than `RESUME_GRACE` ago."""
        self.record_tick()
        is_known = bool(self._pauses)
        return is_known and self._seconds() - self._pauses[-1].resumed_at < RESUME_GRACE

    def start_detection(self) -> None:
        """Notice pauses until `stop_detection` has been called as often."""
        self._users += 1
        if self._turn_at is None:
            self._turn_at = self._seconds()

    def stop_detection(self) -> None:
        """Notice no pauses for the sake of one who began."""
        self._users -= 1
        if not self._users:
            self._turn_at = None

    def subscribe(self, callback: PauseCallback) -> None:
        """Call back after each pause, before anything else is concluded."""
        self._callbacks.append(callback)

    def unsubscribe(self, callback: PauseCallback) -> None:
        """Call back no more."""
        self._callbacks.remove(callback)

    def record_tick(self) -> None:
        """Take in that the process runs."""
        if self._turn_at is None:
            return
        now = self._seconds()
        gap, self._turn_at = now - self._turn_at, now
        if gap > PAUSE_LIMIT:
            before = self._pauses[-1].resumed_at if self._pauses else -math.inf
            pause = Pause(now, gap - TICK_PERIOD, now - gap - before)
            self.pause_count += 1
            self._slept += pause.length
            self._pauses.append(pause)
            for callback in tuple(self._callbacks):
                callback(pause)

    def seconds(self) -> float:
        """Return the time, without all pauses."""
        self.record_tick()
        return self._seconds() - self._slept

    def get_paused_time(self, since: float) -> float:
        """Return for how long the process was paused after a time of the node."""
        self.record_tick()
        return sum(each.length for each in self._pauses if each.resumed_at > since)

    def callLater(  # noqa: N802
        self, delay: float, function: Callable, *arguments, **options
    ) -> PauseAwareCall:
        """Call a function once the process has run for `delay` seconds."""

        def call() -> None:
            function(*arguments, **options)

        return PauseAwareCall(self, self._reactor, delay, call)


# By the reactor's identity, which a clock that is in use keeps from being given again.
_clocks: WeakValueDictionary[int, PauseAwareClock] = WeakValueDictionary()


def get_pause_aware_clock(reactor: IReactorTime) -> PauseAwareClock:
    """Return the one clock of a reactor that leaves out the pauses of its process."""
    clock = _clocks.get(id(reactor))
    if clock is None:
        clock = _clocks[id(reactor)] = PauseAwareClock(reactor)
    return clock
