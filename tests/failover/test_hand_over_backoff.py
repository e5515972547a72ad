"""An aborted hand-over is retried soon, then at growing intervals."""

from random import Random

from beryltrack.failover.decider import FailoverDecider
from beryltrack.failover.detector import FixedTimeoutDetector
from beryltrack.failover.messages import ElectionKind
from beryltrack.groups.messages import PRIMARY, LogPosition
from beryltrack.groups.view import DatabaseView, GroupView

END = LogPosition(1, 5)
LEADER = DatabaseView("a", PRIMARY, 1, END, END, reachable=True, leaving=True)
REPLICAS = tuple(
    DatabaseView(name, term=1, received=END, applied=END, reachable=True, heard_age=0.0)
    for name in ("b", "c")
)
VIEW = GroupView("group", 1, "a", END, databases=(LEADER, *REPLICAS))
MAX_STEPS = 6000


def measure_pauses(count):
    """Return the seconds between hand-overs that all fail immediately."""
    decider = FailoverDecider("group", "node", FixedTimeoutDetector(0.5), Random(1))
    times = []
    for now in (step / 100 for step in range(MAX_STEPS)):
        databases = tuple(item._replace(seen_at=now) for item in VIEW.databases)
        election = decider.decide(VIEW._replace(databases=databases), now)
        if election is not None:
            assert election.kind is ElectionKind.HAND_OVER
            decider.observe_outcome(election, False, now)
            times.append(now)
        if len(times) > count:
            break
    return [after - before for before, after in zip(times, times[1:], strict=False)]


def test_a_failed_hand_over_is_retried_soon():
    first, second, *_ = measure_pauses(8)
    assert first < 0.35
    assert first + second < 1.0


def test_hand_overs_that_fail_repeatedly_back_off():
    assert 2.5 <= measure_pauses(8)[-1] <= 7.6
