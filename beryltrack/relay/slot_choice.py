"""Which owners count and run the operations of an account, by the account's slot.

Two ways. With one owner in the whole fleet an account's connections and its limit are
in one place, and most operations cross availability zones to it. With one in each zone
an operation stays in its zone. Each zone's owner then has the rights of the zone's
instances, and where these are used up the operation goes to another zone's owner: the
rights stay where they are, so that the limit holds as before. docs/notes/quota.md says
why, and what each way costs.
"""

from collections.abc import Callable, Sequence
from typing import Protocol

from beryltrack.accounts.slots import SLOT_COUNT
from beryltrack.ranks import compute_rank
from beryltrack.relay.owners import ACCOUNTS, Peer

SPENT_TIME = 0.2
"""Seconds for which an owner that refused an account's operation, as over its limit, is
asked last. An account of 10 operations a second gets a third of a token in a zone in
that time."""

MOST_SPENT = 1024
"""Accounts whose refusals are remembered, those that were refused last."""

Line = tuple[Peer, ...]
"""Owners of which the first that is reached counts a slot's accounts."""


class SlotChoice(Protocol):
    """Which owners count a slot's accounts, as one instance asks them."""

    def make_lines(
        self, owners: Sequence[Peer], slot: int, zone: str
    ) -> tuple[Line, ...]:
        """Return the lines of owners, the one to ask first before all others.

        Parameters
        ----------
        owners : sequence of Peer
            The owners of all accounts.
        slot : int
            The slot.
        zone : str
            Availability zone of the instance that asks.
        """


class FleetOwners:
    """One owner of each slot in the whole fleet."""

    def make_lines(
        self, owners: Sequence[Peer], slot: int, zone: str
    ) -> tuple[Line, ...]:
        """Return one line, the same for all zones."""
        return (rank_owners(owners, slot),)


class ZoneOwners:
    """One owner of each slot in each zone that has owners."""

    def make_lines(
        self, owners: Sequence[Peer], slot: int, zone: str
    ) -> tuple[Line, ...]:
        """Return the line of the zone, then those of the others by their first rank.

        Where the zone's owners are not reached, or it has none, the others follow in
        the slot's order of all. The first of these is the one that its own zone asks,
        so that it passes the operation on to nobody.
        """
        ranked = rank_owners(owners, slot)
        own = tuple(sorted(ranked, key=lambda peer: peer.zone != zone))
        others = dict.fromkeys(peer.zone for peer in ranked if peer.zone != zone)
        lines = (tuple(p for p in ranked if p.zone == other) for other in others)
        return (own, *lines)


def rank_owners(owners: Sequence[Peer], slot: int) -> tuple[Peer, ...]:
    """Return the owners by a slot's own ranks, the same on all instances."""
    role = f"{ACCOUNTS} {slot}"
    return tuple(
        sorted(owners, key=lambda peer: compute_rank(role, peer.name), reverse=True)
    )


def make_all_lines(
    owners: Sequence[Peer], choice: SlotChoice, zone: str
) -> dict[int, tuple[Line, ...]]:
    """Return the lines of all slots, as an instance of a zone asks them."""
    return {slot: choice.make_lines(owners, slot, zone) for slot in range(SLOT_COUNT)}


class SpentNotes:
    """Which owners have lately refused an account's operations as over its limit.

    Parameters
    ----------
    seconds : callable
        The node's time.
    """

    def __init__(self, seconds: Callable[[], float]):
        self._seconds = seconds
        self._until: dict[str, dict[str, float]] = {}

    def knows(self, account: str) -> bool:
        """Return whether any owner has refused an account lately."""
        ends = self._until.get(account)
        return ends is not None and max(ends.values()) > self._seconds()

    def note(self, account: str, owner: str) -> None:
        """Take in that an owner has no right left for an account."""
        now = self._seconds()
        before = self._until.pop(account, {}).items()
        ends = {name: end for name, end in before if end > now}
        # The account that was noted longest ago stands first.
        self._until[account] = ends | {owner: now + SPENT_TIME}
        if len(self._until) > MOST_SPENT:
            del self._until[next(iter(self._until))]

    def choose(self, account: str, owners: Sequence[str]) -> str:
        """Return the owner to ask: the first that has not refused.

        If all have, the one that was so first: it has earned the most since then, and
        what it answers is final.
        """
        now = self._seconds()
        ends = self._until.get(account, {})
        times = [ends.get(owner, now) for owner in owners]
        fit = (name for name, end in zip(owners, times, strict=True) if end <= now)
        return next(fit, owners[times.index(min(times))])

    def has_other(self, account: str, owners: Sequence[str]) -> bool:
        """Return whether any of the owners has not refused lately."""
        now = self._seconds()
        ends = self._until.get(account, {})
        return any(ends.get(name, now) <= now for name in owners)
