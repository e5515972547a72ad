"""What part of each account's limit this instance may spend.

Every instance has an even part of each limit, one of N for N instances, without asking
anybody. It lends that part to the instance that runs the account's operations, so that
one instance counts for all. A loan names slots of accounts and has an end on the clock
of the instance that took it, which comes before the end that its lender counts with. So
at any time the parts of all instances add up to one at most, whoever is cut off from
whom, and no message is needed for an operation.

docs/notes/quota.md has the argument; no clock is read here.
"""

from collections.abc import Callable
from typing import NamedTuple

from beryltrack.accounts.slots import SLOT_COUNT, has_slot, list_slots

OnLoss = Callable[[int, float, float], None]


class Loan(NamedTuple):
    """One instance's part of some accounts' limits.

    Parameters
    ----------
    slots : int
        The set of the accounts' slots.
    share : float
        The part of each limit, from 0 to 1.
    until : float
        When it ends, by the clock of the instance that has it.
    """

    slots: int
    share: float
    until: float


class _Sum:
    """The parts that were lent of one slot, and their integral over time."""

    __slots__ = ("at", "integral", "share")

    def __init__(self):
        self.share = 0.0
        self.integral = 0.0
        self.at = 0.0

    def advance(self, now: float) -> None:
        """Take in the time that has passed."""
        if now > self.at:
            self.integral += min(1.0, self.share) * (now - self.at)
            self.at = now


class QuotaShareLedger:
    """The loans that this instance has.

    Parameters
    ----------
    on_loss : callable
        Called with a slot, the part that is left of it, and its integral until then,
        after it shrank.
    """

    def __init__(self, on_loss: OnLoss = lambda slot, share, integral: None):
        self._on_loss = on_loss
        self._loans: dict[str, Loan] = {}
        self._sums = tuple(_Sum() for _ in range(SLOT_COUNT))
        self._next_end = float("inf")

    @property
    def lenders(self) -> tuple[str, ...]:
        """Names of the instances that lend to this one."""
        return tuple(self._loans)

    def set_loan(self, lender: str, loan: Loan, now: float) -> None:
        """Take a loan in place of what this lender has lent before."""
        self._expire(now)
        before = self._loans.get(lender, Loan(0, 0.0, now))
        self._loans[lender] = loan
        self._next_end = min(self._next_end, loan.until)
        if (before.slots, before.share) != (loan.slots, loan.share):
            for slot in list_slots(before.slots | loan.slots):
                change = _get_share(loan, slot) - _get_share(before, slot)
                self._change(slot, change, now)

    def drop_loan(self, lender: str, now: float) -> None:
        """Give back what an instance has lent."""
        loan = self._loans.pop(lender, None)
        if loan is not None:
            self._end(loan, now)

    def get_share(self, slot: int, now: float) -> float:
        """Return the part of a slot's limits that may be spent now."""
        self._expire(now)
        return min(1.0, self._sums[slot].share)

    def get_integral(self, slot: int, now: float) -> float:
        """Return the integral of that part over the time until now, seconds."""
        self._expire(now)
        self._sums[slot].advance(now)
        return self._sums[slot].integral

    def _change(self, slot: int, change: float, now: float) -> None:
        """Add to the part of a slot, or take from it."""
        total = self._sums[slot]
        total.advance(now)
        total.share = max(0.0, total.share + change)
        if change < 0.0:
            self._on_loss(slot, min(1.0, total.share), total.integral)

    def _expire(self, now: float) -> None:
        """End the loans whose time is over."""
        if now < self._next_end:
            return
        over = [name for name, loan in self._loans.items() if loan.until <= now]
        for name in over:
            self._end(self._loans.pop(name), now)
        ends = (loan.until for loan in self._loans.values())
        self._next_end = min(ends, default=float("inf"))

    def _end(self, loan: Loan, now: float) -> None:
        """Take a loan away from the sums, from its end on if that has passed."""
        late = max(0.0, now - loan.until)
        for slot in list_slots(loan.slots):
            self._sums[slot].advance(now)
            self._sums[slot].integral -= loan.share * late
            self._change(slot, -loan.share, now)


def _get_share(loan: Loan, slot: int) -> float:
    """Return the part of a slot that a loan gives."""
    return loan.share if has_slot(loan.slots, slot) else 0.0
