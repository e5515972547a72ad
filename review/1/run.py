"""An unreadable entry in the store, then a planned replacement of a replica."""

import asyncio
import os
import sys
from pathlib import Path

from review.standins.client import Client
from review.standins.site import DRAIN_MS, Record, Site, make_route

HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2
DATABASE_NAME = "pricing"
SERVES_ON = 15.0
"""Seconds for which the leaving database serves after its report."""

UNREADABLE_ENTRY = {
    "service": "\udcff\udcfe",
    "address": "\udcff",
    "state": "ready",
    "sequence": 1,
}
"""An entry of another writer: fields are missing, two hold bytes that are no text."""


async def read_on(record: Record, instance, sent: dict, stop: asyncio.Event) -> None:
    """Read at an instance, ten times a second, over one session after the other."""
    client = None
    number = 0
    while not stop.is_set():
        if client is None:
            client = Client(record, instance, DATABASE_NAME)
            client.sent = sent[instance.name]
            if not await client.open():
                client = None
                await asyncio.sleep(0.2)
                continue
        number += 1
        if await client.query(f"READ item{number % 50}") is None:
            client.close()
            client = None
        await asyncio.sleep(0.1)


async def run(record: Record, has_trouble: bool) -> int:
    """Run the case; return the exit code."""
    site = Site(record, ("attica-a", "attica-b", "attica-c"))
    record.write(f"addresses {site.prefix}.*", True)
    stop = asyncio.Event()
    readers: list[asyncio.Task] = []
    try:
        await site.start_platform()
        await site.add_database("i-aaaaaaaa", "attica-a", "primary")
        await site.add_database("i-bbbbbbbb", "attica-a", "replica")
        await site.add_database("i-cccccccc", "attica-b", "replica")
        route = make_route(DATABASE_NAME, site.service.name, "bounded_staleness")
        site.write_configuration(7, [route])
        for number in (1, 2, 3):
            instance = await site.add_instance(f"front-attica-a-{number}", "attica-a")
            instance.start(True)
        for instance in tuple(site.instances.values()):
            if not await instance.wait_ready(15):
                record.write(f"{instance.name} did not get ready", True)
                return CANNOT_RUN
        added = await site.add_instance("front-attica-a-4", "attica-a")
        added.start(False)
        if not await added.wait_ready(15):
            record.write("the added machine did not get ready", True)
            return CANNOT_RUN
        record.write("all machines are ready, the fourth was added", True)
        sent = {name: {} for name in site.instances}
        for instance in site.instances.values():
            readers.append(asyncio.create_task(read_on(record, instance, sent, stop)))
        await asyncio.sleep(12)
        if has_trouble:
            site.store.write("servers", "i-zz", UNREADABLE_ENTRY)
            record.write("another writer's entry is in the store", True)
        await asyncio.sleep(5)
        leaving = site.service.databases["i-bbbbbbbb"]
        await site.add_database("i-dddddddd", "attica-a", "replica")
        await asyncio.sleep(2)
        site.write_entry(leaving, "draining")
        acknowledged = asyncio.get_running_loop().time()
        await asyncio.sleep(SERVES_ON)
        return judge(site, sent, leaving.name, acknowledged, record)
    finally:
        stop.set()
        if readers:
            await asyncio.wait(readers, timeout=3)
        site.end()


def judge(
    site: Site, sent: dict, leaving: str, acknowledged: float, record: Record
) -> int:
    """Check DRAIN: no request at a draining database later than `drain_ms`."""
    owners = {request: name for name, ids in sent.items() for request in ids}
    for each in site.service.runs:
        record.write(
            f"ran at {record.seconds(each.at):.3f} on {each.database}:"
            f" {each.request_id} {each.text}"
        )
    late = [
        each
        for each in site.service.runs
        if each.database == leaving and each.at > acknowledged + DRAIN_MS / 1000
    ]
    for name in site.instances:
        found = [each for each in late if owners[each.request_id] == name]
        total = sum(owners[each.request_id] == name for each in site.service.runs)
        record.write(
            f"{name}: {total} requests ran, {len(found)} on {leaving} later than"
            f" {DRAIN_MS} ms after it was acknowledged as draining",
            True,
        )
    dead = [
        each.name for each in site.instances.values() if each.process.poll() is not None
    ]
    if dead:
        record.write(f"ended by themselves: {dead}", True)
    return BROKEN if late else HOLDS


async def main() -> int:
    """Run the case within its time."""
    record = Record(Path(__file__).with_name("record.txt"))
    try:
        has_trouble = os.environ.get("TROUBLE", "1") != "0"
        code = await asyncio.wait_for(run(record, has_trouble), 110)
    except (OSError, TimeoutError) as error:
        record.write(f"cannot run: {error!r}", True)
        code = CANNOT_RUN
    record.write(f"exit code {code}", True)
    return code


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
