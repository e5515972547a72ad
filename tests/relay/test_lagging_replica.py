"""Replicas that stay far behind are left alone by a whole fleet, not by one instance."""

import pytest

from beryltrack.errors import CANNOT_CONNECT_NOW, SqlError
from beryltrack.groups.decider import GroupDecider
from beryltrack.groups.messages import LogPosition
from tests.relay.test_handler import READ, Owner, Session, Task, make_end

POSITION = LogPosition(1, 9)
LAGGING = SqlError(CANNOT_CONNECT_NOW, "lagging: db-1")


class WatchingTask(Task):
    """A group's task whose refusals are kept by the real decider."""

    def __init__(self):
        super().__init__()
        self.decider = GroupDecider("g", ("db-1",))

    def observe_lagging(self, database, position):
        self.decider.observe_lagging(database, position, self.now)

    def lacks(self, database, position, least_pause):
        return self.decider.lacks(database, position, self.now, least_pause)


@pytest.fixture
def owner():
    owner = Owner()
    owner.task = WatchingTask()
    return owner


def read(owner, after=POSITION):
    """Send a read of an instance of its own; return its session."""
    unit, session = READ, Session()
    unit.after = after
    owner.handler.handle(unit, session)
    return session


def refuse(owner, session):
    """Have the database refuse a session's read as it is behind."""
    owner.give()
    session.runs[0][2].callback(make_end()._replace(error=LAGGING))


@pytest.mark.xfail(strict=True, reason="each instance finds out for itself")
def test_one_refusal_of_a_replica_tells_an_owner_for_all_instances(owner):
    refuse(owner, read(owner))
    others = [read(owner) for _ in range(66)]
    assert len(owner.pool.asked) == 1
    assert {session.states[0] for session in others} == {"55000"}
