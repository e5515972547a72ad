"""Loopback TCP proxies between the nodes and their targets, for fault injection.

A link can be delayed, cut in one or both directions, reset, or have its open
connections silenced while new ones work.
"""

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol, connectionDone

from beryltrack.settings.messages import Endpoint

TO_TARGET, TO_NODE = "to target", "to node"


class _LinkEnd(Protocol):
    """One end of a connection that passes through a link."""

    def __init__(self, link: "Link", direction: str):
        self.link = link
        self.direction = direction
        self.peer: _LinkEnd | None = None
        self.held: list[bytes] = []
        self.is_silent = False

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm, so that small messages are sent at once."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward bytes, or hold them while the direction is cut."""
        if self.is_silent:
            return
        if self.direction in self.link.cut_directions:
            self.held.append(data)
        elif self.link.delay:
            self.link.reactor.callLater(self.link.delay, self.forward, data)
        else:
            self.forward(data)

    def forward(self, data: bytes) -> None:
        """Write bytes to the other end, or hold them until it is connected."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.write(data)
        elif self.peer is None:
            self.held.append(data)

    def flush(self) -> None:
        """Forward the held bytes."""
        held, self.held = self.held, []
        for data in held:
            self.forward(data)

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: N802
        """Close the other end, unless the connection is silenced or the link cut."""
        self.link.sides.discard(self)
        if self.peer is not None and self.peer.transport is not None:
            if not (self.is_silent or self.link.cut_directions):
                self.peer.transport.loseConnection()


class Link(Factory):
    """Accepts the connections of one node to one target and forwards them.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens the connections.
    target : Endpoint
        Address of the target.
    """

    noisy = False

    def __init__(self, reactor, target: Endpoint):
        self.reactor = reactor
        self.target = target
        self.delay = 0.0
        self.cut_directions: frozenset[str] = frozenset()
        self.sides: set[_LinkEnd] = set()

    def buildProtocol(self, addr) -> _LinkEnd:  # noqa: N802
        """Accept a connection and open the one to the target."""
        near, far = _LinkEnd(self, TO_TARGET), _LinkEnd(self, TO_NODE)
        self.sides |= {near, far}
        opening = TCP4ClientEndpoint(self.reactor, self.target.host, self.target.port)

        def join(_: object) -> None:
            near.peer, far.peer = far, near
            if not self.cut_directions:
                near.flush()

        def give_up(failure) -> None:
            if near.transport is not None:
                near.transport.abortConnection()

        connectProtocol(opening, far).addCallbacks(join, give_up)
        return near

    def carries(self, port: int) -> bool:
        """Return whether the link has a connection to its target from a local port."""
        far = (side.transport for side in self.sides if side.direction == TO_NODE)
        return any(each is not None and each.getHost().port == port for each in far)

    def cut(self, *directions: str) -> None:
        """Hold all bytes in these directions."""
        self.cut_directions = frozenset(directions)

    def heal(self) -> None:
        """Forward the held bytes and all later ones, without a delay."""
        self.cut_directions, self.delay = frozenset(), 0.0
        for side in tuple(self.sides):
            side.flush()

    def reset(self) -> None:
        """Break all open connections."""
        for side in tuple(self.sides):
            if side.transport is not None:
                side.transport.abortConnection()

    def silence(self) -> None:
        """Drop all further bytes of the open connections; new ones work."""
        for side in self.sides:
            side.is_silent = True
