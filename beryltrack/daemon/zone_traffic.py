"""Counts the bytes that pass between availability zones, by purpose.

Cloud providers bill such traffic. Each byte is counted once in a fleet, by the instance
that opened the connection, for both directions and without packet headers. Connections
within a zone are not wrapped.
"""

from collections import Counter
from collections.abc import Iterable

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

from beryltrack.metrics.prometheus import MetricSample
from beryltrack.relay.owners import Peer
from beryltrack.settings.messages import DatabaseSettings, Endpoint

SENT, RECEIVED = "sent", "received"

STATEMENTS = "statements"
"""Statements relayed through another instance, and their answers."""

DATABASES = "databases"
"""Statements and control requests sent directly to a database."""

COPIES = "copies"
"""Cached copies of the store's objects."""

QUOTA_SHARES = "rights"
"""Quota shares of accounts."""


class CountingProtocol(ProtocolWrapper):
    """Counts the bytes of one connection."""

    def write(self, data: bytes) -> None:
        """Count and send data."""
        self.factory.count(SENT, len(data))
        super().write(data)

    def writeSequence(self, data: Iterable[bytes]) -> None:  # noqa: N802
        """Count and send several pieces of data."""
        self.write(b"".join(data))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Count and deliver received data."""
        self.factory.count(RECEIVED, len(data))
        super().dataReceived(data)


class CountingFactory(WrappingFactory):
    """Wraps the protocol of a connection to count its bytes for a purpose.

    Parameters
    ----------
    factory : ClientFactory
        Makes the protocol of the connection.
    counts : Counter
        Bytes by purpose and direction.
    purpose : str
        The purpose of the connection.
    """

    noisy = False
    protocol = CountingProtocol

    def __init__(self, factory: ClientFactory, counts: Counter, purpose: str):
        super().__init__(factory)
        self._counts = counts
        self._purpose = purpose

    def count(self, direction: str, number: int) -> None:
        """Add a number of bytes."""
        self._counts[self._purpose, direction] += number

    def buildProtocol(self, addr: IAddress) -> Protocol | None:  # noqa: N802
        """Return the counted protocol, None if the factory makes none."""
        inner = self.wrappedFactory.buildProtocol(addr)
        return None if inner is None else self.protocol(self, inner)


class ZoneTraffic:
    """Opens connections like a reactor, and counts the bytes to and from other zones.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Opens the connections.
    zone : str
        Availability zone of this instance.
    """

    def __init__(self, reactor, zone: str):
        self.callLater = reactor.callLater
        self.seconds = reactor.seconds
        self._reactor = reactor
        self._zone = zone
        self._peers: dict[Endpoint, str] = {}
        self._databases: dict[Endpoint, str] = {}
        self._counts: Counter[tuple[str, str]] = Counter()

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Set the addresses of instances, to recognise those in other zones."""
        places = (
            (endpoint, purpose)
            for peer in peers
            if peer.zone != self._zone
            for endpoint, purpose in (
                (peer.relay_endpoint, STATEMENTS),
                (peer.cache_endpoint, COPIES),
                (peer.quota_endpoint, QUOTA_SHARES),
            )
        )
        self._peers = {place: purpose for place, purpose in places if place is not None}

    def set_databases(self, databases: Iterable[DatabaseSettings]) -> None:
        """Set the addresses of databases, to recognise those in other zones."""
        self._databases = {
            each.endpoint: DATABASES for each in databases if each.zone != self._zone
        }

    def connectTCP(self, host: str, port: int, factory, *args, **kwargs):  # noqa: N802
        """Open a connection, counted if it leads to another zone."""
        place = Endpoint(host, port)
        purpose = self._peers.get(place) or self._databases.get(place)
        if purpose is not None:
            factory = CountingFactory(factory, self._counts, purpose)
        return self._reactor.connectTCP(host, port, factory, *args, **kwargs)

    def get_samples(self) -> Iterable[MetricSample]:
        """Return the bytes to and from other zones, by purpose and direction."""
        for (purpose, direction), number in sorted(self._counts.items()):
            labels = f'purpose="{purpose}",direction="{direction}"'
            yield "beryltrack_zone_bytes_total", labels, number
