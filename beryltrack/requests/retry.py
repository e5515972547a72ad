"""When a proxy repeats a request by itself.

Only what provably did not run is repeated. Retries draw on a budget that is a
fraction of the requests, so that they cannot multiply an overload; each waits
a jittered time that doubles, and none is tried that would miss the deadline.
"""

import random
from typing import NamedTuple

from returns.maybe import Maybe, Nothing, Some

MAX_RETRIES_ELSEWHERE = 1
"""Repeats of a request that instances refuse which are full."""


class RetryPolicy(NamedTuple):
    """The figures that steer retries.

    Parameters
    ----------
    ratio : float
        Retries that each request adds to the budget.
    max_tokens : float
        Most retries that the budget holds.
    initial_tokens : float
        Retries that the budget starts with, so that a primary that is lost
        soon after the start does not refuse the few requests of a quiet site.
    max_attempts : int
        Most attempts of one request, the first one included.
    first_delay, max_delay : float
        Bounds of the back-off, seconds.
    """

    ratio: float = 0.1
    max_tokens: float = 20.0
    initial_tokens: float = 0.0
    max_attempts: int = 4
    first_delay: float = 0.02
    max_delay: float = 1.0


class FailedAttempt(NamedTuple):
    """An attempt that failed.

    Parameters
    ----------
    number : int
        1 for the first attempt.
    is_not_run : bool
        True if it provably did not run.
    retry_after : float
        Seconds that the refusal asks to wait; 0.0 if it says nothing.
    """

    number: int
    is_not_run: bool
    retry_after: float = 0.0


def may_retry_refused(refusals: int, is_at_replica: bool) -> bool:
    """Return whether what a full instance refused is run again, at another database.

    The same one would refuse it again, as its queue has moved on by a statement or two.

    Parameters
    ----------
    refusals : int
        How often full instances have refused the request.
    is_at_replica : bool
        True if the last one did so for a replica: another database may take it.
    """
    return is_at_replica and refusals <= MAX_RETRIES_ELSEWHERE


class RetryBudget:
    """A token bucket of retries, filled by requests.

    Parameters
    ----------
    policy : RetryPolicy
        The figures that steer it.
    rng : random.Random
        For the jitter.
    """

    def __init__(self, policy: RetryPolicy, rng: random.Random):
        self._policy = policy
        self._rng = rng
        self._tokens = policy.initial_tokens

    @property
    def tokens(self) -> float:
        """Retries that may be made now."""
        return self._tokens

    def observe_request(self) -> None:
        """Take in a new request of a caller."""
        saved = self._tokens + self._policy.ratio
        self._tokens = min(self._policy.max_tokens, saved)

    def draw(self) -> bool:
        """Return whether one more way is tried at once; it has drawn on the budget."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def choose_retry(
        self, attempt: FailedAttempt, deadline: float, needed: float, now: float
    ) -> Maybe[float]:
        """Decide whether a failed attempt is repeated.

        Parameters
        ----------
        attempt : FailedAttempt
            What failed.
        deadline : float
            Time by which the request must be done, seconds.
        needed : float
            Seconds that a new attempt is expected to take.
        now : float
            The current time, seconds.

        Returns
        -------
        Maybe of float
            Seconds to wait before the next attempt; Nothing if the failure is
            the answer. A retry that is chosen has drawn on the budget.
        """
        if not attempt.is_not_run or attempt.number >= self._policy.max_attempts:
            return Nothing
        delay = max(attempt.retry_after, self._compute_delay(attempt.number))
        if now + delay + needed > deadline or not self.draw():
            return Nothing
        return Some(delay)

    def _compute_delay(self, attempt: int) -> float:
        """Return a delay between half and all of a time that doubles."""
        doubled = self._policy.first_delay * 2 ** (attempt - 1)
        return min(doubled, self._policy.max_delay) * self._rng.uniform(0.5, 1.0)
