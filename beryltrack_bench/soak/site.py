"""A site for the soak: stand-ins in this process, and each node in its own process.

Each site has its own addresses in the loopback range, so that several can run at once.
Nodes reach databases, the store and the promotion service through links.
"""

import itertools
import json
import os
import random
import signal
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory
from twisted.web.server import Site as HttpSite

from beryltrack.settings.mechanisms import DISABLED_VARIABLE, Mechanism
from beryltrack.settings.messages import Endpoint, RouteSettings
from beryltrack_bench.soak.history import (
    BOUNDED_ROUTE,
    OWN_ROUTE,
    PRIMARY_ROUTE,
    QUOTA_OVERAGE,
    QUOTA_SLACK,
    QUOTA_WINDOW,
    AccountLimit,
    History,
)
from beryltrack_bench.soak.links import Link
from beryltrack_standins.lines.database import DatabaseFactory, DatabaseSession
from beryltrack_standins.lines.group import Group
from beryltrack_standins.lines.store import (
    Backup,
    FencingTokenLog,
    PromotionView,
    Store,
    StoreView,
)

ROOT = Path(__file__).resolve().parents[2]
GROUP = "group"
DATABASES = ("i-a", "i-b", "i-c")
CALLER_PORT, READY_PORT, CONTROL_PORT, INTERNAL_PORT = 8784, 8785, 8782, 7440
GRACE = 4
"""Seconds between SIGTERM and SIGKILL."""

ROUTES = {
    PRIMARY_ROUTE: RouteSettings("db1", GROUP, "primary", 0.0, False, 0.8, 0.15, 1),
    BOUNDED_ROUTE: RouteSettings("db2", GROUP, "any", 1.5, False, 2.0, 0.5, 2),
    OWN_ROUTE: RouteSettings("db3", GROUP, "any", 2.5, True, 0.8, 0.25, 2),
}
_WIRE_KINDS = {
    PRIMARY_ROUTE: "primary",
    BOUNDED_ROUTE: "bounded_staleness",
    OWN_ROUTE: "read_own_writes",
}


BLOCKS = 200
"""Address blocks by the second byte, one for each site; then the third byte changes."""

RESERVATION_INDEX = 249
"""Index of the address on which a run listens to reserve its block."""


def _make_host(number: int, index: int) -> str:
    """Return the loopback address of a node of a site."""
    return f"127.{10 + number % BLOCKS}.{number // BLOCKS % 250}.{index + 1}"


class Account(NamedTuple):
    """A client account: its name, its keys and its limit."""

    name: str
    keys: tuple[str, ...]
    limit: AccountLimit

    def to_wire(self) -> dict:
        """Return the account as operators write it in the settings."""
        return {
            "name": self.name,
            "api_keys": list(self.keys),
            "rate_per_s": self.limit.rate,
            "burst_size": self.limit.burst,
        }


ACCOUNTS = {
    "calm": (("calm-1", "calm-2"), AccountLimit(500.0, 100.0)),
    "other": (("other-1",), AccountLimit(500.0, 100.0)),
    "hot": (("hot-1",), AccountLimit(12.0, 6.0)),
}
"""Accounts by name; callers of the last one exceed its limit by far."""

NO_ACCOUNT = Account("", ("u",), AccountLimit(0.0, 0.0))
"""The account of callers where there are no accounts."""

REVOKED_KEY, ADDED_KEY = "calm-2", "other-2"
"""The keys that the last settings change revokes and adds."""


class Node(NamedTuple):
    """One node: its address, its links by target, and its views of the stand-ins."""

    name: str
    host: str
    links: dict[str, Link]
    store: StoreView
    promotions: PromotionView

    @property
    def listen(self) -> Endpoint:
        """The address at which it accepts callers."""
        return Endpoint(self.host, CALLER_PORT)


class SoakOptions(NamedTuple):
    """Options of a run, in addition to the usual faults.

    Parameters
    ----------
    is_fenced : bool
        False if promotions are not fenced, so that former primaries go on.
    is_forgetful : bool
        True if databases restart empty, and other programs write to the store.
    has_accounts : bool
        True if callers need keys, which are added and revoked, and accounts have
        limits.
    has_store_restores : bool
        True if the store is restored from backups.
    is_paused_often : bool
        True if nodes are paused often, also repeatedly, and all at once.
    has_only_primary_cuts : bool
        True if the only fault is that some nodes cannot reach the primary.
    has_foreign_entries : bool
        True if other programs write entries that are no text, or are nested deeply, and
        a replica is drained at the end.
    has_leaving_callers : bool
        True if some callers leave before they have an answer.
    has_only_releases : bool
        True if the only faults are releases of the primary; see `releases`.
    has_only_stops : bool
        True if the only faults are stops of nodes before full databases, with values of
        up to 1 MB; see `stops`.
    nodes : int
        Number of nodes; 0 if the seed decides. Above 0, nodes may follow other nodes
        instead of the store, as they do in fleets of seven or more. Each node has its
        own addresses of the databases; a follower uses those of the followed node.
    """

    is_fenced: bool = True
    is_forgetful: bool = False
    has_accounts: bool = False
    has_store_restores: bool = False
    is_paused_often: bool = False
    has_only_primary_cuts: bool = False
    has_foreign_entries: bool = False
    has_leaving_callers: bool = False
    has_only_releases: bool = False
    has_only_stops: bool = False
    nodes: int = 0


class SoakSite:
    """Stand-ins, links and processes of one run.

    Parameters
    ----------
    reactor : reactor
        Runs the stand-ins.
    number : int
        Selects the site's block of addresses.
    count : int
        Number of nodes.
    max_connections : int
        Maximum of connections of all nodes to a database.
    rng : random.Random
        Source of all random numbers.
    folder : Path
        Folder of settings files and logs.
    options : SoakOptions, optional
        Options of the run.
    """

    def __init__(
        self,
        reactor,
        number: int,
        count: int,
        max_connections: int,
        rng: random.Random,
        folder: Path,
        options: SoakOptions = SoakOptions(),  # noqa: B008 (immutable)
    ):
        self.accounts = (
            {name: Account(name, *each) for name, each in ACCOUNTS.items()}
            if options.has_accounts
            else {}
        )
        self.options = options
        self._disabled = "" if options.nodes else Mechanism.SHARED_COPIES.value
        self._reactor = reactor
        self.seconds = reactor.seconds
        self.call_later = reactor.callLater
        self._rng = rng
        self._folder = folder
        self._limit = max_connections
        self._ports = []
        self._number = self._reserve_addresses(number)
        self._processes: dict[str, subprocess.Popen] = {}
        self._starts: itertools.count = itertools.count(1)
        self._versions = itertools.count(1)
        self._births = itertools.count(1)
        self._entries: dict[str, dict] = {}
        self.group = Group(reactor, DATABASES, rng, not options.is_fenced)
        self.history = History(self.group, reactor.seconds, self._find_node)
        self.store = Store()
        self.tokens = FencingTokenLog(options.is_fenced)
        numbers = itertools.count(1)
        self.databases = {
            name: DatabaseFactory(reactor, self.group, name, self.history, rng, numbers)
            for name in DATABASES
        }
        self._endpoints = {
            name: self._listen(factory) for name, factory in self.databases.items()
        }
        self._addresses: dict[tuple[str, str], str] = {}
        self.nodes = [self._make_node(index) for index in range(count)]
        self._fill_store()

    def start(self) -> None:
        """Start all nodes."""
        for node in self.nodes:
            self.start_node(node, True)

    def start_node(self, node: Node, is_first: bool = False) -> None:
        """Start a node's process, unless one is running."""
        running = self._processes.get(node.name)
        if running is not None and running.poll() is None:
            return
        path = self._folder / f"{node.name}.json"
        path.write_text(json.dumps(self._make_boot_settings(node, is_first)))
        log = open(self._folder / f"{node.name}.log", "ab")
        with log:
            self._processes[node.name] = subprocess.Popen(
                [sys.executable, "-m", "beryltrack.daemon.node_process"],
                cwd=ROOT,
                env={
                    "BERYLTRACK_BOOT": str(path),
                    DISABLED_VARIABLE: self._disabled,
                    "PATH": os.environ["PATH"],
                },
                stdout=log,
                stderr=log,
            )

    def signal_node(self, node: Node, number: int) -> None:
        """Send a signal to a node's process, if it runs."""
        process = self._processes.get(node.name)
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def is_running(self, node: Node) -> bool:
        """Return whether a node's process runs."""
        process = self._processes.get(node.name)
        return process is not None and process.poll() is None

    def stop(self) -> None:
        """Kill the processes that this site started, and close all ports."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for port in self._ports:
            port.stopListening()

    def write_configuration(self, added: RouteSettings | None = None) -> None:
        """Write a new version of the operators' configuration.

        Parameters
        ----------
        added : RouteSettings, optional
            An additional route, whose reads may be stale.
        """
        kinds = dict(ROUTES.items())
        if added is not None:
            kinds[added.name] = added
        routes = [
            {
                "name": f"route-{kind}",
                "database_name": route.name,
                "service": GROUP,
                "kind": _WIRE_KINDS.get(kind, "bounded_staleness"),
                "max_staleness_ms": int(route.max_age * 1000),
                "timeout_ms": int(route.statement_timeout * 1000),
                "target_latency_ms": int(route.target_latency * 1000),
                "priority": route.priority,
            }
            for kind, route in kinds.items()
        ]
        services = [{"name": GROUP, "connection_limit": self._limit}]
        version = next(self._versions)
        spec = {"config_version": version, "routes": routes, "services": services}
        if self.accounts:
            spec["tenants"] = [each.to_wire() for each in self.accounts.values()]
            for each in self.accounts.values():
                self.history.record_limit(each.name, each.limit)
        self.store.change("config", "main", spec)

    def change_account(self, name: str, **fields: object) -> None:
        """Change the keys or the limit of an account, in a new configuration."""
        self.accounts[name] = self.accounts[name]._replace(**fields)
        self.write_configuration()

    def restore(self, backup: Backup) -> None:
        """Restore the store from a backup.

        The configuration is written again at once. Each database's entry is written
        again within the two seconds allowed for it, with its last content.
        """
        specs = {key: item["spec"] for key, item in self.store.objects.items()}
        self.store.restore(backup)
        self.store.change("config", "main", specs["config", "main"])
        for name in self.databases:
            delay = self._rng.uniform(0.0, 2.0)
            self._reactor.callLater(delay, self._rewrite_entry, name)

    def _write_state(self, name: str, state: str) -> None:
        """Write a database's entry with another state."""
        self._entries[name] = self._entries[name] | {"state": state}
        self.restore_entry(name)

    def _rewrite_entry(self, name: str) -> None:
        """Write a database's entry again if the store has a different one."""
        stored = self.store.objects.get(("servers", name))
        if stored is None or stored["spec"] != self._entries[name]:
            self.restore_entry(name)

    def write_start_entry(self, name: str) -> None:
        """Write a new entry of a database, as it does at each start."""
        spec = {
            "service": GROUP,
            "address": "",
            "zone": "zone-1",
            "config_version": "v1",
            "slots": 3,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 0,
            "born": next(self._births),
        }
        self._entries[name] = spec
        self.store.change("servers", name, spec)

    def drain_replica(self) -> None:
        """Write that a replica leaves; it goes on until the end of the run."""
        primary = self.group.primary
        name = next(each for each in DATABASES if self.group.databases[each] != primary)
        self.report_leaving(name)

    def report_leaving(self, name: str) -> None:
        """Write that a database leaves."""
        self._write_state(name, "draining")
        self.history.record_draining(name)

    def end_leaving(self, name: str) -> None:
        """Write that a database does not leave any more."""
        self.history.end_draining(name)
        self._write_state(name, "ready")

    def remove_entry(self, name: str) -> None:
        """Remove the entry of a database, as the store does after its silence."""
        self.store.change("servers", name, None, True)

    def restore_entry(self, name: str) -> None:
        """Write the last entry of a database again, as it does on its return."""
        self.store.change("servers", name, self._entries[name])

    def _reserve_addresses(self, number: int) -> int:
        """Return a number whose address block no other run on this machine uses.

        Otherwise two runs of one seed would use the same addresses: a node of the
        second could not listen, and callers of one would reach nodes of the other.
        """
        for free in itertools.count(number, BLOCKS):
            try:
                self._listen(
                    Factory(), _make_host(free, RESERVATION_INDEX), CONTROL_PORT
                )
            except CannotListenError:
                continue
            return free

    def _listen(self, factory, host: str = "127.0.0.1", port: int = 0) -> Endpoint:
        """Open a port; return its address."""
        opened = self._reactor.listenTCP(port, factory, interface=host)
        self._ports.append(opened)
        return Endpoint(host, opened.getHost().port)

    def _make_node(self, index: int) -> Node:
        """Return a node with links to the databases, the store and the promotions."""
        host = _make_host(self._number, index)
        name = f"node-{index + 1}"
        store = StoreView(
            self._reactor, self.store, self._make_rewrite(name), self._rng
        )
        promotions = PromotionView(
            self._reactor, {GROUP: self.group}, self.tokens, self._rng
        )
        targets = dict(self._endpoints)
        targets["store"] = self._listen(HttpSite(store))
        targets["promotions"] = self._listen(HttpSite(promotions))
        links = {key: Link(self._reactor, target) for key, target in targets.items()}
        for key, link in links.items():
            host_port = self._listen(link)
            self._addresses[name, key] = f"{host_port.host}:{host_port.port}"
        return Node(name, host, links, store, promotions)

    def _find_node(self, session: DatabaseSession) -> str:
        """Return the name of the node that opened a connection to a database."""
        port, database = session.transport.getPeer().port, session.factory.database.name
        # Connections to different databases can have the same local port.
        links = ((node.name, node.links[database]) for node in self.nodes)
        return next((name for name, link in links if link.carries(port)), "")

    def _make_rewrite(self, node: str):
        """Return a function that puts a node's own addresses into database entries."""

        def rewrite(kind: str, name: str, spec: dict) -> dict:
            if kind != "servers" or name not in DATABASES or spec is None:
                return spec
            return {**spec, "address": self._addresses[node, name]}

        return rewrite

    def _fill_store(self) -> None:
        """Write the configuration and the databases' entries."""
        self.write_configuration()
        for name in DATABASES:
            self.write_start_entry(name)

    def _make_boot_settings(self, node: Node, is_first: bool) -> dict:
        """Return the content of a node's settings file."""
        return {
            "node_name": node.name,
            "zone": f"zone-{1 + int(node.name[-1]) % 2}",
            "ip": node.host,
            "listen": {
                "front": f"{node.host}:{CALLER_PORT}",
                "ready": f"{node.host}:{READY_PORT}",
            },
            "internal_ports": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "seeds": [f"{each.host}:{CONTROL_PORT}" for each in self.nodes[:3]],
            "first_start": is_first,
            "bounds": {
                "grace_s": GRACE,
                "fencing_enforced": self.options.is_fenced,
                "quota_window_s": QUOTA_WINDOW,
                "quota_overage": QUOTA_OVERAGE,
                "quota_slack": QUOTA_SLACK,
            },
            "platform": {"address": self._addresses[node.name, "store"]},
            "cloud": {"address": self._addresses[node.name, "promotions"]},
        }
