"""The comparison of quota strategies: its counts, and that lent shares hold limits."""

from collections import Counter

import pytest

from beryltrack.accounts.messages import AccountSettings
from beryltrack_bench.quota.site import (
    LOST_FROM,
    SPLIT_UNTIL,
    TOLERANCE,
    WINDOW,
    QuotaSite,
    Recorder,
    get_phase,
)
from beryltrack_bench.quota.strategies import run_strategy

ACCOUNT = AccountSettings("a", frozenset(), 2.0, 5.0)


def test_refusals_beyond_the_limit_are_not_counted():
    recorder = Recorder({"a": ACCOUNT})
    for _ in range(20):
        recorder.record("a", 3.0, False)
    calm, *others = recorder.get_phases()
    # Its limit allows 15 operations in five seconds.
    assert (calm.asked, calm.refused) == (15, 15)
    assert {phase.asked for phase in others} == {0}


def test_excess_is_the_operations_of_a_window_divided_by_the_allowed_ones():
    recorder = Recorder({"a": ACCOUNT})
    allowed = (2.0 * WINDOW + 5.0) * (1 + TOLERANCE.overage) + TOLERANCE.slack
    for number in range(10):
        recorder.record("a", number * 0.1, True)
    recorder.record("a", 10.0, True)
    assert recorder.excess == 10 / allowed


@pytest.mark.parametrize(
    ("now", "phase"), [(9.0, "calm"), (SPLIT_UNTIL, "split"), (LOST_FROM, "lost")]
)
def test_each_time_belongs_to_a_phase(now, phase):
    assert get_phase(now) == phase


def test_each_side_of_a_partition_chooses_an_owner_once_it_is_detected():
    site = QuotaSite(8, 1)
    names = Counter(site.choose_owner(name, 0) for name in site.names)
    assert len(names) == 1
    site.now = 12.0
    sides = {(site.sides[name], site.choose_owner(name, 0)) for name in site.names}
    assert len(sides) == 2 and len({owner for _, owner in sides}) == 2


@pytest.mark.parametrize("seed", [1, 2])
def test_lent_shares_hold_the_limit_and_a_single_owner_does_not(seed):
    lent, owner, even = (
        run_strategy(way, 8, seed) for way in ("lent", "one_owner", "even")
    )
    assert lent.excess <= 1.0 < owner.excess
    assert lent.phases[0].refused == 0
    # The sessions of an account are at few instances.
    assert even.phases[0].refused > 0.2 * even.phases[0].asked
    assert even.messages_per_second == 0.0


@pytest.mark.parametrize("seed", [1, 2])
def test_zone_owners_refuse_little_only_if_operations_are_forwarded(seed):
    lent, passed = (
        run_strategy(way, 8, seed) for way in ("zone_lent", "zone_passed_on")
    )
    assert lent.excess <= 1.0 and passed.excess <= 1.0
    # The sessions of an account are in few zones, which have only their own shares.
    assert lent.phases[0].refused > 0.1 * lent.phases[0].asked
    assert passed.phases[0].refused <= 0.01 * passed.phases[0].asked
