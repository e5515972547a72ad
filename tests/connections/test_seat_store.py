"""Seats in a store that is restored from a backup keep the era of their writes."""

import random

from treq.testing import RequestTraversalAgent
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from beryltrack.connections.budget_messages import SeatRecord, WriteSeat
from beryltrack.connections.seat_store import PlatformSeatStore
from beryltrack.objects.client import PlatformClient
from beryltrack.objects.eras import make_version
from beryltrack_standins.platform.limits import PlatformOptions
from beryltrack_standins.platform.server import PlatformServer


class Site:
    """A store with two seats."""

    def __init__(self):
        self.clock = Clock()
        self.platform = PlatformServer(self.clock, PlatformOptions(), era=1)
        self.agent = RequestTraversalAgent(self.platform)
        client = PlatformClient(
            self.clock, "http://127.0.0.1", random.Random(1), agent=self.agent
        )
        self.seats = PlatformSeatStore(client, 2)

    def run(self, call):
        done = Deferred.fromCoroutine(call)
        for _ in range(40):
            self.agent.flush()
            self.clock.advance(0.1)
        return done.result

    def read(self):
        return self.run(self.seats.read_seats())

    def write(self, seat, holder, if_version):
        return self.run(self.seats.write_seat(WriteSeat(seat, holder, if_version)))


def test_a_seat_that_a_restore_brings_back_is_no_later_write():
    site = Site()
    absent = make_version(1, 0)
    assert site.read() == (SeatRecord(0, 0, "", absent), SeatRecord(1, 0, "", absent))
    first = site.write(0, "a", absent)
    assert first == SeatRecord(0, make_version(1, 1), "a", make_version(1, 1))
    copy = site.platform.store.make_backup()
    site.write(0, "b", first.stored_version)
    site.write(1, "c", absent)
    site.platform.restore(copy)
    assert site.read() == (
        SeatRecord(0, make_version(1, 1), "a", make_version(2, 1)),
        SeatRecord(1, 0, "", make_version(2, 0)),
    )


def test_a_write_based_on_an_earlier_era_returns_the_present_seat():
    site = Site()
    copy = site.platform.store.make_backup()
    lost = site.write(1, "c", make_version(1, 0))
    site.platform.restore(copy)
    now = site.write(1, "c", lost.stored_version)
    assert now == SeatRecord(1, 0, "", make_version(2, 0))
    again = site.write(1, "c", now.stored_version)
    assert again == SeatRecord(1, make_version(2, 1), "c", make_version(2, 1))
