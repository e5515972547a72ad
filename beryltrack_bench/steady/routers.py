"""The read routing policies that are compared: the product's and two baselines."""

from typing import NamedTuple, Protocol

from beryltrack.groups.view import GroupView
from beryltrack.routing.decider import RoutingPolicy, choose_target
from beryltrack.routing.messages import Choice, ReadRequest, TargetLoad, UseTarget


class Arrival(NamedTuple):
    """A read that a proxy has to route.

    Parameters
    ----------
    request : ReadRequest
        The read, as the product sees it.
    written_at : float
        When the last write of its session was acknowledged by any proxy; minus
        infinity if it has written nothing. The product does not use it.
    """

    request: ReadRequest
    written_at: float


class Router(Protocol):
    """Chooses the database for a read."""

    def choose(
        self,
        view: GroupView,
        arrival: Arrival,
        loads: tuple[TargetLoad, ...],
        now: float,
    ) -> Choice:
        """Return where a read runs, or what must happen first."""


class ProductRouter(NamedTuple):
    """The product's routing decider.

    Parameters
    ----------
    policy : RoutingPolicy
        Its policy.
    """

    policy: RoutingPolicy

    def choose(
        self,
        view: GroupView,
        arrival: Arrival,
        loads: tuple[TargetLoad, ...],
        now: float,
    ) -> Choice:
        """Return the product's choice."""
        return choose_target(view, arrival.request, loads, now, self.policy)


class PrimaryRouter(NamedTuple):
    """Sends every read to the primary."""

    def choose(
        self,
        view: GroupView,
        arrival: Arrival,
        loads: tuple[TargetLoad, ...],
        now: float,
    ) -> Choice:
        """Return the primary."""
        return UseTarget(view.primary, False)


class StickyRouter(NamedTuple):
    """Sends a session's reads to the primary for a fixed time after its write.

    It has no proof of how stale a replica is, and does not know what a session
    without a token has written. So reads that must be current go to the primary, and
    replicas are assumed to satisfy any accepted staleness.

    Parameters
    ----------
    window : float
        Time after a write, seconds.
    """

    window: float

    def choose(
        self,
        view: GroupView,
        arrival: Arrival,
        loads: tuple[TargetLoad, ...],
        now: float,
    ) -> Choice:
        """Return the primary, or the replica with the shortest queue."""
        request = arrival.request
        is_sticky = now - arrival.written_at < self.window
        if is_sticky or request.token is None or request.max_age == 0.0:
            return UseTarget(view.primary, False)
        start = request.sequence % len(loads)
        replicas = [
            load
            for load in loads[start:] + loads[:start]
            if load.database != view.primary
        ]
        return UseTarget(min(replicas, key=_rank(request.zone)).database, True)


def _rank(zone: str):
    """Return a sort key: queue length, then zone, then outstanding statements."""
    return lambda load: (
        load.outstanding // load.limit,
        load.zone != zone,
        load.outstanding,
    )
