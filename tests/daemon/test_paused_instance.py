"""An instance whose process is paused."""

import signal
import threading
import time

import psycopg
import pytest

from tests.daemon.test_process import open_caller, run_daemon
from tests.local_proxies import connect, get_primary, run_proxies
from tests.reactor_thread import run

PAUSE = 2.5
"""Seconds; longer than any silence that counts as a loss."""


def read_repeatedly(settings, stop):
    """Read in a loop, so that the instance keeps probing its databases."""
    with open_caller(settings) as reader:
        while not stop.is_set():
            try:
                reader.execute("SELECT count(*) FROM item")
            except psycopg.OperationalError:
                return


@pytest.fixture
def site(tmp_path):
    """Yield the site, the instance and a caller in a transaction beside a reader."""
    with (
        run_proxies(count=1) as local,
        connect(local.proxies[0]) as setup,
        run_daemon(tmp_path, local.site.platform_url) as (process, settings, _),
    ):
        setup.execute("CREATE TABLE item (id integer PRIMARY KEY)")
        stop = threading.Event()
        reader = threading.Thread(target=read_repeatedly, args=(settings, stop))
        reader.start()
        try:
            with open_caller(settings) as caller:
                caller.execute("BEGIN")
                caller.execute("INSERT INTO item VALUES (1)")
                yield local, process, caller, setup
        finally:
            process.send_signal(signal.SIGCONT)
            stop.set()
            reader.join()


def pause(process):
    process.send_signal(signal.SIGSTOP)
    time.sleep(PAUSE)
    process.send_signal(signal.SIGCONT)


def test_a_pause_ends_no_transaction_on_a_healthy_database(site):
    """Guards against connections that are closed when an instance resumes."""
    _, process, caller, setup = site
    for _ in range(3):
        pause(process)
    caller.execute("INSERT INTO item VALUES (2)")
    caller.execute("COMMIT")
    assert setup.execute("SELECT count(*) FROM item").fetchone() == (2,)


def test_a_primary_that_is_replaced_during_a_pause_accepts_no_write(site):
    """Guards against a pause that lets a transaction outlive its primary."""
    local, process, caller, setup = site
    before = get_primary(local)
    process.send_signal(signal.SIGSTOP)
    run(before.set_frozen, True)
    while get_primary(local) in (before, None):
        time.sleep(0.02)
    run(before.set_frozen, False)
    process.send_signal(signal.SIGCONT)
    with pytest.raises(psycopg.Error):
        caller.execute("INSERT INTO item VALUES (2)")
        caller.execute("COMMIT")
    assert setup.execute("SELECT count(*) FROM item").fetchone() == (0,)


def test_a_database_that_falls_silent_during_a_pause_is_lost_after_it(site):
    """Guards against a pause that hides the loss of a primary: callers would hang."""
    local, process, caller, setup = site
    before = get_primary(local)
    process.send_signal(signal.SIGSTOP)
    run(before.set_frozen, True)
    time.sleep(PAUSE)
    process.send_signal(signal.SIGCONT)
    with pytest.raises(psycopg.Error):
        caller.execute("INSERT INTO item VALUES (2)")
        caller.execute("COMMIT")
    assert setup.execute("SELECT count(*) FROM item").fetchone() == (0,)
