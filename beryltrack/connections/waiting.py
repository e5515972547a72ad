"""The requests that wait in a pool, and whose connection each of them wants."""

from collections import Counter
from collections.abc import Collection, Iterator

from beryltrack.connections.deadline_queue import DeadlineQueue, QueuedWaiter
from beryltrack.connections.stock import ConnectionStock


class WaitingRequests:
    """Requests in the order of their turn, with their accounts.

    Parameters
    ----------
    by_deadline : bool
        False if they stand in the order in which they came.
    """

    def __init__(self, by_deadline: bool = True):
        self._queue = DeadlineQueue(by_deadline)
        self._since: dict[int, float] = {}
        self._accounts: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def __iter__(self) -> Iterator[QueuedWaiter]:
        return iter(self._queue)

    @property
    def times(self) -> Collection[float]:
        """Since when each request waits, the first that came first."""
        return self._since.values()

    def find_place(self, queued: QueuedWaiter) -> int:
        """Return how many requests are before this one, or would be."""
        return self._queue.find_place(queued)

    def add(self, queued: QueuedWaiter, account: str, now: float) -> None:
        """Have a request wait for an account's connection."""
        self._queue.add(queued)
        self._since[queued.waiter] = now
        self._accounts[queued.waiter] = account

    def remove(self, waiter: int) -> None:
        """Take a request out; an unknown one changes nothing."""
        self._queue.remove(waiter)
        self._since.pop(waiter, None)
        self._accounts.pop(waiter, None)

    def find_first(self, account: str) -> QueuedWaiter | None:
        """Return the first request of an account."""
        mine = (each for each in self._queue if self._is_for(each, account))
        return next(mine, None)

    def list_wanted(self, stock: ConnectionStock, latest: float) -> list[str]:
        """Return whose connections to open besides those on the way.

        A connection that is in use comes back soon, mostly. One that is opened for
        each request that finds none free takes a slot of the database for 12 to 30
        ms, and counts against its limit for 3 s after its instance has lost power.

        Parameters
        ----------
        stock : ConnectionStock
            The connections of the pool.
        latest : float
            Requests that came later wait for a connection of their account, if any.
        """
        if not self._since:
            return []
        live = stock.count_by_account()
        on_the_way = Counter(map(stock.get_account, stock.opening))
        wanted: list[str] = []
        for waiter, since in self._since.items():
            account = self._accounts[waiter]
            if on_the_way[account]:
                on_the_way[account] -= 1
            elif since <= latest or not live[account]:
                wanted.append(account)
        return wanted

    def find_poorer(
        self, account: str, stock: ConnectionStock, latest: float
    ) -> str | None:
        """Return who is to have the connection that an account gives back, if another.

        While an account's requests follow each other its connections never rest. So
        one goes to an account whose request has waited since before `latest`, if that
        holds fewer, or none and its turn comes before.
        """
        late = [
            each
            for each in self._queue
            if self._since[each.waiter] <= latest and not self._is_for(each, account)
        ]
        if len(late) <= len(stock.closing):
            return None
        first = self.find_first(account)
        held = stock.count_in_use(account)
        live = stock.count_by_account()
        others = (
            self._accounts[each.waiter]
            for each in late
            if live[self._accounts[each.waiter]] < held
            or (
                not live[self._accounts[each.waiter]]
                and (first is None or each.deadline < first.deadline)
            )
        )
        return next(others, None)

    def _is_for(self, queued: QueuedWaiter, account: str) -> bool:
        """Return whether a request wants a connection of an account."""
        return self._accounts[queued.waiter] == account
