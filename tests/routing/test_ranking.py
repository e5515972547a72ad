"""Replicas ranked by the time in which a read is expected to be done."""

import random
from types import SimpleNamespace

import pytest

from beryltrack.routing.messages import ReadRequest, TargetLoad
from beryltrack.routing.policy import RoutingPolicy
from beryltrack.routing.ranking import SPREAD, add_outlook, pick_replica

WORK = 0.02
REPLICAS = [SimpleNamespace(name="near"), SimpleNamespace(name="far")]


class Told:
    """What owners have told, by the owner and the database."""

    def __init__(self, waits, works=None):
        self.waits, self.works = waits, works or {}

    def get_wait(self, owner, database, priority):
        return self.waits.get((owner, database, priority), 0.0)

    def get_service_time(self, database):
        return self.works.get(database, 0.0)


def make_load(name, wait=0.0, work=WORK, outstanding=0):
    return TargetLoad(name, name, outstanding, 4, wait, work)


def make_read(sequence, account="", arrived_at=1.0):
    return ReadRequest(
        arrived_at, None, zone="near", sequence=sequence, account=account
    )


def count_near(*loads, policy=None, reads=400):
    """Return the part of the reads that run at the near replica."""
    policy = policy or RoutingPolicy()
    chosen = [
        pick_replica(REPLICAS, make_read(number), loads, policy)
        for number in range(reads)
    ]
    return chosen.count("near") / reads


def test_idle_databases_are_used_by_their_distance():
    assert count_near(make_load("near"), make_load("far")) == 1.0


def test_a_short_wait_is_no_reason_to_go_far():
    assert count_near(make_load("near", wait=WORK / 4), make_load("far")) == 1.0


@pytest.mark.parametrize(
    ("waited", "part"), [(0.5, 0.875), (1.0, 0.5), (2.0, 0.28), (50.0, 0.13)]
)
def test_the_part_that_turns_grows_with_the_difference(waited, part):
    """So that nodes that are told the same do not all turn at once."""
    near = count_near(make_load("near", wait=waited * WORK), make_load("far"))
    assert near == pytest.approx(part, abs=0.07)


def test_the_slower_database_is_the_worse_one():
    assert count_near(make_load("near", work=5 * WORK), make_load("far")) == 0.0


def test_this_nodes_own_requests_count_where_reports_do_not_show_them_yet():
    assert count_near(make_load("near", outstanding=12), make_load("far")) == 0.0


def test_a_database_of_which_nothing_is_known_is_tried():
    assert count_near(make_load("near", wait=0.3), make_load("far", work=0.0)) < 0.2


def test_without_reports_this_nodes_own_work_ranks():
    loads = make_load("near", work=0.0), make_load("far", work=0.0)
    assert count_near(*loads) == 1.0
    busy = make_load("near", work=0.0, outstanding=2), make_load("far", work=0.0)
    assert count_near(*busy) == 0.0


def test_the_expected_time_can_be_switched_off():
    loads = make_load("near", wait=0.5), make_load("far")
    assert count_near(*loads, policy=RoutingPolicy(ranks_by_time=False)) == 1.0


def test_an_accounts_own_replica_is_worth_a_statements_time():
    reads = [make_read(number, account="one") for number in range(50)]
    loads = make_load("near"), make_load("far")
    policy = RoutingPolicy()
    (own,) = {pick_replica(REPLICAS, each, loads, policy) for each in reads}
    late = [each._replace(wait=2 * WORK * (each.database == own)) for each in loads]
    chosen = [pick_replica(REPLICAS, each, late, policy) for each in reads]
    assert chosen.count(own) < len(reads) / 2


def test_loads_take_in_what_the_owner_of_the_way_has_told():
    told = Told({("own-1", "near", 2): 0.3}, {"near": 0.01})
    loads = (TargetLoad("near", "z", 1, 4), TargetLoad("far", "z", 0, 4))
    near, far = add_outlook(loads, told, "own-1", 2)
    assert (near.wait, near.work, near.outstanding) == (0.3, 0.01, 1)
    assert far == loads[1]
    assert add_outlook(loads, told, "own-2", 2)[0].wait == 0.0


def play(spread, monkeypatch, seed=1, nodes=40):
    """Return the longest and the mean wait at two databases that many nodes use.

    Each node is told the waits each 0.35 s, at moments of its own; together they ask
    for nine tenths of what both databases can do.
    """
    monkeypatch.setattr("beryltrack.routing.ranking.SPREAD", spread)
    rng, step, slots = random.Random(seed), 0.01, 4
    queued, waits = {"near": 0.0, "far": 0.0}, []
    told = [dict(queued) for _ in range(nodes)]
    told_at = [rng.uniform(0.0, 0.35) for _ in range(nodes)]
    rate = 0.9 * 2 * slots / WORK / nodes
    for turn in range(2000):
        now = turn * step
        for node in range(nodes):
            if now >= told_at[node]:
                told_at[node] += 0.35
                told[node] = {n: q * WORK / slots for n, q in queued.items()}
            if rng.random() < rate * step:
                loads = tuple(make_load(n, told[node][n]) for n in queued)
                read = make_read(turn, arrived_at=now + node / 1000)
                queued[pick_replica(REPLICAS, read, loads, RoutingPolicy())] += 1
        for name, number in queued.items():
            queued[name] = max(0.0, number - slots * step / WORK)
        waits += [each * WORK / slots for each in queued.values()]
    return max(waits), sum(waits) / len(waits)


def test_nodes_with_reports_of_unlike_age_do_not_all_turn_to_one_place(monkeypatch):
    spread, together = (play(each, monkeypatch) for each in (SPREAD, 0.0))
    assert spread[0] < 0.9 * together[0] and spread[1] < 0.9 * together[1]
