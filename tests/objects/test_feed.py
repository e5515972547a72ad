"""List and watch of a feed, also when a watch fails or misses changes."""

import random

import pytest
from returns.result import Failure, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from beryltrack.clock import NEVER
from beryltrack.objects.feed import RELIST_DELAY, FeedTask, compute_watch_timeout
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
    """Lists `listed`; watches wait until the test answers them."""

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
        watch_timeout=4.0,
    )
    feed.start()
    store.feed = feed
    return clock, store, seen


def test_the_callback_gets_the_changes_of_a_watch():
    _, store, seen = start_feed()
    store.watches[0][2].callback(make_list(2, 2))
    assert [found["kind/a"].version for found in seen] == [1, 2]
    assert store.lists == 1


def test_after_a_failed_watch_all_objects_are_listed_twice():
    clock, store, seen = start_feed()
    store.listed = make_list(5, 5)
    store.watches[0][2].callback(CUT)
    clock.advance(1.0)
    assert store.lists == 2 and seen[-1]["kind/a"].version == 5
    # The next watch misses a change; the second list finds it.
    store.listed = make_list(6, 6)
    after, timeout, answer = store.watches[1]
    assert (after, timeout) == (5, RELIST_DELAY)
    answer.callback(make_list(5))
    assert store.lists == 3 and seen[-1]["kind/a"].version == 6


def test_an_object_that_is_no_longer_listed_is_removed():
    clock, store, seen = start_feed()
    store.listed = make_list(5)
    store.watches[0][2].callback(CUT)
    clock.advance(1.0)
    assert seen[-1] == {}


def test_a_feed_reports_the_silence_of_the_store_and_its_revision(caplog):
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
def test_the_watch_timeout_is_two_thirds_of_the_limit_of_a_change(limit, wait):
    assert compute_watch_timeout(limit) == wait


def test_a_watch_waits_for_the_watch_timeout():
    _, store, _ = start_feed()
    assert store.watches[0][:2] == (1, 4.0)


def test_an_object_deleted_meanwhile_is_not_restored_by_an_older_watch():
    """Guards against a late answer that brings back what another instance removed."""
    _, store, seen = start_feed()
    store.feed.apply_copy(4, (PlatformObject("kind/a", 1, None, True),), False)
    store.watches[0][2].callback(make_list(3, 3))
    assert seen[-1] == {} and store.feed.revision == 4


def test_an_exception_of_an_observer_ends_no_feed(caplog):
    """Guards against an instance that is ready and learns of no change again."""
    _, store, seen = start_feed()
    notified = []
    store.feed.subscribe(lambda feed: 1 // 0)
    store.feed.subscribe(lambda feed: notified.append(feed.revision))
    store.watches[0][2].callback(make_list(2, 2))
    store.watches[1][2].callback(make_list(3, 3))
    assert notified == [2, 3] and seen[-1]["kind/a"].version == 3
    assert "An observer of kind failed" in caplog.text


def test_an_exception_of_a_call_ends_no_feed(caplog):
    """Guards against an answer whose decoding raises what no one expects."""
    clock, store, seen = start_feed()
    store.watches[0][2].errback(RuntimeError("defect"))
    assert store.feed.is_failing and not store.feed.is_live
    store.listed = make_list(5, 5)
    clock.advance(1.0)
    assert seen[-1]["kind/a"].version == 5 and store.feed.is_live
    assert "A call for kind failed" in caplog.text


def test_a_feed_that_is_stopped_during_a_call_makes_no_more(caplog):
    """Guards against a cancelled call that counts as one to repeat."""
    clock, store, _ = start_feed()
    store.feed.stop()
    clock.advance(10.0)
    assert store.lists == len(store.watches) == 1 and not caplog.records


def test_a_change_is_dated_from_the_answer_before_it():
    """Guards against late news, as of a silent store, that count from their arrival."""
    clock, store, _ = start_feed()
    assert store.feed.get_changed_after("kind/a") == NEVER
    clock.advance(4.0)
    store.watches[0][2].callback(make_list(1))
    clock.advance(1.0)
    store.watches[1][2].callback(CUT)
    store.listed = make_list(9, 9)
    clock.advance(2.0)
    assert store.feed.get_changed_after("kind/a") == 4.0


def test_an_object_that_is_listed_again_keeps_the_time_of_its_change():
    """Guards against a list after each failure that makes old reports new."""
    clock, store, _ = start_feed()
    clock.advance(4.0)
    store.watches[0][2].callback(make_list(1))
    store.watches[1][2].callback(make_list(2, 2))
    clock.advance(5.0)
    store.listed = make_list(9, 2)
    store.watches[2][2].callback(CUT)
    clock.advance(1.0)
    assert store.feed.get_changed_after("kind/a") == 4.0


def test_deletions_are_dated_from_the_answer_before_them():
    """Guards against a database that is gone and counts from when that is heard."""
    clock, store, _ = start_feed()
    clock.advance(3.0)
    store.watches[0][2].callback(make_list(2, 2))
    clock.advance(6.0)
    gone = PlatformObject("kind/a", 3, None, True)
    store.watches[1][2].callback(Success(ObjectList(3, (gone,))))
    assert store.feed.removed_after == 0.0
    assert store.feed.complete_at == 3.0


def test_a_watch_that_the_store_ends_early_dates_changes_from_its_sending():
    """Guards against an answer that was under way for a while and counts as new."""
    clock, store, _ = start_feed()
    clock.advance(3.0)
    store.watches[0][2].callback(make_list(1))
    assert store.feed.complete_at == 0.0
