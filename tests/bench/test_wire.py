"""Bounds of the calls that one unit costs between the two sockets."""

import pytest

from beryltrack_bench.experiments.wire import count_calls, make_exchanges

# A tenth above what docs/notes/hot-path.md gives.
BOUNDS = {"simple": 121, "extended": 197, "prepared": 195, "rows": 1220}


@pytest.mark.parametrize("name", BOUNDS)
def test_a_unit_costs_no_more_calls_than_it_did(name):
    assert count_calls(make_exchanges()[name], 20) <= BOUNDS[name]
