"""A `task.Clock` for tens of thousands of timers.

The clock of Twisted sorts all its timers at each call; this one keeps them
sorted as they come.
"""

from bisect import insort

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock


class SortedClock(Clock):
    """A clock whose timers are kept in order."""

    def callLater(self, delay, function, *args, **kwargs) -> DelayedCall:  # noqa: N802
        """Run a function after a delay in seconds."""
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
        """Let the time pass until `end`, seconds, firing each timer at its time."""
        while self.calls and self.calls[0].getTime() <= end:
            call = self.calls.pop(0)
            self.rightNow = max(self.rightNow, call.getTime())
            call.called = 1
            call.func(*call.args, **call.kw)
        self.rightNow = max(self.rightNow, end)
