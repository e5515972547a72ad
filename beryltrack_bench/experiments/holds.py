"""`holds`: which rules of elections lose acknowledged commits, in any order of events.

`CASES` must lose nothing; a loss counts as a violation. In each of `OPEN_CASES` one
safeguard is missing, so that a loss is expected.
"""

from beryltrack_bench.deployment import Deployment
from beryltrack_bench.holds.model import Limits, Rules, find_loss
from beryltrack_bench.options import Options

CASES = {
    "fenced": Rules(True),
    "unfenced": Rules(False),
    "fenced, a paused candidate goes on": Rules(True, has_paused_candidates=True),
    "unfenced, a paused candidate goes on": Rules(False, has_paused_candidates=True),
}
"""What must lose nothing: the rules in force, also while instances are paused."""

OPEN_CASES = {
    "fenced, releases without a permit": Rules(True, releases_under_permit=False),
    "unfenced, releases without a permit": Rules(False, releases_under_permit=False),
    "fenced, a late release": Rules(True, has_late_releases=True),
    "unfenced, a late release": Rules(False, has_late_releases=True),
    "fenced, a late promotion": Rules(True, has_late_promotions=True),
    "unfenced, a late promotion": Rules(False, has_late_promotions=True),
    "fenced, a paused candidate promotes unchecked": Rules(
        True, has_paused_candidates=True, confirms_promotions=False
    ),
}
"""Rules that lose commits: holds end without a permit, or a call arrives late."""


def run(deployment: Deployment, seed: int, options: Options) -> dict:
    """Explore all cases; the sizes, the seed and the options have no effect.

    Returns
    -------
    dict
        The shortest trace to a loss for each case, None if there is none.
    """
    traces = {name: find_loss(rules) for name, rules in CASES.items()}
    small = Limits(elections=2)
    open_traces = {name: find_loss(rules, small) for name, rules in OPEN_CASES.items()}
    losses = sum(trace is not None for trace in traces.values())
    return {"traces": traces, "open_traces": open_traces, "violations": losses}
