"""Chooses watchers: the instances that watch the store on behalf of the others.

The store counts each call, also a watch that waits. 195 instances that each watched
three kinds of objects made 9,411 calls in 50 s, with watchers 4,657. A watcher, one of
a few instances in each availability zone, calls the store; the others are its
followers. Every instance computes the watchers by rendezvous hashing over the members
that it knows: views that differ cost an additional call, or a link to an instance that
has no updates.
"""

from collections.abc import Mapping, Sequence

from beryltrack.ranks import compute_rank
from beryltrack.relay.owners import Peer, choose_owners
from beryltrack.settings.messages import Endpoint

WATCHERS_PER_ZONE = 3
"""Watchers of each availability zone: if two are lost at once, its instances are still
updated without traffic between zones, which is charged for."""

ROLE = "store watcher"
"""Hash salt that makes the ranks of watchers independent of those of owners."""


def choose_watchers(peers: Sequence[Peer], zone: str) -> tuple[Peer, ...]:
    """Return the watchers of a zone, highest rank first."""
    local = [peer for peer in peers if peer.zone == zone]
    return choose_owners(ROLE, local, WATCHERS_PER_ZONE)


def is_watcher(peers: Sequence[Peer], own: Peer) -> bool:
    """Return whether an instance is a watcher of its zone."""
    return own.name in {peer.name for peer in choose_watchers(peers, own.zone)}


def order_sources(
    peers: Sequence[Peer], own: Peer, avoided: Mapping[str, float], now: float
) -> tuple[Peer, ...]:
    """Return the watchers that an instance may follow, the best first.

    Parameters
    ----------
    peers : sequence of Peer
        All instances that are known.
    own : Peer
        The instance that looks for a watcher.
    avoided : mapping of str to float
        Until when each avoided instance is skipped, by name.
    now : float
        The current time, seconds.

    Returns
    -------
    tuple of Peer
        Watchers of its own zone before those of others, as the store may refuse all
        watchers of one zone. Within a zone each instance has its own hashed order.
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
    endpoints: Sequence[Endpoint],
    peers: Sequence[Peer],
    avoided: Mapping[str, float],
    now: float,
) -> tuple[Peer, ...]:
    """Return the seeds that an instance may follow: those not known as members.

    An instance that the store refuses at its start knows no members, or too few, and
    could follow no watcher.

    Parameters
    ----------
    endpoints : sequence of Endpoint
        Where instances may publish their copies, from the settings file.
    peers : sequence of Peer
        All instances that are known; their endpoints are left out.
    avoided : mapping of str to float
        Until when each avoided instance is skipped, by name; a seed's name is its
        address.
    now : float
        The current time, seconds.
    """
    known = {peer.cache_endpoint for peer in peers}
    seeds = (
        Peer(f"{endpoint.host}:{endpoint.port}", "", endpoint, endpoint)
        for endpoint in endpoints
        if endpoint not in known
    )
    return tuple(seed for seed in seeds if now >= avoided.get(seed.name, now))
