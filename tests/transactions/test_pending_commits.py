"""Pending commits while the process is paused."""

import pytest
from twisted.internet.task import Clock

from beryltrack.groups.messages import PRIMARY, LogPosition
from beryltrack.pause_aware_clock import RESUME_GRACE, get_pause_aware_clock
from beryltrack.transactions.decider import CommitOutcome
from beryltrack.transactions.pending_commits import PendingCommits
from tests.transactions.test_decider import make_status

TIMEOUT = 0.8


@pytest.fixture
def waits():
    """A commit at offset 5, received by the primary alone, after a pause of 3 s."""
    clock = Clock()
    waits = PendingCommits(clock, 3)
    get_pause_aware_clock(clock).start_detection()
    waits.observe_status(make_status("a", 1, LogPosition(1, 5), role=PRIMARY))
    answer = waits.wait(LogPosition(1, 5), TIMEOUT, "a")
    clock.advance(3.0)
    return waits, answer, clock


def test_a_receipt_that_arrived_during_a_pause_confirms_its_commit(waits):
    """Guards against commits in doubt whose receipts are read after a pause."""
    commits, answer, _ = waits
    commits.observe_status(make_status("b", 1, LogPosition(1, 5)))
    assert answer.result is CommitOutcome.CONFIRMED


def test_a_commit_without_a_receipt_times_out_as_usual_after_a_pause(waits):
    """Guards against callers that wait indefinitely after a pause."""
    _, answer, clock = waits
    for _ in range(round((TIMEOUT + RESUME_GRACE) / 0.1)):
        clock.advance(0.1)
        get_pause_aware_clock(clock).record_tick()
    assert answer.result is CommitOutcome.UNKNOWN


def test_a_receipt_in_a_later_term_confirms_nothing_after_a_pause(waits):
    """Guards against a replaced primary's commit that is confirmed after a pause."""
    commits, answer, _ = waits
    commits.observe_status(make_status("b", 2, LogPosition(1, 5)))
    assert not answer.called
