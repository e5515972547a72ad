"""An instance's part in the groups: their owner, or a user of one.

The directory follows the members of the fleet and says through which instance the
next connection to a database goes. An owner that could not be reached is passed
over for a while.
"""

from collections.abc import Callable, Sequence

from beryltrack.relay.owners import Peer, Placement, compute_placement, order_owners

AVOID_TIME = 2.0
"""Seconds for which an owner that gave no connection is passed over. Shorter than the
8 s until the members tell that it is gone; a new attempt costs one connection."""


class RelayDirectory:
    """Says who owns each group, and which owner to ask next.

    Parameters
    ----------
    own : Peer
        This instance.
    seconds : callable
        The node's time.
    first_instances : int
        Instances to reckon with before the members are known.
    """

    def __init__(self, own: Peer, seconds: Callable[[], float], first_instances: int):
        self._own = own
        self._seconds = seconds
        self._first_instances = first_instances
        self._peers: tuple[Peer, ...] = (own,)
        self._is_known = False
        self._placements: dict[tuple[str, int], Placement] = {}
        self._avoided: dict[str, float] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all instances, this one among them."""
        return tuple(peer.name for peer in self._peers)

    def set_peers(self, peers: Sequence[Peer]) -> None:
        """Take all instances that are known."""
        others = (peer for peer in peers if peer.name != self._own.name)
        self._peers = tuple(sorted((self._own, *others)))
        self._is_known = True
        self._placements.clear()

    def get_placement(self, group: str, max_connections: int) -> Placement:
        """Return who owns a group."""
        key = (group, max_connections)
        placement = self._placements.get(key)
        if placement is None:
            alone = not self._is_known or len(self._peers) == 1
            least = self._first_instances if alone else 1
            placement = compute_placement(group, self._peers, max_connections, least)
            self._placements[key] = placement
        return placement

    def is_owner(self, group: str, max_connections: int) -> bool:
        """Return whether this instance opens connections of its own."""
        owners = self.get_placement(group, max_connections).owners
        return not owners or self._own in owners

    def get_candidates(self, group: str, max_connections: int) -> tuple[str, ...]:
        """Return the names of the instances that may act for a group."""
        owners = self.get_placement(group, max_connections).owners
        return tuple(peer.name for peer in owners) or self.names

    def choose_owner(self, group: str, max_connections: int) -> Peer | None:
        """Return the owner to ask next, None if this instance owns the group.

        If all are passed over, the one that was so first is asked again.
        """
        if self.is_owner(group, max_connections):
            return None
        owners = self.get_placement(group, max_connections).owners
        ordered = order_owners(owners, group, self._own.name, self._own.zone)
        now = self._seconds()
        fit = (each for each in ordered if now >= self._avoided.get(each.name, now))
        longest = min(ordered, key=lambda each: self._avoided.get(each.name, 0.0))
        return next(fit, longest)

    def avoid(self, name: str) -> None:
        """Pass over an owner for a while."""
        self._avoided[name] = self._seconds() + AVOID_TIME
