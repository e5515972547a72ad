"""Signs that a database has started again and holds nothing of before."""

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


TOLD = make_status(2, (2, 112))


@pytest.mark.parametrize(
    ("before", "after", "is_sign"),
    [
        (TOLD, make_status(2, (2, 112)), False),
        (TOLD, make_status(0, (0, 0)), True),
        (TOLD, make_status(2, (2, 50)), True),
        # A primary of a later term has removed what was not its own.
        (TOLD, make_status(3, (2, 110)), False),
        # Nothing of its term was there yet, so that an older end may have gone.
        (make_status(3, (2, 112)), make_status(3, (2, 110)), False),
        # It is held for a later term, or no more.
        (TOLD, make_status(2, (2, 112), held=3), False),
        (make_status(2, (2, 112), held=3), TOLD, False),
        (TOLD, make_status(0, (0, 0), held=3), True),
        (make_status(2, (2, 112), held=3), make_status(0, (0, 0)), True),
        (TOLD._replace(incarnation="1"), TOLD._replace(incarnation="2"), True),
    ],
)
def test_a_status_that_falls_back_is_a_sign(before, after, is_sign):
    assert has_regressed(ReceivedStatus(before, 1.0), after, 1.5) is is_sign


def test_no_status_is_one_that_was_asked_for_before_the_other_came():
    assert not has_regressed(ReceivedStatus(TOLD, 2.0), make_status(0, (0, 0)), 1.5)
    assert not has_regressed(None, make_status(0, (0, 0)), 1.5)


def test_a_database_of_the_postgresql_side_tells_its_incarnation():
    database = Database(Clock(), "a")

    def ask():
        row = dict(
            zip(STATUS_COLUMNS, map(str, _get_status_row(database.status)), strict=True)
        )
        status, findings = parse_status(row, "a")
        assert findings == ()
        return status

    before = ask()
    database.start_again_empty()
    assert has_regressed(ReceivedStatus(before, 1.0), ask(), 1.5)


def test_one_of_an_older_version_does_not_tell():
    row = dict(
        zip(
            STATUS_COLUMNS[:-1],
            ("a", "replica", "2", "2/5", "2/5", "[]", "0", "f"),
            strict=True,
        )
    )
    status, findings = parse_status(row, "a")
    assert findings == () and status.incarnation == ""
