"""A group's task with a fake group: samples, ages, waits and commits."""

from beryltrack.groups.messages import LogPosition
from beryltrack.groups.policy import ProbePolicy
from beryltrack.groups.samples import Sample
from beryltrack.groups.view import GroupView, get_database
from beryltrack.transactions.decider import CommitOutcome
from tests.group_site import GroupSite


def test_the_primary_is_found():
    site = GroupSite()
    assert site.task.view.primary == "group-1"
    assert site.task.view.term == 1


def test_ages_are_exact_while_the_group_is_in_use():
    site = GroupSite()
    for _ in range(5):
        site.task.observe_position("group-2", LogPosition(1, 1))
        site.run(0.21)
        assert site.task.get_age("group-2") < 0.2
    site.run(5.0)
    # A sample is proven by the next answer of another database, so the age of
    # an idle group is at most twice its idle interval of 0.5 s.
    assert site.task.get_age("group-2") < 1.05


def test_a_sample_is_taken_after_the_call_and_shared():
    site = GroupSite()
    position = site.write("group-1")
    answers = [site.task.sample_primary() for _ in range(10)]
    assert [site.get_result(each, 0.01) for each in answers] == [position] * 10


def test_a_sample_does_not_wait_for_the_next_probe():
    site = GroupSite(policy=ProbePolicy(0.1, 0.1))
    for step in range(40):
        # The calls are made just before, during and after a probe of the primary.
        site.run(0.079 + step * 0.0001)
        assert site.get_result(site.task.sample_primary(), 0.02) is not None


def test_no_sample_of_a_primary_whose_term_no_majority_confirms():
    site = GroupSite()
    site.group.crash("group-2", silent=True)
    site.group.crash("group-3", silent=True)
    assert site.get_result(site.task.sample_primary(), 3.0) is None


def test_the_age_of_replicas_of_a_cut_off_primary_grows():
    site = GroupSite()
    site.group.crash("group-1", silent=True)
    site.group.crash("group-3", silent=True)
    site.run(1.0)
    assert site.task.get_age("group-2") > 0.9


def test_a_commit_is_confirmed_when_one_replica_of_two_received_it():
    site = GroupSite()
    site.group.crash("group-3", silent=True)
    position = site.write("group-1")
    answer = site.task.confirm(position, 1.0)
    assert site.get_result(answer, 0.1) is CommitOutcome.CONFIRMED


def test_a_commit_that_no_replica_receives_is_unknown_at_the_timeout():
    site = GroupSite(policy=ProbePolicy(10.0, 10.0))
    for name in ("group-2", "group-3"):
        site.network.cut("group-1", name)
    position = site.write("group-1")
    answer = site.task.confirm(position, 0.2)
    assert site.get_result(answer, 0.3) is CommitOutcome.UNKNOWN


def test_a_commit_of_a_cut_off_primary_is_rolled_back_after_the_failover():
    site = GroupSite()
    site.group.isolate("group-1")
    position = site.write("group-1")
    answer = site.task.confirm(position, 3.0)
    assert site.get_result(answer, 2.0) is CommitOutcome.ROLLED_BACK
    assert site.task.view.primary != "group-1"


def test_a_commit_that_outlives_its_primary_is_confirmed_in_the_next_term():
    site = GroupSite()
    site.network.cut("group-2", "proxy-1")
    site.network.cut("group-3", "proxy-1")
    position = site.write("group-1")
    answer = site.task.confirm(position, 5.0)
    site.run(0.01)
    site.group.crash("group-1")
    site.network.heal("group-2", "proxy-1")
    site.network.heal("group-3", "proxy-1")
    assert site.get_result(answer, 4.0) is CommitOutcome.CONFIRMED


def test_a_commit_is_unknown_if_another_database_leads_its_term():
    site = GroupSite()
    answer = site.task.confirm(LogPosition(1, 1), 1.0, "group-2")
    assert site.get_result(answer, 0.0) is CommitOutcome.UNKNOWN


def test_a_reader_waits_until_a_replica_has_applied():
    site = GroupSite()
    position = site.write("group-1")
    answer = site.task.wait_applied("group-2", position, 1.0)
    assert site.get_result(answer, 0.5) is True
    late = site.task.wait_applied("group-2", LogPosition(1, 99), 0.1)
    assert site.get_result(late, 0.2) is False


def test_waiting_makes_no_request_without_progress():
    site = GroupSite()
    sends = []
    site.site.observer = lambda step: sends.append(step.kind == "send")
    site.task.wait_applied("group-2", LogPosition(1, 99), 0.4)
    site.run(0.4)
    # Heartbeats, probes of three databases and polls of at most 50 ms.
    assert sum(sends) < 100


def test_a_hint_names_the_primary_and_proves_nothing():
    site = GroupSite()
    before = site.task.view
    site.task.learn_view(GroupView("group", 7, "group-3", confirmed_at=1e9))
    view = site.task.view
    assert (view.term, view.primary) == (7, "group-3")
    assert view.confirmed_at == before.confirmed_at
    assert get_database(view, "group-3") == get_database(before, "group-3")


def test_stopping_ends_all_waits():
    site = GroupSite()
    commit = site.task.confirm(LogPosition(1, 99), 9.0)
    applied = site.task.wait_applied("group-2", LogPosition(1, 99), 9.0)
    sample = site.task.sample_primary()
    sample.addErrback(lambda failure: "cancelled")
    site.task.stop()
    assert site.get_result(commit, 0.0) is CommitOutcome.UNKNOWN
    assert site.get_result(applied, 0.0) is False
    assert site.get_result(sample, 0.0) == "cancelled"


def count_probes(site, seconds):
    sends = []
    site.site.observer = lambda step: sends.append(step)
    site.run(seconds)
    return sum(step.kind == "send" and step.node == "proxy-1" for step in sends)


def test_an_idle_group_is_asked_less_and_a_loss_is_noticed_as_soon():
    site = GroupSite()
    assert count_probes(site, 5.0) <= 40
    site.task.observe_position("group-2", LogPosition(1, 1))
    assert count_probes(site, 1.0) >= 25
    site.run(1.0)
    assert count_probes(site, 5.0) <= 40
    lost_at = site.site.clock.seconds()
    site.group.crash("group-1", silent=True)
    while site.task.view.term == 1:
        site.run(0.005)
    assert site.site.clock.seconds() - lost_at < 0.52


def test_a_replica_that_is_cut_off_for_long_is_asked_at_the_usual_interval():
    site = GroupSite()
    site.group.isolate("group-3")
    site.run(3.0)
    assert count_probes(site, 5.0) <= 40


def test_a_proof_of_another_instance_replaces_a_sample():
    site = GroupSite(policy=ProbePolicy(10.0, 10.0))
    now = site.task.get_time()
    site.task.observe_proof(Sample(LogPosition(1, 7), now))
    assert site.task.get_needed_position(now) == LogPosition(1, 7)
    assert site.task.view.confirmed_at >= now
    assert site.task.get_proof() == Sample(LogPosition(1, 7), now)


def test_a_proof_of_an_unknown_term_triggers_a_probe():
    site = GroupSite(policy=ProbePolicy(10.0, 10.0))
    confirmed_at = site.task.view.confirmed_at
    asked = site.task.view.databases[0].seen_at
    site.task.observe_proof(Sample(LogPosition(9, 7), site.task.get_time()))
    assert site.task.view.confirmed_at == confirmed_at
    site.run(0.1)
    assert site.task.view.databases[0].seen_at > asked
