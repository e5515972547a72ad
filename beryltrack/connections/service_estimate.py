"""Moving averages of how long requests hold a connection and how long openings take.

Mean and mean deviation as in RFC 6298, with smaller weights: the hold times of single
statements and of transactions differ tenfold, and a mean that followed each of them
would make the length of the queue oscillate. The first samples weigh more, so that a
new pool's estimate is useful after about ten requests.
"""

MEAN_WEIGHT = 1 / 32
"""Weight of a sample in the mean."""

DEVIATION_WEIGHT = 1 / 16
"""Weight of a sample in the mean deviation."""


class ServiceEstimate:
    """Moving averages of a duration and of its deviation.

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
        """The moving average, seconds."""
        return self._mean

    @property
    def deviation(self) -> float:
        """The moving average of the deviation, seconds."""
        return self._deviation

    def observe(self, duration: float) -> None:
        """Record one duration, seconds."""
        self._count += 1
        weight = max(self._weight, 1 / self._count)
        error = duration - self._mean
        self._mean += weight * error
        spread = max(DEVIATION_WEIGHT, 1 / (self._count + 1))
        self._deviation += spread * (abs(error) - self._deviation)
