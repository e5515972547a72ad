"""Placement of groups and the order of their owners."""

import pytest

from beryltrack.relay.owners import (
    Peer,
    choose_owners,
    compute_placement,
    order_owners,
)
from beryltrack.settings.messages import Endpoint


def make_peers(count, zones=3):
    return tuple(
        Peer(f"n{number}", f"z{number % zones}", Endpoint("10.0.0.1", 7000 + number))
        for number in range(count)
    )


@pytest.mark.parametrize(
    ("instances", "limit", "share"),
    [(6, 22, 3), (8, 22, 2), (8, 43, 5), (1, 22, 20), (7, 16, 2), (10, 16, 1)],
)
def test_a_small_fleet_shares_the_connections_evenly(instances, limit, share):
    placement = compute_placement("g", make_peers(instances), limit)
    assert placement.owners == () and placement.share == share
    shares = [placement.get_share(f"n{number}") for number in range(instances)]
    assert sum(shares) == limit - 2 and max(shares) - min(shares) <= 1


def test_there_is_no_single_owner_while_each_instance_gets_a_connection():
    assert compute_placement("g", make_peers(14), 16).owners == ()
    assert len(compute_placement("g", make_peers(15), 16).owners) == 1


def test_instances_that_are_not_known_yet_are_assumed():
    assert compute_placement("g", make_peers(1), 43, 8).share == 5


@pytest.mark.parametrize(("instances", "limit"), [(74, 35), (72, 156), (520, 40)])
def test_a_large_fleet_has_owners_within_the_limit(instances, limit):
    placement = compute_placement("g", make_peers(instances), limit)
    assert 0 < len(placement.owners) < instances
    assert len(placement.owners) * placement.share <= limit - 2
    assert placement.share >= 10
    assert len(placement.owners) <= 6


def test_owners_are_spread_over_the_zones():
    owners = choose_owners("g", make_peers(20), 6)
    assert sorted(peer.zone for peer in owners) == ["z0", "z0", "z1", "z1", "z2", "z2"]


def test_the_loss_of_a_member_changes_no_other_owner():
    peers = make_peers(20)
    owners = choose_owners("g", peers, 6)
    rest = tuple(peer for peer in peers if peer != owners[0])
    assert len(set(owners[1:]) & set(choose_owners("g", rest, 6))) >= 5


def test_all_instances_compute_the_same_owners():
    peers = make_peers(20)
    assert choose_owners("g", peers, 4) == choose_owners("g", peers[::-1], 4)


def test_owners_of_the_own_zone_are_asked_first():
    ordered = order_owners(make_peers(6), "g", "me", "z1")
    assert [peer.zone == "z1" for peer in ordered] == [True, True] + [False] * 4


def test_instances_spread_their_first_choice_over_the_owners():
    owners = make_peers(6, zones=1)
    firsts = {order_owners(owners, "g", f"n{n}", "z0")[0].name for n in range(40)}
    assert len(firsts) == 6
