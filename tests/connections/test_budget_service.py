"""Budgets over real peer links on loopback and the stand-in platform."""

import random

import pytest
from twisted.internet import reactor
from twisted.internet.defer import gatherResults

from beryltrack.connections.budget_service import BudgetService, make_plan
from beryltrack.connections.task import PoolTask
from beryltrack.objects.client import PlatformClient
from beryltrack.settings.messages import DatabaseSettings, Endpoint, GroupSettings
from beryltrack_standins.platform.limits import PlatformOptions
from beryltrack_standins.platform.server import PlatformServer
from tests.connections.fake_target import FakeTarget
from tests.peers.fleet import start_fleet, wait_for
from tests.reactor_thread import run

DATABASE = DatabaseSettings("d", Endpoint("127.0.0.1", 1), "z", 6, 3, False)
GROUP = GroupSettings("g", "team", (DATABASE,), "u", "", 0.0, 1.0)


class Fleet:
    """Two proxies with budgets over one fake database."""

    def __init__(self):
        self.platform = PlatformServer(reactor, PlatformOptions())
        self.platform.start()
        self.peers = start_fleet(["n1", "n2"])
        self.client = PlatformClient(reactor, self.platform.url)
        self.target = FakeTarget()
        self.pools, self.services = [], []
        for number, peers in enumerate(self.peers):
            rng = random.Random(number)
            pool = PoolTask(reactor, DATABASE, self.target.connect, limit=0, rng=rng)
            plan = make_plan(2)
            service = BudgetService(reactor, peers, self.client, plan, rng, 1)
            service.add_pools(GROUP, {"d": pool})
            service.start()
            self.pools.append(pool)
            self.services.append(service)

    @property
    def limits(self):
        return [pool.load.limit for pool in self.pools]

    def acquire(self, number, count):
        deadline = reactor.seconds() + 60.0
        waiting = [self.pools[number].acquire(deadline) for _ in range(count)]
        for each in waiting:
            each.addErrback(lambda failure: None)
        return waiting

    def stop(self):
        for service in self.services:
            service.stop()
        drained = [pool.drain() for pool in self.pools]
        stopped = [peers.stop() for peers in self.peers]
        closing = [self.platform.stop(), self.client.close()]
        return gatherResults([*stopped, *closing, *drained[:0]])


@pytest.fixture
def fleet():
    fleet = run(Fleet)
    yield fleet
    run(fleet.stop)


def test_seats_are_claimed_and_connections_are_lent_over_the_peer_link(fleet):
    # Each has three of the six connections, one of which is its control connection.
    run(wait_for, lambda: fleet.limits == [2, 2])
    waiting = run(fleet.acquire, 0, 9)
    run(wait_for, lambda: fleet.limits == [4, 0])
    run(wait_for, lambda: sum(each.called for each in waiting) >= 4)
    assert fleet.target.open_count <= 4
