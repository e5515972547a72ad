"""A simulated site with one group, its proxies and a writing caller at each."""

from collections.abc import Callable
from enum import Enum
from itertools import chain
from random import Random
from typing import NamedTuple

from beryltrack.failover.detector import FailureDetector
from beryltrack.failover.primary_records import PrimaryRecordWriter
from beryltrack.groups.task import GroupTask
from beryltrack.settings.messages import DatabaseSettings, Endpoint, GroupSettings
from beryltrack_bench.deployment import Deployment, get_zone
from beryltrack_bench.fakes.group import FakeAdapter, FakeGroup, make_network
from beryltrack_bench.fakes.nodes import Node, Site
from beryltrack_bench.fakes.platform import (
    PLATFORM_NAME,
    FakePlatform,
    FakePlatformClient,
)
from beryltrack_bench.history import Event, FinalLog, Promoted
from beryltrack_bench.losses.caller import WritingCaller
from beryltrack_bench.losses.faults import FaultContext

SLOW_STORE_DELAY = 0.8
"""Delay of each call to a slow store, seconds."""

NO_ENDPOINT = Endpoint("127.0.0.1", 0)


class Store(Enum):
    """The state of the platform's store during a run."""

    UP = "up"
    SLOW = "slow"
    DOWN = "down"


class LossOptions(NamedTuple):
    """Options of a run.

    Parameters
    ----------
    deployment : Deployment
        Zones, sizes and delays.
    lost_after : float
        The group's setting `lost_after`, seconds.
    store : Store
        The state of the store.
    bad_link : bool
        True if one proxy does not reach one of the databases.
    make_detector : callable or None
        Makes each proxy's detector; None selects the fixed timeout `lost_after`.
    """

    deployment: Deployment
    lost_after: float
    store: Store = Store.UP
    bad_link: bool = False
    make_detector: Callable[[], FailureDetector] | None = None


class LossSite:
    """One group of a deployment with the product's tasks on each proxy.

    Parameters
    ----------
    options : LossOptions
        Options of the run.
    rng : Random
        Source of all random numbers.
    """

    def __init__(self, options: LossOptions, rng: Random):
        deployment = options.deployment
        self.history: list[Event] = []
        self.site = Site()
        self.options = options
        self._rng = rng
        self.network = make_network(self.site, deployment, rng)
        self.group = FakeGroup(
            self.site, self.network, deployment, rng, record=self.history.append
        )
        self.platform = self._make_platform()
        self.proxies = tuple(
            self.site.add_node(f"proxy-{number + 1}", get_zone(deployment, number))
            for number in range(deployment.proxies)
        )
        self.group.start()
        self.tasks = {proxy.name: self._make_task(proxy) for proxy in self.proxies}
        self.callers = {
            proxy.name: WritingCaller(
                proxy,
                self.tasks[proxy.name],
                self.group,
                deployment.connection_setup,
                self.history.append,
            )
            for proxy in self.proxies
        }
        if options.bad_link:
            self._cut_one_link()
        for name, task in self.tasks.items():
            task.set_instances(tuple(self.tasks))
            task.start()
            self.callers[name].start()

    @property
    def context(self) -> FaultContext:
        """The group and proxies that faults act on."""
        return FaultContext(self.group, self.proxies, self._rng)

    @property
    def promotions(self) -> int:
        """Number of changes of primary so far."""
        return sum(isinstance(event, Promoted) for event in self.history) - 1

    def run(self, seconds: float) -> None:
        """Advance the clock by some seconds."""
        self.site.run_until(self.site.clock.seconds() + seconds)

    def reaches(self, proxy: Node, database: str) -> bool:
        """Return whether a proxy reaches a database now."""
        return not self.network.is_cut(proxy.name, database)

    def finish(self) -> None:
        """Stop all callers, record the final log and stop the tasks."""
        for caller in self.callers.values():
            caller.stop()
        self.run(0.2)
        entries = tuple(entry.statements for entry in self.group.primary.log.entries)
        self.history.append(FinalLog(self.group.name, tuple(filter(None, entries))))
        for task in self.tasks.values():
            task.stop()

    def get_final_keys(self) -> tuple[str, ...]:
        """Return the keys in the final log, with duplicates."""
        last = self.history[-1]
        return tuple(chain.from_iterable(last.entries))

    def _make_platform(self) -> FakePlatform:
        node = self.site.add_node(PLATFORM_NAME, self.options.deployment.zones[0])
        platform = FakePlatform(node)
        platform.is_down = self.options.store is Store.DOWN
        if self.options.store is Store.SLOW:
            platform.delay = SLOW_STORE_DELAY
        return platform

    def _make_task(self, proxy: Node) -> GroupTask:
        databases = tuple(
            DatabaseSettings(name, NO_ENDPOINT, item.node.zone, 0, 0, False)
            for name, item in self.group.databases.items()
        )
        lost_after = self.options.lost_after
        settings = GroupSettings(
            self.group.name, "", databases, "", "", 0.0, lost_after
        )
        rng = Random(self._rng.getrandbits(32))
        adapter = FakeAdapter(self.group, proxy)
        make_detector = self.options.make_detector
        detector = make_detector() if make_detector else None
        task = GroupTask(proxy, settings, adapter, proxy.name, rng, detector=detector)
        client = FakePlatformClient(self.platform, self.network, proxy)
        task.subscribe_failover(PrimaryRecordWriter(proxy, client, rng).write)
        return task

    def _cut_one_link(self) -> None:
        """Cut the link between a random proxy and a random database."""
        proxy = self._rng.choice(self.proxies).name
        self.network.cut_both(proxy, self._rng.choice(list(self.group.databases)))
