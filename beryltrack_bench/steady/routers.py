"""The ways to route reads that are compared: the product's and two baselines."""

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
        When its session's last write was acknowledged, at whatever proxy;
        minus infinity if it has written nothing. The product does not see it.
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
        """Return where a read runs, or what has to happen first."""


class ProductRouter(NamedTuple):
    """The decider of the product.

    Parameters
    ----------
    policy : RoutingPolicy
        Its limits.
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

    It has no proof of ages and cannot tell what an unknown session has written,
    so reads that must be current go to the primary, and a stated staleness is
    taken for granted.

    Parameters
    ----------
    window : float
        That time, seconds.
    """

    window: float

    def choose(
        self,
        view: GroupView,
        arrival: Arrival,
        loads: tuple[TargetLoad, ...],
        now: float,
    ) -> Choice:
        """Return the primary, or else the replica with the least work."""
        request = arrival.request
        is_sticky = now - arrival.written_at < self.window
        if is_sticky or request.token is None or request.max_age == 0.0:
            return UseTarget(view.primary, False)
        turn = request.sequence % len(loads)
        replicas = [
            load
            for load in loads[turn:] + loads[:turn]
            if load.database != view.primary
        ]
        return UseTarget(min(replicas, key=_rank(request.zone)).database, True)


def _rank(zone: str):
    """Return a key by the queue, the zone and the work of a database."""
    return lambda load: (
        load.outstanding // load.limit,
        load.zone != zone,
        load.outstanding,
    )
