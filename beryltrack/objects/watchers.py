"""Which instances follow the store themselves, and which are told by those that do.

Each call to the store is counted, a waiting one too. 195 instances that each followed
three kinds of objects made 9,411 calls in 50 s, and 4,657 so. A few instances of each
availability zone, the watchers, ask the store; each of the others follows one of
them. Every instance works the watchers out by itself from the members that it knows:
views that differ cost a call more, or a link to one that has nothing to tell.
"""

from collections.abc import Mapping, Sequence

from beryltrack.ranks import compute_rank
from beryltrack.relay.owners import Peer, choose_owners
from beryltrack.settings.messages import Endpoint

WATCHERS_PER_ZONE = 3
"""Watchers of each availability zone: two may be lost at once, and its instances are
still told without bytes between zones, which are paid for."""

ROLE = "store watcher"
"""Sets the ranks of watchers apart from those of owners of groups."""


def choose_watchers(peers: Sequence[Peer], zone: str) -> tuple[Peer, ...]:
    """Return the watchers of a zone, highest rank first."""
    local = [peer for peer in peers if peer.zone == zone]
    return choose_owners(ROLE, local, WATCHERS_PER_ZONE)


def is_watcher(peers: Sequence[Peer], own: Peer) -> bool:
    """Return whether an instance is to ask the store itself."""
    return own.name in {peer.name for peer in choose_watchers(peers, own.zone)}


def order_sources(
    peers: Sequence[Peer], own: Peer, avoided: Mapping[str, float], now: float
) -> tuple[Peer, ...]:
    """Return whom an instance may follow, the best first.

    Parameters
    ----------
    peers : sequence of Peer
        All instances that are known.
    own : Peer
        The instance that asks.
    avoided : mapping of str to float
        Until when others are passed over, by name.
    now : float
        The current time, seconds.

    Returns
    -------
    tuple of Peer
        Watchers of its own zone before those of others: the store may have turned all
        of one zone away. Among equals each instance has an order of its own.
    """
    zones = sorted({peer.zone for peer in peers})
    watchers = [
        peer
        for zone in zones
        for peer in choose_watchers(peers, zone)
        if peer.name != own.name and peer.cache_endpoint is not None
    ]
    fit = (peer for peer in watchers if now >= avoided.get(peer.name, now))
    return tuple(
        sorted(
            fit,
            key=lambda peer: (
                peer.zone != own.zone,
                compute_rank(f"{ROLE}\0{own.name}", peer.name),
            ),
        )
    )


def list_seeds(
    places: Sequence[Endpoint],
    peers: Sequence[Peer],
    avoided: Mapping[str, float],
    now: float,
) -> tuple[Peer, ...]:
    """Return whom an instance may follow that is not known as a member.

    An instance that the store turns away at its start has heard of no members, or of
    too few, and would be told by nobody.

    Parameters
    ----------
    places : sequence of Endpoint
        Where instances may tell what the store holds, by the settings file.
    peers : sequence of Peer
        All instances that are known; their places are left out.
    avoided : mapping of str to float
        Until when others are passed over, by name; a seed's is its address.
    now : float
        The current time, seconds.
    """
    known = {peer.cache_endpoint for peer in peers}
    seeds = (
        Peer(f"{place.host}:{place.port}", "", place, place)
        for place in places
        if place not in known
    )
    return tuple(seed for seed in seeds if now >= avoided.get(seed.name, now))
