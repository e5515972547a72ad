"""Callers' connections in the line protocol: sessions, transactions, invalid input."""

from types import SimpleNamespace

import pytest
from returns.result import Success
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from beryltrack.errors import (
    make_not_run_error,
    make_outcome_unknown_error,
    make_rolled_back_error,
)
from beryltrack.load.messages import DEFAULT_DEMAND
from beryltrack.platform.caller import LineCallerFactory
from beryltrack.platform.protocol import LineProtocol, format_setups
from beryltrack.platform.statements import parse_query
from beryltrack.requests.protocol import RequestPolicy
from beryltrack.settings.messages import GroupSettings, RouteSettings
from beryltrack.wire.messages import TransactionStatus
from beryltrack.wire.sockets import SocketLimits

IDLE = TransactionStatus.IDLE
ROUTES = {
    "own": RouteSettings("own", "main", "any", 2.5, True, 0.8, 0.25, 2),
    "fresh": RouteSettings("fresh", "main", "primary", 0.0, False, 0.8, 0.15, 1),
}
GROUP = GroupSettings("main", "", (), "", "", 0.0, 0.5)
LIMITS = SimpleNamespace(
    stall_timeout=5.0,
    max_pending=4,
    get_idle_timeout=lambda: 3.0,
    sockets=SocketLimits(),
)


class Transport(StringTransport):
    """A transport that accepts the socket options of a real one."""

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass


class Handler:
    """Plans each statement, answers local ones and records the plans of the others."""

    def __init__(self):
        self.protocol = LineProtocol(ROUTES.get, lambda route: RequestPolicy())
        self.plans = []
        self.dropped = []

    def check_session(self, caller):
        return self.protocol.check_session(caller)

    def handle(self, unit, caller):
        planned = self.protocol.plan(unit, caller, GROUP, ())
        if not isinstance(planned, Success):
            caller.send_error(planned.failure())
            caller.send_ready(caller.status)
        elif not self.protocol.answer_locally(planned.unwrap(), caller):
            done = Deferred()
            self.plans.append((planned.unwrap(), done))
            return done
        done = Deferred()
        done.callback(None)
        return done

    def drop_session(self, caller):
        self.dropped.append(caller)


class Session:
    """One caller's connection, driven without sockets."""

    def __init__(self, database="own"):
        self.clock, self.handler = Clock(), Handler()
        factory = LineCallerFactory(self.clock, self.handler, LIMITS)
        self.caller = factory.buildProtocol(None)
        self.transport = Transport()
        self.caller.makeConnection(self.transport)
        self.send(f"START {database} u1")

    def send(self, *messages):
        self.caller.dataReceived(b"".join(f"{each}\r\n".encode() for each in messages))

    def take(self):
        sent = self.transport.value()
        self.transport.clear()
        return sent

    def finish(self, status=IDLE):
        """Answer the running statement."""
        _, done = self.handler.plans[-1]
        self.caller.send_ready(status)
        done.callback(None)


@pytest.fixture
def session():
    made = Session()
    assert made.take() == b"READY I -\r\n"
    return made


def test_an_unknown_database_is_refused():
    session = Session("nothing")
    assert session.take().startswith(b"ERROR NODATABASE ")
    assert session.transport.disconnecting


def test_a_leaving_instance_refuses_new_callers_as_not_run():
    session = Session()
    factory = session.caller._factory
    factory.leave()
    factory.finish()
    late, transport = factory.buildProtocol(None), Transport()
    late.makeConnection(transport)
    late.dataReceived(b"START own u1\r\n")
    assert transport.value().startswith(b"ERROR BUSY the instance leaves")
    assert transport.disconnecting


def test_session_statements_are_answered_without_a_database(session):
    session.send("QUERY 1 SET a b", "QUERY 2 PREPARE s WRITE q", "QUERY 3 ROLLBACK")
    assert session.take() == b"COMPLETE -\r\nREADY I -\r\n" * 3
    assert session.handler.plans == []


def test_one_statement_runs_at_a_time(session):
    session.send("QUERY 1 READ a", "QUERY 2 READ b")
    assert len(session.handler.plans) == 1
    session.finish()
    assert len(session.handler.plans) == 2


def test_an_execute_has_the_kind_of_its_prepared_statement(session):
    session.send("QUERY 1 PREPARE s WRITE q", "QUERY 2 EXECUTE s a x")
    plan, _ = session.handler.plans[0]
    assert not plan.is_read


def test_an_unknown_prepared_statement_is_refused(session):
    session.send("QUERY 1 EXECUTE s a")
    assert session.take().startswith(b"ERROR UNPREPARED ")


def test_a_failed_transaction_accepts_only_its_end(session):
    session.send("QUERY 1 BEGIN")
    session.finish(TransactionStatus.ERROR_TRANSACTION)
    session.take()
    session.send("QUERY 2 READ a")
    assert session.take().startswith(b"ERROR MALFORMED ")
    session.send("QUERY 3 ROLLBACK")
    assert len(session.handler.plans) == 2


@pytest.mark.parametrize(
    ("text", "is_answered"), [("ROLLBACK", True), ("COMMIT", False)]
)
def test_only_a_lost_rollback_is_answered_without_its_database(
    session, text, is_answered
):
    """Guards against a commit that succeeds without the answer of a database."""
    session.send("QUERY 1 BEGIN")
    session.finish(TransactionStatus.ERROR_TRANSACTION)
    session.send(f"QUERY 2 {text}")
    session.take()
    protocol, (plan, _) = session.handler.protocol, session.handler.plans[-1]
    assert protocol.answer_rolled_back(plan, session.caller) is is_answered
    assert (session.take() == b"COMPLETE -\r\nREADY I -\r\n") is is_answered


def test_a_change_of_a_route_applies_from_the_next_transaction_on(session, monkeypatch):
    session.send("QUERY 1 BEGIN")
    session.finish(TransactionStatus.IN_TRANSACTION)
    monkeypatch.setitem(ROUTES, "own", ROUTES["fresh"])
    session.send("QUERY 2 READ a")
    session.finish(IDLE)
    session.send("QUERY 3 READ a")
    reads = [plan.options.reads for plan, _ in session.handler.plans]
    assert reads == ["any", "any", "primary"]


def test_only_sessions_that_may_read_from_replicas_are_tracked(session):
    session.send("QUERY 1 READ a")
    assert session.caller.session.is_tracked
    fresh = Session("fresh")
    fresh.send("QUERY 1 READ a")
    assert not fresh.caller.session.is_tracked


@pytest.mark.parametrize(
    ("error", "code"),
    [
        (make_not_run_error("no"), b"BUSY"),
        (make_rolled_back_error("no"), b"ABORTED"),
        (make_outcome_unknown_error("no"), b"INDOUBT"),
    ],
)
def test_an_error_code_promises_no_more_than_the_error(session, error, code):
    session.caller.send_error(error)
    assert session.take().startswith(b"ERROR " + code + b" ")


def test_an_endless_line_ends_the_connection(session):
    session.caller.dataReceived(b"x" * (1 << 21))
    assert session.transport.disconnected


def test_too_many_waiting_statements_end_the_connection(session):
    session.send(*(f"QUERY {number} READ a" for number in range(9)))
    assert session.transport.disconnected


def test_an_unknown_keyword_ends_the_connection(session):
    session.send("HELLO")
    assert session.transport.disconnected


def test_an_idle_transaction_is_ended(session):
    session.send("QUERY 1 BEGIN")
    session.finish(TransactionStatus.IN_TRANSACTION)
    session.clock.advance(2.9)
    assert not session.transport.disconnected
    session.clock.advance(0.2)
    assert session.transport.disconnected


def test_a_caller_that_does_not_read_is_disconnected(session):
    session.caller.pauseProducing()
    session.send("QUERY 1 READ a")
    assert session.handler.plans == []
    session.clock.advance(5.1)
    assert session.transport.disconnected


def test_a_caller_that_disconnects_is_dropped_once(session):
    session.send("QUERY 1 BEGIN")
    session.caller.connectionLost()
    assert session.handler.dropped == []
    session.handler.plans[0][1].callback(None)
    assert session.handler.dropped == [session.caller]


def test_leaving_waits_for_the_end_of_a_transaction(session):
    session.send("QUERY 1 BEGIN")
    session.finish(TransactionStatus.IN_TRANSACTION)
    session.caller.leave()
    assert not session.transport.disconnecting
    session.send("QUERY 2 COMMIT")
    session.finish()
    assert session.transport.disconnecting


def make_setups(connection, session, query):
    statement = parse_query(query)
    plan = session.handler.protocol.plan(statement, session.caller, GROUP, ()).unwrap()
    return format_setups(connection, session.caller.retained_state, plan.shape)


def test_a_connection_gets_the_session_state(session):
    connection = SimpleNamespace(
        values={}, prepared={}, statement_numbers=iter(range(1, 9)), via="", account=""
    )
    session.send("QUERY 1 SET a b", "QUERY 2 PREPARE s READ q")
    setups = make_setups(connection, session, b"QUERY 3 EXECUTE s x")
    assert setups == [b"QUERY - SET a b\r\n", b"QUERY - PREPARE p1 READ q\r\n"]
    assert make_setups(connection, session, b"QUERY 4 EXECUTE s x") == []
    other = Session()
    assert make_setups(connection, other, b"QUERY 5 READ x") == [b"QUERY - RESET\r\n"]
    assert connection.values == {} and connection.prepared == {}


class Target:
    """Records the time limits of its runs in seconds."""

    values: dict = {}
    prepared: dict = {}
    account, account_message, is_counted = "", b"", False
    demand, incarnation = DEFAULT_DEMAND, 0

    def __init__(self, via=""):
        self.limits, self.via = [], via

    def run(self, wire, sink, setups, limit):
        self.limits.append(limit)
        done = Deferred()
        done.callback(None)
        return done


def run_on(target, session, query):
    protocol = session.handler.protocol
    plan = protocol.plan(parse_query(query), session.caller, GROUP, ()).unwrap()
    Deferred.fromCoroutine(protocol.run(target, plan, None, session.caller))


def test_only_a_read_outside_a_transaction_has_the_short_timeout(session):
    policy = RequestPolicy(0.8, 0.4, run_timeout=0.8, read_timeout=0.3)
    session.handler.protocol = LineProtocol(ROUTES.get, lambda route: policy)
    target = Target()
    run_on(target, session, b"QUERY 1 READ a")
    run_on(target, session, b"QUERY 2 WRITE a b")
    session.caller.status = TransactionStatus.IN_TRANSACTION
    run_on(target, session, b"QUERY 3 READ a")
    assert target.limits == [0.3, 0.8, 0.8]


def test_a_read_through_an_owner_has_the_full_timeout(session):
    policy = RequestPolicy(0.8, 0.4, run_timeout=0.8, read_timeout=0.3)
    session.handler.protocol = LineProtocol(ROUTES.get, lambda route: policy)
    target = Target("owner")
    run_on(target, session, b"QUERY 1 READ a")
    assert target.limits == [0.8]
