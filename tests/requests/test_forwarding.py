"""An instance that is no owner forwards requests to owners."""

import psycopg
import pytest

from beryltrack.peers.forward_messages import ForwardOutcome, ForwardResult
from beryltrack.requests.forward_encoding import decode_request
from beryltrack.requests.forward_flow import ForwardFlow
from beryltrack.requests.forward_handler import read_unit
from beryltrack.routing.messages import StatementKind
from tests.local_proxies import connect, get_token, run_proxies, set_request_id
from tests.reactor_thread import run
from tests.requests.scripted import make_context, run_to_end

ANSWERED = ForwardResult(ForwardOutcome.ANSWERED, "", b"\x82\x60\x80")
NOT_RUN = ForwardResult(ForwardOutcome.NOT_RUN, "refused")
UNKNOWN = ForwardResult(ForwardOutcome.UNKNOWN, "lost")


@pytest.fixture(scope="module")
def local():
    with run_proxies(count=2) as running:
        with connect(running.proxies[0], "new") as connection:
            connection.execute("CREATE TABLE item (id integer PRIMARY KEY)")
        run(running.start_proxy, 2)
        run(running.wait_owners_known)
        yield running


def get_streams(local):
    """Return how many requests the instance without a seat has forwarded."""
    return run(lambda: local.proxies[2].fleet.forwarder.forwarded_count)


def test_reads_and_writes_are_forwarded(local):
    before = get_streams(local)
    with connect(local.proxies[2], "new") as connection:
        connection.execute("INSERT INTO item VALUES (1)")
        assert connection.execute("SELECT id FROM item").fetchone() == (1,)
        token = get_token(connection)
    assert get_streams(local) == before + 2
    with connect(local.proxies[0], token) as connection:
        assert connection.execute("SELECT id FROM item").fetchone() == (1,)


def test_prepared_statements_are_forwarded(local):
    with connect(local.proxies[2], "new") as connection:
        for number in range(8):
            rows = connection.execute("SELECT %s + 1", (number,), prepare=True)
            assert rows.fetchone() == (number + 1,)


def test_an_error_of_a_target_reaches_the_caller(local):
    with connect(local.proxies[2], "new") as connection:
        with pytest.raises(psycopg.errors.UndefinedTable):
            connection.execute("SELECT * FROM missing")
        assert connection.execute("SELECT 1").fetchone() == (1,)


def test_a_large_answer_arrives_complete(local):
    text = "x" * 1000
    with connect(local.proxies[2], "new") as connection:
        rows = connection.execute(
            "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n"
            f" WHERE i < 2000) SELECT i, '{text}' FROM n"
        ).fetchall()
    assert rows == [(number + 1, text) for number in range(2000)]


def test_a_transaction_runs_over_borrowed_connections(local):
    with connect(local.proxies[2], "new", autocommit=False) as connection:
        connection.execute("INSERT INTO item VALUES (10)")
        connection.execute("INSERT INTO item VALUES (11)")
        connection.commit()
        rows = connection.execute("SELECT count(*) FROM item WHERE id > 9")
        assert rows.fetchone() == (2,)


def test_an_at_most_once_request_runs_once_at_any_instance(local):
    for proxy in (local.proxies[2], local.proxies[0], local.proxies[2]):
        with connect(proxy) as connection:
            set_request_id(connection, "forwarded-1")
            connection.execute("INSERT INTO item VALUES (20)")


class ScriptedForwarder:
    """Answers forwarded requests from a script."""

    def __init__(self, *results):
        self.results = list(results)

    def forward(self, group, request, deadline, sink):
        sink.finish(self.results.pop(0))
        return self

    def cancel(self):
        raise AssertionError("nothing is cancelled here")


def forward(kind, *results, **options):
    context, transport = make_context("text", kind, **options)
    forwarder = ScriptedForwarder(*results)
    run_to_end(context, ForwardFlow(context, forwarder).run())
    return transport.sent, forwarder.results


def test_a_request_that_was_not_run_is_forwarded_again():
    sent, left = forward(StatementKind.WRITE, NOT_RUN, ANSWERED)
    assert left == [] and b"57P03" not in sent


def test_a_write_with_unknown_outcome_is_not_forwarded_again():
    sent, left = forward(StatementKind.WRITE, UNKNOWN, ANSWERED)
    assert left == [ANSWERED] and b"08007" in sent


def test_a_read_or_at_most_once_write_with_unknown_outcome_is_forwarded_again():
    assert forward(StatementKind.READ, UNKNOWN, ANSWERED)[1] == []
    options = {"request_id": "r-1"}
    assert forward(StatementKind.WRITE, UNKNOWN, ANSWERED, **options)[1] == []


def test_an_at_most_once_write_that_may_have_run_is_not_reported_as_not_run():
    results = [UNKNOWN] + [NOT_RUN] * 300
    sent, _ = forward(StatementKind.WRITE, *results, request_id="r-1")
    assert b"08007" in sent and b"57P03" not in sent


def test_a_request_that_cannot_be_decoded_is_not_run():
    assert decode_request(b"\xff")[0] is None
    assert decode_request(b"\x88" + b"\x60" * 8)[0] is None
    assert read_unit(b"Q\x00\x00\x00\x06a\x00Q\x00\x00\x00\x06b\x00") is None
    assert read_unit(b"garbage") is None
