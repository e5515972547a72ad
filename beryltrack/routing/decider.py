"""The choice of the database that runs a request.

The choice is a pure function of the group's view, the request and the work
outstanding at each database. A database serves a read if it provably shows all
that the session has written, and all that was acknowledged before the *needed
time*: the arrival of the request less the staleness that it accepts. For a
session of which nothing is known the needed time is the arrival, whatever it
accepts, since any earlier write may be its own. docs/notes/routing.md weighs
these rules.
"""

from typing import NamedTuple

from beryltrack.groups.lagging import is_presumed_behind
from beryltrack.groups.messages import NO_POSITION, REPLICA, LogPosition
from beryltrack.groups.view import (
    NEVER,
    DatabaseView,
    GroupView,
    get_primary,
    has_applied,
)
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
from beryltrack.routing.policy import RoutingPolicy
from beryltrack.routing.ranking import Rank, make_ranking, pick_replica
from beryltrack.sessions.request_options import READS_PRIMARY

NOT_AVAILABLE = "57P03"
"""SQLSTATE of a request that was not run as no database could take it."""


DEFAULT_POLICY = RoutingPolicy()


class _Candidate(NamedTuple):
    """A replica that can serve a read once it has applied a position."""

    lag: float
    rank: Rank
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
        chosen = pick_replica(ready, request, loads, policy)
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
    is_behind = is_presumed_behind(database.lag, after, now, policy.lagging_pause)
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
    rank = make_ranking(replicas, request, loads, policy)
    positions = ((item, _get_awaited(view, request, item)) for item in replicas)
    candidates = sorted(
        _Candidate(
            compute_lag(view, item),
            rank(item.name),
            AwaitedTarget(item.name, position),
        )
        for item, position in positions
        if position is not None
    )
    targets = tuple(
        candidate.target
        for candidate in candidates[: policy.max_awaited]
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
    is_current = is_usable and _is_current(view, request)
    needs_proof = is_usable and not is_current
    if is_current or (needs_proof and _may_run_unproven(view, request, now, policy)):
        refreshes = is_current and needs_refresh(view, request, policy)
        # One that has started again empty since it was proven to lead shows nothing,
        # and answers a plain read all the same.
        shown = primary.applied if policy.checks_positions else NO_POSITION
        after = shown if shown.offset else None
        return UseTarget(primary.name, False, refreshes, after, needs_proof)
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


def _may_run_unproven(
    view: GroupView, request: ReadRequest, now: float, policy: RoutingPolicy
) -> bool:
    """Return whether a read may run while the proof of the primary's lead is asked for.

    Where both pass through another instance, one after the other they cost a read two
    round trips and the wait for a slot twice. It needs a primary that led a moment ago:
    what runs at another one runs in vain.
    """
    holds_token = request.token is None or request.token.term <= view.term
    led_lately = view.confirmed_at >= now - policy.confirmed_within
    is_allowed = policy.runs_unproven and policy.samples_position
    is_asked = is_allowed and request.may_run_unproven
    return is_asked and request.sample is None and holds_token and led_lately


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
    needs_own_proof = request.opens_transaction and policy.proves_transactions
    confirmed_after = (
        request.arrived_at if needs_own_proof else now - policy.confirmed_within
    )
    if is_usable and (request.sampled or view.confirmed_at >= confirmed_after):
        return UseTarget(primary.name, False)
    # No proof by others makes a primary take a write that cannot be reached. Where it
    # is sampled itself, the answer comes from the next one, which callers wait for.
    is_of_use = is_usable or (policy.samples_position and bool(view.primary))
    if is_of_use and not request.sampled:
        return NeedSample(policy.sample_timeout, policy.samples_position)
    return Refuse(NOT_AVAILABLE, "no primary can be confirmed", policy.retry_after)
