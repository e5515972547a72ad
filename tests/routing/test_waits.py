"""Waits for the first replica that is ready."""

from twisted.internet.defer import Deferred

from beryltrack.groups.messages import LogPosition
from beryltrack.routing.messages import AwaitedTarget, UseTarget, WaitForTarget
from beryltrack.routing.waits import wait_for_target

WAIT = WaitForTarget(
    (AwaitedTarget("a", LogPosition(1, 5)), AwaitedTarget("b", LogPosition(1, 6))), 0.5
)


class _Source:
    """Lets a test resolve each wait."""

    def __init__(self):
        self.answers = {}

    def wait_applied(self, database, token, timeout):
        self.answers[database] = Deferred()
        return self.answers[database]


def _begin():
    source, results = _Source(), []
    waiting = Deferred.fromCoroutine(wait_for_target(source, WAIT))
    waiting.addCallback(results.append)
    return source.answers, results


def test_first_replica_that_is_ready_is_used():
    answers, results = _begin()
    answers["b"].callback(True)
    assert results == [UseTarget("b", True)]
    answers["a"].callback(True)
    assert results == [UseTarget("b", True)]


def test_replica_may_be_ready_after_another_has_timed_out():
    answers, results = _begin()
    answers["a"].callback(False)
    assert results == []
    answers["b"].callback(True)
    assert results == [UseTarget("b", True)]


def test_no_replica_is_ready_in_time():
    answers, results = _begin()
    answers["a"].callback(False)
    answers["b"].callback(False)
    assert results == [None]


def test_both_are_ready_at_once():
    class Ready:
        def wait_applied(self, database, token, timeout):
            answer = Deferred()
            answer.callback(True)
            return answer

    results = []
    Deferred.fromCoroutine(wait_for_target(Ready(), WAIT)).addCallback(results.append)
    assert results == [UseTarget("a", True)]
