"""How long a request waits while no database can take it."""

import random
from types import SimpleNamespace

import pytest
from returns.result import Failure
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from beryltrack.connections.messages import PoolRefusal, PoolRefused, RefusalReason
from beryltrack.connections.task import PoolTask
from beryltrack.errors import make_refusal
from beryltrack.groups.view import GroupView
from beryltrack.requests.protocol import RequestPolicy
from beryltrack.requests.shutdown import Shutdown
from beryltrack.requests.targets import TargetSearch, find_target
from beryltrack.routing.decider import DEFAULT_POLICY
from beryltrack.routing.messages import (
    ReadRequest,
    StatementKind,
    UseTarget,
    WriteRequest,
)
from tests.connections.fake_target import FakeTarget
from tests.connections.test_task import DATABASE
from tests.requests.scripted import make_context


class Site:
    """A group without a primary, in a fleet of some size."""

    def __init__(self, has_group_owners, waiting_count=0):
        self.clock = Clock()
        self.waiting = [Deferred() for _ in range(waiting_count)]
        self.runtime = SimpleNamespace(
            view=GroupView("g", 1, ""),
            ensure_started=lambda: None,
            get_loads=lambda demand: (),
            wait_change=self.wait_change,
            pools={},
        )
        self.services = SimpleNamespace(
            seconds=self.clock.seconds,
            has_group_owners=lambda: has_group_owners,
            routing=DEFAULT_POLICY,
            shutdown=Shutdown(self.clock.seconds),
        )

    def wait_change(self):
        self.waiting.append(Deferred())
        return self.waiting[-1]

    def ask(self, wait_until=0.35):
        self.runtime.waiting_count = len(self.waiting)
        ticket = SimpleNamespace(wait=lambda start: start(), start=lambda: None)
        search = TargetSearch(
            self.services, self.runtime, ticket, 0.35, wait_until=wait_until
        )
        finding = find_target(search, WriteRequest(0.0, sampled=True))
        ends = []
        Deferred.fromCoroutine(finding).addCallback(ends.append)
        return ends


def test_a_request_waits_for_a_primary_in_a_small_fleet():
    assert Site(False, waiting_count=100).ask() == []


def test_the_first_requests_wait_for_a_primary_in_a_large_fleet():
    assert Site(True, waiting_count=7).ask() == []


def test_later_requests_are_refused_at_once_with_a_retry_time():
    (end,) = Site(True, waiting_count=8).ask()
    assert isinstance(end, Failure) and end.failure().retry_after > 0


@pytest.mark.parametrize(
    ("has_group_owners", "wait_until"), [(False, 0.35), (True, 0.125)]
)
def test_target_latency_bounds_the_wait_in_a_large_fleet(has_group_owners, wait_until):
    context, _ = make_context("text", StatementKind.WRITE)
    policy = RequestPolicy(0.8, 0.35, target_latency=0.5)
    services = context.services._replace(
        has_group_owners=lambda: has_group_owners, policy=policy
    )
    assert context._replace(services=services).search.wait_until == wait_until


def test_a_request_past_its_wait_is_refused_with_a_retry_time():
    site = Site(True)
    site.clock.advance(0.2)
    (end,) = site.ask(wait_until=0.125)
    assert isinstance(end, Failure) and Site(True).ask(wait_until=0.125) == []


def test_a_retry_for_a_caller_that_has_left_takes_no_connection(monkeypatch):
    """Guards against connections that stay in use until the database closes them."""
    clock, target = Clock(), FakeTarget()
    pool = PoolTask(clock, DATABASE, target.connect, rng=random.Random(1))
    context, _ = make_context("text", StatementKind.READ)
    context.runtime.pools["a"] = pool
    context.runtime.ensure_started = lambda: None
    context.runtime.get_loads = lambda demand: ()
    monkeypatch.setattr(
        "beryltrack.requests.targets.choose_target",
        lambda *arguments: UseTarget("a", True),
    )
    ticket = context.services.admission.admit("team", 9.0).unwrap()
    context = context._replace(ticket=ticket)
    finding = find_target(context.search, ReadRequest(0.0, None))
    first = Deferred.fromCoroutine(finding).result.unwrap()
    pool.release(first.connection, True)
    ticket.evict(make_refusal("the caller has disconnected", 0.0))
    finding = find_target(context.search, ReadRequest(0.0, None))
    assert isinstance(Deferred.fromCoroutine(finding).result, Failure)
    assert pool.outstanding == 0 and len(pool.get_connections()) == 1


def test_another_replica_is_tried_also_after_the_wait(
    monkeypatch,
):
    site, tried = Site(True), []

    def choose(view, request, loads, now, policy):
        return UseTarget("b" if "a" in request.excluded else "a", True)

    def acquire(name):
        tried.append(name)
        site.clock.advance(0.3)
        refusal = PoolRefusal(RefusalReason.UNREACHABLE, 0.2)
        return fail(PoolRefused(refusal)) if name == "a" else succeed(name)

    monkeypatch.setattr("beryltrack.requests.targets.choose_target", choose)
    site.services.reactor = site.clock
    site.services.metrics = SimpleNamespace(
        record_queue_time=lambda seconds: None,
        record_wait_by_priority=lambda priority, has_account, seconds: None,
    )
    for name in ("a", "b"):
        site.runtime.pools[name] = SimpleNamespace(
            acquire=lambda deadline, demand, name=name: acquire(name)
        )
    (end,) = site.ask(wait_until=0.125)
    assert tried == ["a", "b"] and end.unwrap().connection == "b"
