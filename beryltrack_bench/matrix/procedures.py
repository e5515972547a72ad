"""The procedures at whose steps the matrix injects faults.

Each is a coroutine on a `World`. Its steps are all messages that nodes send and
receive and all timers that fire until it ends; they are observed, not listed.
"""

from collections.abc import Awaitable, Callable
from random import Random

from returns.result import Failure, Success
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.task import deferLater

from beryltrack.settings.change import ChangeFailure, FailureKind, SettingsChange
from beryltrack.settings.stored import ChangeRequest
from beryltrack_bench.history import ChangeAnswered, Refusal
from beryltrack_bench.matrix.caller import RETRY_INTERVAL, Session
from beryltrack_bench.matrix.world import (
    PROXIES,
    SETTINGS_PATH,
    World,
    get_version,
    make_settings,
)

PROCEDURE_TIMEOUT = 6.0
"""Seconds after which a procedure without progress ends."""

DRAINING_TIME = 4.0
"""Seconds of work after a target announces that it is leaving."""

ARRIVAL_MARGIN = 0.001
"""Seconds beyond the link's delay after which a message has arrived."""

NEW_PROXY = "proxy-3"

Procedure = Callable[[World], Awaitable[object]]


async def write(world: World) -> None:
    """Write once, then read through another proxy."""
    session = Session(world, "writer")
    await session.write("w")
    await session.read()


async def marked_write(world: World) -> None:
    """Repeat an at-most-once write through other proxies until acknowledged."""
    session = Session(world, "marker")
    await session.write_until_acknowledged("m", limit=world.now + PROCEDURE_TIMEOUT)


async def read(world: World) -> None:
    """Read the session's own write through other proxies until answered."""
    session = Session(world, "reader")
    await session.write_until_acknowledged("r", limit=world.now + PROCEDURE_TIMEOUT)
    await session.read_until(world.now + PROCEDURE_TIMEOUT)


async def transaction(world: World) -> None:
    """Run two transactions of several statements concurrently."""
    one, other = Session(world, "one"), Session(world, "other", first_proxy=1)
    await _gather(
        one.write("one/1", "one/2", "one/3"),
        other.write("other/1", "other/2", "other/3"),
    )


async def failover(world: World) -> None:
    """Lose the primary and write until a new primary acknowledges."""
    name = world.group.primary.name
    world.group.crash(name, silent=True)
    session = Session(world, "survivor")
    await session.write_until_acknowledged("f", limit=world.now + PROCEDURE_TIMEOUT)
    world.group.restart(name)


async def hand_over(world: World) -> None:
    """Make the primary leave and write until another database is primary."""
    before = world.group.primary
    before.set_leaving(True)
    limit = world.now + PROCEDURE_TIMEOUT
    session = Session(world, "mover")
    number = 0
    while world.group.primary is before and world.now < limit:
        number += 1
        await session.write(f"h/{number}")
        await deferLater(world.caller, RETRY_INTERVAL)
    before.set_leaving(False)


async def settings_change(world: World) -> None:
    """Change the group's settings and wait until all proxies use them."""
    await change_settings(world, "change", max_age=3.0)
    limit = world.now + PROCEDURE_TIMEOUT
    stored = world.platform.get(SETTINGS_PATH).unwrap()
    while world.now < limit and _is_any_older(world, stored.version):
        await deferLater(world.operator, RETRY_INTERVAL)


async def draining(world: World) -> None:
    """Make a replica leave while a session continues; it must get no new work."""
    primary = world.group.primary
    databases = world.group.databases.values()
    replica = next(each for each in databases if each is not primary)
    replica.set_leaving(True)
    limit = world.now + DRAINING_TIME
    session = Session(world, "drainer")
    await session.write_until_acknowledged("d", limit=limit)
    while world.now < limit:
        await session.read()
        await deferLater(world.caller, RETRY_INTERVAL * 4)
    replica.set_leaving(False)


async def start_up(world: World) -> None:
    """Start another proxy and use it as soon as it answers."""
    world.start_proxy(NEW_PROXY, len(PROXIES))
    session = Session(world, "newcomer", first_proxy=len(PROXIES))
    await session.write_until_acknowledged("s", limit=world.now + PROCEDURE_TIMEOUT)
    await session.read_until(world.now + PROCEDURE_TIMEOUT)


async def shutdown(world: World) -> None:
    """Shut a proxy down gracefully while requests are in flight."""
    writer, reader = Session(world, "writer"), Session(world, "reader")
    work = _gather(writer.write("x"), reader.read())
    # The requests have arrived at the proxy when the shutdown begins.
    delay = world.network.compute_delay(world.caller, world.site.nodes[PROXIES[0]])
    await deferLater(world.operator, delay + ARRIVAL_MARGIN)
    node = world.site.nodes[PROXIES[0]]
    left, incarnation = world.leave_proxy(PROXIES[0]), node.incarnation
    limit = world.now + PROCEDURE_TIMEOUT
    while node.alive and not left.called and node.incarnation == incarnation:
        if world.now > limit:
            raise RuntimeError("the shutdown does not end")
        await deferLater(world.operator, RETRY_INTERVAL)
    await work
    world.start_proxy(PROXIES[0])


PROCEDURES: dict[str, Procedure] = {
    function.__name__: function
    for function in (
        write,
        marked_write,
        read,
        transaction,
        failover,
        hand_over,
        settings_change,
        draining,
        start_up,
        shutdown,
    )
}


async def change_settings(world: World, change_id: str, max_age: float) -> None:
    """Change the group's settings like the operators' tool; record the outcome."""
    settings = make_settings(world.group, max_age=max_age)["settings"]
    request = ChangeRequest(
        SETTINGS_PATH, settings, "operator", "test", "2026-01-01T00:00:00Z", change_id
    )
    client = world.make_client(world.operator)
    rng = Random(change_id)
    result = await SettingsChange(world.operator, client, request, rng).run()
    match result:
        case Success():
            refusal = None
        case Failure(ChangeFailure(kind)):
            unknown = kind is FailureKind.UNKNOWN
            refusal = Refusal.UNKNOWN if unknown else Refusal.NOT_RUN
    world.history.append(ChangeAnswered(change_id, refusal))


def _is_any_older(world: World, version: int) -> bool:
    """Return whether any live proxy has an older version in force."""
    return any(
        get_version(proxy) < version
        for proxy in world.proxies.values()
        if proxy.node.alive
    )


def _gather(*coroutines) -> Deferred:
    """Return a Deferred that fires when all coroutines have ended."""
    return DeferredList(
        [Deferred.fromCoroutine(each) for each in coroutines], fireOnOneErrback=True
    )
