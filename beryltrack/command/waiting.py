"""Waits until changes are in force on each instance, by polling the instances.

The platform is queried once for the list. After that, only the instances that do not
have the changes yet are polled, with exponential backoff.
"""

from collections.abc import Iterable
from itertools import count
from typing import NamedTuple

from returns.result import Failure
from twisted.internet.task import deferLater

from beryltrack.command.instances import (
    FetchStatus,
    InstanceAnswer,
    query_instances,
    query_listed_instances,
)
from beryltrack.daemon.status import ObjectVersion
from beryltrack.objects.client import PlatformClient

LEAVING = "leaving"
FIRST_DELAY = 0.2
"""Seconds before the second poll."""

DELAY_GROWTH = 1.5
"""Factor between two delays."""

MAX_DELAY = 2.0
"""Seconds; maximum delay between two polls."""


class PendingInstance(NamedTuple):
    """An instance on which changes are not in force yet.

    Parameters
    ----------
    name : str
        Its name.
    problem : str
        Why it counts as pending.
    paths : tuple of str
        The objects that are not in force on it.
    """

    name: str
    problem: str
    paths: tuple[str, ...]


def get_pending(
    answer: InstanceAnswer, wanted: Iterable[ObjectVersion]
) -> PendingInstance | None:
    """Return why the wanted versions are not in force on an instance.

    Parameters
    ----------
    answer : InstanceAnswer
        The instance and its status.
    wanted : iterable of ObjectVersion
        The versions that were written.

    Returns
    -------
    PendingInstance or None
        None if all are in force or the instance is leaving.
    """
    status = answer.status
    if LEAVING in (answer.listed, status and status.state):
        return None
    if status is None:
        paths = tuple(item.path for item in wanted)
        return PendingInstance(answer.name, answer.problem, paths)
    known = {item.path: item.version for item in status.settings}
    behind = tuple(
        item.path for item in wanted if known.get(item.path, 0) < item.version
    )
    if behind:
        return PendingInstance(answer.name, "has not received them", behind)
    faulty = {finding.source for finding in status.findings}
    refused = tuple(item.path for item in wanted if item.path in faulty)
    if refused:
        return PendingInstance(answer.name, "has findings against them", refused)
    return None


async def wait_until_in_force(
    reactor,
    client: PlatformClient,
    fetch: FetchStatus,
    wanted: tuple[ObjectVersion, ...],
    limit: float,
) -> tuple[PendingInstance, ...]:
    """Wait until each instance has the wanted versions in force.

    Parameters
    ----------
    reactor : IReactorTime
        Clock of the delays.
    client : PlatformClient
        Client of the platform.
    fetch : callable
        Returns the status of the instance at an endpoint.
    wanted : tuple of ObjectVersion
        The versions that were written.
    limit : float
        Maximum wait in seconds.

    Returns
    -------
    tuple of PendingInstance
        The instances on which any is not in force; empty if there is none.
    """
    started = reactor.seconds()
    result = await query_listed_instances(client, fetch)
    if isinstance(result, Failure):
        return (PendingInstance("all", result.failure().text, ()),)
    answers = result.unwrap()
    for attempt in count():
        pending = {item: get_pending(item, wanted) for item in answers}
        behind = tuple(item for item, problem in pending.items() if problem)
        delay = min(MAX_DELAY, FIRST_DELAY * DELAY_GROWTH**attempt)
        if not behind or reactor.seconds() - started + delay > limit:
            return tuple(pending[item] for item in behind)
        await deferLater(reactor, delay)
        answers = await query_instances(behind, fetch)


def format_pending(pending: Iterable[PendingInstance]) -> tuple[str, ...]:
    """Return a line for each pending instance."""
    return tuple(
        f"not in force on {item.name}: {item.problem}"
        + (f" ({', '.join(item.paths)})" if item.paths else "")
        for item in pending
    )
