"""The borrower's side of the loans of one database's connections."""

from itertools import count
from typing import NamedTuple

from beryltrack.connections.budget_messages import (
    LoanGrant,
    LoanRecall,
    LoanRefusal,
    LoanRenewal,
    LoanRequest,
    LoanReturn,
    SendToHolder,
)
from beryltrack.connections.loan_policy import LoanPolicy


class _LoanName(NamedTuple):
    """Identifies a loan by its lender and the lender's number for it."""

    lender: str
    loan: int


class _Borrowed(NamedTuple):
    """A loan of `count` connections, of which at most `usable` are used from now on."""

    count: int
    usable: int
    ends_at: float
    renewal_sent_at: float


class _PendingRequest(NamedTuple):
    """An unanswered request for a loan, or for the renewal of `loan`."""

    lender: str
    loan: int | None
    sent_at: float


class _Backoff(NamedTuple):
    """The back-off from a lender that refused: its end and its length, seconds."""

    until: float
    length: float


class Borrower:
    """Borrows connections while requests wait, and returns them.

    Parameters
    ----------
    key : str
        The database's key.
    policy : LoanPolicy
        Limits and timeouts of loans.
    """

    def __init__(self, key: str, policy: LoanPolicy):
        self._key = key
        self._policy = policy
        self._numbers = count(1)
        self._loans: dict[_LoanName, _Borrowed] = {}
        self._pending: dict[int, _PendingRequest] = {}
        self._backoffs: dict[str, _Backoff] = {}
        self._next_lender = 0

    @property
    def has_loans(self) -> bool:
        """True if anything is borrowed."""
        return bool(self._loans)

    @property
    def is_idle(self) -> bool:
        """True if nothing is borrowed and no request is unanswered."""
        return not self._loans and not self._pending

    def get_end_times(self) -> list[float]:
        """Return the times at which loans end or stop being used for new requests."""
        soft_end = self._policy.soft_end
        ends = [loan.ends_at for loan in self._loans.values()]
        return ends + [end - soft_end for end in ends]

    def compute_held(self, now: float) -> int:
        """Return the borrowed connections that may exist now."""
        return sum(loan.count for loan in self._loans.values() if now < loan.ends_at)

    def compute_usable(self, now: float) -> int:
        """Return the borrowed connections that new requests may use now."""
        return sum(
            loan.usable
            for loan in self._loans.values()
            if now < loan.ends_at - self._policy.soft_end
        )

    def remove_expired(self, now: float) -> None:
        """Remove expired loans, and requests whose answer is overdue."""
        self._loans = {
            name: loan for name, loan in self._loans.items() if now < loan.ends_at
        }
        unanswered = [
            request
            for request, pending_request in self._pending.items()
            if now - pending_request.sent_at >= self._policy.repeat_period
        ]
        for request in unanswered:
            pending_request = self._pending.pop(request)
            if pending_request.loan is None:
                self._back_off(pending_request.lender, now)

    def borrow(
        self, missing: int, lenders: tuple[str, ...], now: float
    ) -> list[SendToHolder]:
        """Ask the next lenders for `missing` connections.

        Lenders are asked by round robin, with exponential back-off after a refusal, so
        that a proxy with a lasting shortage asks seldom.
        """
        asked_lenders = {
            pending_request.lender
            for pending_request in self._pending.values()
            if pending_request.loan is None
        }
        start = self._next_lender % len(lenders) if lenders else 0
        available = [
            lender
            for lender in lenders[start:] + lenders[:start]
            if lender not in asked_lenders and not self._is_backing_off(lender, now)
        ][: max(0, self._policy.max_asked_lenders - len(asked_lenders))]
        self._next_lender += len(available)
        return [self._ask(lender, missing, now) for lender in available]

    def receive_grant(
        self, sender: str, message: LoanGrant, now: float
    ) -> list[SendToHolder]:
        """Handle a loan, or the renewal of one."""
        name = _LoanName(sender, message.loan)
        pending_request = self._pending.pop(message.request, None)
        known = self._loans.get(name)
        if pending_request is None or pending_request.lender != sender:
            # A repeated answer is ignored; an unknown loan is returned.
            return [] if known else [self._return_all(name)]
        ends_at = pending_request.sent_at + message.duration
        if known is not None:
            later = max(known.ends_at, ends_at)
            self._loans[name] = known._replace(ends_at=later)
            return []
        if pending_request.loan is not None or now >= ends_at:
            return [self._return_all(name)]
        self._backoffs.pop(sender, None)
        self._loans[name] = _Borrowed(message.count, message.count, ends_at, now)
        return []

    def receive_refusal(self, sender: str, message: LoanRefusal, now: float) -> None:
        """Handle a refusal to lend or to renew."""
        pending_request = self._pending.get(message.request)
        if pending_request is None or pending_request.lender != sender:
            return
        del self._pending[message.request]
        if pending_request.loan is None:
            self._back_off(sender, now)
        else:
            self._reduce_use(_LoanName(sender, pending_request.loan), 0)

    def receive_recall(self, sender: str, message: LoanRecall, now: float) -> None:
        """Handle a recall: the lender needs its connections itself."""
        self._reduce_use(_LoanName(sender, message.loan), message.keep)
        self._back_off(sender, now)

    def reduce_use(self, surplus: int) -> None:
        """Use fewer borrowed connections, by `surplus` at most."""
        for name, loan in list(self._loans.items()):
            dropped = max(0, min(loan.usable, surplus))
            surplus -= dropped
            self._reduce_use(name, loan.usable - dropped)

    def return_unused(self, headroom: int) -> list[SendToHolder]:
        """Return unused connections, at most `headroom`, which are not open."""
        messages = []
        for name, loan in list(self._loans.items()):
            freed = min(loan.count - loan.usable, max(0, headroom))
            if freed > 0:
                headroom -= freed
                messages.append(self._return(name, loan, loan.count - freed))
        return messages

    def renew(self, now: float) -> list[SendToHolder]:
        """Request the renewal of the loans whose last one is `renew_after` old."""
        due = [
            (name, loan)
            for name, loan in self._loans.items()
            if now - loan.renewal_sent_at >= self._policy.renew_after
        ]
        return [self._ask_renewal(name, loan, now) for name, loan in due]

    def _ask(self, lender: str, missing: int, now: float) -> SendToHolder:
        request = next(self._numbers)
        self._pending[request] = _PendingRequest(lender, None, now)
        return SendToHolder(lender, LoanRequest(self._key, request, missing))

    def _ask_renewal(
        self, name: _LoanName, loan: _Borrowed, now: float
    ) -> SendToHolder:
        request = next(self._numbers)
        self._pending[request] = _PendingRequest(name.lender, name.loan, now)
        self._loans[name] = loan._replace(renewal_sent_at=now)
        renewal = LoanRenewal(self._key, request, name.loan, loan.count)
        return SendToHolder(name.lender, renewal)

    def _return(self, name: _LoanName, loan: _Borrowed, kept: int) -> SendToHolder:
        self._loans[name] = loan._replace(count=kept)
        if kept == 0:
            del self._loans[name]
        return SendToHolder(name.lender, LoanReturn(self._key, name.loan, kept))

    def _return_all(self, name: _LoanName) -> SendToHolder:
        return SendToHolder(name.lender, LoanReturn(self._key, name.loan, 0))

    def _reduce_use(self, name: _LoanName, keep: int) -> None:
        known = self._loans.get(name)
        if known is not None:
            usable = min(known.usable, max(0, keep))
            self._loans[name] = known._replace(usable=usable)

    def _is_backing_off(self, lender: str, now: float) -> bool:
        backoff = self._backoffs.get(lender)
        return backoff is not None and now < backoff.until

    def _back_off(self, lender: str, now: float) -> None:
        """Back off from a lender, twice as long each time."""
        last = self._backoffs.get(lender, _Backoff(now, self._policy.first_backoff / 2))
        length = min(2 * last.length, self._policy.max_backoff)
        self._backoffs[lender] = _Backoff(now + length, length)
