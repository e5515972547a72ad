"""Settings go on to change after the store was restored from a backup.

The store was away for 2.6 s and was restored from a backup: its revisions had gone
back, and were given out again. Six instances that knew revision 26 took each list for
one that was overtaken by what another instance had told, as its revision was lower, and
asked for what came after revision 26, a history that did not exist. So each of them
listed and asked seven times a second, and none learned of three confirmed versions.

The lines that settled it, repeated without end, of one instance alone whose store came
back at revision 7, when 12 was known, and confirmed a new version of the settings:

    objects: A list of config at revision 8 is passed over, 12 is known.
    objects: No answer for config for 0.1 s (expired): the platform forgot the changes.

If the revision that was known had been given out again meanwhile, the wait was
answered as if nothing had happened, and what had been written before it was missed.

The cause was that revisions alone ordered what the store tells. A version now stands
for the store's era and the revision in it, so that a later era goes before all of an
earlier one, and a wait that an answer of another era ends is followed by a list.
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
"""Seconds within which a confirmed change is to be in force."""

COLD_START = 2.0
"""Seconds after the start by which the instance has listed all it follows."""


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
        """Start the instance, anew if there was one."""
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
        """Return the name of each database, and if it is to leave."""
        databases = self.node._groups.get("huvo").settings.databases
        return [(each.name, each.draining) for each in databases]

    def advance(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.clock.advance(STEP)
            self.agent.flush()
            self.versions.append(self.version)

    def write_others(self, count):
        """Let other instances write what this one does not go by."""
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
        site.write_others(lost)
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
    """It is read in slices, one of an earlier era perhaps before it."""
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


def test_nothing_is_missed_though_the_known_revision_was_given_out_again(make_site):
    """A wait that was not cut off is answered as if nothing had happened."""
    in_force = {}
    for written_again in (1, 2, 3, 4, 9):
        site = make_site()
        copy = site.store.make_backup()
        site.write_others(2)
        site.register(0, cold_remaining_ms=5)
        site.advance(1.0)
        site.store.restore(copy, aborts_watches=False)
        site.configure(9, "new")
        site.write_others(written_again)
        site.advance(APPLY_LIMIT)
        in_force[written_again] = site.version
    assert set(in_force.values()) == {9}


def test_settings_never_go_back_while_the_store_has_an_older_version(make_site):
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


def test_what_databases_said_in_the_lost_seconds_is_not_forgotten(make_site):
    """For two seconds the store has what they said before, until they say it again.

    A database that had started again, and so had lost what it held, was taken for the
    one of before; one that was to leave got new work.
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


def test_what_databases_have_not_said_again_by_then_is_taken_back(make_site):
    site = make_site()
    copy = site.store.make_backup()
    site.register(2, state="draining")
    site.advance(1.0)
    site.store.restore(copy)
    site.advance(4.0)
    assert site.get_databases() == [("i-0", False), ("i-1", False), ("i-2", False)]


@pytest.mark.parametrize("times", [2, 3])
def test_it_holds_for_several_restores_in_a_row(make_site, times):
    site = make_site()
    copy = site.store.make_backup()
    site.write_others(5)
    site.register(0, cold_remaining_ms=5)
    site.advance(1.0)
    for _ in range(times):
        site.store.restore(copy)
        site.write_others(5)
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
def test_one_that_starts_just_after_the_restore_goes_by_what_others_know(
    make_site, monkeypatch, era, is_asked
):
    """It was served by the settings of the copy: a key that had been taken away."""
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


def test_one_that_starts_after_a_restore_asks_the_others_for_a_while_only(
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
    """Each instance made sixteen calls a second for as long as it lived."""
    calls = []
    for is_restored in (False, True):
        site = make_site()
        copy = site.store.make_backup()
        site.write_others(3)
        site.register(0, cold_remaining_ms=5)
        site.advance(1.0)
        if is_restored:
            site.store.restore(copy)
        before = site.view.calls
        site.advance(20.0)
        calls.append(site.view.calls - before)
    # Three kinds are listed twice, by watches that are shorter then.
    assert calls[1] <= calls[0] + 12


def test_a_restore_is_logged_with_what_the_store_has_otherwise(make_site, caplog):
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
    gauges = dict(each[::2] for each in site.node._get_gauges() if not each[1])
    assert gauges["beryltrack_store_era"] == 2
