"""Connections that go wrong, without sockets: time, limits and leaving."""

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
from tests.callers.glue import make_settings

PEER = IPv4Address("TCP", "127.0.0.1", 1)
DEFAULTS = CallerOptions()
SELECT = m.Query("SELECT 1").to_wire()


class FakeTransport(StringTransport):
    """A transport that notes how it was closed."""

    half_closed = False

    def loseWriteConnection(self):
        self.half_closed = True


class HeldHandler:
    """Ends units when the test says so."""

    def __init__(self):
        self.units = []
        self.forgotten = []
        self.held = True

    def check_session(self, caller):
        return None

    def handle(self, unit, caller):
        self.caller = caller
        self.units.append(unit)
        self.running = Deferred()
        return self.running if self.held else succeed(self.answer())

    def answer(self, status=TransactionStatus.IDLE):
        self.caller.send_ready(status)

    def end(self, status=TransactionStatus.IDLE):
        self.answer(status)
        self.running.callback(None)

    def drop_session(self, caller):
        self.forgotten.append(caller)


class Bench:
    """One connection over a fake transport under a fake clock."""

    def __init__(self, options=DEFAULTS):
        self.clock = Clock()
        self.handler = HeldHandler()
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

    def lose(self):
        self.protocol.connectionLost()

    def advance(self, seconds):
        self.clock.advance(seconds)


@pytest.fixture
def bench():
    return Bench()


def test_a_connection_that_does_not_log_on_is_closed(bench):
    bench.protocol.dataReceived(b"\x00")
    bench.advance(STARTUP_TIMEOUT)
    assert bench.get_error() == "08P01"
    assert bench.transport.half_closed
    bench.advance(LINGER_TIMEOUT)
    assert bench.transport.disconnecting
    bench.advance(STALL_TIMEOUT)
    assert bench.transport.disconnected


def test_units_are_given_out_one_at_a_time(bench):
    bench.log_on()
    bench.protocol.dataReceived(SELECT * 3)
    assert len(bench.handler.units) == 1
    bench.handler.end()
    bench.advance(0)
    assert len(bench.handler.units) == 2


def test_input_beyond_the_limit_pauses_the_connection(bench):
    bench.log_on()
    bench.protocol.dataReceived(SELECT + b"Q" + b"\x00" * INPUT_LIMIT)
    assert bench.transport.producerState == "paused"


def test_a_caller_that_does_not_read_gets_no_further_answers(bench):
    bench.log_on()
    bench.handler.held = False
    bench.transport.producer.pauseProducing()
    bench.protocol.dataReceived(SELECT * 2)
    assert not bench.handler.units
    bench.transport.producer.resumeProducing()
    bench.advance(0)
    bench.advance(0)
    assert len(bench.handler.units) == 2


def test_a_caller_that_never_reads_is_cut_off(bench):
    bench.log_on()
    bench.transport.producer.pauseProducing()
    bench.advance(STALL_TIMEOUT)
    assert bench.transport.disconnected


def test_the_handler_forgets_a_caller_after_its_last_unit(bench):
    bench.log_on()
    bench.protocol.dataReceived(SELECT)
    gone = []
    bench.handler.caller.set_close_callback(lambda: gone.append(True))
    bench.lose()
    assert gone and not bench.handler.forgotten
    bench.handler.end()
    assert bench.handler.forgotten == [bench.handler.caller]
    assert bench.factory.count == 0


def test_a_fault_of_the_handler_closes_the_connection(bench):
    bench.log_on()
    bench.protocol.dataReceived(SELECT)
    bench.handler.running.errback(RuntimeError("fault"))
    assert bench.get_error() == "XX000"


def test_a_handler_that_raises_closes_the_connection(bench):
    bench.log_on()
    bench.handler.handle = None
    bench.protocol.dataReceived(SELECT)
    assert bench.get_error() == "XX000"
    bench.lose()
    assert bench.factory.count == 0


def test_a_good_bye_closes_the_connection(bench):
    bench.log_on()
    bench.protocol.dataReceived(m.Terminate().to_wire())
    assert bench.transport.half_closed


def test_a_transaction_that_is_left_alone_is_ended(bench):
    bench.log_on()
    bench.protocol.dataReceived(SELECT)
    bench.handler.end(TransactionStatus.IN_TRANSACTION)
    bench.advance(TRANSACTION_IDLE_TIMEOUT - 1)
    bench.protocol.dataReceived(SELECT)
    bench.advance(TRANSACTION_IDLE_TIMEOUT)
    bench.handler.end(TransactionStatus.IN_TRANSACTION)
    bench.protocol.dataReceived(SELECT[:3])
    assert not any(isinstance(x, m.ErrorResponse) for x in bench.read())
    bench.advance(TRANSACTION_IDLE_TIMEOUT)
    assert bench.get_error() == "25P03"
    bench.lose()
    assert bench.handler.forgotten


def test_an_idle_caller_without_a_transaction_may_stay(bench):
    bench.log_on()
    bench.protocol.dataReceived(SELECT)
    bench.handler.end()
    bench.advance(10 * TRANSACTION_IDLE_TIMEOUT)
    assert not bench.transport.half_closed


def test_leaving_ends_an_idle_caller_at_once(bench):
    bench.log_on()
    left = bench.factory.leave()
    assert bench.get_error() == "57P01"
    assert not left.called
    bench.lose()
    assert left.called


def test_leaving_waits_for_the_transaction(bench):
    bench.log_on()
    bench.protocol.dataReceived(SELECT)
    bench.factory.leave()
    bench.handler.end(TransactionStatus.IN_TRANSACTION)
    bench.advance(0)
    assert [type(x) for x in bench.read()] == [m.ReadyForQuery]
    bench.protocol.dataReceived(SELECT)
    bench.handler.end()
    bench.advance(0)
    assert bench.get_error() == "57P01"


def test_leaving_runs_what_has_arrived(bench):
    bench.log_on()
    bench.protocol.dataReceived(SELECT * 2)
    bench.factory.leave()
    bench.handler.end()
    bench.advance(0)
    assert len(bench.handler.units) == 2
    bench.handler.end()
    assert bench.get_error() == "57P01"


def test_nobody_is_let_in_while_leaving(bench):
    bench.factory.leave()
    assert bench.get_error() == "57P03"
    bench.connect()
    params = {"user": "app", "database": "main"}
    bench.protocol.dataReceived(bench.wire.send(m.StartupMessage(params)))
    assert bench.get_error() == "57P03"


def test_one_caller_too_many_is_told_so():
    bench = Bench(CallerOptions(max_callers=1))
    bench.log_on()
    bench.connect()
    params = {"user": "app", "database": "main"}
    bench.protocol.dataReceived(bench.wire.send(m.StartupMessage(params)))
    assert bench.get_error() == "53300"
    assert bench.factory.buildProtocol(PEER) is None


PARSE = m.Parse("", "SELECT 1").to_wire() + m.Flush().to_wire()
BIND = m.Bind().to_wire() + m.Execute().to_wire() + m.Flush().to_wire()
SYNC = m.Sync().to_wire()


def test_a_flush_after_bind_is_refused_up_to_sync(bench):
    bench.log_on()
    bench.protocol.dataReceived(BIND)
    bench.advance(FLUSH_SYNC_TIMEOUT)
    assert bench.get_error() == "0A000"
    bench.protocol.dataReceived(PARSE + SYNC)
    assert bench.read() == [m.ReadyForQuery()]
    assert not bench.handler.units


def test_a_flush_counts_for_nothing_if_the_batch_goes_on(bench):
    bench.log_on()
    bench.protocol.dataReceived(PARSE + BIND)
    bench.protocol.dataReceived(SYNC)
    bench.advance(FLUSH_SYNC_TIMEOUT)
    (unit,) = bench.handler.units
    assert len(unit.messages) == 4
    assert not unit.is_flushed


def test_a_flush_after_parse_gets_its_answer_and_nothing_more(bench):
    bench.log_on()
    bench.protocol.dataReceived(PARSE)
    bench.handler.caller.write(m.ParseComplete().to_wire())
    bench.handler.end()
    assert bench.transport.value() == m.ParseComplete().to_wire()
    bench.transport.clear()
    bench.protocol.dataReceived(SYNC)
    assert bench.read() == [m.ReadyForQuery()]


def test_after_an_error_at_a_flush_input_is_dropped_up_to_sync(bench):
    bench.log_on()
    bench.protocol.dataReceived(PARSE)
    bench.handler.caller.send_error(SqlError("42601", "wrong"))
    bench.handler.end()
    assert bench.get_error() == "42601"
    bench.protocol.dataReceived(BIND + SYNC)
    assert bench.read() == [m.ReadyForQuery()]
    assert len(bench.handler.units) == 1


def test_in_a_transaction_a_flush_may_follow_bind(bench):
    bench.log_on()
    bench.protocol.dataReceived(SELECT)
    bench.handler.end(TransactionStatus.IN_TRANSACTION)
    bench.protocol.dataReceived(BIND)
    assert len(bench.handler.units) == 2


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
def test_start_up_packets_that_are_refused(bench, params, code):
    bench.protocol.dataReceived(bench.wire.send(m.StartupMessage(params)))
    assert bench.get_error() == code
