"""Timeouts, limits, handler failures and shutdown of a connection, without sockets."""

import pytest
from pygwire import FrontendConnection
from pygwire import messages as m
from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from beryltrack.callers.caller import STALL_TIMEOUT
from beryltrack.callers.factory import CallerFactory, CallerOptions
from beryltrack.callers.limits import (
    FLUSH_SYNC_TIMEOUT,
    INPUT_LIMIT,
    LINGER_TIMEOUT,
    STARTUP_TIMEOUT,
    TRANSACTION_IDLE_TIMEOUT,
)
from beryltrack.errors import SqlError
from beryltrack.wire.messages import TransactionStatus
from tests.callers.harness import make_settings

PEER = IPv4Address("TCP", "127.0.0.1", 1)
DEFAULTS = CallerOptions()
SELECT = m.Query("SELECT 1").to_wire()


class FakeTransport(StringTransport):
    """A transport that records a half-close."""

    half_closed = False

    def loseWriteConnection(self):
        self.half_closed = True


class ManualHandler:
    """Ends each unit on the test's call, or at once if `is_manual` is False."""

    def __init__(self):
        self.units = []
        self.dropped = []
        self.is_manual = True

    def check_session(self, caller):
        return None

    def handle(self, unit, caller):
        self.caller = caller
        self.units.append(unit)
        self.running = Deferred()
        return self.running if self.is_manual else succeed(self.respond())

    def respond(self, status=TransactionStatus.IDLE):
        self.caller.send_ready(status)

    def end(self, status=TransactionStatus.IDLE):
        self.respond(status)
        self.running.callback(None)

    def drop_session(self, caller):
        self.dropped.append(caller)


class ConnectionHarness:
    """One connection with a fake transport and a fake clock."""

    def __init__(self, options=DEFAULTS):
        self.clock = Clock()
        self.handler = ManualHandler()
        self.factory = CallerFactory(
            self.clock, self.handler, make_settings, None, options
        )
        self.connect()

    def connect(self):
        self.protocol = self.factory.buildProtocol(PEER)
        self.transport = FakeTransport(peerAddress=PEER)
        self.protocol.makeConnection(self.transport)
        self.wire = FrontendConnection(strict=False)

    def log_on(self):
        params = {"user": "app", "database": "main"}
        self.protocol.dataReceived(self.wire.send(m.StartupMessage(params)))
        assert self.read()[-1] == m.ReadyForQuery()

    def read(self):
        received = list(self.wire.receive(self.transport.value()))
        self.transport.clear()
        return received

    def get_error(self):
        return next(x.code for x in self.read() if isinstance(x, m.ErrorResponse))

    def disconnect(self):
        self.protocol.connectionLost()

    def advance(self, seconds):
        self.clock.advance(seconds)


@pytest.fixture
def harness():
    return ConnectionHarness()


def test_a_connection_that_does_not_log_on_is_closed(harness):
    harness.protocol.dataReceived(b"\x00")
    harness.advance(STARTUP_TIMEOUT)
    assert harness.get_error() == "08P01"
    assert harness.transport.half_closed
    harness.advance(LINGER_TIMEOUT)
    assert harness.transport.disconnecting
    harness.advance(STALL_TIMEOUT)
    assert harness.transport.disconnected


def test_units_run_one_at_a_time(harness):
    harness.log_on()
    harness.protocol.dataReceived(SELECT * 3)
    assert len(harness.handler.units) == 1
    harness.handler.end()
    harness.advance(0)
    assert len(harness.handler.units) == 2


def test_input_beyond_the_limit_pauses_the_connection(harness):
    harness.log_on()
    harness.protocol.dataReceived(SELECT + b"Q" + b"\x00" * INPUT_LIMIT)
    assert harness.transport.producerState == "paused"


def test_a_caller_that_does_not_read_gets_no_further_responses(harness):
    harness.log_on()
    harness.handler.is_manual = False
    harness.transport.producer.pauseProducing()
    harness.protocol.dataReceived(SELECT * 2)
    assert not harness.handler.units
    harness.transport.producer.resumeProducing()
    harness.advance(0)
    harness.advance(0)
    assert len(harness.handler.units) == 2


def test_a_caller_that_never_reads_is_disconnected(harness):
    harness.log_on()
    harness.transport.producer.pauseProducing()
    harness.advance(STALL_TIMEOUT)
    assert harness.transport.disconnected


def test_the_session_is_dropped_after_the_last_unit(harness):
    harness.log_on()
    harness.protocol.dataReceived(SELECT)
    closed = []
    harness.handler.caller.set_close_callback(lambda: closed.append(True))
    harness.disconnect()
    assert closed and not harness.handler.dropped
    harness.handler.end()
    assert harness.handler.dropped == [harness.handler.caller]
    assert harness.factory.count == 0


def test_a_failed_unit_closes_the_connection(harness):
    harness.log_on()
    harness.protocol.dataReceived(SELECT)
    harness.handler.running.errback(RuntimeError("fault"))
    assert harness.get_error() == "XX000"


def test_a_handler_that_raises_closes_the_connection(harness):
    harness.log_on()
    harness.handler.handle = None
    harness.protocol.dataReceived(SELECT)
    assert harness.get_error() == "XX000"
    harness.disconnect()
    assert harness.factory.count == 0


def test_terminate_closes_the_connection(harness):
    harness.log_on()
    harness.protocol.dataReceived(m.Terminate().to_wire())
    assert harness.transport.half_closed


def test_an_idle_transaction_is_ended(harness):
    harness.log_on()
    harness.protocol.dataReceived(SELECT)
    harness.handler.end(TransactionStatus.IN_TRANSACTION)
    harness.advance(TRANSACTION_IDLE_TIMEOUT - 1)
    harness.protocol.dataReceived(SELECT)
    harness.advance(TRANSACTION_IDLE_TIMEOUT)
    harness.handler.end(TransactionStatus.IN_TRANSACTION)
    harness.protocol.dataReceived(SELECT[:3])
    assert not any(isinstance(x, m.ErrorResponse) for x in harness.read())
    harness.advance(TRANSACTION_IDLE_TIMEOUT)
    assert harness.get_error() == "25P03"
    harness.disconnect()
    assert harness.handler.dropped


def test_an_idle_caller_without_a_transaction_may_stay(harness):
    harness.log_on()
    harness.protocol.dataReceived(SELECT)
    harness.handler.end()
    harness.advance(10 * TRANSACTION_IDLE_TIMEOUT)
    assert not harness.transport.half_closed


def test_leaving_ends_an_idle_caller_at_once(harness):
    harness.log_on()
    left = harness.factory.leave()
    assert harness.get_error() == "57P01"
    assert not left.called
    harness.disconnect()
    assert left.called


def test_leaving_waits_for_the_transaction(harness):
    harness.log_on()
    harness.protocol.dataReceived(SELECT)
    harness.factory.leave()
    harness.handler.end(TransactionStatus.IN_TRANSACTION)
    harness.advance(0)
    assert [type(x) for x in harness.read()] == [m.ReadyForQuery]
    harness.protocol.dataReceived(SELECT)
    harness.handler.end()
    harness.advance(0)
    assert harness.get_error() == "57P01"


def test_leaving_runs_buffered_units(harness):
    harness.log_on()
    harness.protocol.dataReceived(SELECT * 2)
    harness.factory.leave()
    harness.handler.end()
    harness.advance(0)
    assert len(harness.handler.units) == 2
    harness.handler.end()
    assert harness.get_error() == "57P01"


def test_logons_are_refused_while_leaving(harness):
    harness.factory.leave()
    assert harness.get_error() == "57P03"
    harness.connect()
    params = {"user": "app", "database": "main"}
    harness.protocol.dataReceived(harness.wire.send(m.StartupMessage(params)))
    assert harness.get_error() == "57P03"


def test_callers_beyond_the_limit_are_refused():
    harness = ConnectionHarness(CallerOptions(max_callers=1))
    harness.log_on()
    harness.connect()
    params = {"user": "app", "database": "main"}
    harness.protocol.dataReceived(harness.wire.send(m.StartupMessage(params)))
    assert harness.get_error() == "53300"
    assert harness.factory.buildProtocol(PEER) is None


PARSE = m.Parse("", "SELECT 1").to_wire() + m.Flush().to_wire()
BIND = m.Bind().to_wire() + m.Execute().to_wire() + m.Flush().to_wire()
SYNC = m.Sync().to_wire()


def test_a_flush_after_bind_is_refused_up_to_sync(harness):
    harness.log_on()
    harness.protocol.dataReceived(BIND)
    harness.advance(FLUSH_SYNC_TIMEOUT)
    assert harness.get_error() == "0A000"
    harness.protocol.dataReceived(PARSE + SYNC)
    assert harness.read() == [m.ReadyForQuery()]
    assert not harness.handler.units


def test_a_flush_is_ignored_if_the_batch_continues(harness):
    harness.log_on()
    harness.protocol.dataReceived(PARSE + BIND)
    harness.protocol.dataReceived(SYNC)
    harness.advance(FLUSH_SYNC_TIMEOUT)
    (unit,) = harness.handler.units
    assert len(unit.messages) == 4
    assert not unit.is_flushed


def test_a_flush_after_parse_gets_no_ready_for_query(harness):
    harness.log_on()
    harness.protocol.dataReceived(PARSE)
    harness.handler.caller.write(m.ParseComplete().to_wire())
    harness.handler.end()
    assert harness.transport.value() == m.ParseComplete().to_wire()
    harness.transport.clear()
    harness.protocol.dataReceived(SYNC)
    assert harness.read() == [m.ReadyForQuery()]


def test_after_an_error_at_a_flush_input_is_dropped_up_to_sync(harness):
    harness.log_on()
    harness.protocol.dataReceived(PARSE)
    harness.handler.caller.send_error(SqlError("42601", "wrong"))
    harness.handler.end()
    assert harness.get_error() == "42601"
    harness.protocol.dataReceived(BIND + SYNC)
    assert harness.read() == [m.ReadyForQuery()]
    assert len(harness.handler.units) == 1


def test_in_a_transaction_a_flush_may_follow_bind(harness):
    harness.log_on()
    harness.protocol.dataReceived(SELECT)
    harness.handler.end(TransactionStatus.IN_TRANSACTION)
    harness.protocol.dataReceived(BIND)
    assert len(harness.handler.units) == 2


@pytest.mark.parametrize(
    "params, code",
    [
        ({"database": "main"}, "28000"),
        ({"user": "app", "database": "other"}, "3D000"),
        ({"user": "app", "database": "main", "client_encoding": "LATIN1"}, "22023"),
        ({"user": "app", "database": "main", "replication": "true"}, "0A000"),
        ({"user": "app", "database": "main", "options": "-x"}, "08P01"),
        ({"user": "app", "database": "main", "options": "-c x"}, "08P01"),
    ],
)
def test_invalid_start_up_packets_are_refused(harness, params, code):
    harness.protocol.dataReceived(harness.wire.send(m.StartupMessage(params)))
    assert harness.get_error() == code
