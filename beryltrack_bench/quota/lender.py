"""Instances that lend their quota shares over simulated links, without sockets.

The deciders are those of the product (`beryltrack.accounts`). The carrier decides how
long a message takes; a message reaches the process that it was sent to or is dropped.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from beryltrack.accounts.lending import (
    LOAN_TIME,
    RENEW_PERIOD,
    LendingDecider,
    Offer,
)
from beryltrack.accounts.messages import AccountSettings
from beryltrack.accounts.quota import QuotaDecider, Tolerance
from beryltrack.accounts.shares import Loan
from beryltrack.accounts.task import ANSWER_TIMEOUT


class Carrier(Protocol):
    """Carries messages between processes, and provides the time."""

    now: float
    instances: "Mapping[str, Lender]"

    def send(
        self, source: str, target: "Lender", deliver: Callable[[], object]
    ) -> None:
        """Send a message; `deliver` is called when it arrives."""


class Link:
    """A link from one lender to one owner; it closes when either process ends."""

    def __init__(self, lender: "Lender", owner: "Lender"):
        self.lender, self.owner = lender, owner
        self.answered_at: float | None = None
        self.is_new = True
        self.sent_at: float | None = None

    @property
    def is_closed(self) -> bool:
        """True if its lender uses another link to this owner, or none."""
        return self.lender.links.get(self.owner.name) is not self


class Lender:
    """One process, which lends its quota shares and counts operations as an owner.

    Parameters
    ----------
    carrier : Carrier
        Carries its messages.
    name : str
        Name of the instance.
    members : iterable of str
        Names of all instances.
    accounts : mapping of str to AccountSettings
        The accounts.
    tolerance : Tolerance
        How far the accounts' limits may be exceeded.
    offset : float
        Seconds by which its clock is ahead of the carrier's.
    is_new : bool
        True if no process of this name has run before.
    """

    def __init__(
        self,
        carrier: Carrier,
        name: str,
        members: Iterable[str],
        accounts: Mapping[str, AccountSettings],
        tolerance: Tolerance,
        offset: float = 0.0,
        is_new: bool = True,
    ):
        self.name = name
        self.links: dict[str, Link] = {}
        self._carrier = carrier
        self._offset = offset
        self._next_tick = carrier.now
        self.lending = LendingDecider(self.choose_owner, self.now, is_new)
        self.lending.set_members(members, self.now)
        self.quota = QuotaDecider(accounts.get, tolerance)

    @property
    def now(self) -> float:
        """The process's own clock."""
        return self._carrier.now + self._offset

    def choose_owner(self, slot: int) -> str | None:
        """Return the owner to which operations of a slot's accounts are sent."""
        raise NotImplementedError

    def get_loan_end(self, link: Link) -> float:
        """Return the end of a loan that has just arrived on an open link."""
        return link.answered_at + LOAN_TIME

    def tick(self) -> None:
        """Renew the loan to each owner, if that is due."""
        now = self._carrier.now
        for name, link in tuple(self.links.items()):
            if link.sent_at is not None and now - link.sent_at > ANSWER_TIMEOUT:
                del self.links[name]
        if now < self._next_tick:
            return
        self._next_tick = now + RENEW_PERIOD
        for name, offer in self.lending.plan(self.now).items():
            if name == self.name:
                self.lending.observe_sent(name, offer, self.now)
                loan = Loan(offer.slots, offer.share, self.now + LOAN_TIME)
                self.quota.shares.set_loan(name, loan, self.now)
                self.lending.observe_accepted(name, offer)
            else:
                self._send_offer(name, offer)

    def _send_offer(self, name: str, offer: Offer) -> None:
        """Send an offer, unless an earlier one is still unanswered."""
        owner = self._carrier.instances[name]
        link = self.links.get(name)
        if link is None or link.owner is not owner:
            link = self.links[name] = Link(self, owner)
        if link.sent_at is not None:
            return
        link.sent_at = self._carrier.now
        if link.is_new:
            offer = Offer(0, 0.0)
        else:
            self.lending.observe_sent(name, offer, self.now)
        self._carrier.send(self.name, owner, lambda: owner.receive_offer(link, offer))

    def receive_offer(self, link: Link, offer: Offer) -> None:
        """Handle an offer as an owner, and answer it."""
        if link.answered_at is not None:
            loan = Loan(offer.slots, offer.share, self.get_loan_end(link))
            self.quota.shares.set_loan(link.lender.name, loan, self.now)
        link.answered_at = self.now
        self._carrier.send(
            self.name, link.lender, lambda: link.lender.receive_answer(link, offer)
        )

    def receive_answer(self, link: Link, offer: Offer) -> None:
        """Handle the answer to an offer."""
        if link.is_closed:
            return
        link.sent_at = None
        if not link.is_new:
            self.lending.observe_accepted(link.owner.name, offer)
        elif self._next_tick > self._carrier.now:
            self._next_tick = self._carrier.now
        link.is_new = False
