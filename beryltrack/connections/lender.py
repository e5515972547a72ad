"""The lender's side of the loans of one database's connections."""

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


class _Lent(NamedTuple):
    """A loan; `recalled_at` is None until the first recall."""

    borrower: str
    count: int
    ends_at: float
    recalled_at: float | None = None
    recall_sent_at: float = float("-inf")


class _Promise(NamedTuple):
    """A loan to grant when the lender's pool has closed enough connections."""

    borrower: str
    request: int
    count: int
    until: float


class Lender:
    """Lends connections that the lender's pool neither needs nor has open.

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
        self._lent: dict[int, _Lent] = {}
        self._promises: list[_Promise] = []

    @property
    def lent_count(self) -> int:
        """Connections that are lent."""
        return sum(loan.count for loan in self._lent.values())

    @property
    def promised_count(self) -> int:
        """Connections that are lent once the lender's pool has closed them."""
        return sum(promise.count for promise in self._promises)

    def remove_expired(self, now: float) -> None:
        """Remove the loans that have expired, margin included."""
        self._lent = {n: lent for n, lent in self._lent.items() if now < lent.ends_at}

    def promise(
        self, sender: str, message: LoanRequest, spare: int, now: float
    ) -> list[SendToHolder]:
        """Promise spare connections, or refuse.

        Parameters
        ----------
        sender : str
            The borrower.
        message : LoanRequest
            Its request.
        spare : int
            Connections that the lender does not need.
        now : float
            The current time, seconds.

        Returns
        -------
        list of SendToHolder
            A refusal, or nothing; `grant_promises` sends the grant.
        """
        lendable = min(message.count, spare)
        if lendable <= 0:
            return [self._refuse(sender, message.request)]
        until = now + self._policy.repeat_period
        self._promises.append(_Promise(sender, message.request, lendable, until))
        return []

    def grant_promises(self, headroom: int, now: float) -> list[SendToHolder]:
        """Lend promised connections, at most `headroom`, which are not open here."""
        messages = []
        for promise in self._take_promises():
            given = min(promise.count, headroom)
            if given > 0:
                headroom -= given
                messages.append(self._lend(promise, given, now))
            elif now < promise.until:
                self._promises.append(promise)
            else:
                messages.append(self._refuse(promise.borrower, promise.request))
        return messages

    def receive_renewal(
        self, sender: str, message: LoanRenewal, is_overlent: bool, now: float
    ) -> list[SendToHolder]:
        """Renew a loan, or refuse to.

        Parameters
        ----------
        sender : str
            The borrower.
        message : LoanRenewal
            Its request.
        is_overlent : bool
            True if more connections are lent than usable, as seats are being released.
        now : float
            The current time, seconds.

        Returns
        -------
        list of SendToHolder
            The answer.
        """
        lent = self._reduce(sender, message.loan, message.keep)
        if lent is None or is_overlent or not self._may_renew(lent, now):
            return [self._refuse(sender, message.request)]
        self._lent[message.loan] = lent._replace(ends_at=self._compute_end(now))
        return [self._answer(sender, message.request, message.loan, lent.count)]

    def receive_return(self, sender: str, message: LoanReturn) -> None:
        """Handle the return of connections."""
        self._reduce(sender, message.loan, message.keep)

    def recall(self, missing: int, now: float) -> list[SendToHolder]:
        """Recall `missing` connections, from the newest loans first."""
        messages = []
        for loan, lent in reversed(list(self._lent.items())):
            wanted = min(missing, lent.count)
            missing -= wanted
            was_sent = now - lent.recall_sent_at < self._policy.repeat_period
            if wanted > 0 and not was_sent:
                first = now if lent.recalled_at is None else lent.recalled_at
                self._lent[loan] = lent._replace(recalled_at=first, recall_sent_at=now)
                recall = LoanRecall(self._key, loan, lent.count - wanted)
                messages.append(SendToHolder(lent.borrower, recall))
        return messages

    def _take_promises(self) -> list[_Promise]:
        promises, self._promises = self._promises, []
        return promises

    def _lend(self, promise: _Promise, given: int, now: float) -> SendToHolder:
        loan = next(self._numbers)
        self._lent[loan] = _Lent(promise.borrower, given, self._compute_end(now))
        return self._answer(promise.borrower, promise.request, loan, given)

    def _compute_end(self, now: float) -> float:
        return now + self._policy.duration + self._policy.margin

    def _answer(self, holder: str, request: int, loan: int, given: int) -> SendToHolder:
        grant = LoanGrant(self._key, request, loan, given, self._policy.duration)
        return SendToHolder(holder, grant)

    def _refuse(self, holder: str, request: int) -> SendToHolder:
        return SendToHolder(holder, LoanRefusal(self._key, request))

    def _may_renew(self, lent: _Lent, now: float) -> bool:
        recalled_at = now if lent.recalled_at is None else lent.recalled_at
        return now < lent.ends_at and now - recalled_at < self._policy.recall_limit

    def _reduce(self, sender: str, loan: int, keep: int) -> _Lent | None:
        """Reduce a loan to what its borrower keeps; None if nothing is left."""
        lent = self._lent.get(loan)
        if lent is None or lent.borrower != sender:
            return None
        reduced = lent._replace(count=min(lent.count, max(0, keep)))
        if reduced.count == 0:
            del self._lent[loan]
            return None
        self._lent[loan] = reduced
        return reduced
