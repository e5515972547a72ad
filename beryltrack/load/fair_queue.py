"""Turns among accounts: who asks for much waits behind its own.

Start-time fair queueing: each account has a tag that goes up by one with each turn, and
the one with the lowest tag is next. One that comes back is given the tag of the account
whose turn it was last, so that it cannot save turns up; one that just had many turns
keeps its tag until the others have had as many, or nobody waits.
"""

from bisect import bisect_left, insort
from heapq import heappop, heappush


class FairQueue:
    """Operations that wait, served by turns among accounts, the earliest aim first.

    All steps take a time that grows with the logarithm of what waits.
    """

    def __init__(self):
        # Each line is in falling order, so that its first one is taken from the end.
        self._lines: dict[str, list[tuple[float, int]]] = {}
        self._order: list[tuple[float, str]] = []
        self._in_order: set[str] = set()
        self._tags: dict[str, float] = {}
        self._rested: list[tuple[float, str]] = []
        self._now = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, account: str, aim: float, number: int) -> None:
        """Add an operation that its caller wants done by the time `aim`."""
        insort(self._lines.setdefault(account, []), (-aim, -number))
        self._count += 1
        if account not in self._in_order:
            self._in_order.add(account)
            tag = max(self._now, self._tags.pop(account, 0.0))
            heappush(self._order, (tag, account))

    def remove(self, account: str, aim: float, number: int) -> None:
        """Take an operation out; it must wait here."""
        line = self._lines[account]
        del line[bisect_left(line, (-aim, -number))]
        self._note_taken(account)

    def pop(self) -> int:
        """Take out the operation whose turn it is, and return its number."""
        tag, account = heappop(self._order)
        while account not in self._lines:
            # Its operations have left meanwhile.
            self._in_order.discard(account)
            tag, account = heappop(self._order)
        self._now = tag
        number = -self._lines[account].pop()[1]
        self._note_taken(account)
        if account in self._lines:
            heappush(self._order, (tag + 1.0, account))
        elif self._count:
            self._rest(account, tag + 1.0)
        return number

    def get_last(self, account: str) -> int | None:
        """Return the number of an account's last operation, None if none waits."""
        line = self._lines.get(account)
        return -line[0][1] if line else None

    def count_ahead(self, account: str) -> int:
        """Return how many turns come before a further operation of an account."""
        accounts = len(self._lines) + (account not in self._lines)
        own = len(self._lines.get(account, ()))
        return min(self._count, (own + 1) * accounts - 1)

    def _note_taken(self, account: str) -> None:
        """Count an operation that has left the line of an account."""
        self._count -= 1
        if not self._lines[account]:
            del self._lines[account]
        if not self._count:
            self._forget()

    def _forget(self) -> None:
        """Begin anew: where nobody waits nobody has had more than others."""
        self._order.clear()
        self._in_order.clear()
        self._tags.clear()
        self._rested.clear()
        self._now = 0.0

    def _rest(self, account: str, tag: float) -> None:
        """Keep the tag of an account of which nothing waits, as long as it matters."""
        self._in_order.discard(account)
        self._tags[account] = tag
        heappush(self._rested, (tag, account))
        while self._rested and self._rested[0][0] <= self._now:
            old, name = heappop(self._rested)
            if self._tags.get(name) == old:
                del self._tags[name]
