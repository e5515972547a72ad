"""The connection budget of one proxy, with its peers, the platform and its pools."""

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
"""Control connections of a proxy to each database, beside its pool's."""

LEAVE_TIMEOUT = 3.0
"""Seconds within which seats are released; the longest loan ends within them."""

MAX_OWNERS = 8
"""Maximum number of seats among which a database's connections are divided."""


def make_plan(seats: int) -> BudgetPlan:
    """Return the layout of the shares for a fleet with a number of seats."""
    return BudgetPlan(seats, min(seats, MAX_OWNERS))


class BudgetService:
    """Keeps the limits of a proxy's pools within its shares.

    Parameters
    ----------
    reactor : IReactorTime
        The clock.
    peers : PeerTask
        The peers.
    client : PlatformClient
        The platform, which stores the seats.
    plan : BudgetPlan
        The layout of the shares, the same on every proxy.
    rng : random.Random
        For choices and jitter.
    incarnation : int
        Incarnation under which this process joined the peers.
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
        """Publish this process's identifier to the peers, and claim a seat."""
        self._links.start(self.task.receive, self.task.observe_seats)
        self.task.start()

    def stop(self) -> None:
        """Stop; the seats stay held until other proxies evict this process."""
        self.task.stop()

    def leave(self) -> Deferred[None]:
        """Release the seats as the pools close their connections.

        Call it when no request needs a connection any more.

        Returns
        -------
        Deferred
            Fires when that is done, after `LEAVE_TIMEOUT` at the latest.
        """
        leaving = self.task.leave()
        leaving.addTimeout(LEAVE_TIMEOUT, self._reactor)
        return leaving.addErrback(lambda failure: failure.trap(TimeoutError) and None)

    def add_pools(self, group: GroupSettings, pools: Mapping[str, PoolTask]) -> None:
        """Start to control the limits of a group's pools.

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
        """Remove a group's pools, whose connections are all closed."""
        for database in group.databases:
            self.task.remove_pool(f"{group.name}/{database.name}")
