"""The running tasks of one group: its monitoring, its pools and their updates."""

import logging
import math
from collections.abc import Callable

from twisted.internet.defer import Deferred

from beryltrack.clock import get_monotonic_clock
from beryltrack.connections.task import PoolTask
from beryltrack.groups.task import GroupTask
from beryltrack.groups.view import DatabaseView, GroupView
from beryltrack.load.messages import DEFAULT_DEMAND, Demand
from beryltrack.requests.losses import DEFAULT_POLICY, LossPolicy, LossWatch
from beryltrack.routing.messages import TargetLoad
from beryltrack.routing.refresh import AgeRefresher
from beryltrack.settings.messages import DatabaseSettings, GroupSettings

log = logging.getLogger(__name__)

RECHECK_PERIOD = 0.02
"""Seconds after which a waiting request checks the view again without a reported
change: the proofs in a view are updated without a report."""

SAMPLE_TIMEOUT = 1.0
"""Time limit of a sample that is taken for later reads, seconds."""


class GroupRuntime:
    """The running tasks of one group.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    settings : GroupSettings
        The group.
    task : GroupTask
        Monitors its databases.
    pools : dict of str to PoolTask
        The pool of each database, by name.
    losses : LossPolicy
        Times without an answer after which a database counts as lost.
    """

    def __init__(
        self,
        reactor,
        settings: GroupSettings,
        task: GroupTask,
        pools: dict[str, PoolTask],
        losses: LossPolicy = DEFAULT_POLICY,
    ):
        self.settings = settings
        self.task = task
        self.pools = pools
        self.is_ledger_ready = False
        self.is_started = False
        self._reactor = reactor
        self._waiting: list[Deferred[None]] = []
        self._drained: set[str] = set()
        self._reachable: frozenset[str] = frozenset()
        self._seconds = get_monotonic_clock(reactor)
        self._end_checked_at = math.inf
        self._losses = LossWatch(reactor, task, pools, losses)
        self._refresher = AgeRefresher(reactor, task, SAMPLE_TIMEOUT)
        task.subscribe(self._handle_change)

    @property
    def view(self) -> GroupView:
        """Present view of the group."""
        return self.task.view

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a change of the view."""
        return len(self._waiting)

    def ensure_started(self) -> None:
        """Start monitoring the databases and opening connections.

        An owner of the group calls this at once, another instance only when one of
        its requests needs the group: in a large fleet no instance monitors all groups.
        """
        if self.is_started:
            return
        self.is_started = True
        self.task.start()
        for pool in self.pools.values():
            pool.start()

    def set_databases(
        self,
        settings: GroupSettings,
        make_pool: Callable[[GroupSettings, DatabaseSettings], PoolTask],
    ) -> None:
        """Apply new settings to the group's members while it runs.

        Parameters
        ----------
        settings : GroupSettings
            The group. A member that stays keeps its pool; the pool of a removed
            member gives out no more connections and closes those that are returned.
        make_pool : callable
            Returns the pool of a new member.
        """
        names = {item.name for item in settings.databases}
        removed = [
            self.pools.pop(name) for name in tuple(self.pools) if name not in names
        ]
        self._drained &= names
        self.settings = settings
        for item in settings.databases:
            if item.name not in self.pools:
                self.pools[item.name] = make_pool(settings, item)
                if self.is_started:
                    self.pools[item.name].start()
        self.task.set_databases(settings)
        # Requests that wait for a drained pool choose at once among the new members.
        for pool in removed:
            pool.drain()

    def get_loads(self, demand: Demand = DEFAULT_DEMAND) -> tuple[TargetLoad, ...]:
        """Return each database's load: by this instance, and as owners report it."""
        pairs = ((item, self.pools[item.name]) for item in self.settings.databases)
        return tuple(
            TargetLoad(
                item.name,
                item.zone,
                pool.outstanding,
                pool.limit,
                *pool.get_expected_times(demand),
            )
            for item, pool in pairs
        )

    def refresh_freshness(self) -> None:
        """Refresh the proven freshness of replicas for later reads."""
        self._refresher.refresh()

    def wait_change(self) -> "Deferred[None]":
        """Return a Deferred for the next change, or the next periodic check."""
        waiting: Deferred[None] = Deferred()
        self._waiting.append(waiting)
        if len(self._waiting) == 1:
            self._reactor.callLater(RECHECK_PERIOD, self._handle_change, self.view)
        return waiting

    def _handle_change(self, view: GroupView) -> None:
        """Drain or resume pools as databases request, and wake waiting requests."""
        self._end_backoffs(view)
        members = (item for item in view.databases if item.name in self.pools)
        for database in members:
            leads = database.name == view.primary
            wants_work = not database.leaving or (leads and self._has_time(database))
            if leads and not wants_work and database.name not in self._drained:
                log.info(
                    "requests: %s, primary of %s, leaves and gets no more requests.",
                    database.name,
                    self.settings.name,
                )
            self._set_draining(database.name, not wants_work)
        waiting, self._waiting = self._waiting, []
        for deferred in waiting:
            deferred.callback(None)

    def _has_time(self, primary: DatabaseView) -> bool:
        """Return whether a leaving primary may still get work; check again at its end.

        A request that was sent here in time may still wait for a connection then.
        """
        left = primary.works_until - self._seconds()
        if 0.0 < left < math.inf and self._end_checked_at != primary.works_until:
            self._end_checked_at = primary.works_until
            self._reactor.callLater(left, self._end_work)
        return left > 0.0

    def _end_work(self) -> None:
        """Drain the pool of a primary whose time is over, so that no request waits."""
        self._end_checked_at = math.inf
        self._handle_change(self.view)

    def _end_backoffs(self, view: GroupView) -> None:
        """End the back-off of the pools of databases that are reachable again."""
        before = self._reachable
        self._reachable = frozenset(
            database.name for database in view.databases if database.reachable
        )
        for name in self._reachable - before:
            if name in self.pools:
                self.pools[name].observe_reachable()

    def _set_draining(self, name: str, is_draining: bool) -> None:
        """Drain or resume the pool of a database."""
        if is_draining and name not in self._drained:
            self._drained.add(name)
            self.pools[name].drain()
        elif not is_draining and name in self._drained:
            self._drained.discard(name)
            self.pools[name].resume()
