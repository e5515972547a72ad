"""The bounded send queue of a link, on a transport without a socket."""

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from websockets.protocol import State

from beryltrack.peers.counters import LinkCounters
from beryltrack.peers.link import MAX_QUEUED_BYTES, make_answered_link
from beryltrack.peers.messages import GossipItem, Items

LARGE = Items((GossipItem("kind", "key", (1,), "x" * 100_000),))
COUNT = MAX_QUEUED_BYTES // 100_000 + 2


class Transport(StringTransport):
    """A transport that accepts TCP_NODELAY."""

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass


@pytest.fixture
def link():
    made = make_answered_link(None, Clock(), None, LinkCounters())
    made.makeConnection(Transport())
    made._websocket.state = State.OPEN
    return made


def test_a_link_that_was_never_blocked_survives_its_first_blocked_message(link):
    """Guards against the loss of all forwarded requests of a healthy link."""
    for _ in range(COUNT):
        link.send(LARGE)
    link.pauseProducing()
    link.send(LARGE)
    assert not link.transport.disconnecting


def test_a_blocked_link_with_a_full_queue_is_aborted(link):
    link.pauseProducing()
    for _ in range(COUNT):
        link.send(LARGE)
    assert link.transport.disconnecting
