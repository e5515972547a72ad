"""Counts the bytes that pass between availability zones, by what they are for.

Such bytes are paid for. Each is counted once in a fleet, by the instance that opened
the connection: what it sends there and what it receives, without the headers of
packets. Connections within a zone are left as they are.
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
"""Statements that run through another instance, and their answers."""

DATABASES = "databases"
"""Statements and control requests straight to a database."""

COPIES = "copies"
"""Copies of the store's objects."""

RIGHTS = "rights"
"""Rights to run accounts' operations."""


class CountingProtocol(ProtocolWrapper):
    """Counts what passes over one connection."""

    def write(self, data: bytes) -> None:
        """Send something."""
        self.factory.count(SENT, len(data))
        super().write(data)

    def writeSequence(self, data: Iterable[bytes]) -> None:  # noqa: N802
        """Send several pieces."""
        self.write(b"".join(data))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take in something."""
        self.factory.count(RECEIVED, len(data))
        super().dataReceived(data)


class CountingFactory(WrappingFactory):
    """Has the bytes of a connection counted for a purpose.

    Parameters
    ----------
    factory : ClientFactory
        Makes the protocol of the connection.
    counts : Counter
        Bytes by purpose and direction.
    purpose : str
        What the connection is for.
    """

    noisy = False
    protocol = CountingProtocol

    def __init__(self, factory: ClientFactory, counts: Counter, purpose: str):
        super().__init__(factory)
        self._counts = counts
        self._purpose = purpose

    def count(self, direction: str, number: int) -> None:
        """Add bytes."""
        self._counts[self._purpose, direction] += number

    def buildProtocol(self, addr: IAddress) -> Protocol | None:  # noqa: N802
        """Return the counted protocol, None if the factory makes none."""
        inner = self.wrappedFactory.buildProtocol(addr)
        return None if inner is None else self.protocol(self, inner)


class ZoneTraffic:
    """Opens connections as a reactor does, and counts those to other zones.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Opens them.
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
        """Take in where the instances of other zones take connections."""
        places = (
            (endpoint, purpose)
            for peer in peers
            if peer.zone != self._zone
            for endpoint, purpose in (
                (peer.relay_endpoint, STATEMENTS),
                (peer.cache_endpoint, COPIES),
                (peer.quota_endpoint, RIGHTS),
            )
        )
        self._peers = {place: purpose for place, purpose in places if place is not None}

    def set_databases(self, databases: Iterable[DatabaseSettings]) -> None:
        """Take in where the databases of other zones are."""
        self._databases = {
            each.endpoint: DATABASES for each in databases if each.zone != self._zone
        }

    def connectTCP(self, host: str, port: int, factory, *words, **options):  # noqa: N802
        """Open a connection."""
        place = Endpoint(host, port)
        purpose = self._peers.get(place) or self._databases.get(place)
        if purpose is not None:
            factory = CountingFactory(factory, self._counts, purpose)
        return self._reactor.connectTCP(host, port, factory, *words, **options)

    def get_samples(self) -> Iterable[MetricSample]:
        """Return the bytes to and from other zones, by purpose and direction."""
        for (purpose, direction), number in sorted(self._counts.items()):
            labels = f'purpose="{purpose}",direction="{direction}"'
            yield "beryltrack_zone_bytes_total", labels, number
