"""To whom this instance lends its part of each account's limit.

For each slot of accounts it lends to the instance to which it sends their operations. A
slot goes to another instance only once the one that had it has said that it gave it
back, or once the loan has ended by this instance's clock. The borrower counts the end
from an earlier moment: from its last answer, which the lender had received before it
sent the loan; see `link`. So no message that is late, lost or repeated, and no
pause of either process, lets both use the same part.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from beryltrack.accounts.slots import SLOT_COUNT, has_slot, list_slots, make_slot_set

LOAN_TIME = 1.2
"""Seconds that a loan lasts: after an owner was lost without a sign its accounts have
no rights for so long. With 2 s, 250 operations were refused in the second after one of
four owners of 76 accounts had gone."""

RENEW_PERIOD = 0.35
"""Seconds between two messages to each owner. Two may be late before a loan ends; of 67
instances an owner takes 190 messages a second."""

MEMBER_EXPIRY = 60.0
"""Seconds for which an instance that is no member any more still counts in the even
parts: one that was only cut off may still spend its own."""


class SlotLoan(NamedTuple):
    """Who has this instance's part of a slot.

    Parameters
    ----------
    holder : str
        Name of the instance; empty if nobody has it.
    until : float
        When the loan has ended, by this instance's clock.
    """

    holder: str
    until: float


NOT_LENT = SlotLoan("", 0.0)


class Offer(NamedTuple):
    """What one instance is told.

    Parameters
    ----------
    slots : int
        The set of slots that are lent to it from now on; it gives back all others.
    share : float
        The part of each limit.
    """

    slots: int
    share: float


class LendingDecider:
    """Keeps to whom each slot is lent.

    Parameters
    ----------
    choose_owner : callable
        Returns the name of the instance that is to run a slot's accounts, or None.
    started_at : float
        When this process started. What it lent before it was restarted it has
        forgotten. That was to the instance that is the first choice now, as a rule: it
        lends to another one only when that has given it back, or it must have ended.
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
        self._free_at = started_at if is_new else started_at + LOAN_TIME
        self._loans: list[SlotLoan] = [NOT_LENT] * SLOT_COUNT
        self._seen: dict[str, float] = {}
        self._first: dict[int, str] = {}
        self._ended: set[str] = set()

    @property
    def share(self) -> float:
        """The part of each limit that this instance may lend."""
        return 1.0 / max(1, len(self._seen))

    def get_holder(self, slot: int) -> str:
        """Return which instance has this one's part of a slot, empty if none has."""
        return self._loans[slot].holder

    def set_members(self, names: Iterable[str], now: float) -> None:
        """Take in which instances there are."""
        self._seen |= dict.fromkeys(names, now)
        self._seen = {
            name: at for name, at in self._seen.items() if now - at <= MEMBER_EXPIRY
        }

    def plan(self, now: float) -> dict[str, Offer]:
        """Return what to tell whom.

        Returns
        -------
        dict of str to Offer
            By the name of each instance that has, or is to have, slots. What is told
            has to be sent now, as `observe_sent` counts from then.
        """
        holders: dict[str, list[int]] = {}
        for slot in range(SLOT_COUNT):
            wanted = self._choose_owner(slot)
            loan = self._loans[slot]
            if loan.holder and now < loan.until and loan.holder != wanted:
                # Told to give it back, by an offer without it.
                holders.setdefault(loan.holder, [])
            elif wanted is not None and self._may_lend(slot, wanted, now):
                holders.setdefault(wanted, []).append(slot)
        share = self.share
        return {
            name: Offer(make_slot_set(each), share) for name, each in holders.items()
        }

    def observe_sent(self, name: str, offer: Offer, now: float) -> None:
        """Take in that an offer was sent at a time; it binds from then on."""
        for slot in list_slots(offer.slots):
            self._loans[slot] = SlotLoan(name, now + LOAN_TIME)

    def observe_accepted(self, name: str, offer: Offer) -> bool:
        """Take in that an instance has an offer: what was not in it, it gave back.

        Returns
        -------
        bool
            True if it gave something back, which may go to another instance now.
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
        """Take in that an instance has ended, or given back all that it had."""
        self._ended.add(name)
        self._loans = [
            NOT_LENT if each.holder == name else each for each in self._loans
        ]

    def _may_lend(self, slot: int, wanted: str, now: float) -> bool:
        """Return whether a slot may go to an instance now."""
        loan = self._loans[slot]
        if loan.holder == wanted or now < loan.until:
            return loan.holder == wanted
        first = self._first.setdefault(slot, wanted)
        return now >= self._free_at or wanted == first or first in self._ended
