"""Statements during a shutdown: begun only if they are answered, else refused truly."""

from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from beryltrack.groups.view import GroupView
from beryltrack.metrics.prometheus import PrometheusMetrics
from beryltrack.platform.caller import LineCallerFactory
from beryltrack.platform.protocol import LineProtocol
from beryltrack.platform.target import LineTarget
from beryltrack.requests.protocol import RequestPolicy
from beryltrack.requests.services import make_services
from beryltrack.requests.session import PinnedTransaction
from beryltrack.requests.shutdown import (
    SHUTDOWN_REFUSAL,
    ShutdownTimes,
    end_statements,
    schedule_stages,
)
from beryltrack.requests.targets import TargetSearch, find_target
from beryltrack.requests.task import RequestTask
from beryltrack.routing.messages import UseTarget, WriteRequest
from beryltrack.settings.messages import GroupSettings, RouteSettings
from beryltrack.wire.messages import TransactionStatus
from beryltrack.wire.sockets import SocketLimits
from tests.platform.test_caller import LIMITS, Transport

GRACE = 6.0
TIMES = ShutdownTimes(0.0, GRACE)
ABORTED = b"ERROR ABORTED the instance leaves\r\nREADY I -\r\n"


@pytest.mark.parametrize(
    ("now", "limit", "recent", "in_transaction", "expected"),
    [
        (2.9, 30.0, 9.0, True, True),
        (3.4, 2.0, 1.3, True, False),
        (4.1, 30.0, 0.0, True, True),
        (4.3, 2.0, 0.01, True, False),
        (4.3, 0.8, 1.3, True, True),
        (4.3, 0.8, 0.01, False, False),
        (5.4, 0.1, 0.01, True, False),
    ],
)
def test_a_statement_begins_if_its_answer_is_expected(
    now, limit, recent, in_transaction, expected
):
    assert TIMES.may_start(now, limit, recent, in_transaction) is expected


class AbortedTransport(Transport):
    """Reports an abort at once."""

    def abortConnection(self):  # noqa: N802
        self.protocol.connectionLost()


class Pool:
    """One connection; requests wait for it until the test gives it to them."""

    def __init__(self, connection):
        self.connection, self.released, self.waiting = connection, [], []

    def acquire(self, deadline, demand):
        self.waiting.append(Deferred())
        return self.waiting[-1]

    def get_connections(self):
        return [self.connection]

    def release(self, connection, reusable, has_run=True):
        self.released.append((reusable, has_run))


class Site:
    """An instance that shuts down, with a caller inside a transaction."""

    def __init__(self, limit=2.0, recent=0.0):
        self.clock = Clock()
        route = RouteSettings("own", "g", "any", 0.0, True, limit, 0.5, 0)
        policy = RequestPolicy(limit, 0.35, limit)
        protocol = LineProtocol(lambda name: route, lambda route: policy)
        self.services = make_services(self.clock, "a", PrometheusMetrics(), 0, protocol)
        self.database = LineTarget(b"", SocketLimits(), self.clock.seconds)
        self.database.makeConnection(AbortedTransport())
        self.database.transport.protocol = self.database
        self.database.dataReceived(b"READY I 3.7\r\n")
        self.database.last_run_time = recent
        self.pool = Pool(self.database)
        self.runtime = SimpleNamespace(
            settings=GroupSettings("g", "", (), "", "", 0.0, 0.3),
            view=GroupView("g", 3, "db-1"),
            pools={"db-1": self.pool},
            task=SimpleNamespace(observe_position=lambda *position: None),
            ensure_started=lambda: None,
            get_loads=lambda demand: (),
        )
        settings = SimpleNamespace(rules=(), revision=1)
        handler = RequestTask(self.services, lambda: settings, lambda _: self.runtime)
        self.factory = LineCallerFactory(self.clock, handler, LIMITS)
        self.caller = self.factory.buildProtocol(None)
        self.caller.makeConnection(Transport())
        self.caller.dataReceived(b"START own u1\r\n")
        self.caller.status = TransactionStatus.IN_TRANSACTION
        self.caller.session.pinned = PinnedTransaction(
            self.runtime, "db-1", self.pool, self.database, False
        )
        self.caller.transport.clear()
        self.factory.leave()
        schedule_stages(
            self.clock,
            self.services.shutdown.begin(GRACE),
            self.factory.finish,
            lambda: end_statements([self.runtime]),
        )

    def send(self, at, *texts):
        """Send statements at a time; return what the database has received."""
        self.clock.advance(at - self.clock.seconds())
        self.caller.dataReceived(b"".join(b"QUERY 1 %s\r\n" % each for each in texts))
        return self.database.transport.value()

    @property
    def answer(self):
        return self.caller.transport.value()


def test_a_late_statement_at_a_busy_database_is_rolled_back_not_cut_off():
    """Guards against statements that are passed on and cut off by the shutdown."""
    site = Site(recent=1.3)
    assert site.send(3.9, b"READ a") == b"" and site.answer == ABORTED
    assert site.pool.released == [(False, True)]
    assert site.caller.transport.disconnecting


@pytest.mark.parametrize("limit", [2.0, 30.0])
def test_a_short_statement_begins_as_late_with_a_long_time_limit(limit):
    """Guards against a time limit that ends transactions on fast databases early."""
    assert Site(limit, recent=0.01).send(4.1, b"READ a") == b"QUERY 1 READ a\r\n"


@pytest.mark.parametrize(
    ("text", "code"), [(b"READ a", b"ABORTED"), (b"COMMIT", b"INDOUBT")]
)
def test_a_statement_that_still_runs_at_the_end_is_answered(text, code):
    """Guards against a connection that ends without an answer to its statement."""
    site = Site(30.0)
    assert site.send(2.9, text) and not site.answer
    site.clock.advance(TIMES.end_at - 2.9)
    assert site.answer.startswith(b"ERROR " + code)
    assert site.caller.transport.disconnecting


@pytest.mark.parametrize(
    ("text", "answer"),
    [(b"COMMIT", ABORTED), (b"ROLLBACK", b"COMPLETE -\r\nREADY I -\r\n")],
)
def test_a_late_end_of_a_transaction_is_answered_truly(text, answer):
    """Guards against an unknown outcome of a commit that never reached its database."""
    site = Site()
    assert site.send(4.3, text) == b"" and site.answer == answer


def test_statements_that_are_already_buffered_are_refused_one_by_one():
    """Guards against buffered statements that end without an answer, or run alone."""
    site = Site()
    assert site.send(4.0, b"READ a", b"READ b", b"WRITE c d") == b"QUERY 1 READ a\r\n"
    site.clock.advance(0.4)
    site.database.dataReceived(b"COMPLETE 1\r\nREADY T 3.7\r\n")
    _, _, answer = site.answer.partition(b"READY T -\r\n")
    assert answer.startswith(ABORTED + b"ERROR BUSY the instance leaves")
    assert site.send(4.4) == b"QUERY 1 READ a\r\n"
    assert site.caller.transport.disconnecting


@pytest.mark.parametrize(
    ("recent", "asked_at", "given_at", "waiting"),
    [(1.3, 3.2, 3.5, 1), (1.3, 3.5, 3.5, 0), (0.0, 4.0, 4.3, 1), (0.0, 4.3, 4.3, 0)],
)
def test_a_request_outside_of_a_transaction_is_refused_as_not_run(
    monkeypatch, recent, asked_at, given_at, waiting
):
    """Guards against waits for a connection that outlast the time left to answer."""
    use = UseTarget("db-1", False)
    monkeypatch.setattr(
        "beryltrack.requests.targets.choose_target", lambda *arguments: use
    )
    site, ends = Site(recent=recent), []
    site.clock.advance(asked_at)
    ticket = site.services.admission.admit("", 9.0).unwrap()
    search = TargetSearch(site.services, site.runtime, ticket, 9.0, 9.0, run_limit=2.0)
    finding = find_target(search, WriteRequest(0.0, sampled=True))
    Deferred.fromCoroutine(finding).addCallback(ends.append)
    assert len(site.pool.waiting) == waiting
    site.clock.advance(given_at - asked_at)
    for each in site.pool.waiting:
        each.callback(site.database)
    assert [end.failure() for end in ends] == [SHUTDOWN_REFUSAL]
    assert site.pool.released == [(True, False)] * waiting
