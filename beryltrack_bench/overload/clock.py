"""A `task.Clock` that scales to tens of thousands of timers.

Twisted's clock sorts all timers on each call; this one inserts each timer at its
sorted position.
"""

from bisect import insort

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock


class SortedClock(Clock):
    """A clock that keeps its timers sorted by time."""

    def callLater(self, delay, function, *args, **kwargs) -> DelayedCall:  # noqa: N802
        """Schedule a function to run after a delay in seconds."""
        call = DelayedCall(
            self.seconds() + delay,
            function,
            args,
            kwargs,
            self.calls.remove,
            lambda _: self.calls.sort(key=DelayedCall.getTime),
            self.seconds,
        )
        insort(self.calls, call, key=DelayedCall.getTime)
        return call

    def run_until(self, end: float) -> None:
        """Advance the time to `end`, seconds, and fire each timer at its time."""
        while self.calls and self.calls[0].getTime() <= end:
            call = self.calls.pop(0)
            self.rightNow = max(self.rightNow, call.getTime())
            call.called = 1
            call.func(*call.args, **call.kw)
        self.rightNow = max(self.rightNow, end)
