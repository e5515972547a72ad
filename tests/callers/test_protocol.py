"""psycopg connected through the callers' protocol to an echo target."""

import psycopg
import pytest

from beryltrack.callers.authentication import format_secret
from tests.callers.harness import make_settings, run_harness


def test_simple_query():
    with run_harness() as harness, harness.connect() as connection:
        assert connection.execute("SELECT 1").fetchall() == [("1", "SELECT 1")]
        assert connection.info.parameter_status("server_encoding") == "UTF8"


def test_extended_query_with_parameters():
    with run_harness() as harness, harness.connect() as connection:
        cursor = connection.execute("SELECT %s, %s", ["a", "b"])
        assert cursor.fetchall() == [("1", "SELECT $1, $2", "a", "b")]


def test_prepared_statements_move_between_pooled_connections():
    with run_harness(connections=3) as harness, harness.connect() as connection:
        rows = [
            connection.execute("SELECT %s", [str(number)]).fetchone()
            for number in range(12)
        ]
        assert [row[2] for row in rows] == [str(number) for number in range(12)]
        assert {row[0] for row in rows[6:]} == {"1", "2", "3"}


def test_an_error_of_the_target_leaves_the_connection_usable():
    with run_harness() as harness, harness.connect() as connection:
        with pytest.raises(psycopg.errors.DivisionByZero):
            connection.execute("fail now")
        with pytest.raises(psycopg.errors.SyntaxError):
            connection.execute("fail", prepare=True)
        assert connection.execute("SELECT 2").fetchone() == ("1", "SELECT 2")


def test_a_transaction_stays_on_one_connection():
    with (
        run_harness(connections=2) as harness,
        harness.connect(autocommit=False) as connection,
    ):
        rows = [connection.execute("SELECT 1").fetchone() for _ in range(4)]
        assert len({row[0] for row in rows}) == 1
        assert connection.info.transaction_status.name == "INTRANS"


def test_password():
    settings = make_settings(format_secret("secret"))
    with run_harness(settings=settings) as harness:
        with harness.connect(password="secret") as connection:
            assert connection.execute("SELECT 1").fetchone()[1] == "SELECT 1"
        for user, password in (("app", "wrong"), ("nobody", "secret")):
            with pytest.raises(psycopg.OperationalError, match="password auth"):
                harness.connect(user=user, password=password)
