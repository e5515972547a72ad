"""The daemon as a process: its settings file, SIGTERM and its exit code."""

import contextlib
import json
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.request

import psycopg
import pytest

from tests.local_proxies import connect, run_proxies

HOST = "127.0.0.1"
PATIENCE = 20.0
ENDPOINTS = ("listen", "peer_listen", "health_listen")


@contextlib.contextmanager
def keep_ports():
    """Yield the fields of the addresses, on ports that nobody else is given.

    A port that was only found free may be another program's by the time at which a
    daemon listens, which is seconds on a busy machine. While a socket that does not
    listen has the port, the system gives it to no other one, but a daemon that asks
    for it may listen.
    """
    with contextlib.ExitStack() as sockets:
        endpoints = {}
        for name in ENDPOINTS:
            holder = sockets.enter_context(socket.socket())
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            holder.bind((HOST, 0))
            endpoints[name] = {"host": HOST, "port": holder.getsockname()[1]}
        yield endpoints


def make_settings(platform_url, **changes):
    return (
        {
            "name": "proxy-9",
            "zone": "zone-a",
            "platform_url": platform_url,
            "peer_key": "test-only-peer-key",
            "drain_limit": 10,
        }
        | {name: {"host": HOST, "port": 0} for name in ENDPOINTS}
        | changes
    )


def start(path):
    command = [sys.executable, "-m", "beryltrack.daemon", "run", "--settings", path]
    return subprocess.Popen(command, stderr=subprocess.PIPE, text=True)


def is_live(port):
    try:
        with urllib.request.urlopen(f"http://{HOST}:{port}/health") as answer:
            return answer.status == 200
    except OSError:
        return False


@contextlib.contextmanager
def run_daemon(tmp_path, platform_url):
    """Run one daemon; yield its process, its settings and what it has logged."""
    with keep_ports() as endpoints:
        settings = make_settings(platform_url, **endpoints)
        path = tmp_path / "proxy.json"
        path.write_text(json.dumps(settings))
        process = start(str(path))
        # What it logs is read on, or it would block when the pipe is full.
        logged = []
        reader = threading.Thread(target=lambda: logged.extend(process.stderr))
        reader.start()
        give_up_at = time.monotonic() + PATIENCE
        try:
            while not is_live(settings["health_listen"]["port"]):
                if process.poll() is not None:
                    reader.join()
                assert process.poll() is None and time.monotonic() < give_up_at, logged
                time.sleep(0.02)
            yield process, settings, logged
        finally:
            process.kill()
            process.wait()
            reader.join()


def open_caller(settings):
    return psycopg.connect(
        host=HOST,
        port=settings["listen"]["port"],
        dbname="main",
        user="app",
        autocommit=True,
    )


def test_sigterm_cuts_off_no_transaction(tmp_path):
    with (
        run_proxies(count=1) as local,
        connect(local.proxies[0]) as setup,
        run_daemon(tmp_path, local.site.platform_url) as (process, settings, logged),
    ):
        setup.execute("CREATE TABLE item (id integer PRIMARY KEY)")
        with open_caller(settings) as caller, open_caller(settings) as idle:
            caller.execute("BEGIN")
            caller.execute("INSERT INTO item VALUES (1)")
            process.send_signal(signal.SIGTERM)
            # The idle caller is told to go, the open transaction is waited for.
            with pytest.raises(psycopg.OperationalError):
                while True:
                    idle.execute("SELECT 1")
            caller.execute("INSERT INTO item VALUES (2)")
            caller.execute("COMMIT")
        assert process.wait(timeout=PATIENCE) == 0
        assert setup.execute("SELECT count(*) FROM item").fetchone() == (2,)
    levels = [json.loads(line)["level"] for line in logged]
    pairs = zip(levels, logged, strict=True)
    assert [line for level, line in pairs if level in ("ERROR", "CRITICAL")] == []
    assert "INFO" in levels


def test_a_wrong_settings_file_is_told_whole(tmp_path):
    path = tmp_path / "proxy.json"
    wrong = make_settings("http://127.0.0.1:1", zone=7, drain_limit=-1)
    path.write_text(json.dumps(wrong))
    process = start(str(path))
    _, errors = process.communicate(timeout=PATIENCE)
    assert process.returncode == 1
    assert "/zone" in errors and "/drain_limit" in errors


def test_an_instance_waits_for_a_port_that_is_taken_as_it_starts(tmp_path):
    """Guards against an instance that ends as another has its port for a moment."""
    path = tmp_path / "proxy.json"
    with socket.create_server((HOST, 0)) as taken:
        endpoint = {"host": HOST, "port": taken.getsockname()[1]}
        settings = make_settings("http://127.0.0.1:1", listen=endpoint)
        path.write_text(json.dumps(settings))
        process = start(str(path))
        try:
            assert any("is taken" in line for line in process.stderr)
            taken.close()
            assert any("Instance proxy-9 listens" in line for line in process.stderr)
        finally:
            process.kill()
            process.communicate()


def test_a_repeated_sigterm_cuts_off_no_transaction(tmp_path):
    """Guards against a shutdown that fails as its signal comes again."""
    with (
        run_proxies(count=1) as local,
        connect(local.proxies[0]) as setup,
        run_daemon(tmp_path, local.site.platform_url) as (process, settings, logged),
    ):
        setup.execute("CREATE TABLE item (id integer PRIMARY KEY)")
        with open_caller(settings) as caller, open_caller(settings) as idle:
            caller.execute("BEGIN")
            caller.execute("INSERT INTO item VALUES (1)")
            process.send_signal(signal.SIGTERM)
            with pytest.raises(psycopg.OperationalError):
                while True:
                    idle.execute("SELECT 1")
            process.send_signal(signal.SIGTERM)
            caller.execute("INSERT INTO item VALUES (2)")
            process.send_signal(signal.SIGTERM)
            caller.execute("COMMIT")
        assert process.wait(timeout=PATIENCE) == 0
        assert setup.execute("SELECT count(*) FROM item").fetchone() == (2,)
    levels = [json.loads(line)["level"] for line in logged]
    pairs = zip(levels, logged, strict=True)
    assert [line for level, line in pairs if level in ("ERROR", "CRITICAL")] == []
