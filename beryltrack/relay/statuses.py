"""Status requests of an owner's databases, shared by the sessions of other instances.

Requests are coalesced (single flight): a status uses a slot of its database and is
billed, so all sessions that wait for the next status of a database get the same one.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple, Protocol

from returns.result import Success
from twisted.internet.defer import Deferred

from beryltrack.errors import (
    CANNOT_CONNECT_NOW,
    TOO_MANY_CONNECTIONS,
    SqlError,
    make_refusal,
)
from beryltrack.groups.messages import ControlFailure, DatabaseStatus
from beryltrack.groups.task import GroupTask

log = logging.getLogger(__name__)


class StatusSource(Protocol):
    """A source of a database's status, as `Lender` is."""

    @property
    def task(self) -> GroupTask:
        """The task that monitors the database's group."""


class SharedStatus(NamedTuple):
    """The result of one status request.

    Parameters
    ----------
    answer : DatabaseStatus or SqlError
        The status, or the error if there is none.
    task : GroupTask
        Monitors the database's group.
    """

    answer: DatabaseStatus | SqlError
    task: GroupTask


class _StatusWaiters:
    """The sessions that wait for the status of one database."""

    def __init__(self):
        self.waiting: list[Deferred] = []
        self.is_running = False


class StatusSharing:
    """Requests statuses from databases while sessions wait for one.

    Parameters
    ----------
    find_source : callable
        Returns the source of a database's status; None if this instance lends no
        connections to it.
    """

    def __init__(self, find_source: Callable[[str, str], StatusSource | None]):
        self._find_source = find_source
        self._waiters: dict[tuple[str, str], _StatusWaiters] = {}

    def wait(self, group: str, database: str) -> "Deferred[SharedStatus | None]":
        """Return a database's answer to a status request sent after this call.

        None if this instance lends no connections to it.
        """
        key = (group, database)
        waiters = self._waiters.setdefault(key, _StatusWaiters())
        waiter: Deferred = Deferred()
        waiters.waiting.append(waiter)
        if not waiters.is_running:
            waiters.is_running = True
            Deferred.fromCoroutine(self._serve_waiters(key, waiters)).addErrback(
                _log_defect
            )
        return waiter

    async def _serve_waiters(
        self, key: tuple[str, str], waiters: _StatusWaiters
    ) -> None:
        """Request statuses until no session waits for one."""
        try:
            while waiters.waiting:
                # Sessions that ask after this point wait for the next answer.
                waiting, waiters.waiting = waiters.waiting, []
                shared = await self._request_status(*key)
                for waiter in waiting:
                    waiter.callback(shared)
        finally:
            waiters.is_running = False

    async def _request_status(self, group: str, database: str) -> SharedStatus | None:
        """Request one status; None if there is no source."""
        source = self._find_source(group, database)
        if source is None:
            return None
        result = await source.task.ask_status(database)
        if isinstance(result, Success):
            return SharedStatus(result.unwrap(), source.task)
        return SharedStatus(_make_status_error(result.failure()), source.task)


def _make_status_error(failure: ControlFailure) -> SqlError:
    """Return the error for a status that a database did not return.

    A database that answers but has no free slot gets another SQLSTATE than one that
    does not answer.
    """
    state = TOO_MANY_CONNECTIONS if failure.is_answered else CANNOT_CONNECT_NOW
    return make_refusal(failure.text, 0.0, state)


def _log_defect(failure) -> None:
    """Log an unexpected failure; the waiting sessions reach their own time limits."""
    log.error(
        "relay: a status request failed unexpectedly; the sessions that wait for it "
        "will time out: %s",
        failure.getTraceback(),
    )
