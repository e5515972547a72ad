"""Writes who leads a group into the platform's store, after the fact.

The record is a hint for operators and for new instances. Nothing waits for
it, and a store that is slow or down delays no change of primary. Whoever wrote it
writes it again when the store has been restored from a backup that may lack it.
"""

import logging
from random import Random
from typing import Protocol

from returns.result import Result, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from beryltrack.failover.messages import FailoverReport
from beryltrack.objects.eras import RESTORE_SPREAD
from beryltrack.objects.messages import PlatformError, PlatformObject

log = logging.getLogger(__name__)

PATH_PREFIX = "status/groups/"
MAX_ATTEMPTS = 8
INITIAL_BACKOFF = 0.5
MAX_BACKOFF = 30.0


class ObjectClient(Protocol):
    """What is needed of the platform's client."""

    async def get(self, path: str) -> Result[PlatformObject | None, PlatformError]:
        """Return one object, or None if there is none."""

    async def put(
        self, path: str, value: object, if_version: int
    ) -> Result[int, PlatformError]:
        """Write an object if its version is `if_version`."""


class PrimaryRecordWriter:
    """Writes one record for each change of primary.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    client : ObjectClient
        The platform's client.
    rng : Random
        Source of jitter.
    """

    def __init__(self, reactor, client: ObjectClient, rng: Random):
        self._reactor = reactor
        self._client = client
        self._rng = rng
        self._last: dict[str, FailoverReport] = {}

    def rewrite_all(self) -> None:
        """Write the last report of each group again, some time from now."""
        for report in self._last.values():
            delay = self._rng.uniform(0.0, RESTORE_SPREAD)
            self._reactor.callLater(delay, self.write, report)

    def write(self, report: FailoverReport) -> Deferred:
        """Write a report, in the background.

        Parameters
        ----------
        report : FailoverReport
            What was done.

        Returns
        -------
        Deferred
            Fires with True if the store has this or a later term, with False
            if it was given up.
        """
        self._last[report.group] = report
        return Deferred.fromCoroutine(self._write(report))

    async def _write(self, report: FailoverReport) -> bool:
        for attempt in range(MAX_ATTEMPTS):
            if await self._try_once(report):
                return True
            mean = min(INITIAL_BACKOFF * 2**attempt, MAX_BACKOFF)
            await deferLater(self._reactor, mean * self._rng.uniform(0.5, 1.5))
        log.info("failover: the record of %s was given up.", report.group)
        return False

    async def _try_once(self, report: FailoverReport) -> bool:
        """Return whether the store has this term or a later one."""
        path = PATH_PREFIX + report.group
        found = await self._client.get(path)
        if not isinstance(found, Success):
            return False
        kept = found.unwrap()
        if kept is not None and get_recorded_term(kept) >= report.term:
            return True
        version = 0 if kept is None else kept.version
        written = await self._client.put(path, make_record(report), version)
        return isinstance(written, Success)


def make_record(report: FailoverReport) -> dict:
    """Return the JSON object of a record."""
    return {
        "term": report.term,
        "primary": report.primary,
        "reason": report.kind.value,
        "seconds": round(report.seconds, 3),
        "silence": round(report.silence, 3),
    }


def get_recorded_term(kept: PlatformObject) -> int:
    """Return the term of a record; 0 if it cannot be read."""
    value = kept.value
    term = value.get("term") if isinstance(value, dict) else None
    return term if isinstance(term, int) else 0
