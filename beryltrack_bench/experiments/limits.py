"""`limits`: three policies that limit concurrency at a database, in simulated time.

For each load and policy: the shares of each priority's operations that were done in
time, refused and late, and the maximum number of operations at the database.
"""

from beryltrack.load.policy import LoadPolicy
from beryltrack_bench.deployment import Deployment
from beryltrack_bench.limits.site import Load, OperationCounts, Site
from beryltrack_bench.options import Options

SECONDS = 20.0
"""Length of a run in simulated time."""

CONNECTIONS = 10
"""Connections of an owner: the minimum that `relay/owners.py` assigns."""

EVEN_SHARE = 3
"""Connections of an owner under the fixed limit: an even share."""

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
    "fixed": (LoadPolicy(is_limited=False), EVEN_SHARE),
    "adaptive": (LoadPolicy(), CONNECTIONS),
}


def run(deployment: Deployment, seed: int, options: Options) -> dict:
    """Run each policy under each load."""
    figures = {
        load: {name: measure(name, load, seed) for name in LIMIT_POLICIES}
        for load in LOADS
    }
    return {"loads": figures, "violations": []}


def measure(name: str, load: str, seed: int, seconds: float = SECONDS) -> dict:
    """Return the figures of one policy under one load."""
    policy, connections = LIMIT_POLICIES[name]
    site = Site(policy, connections, LOADS[load], seed)
    site.run(seconds)
    return {
        "priorities": [_show(each) for each in site.served],
        "most": site.max_in_database,
    }


def _show(served: OperationCounts) -> dict:
    """Return the printed shares of a priority's operations."""
    offered = max(1, served.offered)
    return {
        "in_time": round(served.in_time / offered, 3),
        "refused": round(served.refused / offered, 3),
        "late": round(served.late / offered, 3),
    }
