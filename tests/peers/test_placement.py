"""Placement of neighbours, watchers and owners."""

from beryltrack.peers.messages import DEAD, JOINED, Member
from beryltrack.peers.placement import (
    compute_poll_period,
    get_neighbours,
    get_owners,
    get_watchers,
)


def make_members(count, zones=3):
    return [
        Member(f"n{i}", "127.0.0.1", 1, f"z{i % zones}", JOINED, 1)
        for i in range(count)
    ]


def measure_distances(members):
    links = {member.name: set() for member in members}
    for name in links:
        for other in get_neighbours(name, members):
            links[name].add(other)
            links[other].add(name)
    reached, frontier, steps = {"n0"}, {"n0"}, 0
    while frontier:
        frontier = set().union(*(links[name] for name in frontier)) - reached
        reached |= frontier
        steps += bool(frontier)
    return links, reached, steps


def test_the_largest_fleet_has_few_links_and_short_paths():
    links, reached, steps = measure_distances(make_members(520))
    assert len(reached) == 520
    assert max(map(len, links.values())) <= 6
    assert steps <= 6


def test_a_lost_member_changes_only_links_to_it():
    members = make_members(100)
    before = {m.name: get_neighbours(m.name, members) for m in members}
    members[5] = members[5]._replace(state=DEAD)
    changed = [n for n in before if get_neighbours(n, members) != before[n]]
    assert set(changed) - {"n5"} == {n for n in before if "n5" in before[n]}


def test_watchers_are_in_different_zones_and_independent_of_order():
    members = make_members(30)
    watchers = get_watchers(members)
    assert {int(name[1:]) % 3 for name in watchers} == {0, 1, 2}
    assert get_watchers(members[::-1]) == watchers
    assert len(get_watchers(make_members(9, zones=1))) == 3
    assert get_watchers(make_members(2)) == get_watchers(make_members(2)[::-1])


def test_a_removed_member_moves_only_its_own_groups():
    members = make_members(20)
    groups = [f"g{number}" for number in range(50)]
    before = {group: get_owners(group, members, 3) for group in groups}
    after = {group: get_owners(group, members[1:], 3) for group in groups}
    for group in groups:
        kept = [name for name in before[group] if name != "n0"]
        assert list(after[group][: len(kept)]) == kept


def test_the_total_poll_rate_does_not_grow_with_the_fleet():
    assert compute_poll_period(1) == compute_poll_period(8)
    assert 64 / compute_poll_period(64) == 520 / compute_poll_period(520)
