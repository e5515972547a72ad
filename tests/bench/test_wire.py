"""Bounds of the function calls that the proxy makes for one exchange."""

import pytest

from beryltrack_bench.experiments.wire import count_calls, make_exchanges

# A tenth above what docs/notes/hot-path.md gives.
BOUNDS = {"simple": 121, "extended": 197, "prepared": 195, "rows": 1220}


@pytest.mark.parametrize("name", BOUNDS)
def test_an_exchange_takes_no_more_calls_than_its_bound(name):
    assert count_calls(make_exchanges()[name], 20) <= BOUNDS[name]
