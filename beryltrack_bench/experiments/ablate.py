"""`ablate`: the effect of each queueing, refusal and retry mechanism under overload.

The real pools, admission and retry budgets of `overload` run with the sizes of an
instance on the users' platform, once with all mechanisms and once without each, over
several seeds. Callers have one of two timeouts, so that the order of the queue has an
effect. Mechanisms of routing and of changes of primary are not exercised here.
"""

from statistics import mean
from typing import NamedTuple

from beryltrack.daemon.node_policies import NodePolicies, make_policies
from beryltrack.settings.mechanisms import Mechanism
from beryltrack_bench.deployment import Deployment
from beryltrack_bench.experiments.overload import (
    RunResult,
    count_violations,
    run_scenario,
)
from beryltrack_bench.options import Options
from beryltrack_bench.overload.load import Offer, get_seconds
from beryltrack_bench.overload.proxy import Outcome
from beryltrack_bench.overload.site import SiteOptions
from beryltrack_bench.overload.workload import compute_capacity

ALL_ON = "all"
DEFAULT_RUNS = 1
MEASURED = 2.0
"""Measured seconds of each run, twice the longest timeout, so that requests queued at
the end have less weight."""
CALLER_TIMEOUTS = (0.3, 1.0)
"""Timeouts of callers in seconds; each applies to half of the callers."""

MECHANISMS = (
    Mechanism.DEADLINE_ORDER,
    Mechanism.EARLY_REFUSAL,
    Mechanism.FEW_CONNECTIONS,
    Mechanism.LONG_QUEUE,
    Mechanism.RETRIES,
    Mechanism.RETRY_BUDGET,
)


class Load(NamedTuple):
    """A load pattern.

    Parameters
    ----------
    load_factor : float
        Offered load as a multiple of the connections' capacity.
    storming : bool
        True if callers retry at once after each refusal.
    outage : bool
        True if all databases were down just before, so that all callers return.
    """

    load_factor: float
    storming: bool = False
    outage: bool = False


LOADS = {
    "0.8 times what is carried": Load(0.8),
    "2 times": Load(2.0),
    "5 times": Load(5.0),
    "2 times, refused callers return at once": Load(2.0, storming=True),
    "all return after an outage": Load(1.0, storming=True, outage=True),
}


class RunFigures(NamedTuple):
    """Figures of one run.

    Parameters
    ----------
    goodput : float
        Share of the offered requests that were done in time.
    p99 : float
        99th percentile of the latency of done requests, seconds.
    late : int
        Requests that were done after their deadline.
    refused : float
        Share of the offered requests that were refused.
    violations : int
        Refused requests that ran, and databases with more connections than their
        limit.
    """

    goodput: float
    p99: float
    late: int
    refused: float
    violations: int


def run(deployment: Deployment, seed: int, options: Options) -> dict:
    """Run all loads with all mechanisms and without each.

    Parameters
    ----------
    deployment : Deployment
        The sizes.
    seed : int
        The first seed.
    options : Options
        `runs` is the number of seeds, `seconds` the measured time of each run.

    Returns
    -------
    dict
        The means for each load and each disabled mechanism, with the spread of the
        goodput.
    """
    seeds = range(seed, seed + (options.runs or DEFAULT_RUNS))
    seconds = options.seconds or MEASURED
    cases = {ALL_ON: frozenset()}
    cases.update((each.value, frozenset({each})) for each in MECHANISMS)
    rows = {
        load: {
            name: [
                measure(deployment, number, pattern, make_policies(True, off), seconds)
                for number in seeds
            ]
            for name, off in cases.items()
        }
        for load, pattern in LOADS.items()
    }
    every = (
        figures for row in rows.values() for runs in row.values() for figures in runs
    )
    return {
        "loads": {
            load: {name: summarize(runs) for name, runs in row.items()}
            for load, row in rows.items()
        },
        "violations": sum(figures.violations for figures in every),
    }


def measure(
    deployment: Deployment,
    seed: int,
    load: Load,
    policies: NodePolicies,
    seconds: float,
) -> RunFigures:
    """Run one load with some policies and return its figures."""
    rate = load.load_factor * compute_capacity(deployment)
    offer = Offer("a", rate, load.storming, timeouts=CALLER_TIMEOUTS)
    options = SiteOptions(pool=policies.pools, retries=policies.retries)
    result = run_scenario(deployment, seed, [offer], seconds, options, load.outage)
    return compute_figures(result)


def compute_figures(result: RunResult) -> RunFigures:
    """Return the figures of a run."""
    tally = result.tally
    offered = max(tally.offered, 1)
    return RunFigures(
        sum(tally.in_time_counts.values()) / offered,
        get_seconds(tally.latency, 99.0),
        tally.late,
        tally.outcome_counts[Outcome.REFUSED] / offered,
        count_violations(result),
    )


def summarize(runs: list[RunFigures]) -> dict:
    """Return the printed figures of the runs of one case."""
    goodputs = [each.goodput for each in runs]
    return {
        "goodput": round(mean(goodputs), 4),
        "goodput_spread": round(max(goodputs) - min(goodputs), 4),
        "p99_s": round(mean(each.p99 for each in runs), 4),
        "late": sum(each.late for each in runs),
        "refused": round(mean(each.refused for each in runs), 4),
    }
