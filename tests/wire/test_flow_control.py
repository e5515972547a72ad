"""A connection to a database reads whenever no answer is under way."""

from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from beryltrack.platform.target import LineTarget
from beryltrack.wire.flow_control import SendBuffer
from beryltrack.wire.sockets import SocketLimits
from tests.platform.test_caller import Transport

END = b"COMPLETE 1\r\nREADY I 3.7\r\n"
SIZES = st.sampled_from([1, 70_000, 1_000_000])
STEPS = st.sampled_from(["row", "row and end", "end", "fill", "drain", "leave"])


class Caller(SendBuffer):
    """A receiver of answers that is full from a number of unread bytes on."""

    def __init__(self, clock, limit):
        super().__init__(clock, 9.0, lambda: None)
        self.limit, self.unread = limit, 0

    def write(self, data):
        self.unread += len(data)
        if self.unread > self.limit and not self.is_full:
            self.fill()


def open_target(clock):
    target = LineTarget(b"", SocketLimits(), clock.seconds)
    target.makeConnection(Transport())
    target.dataReceived(b"READY I 3.7\r\n")
    return target


def read_row(target, caller, size):
    ends = []
    target.run(b"QUERY 1 READ a\r\n", caller).addCallback(ends.append)
    target.dataReceived(b"DATAROW " + b"x" * size + b"\r\n" + END)
    return ends


def test_the_statement_after_a_large_row_is_read():
    """Guards against a connection that stays paused after the answer that filled it."""
    clock = Clock()
    target = open_target(clock)
    assert len(read_row(target, Caller(clock, 65_536), 100_000)) == 1
    assert not target.is_paused
    assert target.transport.producerState == "producing"
    assert len(read_row(target, Caller(clock, 65_536), 1)) == 1


@given(st.lists(st.tuples(STEPS, SIZES), max_size=12))
def test_no_order_of_events_leaves_an_idle_connection_paused(steps):
    """Guards against further ways to a paused connection without a receiver."""
    clock = Clock()
    target, caller = open_target(clock), Caller(clock, 65_536)
    for step, size in steps:
        if not target.busy:
            target.run(b"QUERY 1 READ a\r\n", caller).addErrback(lambda _: None)
        if step == "leave":
            target.close()
            target.connectionLost()
            assert target.broken
            return
        if step == "fill":
            caller.fill()
        elif step == "drain":
            caller.unread = 0
            caller.drain()
        elif not target.is_paused:
            row = b"DATAROW " + b"x" * size + b"\r\n" if "row" in step else b""
            target.dataReceived(row + (END if "end" in step else b""))
        state = "paused" if target.is_paused else "producing"
        assert target.transport.producerState == state
        assert target.is_paused == (target.busy and caller.is_full)
