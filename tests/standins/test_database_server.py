"""The stand-in database server with psycopg as its client."""

import threading
from concurrent.futures import ThreadPoolExecutor

import psycopg
import pytest

from beryltrack_standins.database.server import DatabaseOptions
from beryltrack_standins.site import SiteOptions
from tests.reactor_thread import run
from tests.standins.site import call, connect, running_site


@pytest.fixture(scope="module")
def site():
    with running_site() as running:
        with connect(running, "main-1") as connection:
            connection.execute("CREATE TABLE t (id BIGSERIAL PRIMARY KEY, v TEXT)")
        yield running


@pytest.fixture
def connection(site):
    with connect(site, "main-1") as connection:
        connection.execute("DELETE FROM t")
        yield connection


def test_a_write_returns_its_row_and_a_new_position(connection):
    before = connection.info.parameter_status("beryltrack.position")
    cursor = connection.execute("INSERT INTO t (v) VALUES (%s) RETURNING v", ("a",))
    assert cursor.fetchall() == [("a",)]
    assert connection.info.parameter_status("beryltrack.position") != before


def test_a_replica_refuses_writes(site):
    with connect(site, "main-2") as replica:
        with pytest.raises(psycopg.errors.ReadOnlySqlTransaction):
            replica.execute("INSERT INTO t (v) VALUES ('a')")


def test_an_open_transaction_is_not_visible_to_others(site, connection):
    with connect(site, "main-1") as other, connection.transaction():
        connection.execute("INSERT INTO t (v) VALUES ('a')")
        assert other.execute("SELECT count(*) FROM t").fetchone() == (0,)
        assert connection.execute("SELECT count(*) FROM t").fetchone() == (1,)


def test_a_failed_transaction_refuses_statements_until_rollback(connection):
    connection.execute("BEGIN")
    with pytest.raises(psycopg.errors.UndefinedTable):
        connection.execute("INSERT INTO missing VALUES (1)")
    with pytest.raises(psycopg.errors.InFailedSqlTransaction):
        connection.execute("SELECT 1")
    connection.execute("ROLLBACK")
    assert connection.execute("SELECT 1").fetchone() == (1,)


def test_errors_carry_the_sqlstate_of_postgresql(connection):
    connection.execute("INSERT INTO t VALUES (1, 'a')")
    with pytest.raises(psycopg.errors.UniqueViolation):
        connection.execute("INSERT INTO t VALUES (1, 'a')")
    with pytest.raises(psycopg.errors.SyntaxError):
        connection.execute("SELEC 1")


@pytest.mark.parametrize("binary", [False, True])
def test_prepared_statements_and_both_formats(connection, binary):
    connection.execute("INSERT INTO t VALUES (%s, %s)", (7, "x"), prepare=True)
    with connection.cursor(binary=binary) as cursor:
        query = "SELECT id, v, 0.5, NULL FROM t WHERE id = %b"
        cursor.execute(query, (7,), prepare=True)
        assert cursor.fetchall() == [(7, "x", 0.5, None)]
        cursor.execute(query, (8,), prepare=True)
        assert cursor.fetchall() == []


def test_a_pipeline_with_an_error_skips_to_the_next_sync(connection):
    with pytest.raises(psycopg.errors.UndefinedTable), connection.pipeline():
        connection.execute("INSERT INTO t VALUES (1, 'a')")
        connection.execute("INSERT INTO missing VALUES (1)")
        connection.execute("INSERT INTO t VALUES (2, 'a')")
    assert connection.execute("SELECT count(*) FROM t").fetchone() == (0,)


def test_a_large_result_is_complete(connection):
    query = "SELECT g, repeat('x', 1000) FROM generate_series(1, 5000) AS g"
    rows = connection.execute(query).fetchall()
    assert [row[0] for row in rows] == list(range(1, 5001))


def test_a_running_statement_can_be_cancelled(connection):
    canceled = threading.Event()

    def sleep():
        with pytest.raises(psycopg.errors.QueryCanceled):
            connection.execute("SELECT pg_sleep(60)")
        canceled.set()

    thread = threading.Thread(target=sleep)
    thread.start()
    while not canceled.wait(0.01) and thread.is_alive():
        # `cancel` would hold the interpreter lock, which the reactor thread needs.
        connection.cancel_safe()
    thread.join()
    assert canceled.is_set()
    assert connection.execute("SELECT 1").fetchone() == (1,)


def test_a_frozen_database_answers_once_it_is_unfrozen(site, connection):
    server = site.servers["main-1"]
    run(server.set_frozen, True)
    with ThreadPoolExecutor() as threads:
        answer = threads.submit(lambda: connection.execute("SELECT 1").fetchone())
        with pytest.raises(TimeoutError):
            answer.result(0.05)
        run(server.set_frozen, False)
        assert answer.result(10) == (1,)


def test_passwords_and_the_connection_limit():
    limits = DatabaseOptions(max_connections=1, users={"tester": "secret"})
    with running_site(SiteOptions(database=limits)) as site:
        with pytest.raises(psycopg.OperationalError, match="password"):
            connect(site, "main-1", password="wrong")
        with connect(site, "main-1", password="secret"):
            with pytest.raises(psycopg.OperationalError, match="too many"):
                connect(site, "main-1", password="secret")
            control = {"application_name": "beryltrack-control"}
            with connect(site, "main-1", password="secret", **control) as client:
                rows = client.execute("SELECT * FROM beryltrack_status()").fetchall()
                assert rows[0][0] == "main-1"


def test_a_restarted_database_has_its_port_and_data():
    with running_site() as site:
        with connect(site, "main-1") as connection:
            connection.execute("CREATE TABLE t (id INTEGER)")
            call(site.control_url + "/faults", "POST", make_fault("main-1", "stop"))
            with pytest.raises(psycopg.OperationalError):
                connection.execute("SELECT 1")
        with pytest.raises(psycopg.OperationalError):
            connect(site, "main-1")
        call(site.control_url + "/faults", "POST", make_fault("main-1", "start"))
        with connect(site, "main-1") as connection:
            assert connection.execute("SELECT count(*) FROM t").fetchone() == (0,)


def make_fault(target, fault):
    return {"target": target, "fault": fault}
