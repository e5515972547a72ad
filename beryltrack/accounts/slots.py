"""Accounts in a fixed number of slots, so that instances can speak of many at once.

An instance that lends its rights to another one names slots instead of accounts: the
message has the same size for ten accounts and for ten thousand, and needs no names.
"""

from collections.abc import Iterable, Iterator

from beryltrack.ranks import compute_rank

SLOT_COUNT = 64
"""Slots of accounts: more than the instances that own connections, so that each of
those has some, and few enough for one number of a message."""

ALL_SLOTS = (1 << SLOT_COUNT) - 1
"""The set of all slots; a set of slots is a number with a bit for each."""


def get_slot(account: str) -> int:
    """Return the slot of an account, the same on all instances."""
    return compute_rank("account", account) % SLOT_COUNT


def make_slot_set(slots: Iterable[int]) -> int:
    """Return the set of some slots."""
    return sum(1 << slot for slot in set(slots))


def has_slot(slots: int, slot: int) -> bool:
    """Return whether a slot is in a set."""
    return bool(slots >> slot & 1)


def list_slots(slots: int) -> Iterator[int]:
    """Return the slots of a set, the lowest first."""
    return (slot for slot in range(SLOT_COUNT) if has_slot(slots, slot))
