"""The pools of a line database and the load reports of its group's owners."""

import random
from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from beryltrack.connections.messages import PoolRefused, RefusalReason
from beryltrack.daemon import line_group_factory
from beryltrack.daemon.line_group_factory import LineGroupFactory
from beryltrack.daemon.node_policies import make_policies
from beryltrack.daemon.zone_traffic import ZoneTraffic
from beryltrack.load.messages import DatabaseReport, Demand
from beryltrack.load.reports import TimedReport
from beryltrack.relay.directory import RelayDirectory
from beryltrack.relay.owners import Peer
from beryltrack.settings.mechanisms import Mechanism
from beryltrack.settings.messages import DatabaseSettings, Endpoint, GroupSettings
from tests.connections.test_task import get_result

DATABASE = DatabaseSettings("db-1", Endpoint("10.0.0.9", 1), "z", 40, 3, False)
DEMAND = Demand(1, 0.25, 0.8)


def make_peer(name):
    return Peer(name, "z", Endpoint(name, 7000))


class Site:
    """One of seventy-one instances; it does not own the group that it uses."""

    def __init__(self, monkeypatch, *disabled):
        self.clock, self.opened = Clock(), []
        monkeypatch.setattr(line_group_factory, "connect_line_target", self.connect)
        directory = RelayDirectory(make_peer("me"), self.clock.seconds, 8)
        directory.set_peers([make_peer(f"n{each}") for each in range(70)])
        names = (f"g{each}" for each in range(100))
        group = next(each for each in names if not directory.is_owner(each, 40))
        self.owner = directory.choose_via(group, "db-1", 40).name
        self.factory = LineGroupFactory(
            self.clock,
            "me",
            None,
            None,
            directory,
            random.Random(3),
            True,
            make_policies(True, frozenset(disabled)),
            SimpleNamespace(spend=lambda account, now: 0.0, refund=None),
            7,
            ZoneTraffic(self.clock, "z"),
        )
        settings = GroupSettings(group, "", (DATABASE,), "", "", 0.0, 0.5)
        self.access = self.factory.make_pool(settings, DATABASE)

    def connect(self, reactor, endpoint, *args):
        self.opened.append(endpoint.host)
        return Deferred()

    def report_wait(self, wait):
        report = TimedReport(DatabaseReport(4, 4, (wait,), 0.01, 7), 1.0)
        self.factory.owner_loads.observe(
            self.owner, "db-1", report, self.clock.seconds()
        )


def test_a_reported_long_wait_is_refused_without_asking_the_owner(monkeypatch):
    site = Site(monkeypatch)
    site.report_wait(3.0)
    with pytest.raises(PoolRefused) as refused:
        get_result(site.access.acquire(0.8, DEMAND))
    assert refused.value.refusal.reason is RefusalReason.OWNER_FULL
    assert site.opened == []


def test_an_owner_with_an_expired_report_is_asked(monkeypatch):
    site = Site(monkeypatch)
    site.report_wait(3.0)
    site.clock.advance(1.0)
    site.access.acquire(1.8, DEMAND)
    assert site.opened == [site.owner]


def test_without_owner_reports_each_operation_asks_the_owner(monkeypatch):
    site = Site(monkeypatch, Mechanism.OWNER_REPORTS)
    site.report_wait(3.0)
    site.access.acquire(0.8, DEMAND)
    assert site.opened == [site.owner]


def test_the_instances_own_load_comes_from_its_pools(monkeypatch):
    site = Site(monkeypatch)
    assert site.factory.owner_loads.get_service_time("db-1") == 0.0
    report = DatabaseReport(4, 4, (0.2,), 0.03, 7)
    monkeypatch.setattr(type(site.access), "get_report", lambda access: report)
    assert site.factory.owner_loads.get_service_time("db-1") == 0.03
    assert site.factory.owner_loads.get_wait("", "db-1", 2) == 0.2
