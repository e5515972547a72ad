"""Loopback proxies that stand between the nodes and what they talk to.

A link can be delayed, cut, cut one way, reset, or have its open connections silenced
while new ones work.
"""

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol, connectionDone

from beryltrack.settings.messages import Endpoint

TO_TARGET, TO_NODE = "to target", "to node"


class _Side(Protocol):
    """One end of a connection that passes through a link."""

    def __init__(self, link: "Link", way: str):
        self.link = link
        self.way = way
        self.peer: _Side | None = None
        self.held: list[bytes] = []
        self.is_silent = False

    def connectionMade(self) -> None:  # noqa: N802
        """Send small messages at once."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes on, or keep them while the way is cut."""
        if self.is_silent:
            return
        if self.way in self.link.cut_ways:
            self.held.append(data)
        elif self.link.delay:
            self.link.reactor.callLater(self.link.delay, self.pass_on, data)
        else:
            self.pass_on(data)

    def pass_on(self, data: bytes) -> None:
        """Give bytes to the other end."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.write(data)
        elif self.peer is None:
            self.held.append(data)

    def flush(self) -> None:
        """Pass on what was kept."""
        held, self.held = self.held, []
        for data in held:
            self.pass_on(data)

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: N802
        """Close the other end unless it must hear nothing."""
        self.link.sides.discard(self)
        if self.peer is not None and self.peer.transport is not None:
            if not (self.is_silent or self.link.cut_ways):
                self.peer.transport.loseConnection()


class Link(Factory):
    """Takes the connections of one node to one target.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens the connections.
    target : Endpoint
        Where they go.
    """

    noisy = False

    def __init__(self, reactor, target: Endpoint):
        self.reactor = reactor
        self.target = target
        self.delay = 0.0
        self.cut_ways: frozenset[str] = frozenset()
        self.sides: set[_Side] = set()

    def buildProtocol(self, addr) -> _Side:  # noqa: N802
        """Take a connection and open the other half of it."""
        near, far = _Side(self, TO_TARGET), _Side(self, TO_NODE)
        self.sides |= {near, far}
        opening = TCP4ClientEndpoint(self.reactor, self.target.host, self.target.port)

        def join(_: object) -> None:
            near.peer, far.peer = far, near
            if not self.cut_ways:
                near.flush()

        def give_up(failure) -> None:
            if near.transport is not None:
                near.transport.abortConnection()

        connectProtocol(opening, far).addCallbacks(join, give_up)
        return near

    def cut(self, *ways: str) -> None:
        """Hold all bytes that go these ways."""
        self.cut_ways = frozenset(ways)

    def heal(self) -> None:
        """Let bytes pass again, without a delay."""
        self.cut_ways, self.delay = frozenset(), 0.0
        for side in tuple(self.sides):
            side.flush()

    def reset(self) -> None:
        """Break all open connections."""
        for side in tuple(self.sides):
            if side.transport is not None:
                side.transport.abortConnection()

    def silence(self) -> None:
        """Let open connections carry nothing any more; new ones work."""
        for side in self.sides:
            side.is_silent = True
