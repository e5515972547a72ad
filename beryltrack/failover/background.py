"""Runs coroutines of elections in the background."""

import logging
from collections.abc import Coroutine

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

log = logging.getLogger(__name__)


def run_in_background(work: Coroutine) -> Deferred:
    """Start a coroutine in the background; unexpected errors are logged."""
    return Deferred.fromCoroutine(work).addErrback(_log_unexpected)


def _log_unexpected(failure: Failure) -> None:
    """Log an unexpected error of a background coroutine; ignore cancellation."""
    if not failure.check(CancelledError):
        log.error(
            "failover: unexpected error in a background task: %s",
            failure.getTraceback(),
        )
