"""Which of the replicas that may serve a read is the best one for it.

Where nothing is known of the databases' load they are ranked by this node's own work
there. Where owners tell of it, by the time in which a read is expected to be done.
"""

from collections.abc import Callable, Sequence

import xxhash

from beryltrack.groups.view import DatabaseView
from beryltrack.load.messages import OwnerLoads
from beryltrack.ranks import compute_rank
from beryltrack.routing.messages import ReadRequest, TargetLoad
from beryltrack.routing.policy import RoutingPolicy

FAR_PRICE = 1.0
"""What a database that is far, or not an account's own, costs, in statements' times: a
round trip between zones, or a new connection, is about one."""

SPREAD = 2.0
"""Most that is added to a database's time by chance, by the longest wait of all that
may serve a read. Nothing while none waits, so that idle databases are used by their
distance alone. Reads of 40 simulated nodes waited 0.029 s on average with it, 0.045 s
without."""

USUAL_WORK = 0.02
"""Seconds of a statement where none is known of any database."""

HASHES = 2**64

IsFar = Callable[[TargetLoad], bool]
Rank = tuple[float, ...]
"""The lowest one is the best; ranks of one read alone are compared."""

Ranking = Callable[[str], Rank]


def add_outlook(
    loads: Sequence[TargetLoad], owner_loads: OwnerLoads, owner: str, priority: int
) -> tuple[TargetLoad, ...]:
    """Return loads with what is known of the databases through an owner.

    Parameters
    ----------
    loads : sequence of TargetLoad
        This node's own work.
    owner_loads : OwnerLoads
        What owners have told.
    owner : str
        The owner through which the read would go; empty for none.
    priority : int
        The read's priority.
    """
    return tuple(
        load._replace(
            wait=owner_loads.get_wait(owner, load.database, priority),
            work=owner_loads.get_service_time(load.database),
        )
        for load in loads
    )


def _get_load(loads: tuple[TargetLoad, ...], database: str) -> TargetLoad:
    """Return this node's work at a database."""
    for load in loads:
        if load.database == database:
            return load
    return TargetLoad(database, "", 0, 1)


def pick_replica(
    ready: list[DatabaseView],
    request: ReadRequest,
    loads: tuple[TargetLoad, ...],
    policy: RoutingPolicy,
) -> str:
    """Return the replica with the least work, a near one before a far one."""
    if len(ready) == 1:
        return ready[0].name
    turn = request.sequence % len(ready)
    rank = make_ranking(ready, request, loads, policy)
    ranked = (
        (
            rank(item.name),
            place,
            item.name,
        )
        for place, item in enumerate(ready[turn:] + ready[:turn])
    )
    return min(ranked)[-1]


def make_ranking(
    replicas: list[DatabaseView],
    request: ReadRequest,
    loads: tuple[TargetLoad, ...],
    policy: RoutingPolicy,
) -> Ranking:
    """Return what ranks the replicas of a read by their names."""
    is_far = _make_distance(replicas, request, loads, policy)
    places = {item.name: _get_load(loads, item.name) for item in replicas}
    works = [load.work for load in places.values() if load.work > 0.0]
    longest = max((load.wait for load in places.values()), default=0.0)
    if not policy.ranks_by_time or not (works or longest):
        return lambda name: _rank_by_work(places[name], is_far)
    usual = sum(works) / len(works) if works else USUAL_WORK

    def rank(name: str) -> Rank:
        chance = SPREAD * longest * _draw(request, name)
        return _rank_by_time(places[name], usual, chance, is_far)

    return rank


def _make_distance(
    replicas: list[DatabaseView],
    request: ReadRequest,
    loads: tuple[TargetLoad, ...],
    policy: RoutingPolicy,
) -> IsFar:
    """Return what says of a database that another one is preferred for a read.

    An account's read runs on a connection of its owner, so that the bytes of its answer
    cross zones on the way from the database too, unless that is in the owner's zone.
    """
    if request.account and policy.prefers_account_replica and replicas:
        names = [item.name for item in replicas]
        near = [n for n in names if _get_load(loads, n).zone == request.via_zone]
        fit = near if near and policy.prefers_near and request.via_zone else names
        own = max(fit, key=lambda name: compute_rank(request.account, name))
        return lambda load: load.database != own
    zone = request.via_zone or request.zone
    return lambda load: policy.prefers_near and load.zone != zone


def _rank_by_work(load: TargetLoad, is_far: IsFar) -> Rank:
    """Return the rank of a database by its queue, its work and its distance.

    A far database counts as if it had one request more, since a request there
    costs about as much more as one that waits for a slot.
    """
    far = is_far(load)
    return _count_rounds(load), load.outstanding + far, far


def _rank_by_time(load: TargetLoad, usual: float, chance: float, is_far: IsFar) -> Rank:
    """Return the rank of a database by the time until a read is done there.

    What owners tell is as old as their last message, and this node's own requests are
    in it in part: the longer of the two waits counts. `usual` is the time of a
    statement where a database's is not known. `chance` is of the read's own: many nodes
    are told the same, and would turn to the best place together.
    """
    work = load.work or usual
    wait = max(load.wait, _count_rounds(load) * work)
    far = is_far(load)
    return wait + work + FAR_PRICE * far * usual + chance, far


def _count_rounds(load: TargetLoad) -> int:
    """Return how often the node's own requests fill what it may run there at once."""
    return load.outstanding // max(load.limit, 1)


def _draw(request: ReadRequest, database: str) -> float:
    """Return a number from 0 to 1 for a read at a database, always the same one."""
    text = f"{request.sequence} {request.arrived_at!r} {database}"
    return xxhash.xxh64_intdigest(text.encode()) / HASHES
