"""Detection of databases that have restarted empty, from their statuses."""

import pytest
from twisted.internet.task import Clock

from beryltrack.groups.messages import REPLICA, DatabaseStatus, LogPosition
from beryltrack.groups.restarts import ReceivedStatus, has_regressed
from beryltrack.groups.status_rows import parse_status
from beryltrack_standins.database.control_calls import STATUS_COLUMNS, _get_status_row
from beryltrack_standins.database.database import Database


def make_status(term, received, held=0, incarnation=""):
    position = LogPosition(*received)
    status = DatabaseStatus(
        "a", REPLICA, max(term, held), position, position, (), None, False, held > term
    )
    return status._replace(incarnation=incarnation)


EARLIER = make_status(2, (2, 112))


@pytest.mark.parametrize(
    ("before", "after", "is_sign"),
    [
        (EARLIER, make_status(2, (2, 112)), False),
        (EARLIER, make_status(0, (0, 0)), True),
        (EARLIER, make_status(2, (2, 50)), True),
        # A primary of a later term has truncated entries that its own log lacks.
        (EARLIER, make_status(3, (2, 110)), False),
        # It had no entries of its term yet, so that older ones may have been truncated.
        (make_status(3, (2, 112)), make_status(3, (2, 110)), False),
        # A hold for a later term begins or ends.
        (EARLIER, make_status(2, (2, 112), held=3), False),
        (make_status(2, (2, 112), held=3), EARLIER, False),
        (EARLIER, make_status(0, (0, 0), held=3), True),
        (make_status(2, (2, 112), held=3), make_status(0, (0, 0)), True),
        (EARLIER._replace(incarnation="1"), EARLIER._replace(incarnation="2"), True),
    ],
)
def test_a_status_that_regresses_shows_a_restart(before, after, is_sign):
    assert has_regressed(ReceivedStatus(before, 1.0), after, 1.5) is is_sign


def test_statuses_without_a_certain_order_show_nothing():
    assert not has_regressed(ReceivedStatus(EARLIER, 2.0), make_status(0, (0, 0)), 1.5)
    assert not has_regressed(None, make_status(0, (0, 0)), 1.5)


def test_a_postgresql_database_reports_its_incarnation():
    database = Database(Clock(), "a")

    def ask():
        row = dict(
            zip(STATUS_COLUMNS, map(str, _get_status_row(database.status)), strict=True)
        )
        status, findings = parse_status(row, "a")
        assert findings == ()
        return status

    before = ask()
    database.restart_empty()
    assert has_regressed(ReceivedStatus(before, 1.0), ask(), 1.5)


def test_a_status_of_an_older_version_has_no_incarnation():
    row = dict(
        zip(
            STATUS_COLUMNS[:-1],
            ("a", "replica", "2", "2/5", "2/5", "[]", "0", "f"),
            strict=True,
        )
    )
    status, findings = parse_status(row, "a")
    assert findings == () and status.incarnation == ""
