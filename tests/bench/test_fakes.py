"""How crashes, pauses and cut links affect calls and replication of the fakes."""

from random import Random

import pytest
from returns.result import Failure, Success
from twisted.internet.defer import ensureDeferred
from twisted.internet.error import ConnectionLost

from beryltrack.groups.adapter import StatusWait
from beryltrack.groups.messages import LogPosition
from beryltrack.objects.messages import ErrorKind
from beryltrack_bench.deployment import load_deployment, parse_deployment
from beryltrack_bench.fakes.database import WriteRefused
from beryltrack_bench.fakes.group import FakeAdapter, FakeGroup, make_network
from beryltrack_bench.fakes.nodes import Site
from beryltrack_bench.fakes.platform import FakePlatform, FakePlatformClient


@pytest.fixture
def site():
    return Site()


@pytest.fixture
def group(site):
    deployment = load_deployment("lectora")
    network = make_network(site, deployment, Random(1))
    group = FakeGroup(site, network, deployment, Random(1))
    group.start()
    site.run_until(0.1)
    return group


@pytest.fixture
def proxy(site):
    return site.add_node("proxy-1", "scl-a")


@pytest.fixture
def adapter(group, proxy):
    return FakeAdapter(group, proxy)


def run(site, answer, seconds=3.0):
    results = []
    ensureDeferred(answer).addBoth(results.append)
    site.run_until(site.clock.seconds() + seconds)
    return results[0] if results else None


def test_a_write_reaches_all_replicas(site, group, proxy):
    assert run(site, group.write(proxy, "group-1", "k")) == LogPosition(1, 2)
    assert [each.get_keys() for each in group.databases.values()] == [("k",)] * 3


def test_a_replica_refuses_writes(site, group, proxy):
    assert run(site, group.write(proxy, "group-2", "k")).check(WriteRefused)


def test_a_call_to_a_crashed_process_fails_at_once(site, group, proxy, adapter):
    group.crash("group-1")
    assert run(site, group.read(proxy, "group-1"), 0.1).check(ConnectionLost)
    failed = run(site, adapter.get_status("group-1"), 0.1)
    assert failed.failure().database == "group-1"


def test_a_crash_breaks_the_call_in_progress(site, group, proxy):
    answer = group.write(proxy, "group-1", "k")
    group.crash("group-1")
    assert run(site, answer, 0.1).check(ConnectionLost)


def test_a_call_to_a_lost_instance_times_out(site, group, adapter):
    group.crash("group-1", silent=True)
    assert run(site, adapter.get_status("group-1"), 0.1) is None
    assert isinstance(run(site, adapter.get_status("group-1")), Failure)


def test_a_frozen_database_answers_after_the_freeze(site, group, adapter):
    group.databases["group-1"].node.freeze(0.5)
    assert run(site, adapter.get_status("group-1"), 0.4) is None
    assert run(site, adapter.get_status("group-1")).unwrap().name == "group-1"


def test_an_isolated_primary_goes_on_without_replication(site, group, proxy, adapter):
    group.isolate("group-1")
    assert run(site, group.write(proxy, "group-1", "k")) == LogPosition(1, 2)
    status = run(site, adapter.get_status("group-2")).unwrap()
    assert status.received == LogPosition(1, 1)
    assert status.heard_age > 1.0


def test_a_returning_primary_loses_its_unreplicated_writes(site, group, proxy, adapter):
    group.isolate("group-1")
    run(site, group.write(proxy, "group-1", "lost"))
    for name in ("group-2", "group-3"):
        assert run(site, adapter.grant(name, 2, "p", 0.5)).unwrap().granted
    assert run(site, adapter.promote("group-2", 2, "p")).unwrap().promoted
    group.heal("group-1")
    run(site, group.write(proxy, "group-2", "kept"))
    assert [each.get_keys() for each in group.databases.values()] == [("kept",)] * 3


def test_a_long_poll_answers_when_the_position_is_reached(site, group, proxy, adapter):
    poll = ensureDeferred(adapter.wait_status("group-2", StatusWait(1, 2), 10.0))
    site.run_until(site.clock.seconds() + 1.0)
    assert not poll.called
    run(site, group.write(proxy, "group-1", "k"), 0.1)
    assert poll.result.unwrap().received == LogPosition(1, 2)


def test_all_faults_of_a_deployment_are_found_at_once():
    deployment, findings = parse_deployment('{"name": "", "zones": []}', "x.json")
    assert deployment is None
    assert {finding.place for finding in findings} == {"/", "/name", "/zones"}


@pytest.fixture
def platform(site):
    return FakePlatform(site.add_node("platform", "scl-a"))


@pytest.fixture
def client(site, platform, proxy):
    network = make_network(site, load_deployment("lectora"), Random(1))
    return FakePlatformClient(platform, network, proxy)


def test_the_platform_changes_an_object_only_at_the_expected_version(site, client):
    assert run(site, client.put("x", 1, 0)) == Success(1)
    assert run(site, client.put("x", 2, 0)).failure().kind == ErrorKind.CONFLICT
    assert run(site, client.put("x", 2, 1)) == Success(2)
    assert run(site, client.get("x")).unwrap().value == 2


def test_an_answer_of_the_platform_is_lost_after_its_effect(site, platform, client):
    platform.loses_answers = True
    assert run(site, client.put("x", 1, 0)).failure().kind == ErrorKind.UNKNOWN
    platform.loses_answers = False
    assert run(site, client.get("x")).unwrap().version == 1


def test_a_watch_answers_at_a_change(site, client):
    watch = ensureDeferred(client.watch("x", 0, 20.0))
    run(site, client.put("x", 1, 0))
    assert [item.path for item in watch.result.unwrap().objects] == ["x"]


def test_a_platform_that_is_down_refuses_and_changes_nothing(site, platform, client):
    platform.is_down = True
    assert run(site, client.put("x", 1, 0)).failure().kind == ErrorKind.REFUSED
    platform.is_down = False
    assert run(site, client.get("x")) == Success(None)
