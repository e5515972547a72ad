"""Placement of roles on members: neighbours, watchers and owners.

Every proxy computes these from the members that it knows, by rendezvous hashing
(`beryltrack.ranks`), without any agreement. Views that differ for a while cost a
redundant link or owner, never correctness.
"""

from collections.abc import Sequence
from itertools import chain

from beryltrack.peers.messages import JOINED, PRESENT_STATES, Member
from beryltrack.ranks import compute_rank

RING_COUNT = 3
"""Rings of the overlay, and so links that each member opens."""

WATCHER_COUNT = 3
"""Members that watch the platform's store on behalf of the others."""

BASE_POLL_PERIOD = 10.0
"""Seconds between polls of one member in a fleet of up to `BASE_FLEET_SIZE`."""

BASE_FLEET_SIZE = 8


def get_neighbours(
    own_name: str, members: Sequence[Member], ring_count: int = RING_COUNT
) -> tuple[str, ...]:
    """Return the members to which a member opens links.

    The members form `ring_count` rings, each in its own hashed order, and a member
    opens a link to its successor in each ring. Such a graph is connected, its
    diameter grows with the logarithm of its size, and a member that joins or leaves
    changes only the links of its neighbours.

    Parameters
    ----------
    own_name : str
        Name of the member that opens the links.
    members : sequence of Member
        All members; those that are not present are left out.
    ring_count : int
        Number of rings.

    Returns
    -------
    tuple of str
        At most `ring_count` names, without duplicates and without `own_name`.
    """
    names = [member.name for member in members if member.state in PRESENT_STATES]
    rings = (f"ring {number}" for number in range(ring_count))
    successors = (_get_successor(ring, own_name, names) for ring in rings)
    return tuple(dict.fromkeys(name for name in successors if name))


def get_watchers(
    members: Sequence[Member], count: int = WATCHER_COUNT
) -> tuple[str, ...]:
    """Return the watchers: the members that watch the platform's store for all.

    Parameters
    ----------
    members : sequence of Member
        All members; only those that have joined are chosen.
    count : int
        Number of members to choose.

    Returns
    -------
    tuple of str
        Names by rendezvous hashing, from as many availability zones as possible.
    """
    joined = [member for member in members if member.state == JOINED]
    ranked = sorted(
        joined, key=lambda member: compute_rank("watcher", member.name), reverse=True
    )
    first_of_zones = list({member.zone: member for member in reversed(ranked)}.values())
    first_of_zones.sort(key=ranked.index)
    chosen = dict.fromkeys(member.name for member in chain(first_of_zones, ranked))
    return tuple(chosen)[:count]


def get_owners(group: str, members: Sequence[Member], count: int) -> tuple[str, ...]:
    """Return the members that own a group's connections, highest rank first.

    Parameters
    ----------
    group : str
        Name of the group.
    members : sequence of Member
        All members; only those that have joined are chosen.
    count : int
        Number of members among which the group's connections can be divided.

    Returns
    -------
    tuple of str
        Names by rendezvous hashing; all joined members if there are at most `count`.
    """
    names = [member.name for member in members if member.state == JOINED]
    ranked = sorted(names, key=lambda name: compute_rank(group, name), reverse=True)
    return tuple(ranked[:count])


def compute_poll_period(member_count: int) -> float:
    """Return the seconds between polls of the platform by one member.

    The period grows with the fleet, so that the polls of all members together
    stay at `BASE_FLEET_SIZE` / `BASE_POLL_PERIOD` calls per second.
    """
    return BASE_POLL_PERIOD * max(1.0, member_count / BASE_FLEET_SIZE)


def _get_successor(ring: str, own_name: str, names: list[str]) -> str | None:
    """Return the successor of `own_name` in a ring, or None if it is alone."""
    own_rank = compute_rank(ring, own_name)
    ranked = [(compute_rank(ring, name), name) for name in names if name != own_name]
    later = [entry for entry in ranked if entry > (own_rank, own_name)]
    return min(later or ranked, default=(0, None))[1]
