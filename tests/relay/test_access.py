"""`DatabaseAccess`: direct and relayed connections, retries, refunds and the gate."""

import random
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from beryltrack.connections.messages import (
    ConnectRefused,
    PoolRefused,
    RefusalReason,
)
from beryltrack.connections.pool_policy import PoolPolicy
from beryltrack.connections.task import PoolTask
from beryltrack.errors import CANNOT_CONNECT_NOW, TOO_MANY_CONNECTIONS
from beryltrack.load.gate import GateDecider
from beryltrack.load.gate_task import GateTask
from beryltrack.load.limit import SharedCapacity
from beryltrack.load.messages import Demand
from beryltrack.load.policy import LoadPolicy
from beryltrack.relay.access import DatabaseAccess
from tests.connections.fake_target import FakeTarget
from tests.connections.test_task import DATABASE, get_result

POLICY = PoolPolicy(warm=0)


class Site:
    """An instance that owns the accounts ``own``; ``two`` and ``three`` own others."""

    def __init__(self):
        self.clock = Clock()
        self.targets = {name: FakeTarget() for name in ("", "two", "three")}
        self.opened = []
        self.paths = {"": "two"}
        self.ingress_waits, self.has_budget = {}, True
        self.waits, self.refunds, self.counted = {}, [], []
        self.next_owners, self.quota_refusals, self.owned = {}, [], set()
        self.access = DatabaseAccess(
            self.make_pool(""),
            self.make_pool,
            lambda account: self.paths.get(account, ""),
            self.admit,
            self.refunds.append,
            observe_quota_refusal=self.observe_quota_refusal,
            counts_here=lambda account: account in self.owned,
            admit_ingress=lambda via, demand: self.ingress_waits.get(via, 0.0),
            seconds=self.clock.seconds,
            may_retry=lambda: self.has_budget,
            make_gate=self.make_gate,
        )

    def make_pool(self, name):
        def connect(account):
            self.opened.append((name, account))
            return self.targets[name].connect().addCallback(self.set_way, name)

        return PoolTask(
            self.clock, DATABASE, connect, POLICY, limit=2, rng=random.Random(1)
        )

    def make_gate(self):
        decider = GateDecider(LoadPolicy(), random.Random(1), 3)
        return GateTask(self.clock, decider)

    def limit_to_one(self):
        """Let one statement run at the database, which has two connections."""
        self.access.set_capacity(SharedCapacity(slots=1, owners=1, connections=1))

    def set_way(self, connection, name):
        connection.via = name
        return connection

    def admit(self, account):
        self.counted.append(account)
        return self.waits.get(account, 0.0)

    def observe_quota_refusal(self, account, via):
        """Send the account's operations to another owner if one is set."""
        if account not in self.next_owners:
            return False
        self.quota_refusals.append((account, via))
        self.owned.discard(account)
        self.paths[account] = self.next_owners.pop(account)
        return True

    def acquire(self, account):
        return get_result(self.access.acquire(10.0, Demand(account=account)))


@pytest.fixture
def site():
    return Site()


def test_an_account_that_runs_here_has_connections_of_its_own(site):
    first, second = site.acquire("own-1"), site.acquire("own-2")
    assert site.opened == [("", "own-1"), ("", "own-2")]
    assert site.counted == ["own-1", "own-2"]
    site.access.release(first, True)
    assert site.acquire("own-1") is first and first is not second


def test_other_accounts_share_the_sessions_at_their_instance(site):
    site.paths |= {"a": "two", "b": "two"}
    first = site.acquire("a")
    site.access.release(first, True)
    assert site.acquire("b") is first and not first.is_counted
    assert site.opened == [("two", "")] and site.counted == []


def test_an_account_over_its_limit_takes_no_connection(site):
    site.waits["own"] = 0.4
    with pytest.raises(PoolRefused) as refused:
        site.acquire("own")
    refusal = refused.value.refusal
    assert (refusal.reason, refusal.retry_after) == (RefusalReason.OVER_LIMIT, 0.4)
    assert site.opened == [] and site.refunds == []


def test_an_operation_over_the_limit_in_its_zone_goes_to_another_zones_owner(site):
    site.waits["own"] = 0.4
    site.next_owners["own"] = "two"
    given = site.acquire("own")
    assert given.via == "two" and not given.is_counted
    # The operation is counted only where it runs.
    site.access.release(given, True, False)
    assert site.refunds == []


def test_a_lent_operation_over_the_limit_is_refused_and_not_relayed(site):
    site.waits["own"] = 0.4
    site.next_owners["own"] = "two"
    with pytest.raises(PoolRefused):
        get_result(site.access.lend(10.0, Demand(account="own"), False))
    assert site.opened == []


def test_an_operation_without_a_connection_or_that_did_not_run_is_refunded(site):
    site.access.release(site.acquire("own"), True, False)
    assert site.refunds == ["own"]
    site.access.drain()
    with pytest.raises(PoolRefused):
        site.acquire("own")
    assert site.refunds == ["own", "own"]
    assert site.counted == ["own", "own"]


def test_another_instance_is_tried_if_the_first_is_unreachable(site):
    site.paths["a"] = "two"
    site.targets["two"].at_once = False
    waiting = site.access.acquire(10.0, Demand(account="a"))
    site.paths["a"] = "three"
    site.targets["two"].pending[0].errback(ConnectRefused(CANNOT_CONNECT_NOW))
    assert get_result(waiting).via == "three"


def test_a_second_attempt_is_sent_the_time_left_after_the_first(site):
    site.paths["a"] = "two"
    site.targets["two"].at_once = False
    waiting = site.access.acquire(10.0, Demand(1, 0.25, 1.0, "a"))
    site.clock.advance(0.5)
    site.paths["a"] = "three"
    site.targets["two"].pending[0].errback(ConnectRefused(CANNOT_CONNECT_NOW))
    assert get_result(waiting).demand == Demand(1, -0.25, 0.5, "a")


def test_a_lent_operation_is_counted_where_it_runs(site):
    get_result(site.access.lend(10.0, Demand(account="own"), False))
    assert site.counted == ["own"] and site.opened == [("", "own")]


def test_a_counted_lent_operation_goes_directly_to_the_database(site):
    site.paths["a"] = "two"
    get_result(site.access.lend(10.0, Demand(account="a"), True))
    assert site.opened == [("", "a")] and site.counted == []


def test_an_owner_that_does_not_reach_a_database_counts_and_relays(site):
    site.paths["own"] = "three"
    passed = get_result(site.access.lend(10.0, Demand(account="own"), False))
    assert site.counted == ["own"] and site.opened == [("three", "")]
    assert passed.is_counted


def test_an_owner_that_does_not_reach_a_database_counts_its_own_operations(site):
    site.paths["own"], site.owned = "three", {"own"}
    connection = site.acquire("own")
    assert connection.is_counted and site.counted == ["own"]
    assert site.opened == [("three", "")]
    site.access.release(connection, True, has_run=False)
    assert site.refunds == ["own"]


def test_a_quota_refusal_here_is_recorded_for_this_instance_on_any_path(site):
    site.paths["own"], site.owned = "three", {"own"}
    site.waits["own"] = 0.3
    site.next_owners["own"] = "two"
    assert site.acquire("own").via == "two"
    assert site.quota_refusals == [("own", "")]


def test_short_requests_of_the_proxy_use_the_path_of_no_account(site):
    given = get_result(site.access.acquire_briefly(0.1, 0.1).addCallback(lambda c: c))
    assert given is None or given.via == "two"
    site.paths[""] = ""
    held = site.acquire("own")
    site.access.release(held, True)
    assert get_result(site.access.acquire_briefly(0.1, 0.1)) is held


def test_sessions_at_former_owners_are_closed(site):
    site.paths["a"] = "two"
    held = site.acquire("a")
    site.access.retain_sessions(["three"])
    assert not held.closed.called
    site.access.release(held, True)
    assert held.closed.called


def test_a_lost_database_closes_connections_on_all_paths(site):
    site.paths["a"] = "two"
    held = [site.acquire("a"), site.acquire("own")]
    site.access.break_connections()
    assert all(each.closed.called for each in held)
    assert site.access.load.in_use == 0


def test_a_database_that_no_instance_reaches_is_refused_at_once(site):
    """Without a path the request fails at once and does not wait for a share."""
    site.paths[""] = ""
    site.targets[""].failure = ConnectRefused(CANNOT_CONNECT_NOW)
    with pytest.raises(PoolRefused) as refused:
        site.acquire("own")
    assert refused.value.refusal.reason is RefusalReason.UNREACHABLE
    assert site.clock.seconds() == 0.0


def test_ingress_admission_refuses_before_the_owner_is_asked(site):
    site.paths["a"] = "two"
    site.ingress_waits["two"] = 0.4
    with pytest.raises(PoolRefused) as refused:
        site.acquire("a")
    refusal = refused.value.refusal
    assert (refusal.reason, refusal.retry_after) == (RefusalReason.OWNER_FULL, 0.4)
    assert refusal.sqlstate == TOO_MANY_CONNECTIONS
    assert site.opened == [] and site.refunds == []


def test_direct_connections_skip_ingress_admission(site):
    site.ingress_waits[""] = 0.4
    assert site.acquire("own") is not None


def test_lent_operations_skip_ingress_admission(site):
    site.paths["own"] = "three"
    site.ingress_waits["three"] = 0.4
    passed = get_result(site.access.lend(10.0, Demand(account="own"), False))
    assert passed.via == "three"


def test_an_owner_is_sent_the_time_left_after_the_wait_for_a_session(site):
    site.paths["a"] = "two"
    site.targets["two"].at_once = False
    waiting = site.access.acquire(10.0, Demand(1, 0.25, 1.0, "a"))
    site.clock.advance(0.5)
    site.targets["two"].finish_one()
    assert get_result(waiting).demand == Demand(1, -0.25, 0.5, "a")


def test_without_a_retry_budget_no_other_instance_is_tried_at_once(site):
    site.has_budget = False
    site.paths["a"] = "two"
    site.targets["two"].at_once = False
    waiting = site.access.acquire(10.0, Demand(account="a"))
    site.paths["a"] = "three"
    site.targets["two"].pending[0].errback(ConnectRefused(CANNOT_CONNECT_NOW))
    with pytest.raises(PoolRefused) as refused:
        get_result(waiting)
    # The request retries 20 ms later, on the other path.
    assert refused.value.refusal.reason is RefusalReason.UNREACHABLE
    assert [name for name, _ in site.opened] == ["two"]


def test_a_quota_refusal_is_retried_without_a_budget(site):
    """The operation has not run, and no owner is asked twice."""
    site.has_budget = False
    site.waits["own"], site.next_owners["own"] = 0.3, "two"
    assert site.acquire("own").via == "two"


def test_without_owners_only_connections_limit_concurrency(site):
    assert site.acquire("own") is not site.acquire("own")
    assert site.access.get_report() is None


def test_operations_beyond_the_limit_wait_at_the_gate(site):
    site.limit_to_one()
    first = site.acquire("own")
    waiting = site.access.acquire(10.0, Demand(account="own"))
    assert not waiting.called and site.access.direct.load.waiting == 0
    assert (site.access.outstanding, site.access.load.waiting) == (2, 1)
    site.access.release(first, True)
    assert get_result(waiting) is first
    report = site.access.get_report()
    assert (report.running, report.limit, report.incarnation) == (1, 1, 3)


def test_lent_operations_wait_at_the_gate(site):
    site.limit_to_one()
    site.acquire("own")
    assert not site.access.lend(10.0, Demand(account="a"), True).called


def test_the_more_urgent_operation_gets_the_connection(site):
    site.limit_to_one()
    first = site.acquire("own")
    low = site.access.acquire(10.0, Demand(3, account="own"))
    urgent = site.access.acquire(10.0, Demand(0, account="own"))
    site.access.release(first, True)
    assert urgent.called and not low.called


def test_relayed_operations_bypass_the_gate(site):
    site.paths["a"] = "two"
    site.limit_to_one()
    site.acquire("own")
    assert site.acquire("a").via == "two"


def test_short_requests_of_the_proxy_bypass_the_gate(site):
    site.paths[""] = ""
    idle, first = site.acquire("own"), site.acquire("own")
    site.access.release(idle, True)
    site.access.release(first, True)
    site.limit_to_one()
    site.acquire("own")
    assert get_result(site.access.acquire_briefly(0.1, 0.1)) is not None
    assert site.access.get_report().running == 1


def test_an_idle_transaction_frees_its_place_at_the_gate(site):
    site.limit_to_one()
    first = site.acquire("own")
    waiting = site.access.acquire(10.0, Demand(account="own"))
    first.observer.observe_end(0.01, SimpleNamespace(error=None))
    assert waiting.called
    first.observer.observe_start()
    assert site.access.get_report().running == 2
    site.access.release(first, True)
    assert site.access.get_report().running == 1 and first.observer is None


def test_an_operation_without_a_connection_frees_its_place_at_the_gate(site):
    site.limit_to_one()
    site.targets[""].failure = ConnectRefused(CANNOT_CONNECT_NOW)
    refused = [site.access.acquire(10.0, Demand(account="own")) for _ in range(3)]
    for each in refused:
        with pytest.raises(PoolRefused):
            get_result(each)
    assert site.access.get_report().running == 0


def test_a_cancelled_operation_frees_its_place_while_a_connection_opens(site):
    site.limit_to_one()
    site.targets[""].at_once = False
    waiting = site.access.acquire(10.0, Demand(account="own"))
    waiting.addErrback(lambda failure: None)
    assert site.access.get_report().running == 1
    waiting.cancel()
    assert site.access.get_report().running == 0


def test_a_database_that_refuses_as_full_lowers_the_limit(site):
    site.access.set_capacity(SharedCapacity(slots=2, owners=2, connections=2))
    site.access.set_capacity(SharedCapacity(slots=2, owners=1, connections=4))
    assert site.access.get_report().limit == 4
    held = site.acquire("own")
    error = SimpleNamespace(sqlstate=TOO_MANY_CONNECTIONS)
    held.observer.observe_end(0.01, SimpleNamespace(error=error))
    assert site.access.get_report().limit == 2


def test_statements_refused_in_one_overload_lower_the_limit_once(site):
    site.access.set_capacity(SharedCapacity(slots=2, owners=2, connections=2))
    site.access.set_capacity(SharedCapacity(slots=2, owners=1, connections=8))
    assert site.access.get_report().limit == 6
    held = [site.acquire("own") for _ in range(2)]
    error = SimpleNamespace(sqlstate=TOO_MANY_CONNECTIONS)
    for each in held:
        site.clock.advance(0.001)
        each.observer.observe_end(0.01, SimpleNamespace(error=error))
    assert site.access.get_report().limit == 3


def test_waiting_operations_go_to_the_pool_when_the_gate_is_removed(site):
    site.limit_to_one()
    site.acquire("own")
    waiting = site.access.acquire(10.0, Demand(account="own"))
    site.access.set_capacity(None)
    assert waiting.called and site.access.get_report() is None


def test_waiting_operations_are_refused_at_once_at_a_drain(site):
    site.limit_to_one()
    first = site.acquire("own")
    waiting = site.access.acquire(10.0, Demand(account="own"))
    site.access.drain()
    with pytest.raises(PoolRefused) as refused:
        get_result(waiting)
    assert refused.value.refusal.reason is RefusalReason.LEAVING
    site.access.release(first, True)
    site.access.resume()
    assert site.acquire("own") is not None
    assert site.access.get_report().running == 1
