"""Statements taken late in a stop are cut off while a busy database runs them."""

import os
import random
import sys
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from twisted.internet import reactor
from twisted.internet.defer import Deferred, DeferredSemaphore
from twisted.internet.task import deferLater

from review.site_2 import (
    GRACE,
    ROUTES,
    CouldNotRun,
    Record,
    RecordingDatabase,
    RecordingSession,
    Site,
    run_case,
)

ROUTE = "xapu221"
SLOTS = 3
WORK = 0.22
"""Seconds that a read takes: the longest of device-checkin, with three slots."""

CLIENTS = 20
"""Clients of each instance, as many as its connections to the two replicas."""

MAX_PAUSE = 0.2
"""Longest pause between two statements, seconds."""

READS = 10
"""Reads of a transaction, which has up to 12 statements."""

WARM_UP = 6.0
STOP_HALF = GRACE / 2
HAS_TROUBLE = os.environ.get("TROUBLE") != "0"


class Lost(NamedTuple):
    """A statement without an answer; times in seconds of the record."""

    request_id: str
    sent_at: float
    ended_at: float


class SlottedSession(RecordingSession):
    """A connection whose reads and commits wait for one of the database's slots."""

    async def _run(self, request_id: bytes, text: bytes) -> bytes:
        """Run a statement as soon as a slot is free."""
        words = text.split(b" ")
        keyword = words[2] if words[0] == b"AFTER" else words[0]
        if keyword == b"STATUS" and not self.factory.slots.tokens:
            return b"ERROR BUSY all slots are taken\r\n" + self._ready()
        if keyword not in (b"READ", b"WRITE", b"COMMIT"):
            return await super()._run(request_id, text)
        self.factory.arrived.add(request_id.decode())
        await self.factory.slots.acquire()
        try:
            await deferLater(reactor, WORK)
            return await super()._run(request_id, text)
        finally:
            self.factory.slots.release()


class SlottedDatabase(RecordingDatabase):
    """A database that runs as many statements at a time as it has slots."""

    protocol = SlottedSession
    arrived: set[str] = set()

    def __init__(self, *arguments: object):
        super().__init__(*arguments)
        self.slots = DeferredSemaphore(SLOTS)


async def run_client(
    site: Site, instance, number: int, is_over: Callable[[], bool], lost: list[Lost]
) -> None:
    """Run transactions of reads until the connection ends or the case is over."""
    record = site.record
    client = await site.connect(instance, f"c{number}", ROUTE)
    count = 0
    while not (is_over() or client.is_closed):
        for text in ("BEGIN READ", *["READ 1a4"] * READS, "COMMIT"):
            count += 1
            request_id, sent_at = f"{number}-{count}", record.now()
            lines = await client.query(request_id, text)
            if lines is None:
                lost.append(Lost(request_id, sent_at, record.now()))
                return
            if any(line.startswith(b"ERROR") for line in lines):
                break
            await deferLater(reactor, random.uniform(0.0, MAX_PAUSE))
            if client.is_closed:
                return
    client.transport.loseConnection()


async def main(record: Record) -> bool:
    """Run the case; return True if the rule was broken."""
    site = Site(record, 2, SlottedDatabase)
    try:
        await site.start()
        return await run_clients(record, site)
    finally:
        site.stop()


async def run_clients(record: Record, site: Site) -> bool:
    """Stop one of two instances under load."""
    lost: list[Lost] = []
    ends: list[bool] = []
    for index, instance in enumerate(site.instances):
        for number in range(CLIENTS):
            name = index * CLIENTS + number
            running = run_client(site, instance, name, lambda: bool(ends), lost)
            Deferred.fromCoroutine(running).addErrback(
                lambda failure: record.write(f"a client has failed: {failure.value!r}")
            )
    await deferLater(reactor, WARM_UP)
    if lost or not site.runs:
        raise CouldNotRun("statements were lost before the stop, or none was served")
    began_at = site.terminate(site.instances[0]) if HAS_TROUBLE else record.now()
    await deferLater(reactor, GRACE + 1.0)
    broken = [each for each in lost if is_broken(record, began_at, each)]
    ends.append(True)
    record.write(f"{len(broken)} statements break LOST")
    return bool(broken)


def is_broken(record: Record, began_at: float, lost: Lost) -> bool:
    """Return whether a statement without an answer breaks LOST."""
    sent_after = lost.sent_at - began_at
    ran_for = lost.ended_at - lost.sent_at
    was_passed_on = lost.request_id in SlottedDatabase.arrived
    is_late = sent_after > STOP_HALF
    is_before_timeout = ran_for < ROUTES[ROUTE][1] / 1000
    is_during_stop = HAS_TROUBLE and lost.ended_at <= began_at + GRACE + 1.0
    record.write(
        f"{lost.request_id}: sent {sent_after:.3f} s after the SIGTERM; passed on to a "
        f"database: {was_passed_on}; the connection ended without an answer "
        f"{ran_for:.3f} s after it was sent"
    )
    return was_passed_on and is_late and is_before_timeout and is_during_stop


if __name__ == "__main__":
    sys.exit(run_case(main, Path(__file__).resolve().parent))
