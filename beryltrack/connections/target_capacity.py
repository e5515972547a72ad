"""Estimates how many connections a target accepts, from its refusals.

A pool's limit is its share of the target's connection limit. After an instance has lost
power, the target still counts its former connections for seconds and accepts fewer.
"""

import random

FULL_PERIOD = 0.3
"""Maximum seconds after a refusal for which no more connections are opened than the
target has accepted. A refused attempt costs it no slot, but seldom finds free
capacity."""

PROBE_PERIOD = 1.0
"""Seconds after that in which one connection is opened at a time."""


class TargetCapacity:
    """One pool's estimate of its target's capacity.

    Parameters
    ----------
    rng : random.Random
        For the jitter, as other instances connect to the same target.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._count: int | None = None
        self._until = 0.0

    def is_probing(self, now: float) -> bool:
        """Return whether the target was full recently and accepted no more since."""
        return self._count is not None and now < self._until + PROBE_PERIOD

    def get_max_open(self, limit: int, now: float) -> int:
        """Return how many connections may be open, at most `limit`."""
        if self._count is None or now >= self._until:
            return limit
        return min(limit, self._count)

    def observe_full(self, count: int, now: float) -> None:
        """Record that the target refused a connection beyond `count` open ones."""
        self._count = max(1, count)
        self._until = now + FULL_PERIOD * self._rng.uniform(0.5, 1.0)

    def observe_opened(self, count: int) -> None:
        """Record that the target accepted a connection; `count` are open now."""
        if self._count is not None and count > self._count:
            self._count = None
