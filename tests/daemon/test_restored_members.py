"""Instances that live are not taken for gone when the store forgets them.

A store that was restored from a backup no longer had the objects of instances that
had registered since. Each of the others dropped them at once, and gave their parts of
the databases' connections to itself, while they went on using them. One that the store
turned away meanwhile could not register again, and stayed away.
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
REGISTERED_AGAIN = 6.0
"""Seconds after the restore within which all that live are in the store again."""


class Member:
    """One instance as far as it registers and looks after another."""

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
        """Names of the instances that this one knows."""
        return {peer.name for peer in self.seen[-1]}

    def advance(self):
        self.clock.advance(STEP)
        self.agent.flush()
        attempts, self.clock.tcpClients[:] = tuple(self.clock.tcpClients), []
        for host, _, factory, *_ in attempts:
            if self.site.lives(host):
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

    def lose(self, number):
        self.members.pop(number).task.stop()

    def lives(self, host):
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


def restore_without_the_last(*last):
    """Return a site whose store has forgotten the instances that came last."""
    site = MemberSite()
    site.add(1, 2, 4, 5)
    copy = site.store.make_backup()
    site.add(*last)
    assert site.all_know_all()
    site.store.restore(copy)
    return site


def test_those_that_live_are_known_throughout_and_register_again():
    site = restore_without_the_last(3, 6)
    known = []
    site.run(REGISTERED_AGAIN, lambda: known.append(site.all_know_all()))
    assert all(known) and site.stored == site.names
    site.run(20.0, lambda: known.append(site.all_know_all()))
    assert all(known)


@pytest.mark.parametrize("away", [(3,), (3, 6), (6,)])
def test_one_that_the_store_turns_away_is_registered_by_who_looks_after_it(away):
    site = MemberSite()
    site.add(1, 2, 4, 5)
    copy = site.store.make_backup()
    site.add(3, 6)
    for number in away:
        site.members[number].view.trouble = REFUSING
    site.store.restore(copy)
    known = []
    site.run(20.0, lambda: known.append(site.all_know_all()))
    assert all(known) and site.stored == site.names


def test_one_that_was_lost_meanwhile_is_known_no_longer():
    site = restore_without_the_last(3, 6)
    site.lose(3)
    site.run(25.0)
    known = set(chain.from_iterable(each.known for each in site.members.values()))
    assert known == site.names == site.stored


def test_one_that_left_in_the_lost_seconds_goes_again():
    site = MemberSite()
    site.add(1, 2, 3)
    copy = site.store.make_backup()
    site.store.change(KIND, "n-002", None, True)
    site.lose(2)
    site.run(1.0)
    site.store.restore(copy)
    site.run(25.0)
    assert site.stored == site.names == {"n-001", "n-003"}


def test_a_whole_fleet_that_is_forgotten_registers_at_a_bearable_pace():
    """Sixty instances of which all objects are lost write less than 200 a second."""
    site = MemberSite()
    copy = site.store.make_backup()
    site.add(*range(1, 61))
    assert site.all_know_all()
    site.store.restore(copy)
    writes, known = [], []

    def check():
        writes.append(site.store.writes)
        known.append(site.all_know_all())

    site.run(REGISTERED_AGAIN, check)
    per_step = round(1 / STEP)
    most = max(b - a for a, b in zip(writes, writes[per_step:], strict=False))
    assert site.stored == site.names and all(known) and most <= 200
