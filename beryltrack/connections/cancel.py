"""Cancel requests to targets, as in the PostgreSQL protocol.

A cancel request names a connection, not a statement, and is sent over a connection of
its own. Until it has ended, the named connection must not run another request, which
the cancel request could hit instead.
"""

import logging

from pygwire.messages import BackendKeyData, CancelRequest
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import (
    TCP4ClientEndpoint,
    TCP6ClientEndpoint,
    connectProtocol,
)
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from beryltrack.settings.messages import Endpoint

log = logging.getLogger(__name__)

CANCEL_TIMEOUT = 5.0
"""Seconds within which the target must have carried out a cancel request."""


class CancelProtocol(Protocol):
    """Sends one cancel request.

    Parameters
    ----------
    wire : bytes
        The request.

    Attributes
    ----------
    done : Deferred of None
        Fires when the target closes the connection, which it does after it has
        forwarded the request.
    """

    def __init__(self, wire: bytes):
        self.done: Deferred[None] = Deferred(lambda _: self._abort())
        self._wire = wire

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request."""
        self.transport.write(self._wire)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Fire `done`: the target has handled the request."""
        if not self.done.called:
            self.done.callback(None)

    def _abort(self) -> None:
        """Stop waiting for the target."""
        self.transport.abortConnection()


def make_endpoint(reactor, endpoint: Endpoint, timeout: float):
    """Return Twisted's endpoint for a numeric IP address."""
    kind = TCP6ClientEndpoint if ":" in endpoint.host else TCP4ClientEndpoint
    return kind(reactor, endpoint.host, endpoint.port, timeout)


def send_cancel(reactor, endpoint: Endpoint, key: BackendKeyData) -> "Deferred[bool]":
    """Ask a target to cancel the request that one of its connections runs.

    Parameters
    ----------
    reactor : IReactorTCP, IReactorTime
        Opens the connection and measures the timeout.
    endpoint : Endpoint
        Address of the target.
    key : BackendKeyData
        Process ID and secret key that the target gave the connection.

    Returns
    -------
    Deferred of bool
        False if the request may still be carried out later. It never fails.
    """
    wire = CancelRequest(key.process_id, key.secret_key).to_wire()
    protocol = CancelProtocol(wire)
    target = make_endpoint(reactor, endpoint, CANCEL_TIMEOUT)
    sending = connectProtocol(target, protocol)
    sending.addCallback(lambda _: protocol.done)
    sending.addTimeout(CANCEL_TIMEOUT, reactor)

    def fail(failure: Failure) -> bool:
        log.info("target: a cancel request failed: %s", failure.getErrorMessage())
        return protocol.transport is None

    return sending.addCallbacks(lambda _: True, fail)
