"""Repeats a coroutine, each time after the delay that it returned."""

import logging
from collections.abc import Awaitable, Callable

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime

log = logging.getLogger(__name__)

FAILURE_DELAY = 5.0


class Repeater:
    """Runs a coroutine again and again, never twice at once.

    Parameters
    ----------
    reactor : IReactorTime
        Clock of the delays.
    function : callable
        Returns an awaitable of the seconds until the next call.
    """

    def __init__(self, reactor: IReactorTime, function: Callable[[], Awaitable[float]]):
        self._reactor = reactor
        self._function = function
        self._running: Deferred | None = None
        self._timer = None

    def start(self) -> None:
        """Call the function now, and again after each end."""
        self._timer = None
        self._running = Deferred.fromCoroutine(self._function())
        self._running.addCallbacks(self._schedule, self._handle_failure)

    def stop(self) -> None:
        """Call it no more; a call that is running is cancelled."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        elif self._running is not None:
            self._running.cancel()

    def _schedule(self, delay: float) -> None:
        """Plan the next call."""
        self._timer = self._reactor.callLater(delay, self.start)

    def _handle_failure(self, failure) -> None:
        """Log a fault of the function and go on, unless it was stopped."""
        if failure.check(CancelledError):
            return
        log.error("peers: call failed: %s", failure.getTraceback())
        self._schedule(FAILURE_DELAY)
