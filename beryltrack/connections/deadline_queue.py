"""Requests that wait for a connection, in the order of their deadlines."""

from collections.abc import Iterator
from typing import NamedTuple

from sortedcontainers import SortedSet


class QueuedWaiter(NamedTuple):
    """A queued request; sorts by earliest deadline, then by number.

    Parameters
    ----------
    deadline : float
        Time by which the request must be done, seconds.
    waiter : int
        Number of the request.
    """

    deadline: float
    waiter: int


def _get_number(queued: QueuedWaiter) -> int:
    return queued.waiter


class DeadlineQueue:
    """A priority queue from which any waiter can be removed.

    Parameters
    ----------
    by_deadline : bool
        False to order the waiters by their numbers, that is, by arrival.
    """

    def __init__(self, by_deadline: bool = True):
        self._queue: SortedSet = SortedSet(key=None if by_deadline else _get_number)
        self._deadlines: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._deadlines)

    def __iter__(self) -> Iterator[QueuedWaiter]:
        return iter(self._queue)

    @property
    def first(self) -> QueuedWaiter:
        """The waiter at the head; the queue must not be empty."""
        return self._queue[0]

    def find_position(self, waiter: QueuedWaiter) -> int:
        """Return how many waiters are before this one, or would be."""
        return self._queue.bisect_left(waiter)

    def add(self, waiter: QueuedWaiter) -> None:
        """Add a waiter."""
        self._queue.add(waiter)
        self._deadlines[waiter.waiter] = waiter.deadline

    def remove(self, number: int) -> None:
        """Remove a waiter by its number; an unknown one is ignored."""
        deadline = self._deadlines.pop(number, None)
        if deadline is not None:
            self._queue.remove(QueuedWaiter(deadline, number))
