"""Back-pressure of a stand-in database on a client that does not read."""

from pygwire import BackendConnection, ConnectionPhase, messages
from twisted.internet.defer import Deferred
from twisted.internet.testing import StringTransport

from beryltrack_standins.database.requests import RequestHandler
from beryltrack_standins.database.writer import MessageWriter
from tests.standins.clock import ClockGroup


def test_rows_wait_for_a_client_that_does_not_read():
    group = ClockGroup()
    transport = StringTransport()
    wire = BackendConnection(initial_phase=ConnectionPhase.SIMPLE_QUERY)
    writer = MessageWriter(transport, wire, lambda: False)
    requests = RequestHandler(group.make_session(), group.databases[0], writer)
    transport.producer.pauseProducing()
    query = messages.Query("SELECT * FROM generate_series(1, 1000)")
    answered = Deferred.fromCoroutine(requests.handlers[messages.Query](query))
    sent = transport.value().count(messages.DataRow.identifier + b"\0\0\0")
    assert 0 < sent < 100 and not answered.called
    transport.producer.resumeProducing()
    writer.flush()
    assert answered.called and b"SELECT 1000" in transport.value()
