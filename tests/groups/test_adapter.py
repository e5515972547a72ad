"""The PostgreSQL adapter against stand-in databases over real sockets."""

from random import Random

import pytest
from returns.result import Success
from twisted.internet import reactor
from twisted.internet.task import deferLater

from beryltrack.groups.adapter import StatusWait
from beryltrack.groups.messages import PRIMARY, LogPosition
from beryltrack.groups.postgres_adapter import PostgresDatabaseGroup
from beryltrack.groups.status_rows import parse_status
from beryltrack.groups.task import GroupTask
from beryltrack.settings.messages import DatabaseSettings, GroupSettings
from beryltrack.transactions.decider import CommitOutcome
from tests.reactor_thread import run
from tests.standins.site import connect, running_site


@pytest.fixture
def site():
    with running_site() as site:
        yield site


@pytest.fixture
def settings(site):
    databases = tuple(
        DatabaseSettings(item.name, item.endpoint, item.zone, 20, 3, False)
        for item in site.databases
    )
    return GroupSettings("main", "team", databases, "u", "", 0.0, 0.5)


@pytest.fixture
def adapter(settings):
    adapter = run(PostgresDatabaseGroup, reactor, settings, Random(1))
    yield adapter
    run(adapter.close)


def test_status_grant_and_promotion(adapter):
    status = run(adapter.get_status, "main-1").unwrap()
    assert (status.role, status.term) == (PRIMARY, 1)
    assert not run(adapter.grant, "main-2", 2, "it's me", 5.0).unwrap().granted
    assert run(adapter.grant, "main-2", 2, "it's me", 0.0).unwrap().granted
    assert not run(adapter.promote, "main-2", 2, "other").unwrap().promoted
    assert run(adapter.promote, "main-2", 2, "it's me").unwrap().promoted


def test_a_wait_ends_when_an_entry_is_received(site, adapter):
    received = run(adapter.get_status, "main-2").unwrap().received
    wait = StatusWait(1, received.offset + 1)
    connect(site, "main-1").execute("CREATE TABLE t (a int)")
    status = run(adapter.wait_status, "main-2", wait, 5.0).unwrap()
    assert status.received > received


def test_a_database_that_is_down_fails_and_comes_back(site, adapter):
    assert isinstance(run(adapter.get_status, "main-3"), Success)
    run(site.servers["main-3"].stop)
    assert not isinstance(run(adapter.get_status, "main-3"), Success)
    run(site.servers["main-3"].start)
    results = (
        run(deferLater, reactor, 0.01, adapter.get_status, "main-3") for _ in range(900)
    )
    assert any(isinstance(result, Success) for result in results)


def test_the_group_task_confirms_a_commit(site, settings, adapter):
    task = run(GroupTask, reactor, settings, adapter, "proxy-1", Random(1))
    run(task.start)
    position = run(task.sample_primary)
    assert position.term == 1
    connect(site, "main-1").execute("CREATE TABLE t (a int)")
    later = run(task.sample_primary)
    assert later > position
    assert run(task.confirm, later, 5.0) is CommitOutcome.CONFIRMED
    assert run(task.wait_applied, "main-2", later, 5.0) is True
    run(task.stop)


def test_a_malformed_row_has_a_finding_for_each_column():
    row = {"name": "b", "role": "king", "term": "x", "received": "1", "history": "7"}
    status, findings = parse_status(row, "a")
    assert status is None
    places = {finding.place for finding in findings}
    assert places >= {"name", "role", "term", "received", "applied", "history"}


def test_a_row_is_parsed():
    row = {
        "name": "a",
        "role": "replica",
        "term": "3",
        "received": "3/9",
        "applied": "1/5",
        "history": "[[1, 0], [3, 6]]",
        "heard_ms": "1500.0",
        "leaving": "t",
    }
    status, findings = parse_status(row, "a")
    assert not findings
    assert status.received == LogPosition(3, 9)
    assert status.heard_age == 1.5
    assert status.leaving
