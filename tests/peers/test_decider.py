"""Membership and gossip among several deciders on a simulated network."""

import pytest

from beryltrack.peers.messages import GossipItem, ItemKey, Items
from tests.peers.network import Network, make_instance


def make_item(version, value="v", key="a"):
    return GossipItem("k", key, (version,), value)


@pytest.fixture
def network():
    network = Network(12)
    network.run(6.0)
    assert network.count_digests() == 1
    return network


def get_item(decider, key="a"):
    return decider.store.get(ItemKey("k", key))


def publish(network, name, item):
    network.perform(name, network.deciders[name].publish(item))
    network.perform(name, network.deciders[name].flush())


def test_all_members_join_with_few_links(network):
    assert all(network.get_states(name) == {"joined"} for name in network.deciders)
    assert max(len(decider.linked) for decider in network.deciders.values()) <= 10


def test_pushes_alone_spread_an_item_to_all(network):
    publish(network, "n0", make_item(1))
    network.run(0.2)
    assert all(get_item(decider) for decider in network.deciders.values())


def test_an_older_version_is_not_spread(network):
    publish(network, "n0", make_item(2, "new"))
    network.run(0.2)
    publish(network, "n5", make_item(1, "old"))
    network.run(3.0)
    assert {get_item(d).value for d in network.deciders.values()} == {"new"}
    assert all(
        [item.version for item in changes if item.kind == "k"] == [(2,)]
        for changes in network.changes.values()
    )


def test_all_detect_a_crash_within_seconds(network):
    network.kill("n3")
    network.run(4.0)
    assert network.get_states("n3") == {"dead"}


def test_a_silent_peer_with_open_links_is_detected_as_dead(network):
    del network.deciders["n3"]
    network.run(9.0)
    assert network.get_states("n3") == {"dead"}


def test_a_live_member_refutes_a_suspicion_by_a_new_incarnation(network):
    network.break_links(lambda a, b: "n3" in (a, b))
    network.run(6.0)
    assert network.get_states("n3") == {"joined"}
    assert network.deciders["n3"].own.incarnation > 1


def test_leaving_spreads_at_once_and_is_not_treated_as_death(network):
    network.perform("n3", network.deciders["n3"].leave())
    network.perform("n3", network.deciders["n3"].flush())
    network.run(0.2)
    assert network.get_states("n3") == {"leaving"}
    network.perform("n3", network.deciders["n3"].finish())
    network.perform("n3", network.deciders["n3"].flush())
    network.run(0.1)
    network.kill("n3")
    network.run(10.0)
    assert network.get_states("n3") == {"left"}


def test_leaving_read_from_the_instance_list_spreads_to_all(network):
    entries = [make_instance(name) for name in network.deciders]
    entries[3] = make_instance("n3", "leaving")
    watcher = network.deciders["n0"]
    network.perform("n0", watcher.observe_instances(entries, network.now))
    network.perform("n0", watcher.flush())
    network.run(0.2)
    assert network.get_states("n3") == {"leaving"}


def test_a_restarted_member_is_seen_as_joined_again(network):
    network.kill("n3")
    network.run(5.0)
    network.start("n3", ["n0", "n1"], incarnation=2)
    network.run(8.0)
    assert network.get_states("n3") == {"joined"}


def test_a_restart_with_an_old_incarnation_is_refuted(network):
    network.kill("n3")
    network.run(5.0)
    network.start("n3", ["n0", "n1"], incarnation=1)
    network.run(8.0)
    assert network.get_states("n3") == {"joined"}


def test_a_new_member_syncs_from_one_peer_without_the_instance_list(network):
    for number in range(300):
        publish(network, "n0", make_item(1, "v" * 50, f"key {number}"))
    network.run(2.0)
    network.start("n20", ["n7"])
    network.run(6.0)
    assert network.count_digests() == 1
    assert network.deciders["n20"].store.size == 300 + 13


def test_a_partitioned_fleet_merges_again(network):
    network.partition(["n0", "n1", "n2", "n3", "n4"])
    network.run(30.0)
    assert network.get_states("n0") == {"joined", "dead"}
    publish(network, "n0", make_item(1, "here", "one"))
    publish(network, "n9", make_item(1, "there", "two"))
    network.partition([])
    network.run(40.0)
    assert all(network.get_states(name) == {"joined"} for name in network.deciders)
    assert network.count_digests() == 1


def test_merging_after_a_partition_causes_no_message_storm():
    network = Network(24)
    network.run(12.0)
    network.partition([f"n{number}" for number in range(12)])
    network.run(20.0)
    network.partition([])
    before = network.bytes
    network.run(30.0)
    assert network.count_digests() == 1
    assert all(network.get_states(name) == {"joined"} for name in network.deciders)
    assert (network.bytes - before) / 24 / 30 < 1000


def test_an_invalid_listed_address_is_ignored(network):
    entries = [make_instance(name) for name in network.deciders]
    entries[0].host = "not an ip"
    network.deciders["n1"].observe_instances(entries, network.now)
    assert network.get_states("n0") == {"joined"}


def test_anti_entropy_repairs_lost_pushes(network):
    decider = network.deciders["n0"]
    decider.publish(make_item(1))
    decider._pushes.flush()  # Drops the messages, as a lost link does.
    network.run(12.0)
    assert all(get_item(decider) for decider in network.deciders.values())


def test_a_suspended_process_suspects_no_member(network):
    suspended = network.deciders["n3"]
    actions = suspended.tick(network.now + 60.0)
    assert "no heartbeat" not in [getattr(action, "reason", "") for action in actions]
    assert {member.state for member in suspended.members} == {"joined"}


def test_expired_members_are_dropped_with_their_items(network):
    publish(network, "n3", GossipItem("member.load", "n3", (1,), 5))
    network.run(1.0)
    watcher = network.deciders["n0"]
    size = watcher.store.size
    network.kill("n3")
    network.run(5.0)
    assert watcher.store.get(ItemKey("member.load", "n3")) is None
    assert network.count_digests() == 1
    watcher._ticked_at = network.now + 4000.0
    watcher.tick(network.now + 4000.0)
    assert watcher.store.size == size - 2
    assert "n3" not in {member.name for member in watcher.members if member.incarnation}


def test_steady_traffic_per_proxy_does_not_grow_with_the_fleet():
    def measure(size):
        network = Network(size)
        network.run(15.0)
        assert network.count_digests() == 1
        before = network.bytes
        network.run(5.0)
        return (network.bytes - before) / 5.0 / size

    assert measure(32) <= 1.3 * measure(8)


def test_malformed_member_items_are_reported_and_change_nothing(network):
    decider = network.deciders["n0"]
    peer = decider.linked[0]
    before = decider.members
    bad = [
        GossipItem("member", "x", (1, 1), ["not an ip", 1, "z"]),
        GossipItem("member", "x", (1, 99), ["127.0.0.1", 1, "z"]),
        GossipItem("member", "x", (1,), "text"),
        GossipItem("member", "", (1, 1), ["127.0.0.1", 0, 5]),
    ]
    decider.receive(peer, Items(tuple(bad)), network.now)
    assert len(decider.findings) == 6
    assert decider.members == before
