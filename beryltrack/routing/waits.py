"""Wait for the first of several replicas that has applied a position.

The first of two replicas catches up far sooner than a given one, as catch-up times have
a heavy tail and the stalls of the two are independent.
"""

from typing import Protocol

from twisted.internet.defer import Deferred, DeferredList

from beryltrack.groups.messages import LogPosition
from beryltrack.routing.messages import UseTarget, WaitForTarget


class AppliedSource(Protocol):
    """Reports when a database has applied a position, as `GroupTask` does."""

    def wait_applied(
        self, database: str, token: LogPosition, timeout: float
    ) -> Deferred:
        """Return a Deferred of True, or of False after `timeout` seconds."""


async def wait_for_target(
    source: AppliedSource, wait: WaitForTarget
) -> UseTarget | None:
    """Wait for the first replica of a choice that is ready.

    Parameters
    ----------
    source : AppliedSource
        Reports the replicas' applied positions.
    wait : WaitForTarget
        The choice.

    Returns
    -------
    UseTarget or None
        The first replica that is ready; None if none is before the timeout.
    """
    ready = Deferred()
    answers = [
        _resolve_if_ready(
            ready,
            target.database,
            source.wait_applied(target.database, target.position, wait.timeout),
        )
        for target in wait.targets
    ]
    DeferredList(answers).addCallback(lambda ignored: _resolve_once(ready, None))
    return await ready


def _resolve_if_ready(ready: Deferred, database: str, answer: Deferred) -> Deferred:
    """Resolve `ready` with a database once its own wait succeeds."""

    def handle_result(is_ready: bool) -> None:
        if is_ready:
            _resolve_once(ready, UseTarget(database, True))

    return answer.addCallback(handle_result)


def _resolve_once(ready: Deferred, use: UseTarget | None) -> None:
    """Resolve the wait, unless it is resolved already."""
    if not ready.called:
        ready.callback(use)
