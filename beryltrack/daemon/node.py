"""One instance on the users' platform: all its tasks, its start and its shutdown."""

import logging
import random
import time
from collections.abc import Callable, Iterable
from enum import Enum

from twisted.internet.defer import (
    Deferred,
    TimeoutError,
    gatherResults,
    maybeDeferred,
)
from twisted.internet.error import CannotListenError
from twisted.internet.task import deferLater
from twisted.web.http import OK

from beryltrack.clock import get_monotonic_clock
from beryltrack.daemon import node_options as options
from beryltrack.daemon.caller_bounds import (
    CallerConnectionLimits,
    RelayConnectionLimits,
)
from beryltrack.daemon.configuration import ConfigurationRead, ConfigurationTask
from beryltrack.daemon.copies import FleetCopies
from beryltrack.daemon.group_connections import GroupConnections
from beryltrack.daemon.groups import GroupTable
from beryltrack.daemon.line_group_factory import LineGroupFactory
from beryltrack.daemon.load_status import LoadStatus, LoadView, make_status_page
from beryltrack.daemon.members import BATCH_DELAY, LivenessCheckFactory, MemberTask
from beryltrack.daemon.members import KIND as MEMBERS_KIND
from beryltrack.daemon.node_accounts import NodeAccounts
from beryltrack.daemon.node_policies import make_policies
from beryltrack.daemon.node_site import NodeSite
from beryltrack.daemon.plain_pages import Page, PlainPages, make_ready_page
from beryltrack.daemon.store_clients import make_store_clients
from beryltrack.daemon.zone_traffic import ZoneTraffic
from beryltrack.events.log import EventLog
from beryltrack.load.gate_status import render_gates
from beryltrack.metrics.messages import MetricSample, format_label
from beryltrack.metrics.prometheus import PrometheusMetrics
from beryltrack.objects.eras import EraTracker, get_latest_era, get_revision
from beryltrack.objects.feed import FeedTask, compute_watch_timeout
from beryltrack.objects.messages import PlatformObject
from beryltrack.objects.rejects import RejectLog
from beryltrack.objects.snapshot import Snapshot, SnapshotServer, SnapshotTask
from beryltrack.pause_aware_clock import Pause, get_pause_aware_clock
from beryltrack.platform.boot import READY_PATH
from beryltrack.platform.caller import LineCallerFactory
from beryltrack.platform.protocol import LineProtocol
from beryltrack.platform.relay import LineRelayFactory
from beryltrack.platform.settings import (
    CONFIG_KIND,
    CONFIG_PATH,
    DATABASES_KIND,
    ROW_SCHEMAS,
    read_configuration,
    read_entry,
)
from beryltrack.relay.directory import RelayDirectory
from beryltrack.relay.handler import RelayHandler
from beryltrack.relay.load_reporter import LoadReporter
from beryltrack.relay.owners import Peer
from beryltrack.requests.overdue import OverdueWatch
from beryltrack.requests.runtime import GroupRuntime
from beryltrack.requests.services import make_services
from beryltrack.requests.shutdown import (
    SHUTDOWN_REFUSAL,
    end_statements,
    schedule_stages,
)
from beryltrack.requests.task import RequestTask
from beryltrack.settings.messages import (
    Endpoint,
    RouteSettings,
    SiteSettings,
)
from beryltrack.settings.node import NodeSettings

log = logging.getLogger(__name__)

METRICS_PORT = 9464
"""Port of the metrics page, the default of OpenTelemetry's exporter; the deploy file
names it too."""

METRICS_PATH = b"/metrics"
STATUS_PATH = b"/status"

CALLERS_PORT_RETRY_DELAY = 1.0
"""Seconds between two attempts to listen for callers on a port that was taken while the
instance started."""

NEWER_SETTINGS_TIMEOUT = 5.0
"""Seconds after the start for which an instance asks others for newer settings, as the
store may have been restored from a backup."""

BALANCER_DELAY = 2.6
"""Seconds that the load balancer may take to notice that an instance leaves: two
health checks, one a second."""


class NodeState(Enum):
    """The lifecycle state of an instance."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


class Node:
    """One instance.

    Parameters
    ----------
    reactor : reactor
        Source of sockets and timers.
    settings : NodeSettings
        Its settings file.
    rng : random.Random
        Source of jitter.
    write_line : callable
        Writes a line of the request log.
    """

    def __init__(
        self,
        reactor,
        settings: NodeSettings,
        rng: random.Random,
        write_line: Callable[[str], object],
    ):
        self.settings = settings
        self.state = NodeState.STARTING
        self.metrics = PrometheusMetrics()
        self._reactor = reactor
        self._rng = rng
        self._seconds = get_monotonic_clock(reactor)
        # The check for overdue requests drives its ticks.
        self._pause_aware_clock = get_pause_aware_clock(reactor)
        self._rejects = RejectLog()
        clients = make_store_clients(reactor, settings, rng, self._rejects)
        self._eras: EraTracker = clients.eras
        self._policies = make_policies(
            settings.is_fenced,
            settings.disabled,
            settings.load,
            settings.drain_limit,
        )
        cache_endpoint = settings.cache_listen if self._policies.shares_copies else None
        # A later process of the instance has a higher number, also without a disk.
        self._incarnation = int(time.time() * 1000)
        own = Peer(
            settings.name,
            settings.zone,
            settings.relay_listen,
            cache_endpoint,
            settings.quota_listen,
            settings.capacity,
        )
        self._own = own
        directory = RelayDirectory(
            own,
            self._seconds,
            options.ASSUMED_INSTANCES,
            self._policies.account_owners,
            self._policies.choose_owners,
        )
        self._traffic = ZoneTraffic(reactor, settings.zone)
        self._accounts = NodeAccounts(
            self._traffic, settings, directory, rng, self._policies.probes_owners
        )
        self._group_factory = LineGroupFactory(
            reactor,
            settings.name,
            clients.promotion,
            clients.authority,
            directory,
            rng,
            settings.is_fenced,
            self._policies,
            self._accounts.quota,
            self._incarnation,
            self._traffic,
        )
        self._groups = GroupTable(reactor, self._group_factory)
        self._connections = GroupConnections(
            settings.name,
            directory,
            self._groups,
            self._policies,
            self._accounts.has_answered,
        )
        self._load = LoadView(
            directory, lambda: self._groups.runtimes, self._group_factory.owner_loads
        )
        directory.set_reachability_observer(self._connections.apply_shares)
        self._groups.subscribe_started(self._connections.start_group)
        self._configuration_objects: dict[str, PlatformObject] = {}
        self._snapshot: Snapshot = {}
        self._site = NodeSite(self._seconds)
        self._configuration = ConfigurationTask(
            reactor, read_configuration, ROW_SCHEMAS, self._apply_configuration
        )
        self._expiry_call = None
        self._listen_retry_call = None
        self._services = make_services(
            reactor,
            settings.zone,
            self.metrics,
            rng,
            LineProtocol(
                self._get_route,
                options.make_request_policy,
                self._accounts.get_account_index,
            ),
            routing=self._policies.routing,
            events=EventLog(settings.name, write_line, self._seconds),
            retries=self._policies.retries,
            admission=self._policies.admission,
            account_owners=directory,
            has_group_owners=lambda: directory.has_group_owners,
        )
        self._group_factory.set_retry_budget(self._services.retries)
        handler = RequestTask(self._services, self._get_site, self._find_group)
        limits = CallerConnectionLimits(self._get_site)
        self._callers = LineCallerFactory(reactor, handler, limits)
        self._relay = RelayHandler(
            reactor.seconds,
            self._connections.get_lender,
            options.RELAY_TIMEOUT,
            LoadReporter(self._seconds, self._policies.uses_owner_reports),
            self._incarnation,
            self._policies.routing.lagging_pause,
            self._connections.owns,
            self._services.shutdown,
        )
        self._relays = LineRelayFactory(
            reactor, self._relay, RelayConnectionLimits(self._get_site)
        )
        self._feeds = [
            FeedTask(
                reactor,
                clients.store,
                kind,
                callback,
                rng,
                watch_timeout,
                batch_delay,
            )
            for kind, callback, watch_timeout, batch_delay in (
                (
                    CONFIG_KIND,
                    self._handle_configuration,
                    compute_watch_timeout(settings.change_limit),
                    options.SETTINGS_BATCH_DELAY,
                ),
                (
                    DATABASES_KIND,
                    self._handle_databases,
                    min(
                        compute_watch_timeout(settings.drain_limit),
                        options.MAX_DATABASES_WATCH,
                    ),
                    options.DATABASES_BATCH_DELAY,
                ),
            )
        ]
        _, self._databases_feed = self._feeds
        self._overdue = OverdueWatch(
            reactor,
            self._seconds,
            lambda: self._groups.runtimes,
            self._connections.abort_overdue,
            self._connections.is_silent,
            self._policies.overdue_after,
        )
        self._members = MemberTask(
            reactor,
            clients.store,
            clients.lagging_store,
            own,
            settings.member_listen,
            self._handle_members,
            rng,
            # All instances of a fleet that starts have registered by then.
            BATCH_DELAY if settings.is_first_start else 0.0,
            self._rejects,
        )
        shared = (*self._feeds, self._members.feed)
        self._copies = FleetCopies(self._traffic, shared, own, settings.cache_sources)
        self._snapshots = SnapshotTask(
            reactor, settings.snapshot_sources, self._apply_snapshot, rng
        )
        self._ports = []
        self.metrics.set_sample_source(self._get_samples)

    @property
    def is_ready(self) -> bool:
        """True if the instance accepts callers."""
        return self.state is NodeState.LIVE

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """All addresses on which the instance listens, at its start or later."""
        settings = self.settings
        each = (
            settings.ready_listen,
            self._metrics_listen,
            settings.member_listen,
            settings.relay_listen,
            settings.snapshot_listen,
            self._own.cache_endpoint,
            self._own.quota_endpoint,
            settings.listen,
        )
        return tuple(endpoint for endpoint in each if endpoint is not None)

    @property
    def _metrics_listen(self) -> Endpoint:
        """The address of the metrics and status pages."""
        return Endpoint(self.settings.listen.host, METRICS_PORT)

    def start(self) -> None:
        """Fetch the settings, and listen for callers once they are known.

        A caller that connected earlier would be told that its database does not exist.
        """
        ready = {READY_PATH: make_ready_page(lambda: self.is_ready)}
        self._listen(self.settings.ready_listen, PlainPages(self._reactor, ready))
        pages = {
            METRICS_PATH: lambda: Page(OK, self.metrics.render()),
            STATUS_PATH: make_status_page(self._get_status),
        }
        self._listen(self._metrics_listen, PlainPages(self._reactor, pages))
        self._listen(self.settings.member_listen, LivenessCheckFactory())
        self._listen(self.settings.relay_listen, self._relays)
        if self.settings.snapshot_listen is not None:
            port = SnapshotServer(self._get_snapshot)
            self._listen(self.settings.snapshot_listen, port)
        if self._own.cache_endpoint is not None:
            self._listen(self._own.cache_endpoint, self._copies.publisher)
            self._copies.start()
        if self._own.quota_endpoint is not None:
            self._listen(self._own.quota_endpoint, self._accounts.port)
        self._accounts.start()
        if self._policies.uses_snapshots and not self.settings.is_first_start:
            self._snapshots.start()
        self._services.admission.start()
        self._overdue.start()
        self._pause_aware_clock.subscribe(self._report_pause)
        for feed in self._feeds:
            feed.start()
        self._members.start()
        log.info("daemon: Instance %s is starting.", self.settings.name)
        for mechanism in sorted(each.value for each in self.settings.disabled):
            log.warning(
                "daemon: Mechanism %s is disabled by the environment.", mechanism
            )

    async def leave(self) -> None:
        """Shut down without cutting off a request in flight.

        The ready page fails first, and callers are served until the load balancer has
        noticed. Then each caller is disconnected between two transactions. Statements
        that would not be answered in time are refused; see `ShutdownTimes`.
        """
        self.state = NodeState.LEAVING
        log.info("daemon: Instance %s is shutting down.", self.settings.name)
        grace = self.settings.grace
        Deferred.fromCoroutine(self._members.leave())
        self._relay.leave()
        self._accounts.leave()
        relays_left = self._relays.leave()
        times = self._services.shutdown.begin(grace)
        cancel_stages = schedule_stages(
            self._reactor,
            times,
            self._finish_callers,
            lambda: end_statements(self._groups.runtimes),
        )
        await deferLater(self._reactor, min(BALANCER_DELAY, grace / 2))
        leaving = gatherResults([self._callers.leave(), relays_left])
        leaving.addTimeout(times.abort_at - self._seconds(), self._reactor)
        try:
            await leaving
        except TimeoutError:
            log.warning(
                "daemon: Grace period of %g s is nearly over, %d callers with open "
                "transactions are cut off.",
                grace,
                self._callers.transaction_count,
            )
        cancel_stages()
        self._callers.abort()
        self._relays.abort()
        await self.stop()

    def _finish_callers(self) -> None:
        """Begin no operation any more, and refuse those that still wait."""
        log.info(
            "daemon: Grace period is ending, only statements of %d open transactions "
            "that are certain to be answered still begin.",
            self._callers.transaction_count,
        )
        self._services.admission.evict_all(SHUTDOWN_REFUSAL)
        self._callers.finish()
        self._relays.finish()

    async def stop(self) -> None:
        """Close everything."""
        self._copies.stop()
        self._configuration.stop()
        self._accounts.stop()
        for feed in self._feeds:
            feed.stop()
        self._members.stop()
        self._snapshots.stop()
        self._services.admission.stop()
        self._overdue.stop()
        self._pause_aware_clock.unsubscribe(self._report_pause)
        for port in self._ports:
            await maybeDeferred(port.stopListening)
        log.info("daemon: Instance %s has shut down.", self.settings.name)

    def _report_pause(self, pause: Pause) -> None:
        """Log a pause of this process and the transactions open during it."""
        log.warning(
            "daemon: Process was paused for %.1f s with %d transactions open.",
            pause.length,
            self._callers.transaction_count,
        )

    def _listen(self, endpoint: Endpoint, factory) -> None:
        """Open one listening socket."""
        port = self._reactor.listenTCP(
            endpoint.port, factory, backlog=1024, interface=endpoint.host
        )
        self._ports.append(port)

    def _get_site(self) -> SiteSettings:
        """Return the settings in force."""
        return self._site.settings

    def _get_route(self, name: str) -> RouteSettings | None:
        """Return the route of a database name."""
        return self._site.get_route(name)

    def _find_group(self, database: str) -> GroupRuntime | None:
        """Return the group that serves a database name, if it is known."""
        route = self._site.get_route(database)
        return self._groups.get(route.group) if route is not None else None

    def _handle_configuration(self, objects: dict[str, PlatformObject]) -> None:
        """Queue a new configuration for parsing."""
        if CONFIG_PATH in objects:
            self._configuration.read(objects[CONFIG_PATH])

    def _apply_configuration(self, read: ConfigurationRead) -> None:
        """Put a parsed configuration in force, unless a newer one already is."""
        self._rejects.report(read.findings)
        configuration = read.configuration
        if configuration is None or not self._site.update_configuration(configuration):
            return
        self._configuration_objects = {CONFIG_PATH: read.item}
        self._rejects.report(self._accounts.set_accounts(configuration.accounts))
        log.info("settings: Version %d is in force.", self._site.version)
        self._apply()

    def _handle_databases(self, objects: dict[str, PlatformObject]) -> None:
        """Handle a new list of the databases."""
        pairs = [read_entry(item) for item in objects.values()]
        self._rejects.report(finding for _, findings in pairs for finding in findings)
        changed_after = map(self._databases_feed.get_changed_after, objects)
        entries = tuple(
            entry._replace(changed_after=changed)
            for (entry, _), changed in zip(pairs, changed_after, strict=True)
            if entry is not None
        )
        era = get_latest_era(item.version for item in objects.values())
        self._site.update_databases(entries, era, self._databases_feed.removed_after)
        self._apply()

    def _get_snapshot(self) -> Snapshot:
        """Return the copies of the store's objects that this instance works with."""
        copies = {
            # A store restored from a backup may have older settings for a while.
            CONFIG_KIND: self._configuration_objects,
            DATABASES_KIND: self._databases_feed.objects,
            MEMBERS_KIND: self._members.objects,
        }
        return {
            kind: each or self._snapshot.get(kind, {}) for kind, each in copies.items()
        }

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        """Use another instance's copies until the store answers.

        Without them an instance that starts during an outage of the store would accept
        no callers before its return.
        """
        self._snapshot = snapshot
        if not self._connections.has_members and snapshot.get(MEMBERS_KIND):
            self._members.apply_copy(snapshot[MEMBERS_KIND])
        if not self._site.has_databases and snapshot.get(DATABASES_KIND):
            self._handle_databases(snapshot[DATABASES_KIND])
        self._handle_configuration(snapshot.get(CONFIG_KIND, {}))
        if self.state is NodeState.LIVE:
            self._snapshots.stop()

    def _handle_members(self, peers: tuple[Peer, ...]) -> None:
        """Handle a new list of the instances."""
        self._traffic.set_peers(peers)
        self._copies.set_peers(peers)
        self._connections.set_members(peers)
        self._accounts.set_members(peers)
        self._apply()

    def _apply(self) -> None:
        """Put the settings in force."""
        is_known = self._connections.has_members or self.settings.is_first_start
        if not (self._site.is_known and is_known):
            return
        now = self._seconds()
        self._groups.apply(self._site.apply(now))
        groups = (runtime.settings for runtime in self._groups.runtimes)
        self._traffic.set_databases(item for each in groups for item in each.databases)
        self._connections.set_accounts(self._accounts.get_account_index() is not None)
        self._connections.apply_shares()
        self._schedule_expiry_check(now)
        if self.state is NodeState.STARTING:
            self._listen_to_callers()

    def _listen_to_callers(self) -> None:
        """Listen for callers, now or as soon as their port is free."""
        try:
            self._listen(self.settings.listen, self._callers)
        except CannotListenError as error:
            log.warning(
                "daemon: Cannot listen for callers, retrying within %g s: %s",
                CALLERS_PORT_RETRY_DELAY,
                error,
            )
            if self._listen_retry_call is None or not self._listen_retry_call.active():
                self._listen_retry_call = self._reactor.callLater(
                    CALLERS_PORT_RETRY_DELAY, self._apply
                )
            return
        self.state = NodeState.LIVE
        self._finish_snapshots()
        log.info("daemon: Instance %s is ready.", self.settings.name)

    def _finish_snapshots(self) -> None:
        """Stop fetching other instances' copies, after a last check for newer settings.

        A store that has eras may just have been restored from a backup: the others then
        have newer settings in force, which operators have yet to write again. An era is
        the number of times that the store was restored.
        """
        if not self._eras.era:
            self._snapshots.stop()
            return
        self._snapshots.fetch_now()
        self._reactor.callLater(NEWER_SETTINGS_TIMEOUT, self._snapshots.stop)

    def _schedule_expiry_check(self, now: float) -> None:
        """Schedule the next check of the databases, when a missing one expires."""
        if self._expiry_call is not None and self._expiry_call.active():
            self._expiry_call.cancel()
        due = self._site.get_next_check(now)
        if due is not None:
            self._expiry_call = self._reactor.callLater(due - now + 0.01, self._apply)

    def _get_samples(self) -> Iterable[MetricSample]:
        """Return the current values of the instance's metrics."""
        yield "beryltrack_settings_version", "", self._site.version
        yield "beryltrack_callers", "", len(self._callers.callers)
        yield "beryltrack_store_is_followed", "", int(not self._copies.source)
        yield "beryltrack_store_era", "", self._eras.era
        yield "beryltrack_unreadable_objects_total", "", self._rejects.count
        for feed in (*self._feeds, self._members.feed):
            labels = f'kind="{feed.kind}"'
            yield "beryltrack_store_silence_seconds", labels, round(feed.silence, 3)
            yield "beryltrack_store_revision", labels, get_revision(feed.revision)
        for runtime in self._groups.runtimes:
            group = format_label("group", runtime.settings.name)
            for name, pool in runtime.pools.items():
                labels = f"{group},{format_label('database', name)}"
                yield "beryltrack_pool_busy", labels, pool.load.in_use
                yield "beryltrack_pool_waiting", labels, pool.load.waiting
        yield from self._accounts.get_samples()
        yield from self._traffic.get_samples()
        yield from render_gates(self._load.gates.list_gates())

    def _get_status(self) -> LoadStatus:
        """Return the status page's content: owners, queues and limits."""
        settings = self.settings
        return self._load.build(
            settings.name, settings.zone, self.state.value, self._site.version
        )
