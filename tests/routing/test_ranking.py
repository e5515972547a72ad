"""Ranking of replicas by the expected completion time of a read."""

import random
from types import SimpleNamespace

import pytest

from beryltrack.routing.messages import ReadRequest, TargetLoad
from beryltrack.routing.policy import RoutingPolicy
from beryltrack.routing.ranking import WAIT_JITTER, add_owner_loads, pick_replica

WORK = 0.02
REPLICAS = [SimpleNamespace(name="near"), SimpleNamespace(name="far")]


class FakeOwnerLoads:
    """Waits by owner, database and priority, and service times by database."""

    def __init__(self, waits, service_times=None):
        self.waits, self.service_times = waits, service_times or {}

    def get_wait(self, owner, database, priority):
        return self.waits.get((owner, database, priority), 0.0)

    def get_service_time(self, database):
        return self.service_times.get(database, 0.0)


def make_load(name, wait=0.0, work=WORK, outstanding=0):
    return TargetLoad(name, name, outstanding, 4, wait, work)


def make_read(sequence, account="", arrived_at=1.0):
    return ReadRequest(
        arrived_at, None, zone="near", sequence=sequence, account=account
    )


def count_near(*loads, policy=None, reads=400):
    """Return the fraction of the reads that run at the near replica."""
    policy = policy or RoutingPolicy()
    chosen = [
        pick_replica(REPLICAS, make_read(number), loads, policy)
        for number in range(reads)
    ]
    return chosen.count("near") / reads


def test_idle_replicas_are_ranked_by_distance():
    assert count_near(make_load("near"), make_load("far")) == 1.0


def test_a_short_wait_keeps_reads_at_the_near_replica():
    assert count_near(make_load("near", wait=WORK / 4), make_load("far")) == 1.0


@pytest.mark.parametrize(
    ("waited", "part"), [(0.5, 0.875), (1.0, 0.5), (2.0, 0.28), (50.0, 0.13)]
)
def test_the_fraction_that_changes_replica_grows_with_the_difference(waited, part):
    """Guards against a herd: nodes with the same reports all changing at once."""
    near = count_near(make_load("near", wait=waited * WORK), make_load("far"))
    assert near == pytest.approx(part, abs=0.07)


def test_the_slower_replica_ranks_lower():
    assert count_near(make_load("near", work=5 * WORK), make_load("far")) == 0.0


def test_own_requests_count_where_reports_do_not_include_them_yet():
    assert count_near(make_load("near", outstanding=12), make_load("far")) == 0.0


def test_a_replica_of_unknown_load_is_tried():
    assert count_near(make_load("near", wait=0.3), make_load("far", work=0.0)) < 0.2


def test_without_reports_own_requests_determine_the_rank():
    loads = make_load("near", work=0.0), make_load("far", work=0.0)
    assert count_near(*loads) == 1.0
    busy = make_load("near", work=0.0, outstanding=2), make_load("far", work=0.0)
    assert count_near(*busy) == 0.0


def test_ranking_by_expected_time_can_be_disabled():
    loads = make_load("near", wait=0.5), make_load("far")
    assert count_near(*loads, policy=RoutingPolicy(ranks_by_time=False)) == 1.0


def test_an_accounts_preferred_replica_is_worth_one_service_time():
    reads = [make_read(number, account="one") for number in range(50)]
    loads = make_load("near"), make_load("far")
    policy = RoutingPolicy()
    (own,) = {pick_replica(REPLICAS, each, loads, policy) for each in reads}
    late = [each._replace(wait=2 * WORK * (each.database == own)) for each in loads]
    chosen = [pick_replica(REPLICAS, each, late, policy) for each in reads]
    assert chosen.count(own) < len(reads) / 2


def test_loads_include_the_estimates_for_the_owner():
    owner_loads = FakeOwnerLoads({("own-1", "near", 2): 0.3}, {"near": 0.01})
    loads = (TargetLoad("near", "z", 1, 4), TargetLoad("far", "z", 0, 4))
    near, far = add_owner_loads(loads, owner_loads, "own-1", 2)
    assert (near.wait, near.service_time, near.outstanding) == (0.3, 0.01, 1)
    assert far == loads[1]
    assert add_owner_loads(loads, owner_loads, "own-2", 2)[0].wait == 0.0


def simulate(jitter, monkeypatch, seed=1, nodes=40):
    """Return the longest and the mean wait at two databases that many instances use.

    Each instance receives a report every 0.35 s, at times of its own; the offered load
    is 0.9 of the capacity of both databases.
    """
    monkeypatch.setattr("beryltrack.routing.ranking.WAIT_JITTER", jitter)
    rng, step, slots = random.Random(seed), 0.01, 4
    queued, waits = {"near": 0.0, "far": 0.0}, []
    reported = [dict(queued) for _ in range(nodes)]
    reported_at = [rng.uniform(0.0, 0.35) for _ in range(nodes)]
    rate = 0.9 * 2 * slots / WORK / nodes
    for tick in range(2000):
        now = tick * step
        for node in range(nodes):
            if now >= reported_at[node]:
                reported_at[node] += 0.35
                reported[node] = {n: q * WORK / slots for n, q in queued.items()}
            if rng.random() < rate * step:
                loads = tuple(make_load(n, reported[node][n]) for n in queued)
                read = make_read(tick, arrived_at=now + node / 1000)
                queued[pick_replica(REPLICAS, read, loads, RoutingPolicy())] += 1
        for name, number in queued.items():
            queued[name] = max(0.0, number - slots * step / WORK)
        waits += [each * WORK / slots for each in queued.values()]
    return max(waits), sum(waits) / len(waits)


def test_nodes_with_reports_of_different_ages_do_not_all_choose_one_replica(
    monkeypatch,
):
    spread, herd = (simulate(each, monkeypatch) for each in (WAIT_JITTER, 0.0))
    assert spread[0] < 0.9 * herd[0] and spread[1] < 0.9 * herd[1]
