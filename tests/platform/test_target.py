"""Connections to databases over the line protocol on real sockets."""

import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred, TimeoutError

from beryltrack.connections.messages import ConnectRefused, TargetLost
from beryltrack.errors import CANNOT_CONNECT_NOW, TOO_MANY_CONNECTIONS
from beryltrack.groups.messages import LogPosition
from beryltrack.platform.target import connect_line_target
from beryltrack.settings.messages import Endpoint
from beryltrack.wire.messages import TransactionStatus
from beryltrack.wire.sockets import SocketLimits
from tests.platform.databases import HOST, DatabaseFactory
from tests.reactor_thread import run

LIMITS = SocketLimits()


class Sink:
    """Collects the bytes that it receives."""

    def __init__(self):
        self.data = b""

    def write(self, data):
        self.data += data

    def attach(self, producer):
        pass

    def detach(self):
        pass


@pytest.fixture
def database():
    factory = DatabaseFactory()
    factory.endpoint = run(factory.listen)
    yield factory
    run(factory.stop)


def connect(endpoint, timeout=2.0):
    return run(connect_line_target, reactor, endpoint, "group", "db-1", timeout, LIMITS)


def query(database, wire, setups=0):
    sink = Sink()

    async def go():
        target = await connect_line_target(
            reactor, database.endpoint, "group", "db-1", 2.0, LIMITS
        )
        return await target.run(wire, sink, setups)

    return run(lambda: Deferred.fromCoroutine(go())), sink.data


def test_start_names_the_group_and_the_database(database):
    connect(database.endpoint)
    assert database.seen == [b"START group beryltrack db-1"]


def test_an_answer_is_passed_on(database):
    database.answers[b"QUERY 1 READ"] = (
        b"DATAROW a\r\nDATAROW b c\r\nCOMPLETE 7.1\r\nREADY T 3.8\r\n"
    )
    end, rows = query(database, b"QUERY 1 READ x\r\n")
    assert rows == b"DATAROW a\r\nDATAROW b c\r\n"
    assert end.tail == b"COMPLETE 7.1\r\n"
    assert end.status is TransactionStatus.IN_TRANSACTION
    assert end.position == LogPosition(3, 8)
    assert end.error is None


def test_a_refusal_is_decoded(database):
    database.answers[b"QUERY 1 READ"] = b"ERROR LAGGING db-1\r\nREADY I 3.8\r\n"
    end, _ = query(database, b"QUERY 1 READ x\r\n")
    assert end.error.sqlstate == CANNOT_CONNECT_NOW
    assert end.error_frame == b"ERROR LAGGING db-1\r\n"


def test_answers_to_setups_are_not_passed_on(database):
    database.answers[b"QUERY - SET"] = b"COMPLETE -\r\nREADY I 3.8\r\n"
    database.answers[b"QUERY 1 READ"] = b"COMPLETE 7.1\r\nREADY I 3.8\r\n"
    end, rows = query(database, b"QUERY - SET a b\r\nQUERY 1 READ x\r\n", 1)
    assert (end.tail, rows) == (b"COMPLETE 7.1\r\n", b"")


@pytest.mark.parametrize(
    "answer",
    [b"READY I 3.8\r\n", b"COMPLETE 1\r\nREADY X 3.8\r\n", b"NONSENSE\r\n"],
)
def test_a_malformed_answer_breaks_the_connection(database, answer):
    database.answers[b"QUERY 1 READ"] = answer
    with pytest.raises(TargetLost):
        query(database, b"QUERY 1 READ x\r\n")


def test_a_setup_that_fails_breaks_the_connection(database):
    database.answers[b"QUERY - SET"] = b"ERROR MALFORMED db-1\r\nREADY I 3.8\r\n"
    with pytest.raises(TargetLost):
        query(database, b"QUERY - SET a b\r\nQUERY 1 READ x\r\n", 1)


def test_a_full_database_refuses_the_connection(database):
    database.answers[b"START"] = b"ERROR TOOMANY db-1\r\n"
    with pytest.raises(ConnectRefused) as refused:
        connect(database.endpoint)
    assert refused.value.sqlstate == TOO_MANY_CONNECTIONS


def test_a_port_without_a_listener_is_a_connection_error(database):
    endpoint = Endpoint(HOST, database.endpoint.port)
    run(database.stop)
    with pytest.raises(ConnectionError):
        connect(endpoint)
    run(database.listen)


def test_a_silent_database_is_a_connection_error(database):
    database.answers.clear()
    with pytest.raises(ConnectionError):
        connect(database.endpoint, timeout=0.05)


def test_a_cancelled_run_closes_its_connection(database):
    closed = []

    async def go():
        target = await connect_line_target(
            reactor, database.endpoint, "group", "db-1", 2.0, LIMITS
        )
        target.closed.addCallback(closed.append)
        running = target.run(b"QUERY 1 READ x\r\n", Sink())
        try:
            await running.addTimeout(0.05, reactor)
        except TimeoutError:
            await target.closed

    run(lambda: Deferred.fromCoroutine(go()))
    assert closed == [None]


def test_a_connection_to_an_owner_that_does_not_reach_the_database_is_closed(database):
    database.answers[b"QUERY 1"] = b"ERROR UNREACHABLE no way\r\nREADY I -\r\n"
    calls = []

    async def go():
        target = await connect_line_target(
            reactor, database.endpoint, "group", "db-1", 2.0, LIMITS
        )
        target.on_target_unreachable = lambda has_left: calls.append(
            (target.broken, has_left)
        )
        end = await target.run(b"QUERY 1 READ a\r\n", Sink())
        return end.error.sqlstate, target.broken

    assert run(lambda: Deferred.fromCoroutine(go())) == (CANNOT_CONNECT_NOW, True)
    assert calls == [(False, False)]
