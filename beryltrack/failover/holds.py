"""Ends the holds that an election has set, in time and none of a later election.

A hold keeps a replica from receiving until the database that it voted for is promoted.
If it ends earlier, the replica receives and confirms commits that the next primary may
lack. The request that ends a hold names no term, so it must not arrive when another
instance has held the replica for the next one. It is sent under a permit, which that
instance would have taken before, and within a time limit: a request can wait long for
a database that is out of reach.
"""

import logging
from collections.abc import Iterable

from returns.result import Success
from twisted.internet.defer import CancelledError, DeferredList, gatherResults
from twisted.internet.task import deferLater

from beryltrack.clock import get_monotonic_clock
from beryltrack.failover.authority import Permit
from beryltrack.failover.background import run_in_background
from beryltrack.groups.adapter import DatabaseGroup

log = logging.getLogger(__name__)

RELEASE_TIMEOUT = 0.5
"""Seconds within which holds must be ended. Another instance may set new ones later."""

RELEASE_INTERVAL = 0.05
"""Seconds between two attempts at a database."""


class HoldReleaser:
    """Ends holds of one group's databases.

    Parameters
    ----------
    reactor : IReactorTime
        Source of the time.
    group : str
        The group's name.
    adapter : DatabaseGroup
        Sends the requests.
    """

    def __init__(self, reactor, group: str, adapter: DatabaseGroup):
        self._reactor = reactor
        self._seconds = get_monotonic_clock(reactor)
        self._group = group
        self._adapter = adapter

    async def end(self, term: int, databases: Iterable[str], permit: Permit) -> None:
        """End the holds for a term, or for earlier ones.

        Parameters
        ----------
        term : int
            The term of the election that has ended.
        databases : iterable of str
            The databases that it may have held.
        permit : Permit
            The permit, confirmed after the election.
        """
        now = self._seconds()
        send_before = min(permit.valid_until, now + RELEASE_TIMEOUT)
        releasing = gatherResults(
            run_in_background(self._end_at(database, term, send_before))
            for database in databases
        )
        limit = deferLater(self._reactor, max(0.0, send_before - now))
        try:
            await DeferredList((releasing, limit), fireOnOneCallback=True)
        finally:
            limit.addErrback(lambda failure: failure.trap(CancelledError)).cancel()

    async def _end_at(self, database: str, term: int, send_before: float) -> None:
        """End a database's hold unless it is for a later term; retry if that fails."""
        while self._seconds() < send_before:
            found = await self._adapter.get_status(database)
            status = found.value_or(None)
            if status is not None and not status.is_held:
                return
            if status is not None and status.term > term:
                log.info(
                    "failover: %s: %s is held for term %d; the election for term %d"
                    " leaves it so.",
                    self._group,
                    database,
                    status.term,
                    term,
                )
                return
            if status is not None:
                released = await self._adapter.release(database, send_before)
                if isinstance(released, Success):
                    return
            await deferLater(self._reactor, RELEASE_INTERVAL)
        log.warning(
            "failover: %s: %s gave no answer within %.1f s of the election for term %d;"
            " if it is held, it stays so until the next one.",
            self._group,
            database,
            RELEASE_TIMEOUT,
            term,
        )
