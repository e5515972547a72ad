"""Proof of a term by witnesses, where a replaced primary continues for a while."""

import pytest

from beryltrack.groups.decider import GroupDecider
from beryltrack.groups.messages import (
    PRIMARY,
    REPLICA,
    DatabaseStatus,
    LeadershipProof,
    LogPosition,
)
from beryltrack.groups.samples import Sample
from beryltrack.groups.view import NEVER

NAMES = ("a", "b", "c")


def make_status(name, role=REPLICA, term=1, offset=5, held=0):
    position = LogPosition(term, offset)
    highest = max(term, held)
    return DatabaseStatus(
        name, role, highest, position, position, (), None, False, held > term
    )


class Group:
    """A decider that observes statuses; the first database leads term 1."""

    def __init__(self, names=NAMES):
        self.decider = GroupDecider("main", names, proof=LeadershipProof.WITNESSES)
        self.observe("a", 1.0, PRIMARY)

    def observe(self, name, sent_at, role=REPLICA, **fields):
        status = make_status(name, role, **fields)
        self.decider.observe_status(status, sent_at, sent_at)

    @property
    def confirmed_at(self):
        return self.decider.view.confirmed_at


def test_the_report_of_a_primary_proves_nothing():
    group = Group()
    group.decider.observe_leadership("a", LogPosition(1, 6), 2.0, 2.0)
    assert group.confirmed_at == NEVER
    assert group.decider.get_needed_position(1.5) is None


def test_one_witness_of_three_proves_the_term_up_to_its_request():
    group = Group()
    group.decider.observe_leadership("a", LogPosition(1, 6), 2.0, 2.0)
    group.decider.observe_leadership("a", LogPosition(1, 7), 4.0, 4.0)
    group.observe("b", 3.0)
    assert group.confirmed_at == 3.0
    assert group.decider.get_needed_position(1.5) == LogPosition(1, 6)
    assert group.decider.get_needed_position(2.5) is None


def test_a_read_at_the_primary_is_a_sample_once_others_confirm_its_term():
    group = Group()
    group.decider.observe_read_position("a", LogPosition(1, 8), 2.0)
    group.observe("c", 2.5)
    assert group.decider.get_needed_position(1.5) == LogPosition(1, 8)


def test_a_replica_held_for_the_next_term_proves_nothing():
    group = Group()
    group.observe("b", 2.0, held=2)
    assert group.confirmed_at == NEVER


def test_a_former_primary_is_no_witness_of_its_own_term():
    group = Group()
    group.observe("a", 2.0, REPLICA)
    assert group.confirmed_at == NEVER


def test_a_term_whose_primary_is_unknown_is_not_proven():
    decider = GroupDecider("main", NAMES, proof=LeadershipProof.WITNESSES)
    for name in NAMES:
        decider.observe_status(make_status(name), 2.0, 2.0)
    assert decider.view.confirmed_at == NEVER


def test_a_term_that_is_over_is_not_proven():
    group = Group()
    group.observe("b", 2.0, PRIMARY, term=2)
    group.observe("c", 3.0, term=1)
    assert group.confirmed_at == NEVER
    group.observe("c", 4.0, term=2)
    assert group.confirmed_at == 4.0


@pytest.mark.parametrize(("size", "needed"), [(2, 1), (4, 2), (5, 2)])
def test_the_witnesses_intersect_each_election_quorum(size, needed):
    names = tuple("abcde"[:size])
    group = Group(names)
    for count, name in enumerate(names[1:], 1):
        group.observe(name, 2.0)
        assert (group.confirmed_at == 2.0) is (count >= needed)


def test_a_database_alone_cannot_be_replaced():
    group = Group(("a",))
    assert group.confirmed_at == 1.0


def test_a_proof_of_another_instance_is_a_proof():
    group = Group()
    group.decider.observe_proof(Sample(LogPosition(1, 9), 3.0), 3.5)
    assert group.confirmed_at == 3.0
    assert group.decider.get_needed_position(2.5) == LogPosition(1, 9)


def test_a_former_primary_leads_no_more_when_its_successor_restarts_empty():
    """Guards against reads and writes at a primary that was replaced."""
    group = Group()
    group.observe("b", 2.0, PRIMARY, term=2, offset=9)
    group.observe("b", 3.0, term=0, offset=0)
    assert group.decider.is_recovering("b")
    view = group.decider.view
    assert (view.term, view.primary) == (2, "")


def test_a_log_with_a_later_term_shows_that_a_primary_was_replaced():
    """Guards against an instance that trusts a former primary since it has started."""
    group = Group()
    group.observe("c", 2.0, term=2, offset=9)
    group.observe("b", 3.0)
    view = group.decider.view
    assert (view.term, view.primary) == (2, "")
    assert group.confirmed_at == NEVER
