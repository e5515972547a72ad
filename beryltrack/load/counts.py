"""Counts of waiting operations by account, with the largest at hand."""


class AccountCounts:
    """Counts by account that change by one, each change in constant time."""

    def __init__(self):
        self._counts: dict[str, int] = {}
        # Index: the accounts that have this count; a dict serves as an ordered set.
        self._by_count: list[dict[str, None]] = [{}]
        self._max = 0

    def get(self, account: str) -> int:
        """Return the count of an account."""
        return self._counts.get(account, 0)

    def get_largest(self) -> tuple[str, int]:
        """Return an account with the largest count, and that count."""
        return next(iter(self._by_count[self._max])), self._max

    def add(self, account: str) -> None:
        """Increment the count of an account."""
        count = self._counts.get(account, 0) + 1
        self._counts[account] = count
        if count == len(self._by_count):
            self._by_count.append({})
        self._by_count[count - 1].pop(account, None)
        self._by_count[count][account] = None
        if count > self._max:
            self._max = count

    def remove(self, account: str) -> None:
        """Decrement the count of an account, which must not be zero."""
        count = self._counts.pop(account)
        del self._by_count[count][account]
        if count > 1:
            self._counts[account] = count - 1
            self._by_count[count - 1][account] = None
        if not self._by_count[self._max]:
            # No other account had the largest count, and this one's is now one less.
            self._by_count.pop()
            self._max -= 1
        if not self._by_count:
            self._by_count.append({})
