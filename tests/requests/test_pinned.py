"""Units of a transaction run on its connection; its outcome is reported truthfully."""

import pytest

from beryltrack.requests.pinned import run_pinned
from beryltrack.requests.postgres import ROLLBACK_TAIL
from beryltrack.requests.session import PinnedTransaction
from beryltrack.requests.shutdown import Shutdown
from beryltrack.routing.messages import StatementKind
from beryltrack.transactions.decider import CommitOutcome
from tests.requests.scripted import (
    FAILED,
    LOST,
    OPEN,
    FakePool,
    ScriptedConnection,
    make_context,
    make_end,
    run_to_end,
)


def run_unit(kind, *script, text="text", status=OPEN, **options):
    context, transport = make_context(text, kind, **options)
    context.caller.status = status
    pool = FakePool()
    connection = ScriptedConnection(*script)
    session = context.caller.session
    session.pinned = PinnedTransaction(
        context.runtime, "main-1", pool, connection, False
    )
    run_to_end(context, run_pinned(context))
    return transport.sent, pool.released, session.pinned


def test_a_commit_waits_for_its_majority():
    sent, released, pinned = run_unit(
        StatementKind.COMMIT, make_end(position=5, tail=b"<commit>")
    )
    assert b"<commit>" in sent and released == [True] and pinned is None


def test_a_commit_without_a_majority_is_not_acknowledged():
    sent, _, _ = run_unit(
        StatementKind.COMMIT,
        make_end(position=5, tail=b"<commit>"),
        outcomes=[CommitOutcome.UNKNOWN],
    )
    assert b"<commit>" not in sent and b"08007" in sent


def test_a_rollback_waits_for_no_majority():
    sent, released, pinned = run_unit(
        StatementKind.ROLLBACK,
        make_end(position=5, tail=ROLLBACK_TAIL),
        outcomes=[CommitOutcome.UNKNOWN],
    )
    assert ROLLBACK_TAIL in sent and b"08007" not in sent
    assert released == [True] and pinned is None


def test_a_commit_that_a_replaced_primary_refuses_is_rolled_back():
    sent, _, _ = run_unit(StatementKind.COMMIT, make_end(sqlstate="25006"))
    assert b"40001" in sent and b"25006" not in sent


def test_a_statement_that_a_replaced_primary_refuses_is_rolled_back():
    sent, released, pinned = run_unit(
        StatementKind.WRITE, make_end(FAILED, sqlstate="25006")
    )
    assert b"40001" in sent and released == [] and pinned is not None


def test_a_commit_that_would_outlast_a_shutdown_is_rolled_back(monkeypatch):
    """Guards against a commit on its way when the drain limit cuts it off."""
    monkeypatch.setattr(Shutdown, "may_start", lambda self, pool, limit, is_open: False)
    sent, released, pinned = run_unit(StatementKind.COMMIT)
    assert b"40001" in sent and released == [False] and pinned is None


def test_a_lost_statement_is_rolled_back_and_a_lost_commit_unknown():
    assert b"40001" in run_unit(StatementKind.WRITE, LOST)[0]
    assert b"08007" in run_unit(StatementKind.COMMIT, LOST)[0]


@pytest.mark.parametrize(
    ("kind", "text", "status"),
    [
        (StatementKind.COMMIT, "COMMIT", FAILED),
        (StatementKind.ROLLBACK, "rollback;", FAILED),
        (StatementKind.ROLLBACK, "ABORT WORK", OPEN),
    ],
)
def test_a_rollback_whose_connection_is_lost_succeeds(kind, text, status):
    """Guards against an error for what the loss of the connection has done already."""
    sent, released, pinned = run_unit(kind, LOST, text=text, status=status)
    assert sent.startswith(ROLLBACK_TAIL) and b"40001" not in sent
    assert released == [False] and pinned is None


def test_a_lost_commit_of_a_failed_transaction_is_not_unknown():
    """Guards against an unknown outcome of a transaction that cannot commit."""
    text = "INSERT INTO item VALUES (1); COMMIT"
    sent, _, _ = run_unit(StatementKind.COMMIT, LOST, text=text, status=FAILED)
    assert b"40001" in sent and b"08007" not in sent


def test_the_connection_stays_while_the_transaction_is_open():
    _, released, pinned = run_unit(StatementKind.READ, make_end(OPEN))
    assert released == [] and pinned is not None
