"""The status of the fleet, merged from the reports of its instances."""

from beryltrack.command.fleet import build_fleet_status, format_fleet
from beryltrack.command.instances import InstanceAnswer
from beryltrack.daemon.status import ObjectVersion
from beryltrack.metrics.messages import Counters
from tests.daemon.examples import DATABASES, STATUS


def answer(name, **changes):
    status = STATUS._replace(name=name, **changes)
    return InstanceAnswer(name, "a", "live", "", status)


def make_group(term, primary, databases=DATABASES):
    return STATUS.groups[0]._replace(term=term, primary=primary, databases=databases)


def test_group_is_shown_as_reported_for_the_highest_term():
    old = make_group(1, "db1")
    unsure = make_group(2, "")
    fleet = build_fleet_status(
        [answer("p1", groups=(old,)), answer("p2"), answer("p3", groups=(unsure,))]
    )
    (group,) = fleet.groups
    assert (group.term, group.primary) == (2, "db0")
    assert (group.seen_by, group.instances) == (1, 3)


def test_database_is_shown_by_the_newest_report_that_reaches_it():
    lost = tuple(item._replace(reachable=False) for item in DATABASES)
    younger = tuple(item._replace(age=0.1) if item.age else item for item in DATABASES)
    views = [make_group(2, "db0", databases) for databases in (lost, younger)]
    fleet = build_fleet_status(
        answer(f"p{number}", groups=(view,)) for number, view in enumerate(views)
    )
    databases = fleet.groups[0].databases
    assert [item.reachable for item in databases] == [True, True, False]
    assert databases[1].age == 0.1


def test_instance_with_older_settings_is_behind():
    path = STATUS.settings[0].path
    older = (ObjectVersion(path, 8),)
    fleet = build_fleet_status(
        [answer("p1"), answer("p2", settings=older), answer("p3", settings=())]
    )
    behind = [item.behind for item in fleet.instances]
    assert behind == [(), (ObjectVersion(path, 9),), (ObjectVersion(path, 9),)]
    assert "behind on 1 objects" in "\n".join(format_fleet(fleet))


def test_counters_are_summed_and_no_reads_give_no_share():
    fleet = build_fleet_status([answer("p1"), answer("p2")])
    assert fleet.counters == Counters(6, 2, 4, 0, 0, 0, 2)
    assert fleet.replica_share == 0.75
    empty = build_fleet_status([])
    assert empty.counters == Counters(0, 0, 0, 0, 0, 0, 0)
    assert empty.replica_share is None
