"""Finds the database for a request and a connection to it.

While no database can take a request, for example while a new primary takes
over, the request waits here: nothing of it has been sent, so giving up is
always a true "not run".
"""

from typing import NamedTuple

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred, TimeoutError

from beryltrack.connections.messages import (
    PooledConnection,
    PoolRefused,
    RefusalReason,
)
from beryltrack.connections.task import PoolTask
from beryltrack.errors import SqlError, make_refusal
from beryltrack.groups.messages import LogPosition
from beryltrack.load.messages import NO_DEMAND, Demand
from beryltrack.requests.admission_task import PutOut, Ticket
from beryltrack.requests.runtime import GroupRuntime
from beryltrack.requests.services import RequestServices
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
from beryltrack.sessions.marks import READS_PRIMARY

# Reasons that pass when the group's view changes, so that waiting helps.
_PASSING = frozenset(
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
        True if it counts as a replica in the share of reads.
    pool : PoolTask
        Where the connection came from.
    connection : PooledConnection
        The connection.
    after : LogPosition or None
        What the database must show, where it checks that itself.
    """

    database: str
    is_replica: bool
    pool: PoolTask
    connection: PooledConnection
    after: LogPosition | None = None


class TargetSearch(NamedTuple):
    """Where and how long to look for a target.

    Parameters
    ----------
    services : RequestServices
        What requests share.
    runtime : GroupRuntime
        The group.
    ticket : Ticket
        The request, which may be put out while it waits.
    give_up_at : float
        Time, by the node's clock, at which the request is refused.
    done_by : float or None
        Time, by the node's clock, by which it must be done, where that is bounded
        by its own policy; None for `give_up_at`.
    demand : Demand
        What it asks of its database, counted from its arrival.
    """

    services: RequestServices
    runtime: GroupRuntime
    ticket: Ticket
    give_up_at: float
    done_by: float | None = None
    demand: Demand = NO_DEMAND


async def find_target(
    search: TargetSearch, request: TargetRequest
) -> Result[FoundTarget, SqlError]:
    """Wait for a database that can take a request and get a connection to it.

    Parameters
    ----------
    search : TargetSearch
        Where and how long to look.
    request : ReadRequest or WriteRequest
        What is asked.

    Returns
    -------
    Result of FoundTarget or SqlError
        A refusal is a true "not run".
    """
    search.runtime.ensure_started()
    try:
        found = await _search(search, request)
    except PutOut as put_out:
        return Failure(put_out.error)
    if isinstance(found, Success):
        search.ticket.start()
    return found


async def _search(
    search: TargetSearch, request: TargetRequest
) -> Result[FoundTarget, SqlError]:
    """Choose databases until one gives a connection."""
    services, runtime = search.services, search.runtime
    while True:
        chosen = await _choose_database(search, request)
        if isinstance(chosen, Failure):
            return chosen
        use = chosen.unwrap()
        try:
            return Success(await _acquire(search, use, request))
        except PoolRefused as refused:
            refusal = refused.refusal
        if refusal.reason not in _PASSING or services.seconds() >= search.give_up_at:
            return Failure(
                make_refusal(
                    refusal.reason.value, refusal.retry_after, refusal.sqlstate
                )
            )
        if use.is_replica:
            request = request._replace(excluded=(*request.excluded, use.database))
        else:
            await search.ticket.wait(runtime.wait_change())


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
            runtime.view, request, runtime.get_loads(), now, services.routing
        )
        match choice:
            case UseTarget():
                if choice.refreshes:
                    runtime.refresh_ages()
                return Success(choice)
            case WaitForTarget():
                waiting = wait_for_target(runtime.task, choice)
                ready = await ticket.wait(Deferred.fromCoroutine(waiting))
                if ready is not None:
                    return Success(ready)
                request = request._replace(may_wait=False)
            case NeedSample() if now < give_up_at:
                request = await _prove_lead(search, request, choice)
            case Refuse() if now < give_up_at:
                await ticket.wait(runtime.wait_change())
                request = _forget_refusals(request)
            case Refuse():
                return Failure(
                    make_refusal(choice.text, choice.retry_after, choice.sqlstate)
                )
            case _:
                return Failure(make_refusal("the primary cannot be confirmed", 1.0))


async def _prove_lead(
    search: TargetSearch, request: TargetRequest, need: NeedSample
) -> TargetRequest:
    """Wait for the proof that a choice needs; return the request with it."""
    services, runtime = search.services, search.runtime
    if need.needs_position:
        sampling = sample_primary(services, runtime, need.timeout)
        sample = await search.ticket.wait(Deferred.fromCoroutine(sampling))
        return request if sample is None else _add_sample(request, sample)
    confirming = confirm_lead(services, runtime, need.timeout)
    is_confirmed = await search.ticket.wait(Deferred.fromCoroutine(confirming))
    if isinstance(request, ReadRequest):
        return request._replace(tried_proof=True)
    return request._replace(sampled=is_confirmed)


async def confirm_lead(
    services: RequestServices, runtime: GroupRuntime, timeout: float
) -> bool:
    """Wait until the primary's term is confirmed from now on; False at the timeout."""
    confirming = runtime.task.confirm_lead()
    confirming.addTimeout(timeout, services.reactor)
    try:
        await confirming
    except TimeoutError:
        return False
    return True


async def sample_primary(
    services: RequestServices, runtime: GroupRuntime, timeout: float
) -> LogPosition | None:
    """Return a position sampled and confirmed from now on, None at the timeout."""
    sampling = runtime.task.sample_primary()
    sampling.addTimeout(timeout, services.reactor)
    try:
        return await sampling
    except TimeoutError:
        return None


async def _acquire(
    search: TargetSearch, use: UseTarget, request: TargetRequest
) -> FoundTarget:
    """Get a connection to the database that was chosen."""
    services = search.services
    pool = search.runtime.pools[use.database]
    started_at = services.seconds()
    done_by = search.give_up_at if search.done_by is None else search.done_by
    remaining = max(0.0, done_by - started_at)
    demand = search.demand.after(started_at - request.arrived_at)._replace(
        is_displaced=_is_displaced(request, use)
    )
    acquiring = pool.acquire(services.reactor.seconds() + remaining, demand)
    try:
        connection = await search.ticket.wait(acquiring)
    finally:
        waited = services.seconds() - started_at
        services.metrics.record_wait(demand.priority, bool(demand.account), waited)
    services.metrics.record_queue_time(waited)
    return FoundTarget(use.database, use.is_replica, pool, connection, use.after)


def _is_displaced(request: TargetRequest, use: UseTarget) -> bool:
    """Return whether a read goes to the primary only as replicas are behind."""
    if use.is_replica or isinstance(request, WriteRequest):
        return False
    return request.reads != READS_PRIMARY


def _add_sample(request: TargetRequest, sample: LogPosition) -> TargetRequest:
    """Return the request with the knowledge that a sample brought."""
    if isinstance(request, WriteRequest):
        return request._replace(sampled=True)
    return request._replace(sample=sample)


def _forget_refusals(request: TargetRequest) -> TargetRequest:
    """Return the request as it may be judged by a view that has changed."""
    if isinstance(request, WriteRequest):
        return request._replace(sampled=False, excluded=())
    return request._replace(excluded=())
