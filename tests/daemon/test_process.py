"""The daemon as a process: settings file, SIGTERM and exit code."""

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
TIMEOUT = 20.0
ENDPOINTS = ("listen", "peer_listen", "health_listen")


@contextlib.contextmanager
def reserve_ports():
    """Yield the address settings, with ports that are reserved for the daemon.

    A port that is merely found free may be taken before the daemon listens, seconds
    later on a busy machine. While a bound socket that does not listen holds the port,
    the system assigns it to no other program, but the daemon can listen on it.
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
    """Run one daemon; yield its process, its settings and its log lines."""
    with reserve_ports() as endpoints:
        settings = make_settings(platform_url, **endpoints)
        path = tmp_path / "proxy.json"
        path.write_text(json.dumps(settings))
        process = start(str(path))
        # The log is read continuously: the daemon would block on a full pipe.
        logged = []
        reader = threading.Thread(target=lambda: logged.extend(process.stderr))
        reader.start()
        deadline = time.monotonic() + TIMEOUT
        try:
            while not is_live(settings["health_listen"]["port"]):
                if process.poll() is not None:
                    reader.join()
                assert process.poll() is None and time.monotonic() < deadline, logged
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
            # The idle caller is disconnected; the open transaction may finish.
            with pytest.raises(psycopg.OperationalError):
                while True:
                    idle.execute("SELECT 1")
            caller.execute("INSERT INTO item VALUES (2)")
            caller.execute("COMMIT")
        assert process.wait(timeout=TIMEOUT) == 0
        assert setup.execute("SELECT count(*) FROM item").fetchone() == (2,)
    levels = [json.loads(line)["level"] for line in logged]
    pairs = zip(levels, logged, strict=True)
    assert [line for level, line in pairs if level in ("ERROR", "CRITICAL")] == []
    assert "INFO" in levels


def test_all_errors_of_a_settings_file_are_reported(tmp_path):
    path = tmp_path / "proxy.json"
    wrong = make_settings("http://127.0.0.1:1", zone=7, drain_limit=-1)
    path.write_text(json.dumps(wrong))
    process = start(str(path))
    _, errors = process.communicate(timeout=TIMEOUT)
    assert process.returncode == 1
    assert "/zone" in errors and "/drain_limit" in errors


def test_an_instance_waits_for_a_port_that_is_taken_as_it_starts(tmp_path):
    """Guards against an instance that ends because its port is taken for a moment."""
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
    """Guards against a shutdown that fails when the signal is repeated."""
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
        assert process.wait(timeout=TIMEOUT) == 0
        assert setup.execute("SELECT count(*) FROM item").fetchone() == (2,)
    levels = [json.loads(line)["level"] for line in logged]
    pairs = zip(levels, logged, strict=True)
    assert [line for level, line in pairs if level in ("ERROR", "CRITICAL")] == []
