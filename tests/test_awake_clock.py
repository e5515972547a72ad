"""The time in which a process ran."""

import pytest
from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.task import Clock

from beryltrack.pause_aware_clock import (
    PAUSE_LIMIT,
    RESUME_GRACE,
    TICK_PERIOD,
    PauseAwareClock,
    get_pause_aware_clock,
)

LIMIT = 0.5
LONG = 3.0


def run(clock, awake, seconds):
    """Let a process run, with its turns."""
    for _ in range(round(seconds / 0.05)):
        clock.advance(0.05)
        awake.record_tick()


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def awake(clock):
    awake = PauseAwareClock(clock)
    awake.start_detection()
    return awake


def test_a_pause_is_a_long_time_without_a_turn(clock, awake):
    """Guards against busy turns that count as pauses, and pauses that do not."""
    pauses = []
    awake.subscribe(pauses.append)
    clock.advance(PAUSE_LIMIT / 2)
    awake.record_tick()
    assert pauses == []
    clock.advance(PAUSE_LIMIT * 2)
    awake.record_tick()
    assert [pause.resumed_at for pause in pauses] == [clock.seconds()]


def test_a_pause_does_not_count(clock, awake):
    """Guards against a silence that is measured over a pause."""
    run(clock, awake, 1.0)
    before = awake.seconds()
    clock.advance(LONG)
    assert awake.seconds() == pytest.approx(before + TICK_PERIOD)
    assert awake.get_paused_time(0.0) == pytest.approx(LONG - TICK_PERIOD)
    assert awake.get_paused_time(clock.seconds()) == 0.0


def test_an_answer_that_came_during_a_pause_is_read_before_its_time_is_over(
    clock, awake
):
    """Guards against time limits that fire on waking, before anything is read."""
    answer = Deferred().addTimeout(LIMIT, awake)
    run(clock, awake, LIMIT - 0.05)
    clock.advance(LONG)
    # What has come is read in the same turn of the reactor, after its timers.
    answer.callback("an answer")
    run(clock, awake, 1.0)
    assert answer.result == "an answer"


def test_what_is_silent_after_a_pause_is_given_up_in_its_usual_time(clock, awake):
    """Guards against a pause that hides a loss."""
    failures = []
    Deferred().addTimeout(LIMIT, awake).addErrback(failures.append)
    run(clock, awake, LIMIT / 2)
    clock.advance(LONG)
    run(clock, awake, LIMIT + RESUME_GRACE)
    assert [failure.check(TimeoutError) for failure in failures] == [TimeoutError]


@pytest.mark.parametrize("ran", [0.05, 0.3])
def test_pauses_one_after_the_other_do_not_hide_a_silence_for_good(clock, awake, ran):
    """Guards against a time limit that each pause puts off.

    Of each pause `TICK_PERIOD` counts, so that it takes no more pauses than fit into
    the limit, and one more for what is read after the last of them.
    """
    failures = []
    Deferred().addTimeout(LIMIT, awake).addErrback(failures.append)
    pauses = 0
    while not failures:
        run(clock, awake, ran)
        clock.advance(LONG)
        pauses += 1
        assert pauses <= LIMIT / TICK_PERIOD + 1


def test_a_call_that_is_cancelled_is_not_made(clock, awake):
    """Guards against a time limit that fires after its answer."""
    calls = []
    call = awake.callLater(LIMIT, calls.append, 1)
    assert call.active()
    clock.advance(LONG)
    call.cancel()
    run(clock, awake, LIMIT * 2)
    assert calls == [] and not call.active()


def test_a_process_whose_turns_nobody_notes_is_never_paused(clock):
    """Guards against pauses that are seen where no turns are noted."""
    awake = PauseAwareClock(clock)
    clock.advance(LONG)
    assert awake.seconds() == clock.seconds()
    awake.start_detection()
    awake.stop_detection()
    clock.advance(LONG)
    assert awake.get_paused_time(0.0) == 0.0


def test_a_process_has_one_clock(clock):
    """Guards against parts of a process that know of different pauses."""
    assert get_pause_aware_clock(clock) is get_pause_aware_clock(clock)
    kept = get_pause_aware_clock(clock)
    assert get_pause_aware_clock(Clock()) is not kept
