"""An at-most-once request has a single outcome, whatever happens to its runs."""

from returns.result import Failure

from beryltrack.errors import make_not_run_error
from beryltrack.requests import at_most_once
from beryltrack.transactions.decider import CommitOutcome
from tests.requests.scripted import (
    FAILED,
    LOST,
    OPEN,
    ScriptedConnection,
    make_end,
    make_marked_context,
    run_to_end,
    script_targets,
)


def make_good():
    return ScriptedConnection(
        make_end(OPEN), make_end(OPEN, tail=b"<done>"), make_end(position=7)
    )


def run_at_most_once(monkeypatch, *connections, **options):
    context, transport = make_marked_context(**options)
    pool = script_targets(monkeypatch, at_most_once, *connections)
    run_to_end(context, at_most_once.AtMostOnceFlow(context).run())
    return transport.sent, pool.released


def test_row_and_effect_are_written_in_one_transaction(monkeypatch):
    connection = make_good()
    sent, released = run_at_most_once(monkeypatch, connection)
    opened, _, closed = connection.texts
    assert opened.startswith("BEGIN; INSERT INTO beryltrack_ledger")
    assert closed.endswith("; COMMIT")
    assert b"<done>" in sent and released == [True]


def test_a_request_refused_by_a_replaced_primary_is_run_again(monkeypatch):
    refused = ScriptedConnection(make_end(OPEN), make_end(FAILED, "25006"), make_end())
    sent, _ = run_at_most_once(monkeypatch, refused, make_good())
    assert b"25006" not in sent and b"<done>" in sent


def test_a_lost_commit_is_run_again_under_the_same_identifier(monkeypatch):
    lost = ScriptedConnection(make_end(OPEN), make_end(OPEN), LOST)
    second = make_good()
    sent, released = run_at_most_once(monkeypatch, lost, second)
    assert b"<done>" in sent and released == [False, True]
    assert lost.texts[0][:80] == second.texts[0][:80]


def test_an_outcome_that_stays_unknown_is_reported_as_unknown(monkeypatch):
    connections = [make_good() for _ in range(300)]
    unknown = [CommitOutcome.UNKNOWN] * 300
    sent, _ = run_at_most_once(monkeypatch, *connections, outcomes=unknown)
    assert b"08007" in sent and b"<done>" not in sent


def test_a_commit_that_was_rolled_back_is_run_again(monkeypatch):
    outcomes = [CommitOutcome.ROLLED_BACK, CommitOutcome.CONFIRMED]
    sent, _ = run_at_most_once(monkeypatch, make_good(), make_good(), outcomes=outcomes)
    assert sent.count(b"<done>") == 1


def test_an_error_of_the_statement_rolls_the_row_back(monkeypatch):
    connection = ScriptedConnection(
        make_end(OPEN), make_end(FAILED, "23505"), make_end()
    )
    _, released = run_at_most_once(monkeypatch, connection)
    assert connection.texts[-1] == "ROLLBACK" and released == [True]


def test_a_missing_ledger_is_created(monkeypatch):
    first = ScriptedConnection(make_end(FAILED, "42P01"), make_end(), make_end())
    sent, _ = run_at_most_once(monkeypatch, first, make_good())
    assert first.texts[-1].startswith("CREATE TABLE IF NOT EXISTS")
    assert b"<done>" in sent


def test_a_refusal_does_not_claim_that_no_earlier_run_happened(monkeypatch):
    async def find_nothing(context):
        return Failure(make_not_run_error("no primary"))

    context, transport = make_marked_context()
    monkeypatch.setattr(at_most_once, "find_primary", find_nothing)
    run_to_end(context, at_most_once.AtMostOnceFlow(context).run())
    assert b"57P03" in transport.sent
    assert b"an earlier sending may have been" in transport.sent
