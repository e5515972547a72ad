"""Limits of what runs at a database: three ways, in simulated time.

For each load and way: the part of each priority's operations that was done in time, was
refused and was late, and the most that ran or waited at the database at once.
"""

from beryltrack.load.policy import LoadPolicy
from beryltrack_bench.deployment import Deployment
from beryltrack_bench.limits.site import Load, Served, Site
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
    "100/s, 8 times slower": Load(100.0, slow_from=8.0, slow_until=14.0, slowness=8.0),
}
"""231 operations a second fill the database's slots."""

WAYS = {
    "no limit": (LoadPolicy(is_limited=False), CONNECTIONS),
    "fixed": (LoadPolicy(is_limited=False), EVEN_PART),
    "adaptive": (LoadPolicy(), CONNECTIONS),
}


def run(deployment: Deployment, seed: int, options: Options) -> dict:
    """Play each way under each load."""
    figures = {load: {way: play(way, load, seed) for way in WAYS} for load in LOADS}
    return {"loads": figures, "violations": []}


def play(way: str, load: str, seed: int, seconds: float = SECONDS) -> dict:
    """Return the figures of one way under one load."""
    policy, connections = WAYS[way]
    site = Site(policy, connections, LOADS[load], seed)
    site.play(seconds)
    return {"priorities": [_show(each) for each in site.served], "most": site.most}


def _show(served: Served) -> dict:
    """Return the printed form of what became of a priority's operations."""
    asked = max(1, served.asked)
    return {
        "in_time": round(served.in_time / asked, 3),
        "refused": round(served.refused / asked, 3),
        "late": round(served.late / asked, 3),
    }
