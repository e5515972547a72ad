"""The connections of one pool: which are open, and whose they are.

A connection belongs to one account from its start on, as the database was told then.
Where there are no accounts all belong to the same one, the empty name.
"""

from collections import Counter
from itertools import count


class ConnectionStock:
    """Connections by number, each in one state.

    `opening`, `idle` and `in_use` map numbers to the time since which a connection is
    in that state, the one that is so for longest first; `closing` holds numbers.
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
        """Connections that the target has taken, closing ones included."""
        return self.open_count - len(self.opening)

    def get_account(self, number: int) -> str:
        """Return whose a connection is."""
        return self._accounts[number]

    def begin(self, account: str, now: float) -> int:
        """Return the number of a connection that is opened from now on."""
        number = next(self._numbers)
        self._accounts[number] = account
        self.opening[number] = now
        return number

    def find_idle(self, account: str) -> int | None:
        """Return an account's connection that came back last, None if none is idle."""
        mine = (n for n in reversed(self.idle) if self._accounts[n] == account)
        return next(mine, None)

    def count_by_account(self) -> Counter[str]:
        """Return how many connections of each account are open or being opened."""
        live = (*self.opening, *self.idle, *self.in_use)
        return Counter(self._accounts[number] for number in live)

    def count_in_use(self, account: str) -> int:
        """Return how many connections of an account are lent."""
        return sum(1 for number in self.in_use if self._accounts[number] == account)

    def count_in_use_by_account(self) -> Counter[str]:
        """Return how many connections of each account are lent."""
        return Counter(self._accounts[number] for number in self.in_use)

    def close(self, number: int) -> None:
        """Note that a connection is being closed."""
        self.idle.pop(number, None)
        self.in_use.pop(number, None)
        self.closing.add(number)

    def forget(self, number: int) -> None:
        """Note that a connection is gone."""
        self.closing.discard(number)
        self.idle.pop(number, None)
        self.in_use.pop(number, None)
        self._accounts.pop(number, None)

    def fail(self, number: int) -> float:
        """Note that a connection was not opened; return when that was begun."""
        self._accounts.pop(number, None)
        return self.opening.pop(number)
