"""Settings objects after the store was restored from a backup.

Two failures are guarded against. A watcher that asks for changes after a revision that
the store has lost receives none for up to ten minutes, until its next full list;
therefore an expired watch is followed by a list. And changes made in the lost seconds
are undone, so that a removed user can log on again; therefore an object is ignored if
the identifiers of the known changes show that a later change replaced it.
"""

import random

import pytest
from treq.testing import RequestTraversalAgent
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from beryltrack.objects.client import PlatformClient
from beryltrack.settings.change import SettingsChange
from beryltrack.settings.stored import ChangeRequest
from beryltrack.settings.task import SettingsTask
from beryltrack_standins.platform.limits import PlatformOptions
from beryltrack_standins.platform.server import PlatformServer
from tests.settings.examples import GROUP_PATH, RULE_PATH, make_group

STEP = 0.1
LIMIT = 15.0
"""Seconds within which a change must be in force everywhere."""


class Instance:
    """One instance's settings."""

    def __init__(self, site, is_watcher):
        self.client = site.make_client()
        self.task = SettingsTask(site.clock, self.client, random.Random(1))
        self.task.set_watcher(is_watcher)
        self.task.start()

    @property
    def max_age(self):
        return self.task.current.groups[0].max_age

    @property
    def has_rule(self):
        return bool(self.task.current.rules)


class Site:
    """Two instances, an operator, and a store that can be restored from a backup."""

    def __init__(self):
        self.clock = Clock()
        self.platform = PlatformServer(self.clock, PlatformOptions(), era=1)
        self.agents = []
        self.operator = self.make_client()
        self.change_ids = iter(range(1000))
        self.change(GROUP_PATH, make_group(max_age=1))
        self.change(RULE_PATH, {"max_age": 5})
        self.instances = [Instance(self, True), Instance(self, False)]
        self.advance(LIMIT * 1.5)

    def make_client(self):
        self.agents.append(RequestTraversalAgent(self.platform))
        return PlatformClient(
            self.clock, "http://127.0.0.1", random.Random(1), agent=self.agents[-1]
        )

    def change(self, path, settings):
        """Change an object as the operator."""
        request = ChangeRequest(
            path, settings, "me", "", "", f"c{next(self.change_ids)}"
        )
        change = SettingsChange(self.clock, self.operator, request, random.Random(1))
        done = Deferred.fromCoroutine(change.run())
        self.advance(2.0)
        return done.result.unwrap()

    def advance(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.clock.advance(STEP)
            for agent in self.agents:
                agent.flush()

    def share(self):
        """Send all known objects of each instance to the others."""
        for one in self.instances:
            for other in self.instances:
                other.task.merge(one.task.get_objects())

    def get_ages(self):
        return [each.max_age for each in self.instances]


@pytest.mark.parametrize("lost", [1, 4])
def test_a_change_after_the_restore_is_in_force_in_time(lost):
    site = Site()
    copy = site.platform.store.make_backup()
    for age in range(2, 2 + lost):
        site.change(GROUP_PATH, make_group(max_age=age))
    site.advance(LIMIT * 1.5)
    site.platform.restore(copy)
    site.change(GROUP_PATH, make_group(max_age=9))
    site.advance(LIMIT)
    site.share()
    assert site.get_ages() == [9, 9]


def test_changes_confirmed_in_the_lost_seconds_stay_in_force():
    site = Site()
    copy = site.platform.store.make_backup()
    site.change(GROUP_PATH, make_group(max_age=2))
    site.change(GROUP_PATH, make_group(max_age=3))
    site.change(RULE_PATH, None)
    site.advance(LIMIT * 1.5)
    site.platform.restore(copy)
    for _ in range(40):
        site.advance(1.0)
        site.share()
        assert site.get_ages() == [3, 3]
        assert [each.has_rule for each in site.instances] == [False, False]
    texts = [finding.text for finding in site.instances[0].task.findings]
    assert len(texts) == 2 and all("write it again" in text for text in texts)


def test_findings_end_when_the_changes_are_written_again():
    site = Site()
    copy = site.platform.store.make_backup()
    site.change(GROUP_PATH, make_group(max_age=3))
    site.advance(LIMIT * 1.5)
    site.platform.restore(copy)
    site.advance(LIMIT)
    site.change(GROUP_PATH, make_group(max_age=3))
    site.change(RULE_PATH, None)
    site.advance(LIMIT * 1.5)
    site.share()
    assert site.get_ages() == [3, 3]
    assert not site.instances[1].has_rule
    assert site.instances[0].task.findings == ()


def test_an_object_created_in_the_lost_seconds_stays_in_force():
    site = Site()
    copy = site.platform.store.make_backup()
    site.change("settings/shop/rules/fresh", {"max_age": 1})
    site.advance(LIMIT * 1.5)
    site.platform.restore(copy)
    site.advance(LIMIT * 3)
    site.share()
    assert [len(each.task.current.rules) for each in site.instances] == [2, 2]
