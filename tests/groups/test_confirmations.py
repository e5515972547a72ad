"""Which databases are asked for the proof that no later term has a primary."""

from twisted.internet.task import Clock

from beryltrack.groups.confirmations import LeadershipConfirmations
from beryltrack.groups.messages import PRIMARY, LogPosition
from beryltrack.groups.poll_schedule import WITNESS_TIMEOUT
from beryltrack.groups.view import DatabaseView, GroupView


class Owner:
    """A group of three: ``a`` is the primary, ``b`` has received more than ``c``."""

    witness_count = 1

    def __init__(self):
        self.clock = Clock()
        self.clock.advance(1.0)
        self.asked = []
        self.sent_at = dict.fromkeys("abc", 0.0)
        self.view = GroupView(
            "g",
            1,
            "a",
            databases=(
                DatabaseView("a", PRIMARY, 1, LogPosition(1, 9), reachable=True),
                DatabaseView("c", term=1, received=LogPosition(1, 7), reachable=True),
                DatabaseView("b", term=1, received=LogPosition(1, 8), reachable=True),
            ),
        )
        self.waits = LeadershipConfirmations(self.clock, self)

    def get_time(self):
        return self.clock.seconds()

    def get_sent_at(self, database):
        return self.sent_at[database]

    def wake(self, database):
        self.asked.append(database)
        self.sent_at[database] = self.clock.seconds()


def test_the_replica_that_has_received_most_is_asked_alone():
    owner = Owner()
    waiting = owner.waits.wait()
    assert owner.asked == ["b"]
    owner.waits.answer(1.0)
    assert waiting.called
    owner.clock.advance(1.0)
    assert owner.asked == ["b"]


def test_the_others_are_asked_when_it_does_not_answer():
    owner = Owner()
    owner.waits.wait()
    owner.clock.advance(WITNESS_TIMEOUT)
    assert owner.asked == ["b", "c"]
    owner.clock.advance(WITNESS_TIMEOUT)
    assert owner.asked == ["b", "c"]


def test_an_earlier_proof_does_not_count():
    owner = Owner()
    waiting = owner.waits.wait()
    owner.waits.answer(0.9)
    assert not waiting.called


def test_a_later_call_needs_another_request():
    owner = Owner()
    owner.waits.wait()
    assert not owner.waits.needs_request("b")
    owner.clock.advance(0.001)
    owner.waits.wait()
    owner.sent_at["b"] = 1.0
    assert owner.waits.needs_request("b") and not owner.waits.needs_request("c")


def test_without_a_reachable_replica_all_are_asked():
    owner = Owner()
    owner.view = owner.view._replace(databases=owner.view.databases[:1])
    owner.waits.wait()
    assert owner.asked == ["a"]


def test_a_cancelled_call_is_removed():
    owner = Owner()
    waiting = owner.waits.wait()
    waiting.addErrback(lambda failure: None)
    waiting.cancel()
    owner.clock.advance(WITNESS_TIMEOUT)
    assert owner.asked == ["b"] and owner.clock.getDelayedCalls() == []
