"""Links of one proxy: listening, connecting, and one link per peer and purpose."""

import ipaddress
import logging
from typing import Protocol as Interface

from twisted.internet.defer import Deferred, gatherResults, maybeDeferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.protocol import Factory

from beryltrack.peers.counters import LinkCounters
from beryltrack.peers.handshake import AnsweringHandshake, OpeningHandshake
from beryltrack.peers.link import PeerLink, make_answered_link, make_opened_link
from beryltrack.peers.messages import Member, Message
from beryltrack.settings.messages import InstanceSettings

log = logging.getLogger(__name__)

CONNECT_TIMEOUT = 3.0
"""Seconds within which a TCP connection has to open."""

STOP_TIMEOUT = 2.0
"""Seconds after a stop at which the remaining connections are aborted."""

MAX_UNAUTHENTICATED_LINKS = 64
"""Connections of unauthenticated peers above which new ones are refused."""


class LinkTableHandler(Interface):
    """Receives the events of a table's links."""

    def handle_link_opened(self, link: PeerLink) -> None:
        """Handle an authenticated link, the only one to its peer and purpose."""

    def handle_message(self, link: PeerLink, message: Message) -> None:
        """Handle a message of an open link."""

    def handle_link_writable(self, link: PeerLink) -> None:
        """Handle that a blocked link can be written to again."""

    def handle_link_closed(self, link: PeerLink, orderly: bool) -> None:
        """Handle that an open link has closed."""

    def handle_connect_failure(self, peer: str, purpose: str) -> None:
        """Handle that a link could not be opened."""


def is_preferred(new: PeerLink, old: PeerLink, own_name: str) -> bool:
    """Return whether a new link replaces an old one to the same peer.

    Both sides decide the same: the link of a restarted peer wins; of two links
    opened by the same side the later one wins, as that side knows the earlier to
    be broken; of two links opened by both sides at once, the one opened by the
    side with the lower name wins.

    Parameters
    ----------
    new, old : PeerLink
        Links to the same peer for the same purpose.
    own_name : str
        Name of this proxy.
    """
    if new.peer.incarnation != old.peer.incarnation:
        return new.peer.incarnation > old.peer.incarnation
    if new.opened_here == old.opened_here:
        return True
    return new.opened_here == (own_name < new.peer.name)


class _LinkFactory(Factory):
    """Creates the protocols of incoming connections."""

    def __init__(self, table: "LinkTable"):
        self._table = table

    def buildProtocol(self, addr):
        """Return a link, or None to refuse the connection."""
        return self._table.make_incoming()


class LinkTable:
    """The links of one proxy, at most one for each peer and purpose.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Provides sockets and timers.
    handler : LinkTableHandler
        Receives the events of the links.
    counters : LinkCounters
        Where traffic is counted.
    own : Member
        This proxy.
    settings : InstanceSettings
        The address to listen on, and the fleet's key.
    """

    def __init__(
        self,
        reactor,
        handler: LinkTableHandler,
        counters: LinkCounters,
        own: Member,
        settings: InstanceSettings,
    ):
        self._reactor = reactor
        self._handler = handler
        self._counters = counters
        self._own = own
        self._settings = settings
        self._port = None
        self._links: dict[tuple[str, str], PeerLink] = {}
        # All connected protocols, with the name and purpose of the peer for which
        # each was opened; empty texts for incoming connections.
        self._connections: dict[PeerLink, tuple[str, str]] = {}
        self._stopped: Deferred | None = None

    def listen(self) -> int:
        """Listen for connections of peers and return the port."""
        endpoint = self._settings.peer_listen
        self._port = self._reactor.listenTCP(
            endpoint.port, _LinkFactory(self), interface=endpoint.host
        )
        return self._port.getHost().port

    def get(self, peer: str, purpose: str) -> PeerLink | None:
        """Return the link to a peer, or None."""
        return self._links.get((purpose, peer))

    def get_blocked(self, purpose: str) -> frozenset[str]:
        """Return the peers whose links of a purpose are blocked."""
        return frozenset(
            peer
            for (link_purpose, peer), link in self._links.items()
            if link_purpose == purpose and link.is_blocked
        )

    def open(self, peer: str, host: str, port: int, purpose: str) -> None:
        """Open a link; the handler receives the outcome.

        Parameters
        ----------
        peer : str
            Name of the peer; empty if it is not known.
        host : str
            IP address.
        port : int
            TCP port.
        purpose : str
            Purpose of the link: `CONTROL`, `FORWARDING` or `LOANS`.
        """
        if self._stopped is not None:
            return
        is_v6 = ipaddress.ip_address(host).version == 6
        endpoint_type = TCP6ClientEndpoint if is_v6 else TCP4ClientEndpoint
        endpoint = endpoint_type(self._reactor, host, port, timeout=CONNECT_TIMEOUT)
        handshake = OpeningHandshake(
            self._own.name, self._own.incarnation, self._settings.peer_key, purpose
        )
        link = make_opened_link(self, self._reactor, handshake, self._counters)
        connecting = endpoint.connect(Factory.forProtocol(lambda: link))
        connecting.addCallbacks(
            lambda _: self._record_connection(link, peer, purpose),
            lambda _: self._report_failure(peer, purpose),
        )

    def make_incoming(self) -> PeerLink | None:
        """Return the protocol for an incoming connection, or None to refuse it."""
        unauthenticated = sum(link.peer is None for link in self._connections)
        if unauthenticated >= MAX_UNAUTHENTICATED_LINKS or self._stopped is not None:
            log.warning(
                "peers: refused a connection: this proxy is stopping or has too many "
                "unauthenticated links (%d)",
                unauthenticated,
            )
            return None
        handshake = AnsweringHandshake(
            self._own.name, self._own.incarnation, self._settings.peer_key
        )
        link = make_answered_link(self, self._reactor, handshake, self._counters)
        self._connections[link] = ("", "")
        return link

    def close(self, peer: str, purpose: str, reason: str) -> None:
        """Close the link to a peer, if there is one, without calling the handler."""
        link = self._links.pop((purpose, peer), None)
        if link is not None:
            log.info("peers: closing the link to %s: %s", peer, reason)
            link.close(reason=reason)

    def stop(self) -> Deferred:
        """Close all links; the Deferred fires when no connection is left."""
        for link in list(self._connections):
            link.close()
        return self._wait_for_connections()

    def abort(self) -> Deferred:
        """Abort all links; the Deferred fires when no connection is left."""
        self._abort_all()
        return self._wait_for_connections()

    def _wait_for_connections(self) -> Deferred:
        """Stop listening and wait for the connections to close."""
        self._stopped = Deferred()
        listening = maybeDeferred(self._port.stopListening) if self._port else None
        self._links.clear()
        abort = self._reactor.callLater(STOP_TIMEOUT, self._abort_all)
        self._stopped.addBoth(lambda _: abort.active() and abort.cancel())
        self._check_stopped()
        return gatherResults(filter(None, (listening, self._stopped)))

    def handle_link_opened(self, link: PeerLink) -> None:
        """Use an authenticated link unless the current one is preferred."""
        expected, _ = self._connections.get(link, ("", ""))
        key = (link.peer.purpose, link.peer.name)
        old = self._links.get(key)
        if old is not None and not is_preferred(link, old, self._own.name):
            link.close(reason="there is another link")
            return
        self._links[key] = link
        if old is not None:
            old.close(reason="there is a newer link")
        if expected and expected != link.peer.name:
            self._report_failure(expected, link.peer.purpose)
        self._handler.handle_link_opened(link)

    def handle_message(self, link: PeerLink, message: Message) -> None:
        """Pass on a message of a link that is the current one to its peer."""
        if self._is_current(link):
            self._handler.handle_message(link, message)

    def handle_link_writable(self, link: PeerLink) -> None:
        """Pass on that a blocked link can be written to again."""
        if self._is_current(link):
            self._handler.handle_link_writable(link)

    def handle_link_closed(self, link: PeerLink, orderly: bool) -> None:
        """Remove a closed connection and report its link."""
        expected, purpose = self._connections.pop(link, ("", ""))
        if link.peer is None and expected:
            self._report_failure(expected, purpose)
        elif self._is_current(link):
            del self._links[(link.peer.purpose, link.peer.name)]
            self._handler.handle_link_closed(link, orderly)
        self._check_stopped()

    def _is_current(self, link: PeerLink) -> bool:
        """Return whether a link is the one in use to its peer and purpose."""
        peer = link.peer
        return peer is not None and self._links.get((peer.purpose, peer.name)) is link

    def _record_connection(self, link: PeerLink, peer: str, purpose: str) -> None:
        """Record the peer and purpose of a connection that is open now."""
        self._connections[link] = (peer, purpose)
        if self._stopped is not None:
            link.abort()

    def _report_failure(self, peer: str, purpose: str) -> None:
        """Report a link that could not be opened, unless the table is stopping."""
        if self._stopped is None:
            self._handler.handle_connect_failure(peer, purpose)

    def _abort_all(self) -> None:
        """Abort the connections that have not closed in time."""
        for link in list(self._connections):
            link.abort()

    def _check_stopped(self) -> None:
        """Fire the Deferred of a stop once no connection is left."""
        if self._stopped is not None and not self._connections:
            if not self._stopped.called:
                self._stopped.callback(None)
