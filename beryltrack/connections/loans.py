"""One database's connections at one proxy: own, lent and borrowed.

A loan is a lease: a borrower may use connections of a lender's share for a bounded
time. The borrower counts that time from when it *sent* its request, the lender from
when it granted it, plus a margin, each on its own clock. So the loan expires at the
borrower before the lender uses the connections again, whichever messages are lost, late
or repeated, as long as the rates of the clocks agree within the margin. Early returns
and recalls only save time; the limit holds without them.
"""

from beryltrack.connections.borrower import Borrower
from beryltrack.connections.budget_messages import (
    BudgetMessage,
    DatabaseUse,
    LoanGrant,
    LoanRecall,
    LoanRefusal,
    LoanRenewal,
    LoanRequest,
    LoanReturn,
    SendToHolder,
)
from beryltrack.connections.lender import Lender
from beryltrack.connections.loan_policy import LoanPolicy


class LoanBook:
    """The loans of one database at one proxy, and the limits that follow from them.

    Each call that decides takes the pool's use at that moment: connections that the
    pool has open are never lent or returned.

    Parameters
    ----------
    key : str
        The database's key.
    policy : LoanPolicy
        Limits and timeouts of loans.
    """

    def __init__(self, key: str, policy: LoanPolicy):
        self._policy = policy
        self._lender = Lender(key, policy)
        self._borrower = Borrower(key, policy)
        self._own = 0
        self._usable = 0
        self._use = DatabaseUse(0, 0, 0)
        self._peak = 0
        self._peak_at = float("-inf")

    @property
    def lent_count(self) -> int:
        """Connections that are lent to others."""
        return self._lender.lent_count

    @property
    def is_idle(self) -> bool:
        """True if nothing is lent, borrowed or requested, and the demand is met."""
        return (
            self._borrower.is_idle
            and not self._lender.lent_count
            and not self._lender.promised_count
            and not self._use.waiting
            and self._use.demand <= self._usable
        )

    def set_own(self, own: int, usable: int) -> None:
        """Set the connections of the held seats.

        Parameters
        ----------
        own : int
            Connections of all seats that are held.
        usable : int
            The same without the seats that are being released.
        """
        self._own = own
        self._usable = usable

    def has_lent(self, now: float) -> bool:
        """Return whether a loan to another proxy has not expired."""
        self._lender.remove_expired(now)
        return self.lent_count > 0

    def can_shrink(self, use: DatabaseUse, now: float) -> bool:
        """Return whether own connections that are not usable can be released now."""
        remaining = self._usable - self.lent_count
        return (
            remaining >= 0 and remaining + self._borrower.compute_held(now) >= use.open
        )

    def get_limit(self, now: float) -> int:
        """Return the maximum number of connections for new requests."""
        kept = self._usable - self.lent_count - self._lender.promised_count
        return max(0, kept + self._borrower.compute_usable(now))

    def get_hard_limit(self, now: float) -> int:
        """Return how many connections may exist; this falls as loans expire."""
        return max(0, self._own - self.lent_count + self._borrower.compute_held(now))

    def get_wakeup(self, now: float) -> float | None:
        """Return when `tick` is next due, or None if nothing is."""
        if self.is_idle:
            return None
        ends = [end for end in self._borrower.get_end_times() if end > now]
        return min([now + self._policy.repeat_period, *ends])

    def receive(
        self, sender: str, message: BudgetMessage, use: DatabaseUse, now: float
    ) -> list[SendToHolder]:
        """Handle a message of another proxy and return the answers."""
        self._observe_use(use, now)
        match message:
            case LoanRequest():
                answers = self._lender.promise(sender, message, self._spare, now)
                return answers + self._grant_promises(now)
            case LoanRenewal():
                is_overlent = self.lent_count > self._usable
                return self._lender.receive_renewal(sender, message, is_overlent, now)
            case LoanReturn():
                self._lender.receive_return(sender, message)
            case LoanGrant():
                return self._borrower.receive_grant(sender, message, now)
            case LoanRefusal():
                self._borrower.receive_refusal(sender, message, now)
            case LoanRecall():
                self._borrower.receive_recall(sender, message, now)
                return self._return_unused(now)
        return []

    def tick(
        self, lenders: tuple[str, ...], use: DatabaseUse, now: float
    ) -> list[SendToHolder]:
        """Expire, grant, return, renew, request and recall loans as they are due.

        Parameters
        ----------
        lenders : tuple of str
            Other holders of seats that own this database.
        use : DatabaseUse
            The pool's use now.
        now : float
            The current time, seconds.

        Returns
        -------
        list of SendToHolder
            Messages to send.
        """
        self._observe_use(use, now)
        self._lender.remove_expired(now)
        self._borrower.remove_expired(now)
        return [
            *self._grant_promises(now),
            *self._return_unused(now),
            *self._borrower.renew(now),
            *self._borrow(lenders, now),
            *self._recall(now),
        ]

    @property
    def _spare(self) -> int:
        """Connections that are not needed here.

        A borrower lends nothing, as such a loan could outlast its own.
        """
        if self._borrower.has_loans:
            return 0
        kept = self._usable - self.lent_count - self._lender.promised_count
        return kept - self._peak

    def _observe_use(self, use: DatabaseUse, now: float) -> None:
        self._use = use
        is_over = now - self._peak_at > self._policy.demand_window
        if use.demand >= self._peak or is_over:
            self._peak = use.demand
            self._peak_at = now

    def _grant_promises(self, now: float) -> list[SendToHolder]:
        has_loans = self._borrower.has_loans
        headroom = 0 if has_loans else self._usable - self.lent_count - self._use.open
        return self._lender.grant_promises(headroom, now)

    def _return_unused(self, now: float) -> list[SendToHolder]:
        self._borrower.reduce_use(self.get_limit(now) - self._peak)
        return self._borrower.return_unused(self.get_hard_limit(now) - self._use.open)

    def _borrow(self, lenders: tuple[str, ...], now: float) -> list[SendToHolder]:
        missing = self._use.demand - self.get_limit(now)
        if not self._use.waiting or missing <= 0 or self.lent_count:
            return []
        return self._borrower.borrow(missing, lenders, now)

    def _recall(self, now: float) -> list[SendToHolder]:
        """Recall connections that are needed here, or lent beyond the usable ones."""
        wanted = min(self._use.demand, self._usable) - self.get_limit(now)
        overlent = self.lent_count - self._usable
        return self._lender.recall(max(wanted, overlent), now)
