"""The stand-in database as psycopg sees it."""

import psycopg
import pytest

from tests.standins.site import connect, running_site


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


def test_a_write_returns_its_row_and_its_position(connection):
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


def test_a_failed_transaction_takes_no_statement_until_rollback(connection):
    connection.execute("BEGIN")
    with pytest.raises(psycopg.errors.UndefinedTable):
        connection.execute("INSERT INTO missing VALUES (1)")
    with pytest.raises(psycopg.errors.InFailedSqlTransaction):
        connection.execute("SELECT 1")
    connection.execute("ROLLBACK")
    assert connection.execute("SELECT 1").fetchone() == (1,)
