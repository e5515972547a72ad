"""The pools' shares of a database's connections, by the known members."""

from types import SimpleNamespace

import pytest

from beryltrack.daemon.group_connections import GroupConnections
from beryltrack.daemon.node_policies import make_policies
from beryltrack.load.limit import SharedCapacity
from beryltrack.relay.directory import RelayDirectory
from beryltrack.relay.owners import Peer
from beryltrack.settings.mechanisms import Mechanism
from beryltrack.settings.messages import DatabaseSettings, Endpoint, GroupSettings

DATABASE = DatabaseSettings("a", Endpoint("10.0.0.1", 80), "z", 20, 3, False)
GROUP = GroupSettings("orders", "", (DATABASE,), "", "", 0.0, 0.5)


class Pool:
    """Records its limit, policy, capacity and sessions."""

    limit = policy = vias = capacity = None

    @property
    def direct(self):
        return self

    def retain_sessions(self, names):
        self.vias = names

    def set_policy(self, policy):
        self.policy = policy

    def set_limit(self, limit):
        self.limit = limit

    def set_capacity(self, capacity):
        self.capacity = capacity

    def retire(self, is_stale):
        self.is_stale = is_stale

    def retire_stale(self):
        pass


class Site:
    """One instance's share of one group."""

    def __init__(self, disabled=frozenset()):
        self.calls = []
        self.pool = Pool()
        task = SimpleNamespace(
            set_instances=lambda *args: self.calls.append(args),
            set_allowed_vias=lambda vias: self.calls.append(vias),
        )
        self.runtime = SimpleNamespace(
            settings=GROUP,
            pools={"a": self.pool},
            task=task,
            ensure_started=lambda: None,
        )
        groups = SimpleNamespace(runtimes=[self.runtime], get=lambda name: self.runtime)
        self.directory = RelayDirectory(make_peer(1), lambda: 0.0, 8)
        self.policies = make_policies(True, disabled)
        self.connections = GroupConnections(
            "front-1", self.directory, groups, self.policies
        )


def make_peer(number):
    return Peer(f"front-{number}", "z", Endpoint(f"10.0.1.{number}", 7441))


@pytest.fixture
def site():
    return Site()


def test_members_share_the_connections_of_a_database(site):
    site.connections.set_members(tuple(make_peer(each) for each in (1, 2)))
    site.connections.apply_shares()
    # Two of the twenty are reserved.
    assert site.pool.limit == 9 and site.pool.policy == site.policies.pools


def test_an_unreachable_database_is_used_through_other_owners(site):
    site.connections.set_members((make_peer(1), make_peer(2)))
    site.directory.mark_unreachable("a")
    site.connections.apply_shares()
    assert set(site.pool.vias) == {"front-1", "front-2"}
    # If no other instance reaches it either, its own attempt fails fastest.
    assert site.pool.limit == 9
    assert site.pool.is_stale(SimpleNamespace(via=""))
    assert site.connections.get_lender("orders", "a") is None


def test_before_the_members_are_known_an_instance_is_no_candidate(site):
    site.connections.start_group(site.runtime)
    assert site.calls == [(("front-1",), False)] and not site.connections.has_members
    site.connections.set_members((make_peer(1),))
    assert site.connections.has_members and site.calls[1] == (("front-1",), True)


def test_an_owner_lends_its_pool(site):
    site.connections.set_members((make_peer(1),))
    lender = site.connections.get_lender("orders", "a")
    assert lender.pool is site.pool and lender.task is site.runtime.task
    assert site.connections.get_lender("orders", "b") is None


def test_with_accounts_the_same_instances_own_all_groups(site):
    site.connections.set_members(tuple(make_peer(each) for each in range(1, 9)))
    site.connections.set_accounts(True)
    owners = site.directory.get_candidates("orders", 20)
    assert owners == site.directory.get_candidates("another", 20) and len(owners) == 1
    site.connections.apply_shares()
    assert site.pool.policy == site.policies.account_pools
    site.connections.set_accounts(False)
    assert not site.directory.has_accounts


def test_an_owner_of_accounts_relays_to_a_database_it_cannot_reach(site):
    """It counts the operations of its accounts, so they must pass through it."""
    site.connections.set_members((make_peer(1),))
    site.connections.set_accounts(True)
    site.directory.mark_unreachable("a")
    assert site.connections.get_lender("orders", "a").pool is site.pool


def make_relayed(*disabled, others=0.1):
    """Return an instance in a fleet of eight with accounts; others' capacity is set."""
    site = Site(frozenset(disabled))
    peers = [make_peer(each)._replace(capacity=others) for each in range(2, 9)]
    site.connections.set_members((make_peer(1), *peers))
    site.connections.set_accounts(True)
    site.connections.apply_shares()
    return site


def test_an_owners_gate_gets_its_share_of_a_databases_slots():
    site = make_relayed()
    assert site.directory.get_candidates("orders", 20) == ("front-1",)
    # Three slots, one owner; two of twenty connections are reserved.
    assert site.pool.capacity == SharedCapacity(3, 1, 18)


def test_without_a_gate_if_all_instances_own_all_groups(site):
    site.connections.set_members((make_peer(1), make_peer(2)))
    site.connections.apply_shares()
    assert site.pool.capacity is None


def test_an_instance_that_owns_no_group_has_no_gate():
    site = make_relayed(others=9.0)
    assert not site.directory.is_owner("orders", 20) and site.pool.capacity is None


@pytest.mark.parametrize(
    ("disabled", "is_limited"),
    [
        ((Mechanism.STATEMENT_LIMIT,), True),
        ((Mechanism.PRIORITY_ORDER,), True),
        ((Mechanism.STATEMENT_LIMIT, Mechanism.PRIORITY_ORDER), False),
    ],
)
def test_without_both_mechanisms_an_owner_has_no_gate(disabled, is_limited):
    site = make_relayed(*disabled)
    assert (site.pool.capacity is not None) is is_limited
