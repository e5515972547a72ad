"""Each invariant's check reports a planted defect, and accepts a clean history."""

import pytest

from beryltrack_bench.checker import CHECKS, check_history
from beryltrack_bench.history import (
    ChangeAccepted,
    ChangeAnswered,
    Executed,
    FinalLog,
    Promoted,
    ProxyCrashed,
    ReadAnswered,
    Refusal,
    RequestAnswered,
    RequestStarted,
    ShutdownBegun,
    TargetLeft,
    TargetReturned,
    VersionInForce,
    WorkStarted,
    WriteAcknowledged,
    WriteRefused,
    WriteRequested,
)

CLEAN = [
    WriteRequested("s", "g", ("a",), True, 1.0),
    Executed("g", ("a",), 1.1),
    WriteAcknowledged("s", "g", ("a",), 1.2),
    ReadAnswered("s", "g", frozenset("a"), 1.3),
    ReadAnswered("other", "g", frozenset(), 1.3),
    Promoted("g", 2, frozenset("a"), 2.0),
    WriteRequested("s", "g", ("b", "c"), False, 2.1),
    Executed("g", ("b", "c"), 2.2),
    WriteRefused("g", ("b", "c"), Refusal.ROLLED_BACK, 2.3),
    WriteRequested("s", "g", ("d",), True, 2.4),
    WriteRefused("g", ("d",), Refusal.NOT_RUN, 2.5),
    RequestStarted("r", "p", 3.0),
    ShutdownBegun("p", 3.1),
    RequestAnswered("r", ("r/1", "r/2"), ("r/1", "r/2"), 3.2),
    RequestStarted("cut", "q", 3.0),
    ProxyCrashed("q", 3.1),
    TargetLeft("g-1", 4.0),
    WorkStarted("g-1", 6.9),
    WorkStarted("g-2", 9.0),
    TargetLeft("g-3", 4.0),
    TargetReturned("g-3", 6.0),
    WorkStarted("g-3", 9.0),
    VersionInForce("p", "x", 0, 4.9),
    ChangeAccepted("x", 7, 5.0, "change"),
    ChangeAnswered("change", None),
    ChangeAnswered("conflict", Refusal.NOT_RUN),
    VersionInForce("p", "x", 7, 9.9),
    FinalLog("g", (("a",),)),
]

DEFECTS = {
    "read_your_writes": [ReadAnswered("s", "g", frozenset("z"), 1.2)],
    "no_acknowledged_write_lost": [Promoted("g", 3, frozenset("z"), 3.0)],
    "transactions_apart": [Executed("g", ("b", "a"), 3.0)],
    "own_answer": [RequestAnswered("r2", ("r/1",), ("r2/1",), 3.0)],
    "refusals_true": [Executed("g", ("d",), 3.0)],
    "at_most_once": [FinalLog("g", (("a",), ("a",)))],
    "leaving_targets": [WorkStarted("g-1", 7.1)],
    "shutdowns": [RequestStarted("cut off", "p", 3.0)],
    "settings": [VersionInForce("p", "x", 6, 9.95)],
}

MORE_DEFECTS = {
    "a lost write": ("no_acknowledged_write_lost", [FinalLog("g", ())]),
    "a kept rollback": ("refusals_true", [FinalLog("g", (("a",), ("b", "c")))]),
    "a part of a transaction": ("transactions_apart", [Executed("g", ("b",), 3.0)]),
    "two answers": ("own_answer", [RequestAnswered("r", (), (), 3.3)]),
    "half an answer": ("own_answer", [RequestAnswered("r2", ("1",), ("1", "2"), 3.3)]),
    "a change made all the same": (
        "refusals_true",
        [ChangeAccepted("x", 8, 9.0, "conflict")],
    ),
    "a change made twice": ("settings", [ChangeAccepted("x", 8, 9.0, "change")]),
    "a change that was not made": ("settings", [ChangeAnswered("other", None)]),
    "late settings": (
        "settings",
        [VersionInForce("q", "x", 0, 4.0), VersionInForce("q", "x", 0, 10.1)],
    ),
}


def find_invariants(history):
    return {violation.invariant for violation in check_history(history)}


def test_a_clean_history_has_no_violation():
    assert check_history(CLEAN) == ()


def test_each_check_has_a_planted_defect():
    assert DEFECTS.keys() == CHECKS.keys()


@pytest.mark.parametrize("invariant", DEFECTS)
def test_a_planted_defect_is_reported(invariant):
    assert find_invariants(CLEAN + DEFECTS[invariant]) >= {invariant}


@pytest.mark.parametrize("defect", MORE_DEFECTS)
def test_other_forms_of_a_defect_are_reported(defect):
    invariant, events = MORE_DEFECTS[defect]
    assert find_invariants(CLEAN + events) >= {invariant}


def test_a_write_without_at_most_once_may_be_logged_once_per_attempt():
    sent = WriteRequested("s", "g", ("e",), False, 3.0)
    twice = [FinalLog("g", (("a",), ("e",), ("e",)))]
    assert find_invariants(CLEAN + [sent, sent] + twice) == set()
    assert find_invariants(CLEAN + [sent] + twice) == {"at_most_once"}


REPEATED = [
    WriteRequested("s", "g", ("f",), True, 3.0),
    Executed("g", ("f",), 3.1),
    WriteRefused("g", ("f",), Refusal.UNKNOWN, 3.2),
    WriteRequested("s", "g", ("f",), True, 3.3),
    WriteRefused("g", ("f",), Refusal.NOT_RUN, 3.4),
    FinalLog("g", (("a",), ("f",))),
]


def test_a_refusal_is_true_though_an_earlier_attempt_ran():
    assert check_history(CLEAN[:-1] + REPEATED) == ()


def test_a_refused_attempt_that_ran_is_reported():
    again = Executed("g", ("f",), 3.35)
    assert find_invariants(CLEAN[:-1] + [again] + REPEATED) >= {"refusals_true"}
    only = [event for event in REPEATED if event is not REPEATED[1]]
    assert find_invariants(CLEAN[:-1] + only) >= {"refusals_true"}
