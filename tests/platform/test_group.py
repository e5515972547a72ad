"""Control requests over the line protocol on real sockets."""

import math

import pytest
from returns.result import Success
from twisted.internet import reactor
from twisted.internet.defer import Deferred, gatherResults

from beryltrack.groups.adapter import ControlLimits
from beryltrack.groups.control_calls import ControlCalls
from beryltrack.groups.messages import PRIMARY, LogPosition
from beryltrack.objects.http import make_failure
from beryltrack.objects.messages import ErrorKind
from beryltrack.platform.group import LineDatabaseGroup, parse_row
from beryltrack.platform.target import connect_line_target
from beryltrack.settings.messages import GroupSettings
from beryltrack.wire.sockets import SocketLimits
from tests.platform.databases import DatabaseFactory
from tests.reactor_thread import run

LIMITS = ControlLimits(0.4, 0.2)


class Promotions:
    """Records promotions and gives the answer that a test sets."""

    def __init__(self):
        self.calls = []
        self.answer = Success(None)

    async def promote(self, group, database, token):
        self.calls.append((group, database, token))
        return self.answer


class Site:
    """One database, a promotion service and the adapter."""

    def __init__(self):
        self.database = DatabaseFactory()
        self.promotions = Promotions()
        settings = self.database.make_settings()
        group = GroupSettings("main", "", (settings,), "", "", 0.0, 0.5)
        self.silent = []
        self.calls = ControlCalls(reactor, self.connect, LIMITS, self.silent.append)
        self.adapter = LineDatabaseGroup(group, self.promotions, self.calls)

    def connect(self, item):
        return connect_line_target(
            reactor, item.endpoint, "main", item.name, 0.5, SocketLimits()
        )

    def call(self, name, *arguments):
        method = getattr(self.adapter, name)
        return run(lambda: Deferred.fromCoroutine(method("db-1", *arguments)))

    def stop(self):
        self.adapter.close()
        return self.database.stop()


@pytest.fixture
def site():
    made = run(Site)
    yield made
    run(made.stop)


def test_status_has_the_received_and_the_applied_position(site):
    status = site.call("get_status").unwrap()
    assert (status.role, status.term) == (PRIMARY, 3)
    assert status.received == LogPosition(3, 9)
    assert status.applied == LogPosition(3, 7)
    assert status.heard_age is None and status.is_role_fenced and not status.is_held


def test_a_replica_on_hold_has_granted(site):
    site.database.answers[b"QUERY - PAUSE 4"] = (
        b"DATAROW replica 3 3.9 4 0 0 1\r\nCOMPLETE -\r\nREADY I 3.7\r\n"
    )
    reply = site.call("grant", 4, "node/1", 0.5).unwrap()
    assert reply.granted and reply.status.is_held and reply.status.term == 4


def test_a_primary_grants_only_if_its_loss_is_not_the_reason(site):
    site.database.answers[b"QUERY - PAUSE"] = site.database.answers[b"QUERY - STATUS"]
    assert not site.call("grant", 4, "node/1", 0.5).unwrap().granted
    assert site.call("grant", 4, "node/1", 0.0).unwrap().granted


def test_a_promotion_carries_the_token(site):
    reply = site.call("promote", 4, "node/1", 17).unwrap()
    assert site.promotions.calls == [("main", "db-1", 17)]
    assert reply.promoted


def test_a_fenced_promotion_is_refused_and_a_lost_one_fails(site):
    site.promotions.answer = make_failure(ErrorKind.CONFLICT, "fenced")
    assert not site.call("promote", 4, "node/1", 1).unwrap().promoted
    site.promotions.answer = make_failure(ErrorKind.UNKNOWN, "lost")
    assert site.call("promote", 4, "node/1", 1).failure().text == "lost"


def test_a_refusal_for_lack_of_a_slot_counts_as_an_answer(site):
    site.database.answers[b"QUERY - STATUS"] = b"ERROR BUSY db-1\r\nREADY I 3.7\r\n"
    assert site.call("get_status").failure().is_answered


def test_simultaneous_requests_are_answered_one_after_the_other(site):
    requests = (("get_status",), ("release", math.inf), ("get_status",))
    site.database.answers[b"QUERY - RESUME"] = site.database.answers[b"QUERY - STATUS"]

    def call_all():
        calls = [
            Deferred.fromCoroutine(getattr(site.adapter, name)("db-1", *arguments))
            for name, *arguments in requests
        ]
        return gatherResults(calls)

    # The connection is open, so that all requests use the same one.
    site.call("get_status")
    assert all(isinstance(result, Success) for result in run(call_all))


def test_a_stopped_database_fails_and_is_reached_after_its_restart(site):
    site.call("get_status")
    port = site.database.port.getHost().port
    run(site.database.stop)
    assert not site.call("get_status").failure().is_answered
    assert not site.call("get_status").failure().is_answered

    def listen_again():
        site.database.port = reactor.listenTCP(
            port, site.database, interface="127.0.0.1"
        )

    run(listen_again)
    assert site.call("get_status").unwrap().role == PRIMARY


def test_a_silent_connection_is_replaced_before_the_database_fails(site):
    site.call("get_status")
    first = site.database.sessions[0]
    first.dataReceived = lambda data: None
    assert site.call("get_status").unwrap().role == PRIMARY
    assert len(site.database.sessions) == 2 and len(site.silent) == 1


def test_a_late_answer_is_awaited_if_the_database_answers_elsewhere(site):
    site.call("get_status")
    first = site.database.sessions[0]
    take = first.dataReceived

    def answer_late(data):
        reactor.callLater(0.3, take, data)

    first.dataReceived = answer_late
    site.calls.set_answer_check(lambda database, since: True)
    assert site.call("get_status").unwrap().role == PRIMARY
    assert len(site.database.sessions) == 1


def test_an_owner_has_a_longer_timeout_than_a_database(site):
    site.calls._limits = ControlLimits(0.1, 0.05, 8.0)
    site.call("get_status")
    first = site.database.sessions[0]
    take = first.dataReceived

    def answer_late(data):
        reactor.callLater(0.25, take, data)

    first.dataReceived = answer_late
    site.calls._connections["db-1"].via = "owner"
    assert site.call("get_status").unwrap().role == PRIMARY
    assert len(site.database.sessions) == 1 and site.silent == []


def test_a_silent_database_fails_within_the_limit(site):
    site.call("get_status")
    site.database.answers.pop(b"QUERY - STATUS")
    failure = site.call("get_status").failure()
    assert not failure.is_answered


def test_an_unreachable_error_of_an_owner_is_no_answer_of_the_database(site):
    site.database.answers[b"QUERY - STATUS"] = (
        b"ERROR UNREACHABLE no way\r\nREADY I -\r\n"
    )
    assert not site.call("get_status").failure().is_answered


@pytest.mark.parametrize(
    "row", [b"", b"DATAROW", b"DATAROW primary x 3.9 0", b"DATAROW primary 3 - 0 0"]
)
def test_a_malformed_row_is_no_status(row):
    assert parse_row(row) is None
