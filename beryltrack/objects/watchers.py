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
        if peer.name != own.name and peer.copies is not None
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
