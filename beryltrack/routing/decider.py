"""Choice of the database that runs a request: read-your-writes, bounded staleness.

The choice is a pure function of the group's view, the request and the requests
outstanding at each database. A database can serve a read if it provably shows all
writes of the session, and all writes acknowledged before the *needed time*: the
arrival of the request less the staleness that it accepts. If the session's writes are
unknown, the needed time is the arrival, whatever staleness is accepted, since any
earlier write may be the session's own. docs/notes/routing.md discusses these rules.
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
"""SQLSTATE of a request that was not run because no database could run it."""


DEFAULT_POLICY = RoutingPolicy()


class _Candidate(NamedTuple):
    """A replica that a read may wait for; ordered by lag, then by rank."""

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
    """Return the database that is to run a request, or what has to happen first.

    Parameters
    ----------
    view : GroupView
        The view of the group.
    request : ReadRequest or WriteRequest
        The request.
    loads : tuple of TargetLoad
        This instance's requests at each database; none at one that is not listed.
    now : float
        The current time of the instance's clock, seconds.
    policy : RoutingPolicy, default=DEFAULT_POLICY
        The limits and preferences that apply.

    Returns
    -------
    UseTarget, WaitForTarget, NeedSample or Refuse
        The choice.
    """
    if isinstance(request, WriteRequest):
        return _choose_for_write(view, request, now, policy)
    replicas = [] if request.reads == READS_PRIMARY else _get_replicas(view, request)
    if policy.checks_positions:
        eligible = [
            database
            for database in replicas
            if _may_try(database, request, now, policy)
        ]
    else:
        eligible = [database for database in replicas if can_serve(database, request)]
    if eligible:
        refreshes = needs_refresh(view, request, policy)
        after = compute_required_position(request) if policy.checks_positions else None
        chosen = pick_replica(eligible, request, loads, policy)
        return UseTarget(chosen, True, refreshes, after)
    waiting = _choose_wait(view, request, replicas, loads, now, policy)
    return waiting or _choose_primary(view, request, now, policy)


def compute_needed_time(request: ReadRequest) -> float:
    """Return the time before which acknowledged writes must be shown.

    Parameters
    ----------
    request : ReadRequest
        The read.

    Returns
    -------
    float
        A time of the instance's clock, seconds.
    """
    if request.token is None:
        return request.arrived_at
    return request.arrived_at - request.max_age


def can_serve(database: DatabaseView, request: ReadRequest) -> bool:
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
        True if it has applied the session's token, and either is proven fresh
        enough or has applied the position sampled for this read.
    """
    if request.token is not None and not has_applied(database, request.token):
        return False
    if database.fresh_at >= compute_needed_time(request):
        return True
    return request.sample is not None and has_applied(database, request.sample)


def compute_required_position(request: ReadRequest) -> LogPosition | None:
    """Return the position that a replica must have applied; None if unknown."""
    needed = request.sample or request.needed
    if needed is None or request.token is None:
        return needed
    return max(needed, request.token)


def _may_try(
    database: DatabaseView, request: ReadRequest, now: float, policy: RoutingPolicy
) -> bool:
    """Return whether a read is tried at a replica that checks positions itself."""
    after = compute_required_position(request)
    if after is None:
        return False
    if has_applied(database, after):
        return True
    is_young = now - request.written_at < policy.usual_lag
    is_behind = is_presumed_behind(database.lag, after, now, policy.lagging_pause)
    return request.sample is None and not (is_young or is_behind)


def compute_lag(view: GroupView, database: DatabaseView) -> float:
    """Return for how long a replica is known to have been behind, seconds.

    Catch-up times have a heavy tail: the longer a replica has been behind, the longer
    it is likely to remain so. A lag that is short or not known yet is therefore the
    best predictor of a short wait.

    Parameters
    ----------
    view : GroupView
        The view of the group.
    database : DatabaseView
        The replica.

    Returns
    -------
    float
        Zero for a replica that has applied the head: all known writes of the group.
    """
    if has_applied(database, view.head):
        return 0.0
    return max(0.0, database.seen_at - database.fresh_at)


def needs_refresh(view: GroupView, request: ReadRequest, policy: RoutingPolicy) -> bool:
    """Return whether a read should trigger a new proof of the replicas' freshness.

    The interval of a group's probes is set by how soon a loss must be detected. Where
    reads accept less staleness than that interval, they request samples themselves,
    before the last proof is too old for them.

    Parameters
    ----------
    view : GroupView
        The view of the group.
    request : ReadRequest
        The read.
    policy : RoutingPolicy
        The limits and preferences that apply.

    Returns
    -------
    bool
        True if the last proven sample is older than `refresh_share` of the staleness
        that the read accepts.
    """
    if not view.primary or request.token is None or request.max_age == 0.0:
        return False
    proven_at = _get_proven_time(view)
    return request.arrived_at - proven_at > policy.refresh_share * request.max_age


def _get_proven_time(view: GroupView) -> float:
    """Return the time up to which the head provably holds all acknowledged writes."""
    primary = get_primary(view)
    return min(primary.seen_at, view.confirmed_at) if primary else NEVER


def _get_replicas(view: GroupView, request: ReadRequest) -> list[DatabaseView]:
    """Return the replicas that may receive new reads.

    A database that still regards itself as primary of a lower term is excluded, as it
    may show writes that are about to be rolled back.
    """
    return [
        database
        for database in view.databases
        if database.name != view.primary
        and database.role == REPLICA
        and database.reachable
        and not database.leaving
        and database.name not in request.excluded
    ]


def _choose_wait(
    view: GroupView,
    request: ReadRequest,
    replicas: list[DatabaseView],
    loads: tuple[TargetLoad, ...],
    now: float,
    policy: RoutingPolicy,
) -> WaitForTarget | None:
    """Return a wait for replicas that are likely to catch up soon; None without any."""
    timeout = min(request.arrived_at + policy.max_wait, request.deadline) - now
    if not request.may_wait or timeout <= 0:
        return None
    rank = make_ranking(replicas, request, loads, policy)
    positions = (
        (database, _get_awaited_position(view, request, database))
        for database in replicas
    )
    candidates = sorted(
        _Candidate(
            compute_lag(view, database),
            rank(database.name),
            AwaitedTarget(database.name, position),
        )
        for database, position in positions
        if position is not None
    )
    targets = tuple(
        candidate.target
        for candidate in candidates[: policy.max_awaited]
        if candidate.lag < policy.stalled_after
    )
    return WaitForTarget(targets, timeout) if targets else None


def _get_awaited_position(
    view: GroupView, request: ReadRequest, database: DatabaseView
) -> LogPosition | None:
    """Return the position with which a replica can serve a read; None if unknown."""
    needed_time = compute_needed_time(request)
    if database.fresh_at >= needed_time:
        # Only the token can be missing, or the replica could serve the read now.
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
    is_usable = primary is not None and _may_take(primary, request, now)
    is_current = is_usable and _is_current(view, request)
    needs_proof = is_usable and not is_current
    if is_current or (needs_proof and _may_run_unproven(view, request, now, policy)):
        refreshes = is_current and needs_refresh(view, request, policy)
        # A primary that restarted empty after it was proven to lead shows nothing, yet
        # would answer a read that requires no position.
        shown = primary.applied if policy.checks_positions else NO_POSITION
        after = shown if shown.offset else None
        return UseTarget(primary.name, False, refreshes, after, needs_proof)
    # While the primary cannot be reached, a proof can only let a replica serve, and
    # asking once suffices. Repeated requests for proofs made 43,521 status requests
    # beside 6,660 statements of seven instances in two losses of 8 s; asking once made
    # 5,951.
    can_help = is_usable or not request.tried_proof
    if request.sample is None and view.primary and can_help:
        timeout = min(policy.sample_timeout, request.deadline - now)
        return NeedSample(timeout, policy.samples_position)
    reason = "no reachable database provably shows the writes that the read must show"
    return _refuse(primary, reason, now, policy)


def _may_take(
    primary: DatabaseView, request: ReadRequest | WriteRequest, now: float
) -> bool:
    """Return whether a primary may get a request.

    One that is about to exit must not, also while it has no successor yet.
    """
    is_excluded = primary.name in request.excluded
    return primary.reachable and now < primary.works_until and not is_excluded


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
    """Return whether a read may run in parallel with the proof that the primary leads.

    Where both pass through another instance, running them in sequence costs a read two
    round trips and two waits for a slot. The primary must have been confirmed recently:
    a read at a database that no longer leads is wasted work.
    """
    holds_token = request.token is None or request.token.term <= view.term
    led_recently = view.confirmed_at >= now - policy.confirmed_within
    is_allowed = policy.runs_unproven and policy.samples_position
    may_run = is_allowed and request.may_run_unproven
    return may_run and request.sample is None and holds_token and led_recently


def _choose_for_write(
    view: GroupView, request: WriteRequest, now: float, policy: RoutingPolicy
) -> Choice:
    """Return the choice for a request that may write."""
    primary = get_primary(view)
    is_usable = primary is not None and _may_take(primary, request, now)
    needs_own_proof = request.opens_transaction and policy.proves_transactions
    confirmed_after = (
        request.arrived_at if needs_own_proof else now - policy.confirmed_within
    )
    if is_usable and (request.sampled or view.confirmed_at >= confirmed_after):
        return UseTarget(primary.name, False)
    # No proof by other databases makes an unreachable primary accept a write. Where the
    # primary itself is sampled, its successor answers, and callers wait for that.
    can_help = is_usable or (policy.samples_position and bool(view.primary))
    if can_help and not request.sampled:
        return NeedSample(policy.sample_timeout, policy.samples_position)
    reason = "no primary is reachable and confirmed to lead"
    return _refuse(primary, reason, now, policy)


def _refuse(
    primary: DatabaseView | None, reason: str, now: float, policy: RoutingPolicy
) -> Refuse:
    """Return the refusal of what no database can run now."""
    if primary is not None and now >= primary.works_until:
        reason = f"the primary {primary.name} leaves and has no successor yet"
    return Refuse(NOT_AVAILABLE, reason, policy.retry_after)
