"""Which instances own a group where some can carry far more than others.

By rendezvous hashing alone an instance of half a core owns as many groups as one of two
cores. Here an instance owns groups by its capacity, and one of a small part of the
largest capacity owns none while enough others stand by. Each group is placed by itself,
so that a loss moves the groups of the lost instance only.
"""

import math
from collections import Counter
from collections.abc import Sequence

from beryltrack.ranks import compute_rank
from beryltrack.relay.owners import STRONG_PART, Peer, choose_owners

RANKS = 2**64
"""Number of ranks."""

LEAST_ZONES = 2
"""Zones in which the strong instances are at the least where the weak ones own nothing.
With fewer, all owners of all groups would be lost together with a zone."""


def choose_strong_owners(
    group: str, peers: Sequence[Peer], count: int
) -> tuple[Peer, ...]:
    """Return `count` instances by their capacity, spread over the zones.

    Where all can carry about as much as each other they are those of `choose_owners`.

    Parameters
    ----------
    group : str
        The group.
    peers : sequence of Peer
        All instances that are known.
    count : int
        How many are to own the group.
    """
    most = max((peer.capacity for peer in peers), default=0.0)
    strong = [peer for peer in peers if peer.capacity >= most * STRONG_PART]
    if len(strong) == len(peers):
        return choose_owners(group, peers, count)
    is_enough = len(strong) >= count and _count_zones(strong) >= min(
        LEAST_ZONES, _count_zones(peers)
    )
    return _choose_by_score(group, strong if is_enough else peers, count)


def _count_zones(peers: Sequence[Peer]) -> int:
    """Return in how many zones instances are."""
    return len({peer.zone for peer in peers})


def compute_score(group: str, peer: Peer) -> float:
    """Return the score of an instance for a group, by weighted rendezvous hashing.

    The part of all groups for which it is the highest is the instance's part of the
    capacity of all.
    """
    fraction = (compute_rank(group, peer.name) + 0.5) / RANKS
    # Ranks next to the highest one are rounded up to it.
    return peer.capacity / -math.log(min(fraction, 1.0 - 1e-12))


def _choose_by_score(group: str, peers: Sequence[Peer], count: int) -> tuple[Peer, ...]:
    """Return the highest scores, from no zone more than its bound while others can."""
    ranked = sorted(
        peers, key=lambda peer: (compute_score(group, peer), peer.name), reverse=True
    )
    bound = _compute_bound(Counter(peer.zone for peer in peers), count)
    taken: Counter[str] = Counter()
    chosen: list[Peer] = []
    for peer in ranked:
        if taken[peer.zone] < bound:
            taken[peer.zone] += 1
            chosen.append(peer)
    rest = (peer for peer in ranked if peer not in chosen)
    return (*chosen, *rest)[:count]


def _compute_bound(sizes: Counter[str], count: int) -> int:
    """Return the most owners of a group in one zone.

    An even part for each zone; but a zone with no more instances than that would have
    them own all groups. Where other zones can take its part they may, and it owns
    groups by its capacity like them.
    """
    even = math.ceil(count / max(1, len(sizes)))
    large = sum(1 for size in sizes.values() if size > even)
    return math.ceil(count / large) if large else even
