"""Ledger of the quota shares that instances have lent to this one.

A quota share is an instance's part of an account's limit. With N instances each has an
even share of 1/N of every limit, without any message. It lends this share to the
instance that runs the account's operations, the borrower, so that one instance counts
for all. A loan is a lease on one lender's share of the limits of some account hash
slots. It expires on the borrower's clock before it expires on the lender's. So at any
time the shares in use add up to one at most, under any network partition, and an
operation needs no message.

docs/notes/quota.md has the proof. Callers pass the time; no clock is read here.
"""

from collections.abc import Callable
from typing import NamedTuple

from beryltrack.accounts.slots import SLOT_COUNT, has_slot, list_slots

OnDecrease = Callable[[int, float, float], None]


class Loan(NamedTuple):
    """A lease on one instance's share of some accounts' limits.

    Parameters
    ----------
    slots : int
        The set of the accounts' slots.
    share : float
        The share of each limit, from 0 to 1.
    until : float
        When it expires, by the borrower's clock in seconds.
    """

    slots: int
    share: float
    until: float


class _SlotTotal:
    """The sum of the shares lent of one slot, and its integral over time."""

    __slots__ = ("at", "integral", "share")

    def __init__(self):
        self.share = 0.0
        self.integral = 0.0
        self.at = 0.0

    def advance(self, now: float) -> None:
        """Add the time since the last call to the integral."""
        if now > self.at:
            self.integral += min(1.0, self.share) * (now - self.at)
            self.at = now


class QuotaShareLedger:
    """The loans that this instance holds as a borrower.

    Parameters
    ----------
    on_decrease : callable
        Called after a slot's share has decreased, with the slot, the remaining share
        and the share's integral until then.
    """

    def __init__(self, on_decrease: OnDecrease = lambda slot, share, integral: None):
        self._on_decrease = on_decrease
        self._loans: dict[str, Loan] = {}
        self._totals = tuple(_SlotTotal() for _ in range(SLOT_COUNT))
        self._next_end = float("inf")

    @property
    def lenders(self) -> tuple[str, ...]:
        """Names of the instances that lend to this one."""
        return tuple(self._loans)

    def set_loan(self, lender: str, loan: Loan, now: float) -> None:
        """Replace the loan of a lender."""
        self._expire(now)
        before = self._loans.get(lender, Loan(0, 0.0, now))
        self._loans[lender] = loan
        self._next_end = min(self._next_end, loan.until)
        if (before.slots, before.share) != (loan.slots, loan.share):
            for slot in list_slots(before.slots | loan.slots):
                change = _get_share(loan, slot) - _get_share(before, slot)
                self._change(slot, change, now)

    def drop_loan(self, lender: str, now: float) -> None:
        """End the loan of a lender, if there is one."""
        loan = self._loans.pop(lender, None)
        if loan is not None:
            self._end(loan, now)

    def get_share(self, slot: int, now: float) -> float:
        """Return the share of a slot's limits that may be spent now, from 0 to 1."""
        self._expire(now)
        return min(1.0, self._totals[slot].share)

    def get_integral(self, slot: int, now: float) -> float:
        """Return the integral of a slot's share over the time until now, in seconds."""
        self._expire(now)
        self._totals[slot].advance(now)
        return self._totals[slot].integral

    def _change(self, slot: int, change: float, now: float) -> None:
        """Add `change`, which may be negative, to the share of a slot."""
        total = self._totals[slot]
        total.advance(now)
        total.share = max(0.0, total.share + change)
        if change < 0.0:
            self._on_decrease(slot, min(1.0, total.share), total.integral)

    def _expire(self, now: float) -> None:
        """End the loans that have expired."""
        if now < self._next_end:
            return
        expired = [name for name, loan in self._loans.items() if loan.until <= now]
        for name in expired:
            self._end(self._loans.pop(name), now)
        ends = (loan.until for loan in self._loans.values())
        self._next_end = min(ends, default=float("inf"))

    def _end(self, loan: Loan, now: float) -> None:
        """Subtract a loan from the totals, from its expiry on if that has passed."""
        overrun = max(0.0, now - loan.until)
        for slot in list_slots(loan.slots):
            self._totals[slot].advance(now)
            self._totals[slot].integral -= loan.share * overrun
            self._change(slot, -loan.share, now)


def _get_share(loan: Loan, slot: int) -> float:
    """Return the share of a slot that a loan gives."""
    return loan.share if has_slot(loan.slots, slot) else 0.0
