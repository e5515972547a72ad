"""When an instance holds an election, and which database it chooses."""

from random import Random

import pytest

from beryltrack.failover.decider import (
    DEFAULT_POLICY,
    FailoverDecider,
    FailoverPolicy,
    choose_primary,
    get_successor,
)
from beryltrack.failover.detector import (
    FixedTimeoutDetector,
    compute_loss_time,
    is_primary_lost,
)
from beryltrack.failover.messages import ElectionKind
from beryltrack.failover.ranking import compute_rank
from beryltrack.groups.messages import (
    PRIMARY,
    REPLICA,
    DatabaseStatus,
    GrantReply,
    LogPosition,
)
from beryltrack.groups.view import DatabaseView, GroupView

NODES = ("n1", "n2", "n3")
DETECTOR = FixedTimeoutDetector(0.5)


def make_replica(name, heard_age=0.0, term=1, **fields):
    seen = {"reachable": True, "seen_at": 10.0, **fields}
    return DatabaseView(name, REPLICA, term, heard_age=heard_age, **seen)


def make_view(*replicas, **leader):
    fields = {"term": 1, "reachable": True, "seen_at": 10.0, "heard_age": 0.0}
    primary = DatabaseView("a", PRIMARY, **{**fields, **leader})
    return GroupView("g", 1, "a", databases=(primary, *replicas))


HEALTHY = make_view(make_replica("b"), make_replica("c"))
DEAD = make_view(make_replica("b", 0.5), make_replica("c", 0.5), reachable=False)


def make_decider(node="n1", nodes=NODES):
    decider = FailoverDecider("g", node, DETECTOR, Random(1))
    decider.set_instances(nodes)
    return decider


def get_first_ranked():
    """Return the instance that is first in rank in term 1."""
    return min(NODES, key=lambda node: compute_rank(node, NODES, "g", 1))


def test_ranks_are_unique():
    ranks = {compute_rank(node, NODES, "g", 1) for node in NODES}
    assert ranks == {0, 1, 2}


def test_a_healthy_group_needs_no_election():
    assert make_decider().decide(HEALTHY, 10.0) is None


def test_only_the_instance_of_rank_zero_acts_at_once():
    elections = {node: make_decider(node).decide(DEAD, 10.0) for node in NODES}
    assert [node for node in NODES if elections[node]] == [get_first_ranked()]
    election = elections[get_first_ranked()]
    assert (election.kind, election.term) == (ElectionKind.LOST, 2)
    assert election.lost_after == 0.5


def test_an_instance_of_higher_rank_acts_when_the_first_does_not():
    last = max(NODES, key=lambda node: compute_rank(node, NODES, "g", 1))
    decider = make_decider(last)
    assert decider.decide(DEAD, 10.0) is None
    due = 10.0 + 2 * DEFAULT_POLICY.stagger
    assert decider.decide(DEAD, due - 0.001) is None
    assert decider.decide(DEAD, due + 0.001) is not None


def test_the_loss_time_is_the_same_for_instances_that_asked_at_different_times():
    view = make_view(make_replica("b", 0.7), make_replica("c", 0.9), reachable=False)
    assert compute_loss_time(view, DETECTOR, 10.0) == pytest.approx(9.8)
    later = view._replace(
        databases=tuple(
            item._replace(heard_age=item.heard_age + 0.05, seen_at=10.05)
            for item in view.databases
        )
    )
    assert compute_loss_time(later, DETECTOR, 10.06) == pytest.approx(9.8)


def test_due_is_the_time_to_decide_again():
    last = max(NODES, key=lambda node: compute_rank(node, NODES, "g", 1))
    decider = make_decider(last)
    assert decider.due < 10.0
    decider.decide(DEAD, 10.0)
    assert decider.due == pytest.approx(10.0 + 2 * DEFAULT_POLICY.stagger)
    decider.decide(HEALTHY, 10.0)
    assert decider.due < 10.0


def test_the_grant_timeout_doubles_after_each_failure():
    decider = make_decider(nodes=("n1",))
    waits = []
    for _ in range(6):
        election = decider.decide(DEAD, 10.0)
        waits.append(election.grant_timeout)
        decider.observe_outcome(election, False, 1.0)
    assert waits == pytest.approx([0.1, 0.2, 0.4, 0.8, 1.6, 2.0])


@pytest.mark.parametrize(
    "view",
    [
        make_view(make_replica("b"), make_replica("c"), reachable=False),
        make_view(make_replica("b", 0.6), make_replica("c"), reachable=False),
        make_view(make_replica("b", 0.6), make_replica("c", 0.6, seen_at=9.0)),
        make_view(make_replica("b", 0.6), make_replica("c", 0.6, reachable=False)),
    ],
    ids=["own link", "one replica", "old answer", "silent replica"],
)
def test_no_loss_without_recent_reports_of_a_majority(view):
    assert not is_primary_lost(view, DETECTOR, 9.5)
    assert make_decider(nodes=("n1",)).decide(view, 10.0) is None


def test_no_election_within_the_settle_time_of_another_attempt():
    decider = make_decider(nodes=("n1",))
    decider.decide(HEALTHY, 9.0)
    view = make_view(make_replica("b", 0.6, term=2), make_replica("c", 0.6, term=2))
    assert decider.decide(view, 10.0) is None
    assert decider.decide(view, 10.0 + DEFAULT_POLICY.settle_time + 0.001).term == 3


def test_failed_attempts_back_off_exponentially():
    decider = make_decider(nodes=("n1",))
    first, last = DEFAULT_POLICY.initial_backoff, DEFAULT_POLICY.max_backoff
    now = 1.0
    for mean in (first, 2 * first, 4 * first, 8 * first, 16 * first, last, last):
        election = decider.decide(DEAD, now)
        decider.observe_outcome(election, False, now)
        assert decider.decide(DEAD, now + 0.49 * mean) is None
        now += 1.51 * mean
        assert decider.decide(DEAD, now) is not None


def test_each_attempt_has_a_unique_candidate_name():
    decider = make_decider(nodes=("n1",))
    assert decider.decide(DEAD, 10.0).candidate != decider.decide(DEAD, 10.0).candidate


def test_a_leaving_primary_hands_over_to_the_most_advanced_replica():
    replicas = (
        make_replica("b", received=LogPosition(1, 7)),
        make_replica("c", received=LogPosition(1, 9)),
        make_replica("d", received=LogPosition(1, 11), leaving=True),
    )
    view = make_view(*replicas, leaving=True)
    election = make_decider(nodes=("n1",)).decide(view, 10.0)
    assert (election.kind, election.preferred) == (ElectionKind.HAND_OVER, "c")
    assert (election.primary, election.primary_term) == ("a", 1)
    assert election.lost_after == 0.0


def test_no_hand_over_if_all_are_leaving():
    replicas = (make_replica("b", leaving=True), make_replica("c", leaving=True))
    view = make_view(*replicas, leaving=True)
    assert get_successor(view) is None
    assert make_decider(nodes=("n1",)).decide(view, 10.0) is None


def test_a_replica_that_refuses_its_primary_is_reclaimed_after_a_while():
    decider = make_decider(nodes=("n1",))
    view = make_view(make_replica("b"), make_replica("c", 0.9, term=2))
    assert decider.decide(view, 10.0) is None
    election = decider.decide(view, 10.0 + DEFAULT_POLICY.max_status_age)
    assert (election.kind, election.term) == (ElectionKind.RECLAIM, 3)
    assert election.preferred == "a"


@pytest.mark.parametrize(
    "view",
    [
        make_view(make_replica("b", 0.1, term=2), make_replica("c", reachable=False)),
        make_view(make_replica("b", 0.9, term=2), make_replica("c", 0.9, term=2)),
        make_view(make_replica("b"), make_replica("c", 0.9, term=2), seen_at=9.0),
    ],
    ids=["hears a later primary", "no majority follows", "old answer of the primary"],
)
def test_no_reclaim_while_a_later_primary_may_be_active(view):
    decider = make_decider(nodes=("n1",))
    for now in (10.0, 10.4):
        election = decider.decide(view, now)
        assert election is None or election.kind is not ElectionKind.RECLAIM


def test_a_primary_is_reclaimed_also_while_another_database_is_lost():
    refusing = make_replica("b", heard_age=3.0, term=2)
    lost = make_replica("c", heard_age=0.0, reachable=False, seen_at=1.0)
    decider = make_decider(get_first_ranked())
    view = make_view(refusing, lost)
    assert decider.decide(view, 10.0) is None
    later = make_view(refusing._replace(seen_at=11.0), lost, seen_at=11.0)
    election = decider.decide(later, 11.0)
    assert (election.kind, election.term) == (ElectionKind.RECLAIM, 3)


def make_reply(name, term, offset, granted=True, leaving=False):
    end = LogPosition(term, offset)
    status = DatabaseStatus(name, REPLICA, 9, end, end, (), 0.0, leaving)
    return GrantReply(granted, status)


def test_the_log_with_the_highest_last_term_is_chosen():
    replies = [make_reply("a", 1, 99), make_reply("b", 2, 5)]
    assert choose_primary(replies, 3, "a", frozenset()) == "b"


def test_no_database_is_chosen_without_a_majority():
    replies = [make_reply("a", 1, 9), make_reply("b", 2, 5, granted=False)]
    assert choose_primary(replies, 3, "", frozenset()) is None


def test_an_unwanted_database_is_chosen_only_if_no_other_can_lead():
    replies = [make_reply("a", 1, 9), make_reply("b", 1, 8), make_reply("c", 1, 8)]
    assert choose_primary(replies, 3, "", frozenset()) == "a"
    assert choose_primary(replies, 3, "", frozenset("a")) == "b"
    assert choose_primary(replies[:2], 3, "", frozenset("a")) == "a"
    leaving = [replies[0], make_reply("b", 1, 9, leaving=True)]
    assert choose_primary(leaving, 3, "", frozenset()) == "a"


def make_view_after_two_losses(heard_age):
    """Return a view whose term 2 primary is lost and term 1 primary is back."""
    deposed = DatabaseView("a", PRIMARY, 1, reachable=True, seen_at=10.0, heard_age=0.0)
    gone = DatabaseView("b", PRIMARY, 2, reachable=False, seen_at=5.0)
    replica = make_replica("c", heard_age, term=2)
    return GroupView("g", 2, "b", databases=(deposed, gone, replica))


def test_a_deposed_primary_counts_as_one_that_lost_its_primary():
    assert is_primary_lost(make_view_after_two_losses(0.5), DETECTOR, 9.0)
    assert not is_primary_lost(make_view_after_two_losses(0.1), DETECTOR, 9.0)


def test_a_promotion_that_the_replicas_have_not_heard_of_is_no_loss():
    view = make_view_after_two_losses(0.6)
    databases = tuple(item._replace(reachable=True) for item in view.databases)
    assert not is_primary_lost(view._replace(databases=databases), DETECTOR, 9.0)
    heard = databases[2]._replace(received=LogPosition(2, 5))
    databases = (*databases[:2], heard)
    assert is_primary_lost(view._replace(databases=databases), DETECTOR, 9.0)


def test_a_deposed_primary_is_asked_although_it_hears_itself():
    decider = make_decider(nodes=("n1",))
    view = make_view_after_two_losses(0.6)
    times = [10.0 + step / 100 for step in range(50)]
    election = next(filter(None, (decider.decide(view, now) for now in times)))
    assert election.kind is ElectionKind.LOST
    assert (election.term, election.deposed) == (3, ("a",))
    assert election.lost_after > 0.0


def test_a_fenced_quorum_overlaps_each_majority_that_can_confirm_a_commit():
    fenced, plain = FailoverPolicy(has_authority=True), FailoverPolicy()
    sizes = range(1, 8)
    assert [plain.get_quorum(size) for size in sizes] == [1, 2, 2, 3, 3, 4, 4]
    assert [fenced.get_quorum(size) for size in sizes] == [1, 1, 2, 2, 3, 3, 4]
    assert all(fenced.get_quorum(n) + plain.get_quorum(n) > n for n in sizes)


def test_a_replica_held_for_an_election_that_failed_is_reclaimed():
    held = make_replica("b", term=2, is_held=True)
    view = make_view(held, make_replica("c"), is_role_fenced=True)
    decider = make_decider(get_first_ranked())
    assert decider.decide(view, 10.0) is None
    again = view._replace(
        databases=tuple(item._replace(seen_at=20.0) for item in view.databases)
    )
    election = decider.decide(again, 20.0)
    assert election.kind is ElectionKind.RECLAIM and election.preferred == "a"


def test_a_replica_that_stays_held_in_the_primarys_term_is_reclaimed():
    """Guards against a hold that nobody ends: the replica would receive nothing."""
    held = make_replica("b", term=1, is_held=True)
    view = make_view(held, make_replica("c"), is_role_fenced=True)
    kinds = []
    for policy in (FailoverPolicy(has_authority=True), FailoverPolicy()):
        decider = FailoverDecider("g", "n1", DETECTOR, Random(1), policy)
        decider.decide(view, 10.0)
        kinds.append(decider.decide(view, 10.0 + policy.reclaim_after))
    assert kinds[0].kind is ElectionKind.RECLAIM and kinds[1] is None


def test_an_instance_that_is_no_candidate_holds_no_election():
    decider = make_decider(nodes=("n1",))
    decider.set_instances(("n2",), False)
    assert decider.decide(DEAD, 10.0) is None
    assert not decider.is_first
