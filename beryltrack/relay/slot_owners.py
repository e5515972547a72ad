"""Policies for the owners that count and run operations, by account hash slot.

With one owner in the whole fleet an account's connections and its limit are in one
place, but most operations cross availability zones to reach it. With one owner in each
zone an operation stays in its zone. Each zone's owner then holds the quota shares of
the zone's instances. When these are used up, the operation goes to an owner in another
zone while the shares stay where they are, so that the limit still holds.
docs/notes/quota.md gives the reasons and the costs of both policies.
"""

from collections.abc import Callable, Sequence
from typing import Protocol

from beryltrack.accounts.slots import SLOT_COUNT
from beryltrack.ranks import compute_rank
from beryltrack.relay.owners import ACCOUNTS_ROLE, Peer

REFUSAL_RETENTION = 0.2
"""Seconds for which an owner that refused an account's operation as over its limit is
tried last. In that time an account of 10 operations a second earns a third of a token
in a zone."""

MAX_REFUSED_ACCOUNTS = 1024
"""Accounts whose refusals are kept; the least recently refused are dropped."""

PreferenceList = tuple[Peer, ...]
"""Owners by preference: the first one that is reachable counts a slot's accounts."""


class SlotOwnerPolicy(Protocol):
    """Chooses the owners that count a slot's accounts, as one instance asks them."""

    def make_preference_lists(
        self, owners: Sequence[Peer], slot: int, zone: str
    ) -> tuple[PreferenceList, ...]:
        """Return the preference lists of owners, starting with the one to use first.

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
    """One owner per slot in the whole fleet."""

    def make_preference_lists(
        self, owners: Sequence[Peer], slot: int, zone: str
    ) -> tuple[PreferenceList, ...]:
        """Return one preference list, the same for all zones."""
        return (rank_owners(owners, slot),)


class ZoneOwners:
    """One owner per slot in each zone that has owners."""

    def make_preference_lists(
        self, owners: Sequence[Peer], slot: int, zone: str
    ) -> tuple[PreferenceList, ...]:
        """Return the zone's preference list, then those of the other zones by rank.

        The zone's list starts with its own owners. The owners of other zones follow in
        the slot's overall order, for a zone that has no owners or reaches none of them.
        The first of these is also the first choice of its own zone, so that it does not
        relay the operation again.
        """
        ranked = rank_owners(owners, slot)
        own = tuple(sorted(ranked, key=lambda peer: peer.zone != zone))
        others = dict.fromkeys(peer.zone for peer in ranked if peer.zone != zone)
        lists = (tuple(p for p in ranked if p.zone == other) for other in others)
        return (own, *lists)


def rank_owners(owners: Sequence[Peer], slot: int) -> tuple[Peer, ...]:
    """Return the owners by rendezvous hashing of a slot, the same on all instances."""
    role = f"{ACCOUNTS_ROLE} {slot}"
    return tuple(
        sorted(owners, key=lambda peer: compute_rank(role, peer.name), reverse=True)
    )


def make_all_preference_lists(
    owners: Sequence[Peer], policy: SlotOwnerPolicy, zone: str
) -> dict[int, tuple[PreferenceList, ...]]:
    """Return the preference lists of all slots for an instance of a zone."""
    return {
        slot: policy.make_preference_lists(owners, slot, zone)
        for slot in range(SLOT_COUNT)
    }


class QuotaRefusals:
    """The owners that have recently refused operations as over an account's limit.

    Parameters
    ----------
    seconds : callable
        The instance's time.
    """

    def __init__(self, seconds: Callable[[], float]):
        self._seconds = seconds
        self._until: dict[str, dict[str, float]] = {}

    def has_refusals(self, account: str) -> bool:
        """Return whether any owner has refused an account recently."""
        ends = self._until.get(account)
        return ends is not None and max(ends.values()) > self._seconds()

    def record(self, account: str, owner: str) -> None:
        """Record that an owner has no quota left for an account."""
        now = self._seconds()
        before = self._until.pop(account, {}).items()
        ends = {name: end for name, end in before if end > now}
        # Insertion order: the least recently refused account comes first.
        self._until[account] = ends | {owner: now + REFUSAL_RETENTION}
        if len(self._until) > MAX_REFUSED_ACCOUNTS:
            del self._until[next(iter(self._until))]

    def choose(self, account: str, owners: Sequence[str]) -> str:
        """Return the owner to ask: the first that has not refused recently.

        If all have, it is the one that refused first: it has earned the most tokens
        since then, and its answer is final.
        """
        now = self._seconds()
        ends = self._until.get(account, {})
        times = [ends.get(owner, now) for owner in owners]
        available = (
            name for name, end in zip(owners, times, strict=True) if end <= now
        )
        return next(available, owners[times.index(min(times))])

    def has_available(self, account: str, owners: Sequence[str]) -> bool:
        """Return whether any of the owners has not refused recently."""
        now = self._seconds()
        ends = self._until.get(account, {})
        return any(ends.get(name, now) <= now for name in owners)
