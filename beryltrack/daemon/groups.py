"""Keeps one runtime for each database group of the settings in force."""

import logging
import random
from collections.abc import Callable

from twisted.internet.defer import Deferred, gatherResults
from twisted.python.failure import Failure

from beryltrack.connections.messages import ConnectRefused
from beryltrack.connections.target import TargetConnection, connect_target
from beryltrack.connections.task import PoolTask
from beryltrack.errors import SqlException
from beryltrack.groups.adapter import PostgresDatabaseGroup
from beryltrack.groups.task import GroupTask
from beryltrack.requests.runtime import GroupRuntime
from beryltrack.settings.messages import (
    DatabaseSettings,
    GroupSettings,
    SiteSettings,
)

log = logging.getLogger(__name__)

CONNECT_TIMEOUT = 5.0
"""Seconds until a new connection to a target counts as failed."""

ShareCallback = Callable[[DatabaseSettings], int]


class GroupTable:
    """The runtimes of all groups.

    Parameters
    ----------
    reactor : reactor
        Source of sockets and timers.
    node_name : str
        Name of this instance.
    rng : random.Random
        Source of jitter.
    get_share : callable
        Returns how many connections to a database this instance may open.
    """

    def __init__(
        self, reactor, node_name: str, rng: random.Random, get_share: ShareCallback
    ):
        self._reactor = reactor
        self._node_name = node_name
        self._rng = rng
        self._get_share = get_share
        self._runtimes: dict[str, GroupRuntime] = {}
        self._started_callbacks: list[Callable[[GroupRuntime], None]] = []

    @property
    def runtimes(self) -> tuple[GroupRuntime, ...]:
        """All runtimes."""
        return tuple(self._runtimes.values())

    def get(self, name: str) -> GroupRuntime | None:
        """Return the runtime of a group, or None."""
        return self._runtimes.get(name)

    def subscribe_started(self, callback: Callable[[GroupRuntime], None]) -> None:
        """Call back with each runtime that starts."""
        self._started_callbacks.append(callback)

    def apply(self, site: SiteSettings) -> None:
        """Start, change and stop runtimes as the settings ask.

        Parameters
        ----------
        site : SiteSettings
            The settings in force.
        """
        wanted = {group.name: group for group in site.groups}
        for name in self._runtimes.keys() - wanted.keys():
            self._stop(name)
        for name, group in wanted.items():
            self._apply_group(name, group)

    async def stop(self) -> None:
        """Stop all runtimes and wait until their connections are closed."""
        runtimes, self._runtimes = self.runtimes, {}
        await gatherResults([_drain(runtime) for runtime in runtimes])

    def _apply_group(self, name: str, group: GroupSettings) -> None:
        """Bring one group's runtime in line with its settings."""
        runtime = self._runtimes.get(name)
        if runtime is None:
            self._start(group)
        elif runtime.settings == group:
            return
        elif _get_identity(runtime.settings) == _get_identity(group):
            runtime.settings = group
            runtime.task.set_draining(_get_draining(group))
        else:
            self._stop(name)
            self._start(group)

    def _start(self, group: GroupSettings) -> None:
        """Start the runtime of a group."""
        adapter = PostgresDatabaseGroup(self._reactor, group, self._rng)
        task = GroupTask(self._reactor, group, adapter, self._node_name, self._rng)
        pools = {
            database.name: self._make_pool(group, database)
            for database in group.databases
        }
        runtime = GroupRuntime(self._reactor, group, task, pools)
        self._runtimes[group.name] = runtime
        for callback in self._started_callbacks:
            callback(runtime)
        task.start()
        for pool in pools.values():
            pool.start()
        log.info("daemon: Group %s started.", group.name)

    def _stop(self, name: str) -> None:
        """Stop the runtime of a group once its transactions have ended."""
        _drain(self._runtimes.pop(name))
        log.info("daemon: Group %s stopped.", name)

    def _make_pool(self, group: GroupSettings, database: DatabaseSettings) -> PoolTask:
        """Return the pool of one database."""

        def connect() -> Deferred[TargetConnection]:
            connecting = connect_target(
                self._reactor,
                database.endpoint,
                group.name,
                group.user,
                group.password,
                CONNECT_TIMEOUT,
            )
            return connecting.addErrback(_translate_refusal)

        limit = self._get_share(database)
        return PoolTask(self._reactor, database, connect, limit=limit, rng=self._rng)


def _drain(runtime: GroupRuntime) -> Deferred:
    """Stop a runtime; fires when its connections are closed."""
    draining = gatherResults([pool.drain() for pool in runtime.pools.values()])
    return draining.addCallback(lambda _: runtime.task.stop())


def _get_identity(group: GroupSettings) -> GroupSettings:
    """Return a group without what can change while its runtime runs."""
    databases = tuple(item._replace(draining=False) for item in group.databases)
    return group._replace(databases=databases, max_age=0.0)


def _get_draining(group: GroupSettings) -> frozenset[str]:
    """Return the names of the databases that an operator drains."""
    return frozenset(item.name for item in group.databases if item.draining)


def _translate_refusal(failure: Failure) -> Failure:
    """Return a target's refusal of a connection in the form that pools know."""
    if failure.check(SqlException):
        return Failure(ConnectRefused(failure.value.error.sqlstate))
    return failure
