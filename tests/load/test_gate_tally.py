"""Counters of a gate for the metrics: queue lengths, refusals and evictions."""

from beryltrack.connections.messages import RefusalReason
from tests.load.test_gate_task import Site, get_refusal


def test_waiting_operations_are_counted_by_priority():
    site = Site()
    site.fill()
    site.enter(priority=2)
    assert site.gate.get_counters().waiting == (1, 0, 1, 0)


def test_refusals_on_arrival_and_evictions_are_counted_apart():
    site = Site()
    site.fill()
    get_refusal(site.enter(time_left=0.0))
    waiting = site.enter(deadline=0.2)
    site.clock.pump([0.05] * 4)
    get_refusal(waiting)
    counters = site.gate.get_counters()
    assert counters.refused == {RefusalReason.TOO_LATE: 1}
    assert counters.put_out == {RefusalReason.TOO_LATE: 1}
    assert counters.waiting == (1, 0, 0, 0)
