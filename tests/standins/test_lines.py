"""Line-protocol stand-in databases: replication, terms and transactions."""

import itertools
import random

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from beryltrack.groups.messages import PRIMARY, REPLICA, LogPosition
from beryltrack_standins.lines.database import DatabaseFactory
from beryltrack_standins.lines.group import Group

NAMES = ("a", "b", "c")


class Recorder:
    """Records the statements and commits of databases."""

    def __init__(self):
        self.runs, self.commits, self.controls = [], [], []

    def observe_run(self, database, session, request, text):
        self.runs.append((database.name, request, text))

    def observe_commit(self, request, position):
        self.commits.append((request, position))

    def observe_control(self, database, session, text, held):
        self.controls.append((database.name, text, held))


class Transport(StringTransport):
    """A transport that accepts TCP_NODELAY."""

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass


class Site:
    """A group and sessions without sockets."""

    def __init__(self):
        self.clock, self.recorder = Clock(), Recorder()
        self.group = Group(self.clock, NAMES, random.Random(1))
        numbers = itertools.count(1)
        self.factories = {
            name: DatabaseFactory(
                self.clock, self.group, name, self.recorder, random.Random(1), numbers
            )
            for name in NAMES
        }

    def open(self, name):
        session = self.factories[name].buildProtocol(None)
        session.makeConnection(Transport())
        assert self.ask(session, f"START group x {name}").startswith("READY")
        return session

    def ask(self, session, line):
        session.transport.clear()
        session.dataReceived(f"{line}\r\n".encode())
        self.clock.pump([0.013, 0.005])
        return session.transport.value().decode()

    def settle(self):
        self.clock.pump([0.01] * 20)


@pytest.fixture
def site():
    return Site()


def test_a_commit_reaches_replicas_and_then_their_readers(site):
    primary, replica = site.open("a"), site.open("b")
    assert "COMPLETE" in site.ask(primary, "QUERY 1 WRITE k v")
    assert site.group.databases["b"].received == LogPosition(1, 1)
    site.settle()
    assert "DATAROW v" in site.ask(replica, "QUERY 2 AFTER 1.1 READ k")


def test_a_replica_that_lacks_a_position_answers_lagging(site):
    assert "ERROR LAGGING" in site.ask(site.open("b"), "QUERY 1 AFTER 1.1 READ k")


def test_a_replica_refuses_writes(site):
    session = site.open("b")
    assert "ERROR READONLY" in site.ask(session, "QUERY 1 WRITE k v")
    assert "ERROR READONLY" in site.ask(session, "QUERY 2 BEGIN")
    assert "READY T" in site.ask(session, "QUERY 3 BEGIN READ")


def test_a_transaction_commits_at_one_position(site):
    session = site.open("a")
    for line in ("QUERY 1 BEGIN", "QUERY 2 WRITE k v", "QUERY 3 WRITE l w"):
        assert "READY T" in site.ask(session, line)
    assert site.recorder.commits == []
    assert "READY I" in site.ask(session, "QUERY 4 COMMIT")
    assert site.recorder.commits == [(b"4", LogPosition(1, 1))]


def test_a_promotion_rolls_back_commits_that_the_new_primary_lacks(site):
    session = site.open("a")
    site.group.databases["b"].held = 2
    site.ask(session, "QUERY 1 WRITE k v")
    site.group.promote("b")
    assert site.group.databases["a"].role == REPLICA
    assert site.group.databases["b"].role == PRIMARY
    assert site.group.rolled_back == {LogPosition(1, 1)}
    assert all(each.log == [] for each in site.group.databases.values())


def test_a_transaction_on_a_replaced_primary_fails(site):
    session = site.open("a")
    site.ask(session, "QUERY 1 BEGIN")
    site.ask(session, "QUERY 2 WRITE k v")
    site.group.promote("b")
    assert "ERROR READONLY" in site.ask(session, "QUERY 3 COMMIT")
    assert site.recorder.commits == []


def test_a_held_replica_receives_again_after_its_release(site):
    control, session = site.open("b"), site.open("a")
    assert "DATAROW replica 1 1.0 2" in site.ask(control, "QUERY - PAUSE 2")
    site.ask(session, "QUERY 1 WRITE k v")
    assert site.group.databases["b"].received == LogPosition(1, 0)
    site.ask(control, "QUERY - RESUME")
    assert site.group.databases["b"].received == LogPosition(1, 1)


def test_a_silent_database_does_not_answer_until_it_restarts(site):
    session = site.open("a")
    site.factories["a"].crash(True)
    assert site.ask(session, "QUERY 1 READ k") == ""
    site.factories["a"].restart()
    assert site.group.databases["a"].is_up


def test_an_unknown_prepared_name_is_an_error(site):
    assert "UNPREPARED" in site.ask(site.open("a"), "QUERY 1 EXECUTE p1 k")
