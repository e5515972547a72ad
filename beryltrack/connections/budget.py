"""How many connections this proxy may have at each database.

The total of a database is a hard limit over all proxies. A proxy's seats give
it shares that need no coordination; what it does not use it lends to others
for a time. The sum of all rights never exceeds the total, whatever messages
are lost or late and however the proxies' views of each other differ; see
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
NO_USE = DatabaseUse(0, 0, 0)


class BudgetPolicy(NamedTuple):
    """The figures that steer a budget.

    Parameters
    ----------
    loans : LoanPolicy
        Of the loans.
    seats : SeatPolicy
        Of the seats.
    """

    loans: LoanPolicy = LoanPolicy()
    seats: SeatPolicy = SeatPolicy()


class BudgetDecider:
    """Decides how many connections this proxy may open at each database.

    Parameters
    ----------
    holder : str
        This process's identifier; never used by another process.
    plan : BudgetPlan
        The layout of the shares, the same on every proxy.
    read_use : callable
        Gives the present use of a database by its key. It must be true at the
        moment of the call: what is open is never given away.
    rng : random.Random
        For choices and jitter.
    policy : BudgetPolicy
        The figures that steer it.
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
        # Books of databases that are gone, until their loans have ended.
        self._retired: dict[str, LoanBook] = {}
        self._told: dict[str, SetLimit] = {}
        self._active: set[str] = set()
        self._applied_seats: tuple[frozenset[int], frozenset[int]] | None = None

    @property
    def held_seats(self) -> frozenset[int]:
        """Seats that this process holds."""
        return self._seats.held

    @property
    def era(self) -> int:
        """The latest era of the store in which the held seats are confirmed, or 0."""
        return self._seats.era

    @property
    def seat_records(self) -> tuple[SeatRecord, ...]:
        """What is known of all seats."""
        return self._seats.records

    @property
    def is_settled(self) -> bool:
        """True if no seat waits to be claimed, freed or given up."""
        return self._seats.is_settled

    def get_limit(self, key: str, now: float) -> int:
        """Return the most connections to a database for new work."""
        return self._books[key].get_limit(now)

    def get_right(self, key: str, now: float) -> int:
        """Return the most connections to a database that may exist."""
        return self._books[key].get_right(now)

    def get_owners(self, group: str) -> tuple[str, ...]:
        """Return the holders of the seats that own a group, best rank first."""
        return self._seats.get_holders(get_owner_seats(group, self._plan))

    def set_databases(
        self, databases: Iterable[BudgetedDatabase], now: float
    ) -> list[BudgetAction]:
        """Take in the databases and totals of the settings in force."""
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
        self._told = {k: told for k, told in self._told.items() if k in self._books}
        self._active &= self._books.keys()
        self._applied_seats = None
        return self._apply_seats(now)

    def observe_seats(
        self, records: Iterable[SeatRecord], is_complete: bool, now: float
    ) -> list[BudgetAction]:
        """Take in seats' objects; see `SeatBook.observe_seats`."""
        self._seats.observe_seats(records, is_complete)
        return self._apply_seats(now)

    def observe_live(self, holders: LiveHolders, now: float) -> None:
        """Take in which processes are live."""
        self._seats.observe_live(holders, now)

    def leave(self, now: float) -> list[BudgetAction]:
        """Give up all seats, as fast as the pools close their connections."""
        self._seats.leave()
        return self.tick(now)

    def receive(
        self, sender: str, message: BudgetMessage, now: float
    ) -> list[BudgetAction]:
        """Take in a message of another proxy."""
        book = self._books.get(message.database)
        if book is None:
            return self._receive_retired(sender, message, now)
        use = self._read_use(message.database)
        sent = book.receive(sender, message, use, now)
        self._active.add(message.database)
        return [*self._tell_limits([message.database], now), *sent]

    def observe_use(self, key: str, now: float) -> list[BudgetAction]:
        """Look at a database whose use has changed."""
        if key not in self._books:
            return []
        return self._tick_database(key, now)

    def tick(self, now: float) -> list[BudgetAction]:
        """Do what is due by time, for the databases that have something due."""
        self._seats.choose_giving_up()
        lowered = self._apply_seats(now)
        writes = self._seats.tick(lambda: self._can_give_up(now), now)
        given_up = self._apply_seats(now)
        ticked = [
            action
            for key in sorted(self._active)
            for action in self._tick_database(key, now)
        ]
        return [*lowered, *given_up, *writes, *ticked]

    def get_wakeup(self, now: float) -> float | None:
        """Return when `tick` is next due, or None if nothing waits for time."""
        times = [self._books[key].get_wakeup(now) for key in self._active]
        if not self._seats.is_settled:
            times.append(now + UNSETTLED_PERIOD)
        return min((time for time in times if time is not None), default=None)

    def _receive_retired(
        self, sender: str, message: BudgetMessage, now: float
    ) -> list[BudgetAction]:
        """Take in what concerns a loan of a database that is gone."""
        book = self._retired.get(message.database)
        return [] if book is None else book.receive(sender, message, NO_USE, now)

    def _tick_database(self, key: str, now: float) -> list[BudgetAction]:
        book = self._books[key]
        sent: list[SendToHolder] = book.tick(
            self._get_lenders(key), self._read_use(key), now
        )
        if book.is_quiet:
            self._active.discard(key)
        else:
            self._active.add(key)
        return [*self._tell_limits([key], now), *sent]

    def _get_lenders(self, key: str) -> tuple[str, ...]:
        owners = self.get_owners(self._databases[key].group)
        return tuple(owner for owner in owners if owner != self._holder)

    def _can_give_up(self, now: float) -> bool:
        if any(book.has_lent(now) for book in self._retired.values()):
            return False
        return all(
            book.can_shrink(self._read_use(key), now)
            for key, book in self._books.items()
        )

    def _apply_seats(self, now: float) -> list[BudgetAction]:
        """Work out all shares anew if the seats that are held have changed."""
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
        return self._tell_limits(self._books, now)

    def _tell_limits(self, keys: Iterable[str], now: float) -> list[BudgetAction]:
        """Return the limits that changed since they were told last."""
        current = [
            SetLimit(key, self.get_limit(key, now), self.get_right(key, now))
            for key in keys
        ]
        changed = [
            limit for limit in current if self._told.get(limit.database) != limit
        ]
        self._told.update((limit.database, limit) for limit in changed)
        return changed
