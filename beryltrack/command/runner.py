"""Runs a command's coroutine in the reactor until it returns its report."""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred

from beryltrack.command.fetch import build_fetch
from beryltrack.command.instances import FetchStatus
from beryltrack.command.report import ErrorReport, ExitCode, Report
from beryltrack.objects.client import PlatformClient


class CommandContext(NamedTuple):
    """The clients and sources that a command's action uses.

    Parameters
    ----------
    reactor : IReactorTime
        Clock of delays.
    client : PlatformClient
        Client of the platform.
    fetch : callable
        Returns the status of the instance at an endpoint.
    rng : random.Random
        Source of jitter.
    """

    reactor: object
    client: PlatformClient
    fetch: FetchStatus
    rng: random.Random


Action = Callable[[CommandContext], Awaitable[Report]]


class Runner(Protocol):
    """Runs an action until it returns its report."""

    def __call__(self, platform_url: str, action: Action) -> Report:
        """Return the report of an action on the platform at an address."""
        ...


def run_in_reactor(platform_url: str, action: Action) -> Report:
    """Run an action in the reactor of this process.

    Internal errors of the tool are raised. An action that the operator interrupts may
    have taken effect, so its outcome is unknown.
    """
    from twisted.internet import reactor

    outcomes = []
    client = PlatformClient(reactor, platform_url)
    context = CommandContext(reactor, client, build_fetch(reactor), random.Random())

    def begin() -> None:
        call = Deferred.fromCoroutine(action(context))
        call.addBoth(outcomes.append)
        call.addBoth(lambda _: client.close())
        call.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    if not outcomes:
        text = "interrupted before the outcome was known"
        return Report(ExitCode.UNKNOWN, ErrorReport(text), (text,))
    if not isinstance(outcomes[0], Report):
        outcomes[0].raiseException()
    return outcomes[0]
