"""Live instances stay members when a restored store lacks their objects.

A store that is restored from a backup lacks the instances that registered after the
backup. Guards against other instances that drop them at once and take over their shares
of the databases' connections while they are still in use, and against an instance that
the store refuses meanwhile and that is therefore never registered again.
"""

import random
from itertools import chain
from types import SimpleNamespace

import pytest
from treq.testing import RequestTraversalAgent
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock

from beryltrack.daemon.members import KIND, MemberTask
from beryltrack.objects.http import HttpClient
from beryltrack.platform.store import PlatformStore
from beryltrack.relay.owners import Peer
from beryltrack.settings.messages import Endpoint
from beryltrack_standins.lines.store import REFUSING, Store, StoreView

STEP = 0.05
REREGISTRATION_LIMIT = 6.0
"""Seconds after the restore within which all live instances are registered again."""


class Member:
    """The membership task of one instance."""

    def __init__(self, site, number):
        self.site, self.name = site, f"n-{number:03}"
        self.clock, self.seen = MemoryReactorClock(), []
        self.view = StoreView(
            self.clock, site.store, lambda kind, name, spec: spec, random.Random(1)
        )
        self.agent = RequestTraversalAgent(self.view)
        http = HttpClient(self.clock, "http://x", random.Random(2), agent=self.agent)
        lagging = PlatformStore(http, allows_stale_reads=True)
        own = Peer(self.name, "z", Endpoint("10.0.0.1", 7441))
        self.task = MemberTask(
            self.clock,
            PlatformStore(http),
            lagging,
            own,
            Endpoint(f"10.0.0.{number}", 7440),
            self.seen.append,
            random.Random(number),
        )
        self.task.start()

    @property
    def known(self):
        """Names of the instances that this instance knows."""
        return {peer.name for peer in self.seen[-1]}

    def advance(self):
        self.clock.advance(STEP)
        self.agent.flush()
        attempts, self.clock.tcpClients[:] = tuple(self.clock.tcpClients), []
        for host, _, factory, *_ in attempts:
            if self.site.is_live(host):
                protocol = factory.buildProtocol(None)
                protocol.makeConnection(SimpleNamespace(loseConnection=lambda: None))
            else:
                factory.clientConnectionFailed(None, ConnectionRefusedError())


class MemberSite:
    """Some instances, and a store that is restored from backups."""

    def __init__(self):
        self.store, self.members = Store(), {}

    def add(self, *numbers):
        self.members |= {number: Member(self, number) for number in numbers}
        self.run(4.0)

    def stop_member(self, number):
        self.members.pop(number).task.stop()

    def is_live(self, host):
        return int(host.rpartition(".")[2]) in self.members

    def run(self, seconds, check=lambda: None):
        for _ in range(round(seconds / STEP)):
            for member in self.members.values():
                member.advance()
            check()

    @property
    def names(self):
        return {member.name for member in self.members.values()}

    @property
    def stored(self):
        return {name for kind, name in self.store.objects if kind == KIND}

    def all_know_all(self):
        return all(member.known >= self.names for member in self.members.values())


def make_restored_site(*last):
    """Return a site whose restored store lacks the instances that came last."""
    site = MemberSite()
    site.add(1, 2, 4, 5)
    copy = site.store.make_backup()
    site.add(*last)
    assert site.all_know_all()
    site.store.restore(copy)
    return site


def test_live_instances_stay_known_and_register_again():
    site = make_restored_site(3, 6)
    known = []
    site.run(REREGISTRATION_LIMIT, lambda: known.append(site.all_know_all()))
    assert all(known) and site.stored == site.names
    site.run(20.0, lambda: known.append(site.all_know_all()))
    assert all(known)


@pytest.mark.parametrize("away", [(3,), (3, 6), (6,)])
def test_an_instance_that_the_store_refuses_is_registered_by_its_predecessor(away):
    site = MemberSite()
    site.add(1, 2, 4, 5)
    copy = site.store.make_backup()
    site.add(3, 6)
    for number in away:
        site.members[number].view.fault = REFUSING
    site.store.restore(copy)
    known = []
    site.run(20.0, lambda: known.append(site.all_know_all()))
    assert all(known) and site.stored == site.names


def test_an_instance_that_crashes_meanwhile_is_removed():
    site = make_restored_site(3, 6)
    site.stop_member(3)
    site.run(25.0)
    known = set(chain.from_iterable(each.known for each in site.members.values()))
    assert known == site.names == site.stored


def test_an_instance_that_left_after_the_backup_is_removed_again():
    site = MemberSite()
    site.add(1, 2, 3)
    copy = site.store.make_backup()
    site.store.change(KIND, "n-002", None, True)
    site.stop_member(2)
    site.run(1.0)
    site.store.restore(copy)
    site.run(25.0)
    assert site.stored == site.names == {"n-001", "n-003"}


def test_a_fleet_that_the_restored_store_lacks_registers_at_a_limited_rate():
    """Sixty instances whose objects are all lost make at most 200 writes a second."""
    site = MemberSite()
    copy = site.store.make_backup()
    site.add(*range(1, 61))
    assert site.all_know_all()
    site.store.restore(copy)
    writes, known = [], []

    def check():
        writes.append(site.store.writes)
        known.append(site.all_know_all())

    site.run(REREGISTRATION_LIMIT, check)
    per_step = round(1 / STEP)
    most = max(b - a for a, b in zip(writes, writes[per_step:], strict=False))
    assert site.stored == site.names and all(known) and most <= 200
