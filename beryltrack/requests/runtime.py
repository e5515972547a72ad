"""One group as the requests see it: its view, its pools and its next change."""

from collections.abc import Callable

from twisted.internet.defer import Deferred

from beryltrack.connections.task import PoolTask
from beryltrack.groups.task import GroupTask
from beryltrack.groups.view import GroupView
from beryltrack.load.messages import DEFAULT_DEMAND, Demand
from beryltrack.requests.losses import DEFAULT_POLICY, LossPolicy, LossWatch
from beryltrack.routing.messages import TargetLoad
from beryltrack.routing.refresh import AgeRefresher
from beryltrack.settings.messages import DatabaseSettings, GroupSettings

RECHECK_PERIOD = 0.02
"""Seconds after which a waiting request looks at the view again, even if no
change was told: the proofs that a view carries move without being told."""

SAMPLE_TIMEOUT = 1.0
"""Seconds after which a sample for reads to come is given up."""


class GroupRuntime:
    """The tasks of one group.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    settings : GroupSettings
        The group.
    task : GroupTask
        Watches its databases.
    pools : dict of str to PoolTask
        The pool of each database, by name.
    losses : LossPolicy
        Silences after which requests to a database are given up.
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
        self._losses = LossWatch(reactor, task, pools, losses)
        self._refresher = AgeRefresher(reactor, task, SAMPLE_TIMEOUT)
        task.subscribe(self._handle_change)

    @property
    def view(self) -> GroupView:
        """The group as this instance knows it now."""
        return self.task.view

    @property
    def waiting_count(self) -> int:
        """Requests that wait for a change of what is known of the group."""
        return len(self._waiting)

    def ensure_started(self) -> None:
        """Watch the databases and open connections from now on.

        An owner of the group does that at once, any other instance only when a
        request of its own needs it: in a large fleet no instance watches all
        groups.
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
        """Take the group's members from new settings, while it runs.

        Parameters
        ----------
        settings : GroupSettings
            The group. A member that stays keeps its pool; the pool of one that
            goes gives out no more connections and closes those that come back.
        make_pool : callable
            Returns the pool of a new member.
        """
        names = {item.name for item in settings.databases}
        gone = [name for name in self.pools if name not in names]
        for name in gone:
            self.pools.pop(name).drain()
            self._drained.discard(name)
        self.settings = settings
        for item in settings.databases:
            if item.name not in self.pools:
                self.pools[item.name] = make_pool(settings, item)
                if self.is_started:
                    self.pools[item.name].start()
        self.task.set_databases(settings)

    def get_loads(self, demand: Demand = DEFAULT_DEMAND) -> tuple[TargetLoad, ...]:
        """Return the work at each database, this instance's and what owners told."""
        pairs = ((item, self.pools[item.name]) for item in self.settings.databases)
        return tuple(
            TargetLoad(
                item.name,
                item.zone,
                pool.outstanding,
                pool.limit,
                *pool.get_expected(demand),
            )
            for item, pool in pairs
        )

    def refresh_freshness(self) -> None:
        """Have the ages of replicas proven anew, for the reads to come."""
        self._refresher.refresh()

    def wait_change(self) -> "Deferred[None]":
        """Return a Deferred that fires at the next change, or soon without one."""
        waiting: Deferred[None] = Deferred()
        self._waiting.append(waiting)
        if len(self._waiting) == 1:
            self._reactor.callLater(RECHECK_PERIOD, self._handle_change, self.view)
        return waiting

    def _handle_change(self, view: GroupView) -> None:
        """Follow what databases want, and wake the requests that wait."""
        self._end_backoffs(view)
        members = (item for item in view.databases if item.name in self.pools)
        for database in members:
            wants_work = not database.leaving or database.name == view.primary
            self._set_draining(database.name, not wants_work)
        waiting, self._waiting = self._waiting, []
        for deferred in waiting:
            deferred.callback(None)

    def _end_backoffs(self, view: GroupView) -> None:
        """Have the pools of databases that came back open connections at once."""
        before = self._reachable
        self._reachable = frozenset(
            database.name for database in view.databases if database.reachable
        )
        for name in self._reachable - before:
            if name in self.pools:
                self.pools[name].observe_reachable()

    def _set_draining(self, name: str, is_draining: bool) -> None:
        """Give a database no new work, or give it work again."""
        if is_draining and name not in self._drained:
            self._drained.add(name)
            self.pools[name].drain()
        elif not is_draining and name in self._drained:
            self._drained.discard(name)
            self.pools[name].resume()
