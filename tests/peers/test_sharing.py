"""Settings shared over real links, with the stand-in platform."""

import pytest
from twisted.internet import reactor

from beryltrack.peers.messages import GossipItem
from beryltrack.peers.sharing import parse_settings_item
from beryltrack_bench.fleet.fleet import Fleet
from tests.peers.fleet import wait_for
from tests.reactor_thread import run


@pytest.fixture
def fleet():
    fleet = Fleet(reactor, seed=1)
    run(fleet.start, 4)
    yield fleet
    run(fleet.stop)


def test_three_watch_the_store_and_all_get_settings_even_while_it_is_down(fleet):
    run(wait_for, lambda: fleet.is_joined() and fleet.platform.watch_count == 3)
    value = run(fleet.change_settings, 5.0)
    run(wait_for, lambda: fleet.count_in_force(value) == 4)
    run(fleet.platform.set_fault, "down", None)
    run(fleet.add_node)
    run(wait_for, lambda: fleet.count_in_force(value) == 5)
    assert fleet.reverted == 0


@pytest.mark.parametrize(
    "item",
    [
        GossipItem("settings", "status/x", (1,), [{}, False]),
        GossipItem("settings", "settings/a/b/c", (1, 2), [{}, False]),
        GossipItem("settings", "settings/a/b/c", (1,), "text"),
        GossipItem("settings", "settings/a/b/c", (1,), [{}, 0]),
    ],
)
def test_invalid_settings_items_are_reported_as_findings(item):
    found, findings = parse_settings_item(item)
    assert found is None
    assert len(findings) == 1
