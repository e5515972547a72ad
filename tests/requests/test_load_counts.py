"""Counts and log events of requests, by priority and refusal reason."""

from types import SimpleNamespace

import pytest
from returns.result import Failure, Success

from beryltrack.connections.messages import RefusalReason
from beryltrack.errors import make_not_run_error, make_refusal
from beryltrack.events.messages import RequestStep
from beryltrack.metrics.messages import RequestSummary, TargetKind
from beryltrack.requests.admission import AdmissionReason
from beryltrack.requests.answers import (
    ADMISSION,
    classify_refusal,
    count_request,
    send_failure,
)
from beryltrack.requests.protocol import RequestPolicy
from beryltrack.requests.session import CallerSession
from beryltrack.requests.task import RequestTask
from beryltrack.routing.messages import StatementKind
from beryltrack.settings.messages import SiteSettings
from beryltrack.wire.messages import TransactionStatus
from tests.requests.scripted import make_context
from tests.requests.test_refusals import Caller, Events

POLICY = RequestPolicy(priority=2, target_latency=0.1)


class Metrics:
    """Records the ends of requests."""

    def __init__(self):
        self.ends = []

    def count_request(self, kind, outcome, target):
        pass

    def count_by_priority(self, end):
        self.ends.append(end)


def make_request(elapsed):
    context, _ = make_context("SELECT 1", StatementKind.READ)
    metrics, events = Metrics(), Events()
    services = context.services._replace(metrics=metrics, events=events, policy=POLICY)
    context.services.reactor.advance(elapsed)
    return context._replace(services=services), metrics, events


@pytest.mark.parametrize(("elapsed", "is_in_aim"), [(0.05, True), (0.2, False)])
def test_an_answer_within_the_target_latency_is_counted_as_such(elapsed, is_in_aim):
    context, metrics, _ = make_request(elapsed)
    count_request(context, TargetKind.PRIMARY)
    assert metrics.ends == [RequestSummary(2, False, True, is_in_aim)]


def test_a_refusal_is_counted_by_its_reason():
    context, metrics, events = make_request(0.05)
    text = RefusalReason.TOO_LATE.value
    error = make_refusal(f"busy: {text}", 1.0, "53300")
    send_failure(context, error, TransactionStatus.IDLE)
    assert metrics.ends == [RequestSummary(2, False, False, False, "too_late")]
    (event,) = events.events
    assert event.verdict == "too_late"


def test_refusal_reasons_are_from_a_fixed_set():
    words = {classify_refusal(reason.value) for reason in RefusalReason}
    assert words == {reason.name.lower() for reason in RefusalReason}
    assert {classify_refusal(each.value) for each in AdmissionReason} == {ADMISSION}
    assert classify_refusal("no route serves q64uy5ms") == "other"


def make_full_task(metrics, events):
    refused = make_not_run_error("too many requests", "53300")
    planned = SimpleNamespace(request_id="r-1", policy=POLICY, kind=StatementKind.WRITE)
    services = SimpleNamespace(
        protocol=SimpleNamespace(
            plan=lambda *_: Success(planned), answer_locally=lambda *_: False
        ),
        seconds=lambda: 0.0,
        policy=RequestPolicy(),
        retries=SimpleNamespace(observe_request=lambda: None),
        admission=SimpleNamespace(admit=lambda team, deadline: Failure(refused)),
        metrics=metrics,
        events=events,
    )
    runtime = SimpleNamespace(settings=SimpleNamespace(team="", name="g"))
    return RequestTask(services, lambda: SiteSettings(0, (), (), ()), lambda _: runtime)


def test_a_request_that_is_not_admitted_is_counted_and_logged():
    metrics, events, caller = Metrics(), Events(), Caller()
    caller.session = CallerSession()
    make_full_task(metrics, events).handle("r-1", caller)
    assert metrics.ends == [RequestSummary(2, False, False, False, "admission")]
    (event,) = events.events
    assert (event.request, event.step, event.priority, event.verdict) == (
        "r-1",
        RequestStep.NOT_RUN,
        2,
        "admission",
    )
    assert len(caller.errors) == 1
