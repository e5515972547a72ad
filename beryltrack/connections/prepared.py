"""The statements that are prepared on one connection to a target."""

from collections import OrderedDict
from itertools import islice

# Statements kept prepared on one connection; the oldest are closed beyond it.
MAX_PREPARED = 256


class PreparedNames:
    """Names of the statements that exist on one connection, oldest use first.

    Parameters
    ----------
    limit : int
        Names to keep; `get_excess` tells which to close beyond it.
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
        """Note that the statement exists and was used just now."""
        self._names[name] = None
        self._names.move_to_end(name)
        self._stale.discard(name)

    def remove(self, name: str) -> None:
        """Note that the statement does not exist any more."""
        self._names.pop(name, None)
        self._stale.discard(name)

    def clear(self) -> None:
        """Note that no statement exists any more."""
        self._names.clear()
        self._stale.clear()

    def expire(self) -> None:
        """Have each statement closed and prepared anew before its next use."""
        self._stale.update(self._names)

    def is_stale(self, name: str) -> bool:
        """Return whether the statement exists but must be prepared anew."""
        return name in self._stale

    def get_excess(self, coming: int) -> tuple[str, ...]:
        """Return the oldest names to close before `coming` more are prepared."""
        excess = max(0, len(self._names) + coming - self._limit)
        return tuple(islice(self._names, excess))
