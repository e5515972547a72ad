"""Tolerates failures of the tests that KNOWN-RED.txt lists, and of no others."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


def read_known_red():
    """Return the reason of each listed test, by its identifier."""
    if not KNOWN_RED.exists():
        return {}
    lines = (line for line in KNOWN_RED.read_text().splitlines() if line.strip())
    pairs = (line.partition(": ") for line in lines)
    return {test: reason for test, _, reason in pairs}


def pytest_collection_modifyitems(items):
    """Mark the listed tests as expected failures; they still run."""
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=False))
