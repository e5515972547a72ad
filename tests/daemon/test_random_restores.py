"""Settings and databases of two instances whose store is restored at random moments.

Random schedules combine all kinds of outages of the store, restores from backups up to
five seconds old (also several in a row), changes of the configuration, restarts and
draining of databases, and restarts of instances. Operators and databases rewrite lost
objects within two seconds. Guards against settings that revert to an older version,
confirmed changes that are not in force 3 s after the last disturbance, and databases
whose last state or restart is lost.
"""

import random
from functools import partial

import pytest
from treq.testing import RequestTraversalAgent
from twisted.internet.defer import Deferred

from beryltrack.daemon.node import Node
from beryltrack.objects.http import HttpClient
from beryltrack.objects.snapshot import SnapshotTask
from beryltrack.platform.boot import parse_node_settings
from beryltrack.settings.incarnations import get_identifier, get_start_time
from beryltrack_standins.lines.store import (
    LATE,
    LOST,
    REFUSING,
    SILENT,
    Store,
    StoreView,
)
from tests.daemon.test_silent_store import STEP, Reactor
from tests.platform.test_settings import BOOT, CONFIG, ENTRY

HOSTS = ("10.1.0.8", "10.1.0.9")
REWRITE_LIMIT = 2.0
"""Seconds within which operators and databases rewrite their objects."""

SETTLE_TIME = 3.0 + REWRITE_LIMIT
"""Seconds after the last disturbance until all confirmed changes must be in force."""

COPY_AGE = 5.0
SEEDS = range(16)


class Instance:
    """One instance and its connection to the store."""

    def __init__(self, site, host):
        self.site, self.host, self.node = site, host, None
        self.view = StoreView(
            site.clock, site.store, lambda kind, name, spec: spec, site.rng
        )
        self.agent = RequestTraversalAgent(self.view)
        self.start(True)

    def start(self, is_first):
        """Start the instance, or restart it."""
        if self.node is not None:
            Deferred.fromCoroutine(self.node.stop())
        self.site.patch(partial(HttpClient, agent=self.agent))
        boot = BOOT | {"node_name": f"front-{self.host}", "ip": self.host}
        seeds = [f"{host}:82" for host in HOSTS if host != self.host]
        settings = parse_node_settings(boot | {"first_start": is_first, "seeds": seeds})
        rng = random.Random(self.site.rng.random())
        self.node = Node(self.site.clock, settings, rng, lambda line: None)
        self.versions, self.starts, self.reverted_starts = [], {}, set()
        self.node.start()

    def advance(self):
        self.agent.flush()
        self.versions.append(self.node._site.version)
        for name in self.get_databases():
            identifier, start = get_identifier(name), get_start_time(name)
            if start < self.starts.get(identifier, 0):
                self.reverted_starts.add((self.site.clock.seconds(), name))
            self.starts[identifier] = start

    def get_databases(self):
        runtime = self.node._groups.get("huvo")
        databases = runtime.settings.databases if runtime else ()
        return {each.name: each.draining for each in databases}


class Site:
    """Two instances, the operator, three databases and their store."""

    def __init__(self, patch, seed):
        self.patch, self.rng = patch, random.Random(seed)
        self.clock, self.store = Reactor(), Store()
        self.version, self.disturbed_at = 1, 0.0
        self.confirmed = {}
        self.copies = []
        self.configure()
        for number in range(3):
            self.register(number, born=1000)
        self.instances = {host: Instance(self, host) for host in HOSTS}
        self.run(4.0)

    def write(self, kind, name, spec):
        """Write an object that is rewritten if the store loses it."""
        self.confirmed[kind, name] = spec
        self.store.change(kind, name, spec)
        self.disturbed_at = self.clock.seconds()

    def configure(self):
        self.version += 1
        self.write("config", "main", CONFIG | {"config_version": self.version})

    def register(self, number, **fields):
        entry = ENTRY | {"address": f"10.1.0.{number}:80", "state": "ready"} | fields
        self.write("servers", f"i-{number}", entry)

    def rewrite(self, key):
        item = self.store.objects.get(key)
        if item is None or item["spec"] != self.confirmed[key]:
            self.write(*key, self.confirmed[key])

    def restore(self):
        """Restore the store from a random backup; lost objects are rewritten."""
        self.store.restore(self.rng.choice(self.copies)[1])
        for key in self.confirmed:
            delay = self.rng.choice((0.0, self.rng.uniform(0.0, REWRITE_LIMIT)))
            self.clock.callLater(delay, self.rewrite, key)
        self.disturbed_at = self.clock.seconds()

    def run(self, seconds, act_randomly=lambda: None):
        for _ in range(round(seconds / STEP)):
            act_randomly()
            self.clock.advance(STEP)
            for instance in self.instances.values():
                instance.advance()
            now = self.clock.seconds()
            self.copies = [each for each in self.copies if now - each[0] <= COPY_AGE]
            if not self.copies or now - self.copies[-1][0] >= 0.5:
                self.copies.append((now, self.store.make_backup()))

    def act_randomly(self):
        """Make a random change or disturbance, with a low probability."""
        rng, instance = self.rng, self.rng.choice(list(self.instances.values()))
        if rng.random() < 0.02:
            self.configure()
        if rng.random() < 0.01:
            born = int(self.clock.seconds() * 1000) + 2000
            state = rng.choice(("ready", "draining"))
            self.register(rng.randrange(3), born=born, state=state)
        if rng.random() < 0.03:
            troubles = ("", "", "", LOST, LATE, REFUSING, SILENT)
            instance.view.fault = rng.choice(troubles)
        if rng.random() < 0.012:
            self.restore()
        if rng.random() < 0.004:
            instance.start(False)
            self.disturbed_at = self.clock.seconds()

    def settle(self):
        """End all disturbances and wait until the state must be in force."""
        for instance in self.instances.values():
            instance.view.fault = ""
        self.run(SETTLE_TIME + REWRITE_LIMIT)


@pytest.fixture
def make_site(monkeypatch):
    def patch(make_client):
        monkeypatch.setattr("beryltrack.daemon.store_clients.HttpClient", make_client)

    def make(seed):
        site = Site(patch, seed)

        async def fetch(task, source):
            return site.instances[source.host].node._get_snapshot()

        monkeypatch.setattr(SnapshotTask, "_fetch", fetch)
        return site

    return make


def get_expected(site):
    """Return whether each database drains, by its last confirmed state."""
    servers = {key: spec for key, spec in site.confirmed.items() if key[0] == "servers"}
    return {
        f"{name}@{spec['born']}": spec["state"] == "draining"
        for (_, name), spec in servers.items()
    }


def test_confirmed_state_holds_after_random_outages_and_restores(make_site):
    found = []
    for seed in SEEDS:
        site = make_site(seed)
        for _ in range(3):
            site.run(12.0, site.act_randomly)
            site.settle()
            for host, instance in site.instances.items():
                if instance.versions != sorted(instance.versions):
                    found.append((seed, host, "went back"))
                if instance.reverted_starts:
                    found.append((seed, host, "forgot", instance.reverted_starts))
                if instance.versions[-1] != site.version:
                    found.append((seed, host, instance.versions[-1], site.version))
                if instance.get_databases() != get_expected(site):
                    expected = get_expected(site)
                    found.append((seed, host, instance.get_databases(), expected))
    assert found == []
