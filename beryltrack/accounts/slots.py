"""Account hash slots: a fixed number of buckets that account names are hashed into.

Instances that lend quota shares name slots instead of accounts, so a message has the
same size for ten accounts and for ten thousand, and contains no names. A set of slots
is an integer with one bit per slot.
"""

from collections.abc import Iterable, Iterator

from beryltrack.ranks import compute_rank

SLOT_COUNT = 64
"""Number of slots: more than the instances that own connections, so that each of those
gets some, and few enough for a set of slots to fit into one integer of a message."""

ALL_SLOTS = (1 << SLOT_COUNT) - 1
"""The set of all slots."""


def get_slot(account: str) -> int:
    """Return the slot of an account, the same on all instances."""
    return compute_rank("account", account) % SLOT_COUNT


def make_slot_set(slots: Iterable[int]) -> int:
    """Return the set of some slots as a bit mask."""
    return sum(1 << slot for slot in set(slots))


def has_slot(slots: int, slot: int) -> bool:
    """Return whether a slot is in a set."""
    return bool(slots >> slot & 1)


def list_slots(slots: int) -> Iterator[int]:
    """Return the slots of a set in ascending order."""
    return (slot for slot in range(SLOT_COUNT) if has_slot(slots, slot))
