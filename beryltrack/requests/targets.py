"""Finds a target for a request and acquires a connection to it.

While no database can take a request, for example during a failover, the request waits
here. Nothing of it has been sent yet, so a refusal always means "not run".
"""

import math
from collections.abc import Callable, Coroutine
from typing import NamedTuple

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred, TimeoutError

from beryltrack.connections.messages import (
    PooledConnection,
    PoolRefusal,
    PoolRefused,
    RefusalReason,
)
from beryltrack.connections.task import PoolTask
from beryltrack.errors import SqlError, make_refusal
from beryltrack.groups.messages import LogPosition
from beryltrack.load.ingress_admission import may_wait_for_target
from beryltrack.load.messages import DEFAULT_DEMAND, Demand
from beryltrack.requests.admission_task import Evicted, Ticket
from beryltrack.requests.runtime import GroupRuntime
from beryltrack.requests.services import RequestServices
from beryltrack.requests.shutdown import SHUTDOWN_REFUSAL
from beryltrack.routing.decider import choose_target, compute_needed_time
from beryltrack.routing.messages import (
    NeedSample,
    ReadRequest,
    Refuse,
    UseTarget,
    WaitForTarget,
    WriteRequest,
)
from beryltrack.routing.waits import wait_for_target
from beryltrack.sessions.request_options import READS_PRIMARY

# Refusal reasons that a change of the group's view may end, so that waiting helps.
_TRANSIENT = frozenset(
    (RefusalReason.UNREACHABLE, RefusalReason.LEAVING, RefusalReason.NO_SHARE)
)

TargetRequest = ReadRequest | WriteRequest


class FoundTarget(NamedTuple):
    """A database that can take a request, and a connection to it.

    Parameters
    ----------
    database : str
        The database's name.
    is_replica : bool
        True if it counts as a replica in the replica share of reads.
    pool : PoolTask
        Pool of the connection.
    connection : PooledConnection
        The connection.
    after : LogPosition or None
        Position that the database must show, where it checks that itself.
    proof : Deferred or None
        Fires with a position of the primary that proves its leadership since the
        request arrived, or with None at the time limit; None if no proof is needed.
    """

    database: str
    is_replica: bool
    pool: PoolTask
    connection: PooledConnection
    after: LogPosition | None = None
    proof: "Deferred[LogPosition | None] | None" = None


class TargetSearch(NamedTuple):
    """Scope and time limits of a search for a target.

    Parameters
    ----------
    services : RequestServices
        Services of this instance.
    runtime : GroupRuntime
        The group.
    ticket : Ticket
        Ticket of the request, which may be evicted while it waits.
    give_up_at : float
        Time, by the instance's clock, at which the request is refused.
    deadline : float or None
        Time, by the instance's clock, by which a request with its own policy must be
        done; None for `give_up_at`.
    demand : Demand
        Its demand on a database, with times counted from its arrival.
    wait_until : float
        Time, by the instance's clock, until which it waits for a change of the group
        while no database can take it. For a proof that one can, it waits until
        `give_up_at`.
    run_limit : float or None
        Seconds that its database may take to answer; None without a limit.
    """

    services: RequestServices
    runtime: GroupRuntime
    ticket: Ticket
    give_up_at: float
    deadline: float | None = None
    demand: Demand = DEFAULT_DEMAND
    wait_until: float = math.inf
    run_limit: float | None = None

    def may_wait(self, now: float) -> bool:
        """Return whether a request may still wait for a change of the group."""
        return now < min(self.give_up_at, self.wait_until)


async def find_target(
    search: TargetSearch, request: TargetRequest
) -> Result[FoundTarget, SqlError]:
    """Wait for a database that can take a request, and acquire a connection to it.

    Parameters
    ----------
    search : TargetSearch
        Scope and time limits of the search.
    request : ReadRequest or WriteRequest
        The routing request.

    Returns
    -------
    Result of FoundTarget or SqlError
        A refusal means that the request was not run.
    """
    if search.services.shutdown.is_late:
        return Failure(SHUTDOWN_REFUSAL)
    search.runtime.ensure_started()
    try:
        found = await _search(search, request)
    except Evicted as evicted:
        return Failure(evicted.error)
    if isinstance(found, Success):
        search.ticket.start()
    return found


async def _search(
    search: TargetSearch, request: TargetRequest
) -> Result[FoundTarget, SqlError]:
    """Choose databases until a connection to one is acquired."""
    services, runtime = search.services, search.runtime
    while True:
        chosen = await _choose_database(search, request)
        if isinstance(chosen, Failure):
            return chosen
        use = chosen.unwrap()
        proof = _request_proof(search, request) if use.needs_proof else None
        try:
            found = await _acquire(search, use, request)
            return Success(found._replace(proof=proof))
        except PoolRefused as refused:
            refusal = refused.refusal
        now = services.seconds()
        # After a replica's refusal another database is chosen without a wait.
        may_continue = (
            now < search.give_up_at if use.is_replica else search.may_wait(now)
        )
        if refusal.reason not in _TRANSIENT or not may_continue:
            return Failure(
                make_refusal(
                    refusal.reason.value, refusal.retry_after, refusal.sqlstate
                )
            )
        if use.is_replica:
            request = request._replace(excluded=(*request.excluded, use.database))
        else:
            await search.ticket.wait(runtime.wait_change)


async def _choose_database(
    search: TargetSearch, request: TargetRequest
) -> Result[UseTarget, SqlError]:
    """Wait until a database can take a request."""
    services, runtime, ticket = search.services, search.runtime, search.ticket
    give_up_at = search.give_up_at
    while True:
        now = services.seconds()
        if isinstance(request, ReadRequest) and services.routing.checks_positions:
            since = compute_needed_time(request)
            needed = runtime.task.get_needed_position(since)
            request = request._replace(needed=needed)
        choice = choose_target(
            runtime.view,
            request,
            runtime.get_loads(search.demand),
            now,
            services.routing,
        )
        match choice:
            case UseTarget():
                if choice.refreshes:
                    runtime.refresh_freshness()
                return Success(choice)
            case WaitForTarget():
                ready = await ticket.wait(_start(wait_for_target, runtime.task, choice))
                if ready is not None:
                    return Success(ready)
                request = request._replace(may_wait=False)
            case NeedSample() if now < give_up_at:
                request = await _prove_leadership(search, request, choice)
            case Refuse() if search.may_wait(now) and _may_queue(search):
                await ticket.wait(runtime.wait_change)
                request = _clear_refusals(request)
            case Refuse():
                return Failure(
                    make_refusal(choice.text, choice.retry_after, choice.sqlstate)
                )
            case _:
                return Failure(make_refusal("the primary cannot be confirmed", 1.0))


def _start(
    function: Callable[..., Coroutine], *arguments: object
) -> Callable[[], Deferred]:
    """Return a function that calls a coroutine function; see `Ticket.wait`."""
    return lambda: Deferred.fromCoroutine(function(*arguments))


def _may_queue(search: TargetSearch) -> bool:
    """Return whether a request may join those that wait for a change of the view."""
    runtime = search.runtime
    has_primary = bool(runtime.view.primary)
    return may_wait_for_target(
        runtime.waiting_count, has_primary, search.services.has_group_owners()
    )


async def _prove_leadership(
    search: TargetSearch, request: TargetRequest, need: NeedSample
) -> TargetRequest:
    """Wait for the proof that a choice needs; add it to the request."""
    services, runtime = search.services, search.runtime
    if need.needs_position:
        sampling = _start(sample_primary, services, runtime, need.timeout)
        sample = await search.ticket.wait(sampling)
        return request if sample is None else _add_sample(request, sample)
    confirming = _start(confirm_leadership, services, runtime, need.timeout)
    is_confirmed = await search.ticket.wait(confirming)
    if isinstance(request, ReadRequest):
        return request._replace(tried_proof=True)
    return request._replace(sampled=is_confirmed)


async def confirm_leadership(
    services: RequestServices, runtime: GroupRuntime, timeout: float
) -> bool:
    """Return whether the primary's term is confirmed from now on within a timeout."""
    confirming = runtime.task.confirm_leadership()
    confirming.addTimeout(timeout, services.reactor)
    try:
        await confirming
    except TimeoutError:
        return False
    return True


async def sample_primary(
    services: RequestServices, runtime: GroupRuntime, timeout: float
) -> LogPosition | None:
    """Return a position sampled and confirmed from now on; None at the timeout."""
    sampling = runtime.task.sample_primary()
    sampling.addTimeout(timeout, services.reactor)
    try:
        return await sampling
    except TimeoutError:
        return None


def _request_proof(
    search: TargetSearch, request: TargetRequest
) -> "Deferred[LogPosition | None]":
    """Request the proof that the primary leads, in parallel to a read at it."""
    services = search.services
    latest = min(request.deadline, services.shutdown.end_at)
    timeout = min(services.routing.sample_timeout, latest - services.seconds())
    sampling = sample_primary(services, search.runtime, max(0.0, timeout))
    return Deferred.fromCoroutine(sampling)


async def _acquire(
    search: TargetSearch, use: UseTarget, request: TargetRequest
) -> FoundTarget:
    """Acquire a connection to the chosen database."""
    services = search.services
    pool = search.runtime.pools.get(use.database)
    if pool is None:
        # It was removed while the request waited for it to catch up.
        raise PoolRefused(PoolRefusal(RefusalReason.LEAVING, 0.0))
    started_at = services.seconds()
    deadline = search.give_up_at if search.deadline is None else search.deadline
    remaining = max(0.0, deadline - started_at)
    demand = search.demand.after(started_at - request.arrived_at)._replace(
        is_displaced=_is_displaced(request, use)
    )
    pool_deadline = services.reactor.seconds() + remaining
    _check_shutdown(search, pool)
    try:
        connection = await search.ticket.wait(
            lambda: pool.acquire(pool_deadline, demand)
        )
    finally:
        waited = services.seconds() - started_at
        services.metrics.record_wait_by_priority(
            demand.priority, bool(demand.account), waited
        )
    services.metrics.record_queue_time(waited)
    try:
        _check_shutdown(search, pool)
    except Evicted:
        pool.release(connection, True, False)
        raise
    return FoundTarget(use.database, use.is_replica, pool, connection, use.after)


def _check_shutdown(search: TargetSearch, pool: PoolTask) -> None:
    """Evict a request that a database would not answer before the shutdown ends."""
    if not search.services.shutdown.may_start(pool, search.run_limit):
        raise Evicted(SHUTDOWN_REFUSAL)


def _is_displaced(request: TargetRequest, use: UseTarget) -> bool:
    """Return whether a read goes to the primary only because replicas lag behind."""
    if use.is_replica or isinstance(request, WriteRequest):
        return False
    return request.reads != READS_PRIMARY


def _add_sample(request: TargetRequest, sample: LogPosition) -> TargetRequest:
    """Return the request with a sampled position."""
    if isinstance(request, WriteRequest):
        return request._replace(sampled=True)
    return request._replace(sample=sample)


def _clear_refusals(request: TargetRequest) -> TargetRequest:
    """Return the request without the proof and refusals of the former view."""
    if isinstance(request, WriteRequest):
        return request._replace(sampled=False, excluded=())
    return request._replace(excluded=())
