"""`RelayDirectory`: ownership of groups and the choice of the next owner."""

import pytest
from twisted.internet.task import Clock

from beryltrack.relay.avoided import REFUSAL_AVOID_TIME
from beryltrack.relay.directory import RelayDirectory
from beryltrack.relay.owners import Peer
from beryltrack.settings.messages import Endpoint

LIMIT = 22


def make_peer(name):
    return Peer(name, "z", Endpoint("10.0.0.1", 7000))


class Fleet:
    """A directory of the instance ``me`` among others."""

    def __init__(self, others):
        self.now = 100.0
        self.directory = RelayDirectory(make_peer("me"), lambda: self.now, 8)
        self.directory.set_peers([make_peer(f"n{n}") for n in range(others)])

    def choose(self):
        owner = self.directory.choose_owner("g", LIMIT)
        return owner and owner.name

    def find_group(self, owned):
        """Return the name of a group that this instance owns, or does not own."""
        names = (f"g{number}" for number in range(1000))
        return next(n for n in names if self.directory.is_owner(n, LIMIT) is owned)


def test_before_the_members_are_known_an_instance_opens_its_own_connections():
    directory = RelayDirectory(make_peer("me"), lambda: 0.0, 8)
    assert directory.choose_owner("g", 43) is None
    assert directory.get_placement("g", 43).share == 5


def test_all_instances_of_a_small_fleet_are_candidates():
    directory = Fleet(3).directory
    assert directory.get_candidates("g", 43) == ("me", "n0", "n1", "n2")


def test_only_owners_are_candidates_in_a_large_fleet():
    directory = Fleet(30).directory
    owners = directory.get_candidates("g", LIMIT)
    assert len(owners) == 2
    assert directory.is_owner("g", LIMIT) == ("me" in owners)


def test_an_owner_opens_its_own_connections():
    fleet = Fleet(30)
    group = fleet.find_group(True)
    assert fleet.directory.choose_owner(group, LIMIT) is None


def test_an_owner_that_failed_is_avoided():
    fleet = Fleet(30)
    group = fleet.find_group(False)

    def choose():
        return fleet.directory.choose_owner(group, LIMIT).name

    first = choose()
    fleet.directory.avoid(first)
    second = choose()
    assert second != first
    fleet.now += 0.5
    fleet.directory.avoid(second)
    # All are avoided: the one whose last failure is the oldest is asked again.
    assert choose() == first
    fleet.now += REFUSAL_AVOID_TIME
    assert choose() == first


@pytest.mark.parametrize(
    ("others", "connections", "has_group_owners"),
    [(5, 22, False), (7, 43, False), (71, 156, True)],
)
def test_owners_of_groups_count_as_group_owners(others, connections, has_group_owners):
    me = Peer("me", "a", Endpoint("me", 1))
    directory = RelayDirectory(me, Clock().seconds, 8)
    names = [f"n{each}" for each in range(others)]
    peers = [
        Peer(name, "abc"[at % 3], Endpoint(name, 1)) for at, name in enumerate(names)
    ]
    directory.set_peers(peers)
    directory.get_placement("g", connections)
    assert directory.has_group_owners is has_group_owners
    # Accounts have owners in every fleet; they are no group owners.
    directory.set_accounts(connections)
    directory.get_placement("g", connections)
    assert directory.has_group_owners is has_group_owners


def test_an_owner_that_does_not_reach_one_database_is_used_for_others():
    fleet = Fleet(30)
    group = fleet.find_group(False)
    first = fleet.directory.choose_via(group, "db-1", LIMIT)
    fleet.directory.observe_target_unreachable("db-1", first.name)
    assert fleet.directory.choose_via(group, "db-1", LIMIT) != first
    assert fleet.directory.choose_via(group, "db-2", LIMIT) == first


def test_an_owner_is_asked_even_if_none_reaches_the_database():
    fleet = Fleet(30)
    group = fleet.find_group(False)
    for name in fleet.directory.get_candidates(group, LIMIT):
        fleet.directory.observe_target_unreachable("db-1", name)
    assert fleet.directory.choose_via(group, "db-1", LIMIT) is not None
