"""One link to a peer: WebSocket frames over TCP, handshake, bounded queues.

The sans-I/O layer of `websockets` does the framing, Twisted carries the bytes.
A link delivers decoded messages of a proved peer to its owner. A message that
cannot be decoded is counted and reported, and the link goes on; frames that
are too large or break the protocol close this one link.
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
# The library logs each connection; what matters is logged here.
websocket_log = log.getChild("websocket")
websocket_log.setLevel(logging.WARNING)

PATH = "/peers"
HANDSHAKE_TIMEOUT = 5.0
CLOSE_TIMEOUT = 1.0
MAX_HANDSHAKE_FRAME_BYTES = 1024
MAX_FRAME_BYTES = MAX_ITEM_BYTES + 64 * 1024
MAX_QUEUED_BYTES = 8 * 1024 * 1024
NORMAL_CLOSE_CODE = 1000
POLICY_CLOSE_CODE = 1008


class LinkHandler(Interface):
    """Who a link reports to."""

    def handle_link_opened(self, link: "PeerLink") -> None:
        """Take a link whose peer is proved."""

    def handle_message(self, link: "PeerLink", message: Message) -> None:
        """Take a message of an accepted link."""

    def handle_link_writable(self, link: "PeerLink") -> None:
        """Take that a link whose queue was full takes messages again."""

    def handle_link_closed(self, link: "PeerLink", orderly: bool) -> None:
        """Take that a link, accepted or not, has closed."""


@implementer(IPushProducer)
class PeerLink(Protocol):
    """A link to one peer, opened by either side.

    Parameters
    ----------
    owner : LinkOwner
        Who to report to.
    clock : IReactorTime
        For the timeout of the handshake.
    websocket : ClientProtocol or ServerProtocol
        The sans-I/O layer, fresh.
    handshake : OpeningHandshake or AnsweringHandshake
        The own side's handshake, fresh.
    counters : LinkCounters
        Where traffic is counted.
    """

    def __init__(self, owner: LinkHandler, clock, websocket, handshake, counters):
        self.peer: PeerIdentity | None = None
        self.is_blocked = False
        self._owner = owner
        self._clock = clock
        self._websocket = websocket
        self._handshake = handshake
        self._counters: LinkCounters = counters
        self._timeout = None
        self._queued_bytes = 0
        self._orderly = False

    @property
    def opened_here(self) -> bool:
        """True if this side opened the link."""
        return isinstance(self._handshake, OpeningHandshake)

    def connectionMade(self) -> None:
        """Begin the handshake."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._timeout = self._clock.callLater(
            HANDSHAKE_TIMEOUT, self._refuse, "the handshake took too long"
        )
        if self.opened_here:
            self._websocket.send_request(self._websocket.connect())
            self._flush_output()

    def dataReceived(self, data: bytes) -> None:
        """Take bytes from the peer."""
        self._counters.bytes_received += len(data)
        try:
            self._websocket.receive_data(data)
        except EOFError:  # The layer has ended; what still arrives is of no use.
            return
        for event in self._websocket.events_received():
            self._handle_event(event)
        self._flush_output()
        if self._has_ended():
            self._disconnect()

    def connectionLost(self, reason) -> None:
        """Report the end of the link."""
        self._stop_timeout()
        self._owner.handle_link_closed(self, self._orderly)

    def send(self, message: Message) -> None:
        """Send a message; closes the link if far too much is queued.

        Parameters
        ----------
        message : Message
            Any message. The owner keeps back what can wait while `is_blocked`.
        """
        if self._websocket.state is not State.OPEN:
            return
        self._counters.messages_sent += 1
        self._websocket.send_binary(encode_message(message))
        self._flush_output()
        if self.is_blocked and self._queued_bytes > MAX_QUEUED_BYTES:
            log.warning(
                "peers: queue to %s is full, link closed", self._describe_peer()
            )
            self.transport.abortConnection()

    def close(self, code: int = NORMAL_CLOSE_CODE, reason: str = "") -> None:
        """Close the link so that the peer does not take it for a failure."""
        if self._orderly:
            return
        self._orderly = True
        self._stop_timeout()
        if self._websocket.state is not State.OPEN:
            self._disconnect()
            return
        # What the peer has sent meanwhile is read until it answers: a socket
        # closed with bytes unread resets the connection, and the peer would
        # take that for a failure.
        self._websocket.send_close(code, reason)
        self._flush_output()
        wait = CLOSE_TIMEOUT if self.peer is not None else 0.0
        self._timeout = self._clock.callLater(wait, self._disconnect)

    def abort(self) -> None:
        """Close the link at once, as one that is broken."""
        self.transport.abortConnection()

    def pauseProducing(self) -> None:
        """Note that the peer takes less than was sent."""
        self.is_blocked = True

    def resumeProducing(self) -> None:
        """Note that the queue is empty again."""
        self.is_blocked = False
        self._queued_bytes = 0
        if self.peer is not None and not self._orderly:
            self._owner.handle_link_writable(self)

    def stopProducing(self) -> None:
        """Note that the connection is gone; `connectionLost` reports it."""

    def _handle_event(self, event: Request | Response | Frame) -> None:
        """Act on one event of the sans-I/O layer."""
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
        """Answer the request that upgrades the connection."""
        response = self._websocket.accept(request)
        self._websocket.send_response(response)
        if response.status_code != 101:
            self._flush_output()
            self._disconnect()

    def _start_handshake(self) -> None:
        """Send the first messages, once the connection is upgraded."""
        if self._websocket.handshake_exc is not None:
            self._refuse("the peer did not upgrade the connection")
            return
        for message in self._handshake.start():
            self.send(message)

    def _handle_frame(self, data: bytes) -> None:
        """Decode a message and hand it on."""
        if self._orderly:
            return
        self._counters.messages_received += 1
        message, findings = decode_message(data, self._describe_peer())
        for finding in findings:
            log.warning("peers: message refused: %s", format_finding(finding))
        if message is None:
            self._counters.malformed += 1
            if self.peer is None:
                self._refuse("the handshake is malformed")
        elif self.peer is None:
            self._continue_handshake(message)
        else:
            self._owner.handle_message(self, message)

    def _continue_handshake(self, message: Message) -> None:
        """Feed the handshake; report the link when the peer is proved."""
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
            self._stop_timeout()
            self.peer = step.peer
            self._owner.handle_link_opened(self)

    def _refuse(self, error: str) -> None:
        """Close the link for a fault of the peer."""
        address = self.transport.getPeer()
        log.warning(
            "peers: link to %s refused: %s", self._describe_peer(address), error
        )
        self.close(POLICY_CLOSE_CODE, error)

    def _has_ended(self) -> bool:
        """Return whether the peer closed the link, or broke the protocol."""
        websocket = self._websocket
        return websocket.close_rcvd is not None or websocket.parser_exc is not None

    def _flush_output(self) -> None:
        """Write what the sans-I/O layer has ready."""
        for data in self._websocket.data_to_send():
            if data:
                self._counters.bytes_sent += len(data)
                self._queued_bytes += len(data)
                self.transport.write(data)
            else:
                self._disconnect()

    def _disconnect(self) -> None:
        """Close the connection once what is queued has been written."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def _stop_timeout(self) -> None:
        """Stop waiting for the handshake."""
        if self._timeout is not None and self._timeout.active():
            self._timeout.cancel()

    def _describe_peer(self, address: object = "") -> str:
        """Return the peer's name, or what is known in place of it."""
        return self.peer.name if self.peer else str(address) or "a new peer"


def make_opened_link(
    owner: LinkHandler, clock, handshake: OpeningHandshake, counters: LinkCounters
) -> PeerLink:
    """Return the protocol of a connection that this side opens."""
    # The name in the address is of no use: proofs tell who is who.
    uri = parse_uri(f"ws://peer{PATH}")
    websocket = ClientProtocol(
        uri, max_size=MAX_HANDSHAKE_FRAME_BYTES, logger=websocket_log
    )
    return PeerLink(owner, clock, websocket, handshake, counters)


def make_answered_link(
    owner: LinkHandler, clock, handshake: AnsweringHandshake, counters: LinkCounters
) -> PeerLink:
    """Return the protocol of a connection that a peer opened."""
    websocket = ServerProtocol(max_size=MAX_HANDSHAKE_FRAME_BYTES, logger=websocket_log)
    return PeerLink(owner, clock, websocket, handshake, counters)
