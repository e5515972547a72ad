"""The connections of one pool, with their states and accounts.

A connection belongs to the account for which it was opened, as its log-on names the
account. Without accounts all connections belong to the empty name.
"""

from collections import Counter
from itertools import count


class ConnectionTable:
    """Connections by number, each in one state.

    `opening`, `idle` and `in_use` map numbers to the time at which a connection entered
    that state, oldest first; `closing` holds numbers.
    """

    def __init__(self):
        self.opening: dict[int, float] = {}
        self.idle: dict[int, float] = {}
        self.in_use: dict[int, float] = {}
        self.closing: set[int] = set()
        self._numbers = count(1)
        self._accounts: dict[int, str] = {}

    @property
    def live_count(self) -> int:
        """Connections that are open or being opened."""
        return len(self.opening) + len(self.idle) + len(self.in_use)

    @property
    def open_count(self) -> int:
        """Connections that the target may count, closing ones included."""
        return self.live_count + len(self.closing)

    @property
    def established_count(self) -> int:
        """Connections that the target has accepted, closing ones included."""
        return self.open_count - len(self.opening)

    def get_account(self, number: int) -> str:
        """Return the account to which a connection belongs."""
        return self._accounts[number]

    def begin_opening(self, account: str, now: float) -> int:
        """Add a connection that is being opened and return its number."""
        number = next(self._numbers)
        self._accounts[number] = account
        self.opening[number] = now
        return number

    def find_idle(self, account: str) -> int | None:
        """Return an account's most recently used idle connection, None without one."""
        own = (n for n in reversed(self.idle) if self._accounts[n] == account)
        return next(own, None)

    def count_by_account(self) -> Counter[str]:
        """Return how many connections of each account are open or being opened."""
        live = (*self.opening, *self.idle, *self.in_use)
        return Counter(self._accounts[number] for number in live)

    def count_in_use(self, account: str) -> int:
        """Return how many connections of an account are in use."""
        return sum(1 for number in self.in_use if self._accounts[number] == account)

    def count_in_use_by_account(self) -> Counter[str]:
        """Return how many connections of each account are in use."""
        return Counter(self._accounts[number] for number in self.in_use)

    def begin_closing(self, number: int) -> None:
        """Record that a connection is being closed."""
        self.idle.pop(number, None)
        self.in_use.pop(number, None)
        self.closing.add(number)

    def remove(self, number: int) -> None:
        """Remove a connection that has ended."""
        self.closing.discard(number)
        self.idle.pop(number, None)
        self.in_use.pop(number, None)
        self._accounts.pop(number, None)

    def remove_failed(self, number: int) -> float:
        """Remove a connection that could not be opened; return when that began."""
        self._accounts.pop(number, None)
        return self.opening.pop(number)
