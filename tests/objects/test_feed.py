"""A feed's copy stays true when a watch misses changes."""

import random

import pytest
from returns.result import Failure, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from beryltrack.objects.feed import SECOND_LOOK, FeedTask, compute_watch_timeout
from beryltrack.objects.messages import (
    ErrorKind,
    ObjectList,
    PlatformError,
    PlatformObject,
)

CUT = Failure(PlatformError(ErrorKind.UNKNOWN, "the watch was cut"))


def make_list(revision, *versions):
    objects = [
        PlatformObject("kind/a", version, version, False) for version in versions
    ]
    return Success(ObjectList(revision, tuple(objects)))


class ScriptedStore:
    """Lists what it has; watches wait until the test answers them."""

    def __init__(self):
        self.listed = make_list(1, 1)
        self.lists = 0
        self.watches = []
        self.feed = None

    async def list(self, kind):
        self.lists += 1
        return self.listed

    async def watch(self, kind, after, timeout):
        answer = Deferred()
        self.watches.append((after, timeout, answer))
        return await answer


def start_feed():
    clock, store, seen = Clock(), ScriptedStore(), []
    feed = FeedTask(
        clock,
        store,
        "kind",
        lambda found: seen.append(dict(found)),
        random.Random(1),
        wait=4.0,
    )
    feed.start()
    store.feed = feed
    return clock, store, seen


def test_changes_of_a_watch_are_told():
    _, store, seen = start_feed()
    store.watches[0][2].callback(make_list(2, 2))
    assert [found["kind/a"].version for found in seen] == [1, 2]
    assert store.lists == 1


def test_after_a_cut_watch_all_objects_are_listed_twice():
    clock, store, seen = start_feed()
    store.listed = make_list(5, 5)
    store.watches[0][2].callback(CUT)
    clock.advance(1.0)
    assert store.lists == 2 and seen[-1]["kind/a"].version == 5
    # The next watch missed a change; a second list finds it.
    store.listed = make_list(6, 6)
    after, timeout, answer = store.watches[1]
    assert (after, timeout) == (5, SECOND_LOOK)
    answer.callback(make_list(5))
    assert store.lists == 3 and seen[-1]["kind/a"].version == 6


def test_an_object_that_is_not_listed_any_more_is_gone():
    clock, store, seen = start_feed()
    store.listed = make_list(5)
    store.watches[0][2].callback(CUT)
    clock.advance(1.0)
    assert seen[-1] == {}


def test_it_says_since_when_the_store_is_silent_and_what_is_known(caplog):
    clock, store, _ = start_feed()
    feed = store.feed
    clock.advance(2.0)
    store.watches[0][2].callback(make_list(7, 7))
    assert (feed.kind, feed.revision, feed.silence) == ("kind", 7, 0.0)
    clock.advance(3.0)
    assert feed.silence == 3.0
    store.watches[1][2].callback(CUT)
    assert "No answer for kind for 3.0 s (unknown): the watch was cut" in caplog.text


@pytest.mark.parametrize(("limit", "wait"), [(3.0, 2.0), (6.0, 4.0), (0.2, 0.5)])
def test_a_watch_waits_for_two_thirds_of_the_time_that_a_change_has(limit, wait):
    assert compute_watch_timeout(limit) == wait


def test_a_watch_waits_for_no_longer_than_it_may():
    _, store, _ = start_feed()
    assert store.watches[0][:2] == (1, 4.0)
