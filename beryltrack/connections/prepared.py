"""The prepared statements of one connection to a target."""

from collections import OrderedDict
from itertools import islice

MAX_PREPARED = 256
"""Statements that stay prepared on one connection; the oldest beyond it are closed."""


class PreparedStatements:
    """Names of the prepared statements on one connection, least recently used first.

    Parameters
    ----------
    limit : int
        Names to keep; `get_excess` returns those to close beyond it.
    """

    def __init__(self, limit: int = MAX_PREPARED):
        self._names: OrderedDict[str, None] = OrderedDict()
        self._stale: set[str] = set()
        self._limit = limit

    def __contains__(self, name: str) -> bool:
        return name in self._names and name not in self._stale

    def __len__(self) -> int:
        return len(self._names)

    def touch(self, name: str) -> None:
        """Record that the statement exists and was used now."""
        self._names[name] = None
        self._names.move_to_end(name)
        self._stale.discard(name)

    def remove(self, name: str) -> None:
        """Record that the statement no longer exists."""
        self._names.pop(name, None)
        self._stale.discard(name)

    def clear(self) -> None:
        """Record that no statement exists any more."""
        self._names.clear()
        self._stale.clear()

    def expire(self) -> None:
        """Mark all statements as stale: each is prepared again before its next use."""
        self._stale.update(self._names)

    def is_stale(self, name: str) -> bool:
        """Return whether the statement exists but must be prepared again."""
        return name in self._stale

    def get_excess(self, new_count: int) -> tuple[str, ...]:
        """Return the oldest names to close before `new_count` more are prepared."""
        excess = max(0, len(self._names) + new_count - self._limit)
        return tuple(islice(self._names, excess))
