"""End to end: psycopg, proxies and stand-in databases over real sockets."""

from datetime import UTC, datetime, timedelta

import psycopg
import pytest

from beryltrack.requests.ledger_cleaner import clean_ledger
from tests.local_proxies import (
    connect,
    get_primary,
    get_token,
    run_proxies,
    set_request_id,
)
from tests.reactor_thread import run


@pytest.fixture(scope="module")
def local():
    with run_proxies() as running, connect(running.proxies[0], "new") as connection:
        connection.execute("CREATE TABLE item (id integer PRIMARY KEY, name text)")
        yield running


def test_a_session_reads_its_write_through_another_proxy(local):
    first, second = local.proxies
    with connect(first, "new") as writer:
        writer.execute("INSERT INTO item VALUES (%s, %s)", (1, "one"))
        token = get_token(writer)
    with connect(second, token) as reader:
        row = reader.execute("SELECT name FROM item WHERE id = %s", (1,)).fetchone()
    assert row == ("one",)


def test_a_caller_without_a_token_sees_all_acknowledged_writes(local):
    with connect(local.proxies[0]) as writer, connect(local.proxies[1]) as reader:
        writer.execute("INSERT INTO item VALUES (2, 'two')")
        assert reader.execute("SELECT name FROM item WHERE id = 2").fetchone()


def test_a_transaction_keeps_its_connection_and_commits_atomically(local):
    with connect(local.proxies[0], autocommit=False) as connection:
        connection.execute("INSERT INTO item VALUES (3, 'three')")
        connection.execute("INSERT INTO item VALUES (4, 'four')")
        connection.commit()
        connection.execute("INSERT INTO item VALUES (5, 'five')")
        connection.rollback()
        rows = connection.execute("SELECT id FROM item WHERE id IN (3, 4, 5)")
        assert rows.fetchall() == [(3,), (4,)]


def test_prepared_statements_work_on_pooled_connections(local):
    with connect(local.proxies[0], "new") as first, connect(local.proxies[0]) as other:
        for number in range(12):
            value = first.execute("SELECT %s + 1", (number,), prepare=True)
            assert value.fetchone() == (number + 1,)
            assert other.execute("SELECT 7").fetchone() == (7,)


def test_an_error_of_the_target_reaches_the_caller(local):
    with connect(local.proxies[0]) as connection:
        with pytest.raises(psycopg.errors.UndefinedTable):
            connection.execute("SELECT * FROM missing")
        assert connection.execute("SELECT 1").fetchone() == (1,)


def test_the_proxy_answers_statements_about_its_own_settings(local):
    with connect(local.proxies[0]) as connection:
        connection.execute("SET beryltrack.max_age = '2s'")
        assert connection.execute("SHOW beryltrack.max_age").fetchone() == ("2s",)
        with pytest.raises(psycopg.errors.InvalidParameterValue):
            connection.execute("SET beryltrack.session = 'nonsense'")


def test_copy_is_refused_as_not_supported(local):
    with (
        connect(local.proxies[0]) as connection,
        pytest.raises(psycopg.errors.FeatureNotSupported),
    ):
        connection.execute("COPY item TO STDOUT")


def test_an_at_most_once_request_runs_once_through_any_proxy(local):
    for proxy in (*local.proxies, local.proxies[0]):
        with connect(proxy) as connection:
            set_request_id(connection, "order-1")
            answer = connection.execute(
                "INSERT INTO item (id, name) VALUES (100 + (SELECT count(*) FROM item"
                " WHERE id >= 100), 'once') RETURNING id"
            )
            assert answer.fetchone() == (100,)


def test_an_identifier_cannot_be_reused_for_another_request(local):
    with connect(local.proxies[0]) as connection:
        set_request_id(connection, "order-2")
        connection.execute("INSERT INTO item VALUES (200, 'first')")
        with pytest.raises(psycopg.errors.InvalidParameterValue):
            connection.execute("INSERT INTO item VALUES (201, 'second')")


def test_an_at_most_once_transaction_commits_once(local):
    for expected in (1, 1):
        with connect(local.proxies[1], autocommit=False) as connection:
            connection.execute("INSERT INTO item (name) VALUES ('transfer')")
            set_request_id(connection, "transfer-1")
            connection.commit()
        with connect(local.proxies[0]) as connection:
            rows = connection.execute("SELECT id FROM item WHERE name = 'transfer'")
            assert len(rows.fetchall()) == expected


def test_writes_go_on_after_the_primary_is_lost():
    with run_proxies() as local, connect(local.proxies[0], "new") as connection:
        connection.execute("CREATE TABLE item (id integer PRIMARY KEY)")
        connection.execute("INSERT INTO item VALUES (1)")
        lost = get_primary(local)
        run(lost.stop)
        # Without an identifier the answer could be "outcome unknown", if the write
        # was sent before the proxy noticed that the connection had ended.
        set_request_id(connection, "insert-2")
        connection.execute("INSERT INTO item VALUES (2)")
        token = get_token(connection)
        with connect(local.proxies[1], token) as reader:
            rows = reader.execute("SELECT id FROM item ORDER BY id").fetchall()
        assert rows == [(1,), (2,)]
        assert get_primary(local) is not lost


def test_a_write_on_an_isolated_primary_is_never_acknowledged():
    with run_proxies() as local, connect(local.proxies[0], "new") as connection:
        connection.execute("CREATE TABLE item (id integer PRIMARY KEY)")
        old = get_primary(local)
        run(lambda: setattr(old.database, "isolated", True))
        # The write runs on the old primary, or waits; in both cases it may be
        # answered only once the other databases have received it.
        connection.execute("INSERT INTO item VALUES (1)")
        assert get_primary(local) is not old
        rows = connection.execute("SELECT id FROM item").fetchall()
        assert rows == [(1,)]


def test_a_refusal_of_a_replaced_primary_never_reaches_the_caller():
    with run_proxies() as local, connect(local.proxies[0], "new") as connection:
        connection.execute("CREATE TABLE item (id integer PRIMARY KEY)")
        primary = get_primary(local).database
        log = primary.log

        def refuse_next(change):
            # The primary stops writing between two statements, as at a hand-over.
            run(lambda: setattr(log, "stopped_writes", change))

        connection.execute("BEGIN")
        connection.execute("SELECT * FROM item")
        refuse_next(True)
        with pytest.raises(psycopg.errors.SerializationFailure):
            connection.execute("INSERT INTO item VALUES (1)")
        connection.execute("ROLLBACK")
        refuse_next(False)
        connection.execute("INSERT INTO item VALUES (1)")


def test_old_rows_of_the_ledger_are_removed(local):
    with connect(local.proxies[0]) as connection:
        set_request_id(connection, "old-1")
        connection.execute("INSERT INTO item VALUES (300, 'old')")
        lookup = "SELECT count(*) FROM beryltrack_ledger WHERE request_id = 'old-1'"
        assert connection.execute(lookup).fetchone() == (1,)
        proxy = local.proxies[0]
        runtime = proxy.groups.get("main")
        for days, left in ((6, 1), (8, 0)):
            now = datetime.now(UTC) + timedelta(days=days)
            assert run(clean_ledger, proxy.services, runtime, now)
            assert connection.execute(lookup).fetchone() == (left,)
