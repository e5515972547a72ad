"""Limits this proxy's connections to each database, without central coordination.

The total of a database is a hard limit over all proxies. A proxy's seats give it fixed
shares of the totals; connections that it does not use it lends to other proxies for a
bounded time. The sum of all hard limits never exceeds the total, whichever messages are
lost or late and however the proxies' views of the membership differ; see
docs/notes/limits.md for the argument and its one assumption.
"""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from beryltrack.connections.budget_messages import (
    BudgetAction,
    BudgetedDatabase,
    BudgetMessage,
    BudgetPlan,
    DatabaseUse,
    LiveHolders,
    SeatRecord,
    SendToHolder,
    SetLimit,
)
from beryltrack.connections.loan_policy import LoanPolicy
from beryltrack.connections.loans import LoanBook
from beryltrack.connections.seats import SeatBook, SeatPolicy
from beryltrack.connections.shares import compute_share, get_owner_seats

UNSETTLED_PERIOD = 0.25
"""Seconds between two ticks while a seat waits for something."""

NO_USE = DatabaseUse(0, 0, 0)


class BudgetPolicy(NamedTuple):
    """Limits and timeouts of a budget.

    Parameters
    ----------
    loans : LoanPolicy
        Limits and timeouts of loans.
    seats : SeatPolicy
        Timeouts of seats.
    """

    loans: LoanPolicy = LoanPolicy()
    seats: SeatPolicy = SeatPolicy()


class BudgetDecider:
    """Decides how many connections this proxy may open to each database.

    Parameters
    ----------
    holder : str
        This process's identifier; never used by another process.
    plan : BudgetPlan
        The layout of the shares, the same on every proxy.
    read_use : callable
        Returns the use of a database by its key. It must be exact at the moment of the
        call, as open connections must not be lent or returned.
    rng : random.Random
        For choices and jitter.
    policy : BudgetPolicy
        Limits and timeouts.
    """

    def __init__(
        self,
        holder: str,
        plan: BudgetPlan,
        read_use: Callable[[str], DatabaseUse],
        rng: random.Random,
        policy: BudgetPolicy = BudgetPolicy(),  # noqa: B008 (immutable)
    ):
        self._holder = holder
        self._plan = plan
        self._read_use = read_use
        self._policy = policy
        self._seats = SeatBook(holder, plan, policy.seats, rng)
        self._databases: dict[str, BudgetedDatabase] = {}
        self._books: dict[str, LoanBook] = {}
        # Loans of databases that were removed, until they have expired.
        self._retired: dict[str, LoanBook] = {}
        self._reported_limits: dict[str, SetLimit] = {}
        self._active: set[str] = set()
        self._applied_seats: tuple[frozenset[int], frozenset[int]] | None = None

    @property
    def held_seats(self) -> frozenset[int]:
        """Seats that this process holds."""
        return self._seats.held

    @property
    def era(self) -> int:
        """The store's latest era if the held seats are confirmed in it, else 0."""
        return self._seats.era

    @property
    def seat_records(self) -> tuple[SeatRecord, ...]:
        """The latest known records of all seats."""
        return self._seats.records

    @property
    def is_settled(self) -> bool:
        """True if no seat waits to be claimed, freed, released or confirmed."""
        return self._seats.is_settled

    def get_limit(self, key: str, now: float) -> int:
        """Return how many connections to a database new requests may use."""
        return self._books[key].get_limit(now)

    def get_hard_limit(self, key: str, now: float) -> int:
        """Return how many connections to a database may exist."""
        return self._books[key].get_hard_limit(now)

    def get_owners(self, group: str) -> tuple[str, ...]:
        """Return the holders of the seats that own a group, best rank first."""
        return self._seats.get_holders(get_owner_seats(group, self._plan))

    def set_databases(
        self, databases: Iterable[BudgetedDatabase], now: float
    ) -> list[BudgetAction]:
        """Replace the databases and their totals."""
        self._databases = {database.key: database for database in databases}
        known = self._retired | self._books
        self._books = {
            key: known.get(key) or LoanBook(key, self._policy.loans)
            for key in self._databases
        }
        self._retired = {
            key: book
            for key, book in known.items()
            if key not in self._books and book.has_lent(now)
        }
        for book in self._retired.values():
            book.set_own(0, 0)
        self._reported_limits = {
            k: limit for k, limit in self._reported_limits.items() if k in self._books
        }
        self._active &= self._books.keys()
        self._applied_seats = None
        return self._apply_seats(now)

    def observe_seats(
        self, records: Iterable[SeatRecord], is_complete: bool, now: float
    ) -> list[BudgetAction]:
        """Record seats; see `SeatBook.observe_seats`."""
        self._seats.observe_seats(records, is_complete)
        return self._apply_seats(now)

    def observe_live_holders(self, holders: LiveHolders, now: float) -> None:
        """Record which processes are live."""
        self._seats.observe_live_holders(holders, now)

    def leave(self, now: float) -> list[BudgetAction]:
        """Release all seats as the pools close their connections."""
        self._seats.leave()
        return self.tick(now)

    def receive(
        self, sender: str, message: BudgetMessage, now: float
    ) -> list[BudgetAction]:
        """Handle a message of another proxy."""
        book = self._books.get(message.database)
        if book is None:
            return self._receive_retired(sender, message, now)
        use = self._read_use(message.database)
        sent = book.receive(sender, message, use, now)
        self._active.add(message.database)
        return [*self._get_changed_limits([message.database], now), *sent]

    def observe_use(self, key: str, now: float) -> list[BudgetAction]:
        """Update the loans of a database whose use has changed."""
        if key not in self._books:
            return []
        return self._tick_database(key, now)

    def tick(self, now: float) -> list[BudgetAction]:
        """Update the seats, and the loans of all databases that are not idle."""
        self._seats.choose_seat_to_release()
        lowered = self._apply_seats(now)
        writes = self._seats.tick(lambda: self._can_release(now), now)
        released = self._apply_seats(now)
        ticked = [
            action
            for key in sorted(self._active)
            for action in self._tick_database(key, now)
        ]
        return [*lowered, *released, *writes, *ticked]

    def get_wakeup(self, now: float) -> float | None:
        """Return when `tick` is next due, or None if nothing is."""
        times = [self._books[key].get_wakeup(now) for key in self._active]
        if not self._seats.is_settled:
            times.append(now + UNSETTLED_PERIOD)
        return min((time for time in times if time is not None), default=None)

    def _receive_retired(
        self, sender: str, message: BudgetMessage, now: float
    ) -> list[BudgetAction]:
        """Handle a message about a loan of a database that was removed."""
        book = self._retired.get(message.database)
        return [] if book is None else book.receive(sender, message, NO_USE, now)

    def _tick_database(self, key: str, now: float) -> list[BudgetAction]:
        book = self._books[key]
        sent: list[SendToHolder] = book.tick(
            self._get_lenders(key), self._read_use(key), now
        )
        if book.is_idle:
            self._active.discard(key)
        else:
            self._active.add(key)
        return [*self._get_changed_limits([key], now), *sent]

    def _get_lenders(self, key: str) -> tuple[str, ...]:
        owners = self.get_owners(self._databases[key].group)
        return tuple(owner for owner in owners if owner != self._holder)

    def _can_release(self, now: float) -> bool:
        if any(book.has_lent(now) for book in self._retired.values()):
            return False
        return all(
            book.can_shrink(self._read_use(key), now)
            for key, book in self._books.items()
        )

    def _apply_seats(self, now: float) -> list[BudgetAction]:
        """Compute all shares again if the held seats have changed."""
        seats = self._seats.held, self._seats.usable
        if seats == self._applied_seats:
            return []
        self._applied_seats = seats
        held, usable = seats
        for key, database in self._databases.items():
            self._books[key].set_own(
                sum(compute_share(database, seat, self._plan) for seat in held),
                sum(compute_share(database, seat, self._plan) for seat in usable),
            )
        return self._get_changed_limits(self._books, now)

    def _get_changed_limits(
        self, keys: Iterable[str], now: float
    ) -> list[BudgetAction]:
        """Return the limits that have changed since they were last returned."""
        current = [
            SetLimit(key, self.get_limit(key, now), self.get_hard_limit(key, now))
            for key in keys
        ]
        changed = [
            limit
            for limit in current
            if self._reported_limits.get(limit.database) != limit
        ]
        self._reported_limits.update((limit.database, limit) for limit in changed)
        return changed
