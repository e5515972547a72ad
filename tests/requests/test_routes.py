"""Routing, cancellation and draining, over real sockets."""

import threading
import time

import psycopg
import pytest

from tests.local_proxies import connect, get_primary, run_proxies
from tests.reactor_thread import run


@pytest.fixture(scope="module")
def local():
    with run_proxies(count=1) as running:
        with connect(running.proxies[0], "new") as connection:
            connection.execute("CREATE TABLE item (id integer PRIMARY KEY)")
        yield running


def get_counts(local):
    return run(lambda: local.proxies[0].metrics.counters)


def test_reads_that_accept_an_age_go_to_replicas(local):
    before = get_counts(local).replica_reads
    with connect(local.proxies[0], "new") as connection:
        connection.execute("SET beryltrack.max_age = '5s'")
        for _ in range(10):
            connection.execute("SELECT count(*) FROM item", prepare=False).fetchone()
    assert get_counts(local).replica_reads == before + 10


def test_a_read_only_transaction_runs_on_a_replica(local):
    before = get_counts(local)
    with connect(local.proxies[0], "new", autocommit=False) as connection:
        connection.read_only = True
        connection.execute("SET LOCAL beryltrack.max_age = '5s'")
        connection.execute("SELECT count(*) FROM item").fetchone()
        with pytest.raises(psycopg.errors.ReadOnlySqlTransaction):
            connection.execute("INSERT INTO item VALUES (1)")
    assert get_counts(local).primary_reads == before.primary_reads


def test_a_comment_in_the_statement_sets_a_request_option(local):
    before = get_counts(local).replica_reads
    with connect(local.proxies[0], "new") as connection:
        connection.execute("SELECT 1 /*beryltrack_max_age='5s'*/")
    assert get_counts(local).replica_reads == before + 1


def test_a_running_statement_can_be_cancelled(local):
    with connect(local.proxies[0], "new") as connection:
        timer = threading.Timer(0.2, connection.cancel_safe)
        timer.start()
        with pytest.raises(psycopg.errors.QueryCanceled):
            connection.execute("SELECT pg_sleep(30)")
        assert connection.execute("SELECT 1").fetchone() == (1,)


def test_a_disconnected_callers_transaction_is_rolled_back(local):
    with connect(local.proxies[0], "new") as gone:
        gone.execute("BEGIN")
        gone.execute("INSERT INTO item VALUES (50)")
        gone.pgconn.finish()
    with connect(local.proxies[0], "new") as other:
        other.execute("INSERT INTO item VALUES (50)")


def test_a_database_that_leaves_gets_no_new_work():
    with run_proxies(count=1) as local, connect(local.proxies[0], "new") as caller:
        caller.execute("CREATE TABLE item (id integer PRIMARY KEY)")
        leaving = get_primary(local)
        run(lambda: local.site.control.set_fault(leaving.database.name, "leave", True))
        give_up_at = time.monotonic() + 5.0
        while get_primary(local) in (leaving, None):
            caller.execute("SELECT 1")
            assert time.monotonic() < give_up_at
        caller.execute("INSERT INTO item VALUES (1)")
        pool = local.proxies[0].groups.get("main").pools[leaving.database.name]
        while run(lambda: pool.load.open):
            assert time.monotonic() < give_up_at
            time.sleep(0.01)
        caller.execute("SET beryltrack.max_age = '60s'")
        for _ in range(10):
            caller.execute("SELECT 1")
        assert run(lambda: pool.load.open) == 0


def test_settings_that_drain_the_primary_hand_it_over():
    with run_proxies(count=1) as local, connect(local.proxies[0], "new") as caller:
        caller.execute("CREATE TABLE item (id integer PRIMARY KEY)")
        primary = get_primary(local)
        run(local.write_group, frozenset({primary.database.name}))
        give_up_at = time.monotonic() + 10.0
        while get_primary(local) in (primary, None):
            assert time.monotonic() < give_up_at
            time.sleep(0.01)
        caller.execute("INSERT INTO item VALUES (1)")
