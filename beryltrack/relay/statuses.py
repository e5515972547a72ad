"""The statuses of an owner's databases, as the sessions of other instances share them.

A status takes a slot of its database and is paid for: all sessions that wait for the
next one of a database get the same.
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


class Watcher(Protocol):
    """What lends connections to a database, as `Lender` does."""

    @property
    def task(self) -> GroupTask:
        """Watches the database's group."""


class SharedStatus(NamedTuple):
    """What a database answered when it was asked for its status.

    Parameters
    ----------
    answer : DatabaseStatus or SqlError
        The status, or why there is none.
    task : GroupTask
        Watches its group.
    """

    answer: DatabaseStatus | SqlError
    task: GroupTask


class _StatusShare:
    """Who waits for the status of one database."""

    def __init__(self):
        self.waiting: list[Deferred] = []
        self.is_running = False


class StatusSharing:
    """Asks databases for their statuses as long as sessions wait for one.

    Parameters
    ----------
    find_watcher : callable
        Returns who watches the group of a database; None if this instance gives no
        connections to it.
    """

    def __init__(self, find_watcher: Callable[[str, str], Watcher | None]):
        self._find_watcher = find_watcher
        self._shares: dict[tuple[str, str], _StatusShare] = {}

    def wait(self, group: str, database: str) -> "Deferred[SharedStatus | None]":
        """Return what a database answers when it is asked after this call.

        None if this instance gives no connections to it.
        """
        key = (group, database)
        share = self._shares.setdefault(key, _StatusShare())
        waiter: Deferred = Deferred()
        share.waiting.append(waiter)
        if not share.is_running:
            share.is_running = True
            Deferred.fromCoroutine(self._ask(key, share)).addErrback(_log_defect)
        return waiter

    async def _ask(self, key: tuple[str, str], share: _StatusShare) -> None:
        """Ask for statuses for as long as somebody waits for one."""
        try:
            while share.waiting:
                # Whoever comes after this waits for the next answer.
                waiting, share.waiting = share.waiting, []
                shared = await self._ask_once(*key)
                for waiter in waiting:
                    waiter.callback(shared)
        finally:
            share.is_running = False

    async def _ask_once(self, group: str, database: str) -> SharedStatus | None:
        """Return a status or why there is none, and who watches the group."""
        watcher = self._find_watcher(group, database)
        if watcher is None:
            return None
        result = await watcher.task.ask_status(database)
        if isinstance(result, Success):
            return SharedStatus(result.unwrap(), watcher.task)
        return SharedStatus(_make_status_error(result.failure()), watcher.task)


def _make_status_error(failure: ControlFailure) -> SqlError:
    """Return the error of a status that the database did not give.

    One that is at work and has no slot is told apart from one that is silent.
    """
    state = TOO_MANY_CONNECTIONS if failure.is_answered else CANNOT_CONNECT_NOW
    return make_refusal(failure.text, 0.0, state)


def _log_defect(failure) -> None:
    """Log a defect: those who wait then run into their own time limits."""
    log.error("relay: A status met a defect: %s", failure.getTraceback())
