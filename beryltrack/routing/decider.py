"""The choice of the database that runs a request.

The choice is a pure function of the group's view, the request and the work
outstanding at each database. A database serves a read if it provably shows all
that the session has written, and all that was acknowledged before the *needed
time*: the arrival of the request less the staleness that it accepts. For a
session of which nothing is known the needed time is the arrival, whatever it
accepts, since any earlier write may be its own. docs/notes/routing.md weighs
these rules.
"""

from collections.abc import Callable
from typing import NamedTuple

from beryltrack.groups.messages import NO_POSITION, REPLICA, LogPosition
from beryltrack.groups.view import (
    NEVER,
    DatabaseView,
    GroupView,
    get_primary,
    has_applied,
)
from beryltrack.ranks import compute_rank
from beryltrack.routing.messages import (
    AwaitedTarget,
    Choice,
    NeedSample,
    ReadRequest,
    Refuse,
    TargetLoad,
    UseTarget,
    WaitForTarget,
    WriteRequest,
)
from beryltrack.sessions.marks import READS_PRIMARY

NOT_AVAILABLE = "57P03"
"""SQLSTATE of a request that was not run as no database could take it."""


class RoutingPolicy(NamedTuple):
    """The limits by which targets are chosen.

    Parameters
    ----------
    max_wait : float
        Longest wait for a replica to catch up, seconds, counted from the arrival
        of the read, so that a wait for a sample is a part of it. Zero: no wait.
    stalled_after : float
        A replica that has been behind for longer is not waited for, seconds.
    most_awaited : int
        Replicas that are waited for at once; the first that is ready serves.
    refresh_share : float
        Part of the accepted staleness after which ages are proven anew.
    sample_timeout : float
        Longest wait for a sample of the primary, seconds.
    confirmed_within : float
        A write is sent without a new confirmation of the primary's term if the
        last one is not older than this, seconds. It only spares requests that
        cannot succeed: what a replaced primary runs is never acknowledged.
    retry_after : float
        Seconds after which a caller is told to try again.
    checks_positions : bool
        True if databases check themselves whether they show a position, so that
        a replica can be tried without a proof of what it shows.
    usual_lag : float
        Seconds after which replicas usually show a write. A replica is not tried
        for a write that is younger.
    lagging_pause : float
        Seconds for which a replica that was behind is not tried.
    samples_position : bool
        False where others than the primary confirm its term. They alone are asked
        then: the primary holds whatever was acknowledged in its term.
    prefers_near : bool
        True if replicas of the node's own availability zone are preferred.
    prefers_own : bool
        True if the reads of an account prefer one replica instead: connections belong
        to accounts, and a new one costs as much as a read. It is one of the zone of the
        instance that runs them, if there is one and `prefers_near` holds; else the same
        one on all nodes.
    """

    max_wait: float = 0.0055
    stalled_after: float = 0.3
    most_awaited: int = 2
    refresh_share: float = 0.5
    sample_timeout: float = 1.0
    confirmed_within: float = 0.5
    retry_after: float = 0.2
    checks_positions: bool = False
    usual_lag: float = 0.2
    lagging_pause: float = 0.3
    samples_position: bool = True
    prefers_near: bool = True
    prefers_own: bool = True


DEFAULT_POLICY = RoutingPolicy()


class _Candidate(NamedTuple):
    """A replica that can serve a read once it has applied a position."""

    lag: float
    rank: tuple[int, int, bool]
    target: AwaitedTarget


def choose_target(
    view: GroupView,
    request: ReadRequest | WriteRequest,
    loads: tuple[TargetLoad, ...],
    now: float,
    policy: RoutingPolicy = DEFAULT_POLICY,
) -> Choice:
    """Return where a request is to run, or what has to happen first.

    Parameters
    ----------
    view : GroupView
        The view of the group.
    request : ReadRequest or WriteRequest
        The request.
    loads : tuple of TargetLoad
        This node's work at each database; one that is missing has none.
    now : float
        The current time of the node's clock, seconds.
    policy : RoutingPolicy, default=DEFAULT_POLICY
        The limits to keep to.

    Returns
    -------
    UseTarget, WaitForTarget, NeedSample or Refuse
        The choice.
    """
    if isinstance(request, WriteRequest):
        return _choose_for_write(view, request, now, policy)
    replicas = [] if request.reads == READS_PRIMARY else _get_replicas(view, request)
    if policy.checks_positions:
        ready = [item for item in replicas if _may_serve(item, request, now, policy)]
    else:
        ready = [item for item in replicas if serves(item, request)]
    if ready:
        refreshes = needs_refresh(view, request, policy)
        after = compute_after(request) if policy.checks_positions else None
        chosen = _pick_replica(ready, request, loads, policy)
        return UseTarget(chosen, True, refreshes, after)
    waiting = _choose_wait(view, request, replicas, loads, now, policy)
    return waiting or _choose_primary(view, request, now, policy)


def compute_needed_time(request: ReadRequest) -> float:
    """Return the time before which acknowledged writes must be seen.

    Parameters
    ----------
    request : ReadRequest
        The read.

    Returns
    -------
    float
        A time of the node's clock, seconds.
    """
    if request.token is None:
        return request.arrived_at
    return request.arrived_at - request.max_age


def serves(database: DatabaseView, request: ReadRequest) -> bool:
    """Return whether a replica provably shows all that a read must show.

    Parameters
    ----------
    database : DatabaseView
        The replica.
    request : ReadRequest
        The read.

    Returns
    -------
    bool
        True if it has applied the session's token, and either is fresh enough
        by its age or has applied the position sampled for this read.
    """
    if request.token is not None and not has_applied(database, request.token):
        return False
    if database.fresh_at >= compute_needed_time(request):
        return True
    return request.sample is not None and has_applied(database, request.sample)


def compute_after(request: ReadRequest) -> LogPosition | None:
    """Return what a replica must show to serve a read; None if that is unknown."""
    needed = request.sample or request.needed
    if needed is None or request.token is None:
        return needed
    return max(needed, request.token)


def _may_serve(
    database: DatabaseView, request: ReadRequest, now: float, policy: RoutingPolicy
) -> bool:
    """Return whether a replica that checks positions is worth a try."""
    after = compute_after(request)
    if after is None:
        return False
    if has_applied(database, after):
        return True
    is_young = now - request.written_at < policy.usual_lag
    is_behind = now - database.lagged_at < policy.lagging_pause
    return request.sample is None and not (is_young or is_behind)


def compute_lag(view: GroupView, database: DatabaseView) -> float:
    """Return for how long a replica is known to have been behind, seconds.

    Times to catch up have a heavy tail: the longer a replica has been behind,
    the longer it is likely to remain so. A lag that is short or not known yet
    is therefore the best sign that a wait will be short.

    Parameters
    ----------
    view : GroupView
        The view of the group.
    database : DatabaseView
        The replica.

    Returns
    -------
    float
        Zero for a replica that has applied all that is known of the group.
    """
    if has_applied(database, view.head):
        return 0.0
    return max(0.0, database.seen_at - database.fresh_at)


def needs_refresh(view: GroupView, request: ReadRequest, policy: RoutingPolicy) -> bool:
    """Return whether ages are to be proven anew for reads like this one.

    The probes of a group are paced by how soon a loss must be noticed. Where
    reads accept less staleness than that pace proves, they ask for samples
    themselves, before the last proof is too old for them.

    Parameters
    ----------
    view : GroupView
        The view of the group.
    request : ReadRequest
        The read.
    policy : RoutingPolicy
        The limits to keep to.

    Returns
    -------
    bool
        True if the last proven sample is older than a part of the staleness
        that the read accepts.
    """
    if not view.primary or request.token is None or request.max_age == 0.0:
        return False
    proven_at = _get_proven_time(view)
    return request.arrived_at - proven_at > policy.refresh_share * request.max_age


def _get_proven_time(view: GroupView) -> float:
    """Return the time up to which the head is proven to hold all writes."""
    primary = get_primary(view)
    return min(primary.seen_at, view.confirmed_at) if primary else NEVER


def _get_replicas(view: GroupView, request: ReadRequest) -> list[DatabaseView]:
    """Return the replicas that may get new reads.

    A database that still believes that it leads a lower term is none of them,
    as it may show writes that are about to be discarded.
    """
    return [
        item
        for item in view.databases
        if item.name != view.primary
        and item.role == REPLICA
        and item.reachable
        and not item.leaving
        and item.name not in request.excluded
    ]


def _get_load(loads: tuple[TargetLoad, ...], database: str) -> TargetLoad:
    """Return this node's work at a database."""
    for load in loads:
        if load.database == database:
            return load
    return TargetLoad(database, "", 0, 1)


def _pick_replica(
    ready: list[DatabaseView],
    request: ReadRequest,
    loads: tuple[TargetLoad, ...],
    policy: RoutingPolicy,
) -> str:
    """Return the replica with the least work, a near one before a far one."""
    if len(ready) == 1:
        return ready[0].name
    turn = request.sequence % len(ready)
    is_far = _make_distance(ready, request, loads, policy)
    ranked = (
        (
            _rank_load(_get_load(loads, item.name), is_far),
            place,
            item.name,
        )
        for place, item in enumerate(ready[turn:] + ready[:turn])
    )
    return min(ranked)[-1]


IsFar = Callable[[TargetLoad], bool]


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
    if request.account and policy.prefers_own and replicas:
        names = [item.name for item in replicas]
        near = [n for n in names if _get_load(loads, n).zone == request.way_zone]
        fit = near if near and policy.prefers_near and request.way_zone else names
        own = max(fit, key=lambda name: compute_rank(request.account, name))
        return lambda load: load.database != own
    zone = request.way_zone or request.zone
    return lambda load: policy.prefers_near and load.zone != zone


def _rank_load(load: TargetLoad, is_far: IsFar) -> tuple[int, int, bool]:
    """Return the rank of a database by its queue, its work and its distance.

    A far database counts as if it had one request more, since a request there
    costs about as much more as one that waits for a slot.
    """
    rounds_waiting = load.outstanding // max(load.limit, 1)
    far = is_far(load)
    return rounds_waiting, load.outstanding + far, far


def _choose_wait(
    view: GroupView,
    request: ReadRequest,
    replicas: list[DatabaseView],
    loads: tuple[TargetLoad, ...],
    now: float,
    policy: RoutingPolicy,
) -> WaitForTarget | None:
    """Return the wait for the replicas that are likely to catch up soon."""
    timeout = min(request.arrived_at + policy.max_wait, request.deadline) - now
    if not request.may_wait or timeout <= 0:
        return None
    is_far = _make_distance(replicas, request, loads, policy)
    positions = ((item, _get_awaited(view, request, item)) for item in replicas)
    candidates = sorted(
        _Candidate(
            compute_lag(view, item),
            _rank_load(_get_load(loads, item.name), is_far),
            AwaitedTarget(item.name, position),
        )
        for item, position in positions
        if position is not None
    )
    targets = tuple(
        candidate.target
        for candidate in candidates[: policy.most_awaited]
        if candidate.lag < policy.stalled_after
    )
    return WaitForTarget(targets, timeout) if targets else None


def _get_awaited(
    view: GroupView, request: ReadRequest, database: DatabaseView
) -> LogPosition | None:
    """Return the position that makes a replica good enough, if one is known."""
    needed_time = compute_needed_time(request)
    if database.fresh_at >= needed_time:
        # Only the token can be missing, or the replica would serve the read.
        return request.token
    if request.sample is not None:
        return max(request.sample, request.token or request.sample)
    if request.token is None:
        return None
    is_head_recent = _get_proven_time(view) >= needed_time
    return max(request.token, view.head) if is_head_recent else None


def _choose_primary(
    view: GroupView, request: ReadRequest, now: float, policy: RoutingPolicy
) -> Choice:
    """Return the choice for a read that no replica can serve in time."""
    primary = get_primary(view)
    is_usable = (
        primary is not None
        and primary.reachable
        and primary.name not in request.excluded
    )
    if is_usable and _is_current(view, request):
        refreshes = needs_refresh(view, request, policy)
        # One that has started again empty since it was proven to lead shows nothing,
        # and answers a plain read all the same.
        shown = primary.applied if policy.checks_positions else NO_POSITION
        after = shown if shown.offset else None
        return UseTarget(primary.name, False, refreshes, after)
    # While the primary cannot be reached a proof can only let a replica serve, once.
    # Asked for again and again it made 43,521 status requests beside 6,660 statements
    # of seven instances in two losses of 8 s; 5,951 so.
    is_of_use = is_usable or not request.tried_proof
    if request.sample is None and view.primary and is_of_use:
        timeout = min(policy.sample_timeout, request.deadline - now)
        return NeedSample(timeout, policy.samples_position)
    return Refuse(
        NOT_AVAILABLE, "no database can show what is asked", policy.retry_after
    )


def _is_current(view: GroupView, request: ReadRequest) -> bool:
    """Return whether the primary provably shows all that a read must show.

    A primary holds each write that was acknowledged in its own or an earlier
    term, so its term is compared with the token's, not its position.
    """
    if request.sample is not None:
        return True
    holds_token = request.token is None or request.token.term <= view.term
    return holds_token and view.confirmed_at >= compute_needed_time(request)


def _choose_for_write(
    view: GroupView, request: WriteRequest, now: float, policy: RoutingPolicy
) -> Choice:
    """Return the choice for a request that may write."""
    primary = get_primary(view)
    is_usable = (
        primary is not None
        and primary.reachable
        and primary.name not in request.excluded
    )
    confirmed_after = now - policy.confirmed_within
    if is_usable and (request.sampled or view.confirmed_at >= confirmed_after):
        return UseTarget(primary.name, False)
    # No proof by others makes a primary take a write that cannot be reached. Where it
    # is sampled itself, the answer comes from the next one, which callers wait for.
    is_of_use = is_usable or (policy.samples_position and bool(view.primary))
    if is_of_use and not request.sampled:
        return NeedSample(policy.sample_timeout, policy.samples_position)
    return Refuse(NOT_AVAILABLE, "no primary can be confirmed", policy.retry_after)
