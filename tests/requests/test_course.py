"""A unit that is given up between two runs is told the truth."""

from returns.result import Failure, Success

from beryltrack.errors import make_refusal
from beryltrack.requests import course
from beryltrack.requests.targets import FoundTarget
from beryltrack.routing.messages import StatementKind
from beryltrack.transactions.decider import CommitOutcome
from tests.requests.scripted import (
    LOST,
    FakePool,
    ScriptedConnection,
    make_context,
    make_end,
    run_to_end,
)

REFUSAL = make_refusal("no primary", 1.0)


def run_then_refuse(monkeypatch, kind, *connections, **options):
    """Run a unit on some targets, after which there is none any more."""
    found = list(connections)

    async def find_target(search, request):
        if not found:
            return Failure(REFUSAL)
        return Success(FoundTarget("main-1", False, FakePool(), found.pop(0)))

    async def wait_to_retry(self):
        return True

    monkeypatch.setattr(course, "find_target", find_target)
    monkeypatch.setattr(course.RequestCourse, "_make_request", lambda self: None)
    monkeypatch.setattr(course.RequestCourse, "_wait_to_retry", wait_to_retry)
    context, transport = make_context("text", kind, **options)
    run_to_end(context, course.RequestCourse(context).run())
    return transport.sent


def test_what_never_ran_is_called_not_run(monkeypatch):
    sent = run_then_refuse(monkeypatch, StatementKind.WRITE)
    assert b"57P03" in sent and b"40001" not in sent


def test_a_commit_that_was_rolled_back_is_not_called_not_run(monkeypatch):
    connection = ScriptedConnection(make_end(position=5))
    outcomes = [CommitOutcome.ROLLED_BACK]
    sent = run_then_refuse(
        monkeypatch, StatementKind.WRITE, connection, outcomes=outcomes
    )
    assert b"40001" in sent and b"not run" not in sent


def test_a_read_whose_answer_was_lost_is_not_called_not_run(monkeypatch):
    connection = ScriptedConnection(LOST)
    sent = run_then_refuse(monkeypatch, StatementKind.READ, connection)
    assert b"40001" in sent and b"not run" not in sent
