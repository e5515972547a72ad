"""Exponential back-off between attempts, with jitter.

Many proxies lose the platform at the same moment. Without jitter they would
all retry at the same moment too.
"""

import random

FIRST_DELAY = 0.1
"""Upper bound of the first delay, seconds."""

MAX_DELAY = 10.0
"""Upper bound of all delays, seconds."""

MAX_DOUBLINGS = 16
"""Doublings of the first delay, bounded so that the power stays small."""


def compute_delay(
    attempt: int,
    rng: random.Random,
    first_delay: float = FIRST_DELAY,
    max_delay: float = MAX_DELAY,
) -> float:
    """Return how long to wait before the next attempt.

    Parameters
    ----------
    attempt : int
        How many attempts have failed so far, at least one.
    rng : random.Random
        Source of the jitter.
    first_delay : float
        Upper bound of the first delay, seconds.
    max_delay : float
        Upper bound of all delays, seconds.

    Returns
    -------
    float
        A delay between half of the bound and the bound, seconds.
    """
    doublings = min(max(attempt - 1, 0), MAX_DOUBLINGS)
    bound = min(max_delay, first_delay * 2**doublings)
    return rng.uniform(bound / 2, bound)
