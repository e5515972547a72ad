"""The adaptive statement limit, by outcomes and times of statements."""

import random

import pytest

from beryltrack.load.limit import Outcome, SharedCapacity, StatementLimit

BOUNDS = SharedCapacity(slots=4, owners=4, connections=10)
ANSWERED, FULL, LOST = Outcome.ANSWERED, Outcome.FULL, Outcome.LOST
BASELINE = 0.01


class Site:
    """A limit whose statements end one after another."""

    def __init__(self, bounds=BOUNDS):
        self.now = 0.0
        self.limit = StatementLimit(3.0)
        self.limit.set_capacity(bounds)

    def end(
        self, seconds=BASELINE, outcome=ANSWERED, count=1, running=1, has_waiting=False
    ):
        for _ in range(count):
            self.now += 0.1
            self.limit.observe(seconds, outcome, running, has_waiting, self.now)
        return self.limit.value

    def learn(self):
        """End enough statements without load to set the baseline."""
        self.end(count=80)


@pytest.fixture
def site():
    return Site()


@pytest.mark.parametrize(
    ("bounds", "value"),
    [
        (SharedCapacity(4, 4, 10), 3),
        (SharedCapacity(4, 5, 10), 3),
        (SharedCapacity(4, 6, 10), 2),
        (SharedCapacity(4, 20, 10), 2),
        (SharedCapacity(4, 1, 30), 12),
        (SharedCapacity(4, 4, 2), 2),
        (SharedCapacity(4, 4, 1), 1),
    ],
)
def test_it_starts_with_an_even_share_within_the_connections(bounds, value):
    assert Site(bounds).limit.value == value


def test_it_is_reset_only_if_the_shared_capacity_changes(site):
    site.learn()
    site.end(count=400, has_waiting=True)
    assert site.limit.value == 10
    site.limit.set_capacity(BOUNDS)
    assert site.limit.value == 10
    site.limit.set_capacity(BOUNDS._replace(owners=3))
    assert site.limit.value == 4


def test_it_grows_while_statements_are_fast_and_operations_wait(site):
    site.learn()
    assert site.end(count=100) == 3
    assert 3 < site.end(count=20, has_waiting=True) < 10
    assert site.end(count=400, has_waiting=True) == 10


def test_it_shrinks_while_statements_take_far_longer_than_the_baseline(site):
    site.learn()
    assert site.end(8 * BASELINE, count=60, running=3, has_waiting=True) == 2
    # Not below two: with one, a long statement would hold up all others.
    assert site.end(8 * BASELINE, count=200, running=3, has_waiting=True) == 2


def test_times_that_a_full_database_explains_change_nothing(site):
    """Three statements for each slot take three times as long."""
    site.learn()
    assert site.end(3 * BASELINE, count=300, running=3, has_waiting=True) == 3


def test_kinds_of_statements_that_differ_tenfold_do_not_shrink_it(site):
    rng = random.Random(1)
    lows = []
    for _ in range(1500):
        lows.append(site.end(rng.choice((0.004, 0.008, 0.04)), has_waiting=True))
    assert min(lows) >= 3


def test_a_refusal_of_a_full_database_halves_it_at_once(site):
    site.learn()
    site.end(count=400, has_waiting=True)
    assert site.end(None, FULL) == 5


def test_statements_that_ran_at_the_same_time_lower_it_once(site):
    site.learn()
    site.end(count=400, has_waiting=True)
    for _ in range(4):
        site.limit.observe(BASELINE, FULL, 4, True, site.now)
    assert site.limit.value == 5
    assert site.end(None, FULL) == 2


def test_it_never_leaves_slots_of_a_database_unused(site):
    one_owner = Site(SharedCapacity(slots=4, owners=1, connections=20))
    assert one_owner.end(None, FULL, count=10) == 4


def test_a_database_that_answers_nothing_is_probed_by_one_statement(site):
    assert site.end(0.4, LOST) == 2
    assert site.end(0.4, LOST) == 1
    assert site.end() == 2


def test_a_single_lost_answer_is_no_failure(site):
    for _ in range(3):
        site.end(0.4, LOST)
        assert site.end() == 2


def test_a_statement_that_did_not_run_changes_nothing(site):
    site.end(0.4, LOST, count=2)
    assert site.end(None, Outcome.UNKNOWN) == 1


def test_an_owner_that_starts_under_load_does_not_grow(site):
    """It has no baseline from the database without load."""
    assert site.end(3 * BASELINE, count=300, running=3, has_waiting=True) == 3


def test_a_few_short_statements_without_load_set_no_baseline(site):
    site.end(BASELINE / 3, count=5)
    assert site.end(2 * BASELINE, count=300, running=3, has_waiting=True) == 3


def test_a_lasting_slowdown_becomes_the_baseline(site):
    site.learn()
    site.end(8 * BASELINE, count=100, running=3, has_waiting=True)
    assert site.end(8 * BASELINE, count=20_000, running=1) == 2
    assert site.limit.baseline > 7 * BASELINE
    assert site.end(8 * BASELINE, count=100, running=2, has_waiting=True) > 3


def test_without_the_mechanism_all_connections_are_used():
    limit = StatementLimit(3.0, is_adaptive=False)
    limit.set_capacity(BOUNDS)
    limit.observe(None, FULL, 1, True, 1.0)
    assert limit.value == 10
