"""Keeps one runtime for each group of the settings in force.

A group is a primary and its replicas.
"""

import logging
from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import Deferred, gatherResults

from beryltrack.connections.task import PoolTask
from beryltrack.groups.task import GroupTask, get_draining, get_leaving_times
from beryltrack.requests.losses import LossPolicy
from beryltrack.requests.runtime import GroupRuntime
from beryltrack.settings.messages import (
    DatabaseSettings,
    GroupSettings,
    SiteSettings,
)

log = logging.getLogger(__name__)

STOP_LIMIT = 5.0
"""Seconds within which transactions end when their group is stopped or replaced."""

NO_SHARE = 0
"""Connections that a pool may open before the budget has set its limit."""

RuntimeCallback = Callable[[GroupRuntime], None]


class GroupFactory(Protocol):
    """Makes the parts of a group that depend on its databases' wire protocol.

    `supports_member_changes` is True if databases may be added and removed while a
    group runs; `losses` says when requests to a silent database are aborted.
    """

    supports_member_changes: bool
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
    factory : GroupFactory
        Makes the parts of a group that depend on the wire protocol.
    """

    def __init__(self, reactor, factory: GroupFactory):
        self._reactor = reactor
        self._group_factory = factory
        self._runtimes: dict[str, GroupRuntime] = {}
        self._desired: dict[str, GroupSettings] = {}
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
        """Call back with each runtime that is created."""
        self._started_callbacks.append(callback)

    def subscribe_stopped(self, callback: RuntimeCallback) -> None:
        """Call back with each runtime whose connections are all closed."""
        self._stopped_callbacks.append(callback)

    def apply(self, site: SiteSettings) -> None:
        """Start, change and stop runtimes to match the settings.

        Parameters
        ----------
        site : SiteSettings
            The settings in force.
        """
        self._desired = {group.name: group for group in site.groups}
        for name in self._runtimes.keys() - self._desired.keys():
            self._stop(name)
        for name, group in self._desired.items():
            self._apply_group(name, group)

    async def stop(self) -> None:
        """Stop all runtimes and wait until their connections are closed."""
        self._desired = {}
        for name in tuple(self._runtimes):
            self._stop(name)
        await gatherResults(list(self._stopping.values()))

    def _apply_group(self, name: str, group: GroupSettings) -> None:
        """Reconcile one group's runtime with its settings."""
        runtime = self._runtimes.get(name)
        if runtime is None:
            self._start_after_stop(group)
        elif runtime.settings == group:
            return
        elif _get_identity(runtime.settings) == _get_identity(group):
            runtime.settings = group
            runtime.task.set_draining(get_draining(group), get_leaving_times(group))
        elif self._group_factory.supports_member_changes and _differ_only_in_members(
            runtime.settings, group
        ):
            runtime.set_databases(group, self._group_factory.make_pool)
            log.info(
                "daemon: Members of group %s changed: %s.",
                name,
                _describe_members(group),
            )
        else:
            self._stop(name)
            self._start_after_stop(group)

    def _start(self, group: GroupSettings) -> None:
        """Create the runtime of a group; it is started on demand."""
        pools = {
            database.name: self._group_factory.make_pool(group, database)
            for database in group.databases
        }
        task = self._group_factory.make_task(group)
        runtime = GroupRuntime(
            self._reactor, group, task, pools, self._group_factory.losses
        )
        self._runtimes[group.name] = runtime
        for callback in self._started_callbacks:
            callback(runtime)
        log.info("daemon: Group %s was added.", group.name)

    def _start_after_stop(self, group: GroupSettings) -> None:
        """Start a group once all connections of its former runtime are closed."""
        stopping = self._stopping.get(group.name)
        if stopping is None:
            self._start(group)
            return
        # The settings may have changed again by then.
        stopping.addCallback(lambda _: self._start_desired(group.name))

    def _start_desired(self, name: str) -> None:
        """Start a group by the newest settings, if they still contain it."""
        group = self._desired.get(name)
        if group is not None and name not in self._runtimes:
            self._start(group)

    def _stop(self, name: str) -> None:
        """Remove a group's runtime and stop it once its transactions have ended."""
        runtime = self._runtimes.pop(name)
        log.info("daemon: Group %s is stopping.", name)
        cut_off = self._reactor.callLater(STOP_LIMIT, _abort_transactions, runtime)
        stopping = _drain(runtime)
        self._stopping[name] = stopping
        stopping.addCallback(lambda _: self._finish_stop(name, runtime, cut_off))

    def _finish_stop(self, name: str, runtime: GroupRuntime, cut_off) -> None:
        """Handle that all connections of a runtime are closed."""
        if cut_off.active():
            cut_off.cancel()
        del self._stopping[name]
        for callback in self._stopped_callbacks:
            callback(runtime)
        log.info("daemon: Group %s has stopped.", name)


def _drain(runtime: GroupRuntime) -> Deferred:
    """Drain and stop a runtime; the result fires when its connections are closed."""
    draining = gatherResults([pool.drain() for pool in runtime.pools.values()])
    return draining.addCallback(lambda _: runtime.task.stop())


def _abort_transactions(runtime: GroupRuntime) -> None:
    """Close the connections whose transactions have not ended."""
    for pool in runtime.pools.values():
        pool.enforce_limit(NO_SHARE)


def _describe_members(group: GroupSettings) -> str:
    """Return the names of a group's members, and which of them are draining."""
    return ", ".join(
        f"{item.name} (leaving)" if item.draining else item.name
        for item in group.databases
    )


def _differ_only_in_members(before: GroupSettings, after: GroupSettings) -> bool:
    """Return whether two settings of a group differ only in the list of members.

    A member whose address has changed counts as a different one.
    """
    endpoints = {item.name: item.endpoint for item in before.databases}
    return before._replace(databases=()) == after._replace(databases=()) and all(
        endpoints.get(item.name, item.endpoint) == item.endpoint
        for item in after.databases
    )


def _get_identity(group: GroupSettings) -> GroupSettings:
    """Return a group's settings without fields that may change while it runs."""
    databases = tuple(
        item._replace(draining=False, leaving_since=None) for item in group.databases
    )
    return group._replace(databases=databases, max_age=0.0)
