"""No token is issued twice although the store is restored from a backup.

A restore from a backup loses the last permits. The next instance was then issued a
token that another one had used (12 of 12 random runs): an equal token passes the fence,
so a delayed call of the first holder would pass, too. Without fencing, the next permit
was taken while calls under the lost one were still sent (12 of 12 runs).

Three rules prevent this. A token is the version of the permit's write, which begins
with the store's era and is given to no two writes. A permit whose write was answered in
a later era than its read is not used. Without fencing, no process takes a permit until
calls under any permit of an earlier era have ended.

Here processes take permits in random single steps, so that the store may be restored
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


class IssuedPermit:
    """A permit that a process obtained, and when it was requested and issued."""

    def __init__(self, token, holder, requested_at, issued_at):
        self.token, self.holder = token, holder
        self.requested_at, self.issued_at = requested_at, issued_at

    @property
    def used_until(self):
        """When the last call under it may be sent where fencing is not enforced."""
        return self.issued_at + PERMIT_VALIDITY + CONNECT_TIMEOUT


class Process:
    """One process that takes permits."""

    def __init__(self, site, name, is_fenced):
        self.site, self.name, self.permits = site, name, []
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
        """Start to take a permit unless that is under way; `step` carries it out."""
        if self.is_asking:
            return
        self.is_asking, requested_at = True, self.site.clock.seconds()
        asking = Deferred.fromCoroutine(self.authority.acquire("main", True))
        asking.addCallback(self._take, requested_at)

    def _take(self, result, requested_at):
        self.is_asking = False
        permit = result.value_or(None)
        held = {each.token for each in self.permits}
        if permit is not None and permit.token not in held:
            now = self.site.clock.seconds()
            self.permits.append(
                IssuedPermit(permit.token, self.name, requested_at, now)
            )

    def follow(self):
        """Make a call as a store follower does."""
        Deferred.fromCoroutine(self.store.list("config"))

    def step(self):
        self.agent.flush()


class PermitSite:
    """Processes, and a store that is restored from backups."""

    def __init__(self, patch, seed, is_fenced):
        self.patch, self.rng = patch, random.Random(seed)
        self.clock, self.store = Reactor(), Store()
        self.processes = [Process(self, name, is_fenced) for name in PROCESSES]
        self.backup = self.store.make_backup()

    @property
    def permits(self):
        """All permits in the order in which they were issued."""
        found = (permit for process in self.processes for permit in process.permits)
        return sorted(found, key=lambda permit: permit.issued_at)

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
            self.backup = self.store.make_backup()
        elif rng.random() < 0.005:
            self.store.restore(self.backup)
        for each in self.processes:
            if rng.random() < 0.7:
                each.step()
        self.clock.advance(STEP)


@pytest.fixture
def make_site(monkeypatch):
    def patch(make_client):
        monkeypatch.setattr("beryltrack.daemon.store_clients.HttpClient", make_client)

    return partial(PermitSite, patch)


def test_no_token_is_issued_twice_or_below_an_earlier_one(make_site):
    found = []
    for seed in SEEDS:
        site = make_site(seed, is_fenced=True)
        site.run(60.0)
        permits = site.permits
        assert len(permits) > 5
        twice = len({permit.token for permit in permits}) < len(permits)
        refused = any(
            later.token <= earlier.token
            for earlier in permits
            for later in permits
            if earlier.issued_at < later.requested_at
        )
        if twice or refused:
            found.append((seed, twice, refused))
    assert found == []


def test_without_fencing_permits_of_two_processes_do_not_overlap(make_site):
    found = []
    for seed in SEEDS:
        site = make_site(seed, is_fenced=False)
        site.run(120.0)
        permits = site.permits
        assert len(permits) > 5
        pairs = zip(permits, permits[1:], strict=False)
        both = [
            (one.token, other.token)
            for one, other in pairs
            if one.holder != other.holder and other.issued_at < one.used_until
        ]
        tokens = [permit.token for permit in permits]
        if both or tokens != sorted(set(tokens)):
            found.append((seed, both))
    assert found == []
