"""One proxy: all tasks of an instance, its start and its graceful shutdown."""

import logging
import random
import sys
from enum import Enum

from twisted.internet.defer import TimeoutError, maybeDeferred
from twisted.internet.task import LoopingCall

from beryltrack.callers.factory import CallerFactory
from beryltrack.callers.tls import make_tls_context
from beryltrack.clock import get_monotonic_clock
from beryltrack.daemon.fleet import FleetTask
from beryltrack.daemon.groups import GroupTable
from beryltrack.daemon.health import build_health_site
from beryltrack.daemon.metrics import InstanceMetrics
from beryltrack.daemon.postgres_group_factory import PostgresGroupFactory
from beryltrack.daemon.reports import build_status
from beryltrack.daemon.status import InstanceStatus
from beryltrack.events.log import EventLog
from beryltrack.failover.messages import FailoverReport
from beryltrack.metrics.messages import PoolUse
from beryltrack.objects.client import PlatformClient
from beryltrack.objects.registration import RegistrationTask
from beryltrack.pause_aware_clock import TICK_PERIOD, Pause, get_pause_aware_clock
from beryltrack.peers.counters import register_counters
from beryltrack.requests.forward_flow import ForwardToOwners
from beryltrack.requests.forward_handler import ForwardHandler
from beryltrack.requests.ledger_cleaner import LedgerCleaner
from beryltrack.requests.postgres import PostgresProtocol
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
    InstanceSettings,
    SiteSettings,
)
from beryltrack.settings.task import SettingsTask

log = logging.getLogger(__name__)


class ProxyState(Enum):
    """The lifecycle state of a proxy."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


class Proxy:
    """One instance of beryltrack.

    Parameters
    ----------
    reactor : reactor
        Source of sockets and timers.
    settings : InstanceSettings
        Its settings file.
    rng : random.Random
        Source of jitter.
    """

    def __init__(self, reactor, settings: InstanceSettings, rng: random.Random):
        self.settings = settings
        self.state = ProxyState.STARTING
        self.metrics = InstanceMetrics(settings.name)
        self.platform = PlatformClient(reactor, settings.platform_url)
        self.settings_task = SettingsTask(reactor, self.platform, rng)
        self.groups = GroupTable(
            reactor, PostgresGroupFactory(reactor, settings.name, rng)
        )
        self.services = make_services(
            reactor,
            settings.zone,
            self.metrics,
            rng,
            PostgresProtocol(),
            events=EventLog(
                settings.name, sys.stderr.write, get_monotonic_clock(reactor)
            ),
        )
        handler = RequestTask(self.services, self._get_site, self.groups.get)
        self.fleet = FleetTask(
            reactor,
            settings,
            self.settings_task,
            self.platform,
            self.groups,
            ForwardHandler(reactor, handler.run_forwarded),
            rng,
        )
        handler.set_forwarder(ForwardToOwners(self.fleet.forwarder))
        register_counters(self.metrics.meter, self.fleet.peers.counters)
        self._cleaner = LedgerCleaner(
            self.services, lambda: self.groups.runtimes, self.fleet.is_duty_holder, rng
        )
        self.callers = CallerFactory(
            reactor, handler, self._get_site, _load_certificate(settings.certificate)
        )
        self._reactor = reactor
        self._ports = []
        self._endpoints: list[Endpoint] = []
        self._registration: RegistrationTask | None = None
        self.metrics.set_pool_source(self._get_pool_use)
        self.groups.subscribe_started(self._count_failovers)
        self._pause_aware_clock = get_pause_aware_clock(reactor)
        self._tick_loop = LoopingCall(self._pause_aware_clock.record_tick)
        self._tick_loop.clock = reactor

    @property
    def endpoint(self) -> Endpoint:
        """The address for callers."""
        return self._endpoints[0]

    @property
    def health_endpoint(self) -> Endpoint:
        """The address of the health, metrics and status pages."""
        return self._endpoints[1]

    def start(self) -> None:
        """Listen, and fetch the settings."""
        self._pause_aware_clock.start_detection()
        self._pause_aware_clock.subscribe(self._report_pause)
        self._tick_loop.start(TICK_PERIOD)
        self.settings_task.subscribe(self._apply)
        self.settings_task.start()
        self.services.admission.start()
        self.fleet.start()
        self._cleaner.start()
        site = build_health_site(
            lambda: self.state is ProxyState.LIVE, self.metrics.render, self.get_status
        )
        self._listen(self.settings.listen, self.callers)
        self._listen(self.settings.health_listen, site)
        self._registration = RegistrationTask(
            self._reactor, self.platform, self.settings.name, self.health_endpoint
        )
        self._registration.start()
        log.info("daemon: Instance %s listens.", self.settings.name)

    async def leave(self) -> None:
        """Shut down without cutting off a request in flight.

        New callers are refused, callers are disconnected between two transactions, and
        transactions that are still open at the drain limit are cut off. Statements that
        would not be answered in time are refused; see `ShutdownTimes`.
        """
        self.state = ProxyState.LEAVING
        log.info("daemon: Instance %s leaves.", self.settings.name)
        self.fleet.leave()
        times = self.services.shutdown.begin(self.settings.drain_limit)
        cancel_stages = schedule_stages(
            self._reactor,
            times,
            lambda: self.services.admission.evict_all(SHUTDOWN_REFUSAL),
            lambda: end_statements(self.groups.runtimes),
        )
        await self._ports[0].stopListening()
        leaving = self.callers.leave()
        leaving.addTimeout(self.settings.drain_limit, self._reactor)
        try:
            await leaving
        except TimeoutError:
            log.warning(
                "daemon: Drain limit of %g s reached, callers with open transactions "
                "are cut off.",
                self.settings.drain_limit,
            )
            self.callers.abort()
        cancel_stages()
        await self.stop()

    async def stop(self) -> None:
        """Close everything."""
        if self._tick_loop.running:
            self._tick_loop.stop()
            self._pause_aware_clock.unsubscribe(self._report_pause)
            self._pause_aware_clock.stop_detection()
        self.callers.abort()
        self.settings_task.stop()
        self.services.admission.stop()
        self._cleaner.stop()
        await self.groups.stop()
        await self.fleet.stop()
        await self._registration.stop()
        await self.platform.close()
        for port in self._ports:
            # A port that is already closed returns no Deferred.
            await maybeDeferred(port.stopListening)
        self.metrics.close()
        log.info("daemon: Instance %s has shut down.", self.settings.name)

    def get_status(self) -> InstanceStatus:
        """Return the instance's status."""
        return build_status(
            self.settings,
            self.state.value,
            self.settings_task,
            self.groups.runtimes,
            self.metrics.counters,
        )

    def _listen(self, endpoint: Endpoint, factory) -> None:
        """Open one listening socket."""
        port = self._reactor.listenTCP(endpoint.port, factory, interface=endpoint.host)
        self._ports.append(port)
        # A port that the system chose is known only while it is open.
        address = port.getHost()
        self._endpoints.append(Endpoint(address.host, address.port))

    def _count_failovers(self, runtime: GroupRuntime) -> None:
        """Count the changes of primary that this instance makes in a group."""

        def count(report: FailoverReport) -> None:
            self.metrics.count_failover(report.group)
            gap = report.silence + report.seconds
            self.metrics.record_failover_gap(report.group, gap)

        runtime.task.subscribe_failover(count)

    def _get_site(self) -> SiteSettings:
        """Return the settings in force."""
        return self.settings_task.current

    def _apply(self, site: SiteSettings) -> None:
        """Put new settings in force."""
        self.groups.apply(site)
        self.metrics.set_settings_revision(site.revision)
        if self.state is ProxyState.STARTING:
            self.state = ProxyState.LIVE
        log.info("daemon: Settings of revision %d are in force.", site.revision)

    def _report_pause(self, pause: Pause) -> None:
        """Log a pause of this process and the transactions open during it."""
        log.warning(
            "daemon: Process was paused for %.1f s with %d transactions open.",
            pause.length,
            self.callers.transaction_count,
        )

    def _get_pool_use(self) -> tuple[PoolUse, ...]:
        """Return the use of all pools."""
        loads = (
            (runtime.settings.name, name, pool.load)
            for runtime in self.groups.runtimes
            for name, pool in runtime.pools.items()
        )
        return tuple(
            PoolUse(
                group,
                name,
                load.in_use,
                load.open - load.in_use,
                load.waiting,
                load.limit,
            )
            for group, name, load in loads
        )


def _load_certificate(path: str):
    """Return the TLS options for callers, None without a certificate."""
    if not path:
        return None
    with open(path, "rb") as file:
        return make_tls_context(file.read())
