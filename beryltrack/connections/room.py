"""How many connections a target has room for, as its refusals tell.

A pool's limit is its share of what a target takes. After a loss of power a target still
counts the connections of before for seconds, and takes fewer.
"""

import random

FULL_TIME = 0.3
"""Most seconds for which a target that refused a connection is taken to have room for
no more than are open. An attempt in vain costs it no slot, and finds room seldom."""

DOUBT_TIME = 1.0
"""Seconds after that in which one connection is opened at a time."""


class TargetRoom:
    """What one pool knows of its target's room.

    Parameters
    ----------
    rng : random.Random
        For the jitter: other instances ask the same target.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._count: int | None = None
        self._until = 0.0

    def is_in_doubt(self, now: float) -> bool:
        """Return whether the target was full of late, and has not shown more room."""
        return self._count is not None and now < self._until + DOUBT_TIME

    def get_most(self, limit: int, now: float) -> int:
        """Return how many connections may be open, of `limit` at the most."""
        if self._count is None or now >= self._until:
            return limit
        return min(limit, self._count)

    def observe_full(self, count: int, now: float) -> None:
        """Take in that the target refused one more than `count` connections."""
        self._count = max(1, count)
        self._until = now + FULL_TIME * self._rng.uniform(0.5, 1.0)

    def observe_opened(self, count: int) -> None:
        """Take in that the target has taken a connection, `count` being open now."""
        if self._count is not None and count > self._count:
            self._count = None
