"""The requests that wait in a pool, and the account of each."""

from collections import Counter
from collections.abc import Collection, Iterator

from beryltrack.connections.connection_table import ConnectionTable
from beryltrack.connections.deadline_queue import DeadlineQueue, QueuedWaiter


class WaitingRequests:
    """Waiting requests in the order in which they are served, with their accounts.

    Parameters
    ----------
    by_deadline : bool
        False to serve them in the order of their arrival.
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
    def arrival_times(self) -> Collection[float]:
        """Arrival times of the waiting requests, oldest first."""
        return self._since.values()

    def find_position(self, queued: QueuedWaiter) -> int:
        """Return how many requests are before this one, or would be."""
        return self._queue.find_position(queued)

    def add(self, queued: QueuedWaiter, account: str, now: float) -> None:
        """Add a request that needs a connection of an account."""
        self._queue.add(queued)
        self._since[queued.waiter] = now
        self._accounts[queued.waiter] = account

    def remove(self, waiter: int) -> None:
        """Remove a request; an unknown one is ignored."""
        self._queue.remove(waiter)
        self._since.pop(waiter, None)
        self._accounts.pop(waiter, None)

    def find_first(self, account: str) -> QueuedWaiter | None:
        """Return the first request of an account."""
        own = (each for each in self._queue if self._belongs_to(each, account))
        return next(own, None)

    def list_accounts_to_open(
        self, table: ConnectionTable, arrived_by: float
    ) -> list[str]:
        """Return the accounts to open connections for, beside those being opened.

        A connection in use is mostly released soon, so a request waits for it first.
        Opening another one occupies a slot of the database for 12 to 30 ms, and it
        counts against the database's limit for 3 s after its instance has lost power.

        Parameters
        ----------
        table : ConnectionTable
            The connections of the pool.
        arrived_by : float
            Requests that arrived later wait for a connection of their account, if it
            has any.
        """
        if not self._since:
            return []
        live = table.count_by_account()
        being_opened = Counter(map(table.get_account, table.opening))
        wanted: list[str] = []
        for waiter, since in self._since.items():
            account = self._accounts[waiter]
            if being_opened[account]:
                being_opened[account] -= 1
            elif since <= arrived_by or not live[account]:
                wanted.append(account)
        return wanted

    def find_preferred_account(
        self, account: str, table: ConnectionTable, arrived_by: float
    ) -> str | None:
        """Return the account to which an account should cede a released connection.

        The connections of an account with constant demand are never idle. So one is
        ceded to an account with a request that arrived by `arrived_by`, if that account
        has fewer connections, or has none and its deadline is earlier.

        Returns
        -------
        str or None
            The other account; None if `account` keeps the connection.
        """
        long_waiting = [
            each
            for each in self._queue
            if self._since[each.waiter] <= arrived_by
            and not self._belongs_to(each, account)
        ]
        if len(long_waiting) <= len(table.closing):
            return None
        first = self.find_first(account)
        held = table.count_in_use(account)
        live = table.count_by_account()
        others = (
            self._accounts[each.waiter]
            for each in long_waiting
            if live[self._accounts[each.waiter]] < held
            or (
                not live[self._accounts[each.waiter]]
                and (first is None or each.deadline < first.deadline)
            )
        )
        return next(others, None)

    def _belongs_to(self, queued: QueuedWaiter, account: str) -> bool:
        """Return whether a request wants a connection of an account."""
        return self._accounts[queued.waiter] == account
