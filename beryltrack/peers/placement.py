"""Who does what among the members: neighbours, watchers and owners.

Every proxy works these out by itself from the members that it knows, with
`ranks`, so that nothing has to be agreed on. Views that differ for a while
cost a spare link or a spare owner, never correctness.
"""

from collections.abc import Sequence
from itertools import chain

from beryltrack.peers.messages import JOINED, PRESENT_STATES, Member
from beryltrack.ranks import compute_rank

RING_COUNT = 3
WATCHER_COUNT = 3
BASE_POLL_PERIOD = 10.0
BASE_FLEET_SIZE = 8


def get_neighbours(
    own_name: str, members: Sequence[Member], ring_count: int = RING_COUNT
) -> tuple[str, ...]:
    """Return the members to which this one opens links.

    The members are put in `ring_count` rings, each in its own random order, and
    a member opens a link to its successor in each. Such a graph is connected
    and has a diameter that grows with the logarithm of its size, and a member
    that comes or goes changes the links of its own neighbours only.

    Parameters
    ----------
    own_name : str
        Name of the member that asks.
    members : sequence of Member
        All members; those not present are left out.
    ring_count : int
        How many rings.

    Returns
    -------
    tuple of str
        At most `ring_count` names, without doubles and without the own.
    """
    names = [member.name for member in members if member.state in PRESENT_STATES]
    rings = (f"ring {number}" for number in range(ring_count))
    successors = (_get_successor(ring, own_name, names) for ring in rings)
    return tuple(dict.fromkeys(name for name in successors if name))


def get_watchers(
    members: Sequence[Member], count: int = WATCHER_COUNT
) -> tuple[str, ...]:
    """Return the members that watch the platform's store for all others.

    Parameters
    ----------
    members : sequence of Member
        All members; only those that have joined are chosen.
    count : int
        How many to choose.

    Returns
    -------
    tuple of str
        Names by rendezvous hashing, from as many availability zones as can be.
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
        How many members the group's connections can feed.

    Returns
    -------
    tuple of str
        Names by rendezvous hashing; all who have joined if they are few.
    """
    names = [member.name for member in members if member.state == JOINED]
    ranked = sorted(names, key=lambda name: compute_rank(group, name), reverse=True)
    return tuple(ranked[:count])


def compute_poll_period(member_count: int) -> float:
    """Return how often one member asks the platform by itself, seconds.

    The period grows with the fleet, so that the fleet's slow polls together
    stay at `BASE_FLEET_SIZE` / `BASE_POLL_PERIOD` calls a second.
    """
    return BASE_POLL_PERIOD * max(1.0, member_count / BASE_FLEET_SIZE)


def _get_successor(ring: str, own_name: str, names: list[str]) -> str | None:
    """Return who follows `own_name` in a ring, or None if nobody does."""
    own_rank = compute_rank(ring, own_name)
    ranked = [(compute_rank(ring, name), name) for name in names if name != own_name]
    later = [entry for entry in ranked if entry > (own_rank, own_name)]
    return min(later or ranked, default=(0, None))[1]
