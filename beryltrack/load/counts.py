"""How many operations of each account wait, and which account has the most."""


class AccountCounts:
    """Counts by account that go up and down by one, each in constant time."""

    def __init__(self):
        self._counts: dict[str, int] = {}
        # Accounts by their count, each a dict as an ordered set.
        self._by_count: list[dict[str, None]] = [{}]
        self._most = 0

    def get(self, account: str) -> int:
        """Return the count of an account."""
        return self._counts.get(account, 0)

    def get_longest(self) -> tuple[str, int]:
        """Return an account with the most, and how many it has."""
        return next(iter(self._by_count[self._most])), self._most

    def add(self, account: str) -> None:
        """Count one more of an account."""
        count = self._counts.get(account, 0) + 1
        self._counts[account] = count
        if count == len(self._by_count):
            self._by_count.append({})
        self._by_count[count - 1].pop(account, None)
        self._by_count[count][account] = None
        if count > self._most:
            self._most = count

    def remove(self, account: str) -> None:
        """Count one less of an account."""
        count = self._counts.pop(account)
        del self._by_count[count][account]
        if count > 1:
            self._counts[account] = count - 1
            self._by_count[count - 1][account] = None
        if not self._by_count[self._most]:
            # Nobody had more, and this account now has one less.
            self._by_count.pop()
            self._most -= 1
        if not self._by_count:
            self._by_count.append({})
