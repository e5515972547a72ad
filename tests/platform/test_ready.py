"""The page by which the platform asks whether an instance takes callers."""

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from beryltrack.platform.ready import ReadyFactory


def ask(is_ready, path):
    factory = ReadyFactory(lambda: is_ready, Clock())
    channel = factory.buildProtocol(None)
    transport = StringTransport()
    channel.makeConnection(transport)
    channel.dataReceived(b"GET " + path + b" HTTP/1.1\r\nHost: x\r\n\r\n")
    return int(transport.value().split(b" ", 2)[1])


@pytest.mark.parametrize(
    ("is_ready", "path", "code"),
    [
        (True, b"/api/readiness", 200),
        (False, b"/api/readiness", 503),
        (True, b"/other", 404),
    ],
)
def test_only_a_ready_instance_gets_callers(is_ready, path, code):
    assert ask(is_ready, path) == code
