"""When avoided instances are probed."""

from itertools import pairwise

import pytest

from beryltrack.relay.avoided import (
    MAX_PROBE_INTERVAL,
    MIN_PROBE_INTERVAL,
    REFUSAL_AVOID_TIME,
    AvoidedOwners,
)


def find_probes(avoided, until, step=0.1):
    """Return the probe times of an instance that never answers."""
    found = []
    for number in range(int(until / step)):
        now = number * step
        for name in avoided.get_due_probes(now):
            found.append(now)
            avoided.record_probe_failure(name, now)
    return found


def test_intervals_between_probes_grow():
    avoided = AvoidedOwners()
    assert avoided.add("a", 0.0)
    times = find_probes(avoided, 60.0)
    intervals = [after - before for before, after in pairwise([0.0, *times])]
    assert intervals[:4] == pytest.approx([0.2, 0.2, 0.4, 0.8], abs=0.11)
    assert intervals[-1] == pytest.approx(MAX_PROBE_INTERVAL, abs=0.11) and avoided.has(
        "a"
    )


def test_the_probe_interval_of_an_instance_lost_for_hours_stays_at_its_maximum():
    avoided = AvoidedOwners()
    avoided.add("a", 0.0)
    for _ in range(2000):
        avoided.record_probe_failure("a", 0.0)
    assert avoided.get_due_probes(MAX_PROBE_INTERVAL - 0.1) == ()
    assert avoided.get_due_probes(MAX_PROBE_INTERVAL) == ("a",)


def test_an_instance_that_answers_a_probe_is_no_longer_avoided():
    avoided = AvoidedOwners()
    avoided.add("a", 0.0)
    assert avoided.get_due_probes(MIN_PROBE_INTERVAL) == ("a",)
    assert avoided.remove("a") and not avoided.has("a")
    assert not avoided.remove("a")


def test_an_instance_that_refuses_connections_is_not_probed_at_once():
    avoided = AvoidedOwners()
    avoided.add("a", 0.0, REFUSAL_AVOID_TIME)
    assert avoided.get_due_probes(REFUSAL_AVOID_TIME - 0.1) == ()
    assert avoided.get_due_probes(REFUSAL_AVOID_TIME) == ("a",)


def test_another_failure_does_not_shorten_the_interval():
    avoided = AvoidedOwners()
    avoided.add("a", 0.0)
    for _ in range(7):
        avoided.record_probe_failure("a", 0.0)
    assert not avoided.add("a", 0.1)
    assert avoided.get_due_probes(7.9) == () and avoided.get_due_probes(8.0) == ("a",)


@pytest.mark.parametrize("min_time", [MIN_PROBE_INTERVAL, REFUSAL_AVOID_TIME])
def test_continued_failures_postpone_no_probe(min_time):
    """If all owners are avoided, requests are still sent to them and may fail again."""
    avoided = AvoidedOwners()
    for number in range(100):
        now = 0.05 * number
        avoided.add("a", now, min_time)
        if avoided.get_due_probes(now):
            break
    assert now == pytest.approx(min_time, abs=0.06)
    assert avoided.get_failed_at("a") == now


def test_former_members_are_dropped():
    avoided = AvoidedOwners()
    avoided.add("a", 0.0)
    avoided.add("b", 0.0)
    avoided.retain(frozenset("b"))
    assert not avoided.has("a") and avoided.has("b")
