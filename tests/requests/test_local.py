"""Statements that the proxy answers itself, prepared as drivers do."""

import psycopg
import pytest
from psycopg import generators
from psycopg.pq import DiagnosticField

from tests.local_proxies import connect, run_proxies


@pytest.fixture(scope="module")
def connection():
    with run_proxies() as running, connect(running.proxies[0], "new") as opened:
        yield opened


def run(connection, name, *arguments):
    """Send a request by the driver's asynchronous interface; return its result.

    The blocking interface would hold the interpreter lock and so block the proxy.
    """
    getattr(connection.pgconn, f"send_{name}")(*arguments)
    (result,) = connection.wait(generators.execute(connection.pgconn))
    return result


def test_a_show_can_be_prepared_described_and_run(connection):
    run(connection, "prepare", b"show", b"SHOW beryltrack.max_age")
    assert (
        run(connection, "describe_prepared", b"show").fname(0) == b"beryltrack.max_age"
    )
    connection.execute("SET beryltrack.max_age = '3s'")
    assert run(connection, "query_prepared", b"show", []).get_value(0, 0) == b"3s"


def test_a_set_takes_effect_only_when_it_is_executed(connection):
    connection.execute("SET beryltrack.max_age = '4s'")
    run(connection, "prepare", b"set", b"SET beryltrack.max_age = '5s'")
    assert run(connection, "describe_prepared", b"set").nfields == 0
    assert connection.execute("SHOW beryltrack.max_age").fetchone() == ("4s",)
    for _ in range(2):
        run(connection, "query_prepared", b"set", [])
    assert connection.execute("SHOW beryltrack.max_age").fetchone() == ("5s",)


def test_a_deallocated_statement_is_undefined(connection):
    run(connection, "prepare", b"gone", b"SELECT 1")
    run(connection, "prepare", b"all", b"DEALLOCATE ALL")
    run(connection, "query_prepared", b"gone", [])
    run(connection, "query_prepared", b"all", [])
    result = run(connection, "query_prepared", b"gone", [])
    assert result.error_field(DiagnosticField.SQLSTATE) == b"26000"


@pytest.mark.parametrize(
    "text",
    [
        "RESET ALL",
        "SELECT pg_advisory_unlock_all();\nCLOSE ALL;\nUNLISTEN *;\nRESET ALL;",
    ],
)
def test_a_reset_restores_the_initial_settings(connection, text):
    connection.execute("SET beryltrack.max_age = '6s'")
    connection.execute("SET TimeZone TO 'Asia/Taipei'")
    connection.execute(text)
    assert connection.execute("SHOW beryltrack.max_age").fetchone() == ("",)


def test_a_reset_with_another_statement_is_refused(connection):
    with pytest.raises(psycopg.errors.FeatureNotSupported):
        connection.execute("UNLISTEN *; SELECT 1")
