"""Limits of what runs at a database: three ways, in simulated time.

For each load and way: the part of each priority's operations that was done in time, was
refused and was late, and the most that ran or waited at the database at once.
"""

from beryltrack.load.policy import LoadPolicy
from beryltrack_bench.deployment import Deployment
from beryltrack_bench.limits.site import Load, OperationCounts, Site
from beryltrack_bench.options import Options

SECONDS = 20.0
CONNECTIONS = 10
"""Connections of an owner, as `relay/owners.py` gives the least."""

EVEN_PART = 3

LOADS = {
    "180/s": Load(180.0),
    "300/s": Load(300.0),
    "500/s": Load(500.0),
    "300/s, two thirds at one": Load(300.0, (6.0, 1.0, 1.0, 1.0)),
    "100/s, 8 times slower": Load(
        100.0, slow_from=8.0, slow_until=14.0, slowdown_factor=8.0
    ),
}
"""231 operations a second fill the database's slots."""

LIMIT_POLICIES = {
    "no limit": (LoadPolicy(is_limited=False), CONNECTIONS),
    "fixed": (LoadPolicy(is_limited=False), EVEN_PART),
    "adaptive": (LoadPolicy(), CONNECTIONS),
}


def run(deployment: Deployment, seed: int, options: Options) -> dict:
    """Play each way under each load."""
    figures = {
        load: {way: measure(way, load, seed) for way in LIMIT_POLICIES}
        for load in LOADS
    }
    return {"loads": figures, "violations": []}


def measure(way: str, load: str, seed: int, seconds: float = SECONDS) -> dict:
    """Return the figures of one way under one load."""
    policy, connections = LIMIT_POLICIES[way]
    site = Site(policy, connections, LOADS[load], seed)
    site.run(seconds)
    return {
        "priorities": [_show(each) for each in site.served],
        "most": site.max_in_database,
    }


def _show(served: OperationCounts) -> dict:
    """Return the printed form of what became of a priority's operations."""
    offered = max(1, served.offered)
    return {
        "in_time": round(served.in_time / offered, 3),
        "refused": round(served.refused / offered, 3),
        "late": round(served.late / offered, 3),
    }
