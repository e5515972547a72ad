"""The row cache parses each row once and in slices, with unchanged results."""

import random

import pytest

from beryltrack.objects import fields
from beryltrack.objects.fields import Field, parse_name, parse_whole_number
from beryltrack.objects.rows import SLICE_ROWS, RowCache

ROUTES = "routes"
COUNT = 1400


class Reads:
    """Fields that count how many rows were parsed."""

    def __init__(self):
        self.count = 0
        self.fields = (Field("name", self._parse), Field("size", parse_whole_number))

    def _parse(self, value):
        self.count += 1
        return parse_name(value)


def make_rows(count, size=1):
    return [{"name": f"r{number}", "size": size} for number in range(count)]


@pytest.fixture
def reads():
    return Reads()


def test_unchanged_rows_are_not_parsed_again(reads):
    cache, rows = RowCache(), make_rows(COUNT)
    cache.read_rows("config/main", ROUTES, {ROUTES: rows}, reads.fields)
    assert reads.count == COUNT
    changed = [*make_rows(700), {"name": "new", "size": 3}, *make_rows(COUNT)[700:]]
    changed[5] = changed[5] | {"size": 2}
    found, findings = cache.read_rows("", ROUTES, {ROUTES: changed}, reads.fields)
    assert reads.count == COUNT + 2
    assert found == changed and findings == []


def test_the_rows_of_a_large_change_are_parsed_in_slices(reads):
    cache, rows = RowCache(), make_rows(COUNT)
    most = before = 0
    for _ in cache.prepare({ROUTES: rows}, {ROUTES: reads.fields}):
        most, before = max(most, reads.count - before), reads.count
    assert most == SLICE_ROWS
    found, _ = cache.read_rows("config/main", ROUTES, {ROUTES: rows}, reads.fields)
    assert found == rows and reads.count == COUNT


def test_removed_rows_are_evicted(reads):
    cache = RowCache()
    for rows in (make_rows(3), [], make_rows(3)):
        cache.read_rows("config/main", ROUTES, {ROUTES: rows}, reads.fields)
    assert reads.count == 6


@pytest.mark.parametrize("size", [True, 1.0, "1", None, [1]])
def test_a_row_that_compares_equal_to_a_valid_one_is_still_checked(size):
    cache, counted = RowCache(), Reads()
    cache.read_rows("", ROUTES, {ROUTES: make_rows(1)}, counted.fields)
    rows, findings = cache.read_rows(
        "", ROUTES, {ROUTES: make_rows(1, size)}, counted.fields
    )
    assert rows == [] and len(findings) == 1


@pytest.mark.parametrize(
    "value", [None, 3, [], {}, {ROUTES: None}, {ROUTES: {"a": 1}}, {ROUTES: [None, 3]}]
)
def test_a_malformed_object_does_not_break_reading_ahead(reads, value):
    list(RowCache().prepare(value, {ROUTES: reads.fields}))


@pytest.mark.parametrize("seed", range(8))
def test_the_cache_returns_what_parsing_all_rows_returns(seed):
    rng, cache, table = random.Random(seed), RowCache(), Reads().fields
    pool = [*make_rows(6), {"name": "r1"}, 7, None, {"name": "", "size": 2}, []]
    pool += [{"name": "r1", "size": object()}, {"name": "r2", "size": True}]
    for _ in range(30):
        value = {ROUTES: rng.choices(pool, k=rng.randrange(9))}
        if rng.random() < 0.5:
            list(cache.prepare(value, {ROUTES: table}))
        expected = fields.read_rows("config/main", ROUTES, value, table)
        assert cache.read_rows("config/main", ROUTES, value, table) == expected
