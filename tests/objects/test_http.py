"""HTTP calls: what becomes of connections that took too long."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Protocol
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from beryltrack.objects.http import TunedEndpoint


class Transport(StringTransport):
    """A transport that takes the socket options of a real one."""

    aborted = False

    def abortConnection(self):  # noqa: N802
        self.aborted = True

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def setTcpKeepAlive(self, enabled):  # noqa: N802
        pass

    def getHandle(self):  # noqa: N802
        return self

    def setsockopt(self, *words):
        pass


class Endpoint:
    """Connects when a test says so."""

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


def test_a_connection_in_time_is_used():
    connecting, transport = connect(0.2)
    assert connecting.result.transport is transport and not transport.aborted


def test_one_that_a_pause_of_the_process_made_too_late_is_not_used():
    connecting, transport = connect(4.0)
    assert transport.aborted
    with pytest.raises(ConnectError):
        connecting.result.raiseException()
    connecting.addErrback(lambda failure: None)
