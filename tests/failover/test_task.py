"""Elections and hand-overs of a fake group by one or several instances."""

from random import Random

from returns.result import Failure, Success
from twisted.internet.task import Clock, deferLater

from beryltrack.failover.detector import FixedTimeoutDetector
from beryltrack.failover.messages import ElectionKind
from beryltrack.failover.task import FailoverTask
from beryltrack.groups.messages import ControlFailure, DatabaseStatus, LogPosition
from beryltrack.groups.task import GroupTask
from beryltrack.groups.view import DatabaseView, GroupView
from beryltrack_bench.history import Promoted
from tests.group_site import GroupSite, make_settings


def make_site(**options):
    site = GroupSite(**options)
    site.reports = []
    for task in site.tasks.values():
        task.subscribe_failover(site.reports.append)
    return site


def test_one_of_many_instances_replaces_a_lost_primary():
    site = make_site(proxies=5)
    site.group.crash("group-1", silent=True)
    site.run(1.0)
    assert [report.kind for report in site.reports] == [ElectionKind.LOST]
    assert site.reports[0].term == 2
    primaries = {task.view.primary for task in site.tasks.values()}
    assert primaries == {site.reports[0].primary}


def test_an_instance_that_does_not_reach_the_primary_does_not_replace_it():
    site = make_site(proxies=2)
    site.network.cut_both("proxy-1", "group-1")
    site.run(4.0)
    assert site.group.primary.name == "group-1"
    assert site.reports == []


def test_a_cut_off_replica_causes_no_failover_and_catches_up():
    site = make_site(proxies=2)
    site.group.isolate("group-3")
    site.run(2.0)
    site.group.heal("group-3")
    position = site.write("group-1")
    site.run(1.0)
    assert site.reports == []
    assert site.group.databases["group-3"].log.received == position


def test_the_old_primary_follows_and_its_unconfirmed_entries_are_discarded():
    site = make_site()
    site.group.isolate("group-1")
    site.write("group-1", "never acknowledged")
    site.run(1.0)
    site.write(site.task.view.primary, "kept")
    site.group.heal("group-1")
    site.run(0.5)
    assert site.group.databases["group-1"].get_keys() == ("kept",)
    assert site.task.view.databases[0].role == "replica"


def test_a_leaving_primary_hands_over_and_loses_nothing():
    site = make_site(proxies=3)
    site.write("group-1", "first")
    site.group.databases["group-1"].set_leaving(True)
    site.run(1.0)
    assert [report.kind for report in site.reports] == [ElectionKind.HAND_OVER]
    assert site.group.primary.name != "group-1"
    assert site.group.primary.get_keys() == ("first",)


def test_a_drained_primary_hands_over():
    site = make_site(proxies=1)
    site.task.set_draining(frozenset(("group-1",)))
    site.run(1.0)
    assert site.group.primary.name != "group-1"
    site.run(2.0)
    assert len(site.reports) == 1


def test_a_hand_over_waits_until_the_replica_has_caught_up():
    site = make_site()
    primary = site.group.databases["group-1"]
    for name in ("group-2", "group-3"):
        site.network.cut("group-1", name)
    site.write("group-1", "late")
    site.task.observe_position("group-1", LogPosition(1, 2))
    primary.set_leaving(True)
    site.run(0.2)
    assert not primary.log.can_write()
    assert site.reports == []
    for name in ("group-2", "group-3"):
        site.network.heal("group-1", name)
    site.run(0.1)
    assert site.reports[-1].kind is ElectionKind.HAND_OVER
    assert "late" in site.group.primary.get_keys()


class SlowReplicas:
    """Control requests to a group whose replicas receive no further entries."""

    def __init__(self, clock):
        self.clock = clock
        self.calls = []

    async def stop_writes(self, database, term):
        self.calls.append("stop_writes")
        end = LogPosition(1, 9)
        return Success(DatabaseStatus(database, "primary", 1, end, end, (), 0.0, True))

    async def wait_status(self, database, wait, timeout):
        self.calls.append("wait_status")
        await deferLater(self.clock, min(timeout, 0.4))
        end = LogPosition(1, 5)
        return Success(DatabaseStatus(database, "replica", 1, end, end, (), 0.0, False))

    async def grant(self, database, term, candidate, lost_after):
        self.calls.append("grant")
        return Failure(ControlFailure(database, "not expected"))


def test_a_hand_over_is_aborted_if_the_replica_does_not_catch_up():
    clock = Clock()
    adapter = SlowReplicas(clock)
    names = ("a", "b", "c")
    delegate = GroupTask(clock, make_settings(names), adapter, "n1", Random(1))
    task = FailoverTask(
        clock,
        make_settings(names),
        adapter,
        "n1",
        Random(1),
        delegate,
        FixedTimeoutDetector(0.5),
    )
    fields = {"term": 1, "reachable": True, "heard_age": 0.0, "seen_at": 9.0}
    leader = DatabaseView("a", "primary", **fields, leaving=True)
    replicas = (DatabaseView("b", **fields), DatabaseView("c", **fields))
    view = GroupView("group", 1, "a", databases=(leader, *replicas))
    task.observe_view(view)
    assert task.busy
    while task.busy and clock.seconds() < 2.0:
        clock.advance(0.1)
    assert not task.busy
    assert adapter.calls == ["stop_writes", *["wait_status"] * 2]
    task.observe_view(view)
    assert not task.busy


def test_the_primary_is_reelected_after_a_term_without_a_primary():
    site = make_site(proxies=2)
    site.group.databases["group-3"].grant(2, "vanished", 0.0)
    site.run(3.0)
    assert [report.kind for report in site.reports] == [ElectionKind.RECLAIM]
    assert site.reports[0].primary == "group-1"
    assert {item.log.term for item in site.group.databases.values()} == {3}


def test_the_next_candidate_succeeds_after_one_that_failed_with_its_grants():
    site = make_site(proxies=1)
    site.group.crash("group-1", silent=True)
    for name in ("group-2", "group-3"):
        site.group.databases[name].grant(2, "vanished", 0.0)
    site.run(2.0)
    assert site.group.primary.log.term == 3
    assert site.reports[0].kind is ElectionKind.LOST


def test_no_primary_is_chosen_without_a_majority():
    site = make_site(proxies=2)
    site.group.crash("group-1", silent=True)
    site.group.crash("group-2", silent=True)
    site.run(3.0)
    assert site.reports == []
    site.group.restart("group-2")
    site.run(2.0)
    assert site.group.primary.log.term > 1


def test_competing_elections_of_many_instances_converge():
    site = make_site(proxies=6)
    for task in site.tasks.values():
        task.set_instances(
            ()
        )  # No instance knows the others, so all are first in rank.
    history = []
    for database in site.group.databases.values():
        database._record = history.append
    site.group.crash("group-1", silent=True)
    site.run(2.0)
    assert sum(isinstance(event, Promoted) for event in history) <= 2
    terms = {task.view.term for task in site.tasks.values()}
    assert terms == {site.group.primary.log.term}
    assert site.write(site.group.primary.name).term == terms.pop()


def test_the_most_advanced_replica_is_chosen():
    site = make_site()
    site.network.cut("group-1", "group-2")
    position = site.write("group-1")
    site.group.crash("group-1", silent=True)
    site.run(1.0)
    assert site.group.primary.name == "group-3"
    assert site.group.primary.log.get_position(2) == position == LogPosition(1, 2)
