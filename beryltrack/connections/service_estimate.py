"""Estimates of how long a request holds a connection, and of opening times.

Smoothed mean and mean deviation as in RFC 6298, with smaller weights: holds of
single statements and of transactions differ tenfold, and a mean that follows
each of them makes the length of the queue swing. The first samples weigh more,
so that a new pool learns within some ten requests.
"""

MEAN_WEIGHT = 1 / 32
DEVIATION_WEIGHT = 1 / 16


class ServiceEstimate:
    """Smoothed mean and deviation of a duration.

    Parameters
    ----------
    initial : float
        Seconds to assume before the first sample.
    weight : float
        Weight of a sample in the mean.
    """

    def __init__(self, initial: float, weight: float = MEAN_WEIGHT):
        self._weight = weight
        self._mean = initial
        self._deviation = 0.0
        self._count = 0

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
        self._count += 1
        weight = max(self._weight, 1 / self._count)
        error = duration - self._mean
        self._mean += weight * error
        spread = max(DEVIATION_WEIGHT, 1 / (self._count + 1))
        self._deviation += spread * (abs(error) - self._deviation)
