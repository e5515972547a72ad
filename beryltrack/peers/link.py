"""Link to one peer: WebSocket frames over TCP, handshake and a bounded queue.

The sans-I/O layer of `websockets` does the framing, Twisted carries the bytes.
A link delivers the decoded messages of an authenticated peer to its handler. A
message that cannot be decoded is counted and logged, and the link stays open; a
frame that is too large or violates the protocol closes only this link.
"""

import logging
from typing import Protocol as Interface

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol
from websockets.client import ClientProtocol
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri
from zope.interface import implementer

from beryltrack.findings import format_finding
from beryltrack.peers.batches import MAX_ITEM_BYTES
from beryltrack.peers.codec import decode_message, encode_message
from beryltrack.peers.counters import LinkCounters
from beryltrack.peers.handshake import (
    AnsweringHandshake,
    OpeningHandshake,
    PeerIdentity,
)
from beryltrack.peers.messages import Message

log = logging.getLogger(__name__)
# The library logs each connection; this module logs what matters.
websocket_log = log.getChild("websocket")
websocket_log.setLevel(logging.WARNING)

PATH = "/peers"

HANDSHAKE_TIMEOUT = 5.0
"""Seconds from the TCP connection until the peer has to be authenticated."""

CLOSE_TIMEOUT = 1.0
"""Seconds that a link waits for the peer's close frame."""

MAX_HANDSHAKE_FRAME_BYTES = 1024
"""Maximum frame size before the peer is authenticated."""

MAX_FRAME_BYTES = MAX_ITEM_BYTES + 64 * 1024
"""Maximum frame size after the peer is authenticated."""

MAX_QUEUED_BYTES = 8 * 1024 * 1024
"""Bytes sent to a blocked link above which it aborts."""

NORMAL_CLOSE_CODE = 1000
"""WebSocket status of an orderly close (RFC 6455)."""

POLICY_CLOSE_CODE = 1008
"""WebSocket status of a policy violation (RFC 6455)."""


class LinkHandler(Interface):
    """Receives the events of a link."""

    def handle_link_opened(self, link: "PeerLink") -> None:
        """Handle a link whose peer is authenticated."""

    def handle_message(self, link: "PeerLink", message: Message) -> None:
        """Handle a message of an authenticated peer."""

    def handle_link_writable(self, link: "PeerLink") -> None:
        """Handle that a blocked link can be written to again."""

    def handle_link_closed(self, link: "PeerLink", orderly: bool) -> None:
        """Handle that a link has closed, authenticated or not."""


@implementer(IPushProducer)
class PeerLink(Protocol):
    """A link to one peer, opened by either side.

    Parameters
    ----------
    handler : LinkHandler
        Receives the link's events.
    clock : IReactorTime
        Clock of the timeouts.
    websocket : ClientProtocol or ServerProtocol
        The sans-I/O layer, not yet used.
    handshake : OpeningHandshake or AnsweringHandshake
        This side's handshake, not yet used.
    counters : LinkCounters
        Where traffic is counted.
    """

    def __init__(self, handler: LinkHandler, clock, websocket, handshake, counters):
        self.peer: PeerIdentity | None = None
        self.is_blocked = False
        self._handler = handler
        self._clock = clock
        self._websocket = websocket
        self._handshake = handshake
        self._counters: LinkCounters = counters
        self._timer = None
        # Bytes sent since the link was blocked.
        self._queued_bytes = 0
        self._orderly = False

    @property
    def opened_here(self) -> bool:
        """True if this side opened the link."""
        return isinstance(self._handshake, OpeningHandshake)

    def connectionMade(self) -> None:
        """Start the handshake."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._timer = self._clock.callLater(
            HANDSHAKE_TIMEOUT, self._refuse, "the handshake took too long"
        )
        if self.opened_here:
            self._websocket.send_request(self._websocket.connect())
            self._flush_output()

    def dataReceived(self, data: bytes) -> None:
        """Process bytes from the peer."""
        self._counters.bytes_received += len(data)
        try:
            self._websocket.receive_data(data)
        except EOFError:  # The layer has closed; later bytes are ignored.
            return
        for event in self._websocket.events_received():
            self._handle_event(event)
        self._flush_output()
        if self._has_ended():
            self._disconnect()

    def connectionLost(self, reason) -> None:
        """Report the end of the link."""
        self._stop_timer()
        self._handler.handle_link_closed(self, self._orderly)

    def send(self, message: Message) -> None:
        """Send a message; abort a blocked link above `MAX_QUEUED_BYTES`.

        Parameters
        ----------
        message : Message
            Any message. While `is_blocked`, the sender delays what can wait.
        """
        if self._websocket.state is not State.OPEN:
            return
        self._counters.messages_sent += 1
        self._websocket.send_binary(encode_message(message))
        self._flush_output()
        if self._queued_bytes > MAX_QUEUED_BYTES:
            log.warning(
                "peers: the send queue to %s is full; aborting the link",
                self._describe_peer(),
            )
            self.transport.abortConnection()

    def close(self, code: int = NORMAL_CLOSE_CODE, reason: str = "") -> None:
        """Close the link in an orderly way, so that the peer sees no failure."""
        if self._orderly:
            return
        self._orderly = True
        self._stop_timer()
        if self._websocket.state is not State.OPEN:
            self._disconnect()
            return
        # Keep reading until the peer answers: closing a socket with unread bytes
        # resets the connection, which the peer would treat as a failure.
        self._websocket.send_close(code, reason)
        self._flush_output()
        wait = CLOSE_TIMEOUT if self.peer is not None else 0.0
        self._timer = self._clock.callLater(wait, self._disconnect)

    def abort(self) -> None:
        """Reset the connection; the peer sees a failure."""
        self.transport.abortConnection()

    def pauseProducing(self) -> None:
        """Mark the link as blocked: its send buffer is full."""
        self.is_blocked = True

    def resumeProducing(self) -> None:
        """Mark the link as writable: its send buffer has drained."""
        self.is_blocked = False
        self._queued_bytes = 0
        if self.peer is not None and not self._orderly:
            self._handler.handle_link_writable(self)

    def stopProducing(self) -> None:
        """Do nothing: `connectionLost` reports the end of the connection."""

    def _handle_event(self, event: Request | Response | Frame) -> None:
        """Handle one event of the sans-I/O layer."""
        match event:
            case Request():
                self._answer_request(event)
            case Response():
                self._start_handshake()
            case Frame(opcode=Opcode.BINARY, fin=True):
                self._handle_frame(event.data)
            case Frame(opcode=Opcode.CLOSE):
                self._orderly |= self._websocket.close_rcvd.code == NORMAL_CLOSE_CODE
            case Frame(opcode=Opcode.PING | Opcode.PONG):
                pass
            case _:
                self._refuse("a frame is not a whole binary message")

    def _answer_request(self, request: Request) -> None:
        """Answer the HTTP request that upgrades the connection."""
        response = self._websocket.accept(request)
        self._websocket.send_response(response)
        if response.status_code != 101:
            self._flush_output()
            self._disconnect()

    def _start_handshake(self) -> None:
        """Send the first handshake messages, once the connection is upgraded."""
        if self._websocket.handshake_exc is not None:
            self._refuse("the peer did not upgrade the connection")
            return
        for message in self._handshake.start():
            self.send(message)

    def _handle_frame(self, data: bytes) -> None:
        """Decode a message and dispatch it."""
        if self._orderly:
            return
        self._counters.messages_received += 1
        message, findings = decode_message(data, self._describe_peer())
        for finding in findings:
            log.warning(
                "peers: dropped a malformed message: %s", format_finding(finding)
            )
        if message is None:
            self._counters.malformed += 1
            if self.peer is None:
                self._refuse("the handshake is malformed")
        elif self.peer is None:
            self._continue_handshake(message)
        else:
            self._handler.handle_message(self, message)

    def _continue_handshake(self, message: Message) -> None:
        """Advance the handshake; report the link once the peer is authenticated."""
        step = self._handshake.receive(message)
        if step.error:
            self._counters.refused += 1
            self._refuse(step.error)
            return
        for reply in step.replies:
            self.send(reply)
        if step.is_authenticated:
            self._websocket.max_message_size = MAX_FRAME_BYTES
        if step.peer is not None:
            self._stop_timer()
            self.peer = step.peer
            self._handler.handle_link_opened(self)

    def _refuse(self, error: str) -> None:
        """Log an error of the peer and close the link."""
        address = self.transport.getPeer()
        log.warning(
            "peers: closing the link to %s: %s", self._describe_peer(address), error
        )
        self.close(POLICY_CLOSE_CODE, error)

    def _has_ended(self) -> bool:
        """Return whether the peer closed the link or violated the protocol."""
        websocket = self._websocket
        return websocket.close_rcvd is not None or websocket.parser_exc is not None

    def _flush_output(self) -> None:
        """Write the output of the sans-I/O layer to the connection."""
        for data in self._websocket.data_to_send():
            if data:
                self._counters.bytes_sent += len(data)
                if self.is_blocked:
                    self._queued_bytes += len(data)
                self.transport.write(data)
            else:
                self._disconnect()

    def _disconnect(self) -> None:
        """Close the connection once the queued bytes are written."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def _stop_timer(self) -> None:
        """Cancel the running timeout."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _describe_peer(self, address: object = "") -> str:
        """Return the peer's name, or its address if it is not authenticated."""
        return self.peer.name if self.peer else str(address) or "a new peer"


def make_opened_link(
    handler: LinkHandler, clock, handshake: OpeningHandshake, counters: LinkCounters
) -> PeerLink:
    """Return the protocol of a connection that this side opens."""
    # The host name is a placeholder: the handshake authenticates the peer.
    uri = parse_uri(f"ws://peer{PATH}")
    websocket = ClientProtocol(
        uri, max_size=MAX_HANDSHAKE_FRAME_BYTES, logger=websocket_log
    )
    return PeerLink(handler, clock, websocket, handshake, counters)


def make_answered_link(
    handler: LinkHandler, clock, handshake: AnsweringHandshake, counters: LinkCounters
) -> PeerLink:
    """Return the protocol of a connection that a peer opened."""
    websocket = ServerProtocol(max_size=MAX_HANDSHAKE_FRAME_BYTES, logger=websocket_log)
    return PeerLink(handler, clock, websocket, handshake, counters)
