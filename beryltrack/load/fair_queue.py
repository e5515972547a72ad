"""Round robin among accounts, by start-time fair queueing.

Each account has a tag that rises by one with each of its operations that starts; the
account with the lowest tag is next. An account that returns gets at least the tag of
the account served last, so that it cannot save up turns. An account that was just
served often keeps its higher tag until the others have caught up or the queue is empty.
"""

from bisect import bisect_left, insort
from heapq import heappop, heappush


class FairQueue:
    """Waiting operations: round robin by account, then the earliest latency deadline.

    Each step takes time that grows with the logarithm of the number of operations.
    """

    def __init__(self):
        # Each list is in falling order, so that its first operation is taken from the
        # end.
        self._by_account: dict[str, list[tuple[float, int]]] = {}
        self._order: list[tuple[float, str]] = []
        self._in_order: set[str] = set()
        self._tags: dict[str, float] = {}
        self._idle: list[tuple[float, str]] = []
        self._served_tag = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, account: str, latency_deadline: float, number: int) -> None:
        """Add an operation, with its latency deadline in seconds."""
        insort(self._by_account.setdefault(account, []), (-latency_deadline, -number))
        self._count += 1
        if account not in self._in_order:
            self._in_order.add(account)
            tag = max(self._served_tag, self._tags.pop(account, 0.0))
            heappush(self._order, (tag, account))

    def remove(self, account: str, latency_deadline: float, number: int) -> None:
        """Remove an operation, which must be in the queue."""
        operations = self._by_account[account]
        del operations[bisect_left(operations, (-latency_deadline, -number))]
        self._count_removed(account)

    def pop(self) -> int:
        """Remove the next operation, and return its number."""
        tag, account = heappop(self._order)
        while account not in self._by_account:
            # Its operations have been removed since.
            self._in_order.discard(account)
            tag, account = heappop(self._order)
        self._served_tag = tag
        number = -self._by_account[account].pop()[1]
        self._count_removed(account)
        if account in self._by_account:
            heappush(self._order, (tag + 1.0, account))
        elif self._count:
            self._retain_tag(account, tag + 1.0)
        return number

    def get_last(self, account: str) -> int | None:
        """Return the number of an account's last operation, None if it has none."""
        operations = self._by_account.get(account)
        return -operations[0][1] if operations else None

    def count_ahead(self, account: str) -> int:
        """Return how many operations start before a further one of an account."""
        accounts = len(self._by_account) + (account not in self._by_account)
        own = len(self._by_account.get(account, ()))
        return min(self._count, (own + 1) * accounts - 1)

    def _count_removed(self, account: str) -> None:
        """Count an operation that has been removed from its account's list."""
        self._count -= 1
        if not self._by_account[account]:
            del self._by_account[account]
        if not self._count:
            self._reset()

    def _reset(self) -> None:
        """Drop all tags: in an empty queue no account is ahead of others."""
        self._order.clear()
        self._in_order.clear()
        self._tags.clear()
        self._idle.clear()
        self._served_tag = 0.0

    def _retain_tag(self, account: str, tag: float) -> None:
        """Retain the tag of an account without operations until it has no effect."""
        self._in_order.discard(account)
        self._tags[account] = tag
        heappush(self._idle, (tag, account))
        while self._idle and self._idle[0][0] <= self._served_tag:
            old, name = heappop(self._idle)
            if self._tags.get(name) == old:
                del self._tags[name]
