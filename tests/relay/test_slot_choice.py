"""Which owners count an account's operations, on tiny fleets."""

import pytest

from beryltrack.accounts.slots import SLOT_COUNT, get_slot
from beryltrack.relay.directory import RelayDirectory
from beryltrack.relay.owners import Peer
from beryltrack.relay.slot_choice import (
    MOST_SPENT,
    SPENT_TIME,
    FleetOwners,
    SpentNotes,
    ZoneOwners,
    rank_owners,
)
from beryltrack.settings.messages import Endpoint


def make_peer(number, zone):
    return Peer(f"n{number}", zone, Endpoint("10.0.0.1", 7000 + number))


PEERS = tuple(make_peer(number, f"z{number % 3}") for number in range(6))


def test_the_fleet_has_one_owner_of_a_slot():
    firsts = {FleetOwners().make_lines(PEERS, 5, zone)[0][0] for zone in "abc"}
    assert len(firsts) == 1


def test_each_zone_has_its_own_owner_of_a_slot():
    for slot in range(SLOT_COUNT):
        for zone in ("z0", "z1", "z2"):
            own, *others = ZoneOwners().make_lines(PEERS, slot, zone)
            assert own[0].zone == zone and set(own) == set(PEERS)
            assert {line[0].zone for line in others} == {"z0", "z1", "z2"} - {zone}


def test_all_instances_name_the_same_owner_of_a_zone():
    """Or the one that is asked from another zone would pass the operation on."""
    for slot in range(SLOT_COUNT):
        lines = {z: ZoneOwners().make_lines(PEERS, slot, z) for z in ("z0", "z1", "z2")}
        for zone in lines:
            firsts = {
                next(line[0] for line in each if line[0].zone == zone)
                for each in lines.values()
            }
            assert len(firsts) == 1


def test_a_zone_without_owners_asks_the_one_that_its_own_zone_asks():
    for slot in range(SLOT_COUNT):
        asked = ZoneOwners().make_lines(PEERS, slot, "elsewhere")[0][0]
        assert asked == ZoneOwners().make_lines(PEERS, slot, asked.zone)[0][0]


def test_the_loss_of_an_owner_moves_only_what_it_had():
    rest = tuple(peer for peer in PEERS if peer.name != "n0")
    for slot in range(SLOT_COUNT):
        for zone in ("z0", "z1", "z2"):
            before = ZoneOwners().make_lines(PEERS, slot, zone)[0][0]
            after = ZoneOwners().make_lines(rest, slot, zone)[0][0]
            assert after == before or before.name == "n0"


def test_an_owner_that_refused_is_asked_last_for_a_while():
    now = [10.0]
    notes = SpentNotes(lambda: now[0])
    notes.note("a", "one")
    assert notes.choose("a", ("one", "two")) == "two"
    assert notes.choose("b", ("one", "two")) == "one"
    now[0] += 0.1
    notes.note("a", "two")
    assert not notes.has_other("a", ("one", "two"))
    # All have refused: the one that did so first has earned the most.
    assert notes.choose("a", ("two", "one")) == "one"
    now[0] = 10.0 + SPENT_TIME
    assert notes.has_other("a", ("one", "two"))


def test_what_is_remembered_of_refusals_is_bounded():
    notes = SpentNotes(lambda: 10.0)
    for number in range(MOST_SPENT + 1):
        notes.note(f"a{number}", "one")
    assert notes.choose("a0", ("one", "two")) == "one"
    assert notes.choose("a1", ("one", "two")) == "two"


class Fleet:
    """The directory of an instance of the zone z0 that owns nothing."""

    def __init__(self, choice):
        self.now = 100.0
        # All others are stronger, so that it owns nothing.
        me = Peer("me", "z0", Endpoint("10.0.0.1", 1), capacity=0.1)
        self.directory = RelayDirectory(me, lambda: self.now, 8, choice)
        self.directory.set_peers(PEERS)
        self.directory.set_accounts(62)

    def choose(self, account="a"):
        return self.directory.choose_account_way(account).name

    def get_zone(self, name):
        return self.directory.get_peer(name).zone


@pytest.fixture
def fleet():
    return Fleet(ZoneOwners())


def test_an_accounts_operations_go_to_the_owner_of_the_zone(fleet):
    first = fleet.choose()
    assert fleet.get_zone(first) == "z0"
    assert fleet.directory.choose_slot_owner(get_slot("a")).name == first


def test_a_lost_owner_is_followed_by_the_next_one_of_the_zone(fleet):
    first = fleet.choose()
    fleet.directory.avoid(first)
    second = fleet.choose()
    assert second != first and fleet.get_zone(second) == "z0"
    fleet.directory.avoid(second)
    ranked = [each.name for each in rank_owners(PEERS, get_slot("a"))]
    assert fleet.choose() == next(n for n in ranked if n not in (first, second))
    fleet.directory.note_reached(first)
    assert fleet.choose() == first


def test_what_the_zone_may_not_run_any_more_goes_to_another_zone_once(fleet):
    first = fleet.choose()
    assert fleet.directory.observe_spent("a", first)
    second = fleet.choose()
    assert fleet.get_zone(second) != "z0"
    # The rights stay: what is lent goes to the zone's owner as before.
    assert fleet.directory.choose_slot_owner(get_slot("a")).name == first
    assert fleet.directory.observe_spent("a", second)
    assert not fleet.directory.observe_spent("a", fleet.choose())
    fleet.now += SPENT_TIME
    assert fleet.choose() == first


def test_another_zones_owner_that_is_lost_is_not_asked_for_its_rights(fleet):
    first = fleet.choose()
    fleet.directory.observe_spent("a", first)
    second = fleet.choose()
    fleet.directory.avoid(second)
    third = fleet.choose()
    assert third not in (first, second) and fleet.get_zone(third) != "z0"


def test_what_another_instance_sent_goes_on_to_no_other_zone(fleet):
    """One hop: the instance that took the operation asks the next owner itself."""
    first = fleet.choose()
    fleet.directory.observe_spent("a", first)
    way = fleet.directory.choose_way("g", "db", 62, "a", is_lent=True)
    assert way.name == first


def test_one_owner_of_the_whole_fleet_is_the_only_one_that_may_run_it():
    fleet = Fleet(FleetOwners())
    first = fleet.choose()
    assert not fleet.directory.observe_spent("a", first)
    assert fleet.choose() == first


def test_without_accounts_nothing_is_passed_on(fleet):
    assert not fleet.directory.observe_spent("", "n0")
    fleet.directory.set_accounts(None)
    assert not fleet.directory.observe_spent("a", "n0")


def test_the_zone_in_which_an_account_runs_follows_its_way(fleet):
    assert fleet.directory.get_zone("a") == "z0" and fleet.directory.get_zone("") == ""
    fleet.directory.observe_spent("a", fleet.choose())
    assert fleet.directory.get_zone("a") == fleet.get_zone(fleet.choose()) != "z0"
    fleet.directory.set_accounts(None)
    assert fleet.directory.get_zone("a") == ""
