"""Keeps one runtime for each database group of the settings in force."""

import logging
from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import Deferred, gatherResults

from beryltrack.connections.task import PoolTask
from beryltrack.groups.task import GroupTask, get_draining
from beryltrack.requests.losses import LossPolicy
from beryltrack.requests.runtime import GroupRuntime
from beryltrack.settings.messages import (
    DatabaseSettings,
    GroupSettings,
    SiteSettings,
)

log = logging.getLogger(__name__)

STOP_LIMIT = 5.0
"""Seconds that the transactions of a group that changes have to end."""

NO_SHARE = 0
"""Connections that a pool may open before the budget has set its limit."""

RuntimeCallback = Callable[[GroupRuntime], None]


class GroupFactory(Protocol):
    """Makes the parts of a group that know what its databases speak.

    `keeps_members` is True if databases may come and go while a group runs;
    `losses` says when requests to a silent database are given up.
    """

    keeps_members: bool
    losses: LossPolicy

    def make_task(self, group: GroupSettings) -> GroupTask:
        """Return the task that watches a group."""

    def make_pool(self, group: GroupSettings, database: DatabaseSettings) -> PoolTask:
        """Return the pool of one database."""


class GroupTable:
    """The runtimes of all groups.

    Parameters
    ----------
    reactor : reactor
        Source of sockets and timers.
    kit : TargetKit
        Makes the parts of a group that know what its databases speak.
    """

    def __init__(self, reactor, kit: GroupFactory):
        self._reactor = reactor
        self._kit = kit
        self._runtimes: dict[str, GroupRuntime] = {}
        self._wanted: dict[str, GroupSettings] = {}
        self._stopping: dict[str, Deferred] = {}
        self._started_callbacks: list[RuntimeCallback] = []
        self._stopped_callbacks: list[RuntimeCallback] = []

    @property
    def runtimes(self) -> tuple[GroupRuntime, ...]:
        """All runtimes."""
        return tuple(self._runtimes.values())

    def get(self, name: str) -> GroupRuntime | None:
        """Return the runtime of a group, or None."""
        return self._runtimes.get(name)

    def subscribe_started(self, callback: RuntimeCallback) -> None:
        """Call back with each runtime that starts."""
        self._started_callbacks.append(callback)

    def subscribe_stopped(self, callback: RuntimeCallback) -> None:
        """Call back with each runtime whose connections are all closed."""
        self._stopped_callbacks.append(callback)

    def apply(self, site: SiteSettings) -> None:
        """Start, change and stop runtimes as the settings ask.

        Parameters
        ----------
        site : SiteSettings
            The settings in force.
        """
        self._wanted = {group.name: group for group in site.groups}
        for name in self._runtimes.keys() - self._wanted.keys():
            self._stop(name)
        for name, group in self._wanted.items():
            self._apply_group(name, group)

    async def stop(self) -> None:
        """Stop all runtimes and wait until their connections are closed."""
        self._wanted = {}
        for name in tuple(self._runtimes):
            self._stop(name)
        await gatherResults(list(self._stopping.values()))

    def _apply_group(self, name: str, group: GroupSettings) -> None:
        """Bring one group's runtime in line with its settings."""
        runtime = self._runtimes.get(name)
        if runtime is None:
            self._start_once_free(group)
        elif runtime.settings == group:
            return
        elif _get_identity(runtime.settings) == _get_identity(group):
            runtime.settings = group
            runtime.task.set_draining(get_draining(group))
        elif self._kit.keeps_members and _has_only_moved(runtime.settings, group):
            runtime.set_databases(group, self._kit.make_pool)
            log.info("daemon: Group %s has %s.", name, _describe_members(group))
        else:
            self._stop(name)
            self._start_once_free(group)

    def _start(self, group: GroupSettings) -> None:
        """Make the runtime of a group; it is started when it is needed."""
        pools = {
            database.name: self._kit.make_pool(group, database)
            for database in group.databases
        }
        task = self._kit.make_task(group)
        runtime = GroupRuntime(self._reactor, group, task, pools, self._kit.losses)
        self._runtimes[group.name] = runtime
        for callback in self._started_callbacks:
            callback(runtime)
        log.info("daemon: Group %s is known.", group.name)

    def _start_once_free(self, group: GroupSettings) -> None:
        """Start a group when no connection of its former runtime is left."""
        stopping = self._stopping.get(group.name)
        if stopping is None:
            self._start(group)
            return
        # The settings may have changed again by then.
        stopping.addCallback(lambda _: self._start_wanted(group.name))

    def _start_wanted(self, name: str) -> None:
        """Start a group as the newest settings want it, if they still do."""
        group = self._wanted.get(name)
        if group is not None and name not in self._runtimes:
            self._start(group)

    def _stop(self, name: str) -> None:
        """Stop the runtime of a group once its transactions have ended."""
        runtime = self._runtimes.pop(name)
        log.info("daemon: Group %s stops.", name)
        cut_off = self._reactor.callLater(STOP_LIMIT, _cut_off, runtime)
        stopping = _drain(runtime)
        self._stopping[name] = stopping
        stopping.addCallback(lambda _: self._finish_stop(name, runtime, cut_off))

    def _finish_stop(self, name: str, runtime: GroupRuntime, cut_off) -> None:
        """Note that a runtime has no connection any more."""
        if cut_off.active():
            cut_off.cancel()
        del self._stopping[name]
        for callback in self._stopped_callbacks:
            callback(runtime)
        log.info("daemon: Group %s stopped.", name)


def _drain(runtime: GroupRuntime) -> Deferred:
    """Stop a runtime; fires when its connections are closed."""
    draining = gatherResults([pool.drain() for pool in runtime.pools.values()])
    return draining.addCallback(lambda _: runtime.task.stop())


def _cut_off(runtime: GroupRuntime) -> None:
    """Close the connections of transactions that do not end."""
    for pool in runtime.pools.values():
        pool.enforce_limit(NO_SHARE)


def _describe_members(group: GroupSettings) -> str:
    """Return the names of a group's members, and which of them leave."""
    return ", ".join(
        f"{item.name} (leaving)" if item.draining else item.name
        for item in group.databases
    )


def _has_only_moved(before: GroupSettings, after: GroupSettings) -> bool:
    """Return whether two settings of a group differ in their members alone.

    A member that has another address is another one under the same name.
    """
    endpoints = {item.name: item.endpoint for item in before.databases}
    return before._replace(databases=()) == after._replace(databases=()) and all(
        endpoints.get(item.name, item.endpoint) == item.endpoint
        for item in after.databases
    )


def _get_identity(group: GroupSettings) -> GroupSettings:
    """Return a group without what can change while its runtime runs."""
    databases = tuple(item._replace(draining=False) for item in group.databases)
    return group._replace(databases=databases, max_age=0.0)
