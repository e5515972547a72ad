"""`steady`: the share of reads that replicas serve, compared with an oracle.

The product's `GroupTask` and `choose_target` run under the deployment's workload, one
group at a time. They are compared with an oracle that knows all positions and with two
baselines over the same visits: all reads at the primary, and a session's reads at
the primary for a fixed time after its write (sticky).
"""

from collections import Counter
from math import ceil
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from beryltrack.routing.decider import DEFAULT_POLICY, RoutingPolicy
from beryltrack_bench.deployment import Deployment
from beryltrack_bench.options import Options
from beryltrack_bench.steady.oracle import Oracle
from beryltrack_bench.steady.records import RunRecord
from beryltrack_bench.steady.routers import (
    PrimaryRouter,
    ProductRouter,
    Router,
    StickyRouter,
)
from beryltrack_bench.steady.site import RunSettings, SteadySite

DEFAULT_SECONDS = 12.0
"""Length of the run of one group, seconds."""

STICKY_PERCENTILE = 0.999
_MICROSECONDS = 1e6
_MAX_RECORDED_US = 60_000_000
_DIGITS = 3


class Outcome(NamedTuple):
    """The runs of all groups with one router.

    Parameters
    ----------
    records : list of RunRecord
        One for each group.
    """

    records: list[RunRecord]


def run(
    deployment: Deployment,
    seed: int,
    options: Options,
    policy: RoutingPolicy = DEFAULT_POLICY,
) -> dict:
    """Run the experiment.

    Parameters
    ----------
    deployment : Deployment
        The site.
    seed : int
        Seed of all random numbers.
    options : Options
        `seconds` is the length of each group's run, `runs` the number of groups.
    policy : RoutingPolicy, default=DEFAULT_POLICY
        The limits of the product's routing.

    Returns
    -------
    dict
        The figures. Latencies are those of callers, in milliseconds.
    """
    product = _run_groups(deployment, seed, options, ProductRouter(policy))
    primary = _run_groups(deployment, seed, options, PrimaryRouter())
    window = _compute_window(product)
    sticky = _run_groups(deployment, seed, options, StickyRouter(window))
    oracles = [Oracle(record) for record in product.records]
    return {
        "replica_share": _compute_share(product),
        "ceiling": _compute_ceiling(product, oracles, policy.max_wait),
        "ceiling_without_wait": _compute_ceiling(product, oracles, 0.0),
        "baseline_primary_only": _compute_share(primary),
        "baseline_sticky": _compute_share(sticky),
        "sticky_window_s": round(window, 4),
        "reads": sum(len(record.reads) for record in product.records),
        "writes": sum(len(record.writes) for record in product.records),
        "refused": sum(len(record.refused) for record in product.records),
        "latency_ms": {
            "product": _compute_latency(product),
            "primary_only": _compute_latency(primary),
            "sticky": _compute_latency(sticky),
        },
        "violations": sum(_count_violations(product).values()),
        "violations_by_invariant": _count_violations(product),
        "violations_of_sticky": _count_violations(sticky),
    }


def _run_groups(
    deployment: Deployment, seed: int, options: Options, router: Router
) -> Outcome:
    """Run each group separately with one router."""
    seconds = options.seconds or DEFAULT_SECONDS
    groups = deployment.groups[: options.runs or None]
    return Outcome(
        [
            SteadySite(RunSettings(deployment, group, seed, seconds), router).run()
            for group in groups
        ]
    )


def _compute_share(outcome: Outcome) -> float:
    """Return the share of all reads, refused ones included, served by replicas."""
    reads = [read for record in outcome.records for read in record.reads]
    refused = sum(len(record.refused) for record in outcome.records)
    return round(sum(read.is_replica for read in reads) / (len(reads) + refused), 4)


def _compute_ceiling(outcome: Outcome, oracles: list[Oracle], wait: float) -> float:
    """Return the oracle's share over all groups, weighted by their reads."""
    counts = [len(record.reads) for record in outcome.records]
    shares = [oracle.compute_ceiling(wait) for oracle in oracles]
    served = sum(share * count for share, count in zip(shares, counts, strict=True))
    return round(served / sum(counts), 4)


def _compute_window(outcome: Outcome) -> float:
    """Return the `STICKY_PERCENTILE` of the time until a write is applied, seconds."""
    lags = sorted(lag for record in outcome.records for lag in record.lags)
    return lags[ceil(STICKY_PERCENTILE * len(lags)) - 1]


def _compute_latency(outcome: Outcome) -> dict[str, float]:
    """Return percentiles of the callers' read latency, milliseconds."""
    histogram = HdrHistogram(1, _MAX_RECORDED_US, _DIGITS)
    for record in outcome.records:
        for read in record.reads:
            histogram.record_value(
                round((read.ended_at - read.started_at) * _MICROSECONDS)
            )
    return {
        f"p{percentile}": histogram.get_value_at_percentile(percentile) / 1000
        for percentile in (50, 99)
    }


def _count_violations(outcome: Outcome) -> dict[str, int]:
    """Return the violations of each invariant over all groups."""
    counts = Counter()
    for record in outcome.records:
        counts.update(Oracle(record).count_violations())
    return dict(counts)
