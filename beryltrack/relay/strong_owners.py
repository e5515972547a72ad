"""Capacity-weighted choice of a group's owners, by weighted rendezvous hashing.

With plain rendezvous hashing an instance of half a core owns as many groups as one of
two cores. Here an instance owns groups in proportion to its capacity, and one with a
small fraction of the largest capacity owns none while there are enough others. Each
group is placed independently, so that a loss moves only the lost instance's groups.
"""

import math
from collections import Counter
from collections.abc import Sequence

from beryltrack.ranks import compute_rank
from beryltrack.relay.owners import STRONG_FRACTION, Peer, choose_owners

RANKS = 2**64
"""Number of different ranks."""

MIN_STRONG_ZONES = 2
"""Minimum number of zones with strong instances for the weak ones to own nothing. With
fewer, the loss of one zone would lose all owners of all groups."""


def choose_strong_owners(
    group: str, peers: Sequence[Peer], count: int
) -> tuple[Peer, ...]:
    """Return `count` instances by their capacity, spread over the zones.

    If all have similar capacities the result is that of `choose_owners`.

    Parameters
    ----------
    group : str
        The group.
    peers : sequence of Peer
        All instances that are known.
    count : int
        Number of owners.
    """
    max_capacity = max((peer.capacity for peer in peers), default=0.0)
    strong = [peer for peer in peers if peer.capacity >= max_capacity * STRONG_FRACTION]
    if len(strong) == len(peers):
        return choose_owners(group, peers, count)
    has_enough = len(strong) >= count and _count_zones(strong) >= min(
        MIN_STRONG_ZONES, _count_zones(peers)
    )
    return _choose_by_score(group, strong if has_enough else peers, count)


def _count_zones(peers: Sequence[Peer]) -> int:
    """Return the number of zones that instances are in."""
    return len({peer.zone for peer in peers})


def compute_score(group: str, peer: Peer) -> float:
    """Return the score of an instance for a group, by weighted rendezvous hashing.

    The fraction of groups for which an instance has the highest score is its fraction
    of the total capacity.
    """
    fraction = (compute_rank(group, peer.name) + 0.5) / RANKS
    # Ranks next to the highest one would round to a fraction of 1, with a log of zero.
    return peer.capacity / -math.log(min(fraction, 1.0 - 1e-12))


def _choose_by_score(group: str, peers: Sequence[Peer], count: int) -> tuple[Peer, ...]:
    """Return the instances of the highest scores, within the zone limit if possible."""
    ranked = sorted(
        peers, key=lambda peer: (compute_score(group, peer), peer.name), reverse=True
    )
    zone_limit = _compute_zone_limit(Counter(peer.zone for peer in peers), count)
    count_by_zone: Counter[str] = Counter()
    chosen: list[Peer] = []
    for peer in ranked:
        if count_by_zone[peer.zone] < zone_limit:
            count_by_zone[peer.zone] += 1
            chosen.append(peer)
    remaining = (peer for peer in ranked if peer not in chosen)
    return (*chosen, *remaining)[:count]


def _compute_zone_limit(sizes: Counter[str], count: int) -> int:
    """Return the maximum number of a group's owners in one zone.

    This is an even share per zone, but with it the instances of a zone that has no more
    of them than that would own all groups. If larger zones can take over such a zone's
    share they may, and it owns groups in proportion to its capacity like them.
    """
    even_share = math.ceil(count / max(1, len(sizes)))
    large_zones = sum(1 for size in sizes.values() if size > even_share)
    return math.ceil(count / large_zones) if large_zones else even_share
