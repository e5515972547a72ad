"""Runs a coroutine repeatedly, each time after the delay that it returned."""

import logging
from collections.abc import Awaitable, Callable

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime

log = logging.getLogger(__name__)

FAILURE_DELAY = 5.0
"""Seconds until the next call after one that failed."""


class Repeater:
    """Runs a coroutine repeatedly, never twice at the same time.

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
        """Call the function now, and again after each call has ended."""
        self._timer = None
        self._running = Deferred.fromCoroutine(self._function())
        self._running.addCallbacks(self._schedule, self._handle_failure)

    def stop(self) -> None:
        """Stop repeating; cancel a call that is running."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        elif self._running is not None:
            self._running.cancel()

    def _schedule(self, delay: float) -> None:
        """Schedule the next call."""
        self._timer = self._reactor.callLater(delay, self.start)

    def _handle_failure(self, failure) -> None:
        """Log a failed call and schedule the next one, unless it was cancelled."""
        if failure.check(CancelledError):
            return
        log.error(
            "peers: a periodic call failed; next one in %.1f s: %s",
            FAILURE_DELAY,
            failure.getTraceback(),
        )
        self._schedule(FAILURE_DELAY)
