"""A small site for the scripts of the second review: stand-ins and real instances.

The stand-ins are the project's own and run in the process of the script. The instances
are started with the command of the deploy file, as separate processes on loopback
addresses, with the settings file that the users' pages describe.
"""

import atexit
import itertools
import json
import os
import random
import shlex
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import NamedTuple

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol, connectionDone
from twisted.internet.task import deferLater
from twisted.web.server import Site as HttpSite

from beryltrack_standins.lines.database import DatabaseFactory, DatabaseSession
from beryltrack_standins.lines.group import Group
from beryltrack_standins.lines.store import (
    FencingTokenLog,
    PromotionView,
    Store,
    StoreView,
)

ROOT = Path(__file__).resolve().parents[1]
SERVICE = "huvo11a"
FRONT, READY, CONTROL, INTERNAL, METRICS = 8784, 8785, 8782, 7440, 9464
GRACE = 6.0
STABILITY_WINDOW = 4.0
START_LIMIT = 20.0

ROUTES = {
    "lepu270": ("primary", 800, 150, 0),
    "xapu221": ("bounded_staleness", 2000, 500, 1500),
    "fiti832": ("read_own_writes", 800, 250, 2500),
}
"""Kind, `timeout_ms`, `target_latency_ms` and `max_staleness_ms` by database name, as
on the sheet of Lectora."""


class CouldNotRun(Exception):
    """The case could not run, so that it shows nothing."""


class Record:
    """Writes what was sent, answered and run, with the time since its start."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> float:
        """Write one line; return its time."""
        now = self.now()
        self._file.write(f"{now:9.3f}  {text}\n")
        self._file.flush()
        return now


class Run(NamedTuple):
    """A statement that a database ran, and when it sent the answer."""

    database: str
    request_id: str
    answered_at: float


class RecordingSession(DatabaseSession):
    """A database's connection that records the statements of clients."""

    async def _answer(self, line: bytes) -> bytes:
        """Run one message and record the time of its answer."""
        answer = await super()._answer(line)
        fields = line.split(b" ", 3)
        if fields[0] == b"QUERY" and fields[1] != b"-" and answer:
            self.factory.record_run(fields[1].decode(), fields[2:], answer)
        return answer


class RecordingDatabase(DatabaseFactory):
    """A database that records the statements of clients."""

    protocol = RecordingSession
    record: Record
    runs: list[Run]

    def record_run(self, request_id: str, text: list[bytes], answer: bytes) -> None:
        """Record a statement that ran, and the size of its answer."""
        words = b" ".join(text)[:40].decode("ascii", "replace")
        at = self.record.write(
            f"database {self.database.name} ran {request_id} ({words}) and answers "
            f"with {len(answer)} bytes"
        )
        self.runs.append(Run(self.database.name, request_id, at))


class NullObserver:
    """Ignores what `RecordingSession` already records."""

    def observe_run(self, *arguments: object) -> None:
        """Do nothing."""

    def observe_commit(self, *arguments: object) -> None:
        """Do nothing."""

    def observe_control(self, *arguments: object) -> None:
        """Do nothing."""


class Client(Protocol):
    """One session of a client, with one statement in flight."""

    def __init__(self, record: Record, name: str):
        self.record = record
        self.name = name
        self.is_closed = False
        self._buffer = b""
        self._lines: list[bytes] = []
        self._waiting: Deferred | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Send small messages at once."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Collect the lines of an answer, which ends with READY."""
        *lines, self._buffer = (self._buffer + data).split(b"\r\n")
        for line in lines:
            self._lines.append(line)
            is_refused_start = line.startswith(b"ERROR") and not self._is_open
            if line.startswith(b"READY") or is_refused_start:
                self._finish(self._lines)

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: N802
        """Fail the statement in flight: no answer follows."""
        self.is_closed = True
        self.record.write(f"client {self.name}: the connection has ended")
        self._finish(None)

    def _finish(self, lines: list[bytes] | None) -> None:
        waiting, self._waiting, self._lines = self._waiting, None, []
        if waiting is not None:
            waiting.callback(lines)

    async def _send(self, line: str) -> list[bytes] | None:
        """Send a line; return the lines of the answer, None if there was none."""
        if self.is_closed:
            return None
        self._waiting = Deferred()
        self.record.write(f"client {self.name} sends {line[:60]}")
        self.transport.write(line.encode() + b"\r\n")
        lines = await self._waiting
        if lines is not None:
            shown = " | ".join(each[:40].decode("ascii", "replace") for each in lines)
            self.record.write(f"client {self.name} got {shown}")
        return lines

    async def start(self, database: str) -> list[bytes] | None:
        """Open the session."""
        self._is_open = False
        lines = await self._send(f"START {database} {self.name}")
        self._is_open = True
        return lines

    async def query(self, request_id: str, text: str) -> list[bytes] | None:
        """Run a statement; None if the connection ended without an answer."""
        return await self._send(f"QUERY {request_id} {text}")


class Instance(NamedTuple):
    """One instance: its name and its loopback address."""

    name: str
    host: str


class Site:
    """Three databases, a store, the promotion service and instances.

    Parameters
    ----------
    record : Record
        Receives what happens.
    count : int
        Number of instances.
    make_database : callable
        Creates a database; takes the arguments of `DatabaseFactory`.
    """

    def __init__(self, record: Record, count: int, make_database=RecordingDatabase):
        self.record = record
        self.runs: list[Run] = []
        self._rng = random.Random(1)
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._ports = []
        self._processes: dict[str, subprocess.Popen] = {}
        # Also if the case is stopped by its time limit or a signal.
        atexit.register(self.stop)
        names = ("i-7f3a91c2", "i-8e2b70d3", "i-9d1c6fe4")
        self.group = Group(reactor, names, self._rng)
        numbers = itertools.count(1)
        self._endpoints = {}
        for name in names:
            factory = make_database(
                reactor, self.group, name, NullObserver(), self._rng, numbers
            )
            factory.record, factory.runs = record, self.runs
            self._endpoints[name] = self._listen(factory)
        self.store = Store(era=None)
        view = StoreView(reactor, self.store, lambda kind, name, spec: spec, self._rng)
        self._store_address = self._listen(HttpSite(view))
        promotions = PromotionView(
            reactor, {SERVICE: self.group}, FencingTokenLog(), self._rng
        )
        self._cloud_address = self._listen(HttpSite(promotions))
        self._fill_store()
        self.instances = [
            Instance(f"front-zone-{index + 1}", host)
            for index, host in enumerate(_find_free_hosts(count))
        ]

    def _listen(self, factory) -> str:
        """Open a free port; return its address."""
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self._ports.append(port)
        return f"127.0.0.1:{port.getHost().port}"

    def _fill_store(self) -> None:
        """Write the configuration and the databases' entries."""
        routes = [
            {
                "name": f"r-{name}",
                "database_name": name,
                "path_prefix": "/",
                "kind": kind,
                "timeout_ms": timeout,
                "target_latency_ms": aim,
                "priority": 2,
                "service": SERVICE,
                "max_attempts": 2,
                "max_staleness_ms": staleness,
            }
            for name, (kind, timeout, aim, staleness) in ROUTES.items()
        ]
        service = {
            "name": SERVICE,
            "health_path": "/health",
            "connection_limit": 22,
            "protocol": "h1",
            "tls": False,
            "sync_replicas": 0,
        }
        limits = {"transaction_idle_ms": 3000, "idle_timeout_ms": 15000}
        self.store.change(
            "config",
            "main",
            {
                "config_version": 7,
                "routes": routes,
                "services": [service],
                "limits": limits,
            },
        )
        for name, address in self._endpoints.items():
            role = self.group.databases[name].role
            self.store.change(
                "servers",
                name,
                {
                    "service": SERVICE,
                    "address": address,
                    "zone": "scl-quilicura",
                    "config_version": "v1",
                    "slots": 3,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "database_role": role,
                    "sequence": 1,
                },
            )

    async def start(self) -> None:
        """Start the instances, and wait until they are ready and undisturbed."""
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = shlex.split(command["roles"]["proxy"]["run"])
        for instance in self.instances:
            path = self._folder / f"{instance.name}.json"
            path.write_text(json.dumps(self._make_settings(instance)))
            log = (self._folder / f"{instance.name}.log").open("wb")
            with log:
                self._processes[instance.name] = subprocess.Popen(
                    words,
                    cwd=ROOT,
                    env={
                        "BERYLTRACK_BOOT": str(path),
                        "PYTHONPATH": str(ROOT / "target/deps"),
                        "PATH": os.environ["PATH"],
                        "HOME": os.environ.get("HOME", "/"),
                        "LANG": "C.UTF-8",
                    },
                    stdout=log,
                    stderr=log,
                )
        deadline = time.monotonic() + START_LIMIT
        for instance in self.instances:
            while not await _is_ready(instance.host):
                if time.monotonic() > deadline:
                    raise CouldNotRun(f"{instance.name} was not ready in time")
                await deferLater(reactor, 0.2)
        self.record.write("all instances are ready")
        await deferLater(reactor, STABILITY_WINDOW + 1.0)

    def terminate(self, instance: Instance) -> float:
        """Send SIGTERM to an instance; return the time."""
        self._processes[instance.name].send_signal(signal.SIGTERM)
        return self.record.write(f"SIGTERM to {instance.name}")

    def read_log(self, instance: Instance) -> str:
        """Return what an instance has logged."""
        return (self._folder / f"{instance.name}.log").read_text(errors="replace")

    def stop(self) -> None:
        """End all processes that this site started, and remove its folder."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)

    async def connect(self, instance: Instance, name: str, database: str) -> Client:
        """Open a session of a client at an instance."""
        client = Client(self.record, name)
        endpoint = TCP4ClientEndpoint(reactor, instance.host, FRONT, timeout=2)
        await connectProtocol(endpoint, client)
        lines = await client.start(database)
        if not lines or not lines[-1].startswith(b"READY"):
            raise CouldNotRun(f"START was answered with {lines}")
        return client

    def _make_settings(self, instance: Instance) -> dict:
        """Return the settings file of an instance, as DEPLOY.md describes it."""
        host = instance.host
        return {
            "node_name": instance.name,
            "role": "proxy",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": host,
            "zone": "scl-quilicura",
            "region": "scl",
            "zones": {"scl-quilicura": "scl"},
            "listen": {
                "front": f"{host}:{FRONT}",
                "ready": f"{host}:{READY}",
                "control": f"{host}:{CONTROL}",
            },
            "internal_ports": [INTERNAL, INTERNAL + 15],
            "seeds": [f"{each.host}:{CONTROL}" for each in self.instances[:3]],
            "first_start": True,
            "counted_in_tolerance": False,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "file_descriptors": 4300,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_directory": None,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeat_ms": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "sql",
                "platform",
            ],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "seed_lag_s": 3,
                "address_reuse_s": 2,
                "stability_window_ms": 4000,
                "ack_ms": 5000,
                "catch_up_s": 4,
                "drain_ms": 7000,
                "grace_s": 6,
                "loss_slack_ms": 200,
                "config_apply_ms": 3000,
                "downgrade_slack_ms": 250,
                "max_extension_ms": 12000,
                "recovery_s": 12,
                "fencing_enforced": True,
                "thaw_slack_ms": 300,
            },
            "platform": {
                "address": self._store_address,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
            "cloud": {
                "address": self._cloud_address,
                "rate_per_s": 50.0,
                "duties": ["promotion"],
                "duty_per_s": 50.0,
            },
        }


class _Probe(Protocol):
    """Sends one readiness probe and collects the answer."""

    def __init__(self):
        self.done: Deferred[bytes] = Deferred()
        self._data = b""

    def connectionMade(self) -> None:  # noqa: N802
        """Send the probe."""
        self.transport.write(
            b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Return the status line as soon as it is there."""
        self._data += data
        if b"\r\n" in self._data and not self.done.called:
            self.done.callback(self._data)
            self.transport.abortConnection()

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: N802
        """Return what has arrived."""
        if not self.done.called:
            self.done.callback(self._data)


async def _is_ready(host: str) -> bool:
    """Return whether an instance answers the readiness probe with 200."""
    probe = _Probe()
    try:
        endpoint = TCP4ClientEndpoint(reactor, host, READY, timeout=1)
        await connectProtocol(endpoint, probe)
        answer = await probe.done.addTimeout(1.0, reactor)
    except Exception:
        return False
    return b" 200 " in answer.split(b"\r\n", 1)[0]


def _find_free_hosts(count: int) -> list[str]:
    """Return loopback addresses at which all ports of an instance are free."""
    import socket

    ports = (FRONT, READY, CONTROL, METRICS, *range(INTERNAL, INTERNAL + 16))
    found: list[str] = []
    for _ in range(200):
        host = f"127.{random.randrange(64, 250)}.{random.randrange(250)}.1"
        try:
            for port in ports:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        found.append(host)
        if len(found) == count:
            return found
    raise CouldNotRun("no free loopback addresses")


def run_case(main, folder: Path) -> int:
    """Run a case; return its exit code.

    Parameters
    ----------
    main : callable
        Coroutine function that gets the record and returns True if the rule was broken.
    folder : Path
        Folder of the case, for its record.
    """
    record = Record(folder / "record.txt")
    codes: list[int] = []

    async def run() -> None:
        try:
            codes.append(int(await main(record)))
        except Exception as error:
            record.write(f"the case could not run: {error!r}")
            codes.append(2)

    def begin() -> None:
        Deferred.fromCoroutine(run()).addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.callLater(110, lambda: reactor.running and reactor.stop())
    reactor.run()
    return codes[0] if codes else 2
