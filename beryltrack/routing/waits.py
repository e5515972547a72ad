"""Waits for the first of some replicas that is ready to serve a read.

The first to catch up of two replicas does so far sooner than a given one, as
the time that each takes has a heavy tail and the stalls of the two are apart.
"""

from typing import Protocol

from twisted.internet.defer import Deferred, DeferredList

from beryltrack.groups.messages import LogPosition
from beryltrack.routing.messages import UseTarget, WaitForTarget


class AppliedSource(Protocol):
    """Tells when a database has applied a position, as `GroupTask` does."""

    def wait_applied(
        self, database: str, token: LogPosition, timeout: float
    ) -> Deferred:
        """Return a Deferred of True, or of False at the timeout."""


async def wait_for_target(
    source: AppliedSource, wait: WaitForTarget
) -> UseTarget | None:
    """Wait as a choice says.

    Parameters
    ----------
    source : AppliedSource
        What tells of the replicas.
    wait : WaitForTarget
        The choice.

    Returns
    -------
    UseTarget or None
        The first replica that is ready, None if there is none in time.
    """
    ready = Deferred()
    answers = [
        _tell_if_ready(
            ready,
            target.database,
            source.wait_applied(target.database, target.position, wait.timeout),
        )
        for target in wait.targets
    ]
    DeferredList(answers).addCallback(lambda ignored: _tell(ready, None))
    return await ready


def _tell_if_ready(ready: Deferred, database: str, answer: Deferred) -> Deferred:
    """Tell of a database as soon as its own wait ends well."""

    def take(is_ready: bool) -> None:
        if is_ready:
            _tell(ready, UseTarget(database, True))

    return answer.addCallback(take)


def _tell(ready: Deferred, use: UseTarget | None) -> None:
    """End the wait, once."""
    if not ready.called:
        ready.callback(use)
