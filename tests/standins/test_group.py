"""Replication, its faults and the control functions, with a test clock."""

import pytest

from tests.standins.clock import RECEIVE_DELAY, ClockGroup, execute


@pytest.fixture
def group():
    group = ClockGroup()
    execute(group.make_session(), "CREATE TABLE t (id INTEGER PRIMARY KEY)")
    group.advance()
    return group


def insert(group, value, number=0):
    return execute(group.make_session(number), f"INSERT INTO t VALUES ({value})")


def call(group, text, number=0):
    return execute(group.make_session(number), f"SELECT * FROM beryltrack_{text}")


def get_row(deferred):
    (row,) = deferred.result.rows
    return dict(zip(deferred.result.columns, row, strict=True))


def test_lag_delays_visibility_and_not_receipt(group):
    group.databases[1].set_apply_lag(1.0)
    insert(group, 1)
    group.clock.advance(RECEIVE_DELAY)
    assert group.databases[1].log.received == group.databases[0].log.received
    assert [group.count_rows(number) for number in range(3)] == [1, 0, 1]
    group.advance(1.1)
    assert group.count_rows(1) == 1


def test_an_isolated_primary_accepts_writes_and_discards_them_on_return(group):
    group.databases[0].isolated = True
    insert(group, 1)
    group.advance()
    assert [group.count_rows(number) for number in range(3)] == [1, 0, 0]
    group.fail_over()
    insert(group, 2, number=1)
    insert(group, 3, number=1)
    group.databases[0].isolated = False
    group.advance()
    assert group.databases[0].log.role == "replica"
    assert [group.count_rows(number) for number in range(3)] == [2, 2, 2]


def test_a_discarded_tail_is_undone_from_a_checkpoint(group, monkeypatch):
    monkeypatch.setattr("beryltrack_standins.database.database.CHECKPOINT_INTERVAL", 2)
    for value in range(7):
        insert(group, value)
    group.advance()
    group.databases[0].isolated = True
    for value in range(7, 12):
        insert(group, value)
    group.fail_over()
    group.databases[0].isolated = False
    group.advance()
    assert [group.count_rows(number) for number in range(3)] == [7, 7, 7]


def test_a_new_primary_applies_all_received_entries_before_it_writes(group):
    group.databases[1].set_apply_lag(60.0)
    insert(group, 1)
    group.advance()
    group.fail_over()
    assert group.count_rows(1) == 1
    assert insert(group, 2, number=1).called


def test_a_frozen_primary_sends_nothing_and_steps_down_once_unfrozen(group):
    group.databases[0].frozen = True
    group.advance(1.0)
    assert group.databases[1].status.heard_age >= 0.9
    group.fail_over()
    assert group.databases[0].log.role == "primary"
    group.databases[0].frozen = False
    group.advance()
    assert group.databases[0].log.role == "replica"


def test_status_after_answers_at_a_change_or_the_timeout(group):
    offset = group.databases[1].log.received.offset
    changed = call(group, f"status_after(1, {offset + 1}, -1, 500)", number=1)
    unchanged = call(group, f"status_after(1, {offset + 9}, -1, 500)", number=1)
    insert(group, 1)
    group.advance(0.01)
    assert get_row(changed)["received"] == f"1/{offset + 1}"
    assert not unchanged.called
    group.advance(0.5)
    assert get_row(unchanged)["received"] == f"1/{offset + 1}"


def test_grant_and_promote_answer_with_a_status_row(group):
    assert get_row(call(group, "grant(2, 'p', 500)", 1))["granted"] is False
    group.databases[0].isolated = True
    group.advance(1.0)
    granted = get_row(call(group, "grant(2, 'p', 500)", 1))
    assert (granted["granted"], granted["term"]) == (True, 2)
    promoted = get_row(call(group, "promote(2, 'p')", 1))
    assert (promoted["promoted"], promoted["role"]) == (True, "primary")
