"""How long a request waits while no database can take it."""

from types import SimpleNamespace

import pytest
from returns.result import Failure
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from beryltrack.connections.messages import PoolRefusal, PoolRefused, RefusalReason
from beryltrack.groups.view import GroupView
from beryltrack.requests.protocol import RequestPolicy
from beryltrack.requests.targets import TargetSearch, find_target
from beryltrack.routing.decider import DEFAULT_POLICY
from beryltrack.routing.messages import StatementKind, UseTarget, WriteRequest
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
        )

    def wait_change(self):
        self.waiting.append(Deferred())
        return self.waiting[-1]

    def ask(self, wait_until=0.35):
        self.runtime.waiting_count = len(self.waiting)
        ticket = SimpleNamespace(wait=lambda waiting: waiting, start=lambda: None)
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
