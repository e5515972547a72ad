"""Statements that reach a database through an owner of its group, on real sockets."""

import random
from types import SimpleNamespace

import pytest
from returns.result import Success
from twisted.internet import reactor
from twisted.internet.defer import Deferred, TimeoutError, fail
from twisted.internet.task import deferLater

from beryltrack.clock import get_monotonic_clock
from beryltrack.connections.messages import (
    ConnectRefused,
    PoolRefusal,
    PoolRefused,
    RefusalReason,
    TargetLost,
)
from beryltrack.connections.task import PoolTask
from beryltrack.errors import (
    CANNOT_CONNECT_NOW,
    CONFIGURATION_LIMIT_EXCEEDED,
    PROTOCOL_VIOLATION,
    TOO_MANY_CONNECTIONS,
)
from beryltrack.groups.adapter import ControlLimits
from beryltrack.groups.control_calls import ControlCalls
from beryltrack.groups.messages import (
    PRIMARY,
    REPLICA,
    DatabaseStatus,
    LogPosition,
)
from beryltrack.groups.samples import Sample
from beryltrack.load.gate import GateDecider
from beryltrack.load.gate_task import GateTask
from beryltrack.load.limit import SharedCapacity
from beryltrack.load.messages import DEFAULT_DEMAND, DatabaseReport, Demand
from beryltrack.load.policy import LoadPolicy
from beryltrack.platform.codes import encode_error
from beryltrack.platform.group import LineDatabaseGroup
from beryltrack.platform.protocol import run_statement
from beryltrack.platform.relay import LineRelayFactory
from beryltrack.platform.statements import parse_query
from beryltrack.platform.target import connect_line_target
from beryltrack.relay.access import DatabaseAccess
from beryltrack.relay.handler import Lender, RelayHandler
from beryltrack.relay.load_reporter import LoadReporter
from beryltrack.sessions.retained_state import RetainedState
from beryltrack.settings.messages import Endpoint, GroupSettings
from beryltrack.wire.messages import TransactionStatus
from beryltrack.wire.sinks import CollectingSink
from beryltrack.wire.sockets import SocketLimits
from tests.platform.databases import HOST, DatabaseFactory
from tests.reactor_thread import run
from tests.relay.test_handler import Task

BOUNDS = SimpleNamespace(
    stall_timeout=5.0,
    max_pending=8,
    get_idle_timeout=lambda: 0.0,
    sockets=SocketLimits(),
)


class Statuses(Task):
    """Returns the statuses that a test has set."""

    async def ask_status(self, database):
        return Success(self.statuses.pop(0))


def make_status(role, term, received, applied, is_held):
    return DatabaseStatus(
        "db-1", role, term, received, applied, (), None, False, is_held, True
    )


class Site:
    """A database and an instance that lends connections to it."""

    def __init__(self):
        self.database = DatabaseFactory()
        self.quota = SimpleNamespace(spend=lambda account: 0.0)
        settings = self.settings = self.database.make_settings()
        self.pool = DatabaseAccess(
            PoolTask(
                reactor,
                settings,
                lambda account: self.connect(settings.endpoint, account=account),
                limit=1,
            ),
            None,
            lambda account: "",
            self.quota.spend,
            make_gate=self.make_gate,
        )
        self.task = Statuses()
        handler = RelayHandler(
            reactor.seconds,
            self.get_lender,
            0.3,
            LoadReporter(get_monotonic_clock(reactor)),
            7,
        )
        self.factory = LineRelayFactory(reactor, handler, BOUNDS)
        self.sessions, build = [], self.factory.buildProtocol
        self.factory.buildProtocol = lambda addr: self.record_session(build(addr))
        self.port = reactor.listenTCP(0, self.factory, interface=HOST)
        self.endpoint = Endpoint(HOST, self.port.getHost().port)

    def make_gate(self):
        return GateTask(reactor, GateDecider(LoadPolicy(), random.Random(1), 1))

    def connect(self, endpoint, database="db-1", account=""):
        return connect_line_target(
            reactor, endpoint, "group", database, 0.5, SocketLimits(), account
        )

    def record_session(self, session):
        self.sessions.append(session)
        return session

    def get_lender(self, group, database):
        is_known = (group, database) == ("group", "db-1")
        return Lender(self.pool, self.task) if is_known else None

    def run_with_demand(self, endpoint, demand, text=b"READ x"):
        """Run a statement with a demand; return the load reports and the end."""
        statement = parse_query(b"QUERY q1 " + text)
        unit = SimpleNamespace(statement=statement, shape=None)

        async def go():
            session = await self.connect(endpoint)
            reports = []
            session.via, session.demand = "owner", demand
            session.on_report = lambda report, since: reports.append(report)
            running = run_statement(
                session, RetainedState(), unit, None, "", CollectingSink()
            )
            end = await running.addTimeout(1.0, reactor)
            session.close()
            return reports, end

        return run(lambda: Deferred.fromCoroutine(go()))

    def run_statements(self, *texts):
        """Return the rows and the end of each statement of one session."""

        async def go():
            session = await self.connect(self.endpoint)
            ends = []
            for text in texts:
                sink = CollectingSink()
                running = session.run(f"QUERY {text}\r\n".encode(), sink)
                end = await running.addTimeout(1.0, reactor)
                ends.append((sink.frames, end))
            session.close()
            return ends

        return run(lambda: Deferred.fromCoroutine(go()))

    def stop(self):
        self.pool.drain()
        self.pool.break_connections()
        self.port.stopListening()
        return self.database.stop()


@pytest.fixture
def site():
    made = run(Site)
    made.database.answers[b"QUERY q1 AFTER 3.7 READ x"] = (
        b"DATAROW a\r\nCOMPLETE 7.1\r\nREADY I 3.8\r\n"
    )
    made.database.answers[b"QUERY q1 BEGIN"] = b"COMPLETE 7.2\r\nREADY T 3.8\r\n"
    made.database.answers[b"QUERY q2 WRITE x y"] = b"COMPLETE 7.3\r\nREADY T 3.8\r\n"
    made.database.answers[b"QUERY q3 COMMIT"] = b"COMPLETE 7.4\r\nREADY I 3.9\r\n"
    yield made
    run(made.stop)


def test_a_statement_is_relayed_with_its_identifier_and_position(site):
    ((rows, end),) = site.run_statements("q1 AFTER 3.7 READ x")
    assert b"QUERY q1 AFTER 3.7 READ x" in site.database.seen
    assert (rows, end.tail) == (b"DATAROW a\r\n", b"COMPLETE 7.1\r\n")
    assert end.position == LogPosition(3, 8)


def test_a_transaction_runs_on_one_connection(site):
    ends = site.run_statements("q1 BEGIN", "q2 WRITE x y", "q3 COMMIT")
    assert [end.status for _, end in ends] == [
        TransactionStatus.IN_TRANSACTION,
        TransactionStatus.IN_TRANSACTION,
        TransactionStatus.IDLE,
    ]
    assert len(site.database.sessions) == 1


def test_an_answer_carries_a_proof_and_its_age(site):
    site.task.proof = Sample(LogPosition(3, 9), 49.0)
    before = get_monotonic_clock(reactor)()
    ((_, end),) = site.run_statements("q1 AFTER 3.7 READ x")
    assert end.proof.position == LogPosition(3, 9)
    # The proof is a second old, counted from the time at which the statement was sent.
    assert before - 1.0 <= end.proof.sent_at <= get_monotonic_clock(reactor)() - 1.0


@pytest.mark.parametrize(
    "status",
    [
        make_status(PRIMARY, 3, LogPosition(3, 9), LogPosition(3, 7), False),
        make_status(REPLICA, 4, LogPosition(3, 9), LogPosition(3, 7), True),
    ],
)
def test_a_status_is_relayed(site, status):
    site.task.statuses.append(status)
    group = GroupSettings("group", "", (site.settings,), "", "", 0.0, 0.5)
    calls = ControlCalls(
        reactor,
        lambda item: site.connect(site.endpoint),
        ControlLimits(0.4, 0.2),
        lambda connection: None,
    )
    adapter = LineDatabaseGroup(group, None, calls)
    found = run(lambda: Deferred.fromCoroutine(adapter.get_status("db-1")))
    run(adapter.close)
    assert found.unwrap() == status


def test_values_and_prepared_statements_reach_the_connection(site):
    ok = b"COMPLETE -\r\nREADY I 3.7\r\n"
    site.database.answers |= {b"QUERY - SET": ok, b"QUERY - PREPARE": ok}
    site.database.answers[b"QUERY q4 EXECUTE p1 k"] = ok
    site.run_statements("- SET a b", "- PREPARE p7 READ shape", "q4 EXECUTE p7 k")
    assert site.database.seen[1:] == [
        b"QUERY - SET a b",
        b"QUERY - PREPARE p1 READ shape",
        b"QUERY q4 EXECUTE p1 k",
    ]


def test_a_session_does_not_see_values_of_another(site):
    ok = b"COMPLETE -\r\nREADY I 3.7\r\n"
    site.database.answers |= {b"QUERY - SET": ok, b"QUERY - RESET": ok}
    site.database.answers[b"QUERY q5 READ"] = ok
    site.run_statements("- SET a b", "q5 READ k")
    site.run_statements("q5 READ k")
    assert site.database.seen[-2:] == [b"QUERY - RESET", b"QUERY q5 READ k"]


def test_a_full_owner_refuses_a_statement_that_it_has_not_sent(site):
    async def go():
        first = await site.connect(site.endpoint)
        await first.run(b"QUERY q1 BEGIN\r\n", CollectingSink())
        second = await site.connect(site.endpoint)
        return await second.run(b"QUERY q9 READ x\r\n", CollectingSink())

    end = run(lambda: Deferred.fromCoroutine(go()))
    assert end.error is not None and end.status is TransactionStatus.IDLE
    assert not any(line.startswith(b"QUERY q9") for line in site.database.seen)


def test_a_lost_answer_ends_the_session(site):
    with pytest.raises((TargetLost, TimeoutError)):
        site.run_statements("q8 READ never")


def test_an_instance_that_lends_no_connection_refuses_the_session(site):
    with pytest.raises(ConnectRefused) as refused:
        run(site.connect, site.endpoint, "db-2")
    assert refused.value.sqlstate == CANNOT_CONNECT_NOW


def test_a_malformed_statement_is_refused(site):
    ((_, end),) = site.run_statements("q1 NONSENSE x")
    assert end.error is not None
    assert not any(b"NONSENSE" in line for line in site.database.seen)


def test_an_account_message_sets_the_account_of_the_connection(site):
    site.database.answers[b"QUERY q1 READ x"] = b"COMPLETE 7.1\r\nREADY I 3.8\r\n"
    ends = site.run_statements("- ACCOUNT one new", "q1 READ x")
    assert [end.error for _, end in ends] == [None, None]
    assert b"START group one db-1" in site.database.seen


def test_no_statement_runs_on_a_connection_of_another_account(site):
    site.database.answers[b"QUERY q1 READ x"] = b"COMPLETE 7.1\r\nREADY I 3.8\r\n"
    site.run_statements(
        "- ACCOUNT one new", "q1 READ x", "- ACCOUNT two new", "q1 READ x"
    )
    starts = [each for each in site.database.seen if each.startswith(b"START")]
    assert starts == [b"START group one db-1", b"START group two db-1"]


def test_the_account_does_not_change_inside_a_transaction(site):
    ends = site.run_statements("- ACCOUNT one new", "q1 BEGIN", "- ACCOUNT two new")
    assert [end.error is None for _, end in ends] == [True, True, False]


def test_an_over_limit_error_reaches_callers_with_their_code(site):
    site.pool._admit = lambda account: 0.25
    *_, (_, end) = site.run_statements("- ACCOUNT one new", "q1 READ x")
    assert end.error.sqlstate == CONFIGURATION_LIMIT_EXCEEDED
    assert end.error_frame.startswith(b"ERROR TOOMANY ") and b"0.25" in end.error_frame
    assert not [each for each in site.database.seen if each.startswith(b"QUERY q1")]


def test_an_operation_counted_elsewhere_is_not_counted_again(site):
    site.database.answers[b"QUERY q1 READ x"] = b"COMPLETE 7.1\r\nREADY I 3.8\r\n"
    site.pool._admit = lambda account: 0.25
    *_, (_, end) = site.run_statements("- ACCOUNT one counted", "q1 READ x")
    assert end.error is None


URGENT = Demand(0, 0.25, 0.2, "", True)
FULL = DatabaseReport(4, 4, (0.1, 0.4), 0.01, 7)


def record_demands(site):
    """Return the list to which the owner's pool adds each further demand."""
    demands, lend = [], site.pool.lend

    def record(deadline, demand, is_counted):
        demands.append(demand)
        return lend(deadline, demand, is_counted)

    site.pool.lend = record
    return demands


def test_a_demand_reaches_the_owner_and_no_database(site):
    site.database.answers[b"QUERY q1 READ x"] = b"COMPLETE 7.1\r\nREADY I 3.8\r\n"
    demands = record_demands(site)
    _, end = site.run_with_demand(site.endpoint, URGENT)
    assert end.error is None and demands == [URGENT]
    assert site.database.seen[-1] == b"QUERY q1 READ x"


def test_a_demand_is_parsed_between_position_and_statement(site):
    demands = record_demands(site)
    ((_, end),) = site.run_statements("q1 AFTER 3.7 WITHIN 0+ 250 200 READ x")
    assert end.error is None and demands == [URGENT]
    assert site.database.seen[-1] == b"QUERY q1 AFTER 3.7 READ x"


def test_an_earlier_release_sends_no_demand_and_gets_no_report(site):
    site.pool.get_report = lambda: FULL
    demands = record_demands(site)
    site.run_statements("q1 AFTER 3.7 READ x")
    assert demands == [DEFAULT_DEMAND]
    # Its sessions break at any keyword that they do not know.
    (session,) = site.sessions
    assert not session.sends_demands and session.last_report is None


def test_an_owner_of_an_earlier_release_is_sent_no_demand(site):
    site.database.answers |= {
        b"START": b"READY I -\r\n",
        b"QUERY q1 READ x": b"COMPLETE 7.1\r\nREADY I 3.8\r\n",
    }
    reports, end = site.run_with_demand(site.settings.endpoint, URGENT)
    assert end.error is None and reports == []
    assert site.database.seen[-1] == b"QUERY q1 READ x"


def test_an_answer_carries_the_owners_load_report(site):
    site.database.answers[b"QUERY q1 READ x"] = b"COMPLETE 7.1\r\nREADY I 3.8\r\n"
    site.pool.get_report = lambda: FULL
    (timed,), end = site.run_with_demand(site.endpoint, URGENT)
    assert timed.report == FULL and end.error is None


def test_an_owner_without_load_sends_no_report(site):
    site.database.answers[b"QUERY q1 READ x"] = b"COMPLETE 7.1\r\nREADY I 3.8\r\n"
    site.pool.get_report = lambda: FULL._replace(running=1, waits=(0.0,))
    assert site.run_with_demand(site.endpoint, URGENT)[0] == []


def test_only_the_first_statement_of_a_transaction_may_carry_a_demand(site):
    demands = record_demands(site)
    ends = site.run_statements(
        "q1 WITHIN 0+ 250 200 BEGIN", "q2 WRITE x y", "q3 COMMIT"
    )
    assert [end.error for _, end in ends] == [None, None, None] and demands == [URGENT]
    *_, (_, end) = site.run_statements("q1 BEGIN", "q2 WITHIN 0+ 250 200 WRITE x y")
    assert end.error.sqlstate == PROTOCOL_VIOLATION


@pytest.mark.parametrize("prefix", ["WITHIN", "WITHIN x 250 200", "WITHIN 0 250"])
def test_a_malformed_demand_is_answered_as_malformed(site, prefix):
    ((_, end),) = site.run_statements(f"q1 {prefix} READ x")
    assert end.error.sqlstate == PROTOCOL_VIOLATION
    assert not any(b"READ" in line for line in site.database.seen)


def test_a_demand_applies_to_one_operation(site):
    site.database.answers[b"QUERY q1 READ x"] = b"COMPLETE 7.1\r\nREADY I 3.8\r\n"
    demands = record_demands(site)
    site.run_statements("q1 WITHIN 0+ 250 200 READ x", "q1 READ x")
    assert demands == [URGENT, DEFAULT_DEMAND]


@pytest.mark.parametrize(
    "reason",
    [RefusalReason.QUEUE_FULL, RefusalReason.TOO_LATE, RefusalReason.OVER_LIMIT],
)
def test_the_owners_retry_time_is_passed_on_unchanged(site, reason):
    refused = PoolRefused(PoolRefusal(reason, 0.374))
    site.pool.lend = lambda *words: fail(refused)
    _, end = site.run_with_demand(site.endpoint, URGENT)
    assert end.status is TransactionStatus.IDLE
    assert end.error.retry_after == 0.37
    assert end.error.hint == "Try again in 0.37 seconds."
    assert end.error.message.endswith(reason.value)
    # The caller reads the time once, both in the error and in the line as received.
    for text in (encode_error(end.error), end.error_frame):
        assert text.count(b"Try again in 0.37 seconds.") == 1 == text.count(b"Try")


def test_a_write_that_times_out_in_the_owners_queue_is_refused_as_not_run(site):
    """Without the refusal its sender would time out with an unknown outcome."""

    async def go():
        first = await site.connect(site.endpoint)
        await first.run(b"QUERY q1 BEGIN\r\n", CollectingSink())
        second = await site.connect(site.endpoint)
        text = b"QUERY q9 WITHIN 1 100 200 WRITE x y\r\n"
        return await second.run(text, CollectingSink(), limit=0.2)

    end = run(lambda: Deferred.fromCoroutine(go()))
    assert end.error.sqlstate == TOO_MANY_CONNECTIONS and end.error.retry_after > 0
    assert not any(line.startswith(b"QUERY q9") for line in site.database.seen)


def test_an_idle_transaction_uses_no_slot_of_the_gate(site):
    """The database has two connections and runs one statement at a time."""
    answers = site.database.answers
    answers[b"QUERY q9 READ x"] = b"COMPLETE 7.1\r\nREADY I 3.8\r\n"
    reports = []

    async def go():
        site.pool.set_limit(2)
        site.pool.set_capacity(SharedCapacity(slots=1, owners=1, connections=1))
        first = await site.connect(site.endpoint)
        second = await site.connect(site.endpoint)
        ends = []
        for session, text in (
            (first, b"q1 BEGIN"),
            (second, b"q9 READ x"),
            (first, b"q2 WRITE x y"),
            (first, b"q3 COMMIT"),
        ):
            running = session.run(b"QUERY " + text + b"\r\n", CollectingSink())
            ends.append(await running.addTimeout(1.0, reactor))
            reports.append(site.pool.get_report())
        return ends

    ends = run(lambda: Deferred.fromCoroutine(go()))
    assert [end.error for end in ends] == [None] * 4
    assert {(report.running, report.limit) for report in reports} == {(0, 1)}
    assert reports[-1].service_time > 0.0


def test_a_lost_answer_frees_its_slot_and_lowers_the_limit(site):
    async def go():
        site.pool.set_capacity(SharedCapacity(slots=4, owners=1, connections=8))
        before = site.pool.get_report().limit
        session = await site.connect(site.endpoint)
        running = session.run(b"QUERY q8 READ never\r\n", CollectingSink())
        await deferLater(reactor, 0.1)
        running_then = site.pool.get_report().running
        for each in site.database.sessions:
            each.transport.abortConnection()
        try:
            await running
        except TargetLost:
            pass
        return before, running_then, site.pool.get_report()

    before, running_then, report = run(lambda: Deferred.fromCoroutine(go()))
    assert running_then == 1 and report.running == 0
    assert report.limit < before
