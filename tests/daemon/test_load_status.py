"""The status page: queues, limits, and the owners of groups and accounts."""

import json
import math
from types import SimpleNamespace

from prometheus_client.parser import text_string_to_metric_families

from beryltrack.connections.messages import PoolLoad, RefusalReason
from beryltrack.daemon.load_status import LoadView, make_status_page, to_json_value
from beryltrack.daemon.plain_pages import JSON
from beryltrack.load.gate_status import GateStatus
from beryltrack.load.gate_task import GateCounters
from beryltrack.load.messages import DatabaseReport
from beryltrack.relay.directory import RelayDirectory
from beryltrack.settings.messages import GroupSettings
from tests.daemon.test_group_connections import DATABASE
from tests.daemon.test_silent_store import Site
from tests.relay.test_directory import make_peer

REPORT = DatabaseReport(3, 2, (0.0, 0.25), 0.01, 1)

COUNTERS = GateCounters(
    (0, 7), {RefusalReason.TOO_LATE: 1}, {RefusalReason.QUEUE_FULL: 2}
)


class OwnerLoads:
    """Estimates a wait of a tenth of a second per step of priority."""

    def get_wait(self, owner, database, priority):
        return priority / 10

    def get_service_time(self, database):
        return 0.0


def build(others, report=None, limit=20, least_connections=None):
    directory = RelayDirectory(make_peer("me"), lambda: 100.0, 8)
    directory.set_peers([make_peer(f"n{number}") for number in range(others)])
    directory.set_accounts(least_connections)
    item = DATABASE._replace(max_connections=limit)
    runtime = SimpleNamespace(
        settings=GroupSettings("orders", "", (item,), "", "", 0.0, 0.5),
        view=SimpleNamespace(term=4, primary="a"),
        pools={
            "a": SimpleNamespace(
                load=PoolLoad(5, 5, 4, 7, math.inf, 0.1),
                get_report=lambda: report,
                get_counters=lambda: report and COUNTERS,
            )
        },
    )
    view = LoadView(directory, lambda: [runtime], OwnerLoads())
    return view.build("me", "z", "live", 58)


def test_in_a_small_fleet_each_instance_is_its_own_owner():
    status = build(2)
    (group,) = status.groups
    assert (group.owners, group.way) == ((), "")
    assert (group.term, group.primary) == (4, "a")
    (database,) = group.databases
    assert (database.busy, database.waiting, database.limit) == (4, 7, 5)
    assert database.waits == ()
    assert status.gates == () and status.account_slots == {}


def test_in_a_large_fleet_the_status_shows_owners_and_expected_waits():
    (group,) = build(60, limit=10).groups
    assert group.way in group.owners and "me" not in group.owners
    assert group.databases[0].waits == (0.0, 0.1, 0.2, 0.3)


def test_an_owner_shows_what_its_gates_report():
    (gate,) = build(2, REPORT).gates
    assert gate == GateStatus(
        "orders", "a", 3, 2, (0, 7), (0.0, 0.25), COUNTERS.refused, COUNTERS.put_out
    )


def test_account_slots_are_counted_by_owner():
    slots = build(30, least_connections=40).account_slots
    assert sum(slots.values()) == 64 and len(slots) > 1


def test_the_page_is_json():
    page = make_status_page(lambda: build(2, REPORT))()
    assert page.code == 200 and page.content_type == JSON
    status = json.loads(page.body)
    assert status["instance"] == "me" and status["settings_version"] == 58
    assert status["gates"][0]["waits"] == [0.0, 0.25]


def test_refusal_reasons_and_infinite_numbers_convert_to_json():
    gate = GateStatus("g", "a", 1, 0, (), (math.inf,), {RefusalReason.TOO_LATE: 2})
    shown = json.loads(json.dumps(to_json_value(gate)))
    assert shown["waits"] == [None] and shown["refused"] == {"too_late": 2}


def test_a_running_instance_shows_its_groups_and_describes_its_metrics(monkeypatch):
    site = Site(monkeypatch)
    site.advance(2.0)
    status = site.node._get_status()
    assert status.state == "live" and status.settings_version == 7
    assert [group.name for group in status.groups] == ["huvo"]
    families = text_string_to_metric_families(site.node.metrics.render().decode())
    assert all(family.documentation for family in families)
