"""The step after a failed run is safe and reported truthfully."""

import itertools

from beryltrack.requests.outcomes import (
    NextStep,
    RequestState,
    RunFailure,
    decide_after_commit,
    decide_after_failure,
)
from beryltrack.transactions.decider import CommitOutcome

ALL_STATES = [
    RequestState(*flags) for flags in itertools.product((False, True), repeat=5)
]
WRITE = RequestState(False, False, True, False, False)


def test_a_write_that_may_have_run_is_never_repeated_blindly():
    lost = RunFailure(True, "")
    steps = {decide_after_failure(s, lost) for s in ALL_STATES if not s.is_read}
    assert NextStep.RETRY not in steps


def test_a_lost_write_is_unknown_unless_the_ledger_can_resolve_it():
    lost = RunFailure(True, "")
    assert decide_after_failure(WRITE, lost) == NextStep.UNKNOWN
    at_most_once = WRITE._replace(is_at_most_once=True)
    assert decide_after_failure(at_most_once, lost) == NextStep.RESOLVE


def test_a_write_that_was_not_sent_is_repeated():
    assert decide_after_failure(WRITE, RunFailure(False, "")) == NextStep.RETRY


def test_a_request_is_not_repeated_after_a_part_of_its_answer_was_sent():
    failures = [RunFailure(True, ""), RunFailure(True, "25006")]
    answered = [s for s in ALL_STATES if s.is_answered]
    steps = {decide_after_failure(s, f) for s in answered for f in failures}
    assert NextStep.RETRY not in steps


def test_a_transaction_that_lost_its_target_before_commit_is_rolled_back():
    state = RequestState(False, True, False, False, False)
    assert decide_after_failure(state, RunFailure(True, "")) == NextStep.ROLLED_BACK


def test_a_lost_commit_is_not_reported_as_rolled_back():
    state = RequestState(False, True, True, False, False)
    assert decide_after_failure(state, RunFailure(True, "")) == NextStep.UNKNOWN


def test_a_statement_error_is_passed_to_the_caller():
    assert decide_after_failure(WRITE, RunFailure(True, "23505")) == NextStep.ANSWER


def test_a_commit_without_a_majority_is_not_acknowledged():
    outcomes = [CommitOutcome.UNKNOWN, CommitOutcome.ROLLED_BACK]
    steps = {decide_after_commit(s, o) for s in ALL_STATES for o in outcomes}
    assert NextStep.ANSWER not in steps
    unknown = {decide_after_commit(s, CommitOutcome.UNKNOWN) for s in ALL_STATES}
    assert NextStep.RETRY not in unknown
