"""What a gate counts for the metrics: who waits, and who was refused when."""

from beryltrack.connections.messages import RefusalReason
from tests.load.test_gate_task import Site, get_refusal


def test_what_waits_is_counted_by_priority():
    site = Site()
    site.fill()
    site.enter(priority=2)
    assert site.gate.get_counters().waiting == (1, 0, 1, 0)


def test_refusals_on_arrival_and_after_a_wait_are_counted_apart():
    site = Site()
    site.fill()
    get_refusal(site.enter(time_left=0.0))
    waiting = site.enter(deadline=0.2)
    site.clock.pump([0.05] * 4)
    get_refusal(waiting)
    tally = site.gate.get_counters()
    assert tally.refused == {RefusalReason.TOO_LATE: 1}
    assert tally.put_out == {RefusalReason.TOO_LATE: 1}
    assert tally.waiting == (1, 0, 0, 0)
