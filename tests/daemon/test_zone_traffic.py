"""Bytes between zones, by purpose."""

import pytest
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol
from twisted.internet.testing import MemoryReactorClock, StringTransport

from beryltrack.daemon.zone_traffic import ZoneTraffic
from beryltrack.relay.owners import Peer
from beryltrack.settings.messages import DatabaseSettings, Endpoint


class RecordingProtocol(Protocol):
    """Records received data."""

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
        """Open a connection; return its protocol and the outer protocol."""
        protocol = RecordingProtocol()
        endpoint = TCP4ClientEndpoint(self.traffic, "10.0.0.1", port, 0.5)
        opened = connectProtocol(endpoint, protocol)
        *_, factory, _, _ = self.reactor.tcpClients[-1]
        outer = factory.buildProtocol(None)
        outer.makeConnection(StringTransport())
        assert opened.called
        return protocol, outer

    @property
    def samples(self):
        return {labels: value for _, labels, value in self.traffic.get_samples()}


@pytest.fixture
def site():
    return Site()


@pytest.mark.parametrize(
    ("port", "purpose"),
    [(200, "statements"), (201, "copies"), (202, "rights"), (400, "databases")],
)
def test_bytes_to_and_from_another_zone_are_counted_by_purpose(site, port, purpose):
    protocol, outer = site.open(port)
    protocol.transport.write(b"12345")
    protocol.transport.writeSequence([b"1", b"2"])
    outer.dataReceived(b"123")
    assert outer.transport.value() == b"1234512" and protocol.received == b"123"
    assert site.samples == {
        f'purpose="{purpose}",direction="sent"': 7,
        f'purpose="{purpose}",direction="received"': 3,
    }


@pytest.mark.parametrize("port", [100, 101, 102, 300, 999])
def test_connections_within_the_zone_are_not_counted(site, port):
    protocol, outer = site.open(port)
    protocol.transport.write(b"12345")
    outer.dataReceived(b"123")
    assert protocol.received == b"123" and site.samples == {}


def test_counts_accumulate_and_outlast_connections(site):
    for _ in range(2):
        protocol, outer = site.open(200)
        protocol.transport.write(b"12345")
        outer.connectionLost("gone")
        assert protocol.lost == "gone"
    assert site.samples['purpose="statements",direction="sent"'] == 10


def test_a_counted_connection_can_be_aborted(site):
    protocol, outer = site.open(200)
    protocol.transport.abortConnection()
    assert outer.transport.disconnected or outer.transport.disconnecting
