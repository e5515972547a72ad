"""Waits until changes are in force on each instance, by asking the instances.

The platform is asked once for the list; then only those instances are asked
again that did not have the changes yet.
"""

from collections.abc import Iterable
from itertools import count
from typing import NamedTuple

from returns.result import Failure
from twisted.internet.task import deferLater

from beryltrack.command.instances import (
    FetchStatus,
    InstanceAnswer,
    ask_again,
    collect_answers,
)
from beryltrack.daemon.status import ObjectVersion
from beryltrack.objects.client import PlatformClient

LEAVING = "leaving"
FIRST_DELAY = 0.2
DELAY_GROWTH = 1.5
MAX_DELAY = 2.0


class PendingInstance(NamedTuple):
    """An instance on which changes are not in force yet.

    Parameters
    ----------
    name : str
        Its name.
    problem : str
        Why it counts as pending.
    paths : tuple of str
        The objects that it lacks.
    """

    name: str
    problem: str
    paths: tuple[str, ...]


def get_pending(
    answer: InstanceAnswer, wanted: Iterable[ObjectVersion]
) -> PendingInstance | None:
    """Return what keeps an instance from having the wanted versions in force.

    Parameters
    ----------
    answer : InstanceAnswer
        The instance and its status.
    wanted : iterable of ObjectVersion
        The versions that were written.

    Returns
    -------
    PendingInstance or None
        None if all are in force, or if the instance is leaving.
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
        return PendingInstance(answer.name, "has not heard of them", behind)
    faulty = {finding.source for finding in status.findings}
    refused = tuple(item.path for item in wanted if item.path in faulty)
    if refused:
        return PendingInstance(answer.name, "has findings against them", refused)
    return None


async def wait_in_force(
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
        Longest time to wait, seconds.

    Returns
    -------
    tuple of PendingInstance
        The instances that still lack any; empty if all have them.
    """
    started = reactor.seconds()
    result = await collect_answers(client, fetch)
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
        answers = await ask_again(behind, fetch)


def format_pending(pending: Iterable[PendingInstance]) -> tuple[str, ...]:
    """Return a line for each instance that lacks a change."""
    return tuple(
        f"not in force on {item.name}: {item.problem}"
        + (f" ({', '.join(item.paths)})" if item.paths else "")
        for item in pending
    )
