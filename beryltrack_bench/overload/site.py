"""A simulated site whose proxies share the databases of one or more teams' groups."""

import random
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import Deferred

from beryltrack.connections.budget import BudgetPolicy
from beryltrack.connections.budget_messages import (
    BudgetedDatabase,
    BudgetMessage,
    BudgetPlan,
    LiveHolders,
    SeatRecord,
    WriteSeat,
)
from beryltrack.connections.budget_task import BudgetTask
from beryltrack.connections.pool_policy import PoolPolicy
from beryltrack.connections.task import PoolTask
from beryltrack.requests.retry import RetryPolicy
from beryltrack.settings.messages import DatabaseSettings, Endpoint
from beryltrack_bench.deployment import Deployment
from beryltrack_bench.overload.clock import SortedClock
from beryltrack_bench.overload.proxy import OverloadProxy, RequestResult
from beryltrack_bench.overload.target import SlotDatabase

SEATS = 8
"""Seats of the budget plan."""

STORE_DELAY = 0.005
"""Seconds that a call to the store takes."""

CONTROL_CONNECTIONS = 1
"""Control connections of a proxy at each database."""

SETTLING_TIME = 8.0
"""Seconds in which the proxies take their seats before the load starts."""


class SiteOptions(NamedTuple):
    """The parameters that a scenario varies.

    Parameters
    ----------
    teams : tuple of str
        Teams, each with a group of its own.
    max_requests : int
        Maximum of requests admitted at once by a proxy.
    pool : PoolPolicy
        Policy of all pools.
    budget : BudgetPolicy
        Policy of all budgets.
    retries : RetryPolicy
        Retry policy of all proxies.
    """

    teams: tuple[str, ...] = ("a",)
    max_requests: int = 1024
    pool: PoolPolicy = PoolPolicy()
    budget: BudgetPolicy = BudgetPolicy()
    retries: RetryPolicy = RetryPolicy()


class _Store:
    """Stores the seats, with conditional writes (compare and set)."""

    def __init__(self, clock: SortedClock):
        self._clock = clock
        self._seats: dict[int, SeatRecord] = {}

    async def read_seats(self) -> tuple[SeatRecord, ...]:
        await self._wait()
        return tuple(self._seats.values())

    async def write_seat(self, write: WriteSeat) -> SeatRecord:
        await self._wait()
        known = self._seats.get(write.seat, SeatRecord(write.seat, 0, ""))
        if known.version == write.if_version:
            version = 1 + max((r.version for r in self._seats.values()), default=0)
            known = SeatRecord(write.seat, version, write.holder)
            self._seats[write.seat] = known
        return known

    def _wait(self) -> Deferred:
        done: Deferred = Deferred()
        self._clock.callLater(STORE_DELAY, done.callback, None)
        return done


class _Peers:
    """One proxy's connection to its peers."""

    def __init__(self, site: "OverloadSite", name: str):
        self._site = site
        self._name = name

    def get_live_holders(self) -> LiveHolders:
        return LiveHolders(frozenset(self._site.budgets))

    def send(self, holder: str, message: BudgetMessage) -> None:
        self._site.message_count += 1
        receive = self._site.budgets[holder].receive
        self._site.clock.callLater(self._site.delay, receive, self._name, message)

    def publish_seat(self, record: SeatRecord) -> None:
        for budget in self._site.budgets.values():
            self._site.clock.callLater(
                self._site.delay, budget.observe_seats, (record,)
            )


class OverloadSite:
    """All proxies and databases of a run; seats are assigned when it is made.

    Parameters
    ----------
    deployment : Deployment
        Sizes and delays.
    options : SiteOptions
        The parameters that the scenario varies.
    seed : int
        Seed of all random numbers.
    report : callable
        Called with the `RequestResult` of each request.
    """

    def __init__(
        self,
        deployment: Deployment,
        options: SiteOptions,
        seed: int,
        report: Callable[[RequestResult], None],
    ):
        self.clock = SortedClock()
        self.delay = deployment.zone_delay
        self.message_count = 0
        self.budgets: dict[str, BudgetTask] = {}
        self.pools: list[PoolTask] = []
        self.databases = {
            team: [self._make_database(deployment) for _ in range(count)]
            for team in options.teams
            for count in (deployment.databases_per_group,)
        }
        store = _Store(self.clock)
        self.proxies = [
            self._make_proxy(f"p{index}", deployment, options, store, seed, report)
            for index in range(deployment.proxies)
        ]
        for budget in self.budgets.values():
            budget.start()
        self.clock.run_until(SETTLING_TIME)

    @property
    def all_databases(self) -> list[SlotDatabase]:
        """The databases of all teams."""
        return [each for group in self.databases.values() for each in group]

    def _make_database(self, deployment: Deployment) -> SlotDatabase:
        database = SlotDatabase(
            self.clock,
            deployment.slots,
            deployment.max_connections,
            deployment.connection_setup,
            deployment.zone_delay,
        )
        database.control_count = CONTROL_CONNECTIONS * deployment.proxies
        return database

    def _make_proxy(
        self,
        name: str,
        deployment: Deployment,
        options: SiteOptions,
        store: _Store,
        seed: int,
        report: Callable[[RequestResult], None],
    ) -> OverloadProxy:
        rng = random.Random(f"{seed}/{name}")
        plan = BudgetPlan(SEATS, SEATS)
        budget = BudgetTask(
            self.clock, name, plan, _Peers(self, name), store, rng, options.budget
        )
        self.budgets[name] = budget
        pools = {
            team: [
                self._make_pool(f"{team}/{index}", team, database, budget, options, rng)
                for index, database in enumerate(group)
            ]
            for team, group in self.databases.items()
        }
        gap = 2 * deployment.client_delay
        return OverloadProxy(
            self.clock, pools, gap, rng, options.max_requests, report, options.retries
        )

    def _make_pool(
        self,
        key: str,
        team: str,
        database: SlotDatabase,
        budget: BudgetTask,
        options: SiteOptions,
        rng: random.Random,
    ) -> PoolTask:
        total = database.max_connections
        settings = DatabaseSettings(key, Endpoint("", 0), "", total, 0, False)
        pool = PoolTask(
            self.clock,
            settings,
            lambda account: database.connect(),
            options.pool,
            limit=0,
            rng=rng,
        )
        budget.add_pool(BudgetedDatabase(key, team, total), pool, CONTROL_CONNECTIONS)
        self.pools.append(pool)
        return pool
