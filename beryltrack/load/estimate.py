"""Exponentially weighted mean of a duration that limits the effect of outliers."""

from beryltrack.connections.service_estimate import MEAN_WEIGHT, ServiceEstimate

MIN_SAMPLES = 16
"""Samples before the mean is used to recognise outliers."""

OUTLIER_FACTOR = 8.0
"""A sample counts as this many times the mean at most: kinds of statements differ
tenfold among themselves, less from their mean."""

MIN_BOUND = 0.01
"""Seconds up to which a sample always counts in full, so that a mean near zero can
rise."""


class BoundedEstimate(ServiceEstimate):
    """Smoothed mean of a duration, on which one sample has a bounded effect.

    A process that was suspended measures statements as long as the suspension. Without
    the bound, three of 5 s would make the next hundred statements look hopeless.

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
        """Record one duration, seconds."""
        if self._count >= MIN_SAMPLES:
            duration = min(duration, max(MIN_BOUND, OUTLIER_FACTOR * self._mean))
        super().observe(duration)
