"""The budget of one proxy, joined to its peers, the platform and its pools."""

import random
from collections.abc import Mapping

from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.interfaces import IReactorTime

from beryltrack.connections.budget_messages import BudgetedDatabase, BudgetPlan
from beryltrack.connections.budget_task import BudgetTask
from beryltrack.connections.loan_links import LoanLinks
from beryltrack.connections.seat_store import PlatformSeatStore
from beryltrack.connections.task import PoolTask
from beryltrack.objects.client import PlatformClient
from beryltrack.peers.task import PeerTask
from beryltrack.settings.messages import GroupSettings

CONTROL_CONNECTIONS = 1
"""Control connections of a proxy to each database, beside its pool."""

LEAVE_TIMEOUT = 3.0
"""Longest time to give up seats, seconds; the longest loan ends within it."""

MOST_OWNERS = 8
"""Seats among which a database's connections are shared, at most."""


def make_plan(seats: int) -> BudgetPlan:
    """Return the layout of the shares for a fleet of so many seats."""
    return BudgetPlan(seats, min(seats, MOST_OWNERS))


class BudgetService:
    """Keeps the limits of a proxy's pools within its shares.

    Parameters
    ----------
    reactor : IReactorTime
        The clock.
    peers : PeerTask
        The peers.
    client : PlatformClient
        The platform, which keeps the seats.
    plan : BudgetPlan
        The layout of the shares, the same on every proxy.
    rng : random.Random
        For choices and jitter.
    incarnation : int
        What the peers were told at the start of this process.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        peers: PeerTask,
        client: PlatformClient,
        plan: BudgetPlan,
        rng: random.Random,
        incarnation: int,
    ):
        self._reactor = reactor
        self._links = LoanLinks(reactor, peers, incarnation)
        store = PlatformSeatStore(client, plan.seats)
        holder = self._links.holder
        self.task = BudgetTask(reactor, holder, plan, self._links, store, rng)
        client.eras.subscribe(lambda era: self.task.read_soon())

    def start(self) -> None:
        """Tell the peers who this process is, and claim a seat."""
        self._links.start(self.task.receive, self.task.observe_seats)
        self.task.start()

    def stop(self) -> None:
        """Stop; the seats stay until the others see this process gone."""
        self.task.stop()

    def leave(self) -> Deferred[None]:
        """Give up the seats as the pools close their connections.

        Call it when no request needs a connection any more.

        Returns
        -------
        Deferred
            Fires when that is done, after `LEAVE_TIMEOUT` in any case.
        """
        leaving = self.task.leave()
        leaving.addTimeout(LEAVE_TIMEOUT, self._reactor)
        return leaving.addErrback(lambda failure: failure.trap(TimeoutError) and None)

    def add_pools(self, group: GroupSettings, pools: Mapping[str, PoolTask]) -> None:
        """Take charge of the limits of a group's pools.

        Parameters
        ----------
        group : GroupSettings
            The group.
        pools : mapping of str to PoolTask
            The pools by the names of their databases.
        """
        for database in group.databases:
            key = f"{group.name}/{database.name}"
            budgeted = BudgetedDatabase(key, group.name, database.max_connections)
            self.task.add_pool(budgeted, pools[database.name], CONTROL_CONNECTIONS)

    def remove_pools(self, group: GroupSettings) -> None:
        """Forget a group's pools, whose connections are all closed."""
        for database in group.databases:
            self.task.remove_pool(f"{group.name}/{database.name}")
