"""Asks the instances of the fleet for their status.

The platform is asked for the instance list and the addresses only, two calls
whatever the size of the fleet. The rest is asked of the instances themselves, a
few at a time; one that does not answer is told so.
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
NO_ANSWER = "no answer"
NO_ADDRESS = "no address in the store"

FetchStatus = Callable[[Endpoint], Awaitable[InstanceStatus | None]]


class InstanceAnswer(NamedTuple):
    """One instance and its status, if it gave one.

    Parameters
    ----------
    name : str
        Its name; the address if it is not known by name.
    zone : str
        Its availability zone by the platform's list, or empty.
    listed : str
        Its state by the platform's list, or empty.
    problem : str
        Why there is no status; empty if there is one.
    status : InstanceStatus or None
        What it reported.
    endpoint : Endpoint or None
        Where it is asked; None if that is not known.
    """

    name: str
    zone: str
    listed: str
    problem: str
    status: InstanceStatus | None
    endpoint: Endpoint | None = None


async def collect_answers(
    client: PlatformClient, fetch: FetchStatus
) -> Result[tuple[InstanceAnswer, ...], PlatformError]:
    """Ask each instance of the platform's list for its status.

    Parameters
    ----------
    client : PlatformClient
        Client of the platform.
    fetch : callable
        Returns the status at an endpoint, None if there is no answer.

    Returns
    -------
    Result
        One answer for each instance in the list, and for each that is not in the
        list yet but answers.
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
    bare = (
        _build_bare(name, listed.get(name), address)
        for name, address in (dict.fromkeys(listed) | stored).items()
    )
    answers = await ask_again(bare, fetch)
    return Success(tuple(item for item in answers if item.listed or item.status))


def _build_bare(
    name: str, entry: InstanceEntry | None, address: InstanceAddress | None
) -> InstanceAnswer:
    """Return an instance before it is asked."""
    zone, listed = (entry.zone, entry.state) if entry else ("", "")
    if address is None:
        return InstanceAnswer(name, zone, listed, NO_ADDRESS, None)
    endpoint = address.status_endpoint
    return InstanceAnswer(name, zone, listed, NO_ANSWER, None, endpoint)


async def collect_from(
    endpoints: Iterable[Endpoint], fetch: FetchStatus
) -> tuple[InstanceAnswer, ...]:
    """Ask instances at known addresses, without the platform."""
    bare = (
        InstanceAnswer(f"{item.host}:{item.port}", "", "", NO_ANSWER, None, item)
        for item in endpoints
    )
    return await ask_again(bare, fetch)


async def ask_again(
    instances: Iterable[InstanceAnswer], fetch: FetchStatus
) -> tuple[InstanceAnswer, ...]:
    """Ask instances for their status, `MAX_AT_ONCE` at a time.

    Parameters
    ----------
    instances : iterable of InstanceAnswer
        Whom to ask; former answers are dropped.
    fetch : callable
        Returns the status at an endpoint, None if there is no answer.

    Returns
    -------
    tuple of InstanceAnswer
        The answers, in the same order.
    """
    semaphore = DeferredSemaphore(MAX_AT_ONCE)

    async def ask(item: InstanceAnswer) -> InstanceAnswer:
        if item.endpoint is None:
            return item
        status = await fetch(item.endpoint)
        if status is None:
            return item._replace(problem=NO_ANSWER, status=None)
        return item._replace(name=status.name, problem="", status=status)

    calls = [
        semaphore.run(lambda item=item: Deferred.fromCoroutine(ask(item)))
        for item in instances
    ]
    return tuple(await gatherResults(calls))
