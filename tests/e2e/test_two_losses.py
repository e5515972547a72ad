"""A group accepts writes after two lost primaries, once the first is back."""

from tests.local_proxies import (
    connect,
    get_primary,
    run_proxies,
    set_request_id,
)
from tests.reactor_thread import run


def write(connection, number):
    set_request_id(connection, f"insert-{number}")
    connection.execute("INSERT INTO item VALUES (%s)", (number,))


def test_the_first_lost_primary_restores_the_majority():
    with run_proxies(count=2) as local, connect(local.proxies[0], "new") as caller:
        caller.execute("CREATE TABLE item (id integer)")
        first = get_primary(local)
        run(first.stop)
        write(caller, 1)
        second = get_primary(local)
        run(second.stop)
        # It returns as the primary of a former term.
        run(first.start)
        write(caller, 2)
        rows = caller.execute("SELECT id FROM item ORDER BY id").fetchall()
        assert rows == [(1,), (2,)]
