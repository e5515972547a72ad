"""One simulated database group under the steady workload, with all its proxies.

The proxies run the product's `GroupTask` and a `Router` over fakes. A database
runs a few statements at once and queues the others; a proxy has its share of the
connections to each database, and queues statements for them.
"""

from collections import Counter
from collections.abc import Iterator
from math import inf
from random import Random
from typing import NamedTuple

from twisted.internet.defer import Deferred, DeferredSemaphore, ensureDeferred
from twisted.internet.task import deferLater

from beryltrack.groups.messages import NO_POSITION, LogPosition
from beryltrack.groups.task import GroupTask
from beryltrack.routing.messages import (
    NeedSample,
    ReadRequest,
    Refuse,
    TargetLoad,
    UseTarget,
    WaitForTarget,
)
from beryltrack.routing.refresh import AgeRefresher
from beryltrack.routing.waits import wait_for_target
from beryltrack.settings.messages import DatabaseSettings, Endpoint, GroupSettings
from beryltrack.transactions.decider import CommitOutcome
from beryltrack_bench.deployment import Deployment, get_zone
from beryltrack_bench.fakes.group import FakeAdapter, FakeGroup, make_network
from beryltrack_bench.fakes.nodes import Node, Site
from beryltrack_bench.steady.records import (
    ReadRecord,
    RunRecord,
    TracedLog,
    WriteRecord,
)
from beryltrack_bench.steady.routers import Arrival, Router
from beryltrack_bench.steady.slots import SlotServer
from beryltrack_bench.steady.workload import (
    Visit,
    Workload,
    load_workload,
    make_stalls,
    make_visits,
)

LOST_AFTER = 0.5
"""Seconds of silence after which a primary counts as lost."""

WARM_UP = 1.0
"""Seconds before the first visit, in which the proxies learn the group's state."""

COOL_DOWN = 2.0
"""Seconds after the last visit began, in which the last answers arrive."""

CONFIRM_TIMEOUT = 5.0
"""Seconds within which a write must be confirmed."""

SAMPLE_TIMEOUT = 1.0
"""Seconds after which a sample of the primary is cancelled."""


class RunSettings(NamedTuple):
    """The parameters of one run.

    Parameters
    ----------
    deployment : Deployment
        The site.
    group : str
        Name of the simulated group.
    seed : int
        Seed of all random numbers.
    seconds : float
        Length of the run.
    """

    deployment: Deployment
    group: str
    seed: int
    seconds: float


class SteadyProxy:
    """One proxy, which executes requests with a given router."""

    def __init__(self, site: "SteadySite", node: Node, router: Router):
        self.node = node
        self.task = site.make_task(node)
        self._refresher = AgeRefresher(node, self.task, SAMPLE_TIMEOUT)
        self._site = site
        self._router = router
        self._sequence = 0
        self._limit = max(1, site.deployment.max_connections // site.deployment.proxies)
        self._connections = {
            name: DeferredSemaphore(self._limit) for name in site.servers
        }
        self._outstanding = Counter()

    async def write(self, key: str, service_time: float) -> LogPosition | None:
        """Run a write; return its position, or None if it was not confirmed."""
        primary = self.task.view.primary
        position = await self._use(
            primary, lambda server: server.write(key, service_time)
        )
        self.task.observe_position(primary, position)
        outcome = await self.task.confirm(position, CONFIRM_TIMEOUT)
        return position if outcome == CommitOutcome.CONFIRMED else None

    async def read(
        self, arrival: Arrival, service_time: float
    ) -> tuple[UseTarget | Refuse, LogPosition]:
        """Run a read; return the choice of its database and the position it saw."""
        self._sequence += 1
        request = arrival.request._replace(zone=self.node.zone, sequence=self._sequence)
        choice = await self._choose(arrival._replace(request=request))
        if isinstance(choice, Refuse):
            return choice, NO_POSITION
        position = await self._use(
            choice.database, lambda server: server.read(service_time)
        )
        self.task.observe_position(choice.database, position)
        return choice, position

    async def _choose(self, arrival: Arrival) -> UseTarget | Refuse:
        """Ask the router until it returns a database or a refusal."""
        while True:
            now = self.task.get_time()
            view = self.task.view
            choice = self._router.choose(view, arrival, self._get_loads(), now)
            request = arrival.request
            if isinstance(choice, NeedSample):
                request = request._replace(sample=await self.task.sample_primary())
            elif isinstance(choice, WaitForTarget):
                ready = await wait_for_target(self.task, choice)
                if ready is not None:
                    return ready
                request = request._replace(may_wait=False)
            else:
                self._refresh(choice)
                return choice
            arrival = arrival._replace(request=request)

    def _refresh(self, choice: UseTarget | Refuse) -> None:
        """Refresh the proven ages if the choice requires it."""
        if isinstance(choice, UseTarget) and choice.refreshes:
            self._refresher.refresh()

    def _get_loads(self) -> tuple[TargetLoad, ...]:
        """Return this proxy's outstanding statements at each database."""
        return tuple(
            TargetLoad(name, zone, self._outstanding[name], self._limit)
            for name, zone in self._site.zones.items()
        )

    async def _use(self, database: str, serve) -> LogPosition:
        """Run a statement at a database over one of the proxy's connections."""
        self._outstanding[database] += 1
        await self._connections[database].acquire()
        try:
            return await self._site.call(self.node, database, serve)
        finally:
            self._connections[database].release()
            self._outstanding[database] -= 1


class SteadySite:
    """The fakes, the proxies and the callers of one run.

    Parameters
    ----------
    settings : RunSettings
        Parameters of the run.
    router : Router
        The proxies' read routing policy.
    """

    def __init__(self, settings: RunSettings, router: Router):
        self.deployment = settings.deployment
        self._settings = settings
        self._workload: Workload = load_workload(settings.deployment.workload)
        self._site = Site()
        self._group = self._make_group()
        self.zones = {
            name: each.node.zone for name, each in self._group.databases.items()
        }
        self.servers = {
            name: SlotServer(each, settings.deployment.slots)
            for name, each in self._group.databases.items()
        }
        self._proxies = [
            SteadyProxy(self, self._add_proxy_node(index), router)
            for index in range(settings.deployment.proxies)
        ]
        self._record = RunRecord([], [], [], {}, [])
        self._rng = self._make_rng("callers")

    def run(self) -> RunRecord:
        """Run the whole workload and return its record."""
        self._group.start()
        for proxy in self._proxies:
            proxy.task.start()
        self._schedule_stalls()
        visits = make_visits(
            self._workload, self._settings.seconds, self._make_rng("visits")
        )
        self._schedule_visit(iter(visits))
        self._site.run_until(WARM_UP + self._settings.seconds + COOL_DOWN)
        self._record_replicas()
        return self._record

    def make_task(self, node: Node) -> GroupTask:
        """Return the product's `GroupTask` of one proxy."""
        adapter = FakeAdapter(self._group, node)
        rng = self._make_rng(node.name)
        return GroupTask(node, self._make_settings(), adapter, node.name, rng)

    def call(self, node: Node, database: str, serve) -> Deferred:
        """Run a statement in a database's slots, over the link to it."""
        server = self.servers[database]
        return self._group.call(
            node, database, "statement", lambda each: ensureDeferred(serve(server))
        )

    def _make_rng(self, purpose: str) -> Random:
        """Return the random number generator for one purpose."""
        return Random(f"{self._settings.seed} {self._settings.group} {purpose}")

    def _make_group(self) -> FakeGroup:
        """Return the databases, with logs that record when entries are applied."""
        rng = self._make_rng("databases")
        network = make_network(self._site, self.deployment, rng)
        group = FakeGroup(
            self._site, network, self.deployment, rng, self._settings.group
        )
        for name, database in group.databases.items():
            database.log = TracedLog(name, self._site.clock.seconds)
        return group

    def _make_settings(self) -> GroupSettings:
        """Return the group's settings, as the proxies have them."""
        databases = tuple(
            DatabaseSettings(
                name,
                Endpoint("127.0.0.1", 1),
                zone,
                self.deployment.max_connections,
                self.deployment.slots,
                False,
            )
            for name, zone in self.zones.items()
        )
        return GroupSettings(
            self._settings.group, "team", databases, "", "", 0.0, LOST_AFTER
        )

    def _add_proxy_node(self, index: int) -> Node:
        """Return the node of a proxy; zones are assigned round robin."""
        zone = get_zone(self.deployment, index)
        return self._site.add_node(f"proxy-{index + 1}", zone)

    def _schedule_stalls(self) -> None:
        """Schedule the stalls of the replicas."""
        replicas = tuple(name for name in self.zones if not self._is_primary(name))
        stalls = make_stalls(
            self._workload.stalls,
            replicas,
            self._settings.seconds,
            self._make_rng("stalls"),
        )
        for stall in stalls:
            at = WARM_UP + stall.at
            self._site.clock.callLater(
                at, self._stall, stall.database, at + stall.length
            )

    def _stall(self, database: str, until: float) -> None:
        """Stall a replica, which applies nothing until a time."""
        self._group.databases[database].lag_until = until

    def _is_primary(self, name: str) -> bool:
        """Return whether a database is the group's primary."""
        return name == self._group.primary.name

    def _schedule_visit(self, visits: Iterator[Visit]) -> None:
        """Schedule the next visit, which in turn schedules the one after it.

        Only one visit is scheduled at a time, as the clock sorts all its timers
        whenever one is added.
        """
        visit = next(visits, None)
        if visit is not None:
            delay = WARM_UP + visit.at - self._site.clock.seconds()
            self._site.clock.callLater(max(0.0, delay), self._begin, visit, visits)

    def _begin(self, visit: Visit, visits: Iterator[Visit]) -> None:
        """Begin a visit, and schedule the next one."""
        self._schedule_visit(visits)
        ensureDeferred(self._visit(visit))

    async def _visit(self, visit: Visit) -> None:
        """Make the requests of one visit."""
        token = NO_POSITION if visit.is_known else None
        written_at = -inf
        for number in range(visit.model.writes):
            if number:
                await self._think(visit)
            token = await self._write(visit, f"{visit.session}/{number}") or token
            written_at = self._site.clock.seconds()
        for number in range(visit.model.reads):
            if number or visit.model.writes:
                await self._think(visit)
            await self._read(visit, token, written_at)

    async def _write(self, visit: Visit, key: str) -> LogPosition | None:
        """Make one write; return its position if it was acknowledged."""
        proxy = self._rng.choice(self._proxies)
        await self._wait_client_delay()
        service_time = self._draw_service_time(self._workload.service.write_median)
        position = await proxy.write(key, service_time)
        acknowledged_at = self._site.clock.seconds()
        await self._wait_client_delay()
        if position is None:
            self._record.refused.append(f"{key} was not confirmed")
            return None
        ended_at = self._site.clock.seconds()
        self._record.writes.append(
            WriteRecord(visit.session, position.offset, acknowledged_at, ended_at)
        )
        return position

    async def _read(
        self, visit: Visit, token: LogPosition | None, written_at: float
    ) -> None:
        """Make one read."""
        started_at = self._site.clock.seconds()
        proxy = self._rng.choice(self._proxies)
        await self._wait_client_delay()
        arrived_at = self._site.clock.seconds()
        request = ReadRequest(proxy.task.get_time(), token, visit.model.max_age)
        choice, position = await proxy.read(
            Arrival(request, written_at),
            self._draw_service_time(self._workload.service.read_median),
        )
        await self._wait_client_delay()
        if isinstance(choice, Refuse):
            self._record.refused.append(choice.text)
            return
        self._record.reads.append(
            ReadRecord(
                visit.session,
                started_at,
                arrived_at,
                self._site.clock.seconds(),
                visit.model.max_age if token is not None else 0.0,
                position.offset,
                choice.is_replica,
            )
        )

    def _draw_service_time(self, median: float) -> float:
        """Draw a log-normal service time, seconds."""
        return median * self._rng.lognormvariate(0.0, self._workload.service.sigma)

    def _think(self, visit: Visit) -> Deferred:
        """Wait for the think time before the caller's next request."""
        spread = self._rng.lognormvariate(0.0, self._workload.think_sigma)
        return deferLater(self._site.clock, visit.model.think_median * spread)

    def _wait_client_delay(self) -> Deferred:
        """Wait for the network delay between a caller and the site."""
        return deferLater(self._site.clock, self.deployment.client_delay)

    def _record_replicas(self) -> None:
        """Record the applied offsets and the replication lags of each replica."""
        primary = self._group.primary.log.trace
        for name, database in self._group.databases.items():
            if self._is_primary(name):
                continue
            trace = database.log.trace
            self._record.replicas[name] = trace
            # A write that is not applied when the run ends counts as applied then.
            self._record.lags.extend(
                min(trace.get_time(write.offset), self._site.clock.seconds())
                - primary.get_time(write.offset)
                for write in self._record.writes
            )
