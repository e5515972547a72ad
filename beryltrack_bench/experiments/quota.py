"""`quota`: three ways to enforce the rate limits of accounts, in simulated time.

For each way: the share of operations within an account's limit that was refused (in a
healthy fleet, a partitioned one, and after the silent loss of an owner), the maximum
rate of an account in a window relative to its limit, and messages per second.
"""

from beryltrack_bench.deployment import Deployment
from beryltrack_bench.options import Options
from beryltrack_bench.quota.site import Figures
from beryltrack_bench.quota.strategies import STRATEGIES, run_strategy

SIZES = (8, 67, 195, 520)
"""Instances of the users' fleets, and of the fleet size to design for."""


def run(deployment: Deployment, seed: int, options: Options) -> dict:
    """Run each way at each size; the product's (`lent`) must hold all limits."""
    sizes = (options.nodes,) if options.nodes else SIZES
    figures = {
        str(count): {
            name: _show(run_strategy(name, count, seed)) for name in STRATEGIES
        }
        for count in sizes
    }
    broken = [
        f"{count} instances: an account ran {ways['lent']['excess']} of its limit"
        for count, ways in figures.items()
        if ways["lent"]["excess"] > 1.0
    ]
    return {"sizes": figures, "violations": broken}


def _show(figures: Figures) -> dict:
    """Return the printed figures of one way."""
    refused = {
        phase.name: round(phase.refused / max(1, phase.asked), 4)
        for phase in figures.phases
    }
    return {
        "refused_within_limit": refused,
        "excess": round(figures.excess, 3),
        "messages_per_second": round(figures.messages_per_second, 1),
        "owner_messages_per_second": round(figures.owner_messages_per_second, 1),
    }
