"""Changes are in force after the store was restored from a backup.

A restore resets the store's revisions to lower numbers, which are then reused. If
revisions alone order the store's answers, instances that know a higher revision ignore
each new list as outdated and watch from a revision that does not exist yet: they list
and watch seven times a second and learn of no confirmed change. If the known revision
has been reused meanwhile, the watch continues as if nothing had happened, and changes
before that revision are missed.

So a version consists of the store's era, the number of its restores, and the revision
in that era: a later era is newer than all of an earlier one, and a watch that ends with
an answer of another era is followed by a list.
"""

import random
from functools import partial
from itertools import product

import pytest
from treq.testing import RequestTraversalAgent
from twisted.internet.defer import Deferred

from beryltrack.daemon.node import Node
from beryltrack.objects.http import HttpClient
from beryltrack.objects.snapshot import SnapshotTask
from beryltrack.platform.boot import parse_node_settings
from beryltrack_standins.lines.store import (
    LOST,
    REFUSING,
    SILENT,
    Store,
    StoreView,
)
from tests.daemon.test_silent_store import STEP, Reactor
from tests.platform.test_settings import BOOT, CONFIG, ENTRY

APPLY_LIMIT = 3.0
"""Seconds within which a confirmed change must be in force."""

COLD_START = 2.0
"""Seconds after the start within which the instance has listed all kinds."""


class RestoredSite:
    """One instance and a store that can be restored, in simulated time."""

    def __init__(self, monkeypatch, era=1):
        self.clock = Reactor()
        self.store = Store(era)
        self.view = StoreView(
            self.clock, self.store, lambda kind, name, spec: spec, random.Random(1)
        )
        self.agent = RequestTraversalAgent(self.view)
        make_client = partial(HttpClient, agent=self.agent)
        monkeypatch.setattr("beryltrack.daemon.store_clients.HttpClient", make_client)
        self.versions = []
        self.configure(7)
        for number in range(3):
            self.register(number)
        self.node = None
        self.start_node()

    def start_node(self, **boot):
        """Start the instance, or restart it."""
        if self.node is not None:
            Deferred.fromCoroutine(self.node.stop())
        settings = parse_node_settings(BOOT | boot)
        self.node = Node(self.clock, settings, random.Random(1), lambda line: None)
        self.node.start()
        self.advance(COLD_START)

    @property
    def version(self):
        """The version of the settings in force."""
        return self.node._site.version

    def configure(self, version, *names):
        routes = [
            CONFIG["routes"][0] | {"name": f"r-{name}", "database_name": name}
            for name in names
        ]
        value = {"config_version": version, "routes": [*CONFIG["routes"], *routes]}
        self.store.change("config", "main", CONFIG | value)

    def register(self, number, **fields):
        entry = ENTRY | {"address": f"10.1.0.{number}:80", "state": "ready"} | fields
        self.store.change("servers", f"i-{number}", entry)

    def get_databases(self):
        """Return the name of each database, and whether it drains."""
        databases = self.node._groups.get("huvo").settings.databases
        return [(each.name, each.draining) for each in databases]

    def advance(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.clock.advance(STEP)
            self.agent.flush()
            self.versions.append(self.version)

    def write_unrelated(self, count):
        """Let other instances write objects that this one does not follow."""
        for number in range(count):
            self.store.change("permits", "other", {"token": number})


@pytest.fixture
def make_site(monkeypatch):
    return partial(RestoredSite, monkeypatch)


def test_a_change_after_the_restore_is_in_force_in_time(make_site):
    in_force = {}
    for how, lost in product((LOST, REFUSING, SILENT), (1, 3, 40)):
        site = make_site()
        site.configure(8)
        site.advance(1.0)
        copy = site.store.make_backup()
        site.write_unrelated(lost)
        site.register(0, cold_remaining_ms=5)
        site.advance(1.0)
        site.view.fault = how
        site.advance(2.6)
        site.store.restore(copy)
        site.view.fault = ""
        site.configure(9, "new")
        site.advance(APPLY_LIMIT)
        is_served = site.node._get_route("new") is not None
        in_force[how, lost] = site.version, is_served
    assert set(in_force.values()) == {(9, True)}


def test_a_large_change_after_the_restore_is_in_force_in_time(make_site):
    """It is parsed in slices, perhaps after a version of an earlier era."""
    names = [f"new-{number}" for number in range(1400)]
    site = make_site()
    copy = site.store.make_backup()
    site.configure(8, *names)
    site.view.fault = REFUSING
    site.advance(1.0)
    site.store.restore(copy)
    site.view.fault = ""
    site.advance(0.1)
    site.configure(9, *names)
    site.advance(APPLY_LIMIT)
    assert site.version == 9 and site.versions == sorted(site.versions)
    assert all(site.node._get_route(name) is not None for name in names)


def test_nothing_is_missed_if_the_known_revision_is_reused(make_site):
    """A watch that the restore does not end continues as if nothing had happened."""
    in_force = {}
    for written_again in (1, 2, 3, 4, 9):
        site = make_site()
        copy = site.store.make_backup()
        site.write_unrelated(2)
        site.register(0, cold_remaining_ms=5)
        site.advance(1.0)
        site.store.restore(copy, aborts_watches=False)
        site.configure(9, "new")
        site.write_unrelated(written_again)
        site.advance(APPLY_LIMIT)
        in_force[written_again] = site.version
    assert set(in_force.values()) == {9}


def test_settings_never_revert_while_the_store_has_an_older_version(make_site):
    site = make_site()
    copy = site.store.make_backup()
    site.configure(8)
    site.advance(1.0)
    site.view.fault = REFUSING
    site.advance(1.0)
    site.store.restore(copy)
    site.view.fault = ""
    site.advance(3.0)
    assert site.version == 8
    site.configure(8)
    site.advance(1.0)
    site.configure(9)
    site.advance(APPLY_LIMIT)
    assert site.version == 9 and site.versions == sorted(site.versions)


def test_database_states_written_after_the_backup_are_retained(make_site):
    """For two seconds the store has outdated states, until databases rewrite them.

    Guards against a database that restarted, and so lost its data, but is taken for its
    former incarnation, and against new work for one that drains.
    """
    site = make_site()
    site.register(1, born=1_000)
    site.advance(1.0)
    copy = site.store.make_backup()
    site.register(1, born=2_000)
    site.register(2, state="draining")
    site.advance(1.0)
    before = site.get_databases()
    site.view.fault = REFUSING
    site.advance(1.0)
    site.store.restore(copy)
    site.view.fault = ""
    site.advance(1.9)
    assert before[1:] == [("i-1@2000", False), ("i-2", True)]
    assert site.get_databases() == before
    site.register(1, born=2_000)
    site.register(2, state="draining")
    site.advance(4.0)
    assert site.get_databases() == before


def test_database_states_that_are_not_rewritten_in_time_expire(make_site):
    site = make_site()
    copy = site.store.make_backup()
    site.register(2, state="draining")
    site.advance(1.0)
    site.store.restore(copy)
    site.advance(4.0)
    assert site.get_databases() == [("i-0", False), ("i-1", False), ("i-2", False)]


@pytest.mark.parametrize("times", [2, 3])
def test_changes_are_in_force_after_several_restores(make_site, times):
    site = make_site()
    copy = site.store.make_backup()
    site.write_unrelated(5)
    site.register(0, cold_remaining_ms=5)
    site.advance(1.0)
    for _ in range(times):
        site.store.restore(copy)
        site.write_unrelated(5)
        site.register(0, cold_remaining_ms=5)
        site.advance(0.3)
    site.configure(9)
    site.advance(APPLY_LIMIT)
    assert site.version == 9


def test_a_store_without_eras_works_as_before(make_site):
    site = make_site(era=None)
    site.configure(8)
    site.advance(APPLY_LIMIT)
    assert site.version == 8


@pytest.mark.parametrize(("era", "is_asked"), [(1, True), (None, False)])
def test_an_instance_that_starts_after_a_restore_uses_others_newer_settings(
    make_site, monkeypatch, era, is_asked
):
    """Guards against serving by the backup's settings, such as a revoked key."""
    site = make_site(era)
    copy = site.store.make_backup()
    site.configure(8)
    site.advance(1.0)
    known, asked = site.node._get_snapshot(), []

    async def fetch(self, source):
        asked.append(source)
        return known

    monkeypatch.setattr(SnapshotTask, "_fetch", fetch)
    if era is not None:
        site.store.restore(copy)
    site.start_node(first_start=False, seeds=["10.1.0.7:82"])
    assert site.version == 8
    site.advance(20.0)
    assert site.version == 8 and len(asked) == int(is_asked)


def test_an_instance_that_starts_after_a_restore_stops_asking_others(
    make_site, monkeypatch
):
    asked = []

    async def fetch(self, source):
        asked.append(source)

    monkeypatch.setattr(SnapshotTask, "_fetch", fetch)
    site = make_site()
    site.start_node(first_start=False, seeds=["10.1.0.7:82"])
    site.advance(30.0)
    assert 1 <= len(asked) <= 6


def test_a_restore_costs_few_calls(make_site):
    """Guards against list and watch loops, sixteen calls a second per instance."""
    calls = []
    for is_restored in (False, True):
        site = make_site()
        copy = site.store.make_backup()
        site.write_unrelated(3)
        site.register(0, cold_remaining_ms=5)
        site.advance(1.0)
        if is_restored:
            site.store.restore(copy)
        before = site.view.calls
        site.advance(20.0)
        calls.append(site.view.calls - before)
    # Three kinds are listed twice, and the watches in between are shorter.
    assert calls[1] <= calls[0] + 12


def test_a_restore_is_logged_with_the_differences(make_site, caplog):
    site = make_site()
    copy = site.store.make_backup()
    site.register(1, cold_remaining_ms=5)
    site.configure(8)
    site.advance(1.0)
    site.store.restore(copy)
    site.advance(4.0)
    text = caplog.text
    assert text.count("The store was restored from a backup: era 2 after 1") == 1
    assert (
        "The restored store has config at revision 2.6, after 1.8; 1 of 1 objects"
        in text
    )
    assert "1 of 3 objects differ from the cached ones: servers/i-1." in text
    gauges = dict(each[::2] for each in site.node._get_samples() if not each[1])
    assert gauges["beryltrack_store_era"] == 2
