"""Runs a coroutine in the process's reactor, for commands that use real sockets."""

from collections.abc import Callable, Coroutine
from typing import TypeVar

from twisted.internet.defer import Deferred

T = TypeVar("T")


def run_in_reactor(make: Callable[[object], Coroutine[object, object, T]]) -> T:
    """Run the reactor until a coroutine ends; possible once in a process.

    Parameters
    ----------
    make : callable
        Given the reactor, returns the coroutine.

    Returns
    -------
    object
        The result of the coroutine; its exception is raised again.
    """
    # The import installs the reactor, so it must not happen at module level.
    from twisted.internet import reactor

    outcome: list = []

    def begin() -> None:
        ended = Deferred.fromCoroutine(make(reactor))
        ended.addBoth(outcome.append)
        ended.addCallback(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    if hasattr(outcome[0], "raiseException"):
        outcome[0].raiseException()
    return outcome[0]
