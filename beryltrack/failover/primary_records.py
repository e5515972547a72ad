"""Records each change of a group's primary in the platform's store.

The record informs operators and new instances. It is written after the change, and no
election waits for it, so a slow or unavailable store delays no failover. The instance
that wrote it writes it again after a restore from a backup, which may lack it.
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

# Operators filter by the log field `logger`, so it keeps the name of earlier releases.
log = logging.getLogger("beryltrack.failover.hints")

PATH_PREFIX = "status/groups/"
MAX_ATTEMPTS = 8
INITIAL_BACKOFF = 0.5
"""Mean seconds before the second attempt; doubled after each further one."""
MAX_BACKOFF = 30.0
"""Upper bound of the mean seconds between two attempts."""


class ObjectClient(Protocol):
    """The calls of the platform's object store that failover uses."""

    async def get(self, path: str) -> Result[PlatformObject | None, PlatformError]:
        """Return one object, or None if there is none."""

    async def put(
        self, path: str, value: object, if_version: int
    ) -> Result[int, PlatformError]:
        """Write an object if its version is `if_version`; return its new version."""


class PrimaryRecordWriter:
    """Writes the record of each change of primary, with retries.

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
        """Write the last report of each group again, each after a random delay."""
        for report in self._last.values():
            delay = self._rng.uniform(0.0, RESTORE_SPREAD)
            self._reactor.callLater(delay, self.write, report)

    def write(self, report: FailoverReport) -> Deferred:
        """Write a report, in the background.

        Parameters
        ----------
        report : FailoverReport
            The change of primary.

        Returns
        -------
        Deferred
            Fires with True once the store has this or a later term, with False
            after `MAX_ATTEMPTS` failed attempts.
        """
        self._last[report.group] = report
        return Deferred.fromCoroutine(self._write(report))

    async def _write(self, report: FailoverReport) -> bool:
        for attempt in range(MAX_ATTEMPTS):
            if await self._write_once(report):
                return True
            mean = min(INITIAL_BACKOFF * 2**attempt, MAX_BACKOFF)
            await deferLater(self._reactor, mean * self._rng.uniform(0.5, 1.5))
        log.info(
            "failover: %s: primary not recorded in the store for term %d after %d "
            "attempts; giving up.",
            report.group,
            report.term,
            MAX_ATTEMPTS,
        )
        return False

    async def _write_once(self, report: FailoverReport) -> bool:
        """Return whether the store has this term or a later one."""
        path = PATH_PREFIX + report.group
        found = await self._client.get(path)
        if not isinstance(found, Success):
            return False
        stored = found.unwrap()
        if stored is not None and get_recorded_term(stored) >= report.term:
            return True
        version = 0 if stored is None else stored.version
        written = await self._client.put(path, make_record(report), version)
        return isinstance(written, Success)


def make_record(report: FailoverReport) -> dict:
    """Return a report as the JSON object to store."""
    return {
        "term": report.term,
        "primary": report.primary,
        "reason": report.kind.value,
        "seconds": round(report.seconds, 3),
        "silence": round(report.silence, 3),
    }


def get_recorded_term(stored: PlatformObject) -> int:
    """Return the term of a stored record; 0 if it cannot be read."""
    value = stored.value
    term = value.get("term") if isinstance(value, dict) else None
    return term if isinstance(term, int) else 0
