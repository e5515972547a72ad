"""One run of the soak: a site, its callers, and faults drawn by a seed."""

import itertools
import random
from pathlib import Path
from tempfile import mkdtemp
from typing import NamedTuple

import treq
from twisted.internet.defer import Deferred, TimeoutError, gatherResults
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectError
from twisted.internet.task import deferLater

from beryltrack.daemon.node import METRICS_PATH, METRICS_PORT
from beryltrack_bench.soak import stops
from beryltrack_bench.soak.caller import (
    ANSWER_TIMEOUT,
    Caller,
    CallerConnection,
    CallerGone,
)
from beryltrack_bench.soak.faults import UNDECODABLE_SPECS, draw_fault
from beryltrack_bench.soak.history import BOUNDED_ROUTE, Violation
from beryltrack_bench.soak.releases import run_releases
from beryltrack_bench.soak.site import (
    ADDED_KEY,
    NO_ACCOUNT,
    REVOKED_KEY,
    ROUTES,
    Node,
    SoakOptions,
    SoakSite,
)

BUSY_METRIC = "beryltrack_pool_busy"
"""Metric of the connections to databases that are in use."""

START_TIMEOUT = 15.0
"""Longest wait for all nodes to register, seconds."""

CALLERS = 4
"""Callers of each route."""

SETTLE_TIME = 5.0
"""Seconds for which callers go on after the last fault. A settings change made at its
beginning must be in force at its end, as a change may take 3 s."""

RELEASES_LIMIT = 8
"""Connections to a database in runs of releases: requests queue for them."""

DRAIN_TIME = 10.0
"""Seconds for which callers go on once a replica was drained: 7 s, and some more."""

IDLE_CHECKS = 5
IDLE_CHECK_PERIOD = 0.3
"""How often, and after how many seconds each, a node is asked for its connections in
use: a probe of its own may use one for a moment."""

ADDED_ROUTE = ROUTES[BOUNDED_ROUTE]._replace(name="db4")
"""The route that the last change of the settings adds."""


class SoakResult(NamedTuple):
    """The result of a run.

    Parameters
    ----------
    seed : int
        Its seed.
    violations : tuple of Violation
        The violations found.
    outcomes : dict of str to int
        Number of statements by outcome.
    faults : tuple of str
        Names of the faults, in order.
    promotions : int
        Changes of primary.
    served_last : int
        Statements served after the end of the last fault.
    folder : str
        Folder of the nodes' logs.
    stop_times : dict of str to float
        Median and longest seconds from SIGTERM to the end of a process.
    """

    seed: int
    violations: tuple[Violation, ...]
    outcomes: dict[str, int]
    faults: tuple[str, ...]
    promotions: int
    served_last: int
    folder: str
    stop_times: dict[str, float]


async def run_soak(
    reactor,
    seed: int,
    seconds: float,
    options: SoakOptions = SoakOptions(),  # noqa: B008 (immutable)
) -> SoakResult:
    """Run a site under faults and check what callers and databases saw.

    Parameters
    ----------
    reactor : reactor
        Carries the stand-ins and the callers.
    seed : int
        Seed of sizes, faults and operations. The timing of processes varies, so a
        seed repeats the sequence of faults, but not the run.
    seconds : float
        Seconds for which faults are injected.
    options : SoakOptions
        Additional faults, and the number of nodes.
    """
    rng = random.Random(seed)
    count, limit = rng.choice(((3, 40), (4, 40), (5, 14)))
    count = options.nodes or count
    limit = RELEASES_LIMIT if options.has_only_releases else limit
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
    """Run callers and faults, and check the history."""
    endpoints = [node.listen for node in site.nodes]
    owners = itertools.cycle(site.accounts.values() or (NO_ACCOUNT,))
    count = stops.CALLERS if site.options.has_only_stops else CALLERS
    callers = [
        Caller(
            reactor,
            site.history,
            endpoints,
            route,
            kind,
            random.Random(rng.random()),
            account.name,
            account.keys[0],
            site.options.has_leaving_callers,
            site.options.has_only_stops,
        )
        for kind, route in ROUTES.items()
        for account in itertools.islice(owners, count)
    ]
    runs = [Deferred.fromCoroutine(caller.run()) for caller in callers]
    # The stand-ins draw from `rng` at times that vary, so faults have their own.
    inject = run_releases if site.options.has_only_releases else _inject_faults
    inject = stops.run_stops if site.options.has_only_stops else inject
    faults = await inject(reactor, site, random.Random(f"faults {seed}"), seconds)
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
            await _check_settings(reactor, site, node, REVOKED_KEY, False)
    if site.options.has_foreign_entries:
        site.store.change("servers", "other-0", UNDECODABLE_SPECS[0])
        site.drain_replica()
        await deferLater(reactor, DRAIN_TIME)
    for caller in callers:
        caller.is_stopped = True
    await gatherResults(runs)
    await deferLater(reactor, 0.5)
    if site.options.has_leaving_callers:
        for node in site.nodes:
            in_use = await _count_in_use(reactor, node)
            site.history.check_connections(node.name, in_use)
    site.history.finish(site.tokens.breaches)
    return SoakResult(
        seed,
        tuple(site.history.violations),
        dict(site.history.outcomes),
        tuple(faults),
        site.group.promotions,
        site.history.outcomes["served"] - served,
        str(folder),
        site.history.summarize_stops(),
    )


async def _check_settings(
    reactor, site: SoakSite, node: Node, key: str, is_served: bool = True
) -> None:
    """Check a session on the route that was added; skip a node that does not accept."""
    endpoint = TCP4ClientEndpoint(reactor, *node.listen, timeout=1)
    try:
        connection = await connectProtocol(endpoint, CallerConnection())
    except ConnectError:
        site.history.outcomes["no last session"] += 1
        return
    start = f"START {ADDED_ROUTE.name} {key}".encode()
    try:
        await connection.send(start).addTimeout(1.0, reactor)
    except (CallerGone, TimeoutError) as error:
        site.history.outcomes[f"last session: {type(error).__name__}"] += 1
    connection.transport.abortConnection()
    lines = connection.lines
    site.history.check_session_answer(node.name, ADDED_ROUTE.name, lines, is_served)


async def _count_in_use(reactor, node: Node) -> float:
    """Return the least number of database connections that a node had in use."""
    url = f"http://{node.host}:{METRICS_PORT}{METRICS_PATH.decode()}"
    counts = []
    for _ in range(IDLE_CHECKS):
        await deferLater(reactor, IDLE_CHECK_PERIOD)
        response = await treq.get(url, reactor=reactor, timeout=ANSWER_TIMEOUT)
        page = (await response.text()).splitlines()
        values = (line.split(" ")[-1] for line in page if line.startswith(BUSY_METRIC))
        counts.append(sum(map(float, values)))
    return min(counts)


async def _wait_ready(reactor, site: SoakSite) -> None:
    """Wait until all nodes have registered in the store, or the time is up."""
    deadline = reactor.seconds() + START_TIMEOUT
    names = {node.name for node in site.nodes}
    while reactor.seconds() < deadline:
        known = {name for kind, name in site.store.objects if kind == "members"}
        if known >= names:
            break
        await deferLater(reactor, 0.1)
    await deferLater(reactor, 2.0)


async def _inject_faults(
    reactor, site: SoakSite, rng: random.Random, seconds: float
) -> list[str]:
    """Inject faults for some seconds, and wait until all have ended."""
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
