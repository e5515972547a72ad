"""No permit is given twice though the store was restored from a backup.

A store that is restored from a backup has forgotten the last permits. The next instance
was given a token that another one had used before, in 12 of 12 random runs: an equal
token passes the fence, so that a late call of its first holder would, too. Where no
fence is checked, the next permit was taken while calls under the forgotten one were
still sent, in 12 of 12 runs.

A token now is the version of the permit's write, which begins with the store's era and
is given to no two writes; a permit whose write was answered in a later era than it was
read in is not used; and where no fence is checked nobody takes one until calls under
any of an earlier era have ended.

Processes take permits at random here, step by step, so that the store may be restored
between any two steps; answers are lost, calls are refused or carried out late.
"""

import random
from functools import partial

import pytest
from treq.testing import RequestTraversalAgent
from twisted.internet.defer import Deferred

from beryltrack.daemon.store_clients import make_store_clients
from beryltrack.failover.unfenced_authority import CONNECT_TIMEOUT, PERMIT_VALIDITY
from beryltrack.objects.http import HttpClient
from beryltrack.objects.rejects import RejectLog
from beryltrack.platform.boot import parse_node_settings
from beryltrack_standins.lines.store import LATE, LOST, REFUSING, Store, StoreView
from tests.daemon.test_silent_store import Reactor
from tests.platform.test_settings import BOOT

STEP = 0.02
PROCESSES = ("front-1", "front-2", "front-3")
SEEDS = range(12)


class Grant:
    """A permit that a process was given, and from when to when it is used."""

    def __init__(self, token, holder, asked_at, given_at):
        self.token, self.holder = token, holder
        self.asked_at, self.given_at = asked_at, given_at

    @property
    def used_until(self):
        """When the last call under it may be sent where no fence is checked."""
        return self.given_at + PERMIT_VALIDITY + CONNECT_TIMEOUT


class Process:
    """One process that takes permits."""

    def __init__(self, site, name, is_fenced):
        self.site, self.name, self.grants = site, name, []
        self.view = StoreView(
            site.clock, site.store, lambda kind, name, spec: spec, site.rng
        )
        self.agent = RequestTraversalAgent(self.view)
        site.patch(partial(HttpClient, agent=self.agent))
        bounds = BOOT["bounds"] | {"fencing_enforced": is_fenced}
        settings = parse_node_settings(BOOT | {"node_name": name, "bounds": bounds})
        rng = random.Random(name)
        clients = make_store_clients(site.clock, settings, rng, RejectLog())
        self.store, self.authority = clients.store, clients.authority
        self.is_asking = False

    def ask(self):
        """Take a permit unless that is under way; the steps are taken by `step`."""
        if self.is_asking:
            return
        self.is_asking, asked_at = True, self.site.clock.seconds()
        asking = Deferred.fromCoroutine(self.authority.acquire("main", True))
        asking.addCallback(self._take, asked_at)

    def _take(self, result, asked_at):
        self.is_asking = False
        permit = result.value_or(None)
        held = {each.token for each in self.grants}
        if permit is not None and permit.token not in held:
            now = self.site.clock.seconds()
            self.grants.append(Grant(permit.token, self.name, asked_at, now))

    def follow(self):
        """Make a call as those that follow the store do."""
        Deferred.fromCoroutine(self.store.list("config"))

    def step(self):
        self.agent.flush()


class PermitSite:
    """Some processes, and a store that is restored from backups."""

    def __init__(self, patch, seed, is_fenced):
        self.patch, self.rng = patch, random.Random(seed)
        self.clock, self.store = Reactor(), Store()
        self.processes = [Process(self, name, is_fenced) for name in PROCESSES]
        self.copy = self.store.make_backup()

    @property
    def grants(self):
        """All permits, in the order in which they were given."""
        found = (grant for process in self.processes for grant in process.grants)
        return sorted(found, key=lambda grant: grant.given_at)

    def run(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.take_step()

    def take_step(self):
        rng, process = self.rng, self.rng.choice(self.processes)
        if rng.random() < 0.03:
            process.ask()
        if rng.random() < 0.1:
            process.follow()
        if rng.random() < 0.03:
            process.view.fault = rng.choice(("", "", LOST, LATE, REFUSING))
        if rng.random() < 0.02:
            self.copy = self.store.make_backup()
        elif rng.random() < 0.005:
            self.store.restore(self.copy)
        for each in self.processes:
            if rng.random() < 0.7:
                each.step()
        self.clock.advance(STEP)


@pytest.fixture
def make_site(monkeypatch):
    def patch(make_client):
        monkeypatch.setattr("beryltrack.daemon.store_clients.HttpClient", make_client)

    return partial(PermitSite, patch)


def test_no_token_is_given_twice_and_none_is_lower_than_an_earlier_one(make_site):
    found = []
    for seed in SEEDS:
        site = make_site(seed, is_fenced=True)
        site.run(60.0)
        grants = site.grants
        assert len(grants) > 5
        twice = len({grant.token for grant in grants}) < len(grants)
        refused = any(
            later.token <= earlier.token
            for earlier in grants
            for later in grants
            if earlier.given_at < later.asked_at
        )
        if twice or refused:
            found.append((seed, twice, refused))
    assert found == []


def test_without_a_fence_no_two_permits_are_used_at_a_time(make_site):
    found = []
    for seed in SEEDS:
        site = make_site(seed, is_fenced=False)
        site.run(120.0)
        grants = site.grants
        assert len(grants) > 5
        pairs = zip(grants, grants[1:], strict=False)
        both = [
            (one.token, other.token)
            for one, other in pairs
            if one.holder != other.holder and other.given_at < one.used_until
        ]
        tokens = [grant.token for grant in grants]
        if both or tokens != sorted(set(tokens)):
            found.append((seed, both))
    assert found == []
