"""A `task.Clock` that stays fast with many scheduled calls.

Twisted's clock sorts all scheduled calls whenever one is added or run, which
took half of the time of an experiment. This clock inserts a new call at its
sorted position. Calls scheduled for the same time run in the order in which they
were scheduled, as with Twisted's clock, so results are the same with either.
"""

from bisect import insort
from collections.abc import Callable

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock


class OrderedClock(Clock):
    """Twisted's clock with a sorted list of calls."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args, **kwargs
    ) -> DelayedCall:
        """Schedule a function after a delay in seconds."""
        call = DelayedCall(
            self.seconds() + delay,
            callable,
            args,
            kwargs,
            self.calls.remove,
            self._move,
            self.seconds,
        )
        insort(self.calls, call, key=_get_planned_time)
        return call

    def advance(self, amount: float) -> None:
        """Advance the time by some seconds and run the calls that become due."""
        self.rightNow += amount
        while self.calls and self.calls[0].time <= self.seconds():
            call = self.calls.pop(0)
            if call.delayed_time:
                call.activate_delay()
                insort(self.calls, call, key=_get_planned_time)
                continue
            call.called = 1
            call.func(*call.args, **call.kw)

    def _move(self, call: DelayedCall) -> None:
        """Restore the order after a call was rescheduled to an earlier time."""
        self.calls.remove(call)
        insort(self.calls, call, key=_get_planned_time)


def _get_planned_time(call: DelayedCall) -> float:
    """Return the time of a call without a later postponement."""
    return call.time
