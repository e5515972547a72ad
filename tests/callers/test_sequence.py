"""Connections that run their messages one after the other, without sockets."""

from types import SimpleNamespace

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from beryltrack.callers.sequence import (
    MalformedMessage,
    SequentialCaller,
    SequentialFactory,
)
from beryltrack.wire.messages import TransactionStatus
from beryltrack.wire.sockets import SocketLimits

LIMITS = SimpleNamespace(
    stall_timeout=5.0,
    max_pending=3,
    get_idle_timeout=lambda: 2.0,
    sockets=SocketLimits(),
)


class LetterCaller(SequentialCaller):
    """Takes each byte as a message; only lower-case letters are answered later."""

    def __init__(self, factory):
        super().__init__(factory)
        self.handled = []

    def split_messages(self, data):
        if b"!" in data:
            raise MalformedMessage("no letter")
        return [bytes((each,)) for each in data]

    def handle_message(self, message):
        self.handled.append(message)
        if message.isupper():
            return None
        self.run = Deferred()
        return self.run


def open_caller():
    clock, dropped = Clock(), []
    handler = SimpleNamespace(drop_session=dropped.append)
    factory = SequentialFactory(clock, handler, LIMITS)
    factory.protocol = LetterCaller
    caller = factory.buildProtocol(None)
    caller.makeConnection(StringTransport())
    return clock, factory, caller, dropped


def test_messages_run_in_order_one_at_a_time():
    _, _, caller, _ = open_caller()
    caller.dataReceived(b"Aab")
    assert caller.handled == [b"A", b"a"]
    caller.run.callback(None)
    assert caller.handled == [b"A", b"a", b"b"]


def test_too_many_pending_messages_or_malformed_input_abort_the_connection():
    for data in (b"abcdefg", b"!"):
        _, _, caller, _ = open_caller()
        caller.dataReceived(data)
        assert caller.transport.disconnected


def test_a_transaction_idle_too_long_is_aborted():
    clock, _, caller, _ = open_caller()
    caller.dataReceived(b"a")
    caller.status = TransactionStatus.IN_TRANSACTION
    caller.run.callback(None)
    clock.advance(1.9)
    assert not caller.transport.disconnected
    clock.advance(0.2)
    assert caller.transport.disconnected


def test_leaving_closes_after_the_running_message():
    _, factory, caller, _ = open_caller()
    caller.dataReceived(b"a")
    left = []
    factory.leave().addCallback(left.append)
    assert not caller.transport.disconnecting
    caller.run.callback(None)
    assert caller.transport.disconnecting
    caller.connectionLost()
    assert left == [None]


def test_the_session_of_a_closed_connection_is_dropped_after_its_message():
    _, _, caller, dropped = open_caller()
    caller.dataReceived(b"ab")
    caller.connectionLost()
    assert dropped == []
    caller.run.callback(None)
    assert dropped == [caller] and caller.handled == [b"a"]


def test_an_internal_error_aborts_the_connection():
    _, _, caller, _ = open_caller()
    caller.dataReceived(b"a")
    caller.run.errback(RuntimeError("defect"))
    assert caller.transport.disconnected


def test_after_finish_a_transaction_gets_an_answer_to_its_next_statement():
    """Guards against a close that leaves the outcome of a commit unknown."""
    _, factory, caller, _ = open_caller()
    caller.status = TransactionStatus.IN_TRANSACTION
    factory.leave()
    factory.finish()
    assert not caller.transport.disconnecting
    caller.dataReceived(b"a")
    assert caller.handled == [b"a"]
    caller.status = TransactionStatus.IDLE
    caller.run.callback(None)
    assert caller.transport.disconnecting


def test_a_leaving_connection_closes_once_its_last_answer_is_sent():
    """Guards against a connection that is neither read nor closed in a shutdown."""
    _, factory, caller, _ = open_caller()
    caller.pauseProducing()
    factory.leave()
    assert caller.transport.producer is None and caller.transport.disconnecting


def test_finish_waits_for_the_running_and_the_buffered_statements():
    """Guards against buffered statements that are dropped without an answer."""
    _, factory, caller, _ = open_caller()
    caller.dataReceived(b"abC")
    factory.finish()
    for handled in (b"a", b"b"):
        assert caller.handled[-1] == handled and not caller.transport.disconnecting
        caller.run.callback(None)
    assert caller.handled == [b"a", b"b", b"C"] and caller.transport.disconnecting
