"""A PostgreSQL connection to a target, without sockets."""

import pytest
from pygwire import messages as m
from scramp import ScramMechanism
from twisted.internet.protocol import connectionDone
from twisted.internet.testing import MemoryReactorClock, StringTransport

from beryltrack.callers.authentication import format_secret, parse_secret
from beryltrack.connections.cancel import CANCEL_TIMEOUT
from beryltrack.connections.logon import Credentials
from beryltrack.connections.messages import TargetLost
from beryltrack.connections.target import TargetConnection
from beryltrack.errors import SqlException
from beryltrack.groups.messages import LogPosition
from beryltrack.settings.messages import Endpoint

WELCOME = [
    m.ParameterStatus("beryltrack.position", "1/2"),
    m.BackendKeyData(1, b"mock"),
    m.ReadyForQuery(),
]
QUERY = m.Query("SELECT 1").to_wire()
ANSWER = [m.DataRow([b"1"]), m.CommandComplete("SELECT 1"), m.ReadyForQuery()]


class Sink:
    """Keeps the data that is written; pauses its producer if `is_full`."""

    def __init__(self, is_full=False):
        self.data = b""
        self.is_full = is_full
        self.producer = None

    def write(self, data):
        self.data += data

    def attach(self, producer):
        self.producer = producer
        if self.is_full:
            producer.pauseProducing()

    def detach(self):
        self.producer = None


def connect(*messages, password=""):
    credentials = Credentials("main", "proxy", password)
    connection = TargetConnection(
        MemoryReactorClock(), Endpoint("127.0.0.1", 1), credentials
    )
    connection.makeConnection(StringTransport())
    send(connection, *messages)
    return connection


def log_on():
    connection = connect(m.AuthenticationOk(), *WELCOME)
    connection.transport.clear()
    return connection


def open_cancel(connection):
    """Cancel the running request; return the protocol that sends the cancel request."""
    connection.cancel()
    (attempt,) = connection._reactor.tcpClients
    protocol = attempt[2].buildProtocol(None)
    protocol.makeConnection(StringTransport())
    return protocol


def send(connection, *messages):
    connection.dataReceived(b"".join(x.to_wire() for x in messages))


def get_failure(deferred):
    failures = []
    deferred.addErrback(failures.append)
    return failures[0].value


def test_the_position_at_the_log_on_is_recorded():
    assert log_on().position == LogPosition(1, 2)


def test_a_refusal_is_an_sql_error():
    error = m.ErrorResponse({"S": "FATAL", "C": "53300", "M": "too many"})
    connection = connect(error)
    failure = get_failure(connection.ready)
    assert isinstance(failure, SqlException)
    assert failure.error.sqlstate == "53300"
    assert connection.broken


def test_scram():
    secret = parse_secret(format_secret("secret"))
    server = ScramMechanism().make_server(lambda user: secret)
    connection = connect(m.AuthenticationSASL(["SCRAM-SHA-256"]), password="secret")
    sent = connection.transport.value()
    server.set_client_first(sent[sent.index(b"n,,") :].decode())
    first = m.AuthenticationSASLContinue(server.get_server_first().encode())
    connection.transport.clear()
    send(connection, first)
    server.set_client_final(connection.transport.value()[5:].decode())
    final = m.AuthenticationSASLFinal(server.get_server_final().encode())
    send(connection, final, m.AuthenticationOk(), *WELCOME)
    assert connection.ready.called
    assert not connection.broken


@pytest.mark.parametrize(
    "message",
    [m.AuthenticationCleartextPassword(), m.AuthenticationMD5Password(b"salt")],
)
def test_no_password_is_sent_in_clear_text_or_as_an_md5_hash(message):
    connection = connect(message, password="secret")
    assert connection.broken
    assert b"secret" not in connection.transport.value()
    assert isinstance(get_failure(connection.ready), TargetLost)


def test_one_request_at_a_time():
    connection = log_on()
    first = connection.run(QUERY, Sink())
    assert not get_failure(connection.run(QUERY, Sink())).sent
    send(connection, *ANSWER)
    assert first.result.tail == ANSWER[1].to_wire()


@pytest.mark.parametrize("extra", [m.DataRow([b"2"]), m.ReadyForQuery(), ANSWER[1]])
def test_more_than_one_answer_breaks_the_connection(extra):
    connection = log_on()
    sink = Sink()
    answer = connection.run(QUERY, sink)
    send(connection, *ANSWER, extra)
    assert connection.broken
    assert get_failure(answer).sent
    assert sink.data == ANSWER[0].to_wire()


def test_cancelling_an_answer_closes_the_connection():
    connection = log_on()
    sink = Sink()
    answer = connection.run(QUERY, sink)
    answer.cancel()
    assert get_failure(answer).sent
    send(connection, *ANSWER)
    assert sink.data == b""
    assert connection.transport.disconnected


def test_a_request_on_a_closed_connection_is_not_sent():
    connection = log_on()
    connection.close()
    assert connection.closed.called
    assert not get_failure(connection.run(QUERY, Sink())).sent


def test_a_full_sink_pauses_the_target_until_the_answer_ends():
    connection = log_on()
    connection.run(QUERY, Sink(is_full=True))
    assert connection.transport.producerState == "paused"
    send(connection, *ANSWER)
    assert connection.transport.producerState == "producing"


def test_a_statement_with_an_invalid_plan_is_prepared_again():
    connection = log_on()
    connection.prepared.touch("name")
    connection.run(QUERY, Sink())
    error = m.ErrorResponse({"S": "ERROR", "C": "0A000", "M": "cached plan"})
    send(connection, error, m.ReadyForQuery())
    assert connection.prepared.is_stale("name")


def test_a_cancelled_answer_ends_after_the_cancel_request_has():
    connection = log_on()
    answer = connection.run(QUERY, Sink())
    cancelling = open_cancel(connection)
    assert cancelling.transport.value() == m.CancelRequest(1, b"mock").to_wire()
    send(connection, *ANSWER)
    assert not answer.called
    assert not get_failure(connection.run(QUERY, Sink())).sent
    cancelling.connectionLost(connectionDone)
    assert answer.result.tail == ANSWER[1].to_wire()


def test_a_cancel_request_that_times_out_closes_the_connection():
    connection = log_on()
    answer = connection.run(QUERY, Sink())
    open_cancel(connection)
    send(connection, *ANSWER)
    connection._reactor.advance(CANCEL_TIMEOUT)
    assert connection.broken
    assert answer.result.tail == ANSWER[1].to_wire()


def test_nothing_is_cancelled_on_an_idle_connection():
    connection = log_on()
    connection.cancel()
    assert not connection._reactor.tcpClients
