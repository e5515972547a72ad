"""The owners that count an account's operations, in a small fleet."""

import pytest

from beryltrack.accounts.slots import SLOT_COUNT, get_slot
from beryltrack.relay.directory import RelayDirectory
from beryltrack.relay.owners import Peer
from beryltrack.relay.slot_owners import (
    MAX_REFUSED_ACCOUNTS,
    REFUSAL_RETENTION,
    FleetOwners,
    QuotaRefusals,
    ZoneOwners,
    rank_owners,
)
from beryltrack.settings.messages import Endpoint


def make_peer(number, zone):
    return Peer(f"n{number}", zone, Endpoint("10.0.0.1", 7000 + number))


PEERS = tuple(make_peer(number, f"z{number % 3}") for number in range(6))


def test_the_fleet_has_one_owner_of_a_slot():
    firsts = {
        FleetOwners().make_preference_lists(PEERS, 5, zone)[0][0] for zone in "abc"
    }
    assert len(firsts) == 1


def test_each_zone_has_its_own_owner_of_a_slot():
    for slot in range(SLOT_COUNT):
        for zone in ("z0", "z1", "z2"):
            own, *others = ZoneOwners().make_preference_lists(PEERS, slot, zone)
            assert own[0].zone == zone and set(own) == set(PEERS)
            assert {line[0].zone for line in others} == {"z0", "z1", "z2"} - {zone}


def test_all_instances_choose_the_same_owner_of_a_zone():
    """Otherwise the owner that another zone asks would relay the operation again."""
    for slot in range(SLOT_COUNT):
        lines = {
            z: ZoneOwners().make_preference_lists(PEERS, slot, z)
            for z in ("z0", "z1", "z2")
        }
        for zone in lines:
            firsts = {
                next(line[0] for line in each if line[0].zone == zone)
                for each in lines.values()
            }
            assert len(firsts) == 1


def test_a_zone_without_owners_asks_the_first_choice_of_another_zone():
    for slot in range(SLOT_COUNT):
        asked = ZoneOwners().make_preference_lists(PEERS, slot, "elsewhere")[0][0]
        assert (
            asked == ZoneOwners().make_preference_lists(PEERS, slot, asked.zone)[0][0]
        )


def test_the_loss_of_an_owner_moves_only_its_slots():
    rest = tuple(peer for peer in PEERS if peer.name != "n0")
    for slot in range(SLOT_COUNT):
        for zone in ("z0", "z1", "z2"):
            before = ZoneOwners().make_preference_lists(PEERS, slot, zone)[0][0]
            after = ZoneOwners().make_preference_lists(rest, slot, zone)[0][0]
            assert after == before or before.name == "n0"


def test_an_owner_that_refused_is_asked_last_for_a_while():
    now = [10.0]
    refusals = QuotaRefusals(lambda: now[0])
    refusals.record("a", "one")
    assert refusals.choose("a", ("one", "two")) == "two"
    assert refusals.choose("b", ("one", "two")) == "one"
    now[0] += 0.1
    refusals.record("a", "two")
    assert not refusals.has_available("a", ("one", "two"))
    # All have refused: the one that refused first has earned the most tokens.
    assert refusals.choose("a", ("two", "one")) == "one"
    now[0] = 10.0 + REFUSAL_RETENTION
    assert refusals.has_available("a", ("one", "two"))


def test_the_number_of_stored_refusals_is_bounded():
    refusals = QuotaRefusals(lambda: 10.0)
    for number in range(MAX_REFUSED_ACCOUNTS + 1):
        refusals.record(f"a{number}", "one")
    assert refusals.choose("a0", ("one", "two")) == "one"
    assert refusals.choose("a1", ("one", "two")) == "two"


class Fleet:
    """The directory of an instance in the zone z0 that owns nothing."""

    def __init__(self, choice):
        self.now = 100.0
        # All others have more capacity, so that it owns nothing.
        me = Peer("me", "z0", Endpoint("10.0.0.1", 1), capacity=0.1)
        self.directory = RelayDirectory(me, lambda: self.now, 8, choice)
        self.directory.set_peers(PEERS)
        self.directory.set_accounts(62)

    def choose(self, account="a"):
        return self.directory.choose_account_via(account).name

    def get_zone(self, name):
        return self.directory.get_peer(name).zone


@pytest.fixture
def fleet():
    return Fleet(ZoneOwners())


def test_an_accounts_operations_go_to_the_owner_of_the_zone(fleet):
    first = fleet.choose()
    assert fleet.get_zone(first) == "z0"
    assert fleet.directory.choose_slot_owner(get_slot("a")).name == first


def test_a_lost_owner_is_replaced_by_the_next_one_of_the_zone(fleet):
    first = fleet.choose()
    fleet.directory.avoid(first)
    second = fleet.choose()
    assert second != first and fleet.get_zone(second) == "z0"
    fleet.directory.avoid(second)
    ranked = [each.name for each in rank_owners(PEERS, get_slot("a"))]
    assert fleet.choose() == next(n for n in ranked if n not in (first, second))
    fleet.directory.stop_avoiding(first)
    assert fleet.choose() == first


def test_operations_over_the_zones_quota_go_to_another_zone_once(fleet):
    first = fleet.choose()
    assert fleet.directory.observe_quota_refusal("a", first)
    second = fleet.choose()
    assert fleet.get_zone(second) != "z0"
    # The quota shares stay: lent operations go to the zone's owner as before.
    assert fleet.directory.choose_slot_owner(get_slot("a")).name == first
    assert fleet.directory.observe_quota_refusal("a", second)
    assert not fleet.directory.observe_quota_refusal("a", fleet.choose())
    fleet.now += REFUSAL_RETENTION
    assert fleet.choose() == first


def test_a_lost_owner_in_another_zone_is_not_asked(fleet):
    first = fleet.choose()
    fleet.directory.observe_quota_refusal("a", first)
    second = fleet.choose()
    fleet.directory.avoid(second)
    third = fleet.choose()
    assert third not in (first, second) and fleet.get_zone(third) != "z0"


def test_a_lent_operation_is_not_sent_on_to_another_zone(fleet):
    """One hop only: the receiving instance asks the next owner itself."""
    first = fleet.choose()
    fleet.directory.observe_quota_refusal("a", first)
    owner = fleet.directory.choose_via("g", "db", 62, "a", is_lent=True)
    assert owner.name == first


def test_with_one_owner_in_the_fleet_no_other_may_run_an_operation():
    fleet = Fleet(FleetOwners())
    first = fleet.choose()
    assert not fleet.directory.observe_quota_refusal("a", first)
    assert fleet.choose() == first


def test_without_accounts_no_quota_refusal_is_recorded(fleet):
    assert not fleet.directory.observe_quota_refusal("", "n0")
    fleet.directory.set_accounts(None)
    assert not fleet.directory.observe_quota_refusal("a", "n0")


def test_the_zone_of_an_account_follows_the_chosen_owner(fleet):
    assert fleet.directory.get_zone("a") == "z0" and fleet.directory.get_zone("") == ""
    fleet.directory.observe_quota_refusal("a", fleet.choose())
    assert fleet.directory.get_zone("a") == fleet.get_zone(fleet.choose()) != "z0"
    fleet.directory.set_accounts(None)
    assert fleet.directory.get_zone("a") == ""
