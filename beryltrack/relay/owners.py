"""Which instances open connections to the databases of a group.

A database counts its connections over all instances. While the fleet is small
beside that limit each instance opens its own, an even share of them. In a larger
fleet a few instances, the owners of a group, open connections, and the others send
their statements through an owner. Owners are worked out by each instance from the
members that it knows: nothing is agreed on. Views that differ for a while cost a
refused connection, never a promise.
"""

from collections.abc import Callable, Sequence
from itertools import chain
from typing import NamedTuple

from beryltrack.ranks import compute_rank
from beryltrack.settings.messages import Endpoint

RESERVED = 2
"""Connections that no instance uses, for those of an instance that is replaced."""

LEAST_SHARE = 2.5
"""Connections for each instance, on average, below which not all open their own. With
fewer, an open transaction would often hold an instance's only connection."""

LEAST_OWNERS = 2
"""Owners below which all instances open their own connections, if there is one for
each. All statements would pass through a single owner, mostly from other availability
zones, and all would wait where it is cut off or overloaded."""

OWNER_SHARE = 10
"""Least connections of an owner, the one for control requests among them. With 5,
transactions that rest held all of an owner's connections while those of others were
idle: 884 of 21,000 tries were refused on 72 instances."""

OWNERS_PER_ZONE = 2
"""Most owners of a group in each availability zone: one to use, one to go to when it
is lost. More would only cut the connections into smaller shares."""


STRONG_PART = 0.5
"""Part of the largest capacity that an owner of accounts has at the least, where enough
instances have it: all that accounts ask for passes through a few owners."""

ACCOUNTS = "accounts"
"""What owners of accounts are chosen for."""


class Peer(NamedTuple):
    """An instance as others see it.

    Parameters
    ----------
    name : str
        Its name.
    zone : str
        Its availability zone.
    relay_endpoint : Endpoint
        Where it takes the statements of others.
    cache_endpoint : Endpoint or None
        Where it tells others what the store holds; None if it does not.
    quota_endpoint : Endpoint or None
        Where it takes the rights of others to run accounts' operations.
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
    """Who opens connections to the databases of a group.

    Parameters
    ----------
    owners : tuple of Peer
        The owners, highest rank first; empty if all instances own the group.
    share : int
        Connections of one owner to each database.
    favoured : frozenset of str
        Names of the instances that have one more, where no even share uses up all.
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
    in_turn = chain.from_iterable(
        (line[turn] for line in by_zone if turn < len(line)) for turn in range(longest)
    )
    return tuple(in_turn)[:count]


def compute_placement(
    group: str,
    peers: Sequence[Peer],
    max_connections: int,
    least_instances: int = 1,
    choose: ChooseOwners = choose_owners,
) -> Placement:
    """Return who opens connections to the databases of a group.

    Parameters
    ----------
    group : str
        The group.
    peers : sequence of Peer
        All instances that are known.
    max_connections : int
        Most connections to each database, of all instances together.
    least_instances : int
        How many instances to reckon with at the least.
    choose : callable
        Chooses the owners.

    Returns
    -------
    Placement
        Owners by rendezvous hashing, from as many availability zones as can be.
    """
    usable = max(1, max_connections - RESERVED)
    instances = max(len(peers), least_instances)
    zones = len({peer.zone for peer in peers})
    count = max(1, min(usable // OWNER_SHARE, zones * OWNERS_PER_ZONE))
    can_all_own = instances <= usable and count < LEAST_OWNERS
    if can_all_own or instances * LEAST_SHARE <= usable or count >= len(peers):
        return _share_evenly(group, peers, usable, instances)
    return Placement(choose(group, peers, count), usable // count)


def _share_evenly(
    group: str, peers: Sequence[Peer], usable: int, instances: int
) -> Placement:
    """Return the placement in which all own a group; some have one connection more."""
    share, rest = divmod(usable, instances)
    ranked = sorted(
        (peer.name for peer in peers),
        key=lambda name: compute_rank(group, name),
        reverse=True,
    )
    return Placement((), max(1, share), frozenset(ranked[:rest] if share else ()))


def choose_account_owners(
    peers: Sequence[Peer], least_connections: int
) -> tuple[Peer, ...]:
    """Return the instances that run all accounts' operations.

    They are the same for all groups, so that one instance counts an account's
    operations, and has its connections. Those that can carry the most are taken first.
    """
    usable = max(1, least_connections - RESERVED)
    zones = len({peer.zone for peer in peers})
    count = max(1, min(usable // OWNER_SHARE, zones * OWNERS_PER_ZONE))
    most = max((peer.capacity for peer in peers), default=0.0)
    strong = [peer for peer in peers if peer.capacity >= most * STRONG_PART]
    fit = strong if len(strong) >= count else peers
    return choose_owners(ACCOUNTS, fit, count)


def compute_account_share(max_connections: int, owners: Sequence[Peer]) -> int:
    """Return how many connections to a database each owner of accounts may open."""
    return max(1, (max_connections - RESERVED) // max(1, len(owners)))


def order_owners(
    owners: Sequence[Peer], group: str, name: str, zone: str
) -> list[Peer]:
    """Return the owners in the order in which an instance asks them.

    Those of its own zone first, as bytes between zones are paid for and late; among
    equals each instance has an order of its own, so that owners share the load.
    """
    return sorted(
        owners,
        key=lambda peer: (
            peer.zone != zone,
            compute_rank(f"{group}\0{name}", peer.name),
        ),
    )
