"""Decides to which instances this one lends its quota shares.

A lender lends its share of each account hash slot to the borrower: the instance to
which it sends the operations of the slot's accounts. It lends a slot to another one
only after the borrower has acknowledged returning it, or after the loan has expired by
the lender's clock. The borrower counts the loan from an earlier moment: from its
previous answer, which the lender had received before it sent the offer; see `link`. So
neither late, lost or repeated messages nor a pause of either process let two instances
use the same share.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from beryltrack.accounts.slots import SLOT_COUNT, has_slot, list_slots, make_slot_set

LOAN_TIME = 1.2
"""Seconds that a loan lasts. After an owner fails without closing its links, its
accounts have no quota for this long. With 2 s, 250 operations were refused in the
second after the loss of one of four owners of 76 accounts."""

RENEW_PERIOD = 0.35
"""Seconds between two offers to each owner. Two may be late before a loan expires. With
67 instances an owner receives 190 offers a second."""

MEMBER_EXPIRY = 60.0
"""Seconds for which a former member still counts in the even shares: if it was only
partitioned, it may still spend its own share."""


class SlotLoan(NamedTuple):
    """The loan of this instance's share of one slot.

    Parameters
    ----------
    holder : str
        Name of the borrower; empty if the slot is not lent.
    until : float
        When the loan expires, by the lender's clock in seconds.
    """

    holder: str
    until: float


NOT_LENT = SlotLoan("", 0.0)


class Offer(NamedTuple):
    """The content of one message to a borrower.

    Parameters
    ----------
    slots : int
        The set of slots that are lent to it from now on; it returns all others.
    share : float
        The lender's share of each limit, from 0 to 1.
    """

    slots: int
    share: float


class LendingDecider:
    """Keeps the loan of each slot and plans the offers.

    Parameters
    ----------
    choose_owner : callable
        Returns the name of the instance that is to run the operations of a slot's
        accounts, or None.
    started_at : float
        When this process started. A restarted process does not know its earlier loans.
        Usually they went to the instance that is chosen first now, so it lends a slot
        to another one only after the first choice has returned it or ended, or after
        all earlier loans must have expired.
    is_new : bool
        True if no process of this name has run before.
    """

    def __init__(
        self,
        choose_owner: Callable[[int], str | None],
        started_at: float,
        is_new: bool = False,
    ):
        self._choose_owner = choose_owner
        self._earlier_loans_until = started_at if is_new else started_at + LOAN_TIME
        self._loans: list[SlotLoan] = [NOT_LENT] * SLOT_COUNT
        self._member_seen_at: dict[str, float] = {}
        self._first_choice: dict[int, str] = {}
        self._ended: set[str] = set()

    @property
    def share(self) -> float:
        """The even share of each limit that this instance may lend, from 0 to 1."""
        return 1.0 / max(1, len(self._member_seen_at))

    def get_holder(self, slot: int) -> str:
        """Return the name of the borrower of a slot, empty if the slot is not lent."""
        return self._loans[slot].holder

    def set_members(self, names: Iterable[str], now: float) -> None:
        """Record the current members."""
        self._member_seen_at |= dict.fromkeys(names, now)
        self._member_seen_at = {
            name: at
            for name, at in self._member_seen_at.items()
            if now - at <= MEMBER_EXPIRY
        }

    def plan(self, now: float) -> dict[str, Offer]:
        """Return the offers to send.

        Returns
        -------
        dict of str to Offer
            By the name of each instance that holds, or is to hold, slots. Offers have
            to be sent at `now`, as `observe_sent` counts loans from then.
        """
        holders: dict[str, list[int]] = {}
        for slot in range(SLOT_COUNT):
            wanted = self._choose_owner(slot)
            loan = self._loans[slot]
            if loan.holder and now < loan.until and loan.holder != wanted:
                # An offer without the slot makes the borrower return it.
                holders.setdefault(loan.holder, [])
            elif wanted is not None and self._may_lend(slot, wanted, now):
                holders.setdefault(wanted, []).append(slot)
        share = self.share
        return {
            name: Offer(make_slot_set(each), share) for name, each in holders.items()
        }

    def observe_sent(self, name: str, offer: Offer, now: float) -> None:
        """Record that an offer is sent; its loans are binding from `now` on."""
        for slot in list_slots(offer.slots):
            self._loans[slot] = SlotLoan(name, now + LOAN_TIME)

    def observe_accepted(self, name: str, offer: Offer) -> bool:
        """Record that a borrower accepted an offer and so returned all other slots.

        Returns
        -------
        bool
            True if it returned slots, which may be lent to another instance now.
        """
        returned = [
            slot
            for slot, loan in enumerate(self._loans)
            if loan.holder == name and not has_slot(offer.slots, slot)
        ]
        for slot in returned:
            self._loans[slot] = NOT_LENT
        if returned:
            self._ended.add(name)
        return bool(returned)

    def observe_ended(self, name: str) -> None:
        """Record that a borrower's process ended, or that it returned all slots."""
        self._ended.add(name)
        self._loans = [
            NOT_LENT if each.holder == name else each for each in self._loans
        ]

    def _may_lend(self, slot: int, wanted: str, now: float) -> bool:
        """Return whether a slot may be lent to an instance now."""
        loan = self._loans[slot]
        if loan.holder == wanted or now < loan.until:
            return loan.holder == wanted
        first_choice = self._first_choice.setdefault(slot, wanted)
        return (
            now >= self._earlier_loans_until
            or wanted == first_choice
            or first_choice in self._ended
        )
