"""An owner refuses reads that a lagging replica cannot serve, for the whole fleet."""

from types import SimpleNamespace

import pytest

from beryltrack.errors import CANNOT_CONNECT_NOW, SqlError
from beryltrack.groups.decider import GroupDecider
from beryltrack.groups.messages import LogPosition
from tests.relay.test_handler import Owner, Session, Task, make_end

POSITION = LogPosition(1, 9)
LAGGING = SqlError(CANNOT_CONNECT_NOW, "lagging: db-1")


class WatchingTask(Task):
    """A group task that uses the real decider for lagging replicas."""

    def __init__(self):
        super().__init__()
        self.decider = GroupDecider("g", ("db-1",))

    def observe_lagging(self, database, position):
        self.decider.observe_lagging(database, position, self.now)

    def is_presumed_behind(self, database, position, min_pause):
        return self.decider.is_presumed_behind(database, position, self.now, min_pause)


@pytest.fixture
def owner():
    owner = Owner()
    owner.task = WatchingTask()
    return owner


def read(owner, after=POSITION):
    """Send a read in a session of another instance; return the session."""
    session = Session()
    owner.handler.handle(SimpleNamespace(proves_leadership=False, after=after), session)
    return session


def refuse(owner, session):
    """Have the database refuse a session's read because it lags."""
    owner.give()
    session.runs[0][2].callback(make_end()._replace(error=LAGGING))


def test_one_refusal_of_a_replica_serves_all_instances(owner):
    refuse(owner, read(owner))
    others = [read(owner) for _ in range(66)]
    assert len(owner.pool.asked) == 1
    assert {session.states[0] for session in others} == {"55000"}


def test_a_read_of_an_earlier_position_is_tried(owner):
    refuse(owner, read(owner))
    read(owner, LogPosition(1, 8))
    assert len(owner.pool.asked) == 2


def test_the_pause_grows_with_the_time_that_a_replica_lags(owner):
    asked_at = []
    for step in range(300):
        owner.task.now = 50.0 + step / 10
        session = read(owner)
        if not session.states:
            asked_at.append(step / 10)
            refuse(owner, session)
    assert asked_at[:3] == [0.0, 0.3, 0.6]
    assert len(asked_at) <= 25 and asked_at[-1] - asked_at[-2] == pytest.approx(2.0)


def test_a_replica_that_shows_the_position_again_is_asked_at_once(owner):
    refuse(owner, read(owner))
    owner.task.decider.observe_position("db-1", POSITION, owner.task.now)
    owner.task.decider.observe_lagging("db-1", LogPosition(1, 12), owner.task.now)
    read(owner, LogPosition(1, 11))
    assert len(owner.pool.asked) == 2


def test_a_statement_that_asks_for_no_position_goes_to_the_database(owner):
    refuse(owner, read(owner))
    read(owner, None)
    assert len(owner.pool.asked) == 2
