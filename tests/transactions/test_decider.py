"""When a commit is confirmed, rolled back, or stays pending."""

from beryltrack.groups.messages import (
    PRIMARY,
    REPLICA,
    DatabaseStatus,
    LogPosition,
    TermStart,
)
from beryltrack.transactions.decider import (
    MAX_HISTORY_TERMS,
    CommitDecider,
    CommitDecision,
    CommitOutcome,
)

FIRST = (TermStart(1, 0),)


def make_status(name, term, end, history=FIRST, role=REPLICA):
    return DatabaseStatus(name, role, term, end, end, history, 0.0, False)


def test_the_primary_and_one_of_two_replicas_are_a_majority():
    decider = CommitDecider(3)
    decider.observe_status(make_status("a", 1, LogPosition(1, 1), role=PRIMARY))
    assert decider.add(7, LogPosition(1, 5)) is None
    assert decider.observe_status(make_status("b", 1, LogPosition(1, 4))) == ()
    decided = decider.observe_status(make_status("b", 1, LogPosition(1, 6)))
    assert decided == (CommitDecision(7, CommitOutcome.CONFIRMED, 1),)
    assert decider.add(8, LogPosition(1, 6)).outcome is CommitOutcome.CONFIRMED


def test_an_unknown_primary_is_not_counted():
    decider = CommitDecider(3)
    assert decider.add(1, LogPosition(1, 5)) is None
    assert decider.observe_status(make_status("b", 1, LogPosition(1, 5))) == ()
    assert decider.observe_status(make_status("c", 1, LogPosition(1, 5)))


def test_a_receipt_of_a_database_that_left_the_term_does_not_count():
    decider = CommitDecider(3)
    decider.observe_status(make_status("a", 1, LogPosition(1, 1), role=PRIMARY))
    decider.add(1, LogPosition(1, 5))
    assert decider.observe_status(make_status("b", 2, LogPosition(1, 5))) == ()


def test_an_old_entry_replicated_by_a_later_primary_waits_for_an_entry_of_its_term():
    """The entry (2, 2) can still be overwritten from a log that ends in term 3."""
    old = (TermStart(1, 0), TermStart(2, 1))
    new = (*old, TermStart(4, 2))
    decider = CommitDecider(5)
    decider.observe_status(make_status("a", 2, LogPosition(2, 2), old, PRIMARY))
    assert decider.add(1, LogPosition(2, 2)) is None
    for name in ("b", "c"):
        assert (
            decider.observe_status(make_status(name, 4, LogPosition(2, 2), old)) == ()
        )
    assert not decider.observe_status(
        make_status("a", 4, LogPosition(4, 3), new, PRIMARY)
    )
    assert not decider.observe_status(make_status("b", 4, LogPosition(4, 3), new))
    decided = decider.observe_status(make_status("c", 4, LogPosition(4, 3), new))
    assert decided == (CommitDecision(1, CommitOutcome.CONFIRMED, 4),)


def test_a_later_primary_without_the_entry_alone_does_not_roll_it_back():
    """A database with the entry may replace it until a majority follows it."""
    later = (TermStart(1, 0), TermStart(2, 3))
    decider = CommitDecider(3)
    decider.add(1, LogPosition(1, 5))
    status = make_status("b", 2, LogPosition(2, 4), later, PRIMARY)
    assert decider.observe_status(status) == ()
    decided = decider.observe_status(make_status("c", 2, LogPosition(2, 4), later))
    assert decided == (CommitDecision(1, CommitOutcome.ROLLED_BACK, 2),)


def test_a_term_older_than_the_reported_history_is_not_decided():
    history = tuple(TermStart(term, term) for term in range(10, 10 + MAX_HISTORY_TERMS))
    end = LogPosition(history[-1].term, history[-1].offset + 1)
    decider = CommitDecider(1)
    decider.observe_status(make_status("a", end.term, end, history, PRIMARY))
    assert decider.add(1, LogPosition(9, 5)) is None
    assert decider.add(2, LogPosition(10, 11)).outcome is CommitOutcome.CONFIRMED
    assert decider.add(3, LogPosition(10, 12)).outcome is CommitOutcome.ROLLED_BACK


def test_one_wait_serves_all_pending_commits():
    decider = CommitDecider(3)
    decider.observe_status(make_status("a", 1, LogPosition(1, 1), role=PRIMARY))
    assert decider.get_wait_offset("b") is None
    for key, offset in ((1, 6), (2, 5), (3, 9)):
        decider.add(key, LogPosition(1, offset))
    assert decider.get_wait_offset("b") == 5
    decided = decider.observe_status(make_status("b", 1, LogPosition(1, 7)))
    assert [decision.key for decision in decided] == [1, 2]
    assert decider.get_wait_offset("b") == 9
    assert decider.get_wait_offset("c") == 9


def test_a_status_without_the_history_of_its_term_decides_nothing():
    decider = CommitDecider(1)
    decider.observe_status(make_status("a", 2, LogPosition(2, 4), FIRST, PRIMARY))
    assert decider.add(1, LogPosition(1, 1)) is None
