"""Which instance runs an account's operations: quota, directory and pools together."""

import random

import pytest
from twisted.internet.testing import MemoryReactorClock

from beryltrack.accounts.messages import AccountSettings
from beryltrack.accounts.quota import QuotaDecider
from beryltrack.connections.messages import PoolRefused, RefusalReason
from beryltrack.daemon.line_group_factory import LineGroupFactory
from beryltrack.daemon.node_policies import make_policies
from beryltrack.daemon.zone_traffic import ZoneTraffic
from beryltrack.load.messages import Demand
from beryltrack.relay.directory import RelayDirectory
from beryltrack.relay.owners import Peer
from beryltrack.relay.slot_owners import ZoneOwners
from beryltrack.settings.messages import DatabaseSettings, Endpoint, GroupSettings

DATABASE = DatabaseSettings("db", Endpoint("10.0.9.9", 80), "z0", 62, 4, False)
GROUP = GroupSettings("orders", "", (DATABASE,), "", "", 0.0, 0.5)
ACCOUNT = AccountSettings("a", frozenset(), 10.0, 0.0)


def make_peer(number, capacity=2.0):
    place = Endpoint(f"10.0.1.{number}", 7000)
    return Peer(f"n{number}", f"z{number % 3}", place, capacity=capacity)


class Site:
    """One instance of the zone z0; each of three zones has two strong instances."""

    def __init__(self, number=0, capacity=2.0):
        self.reactor = MemoryReactorClock()
        own = make_peer(number, capacity)
        self.directory = RelayDirectory(own, self.reactor.seconds, 8, ZoneOwners())
        self.directory.set_peers([make_peer(each) for each in range(6)])
        self.directory.set_accounts(62)
        self.quota = QuotaDecider({"a": ACCOUNT}.get)
        factory = LineGroupFactory(
            self.reactor,
            own.name,
            None,
            None,
            self.directory,
            random.Random(1),
            True,
            make_policies(True),
            self.quota,
            7,
            ZoneTraffic(self.reactor, own.zone),
        )
        self.access = factory.make_pool(GROUP, DATABASE)
        self.access.set_limit(9)

    def get_last_endpoint(self):
        """Return the address of the last opened connection."""
        host, port, *_ = self.reactor.tcpClients[-1]
        return Endpoint(host, port)

    def acquire(self):
        self.access.acquire(9.0, Demand(account="a")).addErrback(lambda _: None)
        return self.get_last_endpoint()

    def get_counting_owner(self):
        """Return the owner that counts the account's operations in this zone."""
        return self.directory.choose_account_owner("a")


def find_owner():
    """Return the owner of the account in the zone z0."""
    return Site(9, 0.1).get_counting_owner()


def test_an_account_runs_at_the_owner_of_the_zone():
    site = Site(9, 0.1)
    assert site.get_counting_owner().zone == "z0"
    assert site.acquire() == site.get_counting_owner().relay_endpoint


def test_an_operation_that_its_owner_refused_goes_to_another_zones_owner():
    site = Site(9, 0.1)
    first = site.get_counting_owner()
    assert site.directory.observe_quota_refusal("a", first.name)
    second = site.acquire()
    assert second != first.relay_endpoint
    # Relayed operations are not relayed again for this reason.
    site.access.lend(9.0, Demand(account="a"), False).addErrback(lambda _: None)
    assert site.get_last_endpoint() == first.relay_endpoint


def test_an_owner_without_quota_forwards_its_own_callers_operations():
    owner = find_owner()
    site = Site(int(owner.name[1:]))
    assert site.acquire() == DATABASE.endpoint
    # The first token is spent, and no quota share is lent.
    assert site.acquire() not in (DATABASE.endpoint, owner.relay_endpoint)
    assert site.quota.counts["a"].run == 1


def test_an_owner_without_quota_refuses_relayed_operations():
    site = Site(int(find_owner().name[1:]))
    site.acquire()
    lending = site.access.lend(9.0, Demand(account="a"), False)
    failure = []
    lending.addErrback(failure.append)
    failure[0].trap(PoolRefused)
    assert failure[0].value.refusal.reason is RefusalReason.OVER_LIMIT


def test_an_operation_is_refused_once_all_owners_refused():
    site = Site(int(find_owner().name[1:]))
    site.acquire()
    for peer in site.directory.get_candidates("orders", 62):
        site.directory.observe_quota_refusal("a", peer)
    refused = []
    site.access.acquire(9.0, Demand(account="a")).addErrback(refused.append)
    with pytest.raises(PoolRefused):
        refused[0].raiseException()


def test_an_owner_that_cannot_reach_a_database_counts_its_own_callers():
    """The other owners of its zone have no quota shares: they would refuse."""
    owner = find_owner()
    site = Site(int(owner.name[1:]))
    site.directory.mark_unreachable("db")
    assert site.acquire() not in (DATABASE.endpoint, owner.relay_endpoint)
    assert site.quota.counts["a"].run == 1


def test_an_owner_over_the_limit_with_an_indirect_path_asks_another_zones():
    owner = find_owner()
    site = Site(int(owner.name[1:]))
    site.directory.mark_unreachable("db")
    site.acquire()
    site.acquire()
    assert site.quota.counts["a"] == (1, 1)
    assert site.directory.choose_account_via("a").zone != owner.zone
