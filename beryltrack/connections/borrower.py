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
    """A loan is known by its lender and the lender's number."""

    lender: str
    loan: int


class _Borrowed(NamedTuple):
    """A loan; `wanted` is what is still used of the `count` that are held."""

    count: int
    wanted: int
    ends_at: float
    renewal_sent_at: float


class _Asked(NamedTuple):
    """A request, or the renewal of a loan, that was not answered yet."""

    lender: str
    loan: int | None
    sent_at: float


class _Pause(NamedTuple):
    """A lender that refused is not asked again until a time."""

    until: float
    length: float


class Borrower:
    """Borrows connections while requests wait, and gives them back.

    Parameters
    ----------
    key : str
        The database's key.
    policy : LoanPolicy
        The figures that steer it.
    """

    def __init__(self, key: str, policy: LoanPolicy):
        self._key = key
        self._policy = policy
        self._numbers = count(1)
        self._loans: dict[_LoanName, _Borrowed] = {}
        self._asked: dict[int, _Asked] = {}
        self._pauses: dict[str, _Pause] = {}
        self._turn = 0

    @property
    def has_loans(self) -> bool:
        """True if anything is borrowed."""
        return bool(self._loans)

    @property
    def is_quiet(self) -> bool:
        """True if nothing is borrowed or asked for."""
        return not self._loans and not self._asked

    def get_ends(self) -> list[float]:
        """Return the times at which loans end or stop taking new work."""
        soft_end = self._policy.soft_end
        ends = [loan.ends_at for loan in self._loans.values()]
        return ends + [end - soft_end for end in ends]

    def compute_held(self, now: float) -> int:
        """Return the borrowed connections that may exist now."""
        return sum(loan.count for loan in self._loans.values() if now < loan.ends_at)

    def compute_usable(self, now: float) -> int:
        """Return the borrowed connections that new work may use now."""
        return sum(
            loan.wanted
            for loan in self._loans.values()
            if now < loan.ends_at - self._policy.soft_end
        )

    def drop_ended(self, now: float) -> None:
        """Forget loans that ended by time and requests without an answer."""
        self._loans = {
            name: loan for name, loan in self._loans.items() if now < loan.ends_at
        }
        silent = [
            request
            for request, asked in self._asked.items()
            if now - asked.sent_at >= self._policy.repeat_period
        ]
        for request in silent:
            asked = self._asked.pop(request)
            if asked.loan is None:
                self._pause(asked.lender, now)

    def borrow(
        self, missing: int, lenders: tuple[str, ...], now: float
    ) -> list[SendToHolder]:
        """Ask the next lenders for `missing` connections.

        Lenders are asked in turn; one that refused is left alone for a pause
        that doubles, so that a proxy short for long asks seldom.
        """
        pending = {asked.lender for asked in self._asked.values() if asked.loan is None}
        start = self._turn % len(lenders) if lenders else 0
        free = [
            lender
            for lender in lenders[start:] + lenders[:start]
            if lender not in pending and not self._is_paused(lender, now)
        ][: max(0, self._policy.max_asked_lenders - len(pending))]
        self._turn += len(free)
        return [self._ask(lender, missing, now) for lender in free]

    def receive_grant(
        self, sender: str, message: LoanGrant, now: float
    ) -> list[SendToHolder]:
        """Take in a loan, or a renewal of one."""
        name = _LoanName(sender, message.loan)
        asked = self._asked.pop(message.request, None)
        known = self._loans.get(name)
        if asked is None or asked.lender != sender:
            # A repeated answer changes nothing; an unknown loan is not used.
            return [] if known else [self._give_up(name)]
        ends_at = asked.sent_at + message.duration
        if known is not None:
            later = max(known.ends_at, ends_at)
            self._loans[name] = known._replace(ends_at=later)
            return []
        if asked.loan is not None or now >= ends_at:
            return [self._give_up(name)]
        self._pauses.pop(sender, None)
        self._loans[name] = _Borrowed(message.count, message.count, ends_at, now)
        return []

    def receive_refusal(self, sender: str, message: LoanRefusal, now: float) -> None:
        """Take in that a lender lends nothing or does not renew."""
        asked = self._asked.get(message.request)
        if asked is None or asked.lender != sender:
            return
        del self._asked[message.request]
        if asked.loan is None:
            self._pause(sender, now)
        else:
            self._stop_using(_LoanName(sender, asked.loan), 0)

    def receive_recall(self, sender: str, message: LoanRecall, now: float) -> None:
        """Take in that a lender needs its connections itself."""
        self._stop_using(_LoanName(sender, message.loan), message.keep)
        self._pause(sender, now)

    def drop_surplus(self, surplus: int) -> None:
        """Use fewer borrowed connections, by `surplus` at most."""
        for name, loan in list(self._loans.items()):
            dropped = max(0, min(loan.wanted, surplus))
            surplus -= dropped
            self._stop_using(name, loan.wanted - dropped)

    def return_unwanted(self, room: int) -> list[SendToHolder]:
        """Give back what is not used, as far as `room` connections are not open."""
        messages = []
        for name, loan in list(self._loans.items()):
            freed = min(loan.count - loan.wanted, max(0, room))
            if freed > 0:
                room -= freed
                messages.append(self._return(name, loan, loan.count - freed))
        return messages

    def renew(self, now: float) -> list[SendToHolder]:
        """Ask to lengthen the loans whose last renewal is old enough."""
        due = [
            (name, loan)
            for name, loan in self._loans.items()
            if now - loan.renewal_sent_at >= self._policy.renew_after
        ]
        return [self._ask_renewal(name, loan, now) for name, loan in due]

    def _ask(self, lender: str, missing: int, now: float) -> SendToHolder:
        request = next(self._numbers)
        self._asked[request] = _Asked(lender, None, now)
        return SendToHolder(lender, LoanRequest(self._key, request, missing))

    def _ask_renewal(
        self, name: _LoanName, loan: _Borrowed, now: float
    ) -> SendToHolder:
        request = next(self._numbers)
        self._asked[request] = _Asked(name.lender, name.loan, now)
        self._loans[name] = loan._replace(renewal_sent_at=now)
        renewal = LoanRenewal(self._key, request, name.loan, loan.count)
        return SendToHolder(name.lender, renewal)

    def _return(self, name: _LoanName, loan: _Borrowed, kept: int) -> SendToHolder:
        self._loans[name] = loan._replace(count=kept)
        if kept == 0:
            del self._loans[name]
        return SendToHolder(name.lender, LoanReturn(self._key, name.loan, kept))

    def _give_up(self, name: _LoanName) -> SendToHolder:
        return SendToHolder(name.lender, LoanReturn(self._key, name.loan, 0))

    def _stop_using(self, name: _LoanName, keep: int) -> None:
        known = self._loans.get(name)
        if known is not None:
            wanted = min(known.wanted, max(0, keep))
            self._loans[name] = known._replace(wanted=wanted)

    def _is_paused(self, lender: str, now: float) -> bool:
        pause = self._pauses.get(lender)
        return pause is not None and now < pause.until

    def _pause(self, lender: str, now: float) -> None:
        """Leave a lender alone for a while, twice as long each time."""
        last = self._pauses.get(lender, _Pause(now, self._policy.first_backoff / 2))
        length = min(2 * last.length, self._policy.max_backoff)
        self._pauses[lender] = _Pause(now + length, length)
