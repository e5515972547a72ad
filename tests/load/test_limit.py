"""How many statements an owner lets run, by how long they take."""

import random

import pytest

from beryltrack.load.limit import Outcome, SharedCapacity, StatementLimit

BOUNDS = SharedCapacity(slots=4, owners=4, connections=10)
ANSWERED, FULL, LOST = Outcome.ANSWERED, Outcome.FULL, Outcome.LOST
USUAL = 0.01


class Site:
    """A limit whose statements end one after another."""

    def __init__(self, bounds=BOUNDS):
        self.now = 0.0
        self.limit = StatementLimit(3.0)
        self.limit.set_capacity(bounds)

    def end(
        self, seconds=USUAL, outcome=ANSWERED, count=1, running=1, has_waiting=False
    ):
        for _ in range(count):
            self.now += 0.1
            self.limit.observe(seconds, outcome, running, has_waiting, self.now)
        return self.limit.value

    def learn(self):
        """End as many statements without load as show what is usual."""
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
def test_it_starts_with_an_even_part_within_the_connections(bounds, value):
    assert Site(bounds).limit.value == value


def test_it_starts_anew_only_if_the_part_changes(site):
    site.learn()
    site.end(count=400, has_waiting=True)
    assert site.limit.value == 10
    site.limit.set_capacity(BOUNDS)
    assert site.limit.value == 10
    site.limit.set_capacity(BOUNDS._replace(owners=3))
    assert site.limit.value == 4


def test_it_grows_while_statements_are_quick_and_somebody_waits(site):
    site.learn()
    assert site.end(count=100) == 3
    assert 3 < site.end(count=20, has_waiting=True) < 10
    assert site.end(count=400, has_waiting=True) == 10


def test_it_shrinks_while_statements_take_far_longer_than_usual(site):
    site.learn()
    assert site.end(8 * USUAL, count=60, running=3, has_waiting=True) == 2
    # Not below it: with one, a long statement would hold up all others.
    assert site.end(8 * USUAL, count=200, running=3, has_waiting=True) == 2


def test_times_that_a_full_database_explains_change_nothing(site):
    """Three statements for each slot take three times as long."""
    site.learn()
    assert site.end(3 * USUAL, count=300, running=3, has_waiting=True) == 3


def test_kinds_of_statements_that_differ_tenfold_do_not_shrink_it(site):
    rng = random.Random(1)
    lows = []
    for _ in range(1500):
        lows.append(site.end(rng.choice((0.004, 0.008, 0.04)), has_waiting=True))
    assert min(lows) >= 3


def test_a_database_that_says_that_it_is_full_cuts_it_at_once(site):
    site.learn()
    site.end(count=400, has_waiting=True)
    assert site.end(None, FULL) == 5


def test_statements_that_met_the_same_crowd_cut_it_once(site):
    site.learn()
    site.end(count=400, has_waiting=True)
    for _ in range(4):
        site.limit.observe(USUAL, FULL, 4, True, site.now)
    assert site.limit.value == 5
    assert site.end(None, FULL) == 2


def test_all_slots_of_a_database_stay_in_use(site):
    one_owner = Site(SharedCapacity(slots=4, owners=1, connections=20))
    assert one_owner.end(None, FULL, count=10) == 4


def test_a_database_that_answers_nothing_is_probed(site):
    assert site.end(0.4, LOST) == 2
    assert site.end(0.4, LOST) == 1
    assert site.end() == 2


def test_a_single_lost_answer_is_no_failure(site):
    for _ in range(3):
        site.end(0.4, LOST)
        assert site.end() == 2


def test_what_did_not_run_tells_nothing(site):
    site.end(0.4, LOST, count=2)
    assert site.end(None, Outcome.UNKNOWN) == 1


def test_an_owner_that_starts_under_load_does_not_grow(site):
    """It has not seen the database without load."""
    assert site.end(3 * USUAL, count=300, running=3, has_waiting=True) == 3


def test_a_few_short_statements_without_load_are_not_the_usual_ones(site):
    site.end(USUAL / 3, count=5)
    assert site.end(2 * USUAL, count=300, running=3, has_waiting=True) == 3


def test_a_database_that_is_slower_for_good_is_usual_one_day(site):
    site.learn()
    site.end(8 * USUAL, count=100, running=3, has_waiting=True)
    assert site.end(8 * USUAL, count=20_000, running=1) == 2
    assert site.limit.baseline > 7 * USUAL
    assert site.end(8 * USUAL, count=100, running=2, has_waiting=True) > 3


def test_without_the_mechanism_all_connections_run():
    limit = StatementLimit(3.0, is_adaptive=False)
    limit.set_capacity(BOUNDS)
    limit.observe(None, FULL, 1, True, 1.0)
    assert limit.value == 10
