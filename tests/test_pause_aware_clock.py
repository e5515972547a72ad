"""The clock that counts the running time of a process, without its pauses."""

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


def run(clock, pause_aware, seconds):
    """Let a process run, with its ticks."""
    for _ in range(round(seconds / 0.05)):
        clock.advance(0.05)
        pause_aware.record_tick()


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def pause_aware(clock):
    pause_aware = PauseAwareClock(clock)
    pause_aware.start_detection()
    return pause_aware


def test_a_pause_is_a_long_time_without_a_tick(clock, pause_aware):
    """Guards against slow ticks counted as pauses, and pauses that are missed."""
    pauses = []
    pause_aware.subscribe(pauses.append)
    clock.advance(PAUSE_LIMIT / 2)
    pause_aware.record_tick()
    assert pauses == []
    clock.advance(PAUSE_LIMIT * 2)
    pause_aware.record_tick()
    assert [pause.resumed_at for pause in pauses] == [clock.seconds()]


def test_a_pause_is_not_running_time(clock, pause_aware):
    """Guards against measuring a peer's silence across a pause of this process."""
    run(clock, pause_aware, 1.0)
    before = pause_aware.seconds()
    clock.advance(LONG)
    assert pause_aware.seconds() == pytest.approx(before + TICK_PERIOD)
    assert pause_aware.get_paused_time(0.0) == pytest.approx(LONG - TICK_PERIOD)
    assert pause_aware.get_paused_time(clock.seconds()) == 0.0


def test_an_answer_that_arrived_during_a_pause_is_read_before_its_timeout(
    clock, pause_aware
):
    """Guards against timeouts that fire after a pause, before input is read."""
    answer = Deferred().addTimeout(LIMIT, pause_aware)
    run(clock, pause_aware, LIMIT - 0.05)
    clock.advance(LONG)
    # The reactor reads input in the same iteration, after its timers.
    answer.callback("an answer")
    run(clock, pause_aware, 1.0)
    assert answer.result == "an answer"


def test_a_silence_after_a_pause_times_out_as_usual(clock, pause_aware):
    """Guards against a pause that hides a loss."""
    failures = []
    Deferred().addTimeout(LIMIT, pause_aware).addErrback(failures.append)
    run(clock, pause_aware, LIMIT / 2)
    clock.advance(LONG)
    run(clock, pause_aware, LIMIT + RESUME_GRACE)
    assert [failure.check(TimeoutError) for failure in failures] == [TimeoutError]


@pytest.mark.parametrize("ran", [0.05, 0.3])
def test_repeated_pauses_do_not_hide_a_silence_forever(clock, pause_aware, ran):
    """Guards against a timeout that each pause postpones.

    `TICK_PERIOD` of each pause counts as running time, so the timeout fires after no
    more pauses than such periods fit into it, plus one for the grace after the last.
    """
    failures = []
    Deferred().addTimeout(LIMIT, pause_aware).addErrback(failures.append)
    pauses = 0
    while not failures:
        run(clock, pause_aware, ran)
        clock.advance(LONG)
        pauses += 1
        assert pauses <= LIMIT / TICK_PERIOD + 1


def test_a_cancelled_call_is_not_made(clock, pause_aware):
    """Guards against a timeout that fires after its answer."""
    calls = []
    call = pause_aware.callLater(LIMIT, calls.append, 1)
    assert call.active()
    clock.advance(LONG)
    call.cancel()
    run(clock, pause_aware, LIMIT * 2)
    assert calls == [] and not call.active()


def test_without_detection_there_are_no_pauses(clock):
    """Guards against pauses detected in a process that records no ticks."""
    pause_aware = PauseAwareClock(clock)
    clock.advance(LONG)
    assert pause_aware.seconds() == clock.seconds()
    pause_aware.start_detection()
    pause_aware.stop_detection()
    clock.advance(LONG)
    assert pause_aware.get_paused_time(0.0) == 0.0


def test_a_reactor_has_one_clock(clock):
    """Guards against components of a process that see different pauses."""
    assert get_pause_aware_clock(clock) is get_pause_aware_clock(clock)
    kept = get_pause_aware_clock(clock)
    assert get_pause_aware_clock(Clock()) is not kept
