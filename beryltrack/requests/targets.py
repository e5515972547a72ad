"""Finds the database for a request and a connection to it.

While no database can take a request, for example while a new primary takes
over, the request waits here: nothing of it has been sent, so giving up is
always a true "not run".
"""

import math
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
from beryltrack.load.ingress_admission import may_wait_for_target
from beryltrack.load.messages import DEFAULT_DEMAND, Demand
from beryltrack.requests.admission_task import Evicted, Ticket
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
from beryltrack.sessions.request_options import READS_PRIMARY

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
    proof : Deferred or None
        Fires with a position of the primary that proves its lead since the request
        arrived, with None if there is none in time; None if no proof is needed.
    """

    database: str
    is_replica: bool
    pool: PoolTask
    connection: PooledConnection
    after: LogPosition | None = None
    proof: "Deferred[LogPosition | None] | None" = None


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
    deadline : float or None
        Time, by the node's clock, by which it must be done, where that is bounded
        by its own policy; None for `give_up_at`.
    demand : Demand
        What it asks of its database, counted from its arrival.
    wait_until : float
        Time, by the node's clock, until which it waits for a change of the group while
        no database can take it; a proof that one can is waited for until `give_up_at`.
    """

    services: RequestServices
    runtime: GroupRuntime
    ticket: Ticket
    give_up_at: float
    deadline: float | None = None
    demand: Demand = DEFAULT_DEMAND
    wait_until: float = math.inf

    def may_wait(self, now: float) -> bool:
        """Return whether it waits for a change of the group."""
        return now < min(self.give_up_at, self.wait_until)


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
    except Evicted as evicted:
        return Failure(evicted.error)
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
        proof = _request_proof(search, request) if use.needs_proof else None
        try:
            found = await _acquire(search, use, request)
            return Success(found._replace(proof=proof))
        except PoolRefused as refused:
            refusal = refused.refusal
        now = services.seconds()
        # Another database is looked for without a wait.
        may_go_on = now < search.give_up_at if use.is_replica else search.may_wait(now)
        if refusal.reason not in _PASSING or not may_go_on:
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
                waiting = wait_for_target(runtime.task, choice)
                ready = await ticket.wait(Deferred.fromCoroutine(waiting))
                if ready is not None:
                    return Success(ready)
                request = request._replace(may_wait=False)
            case NeedSample() if now < give_up_at:
                request = await _prove_leadership(search, request, choice)
            case Refuse() if search.may_wait(now) and _may_wait(search):
                await ticket.wait(runtime.wait_change())
                request = _clear_refusals(request)
            case Refuse():
                return Failure(
                    make_refusal(choice.text, choice.retry_after, choice.sqlstate)
                )
            case _:
                return Failure(make_refusal("the primary cannot be confirmed", 1.0))


def _may_wait(search: TargetSearch) -> bool:
    """Return whether a request waits for a change of what is known of its group."""
    runtime = search.runtime
    has_primary = bool(runtime.view.primary)
    return may_wait_for_target(
        runtime.waiting_count, has_primary, search.services.is_crowded()
    )


async def _prove_leadership(
    search: TargetSearch, request: TargetRequest, need: NeedSample
) -> TargetRequest:
    """Wait for the proof that a choice needs; return the request with it."""
    services, runtime = search.services, search.runtime
    if need.needs_position:
        sampling = sample_primary(services, runtime, need.timeout)
        sample = await search.ticket.wait(Deferred.fromCoroutine(sampling))
        return request if sample is None else _add_sample(request, sample)
    confirming = confirm_leadership(services, runtime, need.timeout)
    is_confirmed = await search.ticket.wait(Deferred.fromCoroutine(confirming))
    if isinstance(request, ReadRequest):
        return request._replace(tried_proof=True)
    return request._replace(sampled=is_confirmed)


async def confirm_leadership(
    services: RequestServices, runtime: GroupRuntime, timeout: float
) -> bool:
    """Wait until the primary's term is confirmed from now on; False at the timeout."""
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
    """Return a position sampled and confirmed from now on, None at the timeout."""
    sampling = runtime.task.sample_primary()
    sampling.addTimeout(timeout, services.reactor)
    try:
        return await sampling
    except TimeoutError:
        return None


def _request_proof(
    search: TargetSearch, request: TargetRequest
) -> "Deferred[LogPosition | None]":
    """Ask for the proof that the primary leads, while a request goes to it."""
    services = search.services
    timeout = min(
        services.routing.sample_timeout, request.deadline - services.seconds()
    )
    sampling = sample_primary(services, search.runtime, max(0.0, timeout))
    return Deferred.fromCoroutine(sampling)


async def _acquire(
    search: TargetSearch, use: UseTarget, request: TargetRequest
) -> FoundTarget:
    """Get a connection to the database that was chosen."""
    services = search.services
    pool = search.runtime.pools[use.database]
    started_at = services.seconds()
    deadline = search.give_up_at if search.deadline is None else search.deadline
    remaining = max(0.0, deadline - started_at)
    demand = search.demand.after(started_at - request.arrived_at)._replace(
        is_displaced=_is_displaced(request, use)
    )
    acquiring = pool.acquire(services.reactor.seconds() + remaining, demand)
    try:
        connection = await search.ticket.wait(acquiring)
    finally:
        waited = services.seconds() - started_at
        services.metrics.record_wait_by_priority(
            demand.priority, bool(demand.account), waited
        )
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


def _clear_refusals(request: TargetRequest) -> TargetRequest:
    """Return the request as it may be judged by a view that has changed."""
    if isinstance(request, WriteRequest):
        return request._replace(sampled=False, excluded=())
    return request._replace(excluded=())
