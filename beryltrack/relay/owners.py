"""Placement: which instances open connections to the databases of a group.

A group is a primary and its replicas. The connection limit of a database applies to all
instances together. While the fleet is small compared to that limit, each instance opens
an even share of the connections. In a larger fleet only a few instances, the owners of
a group, open connections to its databases, and the others relay their statements
through an owner.

Each instance computes the owners by rendezvous hashing from the members that it knows,
without consensus. Views that differ for a while cost refused connections, but break no
guarantee.
"""

from collections.abc import Callable, Sequence
from itertools import chain
from typing import NamedTuple

from beryltrack.ranks import compute_rank
from beryltrack.settings.messages import Endpoint

RESERVED_CONNECTIONS = 2
"""Connections per database that are left unused, for those of an instance that is being
replaced."""

MIN_MEAN_SHARE = 2.5
"""Mean connections per instance below which not all instances open their own. With
fewer, an open transaction would often hold an instance's only connection."""

MIN_OWNERS = 2
"""Number of owners below which all instances open their own connections, if there is
one for each. All statements would pass through a single owner, mostly from other
availability zones, and all would wait if it were cut off or overloaded."""

MIN_OWNER_SHARE = 10
"""Minimum connections of an owner, including the one for control requests. With 5, idle
transactions held all connections of one owner while those of others were unused: 884 of
21,000 attempts were refused on 72 instances."""

MAX_OWNERS_PER_ZONE = 2
"""Maximum number of a group's owners per availability zone: one to use and one for when
it is lost. More would only divide the connections into smaller shares."""

STRONG_FRACTION = 0.5
"""Minimum capacity of an owner of accounts, as a fraction of the largest capacity, if
enough instances have it: all operations of accounts pass through a few owners."""

ACCOUNTS_ROLE = "accounts"
"""Rendezvous hashing key of the owners of accounts, in place of a group."""


class Peer(NamedTuple):
    """An instance as others see it.

    Parameters
    ----------
    name : str
        Its name.
    zone : str
        Its availability zone.
    relay_endpoint : Endpoint
        Where it accepts statements of other instances.
    cache_endpoint : Endpoint or None
        Where it serves cached copies of the store's objects; None if it does not.
    quota_endpoint : Endpoint or None
        Where it accepts other instances' quota shares of accounts; None if it does not.
    capacity : float
        Processor time that it may use, in cores.
    """

    name: str
    zone: str
    relay_endpoint: Endpoint
    cache_endpoint: Endpoint | None = None
    quota_endpoint: Endpoint | None = None
    capacity: float = 1.0


class Placement(NamedTuple):
    """The instances that open connections to the databases of a group.

    Parameters
    ----------
    owners : tuple of Peer
        The owners, highest rank first; empty if all instances own the group.
    share : int
        Connections of one owner to each database.
    favoured : frozenset of str
        Names of the instances with one connection more, which uses up the remainder.
    """

    owners: tuple[Peer, ...]
    share: int
    favoured: frozenset[str] = frozenset()

    def get_share(self, name: str) -> int:
        """Return how many connections an instance may open to each database."""
        return self.share + (name in self.favoured)


ChooseOwners = Callable[[str, Sequence[Peer], int], tuple[Peer, ...]]
"""Returns some of the instances as the owners of a group, highest rank first."""


def choose_owners(group: str, peers: Sequence[Peer], count: int) -> tuple[Peer, ...]:
    """Return `count` instances by rendezvous hashing, spread over the zones."""
    ranked = sorted(
        peers, key=lambda peer: compute_rank(group, peer.name), reverse=True
    )
    zones = dict.fromkeys(peer.zone for peer in ranked)
    by_zone = [[peer for peer in ranked if peer.zone == zone] for zone in zones]
    longest = max(map(len, by_zone), default=0)
    interleaved = chain.from_iterable(
        (zone_peers[index] for zone_peers in by_zone if index < len(zone_peers))
        for index in range(longest)
    )
    return tuple(interleaved)[:count]


def compute_placement(
    group: str,
    peers: Sequence[Peer],
    max_connections: int,
    min_instances: int = 1,
    choose: ChooseOwners = choose_owners,
) -> Placement:
    """Return the instances that open connections to the databases of a group.

    Parameters
    ----------
    group : str
        The group.
    peers : sequence of Peer
        All known instances.
    max_connections : int
        Connection limit of each database, for all instances together.
    min_instances : int
        Minimum number of instances to assume.
    choose : callable
        Chooses the owners.

    Returns
    -------
    Placement
        Owners by rendezvous hashing, over as many availability zones as possible.
    """
    usable = max(1, max_connections - RESERVED_CONNECTIONS)
    instances = max(len(peers), min_instances)
    zones = len({peer.zone for peer in peers})
    count = max(1, min(usable // MIN_OWNER_SHARE, zones * MAX_OWNERS_PER_ZONE))
    can_all_own = instances <= usable and count < MIN_OWNERS
    if can_all_own or instances * MIN_MEAN_SHARE <= usable or count >= len(peers):
        return _share_evenly(group, peers, usable, instances)
    return Placement(choose(group, peers, count), usable // count)


def _share_evenly(
    group: str, peers: Sequence[Peer], usable: int, instances: int
) -> Placement:
    """Return the placement in which all instances own a group."""
    share, remainder = divmod(usable, instances)
    ranked = sorted(
        (peer.name for peer in peers),
        key=lambda name: compute_rank(group, name),
        reverse=True,
    )
    return Placement((), max(1, share), frozenset(ranked[:remainder] if share else ()))


def choose_account_owners(
    peers: Sequence[Peer], smallest_limit: int
) -> tuple[Peer, ...]:
    """Return the instances that run all accounts' operations.

    They are the same for all groups, so that one instance counts an account's
    operations and has its connections. Instances of high capacity are preferred.
    """
    usable = max(1, smallest_limit - RESERVED_CONNECTIONS)
    zones = len({peer.zone for peer in peers})
    count = max(1, min(usable // MIN_OWNER_SHARE, zones * MAX_OWNERS_PER_ZONE))
    max_capacity = max((peer.capacity for peer in peers), default=0.0)
    strong = [peer for peer in peers if peer.capacity >= max_capacity * STRONG_FRACTION]
    eligible = strong if len(strong) >= count else peers
    return choose_owners(ACCOUNTS_ROLE, eligible, count)


def compute_account_share(max_connections: int, owners: Sequence[Peer]) -> int:
    """Return how many connections to a database each owner of accounts may open."""
    return max(1, (max_connections - RESERVED_CONNECTIONS) // max(1, len(owners)))


def order_owners(
    owners: Sequence[Peer], group: str, name: str, zone: str
) -> list[Peer]:
    """Return the owners in the order in which an instance asks them.

    Owners in its own zone come first, as traffic between zones is billed and slower.
    Among equals each instance has its own order, which spreads the load over owners.
    """
    return sorted(
        owners,
        key=lambda peer: (
            peer.zone != zone,
            compute_rank(f"{group}\0{name}", peer.name),
        ),
    )
