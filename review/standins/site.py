"""A small site on loopback: store, promotion service, databases and real instances."""

import asyncio
import atexit
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

from review.standins.databases import Database, Service
from review.standins.http import Answer, Request, serve
from review.standins.store import Store, StoreView

ROOT = Path(__file__).resolve().parents[2]
DRAIN_MS, GRACE_S, CONFIG_APPLY_MS, TOUCH_MS = 7000, 6, 3000, 4000
FRONT, READY, CONTROL, DATABASE, STORE = 8784, 8785, 8782, 8080, 8783
METRICS = 9464
INTERNAL = (7440, 7455)
MAX_ERRORS, MAX_ERROR_LENGTH = 4, 600
BOUNDS = {
    "seed_lag_s": 3,
    "address_reuse_s": 2,
    "stability_window_ms": TOUCH_MS,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": DRAIN_MS,
    "grace_s": GRACE_S,
    "loss_slack_ms": 200,
    "config_apply_ms": CONFIG_APPLY_MS,
    "downgrade_slack_ms": 250,
    "max_extension_ms": 12000,
    "recovery_s": 12,
    "fencing_enforced": False,
    "thaw_slack_ms": 300,
}


class Record:
    """Writes what happens, with seconds since the start, to a file and the screen."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._loop = asyncio.get_running_loop()
        self._start = self._loop.time()

    def seconds(self, at: float) -> float:
        """Return a time of the loop as seconds since the start."""
        return at - self._start

    def write(self, text: str, is_shown: bool = False) -> None:
        """Write a line."""
        now = self.seconds(self._loop.time())
        print(f"{now:8.3f} {text}", file=self._file, flush=True)
        if is_shown:
            print(f"{now:8.3f} {text}", flush=True)


class Instance:
    """One instance of the deploy file's role, as a process of its own."""

    def __init__(
        self, site: "Site", name: str, zone: str, host: str, store: str
    ) -> None:
        self.site, self.name, self.zone, self.host = site, name, zone, host
        self.store = store
        self.process: subprocess.Popen | None = None
        self.view: StoreView | None = None

    @property
    def front(self) -> tuple[str, int]:
        """The address for callers."""
        return self.host, FRONT

    def write_settings(self, is_first: bool) -> Path:
        """Write the settings file."""
        site = self.site
        fields = {
            "node_name": self.name,
            "role": "proxy",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": self.host,
            "zone": self.zone,
            "region": "attica",
            "zones": {zone: "attica" for zone in site.zones},
            "listen": {
                "front": f"{self.host}:{FRONT}",
                "ready": f"{self.host}:{READY}",
                "control": f"{self.host}:{CONTROL}",
            },
            "internal_ports": list(INTERNAL),
            "seeds": [
                f"{each.host}:{CONTROL}" for each in list(site.instances.values())[:3]
            ],
            "first_start": is_first,
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
            "bounds": BOUNDS,
            "platform": {
                "address": f"{self.store}:{STORE}",
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
            "cloud": {
                "address": f"{site.host(250)}:{STORE}",
                "rate_per_s": 50.0,
                "duties": ["promotion"],
                "duty_per_s": 50.0,
            },
        }
        path = site.folder / f"{self.name}.json"
        path.write_text(json.dumps(fields), encoding="utf-8")
        return path

    def start(self, is_first: bool) -> None:
        """Start the process as the deploy file says."""
        path = self.write_settings(is_first)
        kept = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment = kept | {
            "BERYLTRACK_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (self.site.folder / f"{self.name}.log").open("ab")
        command = self.site.command
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.site.record.write(f"{self.name} started, first start {is_first}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.site.record.write(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the readiness probe is answered with 200."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, READY), 0.5
            )
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(
                f"GET /api/readiness HTTP/1.1\r\nHost: {self.host}\r\n\r\n".encode()
            )
            line = await asyncio.wait_for(reader.readline(), 0.5)
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def read_metrics(self, prefix: str) -> dict[str, str]:
        """Return the metrics whose names begin so, from the page of the deploy file."""
        reader, writer = await asyncio.open_connection(self.host, METRICS)
        writer.write(f"GET /metrics HTTP/1.0\r\nHost: {self.host}\r\n\r\n".encode())
        text = (await asyncio.wait_for(reader.read(), 2)).decode()
        writer.close()
        pairs = (
            line.rsplit(" ", 1) for line in text.splitlines() if line.startswith(prefix)
        )
        return dict(pairs)

    async def wait_ready(self, limit: float) -> bool:
        """Wait until the instance is ready."""
        until = asyncio.get_running_loop().time() + limit
        while asyncio.get_running_loop().time() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


class Site:
    """The whole site; addresses are of a random part of the loopback range."""

    def __init__(self, record: Record, zones: tuple[str, ...]) -> None:
        self.record = record
        self.zones = zones
        self.folder = Path(tempfile.mkdtemp(prefix="beryltrack-review-"))
        self.prefix = _choose_prefix()
        self.store = Store()
        self.service = Service("huvo11a")
        self.instances: dict[str, Instance] = {}
        self._sequence = 0
        # No process outlives this one, also if it is told to end early.
        atexit.register(self.end)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        program, *arguments = deploy["roles"]["proxy"]["run"].split()
        # The same interpreter as this one's, as the platform's PATH names it.
        self.command = [sys.executable if program == "python3" else program, *arguments]

    def host(self, number: int) -> str:
        """Return a loopback address."""
        return f"{self.prefix}.{number}"

    async def add_instance(self, name: str, zone: str) -> Instance:
        """Add an instance with a view of the store of its own; it is not started."""
        number = len(self.instances) + 1
        instance = Instance(
            self, name, zone, self.host(10 + number), self.host(200 + number)
        )
        instance.view = StoreView(self.store)
        await serve(instance.store, STORE, instance.view.handle)
        self.instances[name] = instance
        return instance

    async def start_platform(self) -> None:
        """Start the promotion service."""
        await serve(self.host(250), STORE, self._promote)

    async def _promote(self, request: Request) -> Answer:
        """Answer a promotion call."""
        name = request.body["id"]
        holder = request.headers.get("beryltrack-duty-holder", "")
        token = request.headers.get("beryltrack-fencing-token", "")
        done = await self.service.promote(name, holder, token)
        self.record.write(f"promotion of {name} by {holder}, token {token}: {done}")
        return Answer(200 if done else 409, {})

    async def add_database(self, name: str, zone: str, role: str) -> Database:
        """Start a database and register it as ready."""
        number = 100 + len(self.service.databases)
        database = self.service.add(name, self.host(number), DATABASE, role)
        database.zone = zone
        await database.start()
        self.write_entry(database, "ready")
        return database

    def write_entry(self, database: Database, state: str) -> None:
        """Write a database's entry, as the database does when its state changes."""
        self._sequence += 1
        spec = {
            "service": self.service.name,
            "address": f"{database.host}:{database.port}",
            "zone": database.zone,
            "config_version": "v1",
            "slots": 2,
            "state": state,
            "cold_remaining_ms": 0,
            "database_role": database.role,
            "sequence": self._sequence,
            "born": database.born,
        }
        self.store.write("servers", database.name, spec)
        self.record.write(f"store acknowledged: {database.name} is {state}", True)

    def write_configuration(self, version: int, routes: list[dict]) -> None:
        """Write the operator's configuration."""
        spec = {
            "config_version": version,
            "routes": routes,
            "services": [{"name": self.service.name, "connection_limit": 16}],
            "limits": {"transaction_idle_ms": 5000},
        }
        self.store.write("config", "main", spec)
        self.record.write(f"store acknowledged: configuration {version}", True)

    def end(self) -> None:
        """End all processes, and keep the errors that they logged in the record."""
        for instance in self.instances.values():
            if instance.process is not None and instance.process.poll() is None:
                instance.process.kill()
                instance.process.wait()
        for name in self.instances if self.folder.exists() else ():
            self._record_errors(name)
        shutil.rmtree(self.folder, ignore_errors=True)

    def _record_errors(self, name: str) -> None:
        """Write the first errors in an instance's log to the record."""
        path = self.folder / f"{name}.log"
        text = path.read_text("utf-8", "replace") if path.exists() else ""
        errors = [line for line in text.splitlines() if '"level": "CRITICAL"' in line]
        for line in errors[:MAX_ERRORS]:
            self.record.write(f"{name} logged: {line[-MAX_ERROR_LENGTH:]}")


def make_route(name: str, service: str, kind: str) -> dict:
    """Return a route of the configuration."""
    return {
        "name": f"r-{name}",
        "database_name": name,
        "service": service,
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 400,
        "priority": 2,
        "max_staleness_ms": 1500,
    }


def _choose_prefix() -> str:
    """Return the first three bytes of free loopback addresses."""
    for _ in range(100):
        prefix = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        probe = socket.socket()
        try:
            probe.bind((f"{prefix}.11", FRONT))
            return prefix
        except OSError:
            continue
        finally:
            probe.close()
    raise OSError("no free loopback addresses")
