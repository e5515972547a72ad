"""The experiments' clock behaves like Twisted's test clock."""

from random import Random

import pytest
from twisted.internet.task import Clock

from beryltrack_bench.fakes.clock import OrderedClock


def _run(clock: Clock, seed: int) -> list[tuple[float, int]]:
    """Schedule, delay and cancel calls at random; return when which call ran."""
    rng = Random(seed)
    ran = []

    def record(number: int, reschedules: bool) -> None:
        ran.append((clock.seconds(), number))
        if reschedules:
            clock.callLater(0.5, record, number + 1000, False)

    for number in range(60):
        call = clock.callLater(10 * rng.random(), record, number, rng.random() < 0.3)
        later, change = 5 * rng.random(), rng.choice(["", "cancel", "reset", "delay"])
        if change:
            getattr(call, change)(*([] if change == "cancel" else [later]))
        clock.advance(0.2)
    clock.advance(100)
    return ran


@pytest.mark.parametrize("seed", range(5))
def test_calls_run_as_with_the_library_s_clock(seed):
    assert _run(OrderedClock(), seed) == _run(Clock(), seed)


def test_calls_for_the_same_time_run_in_the_order_of_scheduling():
    clock, ran = OrderedClock(), []
    for number in range(5):
        clock.callLater(1.0, ran.append, number)
    clock.advance(1.0)
    assert ran == [0, 1, 2, 3, 4]
