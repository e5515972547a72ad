"""The budget's task: limits reach the pools, and an expired share is closed."""

import random

from twisted.internet.task import Clock

from beryltrack.connections.budget_messages import (
    BudgetedDatabase,
    BudgetPlan,
    LiveHolders,
    SeatRecord,
)
from beryltrack.connections.budget_task import BudgetTask
from beryltrack.connections.task import PoolTask
from beryltrack.settings.messages import DatabaseSettings, Endpoint
from tests.connections.fake_target import FakeTarget

TOTAL = 4
DATABASE = DatabaseSettings("d", Endpoint("127.0.0.1", 1), "z1", TOTAL, 3, False)
PLAN = BudgetPlan(2, 2)


class Site:
    """Two budgets that exchange messages directly, and a store that answers at once."""

    def __init__(self):
        self.clock = Clock()
        self.is_cut = False
        self.leaving = frozenset()
        self.seats = {}
        self.target = FakeTarget()
        self.budgets, self.pools = {}, {}
        for name in ("p1", "p2"):
            pool = PoolTask(
                self.clock, DATABASE, self.target.connect, limit=0, rng=random.Random(1)
            )
            budget = BudgetTask(
                self.clock, name, PLAN, Link(self, name), self, random.Random(name)
            )
            budget.add_pool(BudgetedDatabase("g/d", "g", TOTAL), pool, 0)
            self.budgets[name], self.pools[name] = budget, pool
        for budget in self.budgets.values():
            budget.start()
        self.run(3.0)

    async def read_seats(self):
        return tuple(self.seats.values())

    async def write_seat(self, write):
        known = self.seats.get(write.seat, SeatRecord(write.seat, 0, ""))
        if known.version == write.if_version:
            version = known.version + 1
            self.seats[write.seat] = SeatRecord(write.seat, version, write.holder)
        return self.seats[write.seat]

    def run(self, seconds):
        self.clock.pump([0.01] * round(seconds * 100))

    def hold(self, name, count):
        """Acquire connections and return those that the pool gave."""
        given = []
        for _ in range(count):
            deadline = self.clock.seconds() + 60.0
            waiting = self.pools[name].acquire(deadline)
            waiting.addCallbacks(given.append, lambda failure: None)
        self.run(1.0)
        return given


class Link:
    """One budget's link to the other."""

    def __init__(self, site, name):
        self.site, self.name = site, name

    def get_live_holders(self):
        return LiveHolders(frozenset(self.site.budgets), self.site.leaving)

    def send(self, holder, message):
        if not self.site.is_cut:
            receive = self.site.budgets[holder].receive
            self.site.clock.callLater(0.001, receive, self.name, message)

    def publish_seat(self, record):
        for budget in self.site.budgets.values():
            budget.observe_seats((record,))


def test_each_pool_gets_its_share_and_borrows_the_rest():
    site = Site()
    assert [pool.load.limit for pool in site.pools.values()] == [2, 2]
    assert len(site.hold("p1", TOTAL)) == TOTAL
    assert site.pools["p2"].load.limit == 0


def test_a_borrowed_connection_in_use_is_closed_when_the_loan_cannot_be_renewed():
    site = Site()
    given = site.hold("p1", TOTAL)
    site.is_cut = True
    site.run(2.1)
    assert sum(connection.closed.called for connection in given) == 2
    site.run(1.0)
    assert site.pools["p2"].load.limit == 2
    assert len(site.hold("p2", 2)) == 2
    assert site.target.open_count == TOTAL


def test_a_leaving_proxy_releases_its_seats_when_its_connections_are_closed():
    site = Site()
    (connection,) = site.hold("p1", 1)
    site.leaving = frozenset(["p1"])
    left = site.budgets["p1"].leave()
    site.run(1.0)
    assert site.budgets["p1"].held_seats and not connection.closed.called
    assert not left.called
    site.pools["p1"].release(connection, True)
    site.run(1.0)
    assert not site.budgets["p1"].held_seats and left.called
    site.run(5.0)
    assert site.pools["p2"].load.limit == TOTAL


def test_a_seat_is_held_while_a_loan_of_a_removed_database_lasts():
    site = Site()
    assert len(site.hold("p2", TOTAL)) == TOTAL
    site.is_cut = True
    site.budgets["p1"].remove_pool("g/d")
    site.leaving = frozenset(["p1"])
    left = site.budgets["p1"].leave()
    site.run(1.0)
    assert site.budgets["p1"].held_seats and not left.called
    site.run(2.0)
    assert not site.budgets["p1"].held_seats and left.called
    assert site.target.open_count <= TOTAL


def test_a_stopped_budget_leaves_no_timer():
    site = Site()
    for budget in site.budgets.values():
        budget.stop()
    for pool in site.pools.values():
        pool.drain()
    site.run(0.1)
    assert site.clock.getDelayedCalls() == []
