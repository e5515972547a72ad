"""Samples of the primary on behalf of reads to come.

A read never waits for such a sample. One is under way at a time, as it serves
all reads that come after it.
"""

from typing import Protocol

from twisted.internet.defer import Deferred


class SampleSource(Protocol):
    """Samples the primary, as `GroupTask` does."""

    def sample_primary(self) -> Deferred:
        """Return a Deferred of a position; it has no timeout of its own."""


class AgeRefresher:
    """Has the ages of a group's replicas proven anew.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    source : SampleSource
        Takes the samples.
    timeout : float
        Seconds after which a sample is given up.
    """

    def __init__(self, reactor, source: SampleSource, timeout: float):
        self._reactor = reactor
        self._source = source
        self._timeout = timeout
        self._is_sampling = False

    def refresh(self) -> None:
        """Take a sample, unless one is under way."""
        if self._is_sampling:
            return
        self._is_sampling = True
        sampling = self._source.sample_primary()
        sampling.addTimeout(self._timeout, self._reactor)
        sampling.addBoth(self._end)

    def _end(self, result: object) -> None:
        """Let the next sample be taken; a failed one is taken by a later read."""
        self._is_sampling = False
