"""`RelayHandler`: an owner lends connections to the sessions of other instances."""

import math
from types import SimpleNamespace

import pytest
from returns.result import Failure, Success
from twisted.internet.defer import Deferred

from beryltrack.connections.messages import PoolRefusal, PoolRefused, RefusalReason
from beryltrack.errors import (
    CANNOT_CONNECT_NOW,
    CONFIGURATION_LIMIT_EXCEEDED,
    TOO_MANY_CONNECTIONS,
    SqlError,
)
from beryltrack.groups.messages import ControlFailure, LogPosition
from beryltrack.groups.samples import Sample
from beryltrack.load.messages import DatabaseReport, Demand
from beryltrack.load.reports import TimedReport
from beryltrack.relay.handler import AgedProof, Lender, RelayHandler
from beryltrack.relay.load_reporter import LoadReporter
from beryltrack.requests.protocol import RunLost
from beryltrack.requests.shutdown import Shutdown
from beryltrack.wire.messages import ResponseEnd, TransactionStatus

IDLE, OPEN = TransactionStatus.IDLE, TransactionStatus.IN_TRANSACTION


READ = SimpleNamespace(proves_leadership=False, after=None)
WRITE = SimpleNamespace(proves_leadership=True, after=None)


def make_end(status=IDLE, position=None):
    return ResponseEnd(status, b"COMPLETE 1\r\n", None, b"", position, 0, 0)


class Pool:
    """A pool that lends connections when a test calls `give`."""

    def __init__(self):
        self.asked, self.lent_to = [], []
        self.released, self.has_run = [], []
        self.deadlines, self.report = [], None

    def lend(self, deadline, demand, is_counted):
        self.asked.append(Deferred())
        self.deadlines.append(deadline)
        self.lent_to.append((demand, is_counted))
        return self.asked[-1]

    def get_report(self):
        return self.report

    def release(self, connection, reusable, has_run=True):
        self.released.append((connection.name, reusable))
        self.has_run.append(has_run)


class Task:
    """A group task that records its calls and has one proof."""

    def __init__(self):
        self.now, self.proof, self.observed = 50.0, None, []
        self.statuses = []

    def get_time(self):
        return self.now

    def is_presumed_behind(self, database, position, min_pause):
        return False

    def get_proof(self):
        return self.proof

    def observe_position(self, database, position, sent_at=None):
        self.observed.append(("position", database, position))

    def observe_leadership(self, database, position, sent_at):
        self.observed.append(("lead", database, position, sent_at))

    async def ask_status(self, database):
        self.statuses.append(Deferred())
        return await self.statuses[-1]


class Session:
    """A session of another instance that records what it is sent."""

    def __init__(self, database="db-1"):
        self.group, self.database = "g", database
        self.demand, self.is_counted = Demand(account="one"), False
        self.pinned, self.status = None, IDLE
        self.proven_at, self.proven, self.states = -math.inf, [], []
        self.sent, self.runs, self.on_gone = [], [], None
        self.sends_demands, self.last_report = False, None

    def run_on(self, connection, unit):
        self.runs.append((connection.name, unit, Deferred()))
        return self.runs[-1][2]

    def send_refusal(self, error):
        self.states.append(error.sqlstate)
        self.sent.append(("refused", error.message))

    def send_report(self, report):
        self.sent.append(("load", report))

    def send_not_owner(self):
        self.sent.append(("refused", "the group has other owners"))

    def send_end(self, end, proven):
        self.status = end.status
        self.proven.append(proven)
        self.sent.append(("end", end.status))

    def send_status(self, status, proven):
        self.sent.append(("status", status))

    def set_close_callback(self, callback):
        self.on_gone = callback

    def send_error(self, error):
        self.sent.append(("error", error.sqlstate))

    def send_ready(self, status):
        self.sent.append(("ready", status))

    def abort(self):
        self.sent.append(("aborted", ""))


class Owner:
    """The handler with one pool."""

    def __init__(self, is_owner=False):
        self.pool = Pool()
        self.task = Task()
        self.now = 10.0
        reporter = LoadReporter(lambda: self.now)
        self.handler = RelayHandler(
            lambda: 10.0, self.get_lender, 0.5, reporter, 7, 0.3, lambda group: is_owner
        )

    def get_lender(self, group, database):
        return Lender(self.pool, self.task) if self.pool is not None else None

    def give(self, name="c1", via=""):
        """Lend a connection to the last session that asked."""
        closed = []
        connection = SimpleNamespace(
            name=name, via=via, close=lambda: closed.append(name)
        )
        connection.closings = closed
        self.pool.asked[-1].callback(connection)
        return connection


@pytest.fixture
def owner():
    return Owner()


def test_a_statement_borrows_a_connection_and_returns_it(owner):
    session = Session()
    owner.handler.handle(READ, session)
    owner.give()
    assert [run[:2] for run in session.runs] == [("c1", READ)]
    assert owner.pool.released == []
    session.runs[0][2].callback(make_end())
    assert session.sent == [("end", IDLE)]
    assert owner.pool.released == [("c1", True)] and session.pinned is None


def test_a_transaction_keeps_its_connection(owner):
    session = Session()
    owner.handler.handle(READ, session)
    owner.give()
    session.runs[0][2].callback(make_end(OPEN))
    owner.handler.handle(READ, session)
    assert len(owner.pool.asked) == 1
    session.runs[1][2].callback(make_end())
    assert owner.pool.released == [("c1", True)]


def test_a_pool_refusal_is_sent_as_not_run(owner):
    session = Session()
    owner.handler.handle(READ, session)
    refusal = PoolRefusal(RefusalReason.QUEUE_FULL, 0.1)
    owner.pool.asked[0].errback(PoolRefused(refusal))
    assert session.sent == [("refused", RefusalReason.QUEUE_FULL.value)]


def test_a_statement_that_was_not_sent_is_refused(owner):
    session = Session()
    owner.handler.handle(READ, session)
    owner.give()
    session.runs[0][2].callback(RunLost(False, "closed"))
    assert session.sent == [("refused", "closed")]
    assert owner.pool.released == [("c1", False)]


def test_a_statement_whose_answer_is_lost_ends_the_session(owner):
    session = Session()
    owner.handler.handle(READ, session)
    owner.give()
    session.runs[0][2].callback(RunLost(True, "reset"))
    assert session.sent == [("aborted", "")]
    assert owner.pool.released == [("c1", False)]


def test_a_transaction_whose_connection_is_lost_ends_the_session(owner):
    session = Session()
    owner.handler.handle(READ, session)
    owner.give()
    session.runs[0][2].callback(make_end(OPEN))
    owner.handler.handle(READ, session)
    session.runs[1][2].callback(RunLost(False, "closed"))
    assert session.sent[-1] == ("aborted", "")


def test_a_closed_session_rolls_back_its_transaction(owner):
    session = Session()
    owner.handler.handle(READ, session)
    owner.give()
    session.runs[0][2].callback(make_end(OPEN))
    owner.handler.drop_session(session)
    assert owner.pool.released == [("c1", False)]
    owner.handler.drop_session(session)
    assert len(owner.pool.released) == 1


def test_a_closed_session_cancels_its_running_statement(owner):
    session = Session()
    owner.handler.handle(READ, session)
    connection = owner.give()
    session.on_gone()
    assert connection.closings == ["c1"]


def test_a_session_closed_while_it_waits_leaves_the_queue(owner):
    session = Session()
    owner.handler.handle(READ, session)
    session.on_gone()
    assert owner.pool.asked[0].called and session.sent == []


def test_an_instance_that_is_no_owner_refuses(owner):
    owner.pool = None
    session = Session()
    assert not owner.handler.serves(session)
    owner.handler.handle(READ, session)
    owner.handler.handle_status(session)
    assert session.sent == [("refused", "the group has other owners")] * 2


def test_sessions_that_wait_for_a_status_share_it(owner):
    sessions = [Session() for _ in range(3)]
    owner.handler.handle_status(sessions[0])
    for session in sessions[1:]:
        owner.handler.handle_status(session)
    # The sessions that asked after it was sent share the next status.
    owner.task.statuses[0].callback(Success("old"))
    assert [session.sent for session in sessions] == [[("status", "old")], [], []]
    owner.task.statuses[1].callback(Success("new"))
    assert [each.sent for each in sessions[1:]] == [[("status", "new")]] * 2
    assert len(owner.task.statuses) == 2 and owner.pool.asked == []


@pytest.mark.parametrize(
    ("is_answered", "state"),
    [(False, CANNOT_CONNECT_NOW), (True, TOO_MANY_CONNECTIONS)],
)
def test_a_silent_database_gets_another_sqlstate_than_a_busy_one(
    owner, is_answered, state
):
    session = Session()
    owner.handler.handle_status(session)
    failure = ControlFailure("db-1", "no status", is_answered)
    owner.task.statuses[0].callback(Failure(failure))
    assert session.sent == [("refused", "no status")]
    assert session.states == [state]


def test_a_write_accepted_by_a_primary_proves_its_lead(owner):
    session = Session()
    position = LogPosition(3, 9)
    for unit in (READ, WRITE):
        owner.handler.handle(unit, session)
        owner.give()
        session.runs[-1][2].callback(make_end(position=position))
    assert owner.task.observed == [
        ("position", "db-1", position),
        ("position", "db-1", position),
        ("lead", "db-1", position, 50.0),
    ]


def test_an_answer_carries_the_newest_proof_with_its_age_once(owner):
    session, position = Session(), LogPosition(3, 9)

    def run_one():
        owner.handler.handle(READ, session)
        owner.give()
        session.runs[-1][2].callback(make_end())

    run_one()
    owner.task.proof = Sample(position, 49.5)
    run_one()
    run_one()
    owner.task.proof = Sample(position, 50.0)
    owner.task.now = 50.25
    run_one()
    assert session.proven == [
        None,
        AgedProof(position, 0.5),
        None,
        AgedProof(position, 0.25),
    ]


def test_a_leaving_owner_refuses_new_operations_and_finishes_open_ones(owner):
    session = Session()
    owner.handler.handle(READ, session)
    owner.give()
    session.runs[0][2].callback(make_end(OPEN))
    owner.handler.leave()
    owner.handler.handle(READ, session)
    session.runs[1][2].callback(make_end())
    assert owner.pool.released == [("c1", True)]
    owner.handler.handle(READ, session)
    assert session.sent[-1][0] == "refused" and not owner.handler.serves(session)


@pytest.mark.parametrize("is_counted", [True, False])
def test_the_pool_is_passed_whether_an_operation_was_counted(owner, is_counted):
    """A counted operation is not relayed again; see `DatabaseAccess.lend`."""
    session = Session()
    session.is_counted = is_counted
    owner.handler.handle(READ, session)
    assert owner.pool.lent_to == [(Demand(account="one"), is_counted)]


@pytest.mark.parametrize(
    ("state", "has_run"), [("53300", False), ("25006", False), ("58000", True)]
)
def test_an_operation_that_a_database_did_not_run_is_not_counted(owner, state, has_run):
    session = Session()
    owner.handler.handle(READ, session)
    owner.give()
    end = make_end()._replace(error=SqlError(state, "no"))
    session.runs[0][2].callback(end)
    assert owner.pool.has_run == [has_run]


def test_an_operation_over_the_limit_is_refused_with_its_sqlstate(owner):
    session = Session()
    owner.handler.handle(READ, session)
    refusal = PoolRefusal(RefusalReason.OVER_LIMIT, 0.4)
    owner.pool.asked[0].errback(PoolRefused(refusal))
    assert session.states == [CONFIGURATION_LIMIT_EXCEEDED] and session.runs == []


@pytest.mark.parametrize(
    ("time_left", "deadline"), [(0.25, 10.2), (9.0, 10.5), (0.04, 10.0)]
)
def test_a_statement_waits_until_the_earlier_of_both_deadlines(
    owner, time_left, deadline
):
    session = Session()
    session.demand = Demand(time_left=time_left)
    owner.handler.handle(READ, session)
    assert owner.pool.deadlines == [deadline]


def test_a_session_that_sent_a_demand_is_sent_load_reports(owner):
    session = Session()
    session.sends_demands = True
    owner.pool.report = DatabaseReport(4, 4, (0.3,), 0.01, 7)
    owner.handler.handle(READ, session)
    owner.give()
    session.runs[0][2].callback(make_end())
    report = TimedReport(owner.pool.report, 0.0)
    assert session.sent == [("load", report), ("end", IDLE)]


def test_a_refusal_is_sent_with_a_load_report(owner):
    session = Session()
    session.sends_demands = True
    owner.pool.report = DatabaseReport(4, 4, (0.3,), 0.01, 7)
    owner.handler.handle(READ, session)
    refusal = PoolRefusal(RefusalReason.QUEUE_FULL, 0.3)
    owner.pool.asked[0].errback(PoolRefused(refusal))
    assert [word for word, _ in session.sent] == ["load", "refused"]


def test_a_session_of_an_earlier_release_is_sent_no_load_report(owner):
    session = Session()
    owner.pool.report = DatabaseReport(4, 4, (0.3,), 0.01, 7)
    owner.handler.handle(READ, session)
    owner.give()
    session.runs[0][2].callback(make_end())
    assert session.sent == [("end", IDLE)]


def test_an_owner_that_does_not_reach_a_database_refuses_and_stays_owner():
    """Other instances avoided it for all databases when it did not reach one."""
    owner, session = Owner(is_owner=True), Session()
    owner.pool = None
    owner.handler.handle(READ, session)
    assert session.states == [CANNOT_CONNECT_NOW]
    owner.handler.leave()
    owner.handler.handle(READ, session)
    assert session.sent[-1] == ("refused", "the group has other owners")


def test_an_owner_that_leaves_rolls_back_a_late_transaction_truly(owner):
    """Guards against a session that is closed while it may send its commit."""
    times = [10.0]
    shutdown = Shutdown(lambda: times[0])
    reporter = LoadReporter(lambda: 10.0)
    handler = RelayHandler(
        lambda: 10.0, owner.get_lender, 2.0, reporter, 7, shutdown=shutdown
    )
    session = Session()
    handler.handle(WRITE, session)
    owner.give()
    session.runs[0][2].callback(make_end(OPEN))
    shutdown.begin(6.0)
    owner.pool.get_connections = lambda: ()
    times[0] += 4.3
    handler.handle(WRITE, session)
    assert len(session.runs) == 1 and owner.pool.released == [("c1", False)]
    assert session.sent[1:] == [("error", "40001"), ("ready", IDLE)]
