"""The checks of the roaming program find the violations that they test for."""

import random
from collections import Counter

import psycopg
import pytest

from beryltrack_bench.roaming.audit import check_counts
from beryltrack_bench.roaming.local_site import parse_ready_line
from beryltrack_bench.roaming.records import (
    Effect,
    Outcome,
    Records,
    classify_error,
)
from beryltrack_bench.roaming.session import Login, RoamingSession, _combine


def get_promises(outcome, rows):
    effects = [Effect("a", outcome, 0.0, 1.0)]
    return [item.promise for item in check_counts(effects, Counter(rows))]


@pytest.mark.parametrize(
    ("outcome", "rows", "promises"),
    [
        (Outcome.ACKNOWLEDGED, {"a": 1}, []),
        (Outcome.ACKNOWLEDGED, {}, ["lost"]),
        (Outcome.ACKNOWLEDGED, {"a": 2}, ["doubled"]),
        (Outcome.NOT_RUN, {}, []),
        (Outcome.NOT_RUN, {"a": 1}, ["untrue refusal"]),
        (Outcome.ROLLED_BACK, {"a": 1}, ["untrue refusal"]),
        (Outcome.UNKNOWN, {}, []),
        (Outcome.UNKNOWN, {"a": 1}, []),
        (Outcome.UNKNOWN, {"a": 2}, ["doubled"]),
        (Outcome.UNKNOWN, {"b": 1}, ["mixed"]),
    ],
)
def test_row_counts_are_compared_with_reported_outcomes(outcome, rows, promises):
    assert get_promises(outcome, rows) == promises


@pytest.mark.parametrize(
    ("value", "promises"),
    [(3, []), (4, []), (2, ["stale"]), (5, ["untrue refusal"])],
)
def test_a_read_is_compared_with_the_last_acknowledged_write(value, promises):
    records = Records()
    login = Login("app", "main")
    session = RoamingSession("s", ("127.0.0.1:1",), login, records, random.Random(1))
    session._acknowledged = 3
    session._unknown = {4}
    session._check_register([("s", value)])
    assert [item.promise for item in records.violations] == promises


def test_the_row_of_another_session_is_a_mixed_answer():
    records = Records()
    login = Login("app", "main")
    session = RoamingSession("s", ("127.0.0.1:1",), login, records, random.Random(1))
    session._check_register([("t", 0)])
    assert [item.promise for item in records.violations] == ["mixed"]


def test_a_refused_retry_leaves_an_unknown_outcome_unknown():
    assert _combine(Outcome.UNKNOWN, Outcome.NOT_RUN) is Outcome.UNKNOWN
    assert _combine(Outcome.UNKNOWN, Outcome.ACKNOWLEDGED) is Outcome.ACKNOWLEDGED
    assert _combine(Outcome.NOT_RUN, Outcome.ROLLED_BACK) is Outcome.ROLLED_BACK


def test_errors_are_classified_by_the_outcome_of_the_request():
    lost = psycopg.OperationalError("lost")
    assert classify_error(lost, is_sent=True) is Outcome.UNKNOWN
    assert classify_error(lost, is_sent=False) is Outcome.NOT_RUN
    refused = psycopg.errors.CannotConnectNow("refused")
    assert classify_error(refused, is_sent=True) is Outcome.NOT_RUN
    error = psycopg.errors.ReadOnlySqlTransaction("read only")
    assert classify_error(error, is_sent=True) is Outcome.UNEXPECTED


def test_the_gap_ends_with_a_write_that_started_after_the_fault():
    records = Records()
    records.record_acknowledged(Effect("a", Outcome.ACKNOWLEDGED, 1.0, 3.0))
    assert records.wait_for_write(2.0, 0.0) is None
    records.record_acknowledged(Effect("b", Outcome.ACKNOWLEDGED, 2.5, 4.0))
    records.record_acknowledged(Effect("c", Outcome.ACKNOWLEDGED, 2.6, 5.0))
    assert records.wait_for_write(2.0, 0.0) == 4.0


def test_all_defects_of_a_ready_line_are_found():
    site, findings = parse_ready_line('{"proxies": [], "control": 1}', "line")
    assert site is None
    assert [finding.place for finding in findings] == [
        "/proxies",
        "/databases",
        "/control",
    ]
