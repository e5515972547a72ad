"""One run of the soak: a site, its callers, and faults by a seed."""

import itertools
import random
from pathlib import Path
from tempfile import mkdtemp
from typing import NamedTuple

from twisted.internet.defer import Deferred, TimeoutError, gatherResults
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectError
from twisted.internet.task import deferLater

from beryltrack_bench.soak.caller import Caller, CallerConnection, CallerGone
from beryltrack_bench.soak.faults import draw_fault
from beryltrack_bench.soak.history import BOUNDED_ROUTE, Violation
from beryltrack_bench.soak.site import (
    ADDED_KEY,
    NO_ACCOUNT,
    ROUTES,
    TAKEN_KEY,
    Node,
    SoakOptions,
    SoakSite,
)

START_LIMIT = 15.0
"""Seconds within which the nodes must take callers."""

CALLERS = 4
"""Callers of each route."""

SETTLE_TIME = 5.0
"""Seconds after the last fault in which callers go on; a change of the settings that is
made at its beginning must be in force at its end, as it has 3 s."""

ADDED_ROUTE = ROUTES[BOUNDED_ROUTE]._replace(name="db4")
"""The route that the last change of the settings adds."""


class SoakResult(NamedTuple):
    """What a run came to.

    Parameters
    ----------
    seed : int
        Its seed.
    violations : tuple of Violation
        What was broken.
    outcomes : dict of str to int
        How many statements ended how.
    faults : tuple of str
        The faults, in order.
    promotions : int
        Changes of primary.
    served_last : int
        Statements served after the last fault was over.
    folder : str
        Where the nodes' logs lie.
    """

    seed: int
    violations: tuple[Violation, ...]
    outcomes: dict[str, int]
    faults: tuple[str, ...]
    promotions: int
    served_last: int
    folder: str


async def run_soak(
    reactor,
    seed: int,
    seconds: float,
    options: SoakOptions = SoakOptions(),  # noqa: B008 (immutable)
) -> SoakResult:
    """Run a site under faults and judge what callers and databases saw.

    Parameters
    ----------
    reactor : reactor
        Carries the stand-ins and the callers.
    seed : int
        Decides sizes, faults and what callers ask. Times of processes vary, so that
        a seed gives the same faults, one after the other, and not the same run.
    seconds : float
        How long faults are injected.
    options : SoakOptions
        What may go wrong beside the usual faults, and how many nodes there are.
    """
    rng = random.Random(seed)
    count, limit = rng.choice(((3, 40), (4, 40), (5, 14)))
    count = options.nodes or count
    folder = Path(mkdtemp(prefix=f"soak-{seed}-"))
    site = SoakSite(reactor, seed, count, limit, rng, folder, options)
    try:
        site.start()
        await _wait_ready(reactor, site)
        return await _run_callers(reactor, site, rng, seed, seconds, folder)
    finally:
        site.stop()


async def _run_callers(
    reactor, site: SoakSite, rng: random.Random, seed: int, seconds: float, folder: Path
) -> SoakResult:
    """Run callers beside faults."""
    entries = [node.listen for node in site.nodes]
    owners = itertools.cycle(site.accounts.values() or (NO_ACCOUNT,))
    callers = [
        Caller(
            reactor,
            site.history,
            entries,
            route,
            kind,
            random.Random(rng.random()),
            account.name,
            account.keys[0],
        )
        for kind, route in ROUTES.items()
        for account in itertools.islice(owners, CALLERS)
    ]
    runs = [Deferred.fromCoroutine(caller.run()) for caller in callers]
    # The stand-ins draw from their own numbers as often as they are asked.
    faults = await _inject(reactor, site, random.Random(f"faults {seed}"), seconds)
    served = site.history.outcomes["served"]
    if site.accounts:
        site.accounts["calm"] = site.accounts["calm"]._replace(keys=("calm-1",))
        keys = ("other-1", ADDED_KEY)
        site.accounts["other"] = site.accounts["other"]._replace(keys=keys)
    site.write_configuration(ADDED_ROUTE)
    await deferLater(reactor, SETTLE_TIME)
    for node in site.nodes:
        await _check_settings(reactor, site, node, "calm-1")
        if site.accounts:
            await _check_settings(reactor, site, node, ADDED_KEY)
            await _check_settings(reactor, site, node, TAKEN_KEY, False)
    for caller in callers:
        caller.is_stopped = True
    await gatherResults(runs)
    await deferLater(reactor, 0.5)
    site.history.finish(site.tokens.breaches)
    return SoakResult(
        seed,
        tuple(site.history.violations),
        dict(site.history.outcomes),
        tuple(faults),
        site.group.promotions,
        site.history.outcomes["served"] - served,
        str(folder),
    )


async def _check_settings(
    reactor, site: SoakSite, node: Node, key: str, is_served: bool = True
) -> None:
    """Ask a node for the route that was added; one that is not there says nothing."""
    endpoint = TCP4ClientEndpoint(reactor, *node.listen, timeout=1)
    try:
        connection = await connectProtocol(endpoint, CallerConnection())
    except ConnectError:
        site.history.outcomes["no last session"] += 1
        return
    start = f"START {ADDED_ROUTE.name} {key}".encode()
    try:
        await connection.ask(start).addTimeout(1.0, reactor)
    except (CallerGone, TimeoutError) as error:
        site.history.outcomes[f"last session: {type(error).__name__}"] += 1
    connection.transport.abortConnection()
    lines = connection.lines
    site.history.note_session(node.name, ADDED_ROUTE.name, lines, is_served)


async def _wait_ready(reactor, site: SoakSite) -> None:
    """Wait until all nodes have registered, as they do once they run."""
    deadline = reactor.seconds() + START_LIMIT
    names = {node.name for node in site.nodes}
    while reactor.seconds() < deadline:
        known = {name for kind, name in site.store.objects if kind == "members"}
        if known >= names:
            break
        await deferLater(reactor, 0.1)
    await deferLater(reactor, 2.0)


async def _inject(
    reactor, site: SoakSite, rng: random.Random, seconds: float
) -> list[str]:
    """Begin and end faults for a time; all are over at the end."""
    until = reactor.seconds() + seconds
    names = []
    while reactor.seconds() < until:
        fault = draw_fault(site, rng)
        names.append(fault.name)
        fault.begin()
        reactor.callLater(rng.uniform(0.5, 3.0), fault.end)
        if rng.random() < 0.2:
            site.write_configuration()
        await deferLater(reactor, rng.uniform(0.2, 2.0))
    await deferLater(reactor, 3.0)
    for node in site.nodes:
        if not site.is_running(node):
            site.start_node(node)
    return names
