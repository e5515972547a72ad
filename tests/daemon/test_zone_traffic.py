"""Bytes between zones, by what they are for."""

import pytest
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol
from twisted.internet.testing import MemoryReactorClock, StringTransport

from beryltrack.daemon.zone_traffic import ZoneTraffic
from beryltrack.relay.owners import Peer
from beryltrack.settings.messages import DatabaseSettings, Endpoint


class Talker(Protocol):
    """Keeps what it receives."""

    def __init__(self):
        self.received = b""
        self.lost = None

    def dataReceived(self, data):  # noqa: N802
        self.received += data

    def connectionLost(self, reason):  # noqa: N802
        self.lost = reason


def make_peer(name, zone, port):
    places = (Endpoint("10.0.0.1", port + step) for step in range(3))
    return Peer(name, zone, *places)


class Site:
    """An instance of the zone ``here``, and a peer and a database of each zone."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        self.traffic = ZoneTraffic(self.reactor, "here")
        peers = (make_peer("near", "here", 100), make_peer("far", "there", 200))
        self.traffic.set_peers((*peers, Peer("old", "there", Endpoint("10.0.0.2", 1))))
        places = (("here", 300), ("there", 400))
        self.traffic.set_databases(
            DatabaseSettings(zone, Endpoint("10.0.0.1", port), zone, 9, 4, False)
            for zone, port in places
        )

    def open(self, port):
        """Return a connection that is open, as whoever opened it has it."""
        talker = Talker()
        endpoint = TCP4ClientEndpoint(self.traffic, "10.0.0.1", port, 0.5)
        opened = connectProtocol(endpoint, talker)
        *_, factory, _, _ = self.reactor.tcpClients[-1]
        outer = factory.buildProtocol(None)
        outer.makeConnection(StringTransport())
        assert opened.called
        return talker, outer

    @property
    def gauges(self):
        return {labels: value for _, labels, value in self.traffic.get_samples()}


@pytest.fixture
def site():
    return Site()


@pytest.mark.parametrize(
    ("port", "purpose"),
    [(200, "statements"), (201, "copies"), (202, "rights"), (400, "databases")],
)
def test_bytes_to_and_from_another_zone_are_counted_by_purpose(site, port, purpose):
    talker, outer = site.open(port)
    talker.transport.write(b"12345")
    talker.transport.writeSequence([b"1", b"2"])
    outer.dataReceived(b"123")
    assert outer.transport.value() == b"1234512" and talker.received == b"123"
    assert site.gauges == {
        f'purpose="{purpose}",direction="sent"': 7,
        f'purpose="{purpose}",direction="received"': 3,
    }


@pytest.mark.parametrize("port", [100, 101, 102, 300, 999])
def test_connections_within_the_zone_are_left_as_they_are(site, port):
    talker, outer = site.open(port)
    talker.transport.write(b"12345")
    outer.dataReceived(b"123")
    assert talker.received == b"123" and site.gauges == {}


def test_the_counts_of_connections_add_up_and_outlast_them(site):
    for _ in range(2):
        talker, outer = site.open(200)
        talker.transport.write(b"12345")
        outer.connectionLost("gone")
        assert talker.lost == "gone"
    assert site.gauges['purpose="statements",direction="sent"'] == 10


def test_a_connection_that_is_counted_can_be_ended_at_once(site):
    talker, outer = site.open(200)
    talker.transport.abortConnection()
    assert outer.transport.disconnected or outer.transport.disconnecting
