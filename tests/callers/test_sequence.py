"""Connections that run one message after the other, driven without sockets."""

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


class Letters(SequentialCaller):
    """Each byte is a message; small letters run, others are answered at once."""

    def __init__(self, factory):
        super().__init__(factory)
        self.taken = []

    def split_messages(self, data):
        if b"!" in data:
            raise MalformedMessage("no letter")
        return [bytes((each,)) for each in data]

    def handle_message(self, message):
        self.taken.append(message)
        if message.isupper():
            return None
        self.run = Deferred()
        return self.run


def open_caller():
    clock, forgotten = Clock(), []
    handler = SimpleNamespace(drop_session=forgotten.append)
    factory = SequentialFactory(clock, handler, LIMITS)
    factory.protocol = Letters
    caller = factory.buildProtocol(None)
    caller.makeConnection(StringTransport())
    return clock, factory, caller, forgotten


def test_messages_run_in_order_one_at_a_time():
    _, _, caller, _ = open_caller()
    caller.dataReceived(b"Aab")
    assert caller.taken == [b"A", b"a"]
    caller.run.callback(None)
    assert caller.taken == [b"A", b"a", b"b"]


def test_a_caller_that_sends_too_much_ahead_or_nonsense_is_cut_off():
    for data in (b"abcdefg", b"!"):
        _, _, caller, _ = open_caller()
        caller.dataReceived(data)
        assert caller.transport.disconnected


def test_a_transaction_that_rests_too_long_is_cut_off():
    clock, _, caller, _ = open_caller()
    caller.dataReceived(b"a")
    caller.status = TransactionStatus.IN_TRANSACTION
    caller.run.callback(None)
    clock.advance(1.9)
    assert not caller.transport.disconnected
    clock.advance(0.2)
    assert caller.transport.disconnected


def test_a_caller_that_leaves_ends_after_what_runs():
    _, factory, caller, _ = open_caller()
    caller.dataReceived(b"a")
    left = []
    factory.leave().addCallback(left.append)
    assert not caller.transport.disconnecting
    caller.run.callback(None)
    assert caller.transport.disconnecting
    caller.connectionLost()
    assert left == [None]


def test_what_a_gone_caller_leaves_is_forgotten_after_its_run():
    _, _, caller, forgotten = open_caller()
    caller.dataReceived(b"ab")
    caller.connectionLost()
    assert forgotten == []
    caller.run.callback(None)
    assert forgotten == [caller] and caller.taken == [b"a"]


def test_a_defect_of_a_run_ends_the_connection():
    _, _, caller, _ = open_caller()
    caller.dataReceived(b"a")
    caller.run.errback(RuntimeError("defect"))
    assert caller.transport.disconnected


def test_at_the_end_a_transaction_is_ended_between_two_statements():
    _, factory, caller, _ = open_caller()
    caller.status = TransactionStatus.IN_TRANSACTION
    factory.leave()
    assert not caller.transport.disconnecting
    factory.finish()
    assert caller.transport.disconnecting


def test_at_the_end_a_statement_that_runs_is_answered_first():
    _, factory, caller, _ = open_caller()
    caller.status = TransactionStatus.IN_TRANSACTION
    caller.dataReceived(b"a")
    factory.finish()
    assert not caller.transport.disconnecting
    caller.run.callback(None)
    assert caller.transport.disconnecting
