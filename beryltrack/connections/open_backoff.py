"""When a pool may try again to open a connection after a failure."""

import random

from beryltrack.connections.pool_policy import PoolPolicy

NEVER = float("-inf")
"""A time, in seconds, before all others."""


class OpenBackoff:
    """Exponential back-off with jitter.

    Parameters
    ----------
    policy : PoolPolicy
        The bounds of the wait.
    rng : random.Random
        For the jitter.
    """

    def __init__(self, policy: PoolPolicy, rng: random.Random):
        self._policy = policy
        self._rng = rng
        self._failures = 0
        self._failed_at = NEVER
        self._open_after = NEVER

    @property
    def has_failed(self) -> bool:
        """True if the last attempt failed."""
        return self._failures > 0

    @property
    def open_after(self) -> float:
        """Time from which the next attempt may begin, seconds."""
        return self._open_after

    def observe_failure(self, started: float, now: float) -> None:
        """Record the failure of an attempt that began at `started`.

        Of several attempts that run at the same time, only the first failure counts.
        """
        if started >= self._failed_at:
            self._failures += 1
            self._failed_at = now
            self._open_after = now + self._compute_wait()

    def reset(self) -> None:
        """End the back-off, as the target answers."""
        self._failures = 0
        self._open_after = NEVER

    def _compute_wait(self) -> float:
        doubled = self._policy.first_backoff * 2 ** min(self._failures - 1, 16)
        return min(doubled, self._policy.max_backoff) * self._rng.uniform(0.5, 1.0)
