"""Background samples of the primary that renew the proofs of replicas' freshness.

No read waits for such a sample. At most one is in progress at a time, as it serves all
later reads.
"""

from typing import Protocol

from twisted.internet.defer import Deferred


class SampleSource(Protocol):
    """Samples the primary, as `GroupTask` does."""

    def sample_primary(self) -> Deferred:
        """Return a Deferred of a position; it has no timeout of its own."""


class AgeRefresher:
    """Renews the proofs of the freshness of a group's replicas.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    source : SampleSource
        Takes the samples.
    timeout : float
        Seconds after which a sample is cancelled.
    """

    def __init__(self, reactor, source: SampleSource, timeout: float):
        self._reactor = reactor
        self._source = source
        self._timeout = timeout
        self._is_sampling = False

    def refresh(self) -> None:
        """Start a sample, unless one is in progress."""
        if self._is_sampling:
            return
        self._is_sampling = True
        sampling = self._source.sample_primary()
        sampling.addTimeout(self._timeout, self._reactor)
        sampling.addBoth(self._finish)

    def _finish(self, result: object) -> None:
        """Allow the next sample; a failed one is not retried before a later read."""
        self._is_sampling = False
