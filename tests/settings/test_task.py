"""Updates of the settings from the store and from peers, on a simulated clock."""

import random

from returns.result import Failure, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from beryltrack.objects.messages import ErrorKind, ObjectList, PlatformError
from beryltrack.settings.task import (
    LIST_PERIODS,
    POLL_PERIOD,
    WATCH_DELAY,
    SettingsTask,
    compute_poll_period,
)
from tests.settings.examples import GROUP_PATH, make_group, make_object

DOWN = Failure(PlatformError(ErrorKind.REFUSED, "down"))


class FakeStore:
    """Records the calls; each waits until the test answers it."""

    def __init__(self):
        self.calls = []
        self.answers = []

    async def list(self, prefix):
        return await self._call(("list",))

    async def watch(self, prefix, after, timeout):
        return await self._call(("watch", after, timeout))

    def answer(self, result):
        self.answers.pop(0).callback(result)

    def _call(self, call):
        self.calls.append(call)
        self.answers.append(Deferred())
        return self.answers[-1]


def start_task(**choices):
    clock = Clock()
    store = FakeStore()
    task = SettingsTask(clock, store, random.Random(1))
    task.set_watcher(choices.get("watcher", True))
    task.start()
    return clock, store, task


def make_list(revision, *objects):
    return Success(ObjectList(revision, objects))


def test_watcher_lists_once_and_then_watches_from_that_revision():
    clock, store, task = start_task()
    store.answer(make_list(3, make_object(GROUP_PATH, 2, make_group())))
    clock.advance(WATCH_DELAY)
    seen = []
    task.subscribe(seen.append)
    store.answer(make_list(5, make_object(GROUP_PATH, 5, make_group(max_age=1))))
    clock.advance(WATCH_DELAY)
    assert store.calls == [("list",), ("watch", 3, 6.0), ("watch", 5, 6.0)]
    assert [site.groups[0].max_age for site in seen] == [1]


def test_other_instances_poll_slowly_and_watch_when_chosen():
    clock, store, task = start_task(watcher=False)
    store.answer(make_list(3))
    clock.advance(POLL_PERIOD * 1.25)
    store.answer(make_list(3))
    assert store.calls[1:] == [("watch", 3, 0.0)]
    clock.advance(1)
    task.set_watcher(True)
    assert store.calls[2:] == [("watch", 3, 6.0)]


def test_settings_stay_in_force_and_peers_update_them_while_the_store_is_down():
    clock, store, task = start_task()
    published = []
    task.subscribe_objects(published.append)
    ready = task.wait_ready()
    store.answer(DOWN)
    assert not ready.called
    item = make_object(GROUP_PATH, 2, make_group())
    task.merge((item,))
    assert ready.called
    assert published == [(item,)]
    assert len(task.current.groups) == 1
    clock.advance(0.1)
    store.answer(DOWN)
    assert task.get_objects() == (item,)


def test_attempts_back_off_while_the_store_is_down():
    clock, store, _ = start_task()
    for _ in range(20):
        store.answer(DOWN)
        clock.advance(10.0)
    store.answer(DOWN)
    clock.advance(4.9)
    assert len(store.calls) == 21
    clock.advance(5.1)
    assert len(store.calls) == 22


def test_full_list_is_repeated():
    clock, store, _ = start_task()
    store.answer(make_list(3))
    clock.advance(LIST_PERIODS * POLL_PERIOD * 1.25)
    assert store.calls == [("list",), ("list",)]


def test_watch_that_the_store_cannot_answer_is_followed_by_a_list():
    clock, store, _ = start_task()
    store.answer(make_list(3))
    clock.advance(WATCH_DELAY)
    store.answer(Failure(PlatformError(ErrorKind.INVALID, "too old")))
    clock.advance(1.0)
    assert store.calls[-1] == ("list",)


def test_failing_subscriber_does_not_affect_the_others():
    _, store, task = start_task()
    seen = []
    task.subscribe(lambda site: 1 / 0)
    task.subscribe(seen.append)
    store.answer(make_list(3, make_object(GROUP_PATH, 2, make_group())))
    assert len(seen) == 1


def test_exception_in_a_refresh_does_not_end_the_task():
    clock, store, task = start_task()
    store.answer(Success(None))
    clock.advance(POLL_PERIOD * 1.25)
    store.answer(make_list(3, make_object(GROUP_PATH, 2, make_group())))
    assert len(task.current.groups) == 1


def test_stopped_task_makes_no_more_calls():
    clock, store, task = start_task()
    store.answer(make_list(3))
    task.stop()
    clock.advance(1000)
    assert store.calls == [("list",)]
    assert clock.getDelayedCalls() == []


def test_poll_rate_of_a_large_fleet_is_no_higher_than_of_a_small_one():
    rates = [
        size / compute_poll_period(size, random.Random(1)) for size in (8, 64, 520)
    ]
    assert max(rates) <= rates[0] * 1.001
