"""Connections of the HTTP client that open after their timeout."""

import pytest
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Protocol
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.web._newclient import TransportProxyProducer

from beryltrack.objects.http import BodyCollector, TunedEndpoint


class Transport(StringTransport):
    """A transport that accepts the socket options of a real one."""

    aborted = False

    def abortConnection(self):  # noqa: N802
        self.aborted = True

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def setTcpKeepAlive(self, enabled):  # noqa: N802
        pass

    def getHandle(self):  # noqa: N802
        return self

    def setsockopt(self, *arguments):
        pass


class Endpoint:
    """Connects when the test fires `connected`."""

    def __init__(self):
        self.connected = Deferred()

    def connect(self, factory):
        return self.connected


def connect(seconds):
    clock, endpoint = Clock(), Endpoint()
    connecting = TunedEndpoint(endpoint, clock.seconds, 0.3).connect(None)
    clock.advance(seconds)
    protocol = Protocol()
    protocol.transport = Transport()
    endpoint.connected.callback(protocol)
    return connecting, protocol.transport


def test_a_connection_within_the_timeout_is_used():
    connecting, transport = connect(0.2)
    assert connecting.result.transport is transport and not transport.aborted


def test_a_connection_that_opens_late_after_a_pause_is_aborted():
    connecting, transport = connect(4.0)
    assert transport.aborted
    with pytest.raises(ConnectError):
        connecting.result.raiseException()
    connecting.addErrback(lambda failure: None)


def test_a_call_that_ends_inside_its_body_closes_the_connection():
    """Guards against a connection and a coroutine that a call leaves behind."""
    transport, failures = StringTransport(), []
    collector = BodyCollector()
    collector.makeConnection(TransportProxyProducer(transport))
    collector.done.addErrback(failures.append)
    collector.dataReceived(b"{")
    collector.done.cancel()
    assert transport.disconnecting and failures[0].check(CancelledError)
