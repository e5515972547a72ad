"""An estimate of a duration that single outliers do not spoil."""

from beryltrack.connections.service_estimate import MEAN_WEIGHT, ServiceEstimate

LEAST_SAMPLES = 16
"""Samples after which the mean tells what is far out."""

OUTLIER_FACTOR = 8.0
"""A sample counts as this many times the mean at most: kinds of statements differ
tenfold among themselves, less from their mean."""

LEAST_BOUND = 0.01
"""Seconds up to which a sample always counts, so that a mean near zero can rise."""


class BoundedEstimate(ServiceEstimate):
    """Smoothed mean of a duration, on which one sample has a bounded effect.

    A process that was frozen sees statements that took as long as it was. Three of 5 s
    would make all that comes look hopeless for the next hundred statements.

    Parameters
    ----------
    initial : float
        Seconds to assume before the first sample.
    weight : float
        Weight of a sample in the mean.
    """

    def __init__(self, initial: float, weight: float = MEAN_WEIGHT):
        super().__init__(initial, weight)

    @property
    def count(self) -> int:
        """Samples so far."""
        return self._count

    def observe(self, duration: float) -> None:
        """Take in one duration, seconds."""
        if self._count >= LEAST_SAMPLES:
            duration = min(duration, max(LEAST_BOUND, OUTLIER_FACTOR * self._mean))
        super().observe(duration)
