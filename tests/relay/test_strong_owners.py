"""Owners of groups in a fleet of instances with very different capacities."""

from collections import Counter

import pytest

from beryltrack.relay.directory import RelayDirectory
from beryltrack.relay.owners import Peer, choose_owners, compute_placement
from beryltrack.relay.strong_owners import choose_strong_owners
from beryltrack.settings.messages import Endpoint

GROUPS = [f"g{number}" for number in range(200)]


def make_peer(name, zone, capacity):
    return Peer(name, zone, Endpoint("10.0.0.1", 1), capacity=capacity)


def make_fleet(*zones):
    """Return a fleet from the capacities in each zone."""
    return tuple(
        make_peer(f"z{zone}-n{number}", f"z{zone}", capacity)
        for zone, capacities in enumerate(zones)
        for number, capacity in enumerate(capacities)
    )


MIXED = make_fleet(*[[2.15] * 4 + [0.5] * 8] * 3)


def count_owned(peers, count, groups=GROUPS):
    """Return how many groups each instance owns."""
    return Counter(
        peer.name
        for group in groups
        for peer in choose_strong_owners(group, peers, count)
    )


def test_weak_instances_own_no_group_while_there_are_enough_strong_ones():
    owned = count_owned(MIXED, 6)
    strong = {peer.name for peer in MIXED if peer.capacity > 2.0}
    assert set(owned) == strong
    # Each has about its share of the 1,200 ownerships, and none owns all groups.
    assert all(60 <= number <= 140 for number in owned.values())


@pytest.mark.parametrize("count", [2, 3, 6])
def test_strong_owners_are_spread_over_the_zones(count):
    for group in GROUPS:
        zones = Counter(p.zone for p in choose_strong_owners(group, MIXED, count))
        assert max(zones.values()) == -(-count // 3)


@pytest.mark.parametrize("count", [2, 6])
def test_strong_instances_of_one_zone_alone_do_not_own_all_of_a_group(count):
    """The loss of that zone would lose all owners of each group."""
    peers = make_fleet([2.0] * 8, [0.5] * 8, [0.5] * 8)
    for group in GROUPS:
        zones = {peer.zone for peer in choose_strong_owners(group, peers, count)}
        assert len(zones) >= 2


def test_in_a_fleet_of_one_zone_weak_instances_own_nothing():
    owned = count_owned(make_fleet([2.0] * 4 + [0.5] * 4), 2)
    assert set(owned) == {f"z0-n{number}" for number in range(4)}


def test_a_stronger_instance_owns_more_groups():
    peers = make_fleet([2.0, 2.0, 4.0, 4.0, 0.2], [2.0, 2.0, 4.0, 4.0], [2.0] * 8)
    owned = count_owned(peers, 3)
    assert owned["z0-n2"] > 1.4 * owned["z0-n0"] and "z0-n4" not in owned


def test_the_only_strong_instance_of_a_zone_does_not_own_all_groups():
    """It would run all requests of its zone's callers, though others could."""
    peers = make_fleet([2.15] + [0.5] * 11, [2.15] * 6, [2.15] * 6)
    owned = count_owned(peers, 6)
    assert 0 < owned["z0-n0"] < 0.75 * len(GROUPS)


def test_weak_instances_own_groups_where_there_are_too_few_others():
    peers = make_fleet([2.0, 0.5, 0.5], [0.5] * 3)
    owners = choose_strong_owners("g", peers, 4)
    assert len(set(owners)) == 4
    assert Counter(peer.zone for peer in owners) == {"z0": 2, "z1": 2}


def test_instances_of_similar_capacity_are_chosen_as_without_weights():
    peers = make_fleet([2.0, 1.9, 1.2], [2.0] * 3)
    for group in GROUPS:
        assert choose_strong_owners(group, peers, 4) == choose_owners(group, peers, 4)


def test_the_choice_does_not_depend_on_the_order_of_members():
    for group in GROUPS:
        chosen = choose_strong_owners(group, MIXED, 6)
        assert choose_strong_owners(group, MIXED[::-1], 6) == chosen


def test_only_the_groups_of_a_lost_owner_move():
    gone = next(peer for peer in MIXED if peer.capacity > 2.0)
    rest = tuple(peer for peer in MIXED if peer != gone)
    for group in GROUPS:
        before = set(choose_strong_owners(group, MIXED, 6))
        after = set(choose_strong_owners(group, rest, 6))
        assert after >= before - {gone}
        assert gone in before or after == before


def test_weights_do_not_matter_where_all_instances_own_all_groups():
    peers = make_fleet([2.0, 0.5], [2.0, 0.5], [2.0, 0.5])
    placements = {
        compute_placement("g", peers, 22, 1, choose)
        for choose in (choose_owners, choose_strong_owners)
    }
    (placement,) = placements
    assert placement.owners == ()


def test_the_directory_uses_the_given_choice_of_owners():
    own = MIXED[0]
    directory = RelayDirectory(own, lambda: 0.0, 8, choose_owners=choose_strong_owners)
    directory.set_peers(MIXED)
    for group in GROUPS[:20]:
        names = directory.get_candidates(group, 62)
        assert all(directory.get_peer(name).capacity > 2.0 for name in names)
