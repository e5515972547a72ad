"""The minimal HTTP server and its ready page."""

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from beryltrack.daemon.plain_pages import PlainPages, make_ready_page


def ask(is_ready, path):
    pages = {b"/ready": make_ready_page(lambda: is_ready)}
    channel = PlainPages(Clock(), pages).buildProtocol(None)
    transport = StringTransport()
    channel.makeConnection(transport)
    channel.dataReceived(b"GET " + path + b" HTTP/1.1\r\nHost: x\r\n\r\n")
    head, _, body = transport.value().partition(b"\r\n\r\n")
    return int(head.split(b" ", 2)[1]), body


@pytest.mark.parametrize(
    ("is_ready", "path", "answer"),
    [
        (True, b"/ready", (200, b"ready\n")),
        (False, b"/ready", (503, b"")),
        (True, b"/other", (404, b"")),
    ],
)
def test_only_a_ready_instance_gets_callers(is_ready, path, answer):
    assert ask(is_ready, path) == answer
