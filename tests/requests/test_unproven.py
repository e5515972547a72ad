"""Reads that run at a primary while the proof of its leadership is pending."""

import pytest
from returns.result import Success
from twisted.internet.defer import Deferred

from beryltrack.groups.messages import LogPosition
from beryltrack.requests import flow
from beryltrack.requests.targets import FoundTarget
from beryltrack.routing.messages import StatementKind
from tests.requests.scripted import (
    OPEN,
    FakePool,
    ScriptedConnection,
    make_context,
    make_end,
)

PROOF = LogPosition(1, 7)


class Site:
    """Runs one read whose first answer needs a proof."""

    def __init__(self, monkeypatch, kind=StatementKind.READ, first=None):
        self.pool, self.proof = FakePool(), Deferred()
        first = first or make_end(position=5, tail=b"first")
        again = make_end(position=9, tail=b"second")
        found = [(first, self.proof), (again, None)]

        async def find_target(search, request):
            end, proof = found.pop(0)
            connection = ScriptedConnection(end)
            return Success(
                FoundTarget("main-1", False, self.pool, connection, None, proof)
            )

        async def wait_to_retry(each):
            return True

        monkeypatch.setattr(flow, "find_target", find_target)
        monkeypatch.setattr(flow.RequestFlow, "_make_request", lambda self: None)
        monkeypatch.setattr(flow.RequestFlow, "_wait_to_retry", wait_to_retry)
        self.context, self.transport = make_context("text", kind)
        self.done = Deferred.fromCoroutine(flow.RequestFlow(self.context).run())

    @property
    def sent(self):
        return self.transport.sent


def test_the_answer_is_buffered_until_leadership_is_proven(monkeypatch):
    site = Site(monkeypatch)
    assert site.sent == b"" and site.pool.released == [True]
    site.proof.callback(PROOF)
    assert b"first" in site.sent and site.done.called


@pytest.mark.parametrize("proof", [None, LogPosition(2, 1)])
def test_without_a_proof_of_its_term_the_read_runs_again(monkeypatch, proof):
    site = Site(monkeypatch)
    site.proof.callback(proof)
    assert b"first" not in site.sent and b"second" in site.sent


def test_a_proof_is_void_after_a_change_of_primary(monkeypatch):
    site = Site(monkeypatch)
    runtime = site.context.runtime
    runtime.view = runtime.view._replace(primary="main-2")
    site.proof.callback(PROOF)
    assert b"first" not in site.sent and b"second" in site.sent


def test_a_transaction_without_a_proof_is_closed_with_its_connection(monkeypatch):
    first = make_end(status=OPEN, position=5, tail=b"first")
    site = Site(monkeypatch, StatementKind.BEGIN_READ_ONLY, first)
    site.proof.callback(None)
    assert site.pool.released[0] is False
    assert site.context.caller.session.pinned is None and b"second" in site.sent


def test_a_long_answer_does_not_stream_before_it_is_proven(monkeypatch):
    site = Site(monkeypatch)
    sink = flow.AnswerSink(site.context.caller, 4)
    sink.buffer_all()
    sink.write(b"longer than four")
    assert not sink.is_answered
