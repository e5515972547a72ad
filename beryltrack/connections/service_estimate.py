"""Estimates of how long a request holds a connection, and of opening times.

The smoothed mean and mean deviation of RFC 6298 serve here as they do for
retransmission timers: they cost a few operations per sample and follow a
change within some ten samples.
"""

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4


class ServiceEstimate:
    """Smoothed mean and deviation of a duration.

    Parameters
    ----------
    initial : float
        Seconds to assume before the first sample.
    """

    def __init__(self, initial: float):
        self._mean = initial
        self._deviation = 0.0
        self._is_sampled = False

    @property
    def mean(self) -> float:
        """The smoothed mean, seconds."""
        return self._mean

    @property
    def deviation(self) -> float:
        """The smoothed mean deviation, seconds."""
        return self._deviation

    def observe(self, duration: float) -> None:
        """Take in one duration, seconds."""
        if not self._is_sampled:
            self._is_sampled = True
            self._mean = duration
            self._deviation = duration / 2
            return
        error = duration - self._mean
        self._mean += MEAN_WEIGHT * error
        self._deviation += DEVIATION_WEIGHT * (abs(error) - self._deviation)
