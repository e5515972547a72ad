"""Connections between two Twisted protocols over the fake network.

Both ends are the real protocols, so they handle late, partial or missing bytes
as in a running process. A crash of one node's process closes the connection for
the other end; a crash of a whole instance is not visible there.
"""

from collections.abc import Callable

from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, fail
from twisted.internet.error import (
    ConnectionAborted,
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.interfaces import ITCPTransport
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from beryltrack_bench.fakes.network import Network
from beryltrack_bench.fakes.nodes import Node

ADDRESS = IPv4Address("TCP", "127.0.0.1", 0)


@implementer(ITCPTransport)
class PipeTransport:
    """One end of a connection.

    Parameters
    ----------
    network : Network
        The links.
    node : Node
        The node of this end.
    protocol : Protocol
        The protocol that receives this end's bytes.
    """

    def __init__(self, network: Network, node: Node, protocol: Protocol):
        self.protocol = protocol
        self.node = node
        self.peer: PipeTransport | None = None
        self.connected = True
        self._network = network
        node.crash_listeners[self.crash] = None
        network.pipes[self] = None

    def write(self, data: bytes) -> None:
        """Send bytes to the other end."""
        if self.connected:
            self._send("data", lambda: self.peer.receive(bytes(data)))

    def writeSequence(self, parts) -> None:  # noqa: N802
        """Send several chunks as one."""
        self.write(b"".join(parts))

    def loseConnection(self) -> None:  # noqa: N802
        """Close after the written bytes are delivered."""
        self._close(ConnectionDone())

    def abortConnection(self) -> None:  # noqa: N802
        """Close at once."""
        self._close(ConnectionAborted())

    def receive(self, data: bytes) -> None:
        """Pass received bytes to the protocol."""
        if self.connected:
            self.protocol.dataReceived(data)

    def handle_loss(self, reason: Exception) -> None:
        """Report the loss of the connection to the protocol, once."""
        if self.connected:
            self.connected = False
            self._network.pipes.pop(self, None)
            self.node.crash_listeners.pop(self.crash, None)
            self.protocol.connectionLost(Failure(reason))

    def crash(self) -> None:
        """Send a reset to the other end: this process has ended."""
        self.connected = False
        self._network.pipes.pop(self, None)
        self._network.deliver(
            self.node,
            self.peer.node,
            "reset",
            lambda: self.peer.handle_loss(ConnectionLost()),
        )

    def registerProducer(self, producer, streaming) -> None:  # noqa: N802
        """Accept a producer and never pause it: the answers are short."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Remove the producer."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the pipe's buffer is unbounded."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: producing is never paused."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: producing is never paused."""

    def setTcpNoDelay(self, enabled) -> None:  # noqa: N802
        """Do nothing: there is no socket."""

    def setTcpKeepAlive(self, enabled) -> None:  # noqa: N802
        """Do nothing: there is no socket."""

    def getPeer(self) -> IPv4Address:  # noqa: N802
        """Return an address."""
        return ADDRESS

    def getHost(self) -> IPv4Address:  # noqa: N802
        """Return an address."""
        return ADDRESS

    def _close(self, reason: Exception) -> None:
        """Close this end now and the other end when the message arrives there."""
        if self.connected:
            self._send("close", lambda: self.peer.handle_loss(ConnectionDone()))
            self.node.schedule(0.0, lambda: self.handle_loss(reason), None)

    def _send(self, label: str, run: Callable[[], object]) -> None:
        """Send a message to the other end."""
        self._network.send(self.node, self.peer.node, label, run)


def connect_pipe(
    network: Network,
    source: Node,
    target: Node,
    protocol: Protocol,
    accept: Callable[[], Protocol],
) -> Deferred:
    """Connect a protocol to one that the target creates.

    Parameters
    ----------
    network : Network
        The links.
    source, target : Node
        The connecting and the accepting node.
    protocol : Protocol
        The protocol of the source.
    accept : callable
        Creates the protocol of the target when the connection arrives there.

    Returns
    -------
    Deferred of Protocol
        The source's protocol when it is connected. Fails with
        `ConnectionRefusedError` if the target's process is down; does not fire
        while the target is unreachable.
    """
    if not target.alive and not target.silent:
        return fail(ConnectionRefusedError(string=f"{target.name} is down"))

    def open_target_end() -> PipeTransport:
        end = PipeTransport(network, target, accept())
        end.peer = PipeTransport(network, source, protocol)
        end.peer.peer = end
        end.protocol.makeConnection(end)
        return end.peer

    def open_source_end(end: PipeTransport) -> Protocol:
        protocol.makeConnection(end)
        return protocol

    answer = network.call(source, target, "connect", open_target_end)
    return answer.addCallback(open_source_end)
