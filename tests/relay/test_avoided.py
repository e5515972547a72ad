"""When an instance that is passed over is probed."""

from itertools import pairwise

import pytest

from beryltrack.relay.avoided import (
    MAX_PROBE_INTERVAL,
    MIN_PROBE_INTERVAL,
    REFUSAL_AVOID_TIME,
    AvoidedOwners,
)


def find_probes(avoided, until, step=0.1):
    """Return when an instance is probed that never answers."""
    found = []
    for number in range(int(until / step)):
        now = number * step
        for name in avoided.get_due(now):
            found.append(now)
            avoided.record_probe_failure(name, now)
    return found


def test_pauses_between_probes_grow():
    avoided = AvoidedOwners()
    assert avoided.add("a", 0.0)
    times = find_probes(avoided, 60.0)
    pauses = [after - before for before, after in pairwise([0.0, *times])]
    assert pauses[:4] == pytest.approx([0.2, 0.2, 0.4, 0.8], abs=0.11)
    assert pauses[-1] == pytest.approx(MAX_PROBE_INTERVAL, abs=0.11) and avoided.has(
        "a"
    )


def test_one_that_is_cut_off_for_hours_is_probed_in_the_same_pauses():
    avoided = AvoidedOwners()
    avoided.add("a", 0.0)
    for _ in range(2000):
        avoided.record_probe_failure("a", 0.0)
    assert avoided.get_due(MAX_PROBE_INTERVAL - 0.1) == ()
    assert avoided.get_due(MAX_PROBE_INTERVAL) == ("a",)


def test_one_that_answers_a_probe_is_passed_over_no_more():
    avoided = AvoidedOwners()
    avoided.add("a", 0.0)
    assert avoided.get_due(MIN_PROBE_INTERVAL) == ("a",)
    assert avoided.remove("a") and not avoided.has("a")
    assert not avoided.remove("a")


def test_one_that_refuses_connections_is_not_probed_at_once():
    avoided = AvoidedOwners()
    avoided.add("a", 0.0, REFUSAL_AVOID_TIME)
    assert avoided.get_due(REFUSAL_AVOID_TIME - 0.1) == ()
    assert avoided.get_due(REFUSAL_AVOID_TIME) == ("a",)


def test_another_failure_does_not_shorten_the_pause():
    avoided = AvoidedOwners()
    avoided.add("a", 0.0)
    for _ in range(7):
        avoided.record_probe_failure("a", 0.0)
    assert not avoided.add("a", 0.1)
    assert avoided.get_due(7.9) == () and avoided.get_due(8.0) == ("a",)


@pytest.mark.parametrize("least", [MIN_PROBE_INTERVAL, REFUSAL_AVOID_TIME])
def test_failures_that_go_on_put_off_no_probe(least):
    """Where all owners are passed over requests are sent to them all the same."""
    avoided = AvoidedOwners()
    for number in range(100):
        now = 0.05 * number
        avoided.add("a", now, least)
        if avoided.get_due(now):
            break
    assert now == pytest.approx(least, abs=0.06)
    assert avoided.get_failed_at("a") == now


def test_those_that_are_no_members_any_more_are_forgotten():
    avoided = AvoidedOwners()
    avoided.add("a", 0.0)
    avoided.add("b", 0.0)
    avoided.retain(frozenset("b"))
    assert not avoided.has("a") and avoided.has("b")
