"""Retry policy: retry budget and exponential back-off with jitter.

Only a request that provably did not run is retried. Retries draw on a token bucket
that each request fills by a fraction of a token, so that they cannot amplify an
overload. No retry is made that would miss the deadline.
"""

import random
from typing import NamedTuple

from returns.maybe import Maybe, Nothing, Some

MAX_RETRIES_ELSEWHERE = 1
"""Maximum retries of a request that full instances refuse."""


class RetryPolicy(NamedTuple):
    """Parameters of retries.

    Parameters
    ----------
    ratio : float
        Tokens that each request adds to the budget; a retry takes one.
    max_tokens : float
        Size of the bucket.
    initial_tokens : float
        Tokens at the start. Without them a primary lost soon after the start would
        make an instance with few requests refuse them.
    max_attempts : int
        Maximum attempts of one request, including the first.
    first_delay, max_delay : float
        Bounds of the back-off before its jitter, seconds.
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
        Seconds that the refusal asks to wait; 0.0 if it names no time.
    """

    number: int
    is_not_run: bool
    retry_after: float = 0.0


def may_retry_refused(refusals: int, is_at_replica: bool) -> bool:
    """Return whether a request that a full instance refused is retried elsewhere.

    The same database would refuse it again, as its queue has advanced by a statement
    or two only.

    Parameters
    ----------
    refusals : int
        Number of refusals of the request by full instances.
    is_at_replica : bool
        True if the last refusal was for a replica: another database may take it.
    """
    return is_at_replica and refusals <= MAX_RETRIES_ELSEWHERE


class RetryBudget:
    """A token bucket of retries, filled by requests.

    Parameters
    ----------
    policy : RetryPolicy
        Parameters of retries.
    rng : random.Random
        Source of the jitter.
    """

    def __init__(self, policy: RetryPolicy, rng: random.Random):
        self._policy = policy
        self._rng = rng
        self._tokens = policy.initial_tokens

    @property
    def tokens(self) -> float:
        """Present number of tokens."""
        return self._tokens

    def observe_request(self) -> None:
        """Add the share of a new request to the budget."""
        saved = self._tokens + self._policy.ratio
        self._tokens = min(self._policy.max_tokens, saved)

    def draw(self) -> bool:
        """Take a token for one more attempt; return False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def choose_retry(
        self, attempt: FailedAttempt, deadline: float, needed: float, now: float
    ) -> Maybe[float]:
        """Decide whether to retry after a failed attempt.

        Parameters
        ----------
        attempt : FailedAttempt
            The failed attempt.
        deadline : float
            Time by which the request must be done, seconds.
        needed : float
            Seconds that a new attempt is expected to take.
        now : float
            The current time, seconds.

        Returns
        -------
        Maybe of float
            Seconds to wait before the next attempt, whose token has been taken;
            Nothing if the failure is the answer.
        """
        if not attempt.is_not_run or attempt.number >= self._policy.max_attempts:
            return Nothing
        delay = max(attempt.retry_after, self._compute_delay(attempt.number))
        if now + delay + needed > deadline or not self.draw():
            return Nothing
        return Some(delay)

    def _compute_delay(self, attempt: int) -> float:
        """Return a random delay between half and all of the doubled back-off."""
        doubled = self._policy.first_delay * 2 ** (attempt - 1)
        return min(doubled, self._policy.max_delay) * self._rng.uniform(0.5, 1.0)
