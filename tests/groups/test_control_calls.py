"""Control requests over idle connections of a pool, or over dedicated ones."""

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from beryltrack.groups.adapter import ControlLimits
from beryltrack.groups.control_calls import ControlCalls, RequestExpired
from beryltrack.pause_aware_clock import get_pause_aware_clock
from beryltrack.settings.messages import DatabaseSettings, Endpoint
from beryltrack.wire.messages import ResponseEnd, TransactionStatus

DATABASE = DatabaseSettings("db-1", Endpoint("10.0.0.1", 1), "z", 9, 3, False)
END = ResponseEnd(TransactionStatus.IDLE, b"", None, b"", None, 0, 0)
IDLE_TIME = 1.0


class Connection:
    """Answers at once unless it is silent."""

    via = ""

    def __init__(self, clock, is_silent=False):
        self.clock, self.is_silent = clock, is_silent
        self.broken = self.busy = self.has_ended = False
        self.requests = 0
        self.run_since = None

    def run(self, wire, sink):
        self.requests += 1
        self.run_since = self.clock.seconds()
        self.busy = True
        self.running = answer = Deferred(lambda _: self.close())
        if not self.is_silent:
            self.busy = False
            answer.callback(END)
        return answer

    def close(self):
        self.broken, self.busy = True, False

    def end_session(self):
        self.has_ended = self.broken = True

    def answer(self):
        self.busy = False
        self.running.callback(END)


class Pool:
    """A pool of at most one connection."""

    def __init__(self, connection):
        self.free = connection
        self.returned = []

    def acquire_briefly(self, wait_limit, open_limit):
        self.wait_limit = wait_limit
        taken, self.free = self.free, None
        return succeed(taken)

    def release(self, connection, reusable):
        self.returned.append(reusable and not connection.broken)
        self.free = connection


class Site:
    """Control calls to one database."""

    def __init__(self, has_pooled=None, is_silent=False):
        self.clock = Clock()
        self.opened = []
        self.pool = Pool(Connection(self.clock, is_silent) if has_pooled else None)
        self.calls = ControlCalls(
            self.clock,
            self.open,
            ControlLimits(0.4, 0.2),
            lambda connection: None,
            lambda database: self.pool,
            IDLE_TIME,
        )
        self.calls.set_databases((DATABASE,))

    def open(self, item):
        done = Deferred()
        self.opened.append(Connection(self.clock))
        done.callback(self.opened[-1])
        return done

    def call(self):
        return Deferred.fromCoroutine(self.calls.call("db-1", b"STATUS"))


def test_an_idle_pooled_connection_is_used_and_released():
    site = Site(has_pooled=True)
    assert site.call().result.end is END
    assert site.opened == [] and site.pool.returned == [True]


def test_a_dedicated_connection_is_opened_while_the_pool_has_none_idle():
    site = Site()
    assert site.call().result.end is END
    assert site.call().result.end is END
    assert len(site.opened) == 1 and site.opened[0].requests == 2
    # With a dedicated connection it does not wait for the pool.
    assert site.pool.wait_limit == 0.0


def test_an_unused_dedicated_connection_is_closed():
    site = Site()
    site.call()
    site.clock.advance(IDLE_TIME / 2)
    site.call()
    site.clock.advance(IDLE_TIME / 2)
    assert not site.opened[0].has_ended
    site.clock.advance(IDLE_TIME / 2)
    assert site.opened[0].has_ended


def test_a_silent_pooled_connection_is_not_reusable():
    site = Site(has_pooled=True, is_silent=True)
    calling = site.call()
    site.clock.advance(0.2)
    # The connection breaks, which fails the call.
    site.clock.advance(0.2)
    calling.addErrback(lambda failure: None)
    assert site.pool.returned == [False]


def test_a_request_that_waited_too_long_is_not_sent():
    """Guards against a late RESUME that ends the hold of a later election."""
    site = Site(has_pooled=True, is_silent=True)
    first, wire = site.call(), b"RESUME"
    late = Deferred.fromCoroutine(site.calls.call("db-1", wire, send_before=0.3))
    first.addErrback(lambda failure: None)
    site.clock.pump([0.1] * 5)
    assert late.result.check(RequestExpired)
    late.addErrback(lambda failure: None)
    assert all(connection.requests <= 1 for connection in site.opened)


def test_an_answer_during_a_pause_of_the_process_counts():
    """Guards against closing healthy connections after a pause of the process."""
    site = Site(has_pooled=True, is_silent=True)
    clock = get_pause_aware_clock(site.clock)
    clock.start_detection()
    connection = site.pool.free
    calling = site.call()
    site.clock.advance(3.0)
    # The answer is read after the timers of the first turn after the pause.
    connection.answer()
    assert calling.result.end is END
    assert site.pool.returned == [True] and site.opened == []


def test_a_connection_that_is_silent_after_a_pause_is_replaced():
    """Guards against a pause that hides a silent connection."""
    site = Site(has_pooled=True, is_silent=True)
    clock = get_pause_aware_clock(site.clock)
    clock.start_detection()
    calling = site.call()
    site.clock.advance(3.0)
    for _ in range(4):
        site.clock.advance(0.1)
        clock.record_tick()
    # A new connection has answered in place of the silent one.
    assert calling.result.end is END
    assert site.pool.returned == [False] and len(site.opened) == 1
