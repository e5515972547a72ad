"""Queries the instances of the fleet for their status.

The platform is called twice whatever the size of the fleet, for the instance list and
the addresses. All else comes from the instances themselves, a few at a time; one that
does not answer is reported as such.
"""

from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred, DeferredSemaphore, gatherResults

from beryltrack.daemon.status import InstanceStatus
from beryltrack.objects.client import PlatformClient
from beryltrack.objects.messages import InstanceEntry, PlatformError
from beryltrack.objects.registration import PREFIX, InstanceAddress, parse_address
from beryltrack.settings.messages import Endpoint

MAX_AT_ONCE = 16
"""Instances queried at the same time."""

NO_ANSWER = "no answer"
NO_ADDRESS = "no address in the store"

FetchStatus = Callable[[Endpoint], Awaitable[InstanceStatus | None]]


class InstanceAnswer(NamedTuple):
    """One instance and its status, if it answered.

    Parameters
    ----------
    name : str
        Its name; its address if the name is unknown.
    zone : str
        Its availability zone in the platform's list, or empty.
    listed : str
        Its state in the platform's list, or empty.
    problem : str
        Why there is no status; empty if there is one.
    status : InstanceStatus or None
        The status that it reported.
    endpoint : Endpoint or None
        Its status address; None if unknown.
    """

    name: str
    zone: str
    listed: str
    problem: str
    status: InstanceStatus | None
    endpoint: Endpoint | None = None


async def query_listed_instances(
    client: PlatformClient, fetch: FetchStatus
) -> Result[tuple[InstanceAnswer, ...], PlatformError]:
    """Query each instance in the platform's list for its status.

    Parameters
    ----------
    client : PlatformClient
        Client of the platform.
    fetch : callable
        Returns the status at an endpoint, None if there is no answer.

    Returns
    -------
    Result
        One answer for each instance in the list, and for each that answers but is not
        in the list yet.
    """
    instances = await client.list_instances()
    addresses = await client.list(PREFIX)
    for result in (instances, addresses):
        if isinstance(result, Failure):
            return result
    stored = {
        item.path.removeprefix(PREFIX): parse_address(item.value)
        for item in addresses.unwrap().objects
    }
    listed = {entry.name: entry for entry in instances.unwrap()}
    unqueried = (
        _build_unqueried(name, listed.get(name), address)
        for name, address in (dict.fromkeys(listed) | stored).items()
    )
    answers = await query_instances(unqueried, fetch)
    return Success(tuple(item for item in answers if item.listed or item.status))


def _build_unqueried(
    name: str, entry: InstanceEntry | None, address: InstanceAddress | None
) -> InstanceAnswer:
    """Return the answer of an instance that was not queried yet."""
    zone, listed = (entry.zone, entry.state) if entry else ("", "")
    if address is None:
        return InstanceAnswer(name, zone, listed, NO_ADDRESS, None)
    endpoint = address.status_endpoint
    return InstanceAnswer(name, zone, listed, NO_ANSWER, None, endpoint)


async def query_endpoints(
    endpoints: Iterable[Endpoint], fetch: FetchStatus
) -> tuple[InstanceAnswer, ...]:
    """Query the instances at the given addresses, without the platform."""
    unqueried = (
        InstanceAnswer(f"{item.host}:{item.port}", "", "", NO_ANSWER, None, item)
        for item in endpoints
    )
    return await query_instances(unqueried, fetch)


async def query_instances(
    instances: Iterable[InstanceAnswer], fetch: FetchStatus
) -> tuple[InstanceAnswer, ...]:
    """Query instances for their status, `MAX_AT_ONCE` at a time.

    Parameters
    ----------
    instances : iterable of InstanceAnswer
        The instances; their former answers are dropped.
    fetch : callable
        Returns the status at an endpoint, None if there is no answer.

    Returns
    -------
    tuple of InstanceAnswer
        The answers, in the same order.
    """
    semaphore = DeferredSemaphore(MAX_AT_ONCE)

    async def query(item: InstanceAnswer) -> InstanceAnswer:
        if item.endpoint is None:
            return item
        status = await fetch(item.endpoint)
        if status is None:
            return item._replace(problem=NO_ANSWER, status=None)
        return item._replace(name=status.name, problem="", status=status)

    calls = [
        semaphore.run(lambda item=item: Deferred.fromCoroutine(query(item)))
        for item in instances
    ]
    return tuple(await gatherResults(calls))
