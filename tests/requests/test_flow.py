"""Request flows: true errors for units given up between runs, and retries."""

import random

import pytest
from returns.result import Failure, Success

from beryltrack.errors import CANNOT_CONNECT_NOW, TOO_MANY_CONNECTIONS, make_refusal
from beryltrack.groups.messages import LogPosition
from beryltrack.requests import flow
from beryltrack.requests.answers import send_answer, send_failure
from beryltrack.requests.retry import RetryBudget, RetryPolicy
from beryltrack.requests.services import DEFAULT_RETRIES
from beryltrack.requests.sink import AnswerSink
from beryltrack.requests.targets import FoundTarget
from beryltrack.routing.messages import StatementKind
from beryltrack.transactions.decider import CommitOutcome
from tests.requests.scripted import (
    IDLE,
    LOST,
    FakePool,
    ScriptedConnection,
    make_context,
    make_end,
    run_to_end,
)

REFUSAL = make_refusal("no primary", 1.0)


def run_then_refuse(monkeypatch, kind, *connections, **options):
    """Run a unit on some targets, after which no target is found."""
    found = list(connections)

    async def find_target(search, request):
        if not found:
            return Failure(REFUSAL)
        return Success(FoundTarget("main-1", False, FakePool(), found.pop(0)))

    async def wait_to_retry(self):
        return True

    monkeypatch.setattr(flow, "find_target", find_target)
    monkeypatch.setattr(flow.RequestFlow, "_make_request", lambda self: None)
    monkeypatch.setattr(flow.RequestFlow, "_wait_to_retry", wait_to_retry)
    context, transport = make_context("text", kind, **options)
    run_to_end(context, flow.RequestFlow(context).run())
    return transport.sent


def test_a_unit_that_never_ran_is_reported_as_not_run(monkeypatch):
    sent = run_then_refuse(monkeypatch, StatementKind.WRITE)
    assert b"57P03" in sent and b"40001" not in sent


def test_a_rolled_back_commit_is_not_reported_as_not_run(monkeypatch):
    connection = ScriptedConnection(make_end(position=5))
    outcomes = [CommitOutcome.ROLLED_BACK]
    sent = run_then_refuse(
        monkeypatch, StatementKind.WRITE, connection, outcomes=outcomes
    )
    assert b"40001" in sent and b"not run" not in sent


def test_a_read_with_a_lost_answer_is_not_reported_as_not_run(monkeypatch):
    connection = ScriptedConnection(LOST)
    sent = run_then_refuse(monkeypatch, StatementKind.READ, connection)
    assert b"40001" in sent and b"not run" not in sent


FULL = "Try again in 0.20 seconds."


def refuse(sqlstate, retry_after=0.0):
    """Return the end of a run that was refused."""
    error = make_refusal("too many requests wait", retry_after, sqlstate)
    error = error if retry_after else error._replace(hint="", retry_after=0.0)
    return make_end()._replace(error=error)


def run_through(monkeypatch, via, is_replica, *ends):
    """Run a read on scripted databases; return its answer and exclusions."""
    left, excluded = list(ends), []

    async def find_target(search, request):
        excluded.append(request.excluded)
        connection = ScriptedConnection(left.pop(0))
        connection.via = via
        name = f"main-{len(excluded)}"
        return Success(FoundTarget(name, is_replica, FakePool(), connection))

    monkeypatch.setattr(flow, "find_target", find_target)
    context, transport = make_context("text", StatementKind.READ)
    context = context._replace(services=make_retrying(context.services))
    context.runtime.task.observe_lagging = lambda database: None
    run_to_end(context, flow.RequestFlow(context).run())
    return transport.sent.decode("latin-1"), excluded


def make_retrying(services):
    """Return services whose budget allows ten retries."""
    return services._replace(retries=RetryBudget(DEFAULT_RETRIES, random.Random(5)))


def test_a_full_owners_refusal_for_a_primary_is_final(monkeypatch):
    sent, tries = run_through(
        monkeypatch, "owner", False, refuse(TOO_MANY_CONNECTIONS, 0.2)
    )
    assert len(tries) == 1 and "53300" in sent
    # The error names the retry time of the owner, once.
    assert FULL in sent and sent.count("Try again") == 1


def test_a_full_owners_refusal_for_a_replica_is_retried_once_elsewhere(monkeypatch):
    full = refuse(TOO_MANY_CONNECTIONS, 0.2)
    sent, tries = run_through(monkeypatch, "owner", True, full, full)
    assert tries == [(), ("main-1",)] and sent.count("Try again") == 1 and FULL in sent


def test_a_read_is_answered_if_another_database_takes_it(monkeypatch):
    full = refuse(TOO_MANY_CONNECTIONS, 0.2)
    sent, tries = run_through(monkeypatch, "owner", True, full, make_end())
    assert len(tries) == 2 and "53300" not in sent


def test_a_database_that_is_full_itself_is_retried(monkeypatch):
    full = refuse(TOO_MANY_CONNECTIONS)
    _, tries = run_through(monkeypatch, "owner", False, full, full, make_end())
    assert len(tries) == 3


def test_a_read_refused_by_a_lagging_replica_is_retried_elsewhere(monkeypatch):
    lagging = refuse(CANNOT_CONNECT_NOW)
    _, tries = run_through(monkeypatch, "owner", True, lagging, lagging, make_end())
    assert tries == [(), ("main-1",), ("main-1", "main-2")]


@pytest.mark.parametrize("is_broken", [False, True])
def test_an_owner_that_reaches_no_database_says_nothing_of_a_replicas_lag(
    monkeypatch, is_broken
):
    after, noted = LogPosition(1, 7), []
    connections = [ScriptedConnection(refuse(CANNOT_CONNECT_NOW, 0.3))]
    connections.append(ScriptedConnection(make_end()))
    # The session to an instance that does not reach the database is closed.
    connections[0].broken = is_broken

    async def find_target(search, request):
        connection = connections.pop(0)
        connection.via = "owner"
        return Success(FoundTarget("main-1", True, FakePool(), connection, after))

    monkeypatch.setattr(flow, "find_target", find_target)
    context, _ = make_context("text", StatementKind.READ)
    context = context._replace(services=make_retrying(context.services))
    context.runtime.task.observe_lagging = lambda *lag: noted.append(lag)
    run_to_end(context, flow.RequestFlow(context).run())
    assert not connections and noted == ([] if is_broken else [("main-1", after)])


def test_all_kinds_of_retries_draw_on_one_budget(monkeypatch):
    monkeypatch.setattr("tests.requests.test_flow.DEFAULT_RETRIES", RetryPolicy())
    lagging = refuse(CANNOT_CONNECT_NOW, 0.3)
    sent, tries = run_through(monkeypatch, "owner", True, lagging)
    assert len(tries) == 1 and sent.count("Try again in 0.30 seconds.") == 1


def test_a_request_after_the_retry_time_counts_as_a_retry(monkeypatch):
    context, _ = make_context("text", StatementKind.READ)
    send_failure(context, make_refusal("full", 0.2, TOO_MANY_CONNECTIONS), IDLE)
    returns = [context._replace(arrived_at=at).demand.is_retry for at in (0.1, 0.2)]
    assert returns == [False, True]
    send_answer(context, AnswerSink(context.caller), b"", IDLE)
    assert not context._replace(arrived_at=0.3).demand.is_retry
