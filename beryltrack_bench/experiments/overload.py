"""`overload`: goodput, refusals and limits when the offered load exceeds capacity.

Real pools, budgets, admission and retry budgets run over small fakes of the
databases, the peer link and the store, on one simulated clock. The scenarios are: one
group of databases at multiples of its connections' capacity, a retry storm, a
thundering herd after an outage, a flood by one team beside another, and an uneven load
balancer with borrowed and with fixed shares.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple

from beryltrack.connections.budget import BudgetPolicy
from beryltrack.connections.loan_policy import LoanPolicy
from beryltrack_bench.deployment import Deployment
from beryltrack_bench.options import Options
from beryltrack_bench.overload.load import Callers, Offer, Tally, get_seconds
from beryltrack_bench.overload.proxy import Outcome
from beryltrack_bench.overload.site import OverloadSite, SiteOptions
from beryltrack_bench.overload.workload import compute_capacity

LOADS = (0.5, 1.0, 2.0, 5.0)
"""Offered loads as multiples of the capacity."""

# Times of a scenario, seconds.
WARM_UP = 0.5
MEASURED_TIME = 0.8
DRAIN_TIME = 1.2
OUTAGE_TIME = 0.4
# Seconds until a pool learns of a target's return: the control connections see it
# within a heartbeat.
DETECTION_DELAY = 0.05
RETURN_TIME = 1.5
MAX_TEAM_REQUESTS = 48
# Loads as multiples of the capacity, and the weight of a proxy with a trickle.
SMALL_LOAD = 0.3
TRICKLE_WEIGHT = 0.02
UNEVEN_LOAD = 1.3
FIXED_SHARES = BudgetPolicy(loans=LoanPolicy(max_asked_lenders=0))


class RunResult(NamedTuple):
    """One scenario, run to its end.

    Parameters
    ----------
    site : OverloadSite
        The site after the run.
    tally : Tally
        Outcomes of the requests.
    callers : Callers
        The callers that sent them.
    """

    site: OverloadSite
    tally: Tally
    callers: Callers


def run(deployment: Deployment, seed: int, options: Options) -> dict:
    """Run all scenarios and return the figures that are printed.

    Parameters
    ----------
    deployment : Deployment
        The sizes.
    seed : int
        Seed of all random numbers.
    options : Options
        `seconds` is the measured time of each load; 0.8 by default.

    Returns
    -------
    dict
        See docs/notes/limits.md.
    """
    seconds = options.seconds or MEASURED_TIME
    capacity = compute_capacity(deployment)
    runs = {
        load: run_scenario(deployment, seed, [Offer("a", load * capacity)], seconds)
        for load in LOADS
    }
    storm = run_scenario(
        deployment, seed, [Offer("a", 2 * capacity, retries_at_once=True)], seconds
    )
    thundering = run_thundering_herd(deployment, seed, capacity)
    best = max(result.tally.get_goodput() for result in runs.values())
    every = [*runs.values(), storm, thundering]
    return {
        "capacity_per_s": round(capacity, 1),
        "loads": {str(load): describe(result, best) for load, result in runs.items()},
        "retry_storm": describe(storm, best),
        "thundering_return": {
            **describe(thundering, best),
            "recovered_s": compute_recovery(thundering, best),
        },
        "fairness": measure_fairness(deployment, seed, capacity, seconds),
        "uneven_load": measure_shares(deployment, seed, capacity, seconds),
        "untrue_refusals": sum(count_untrue(result) for result in every),
        "over_limit": sum(count_over_limit(result) for result in every),
        "violations": sum(map(count_violations, every)),
    }


def run_scenario(
    deployment: Deployment,
    seed: int,
    offers: Sequence[Offer],
    seconds: float,
    options: SiteOptions = SiteOptions(),  # noqa: B008 (immutable)
    outage: bool = False,
) -> RunResult:
    """Run one scenario to its end.

    Parameters
    ----------
    deployment : Deployment
        The sizes.
    seed : int
        Seed of all random numbers.
    offers : sequence of Offer
        The load that callers offer.
    seconds : float
        Measured time, seconds.
    options : SiteOptions
        Options of the site.
    outage : bool
        True if all databases go down in the warm-up and come back, without open
        connections, when the measured time begins.

    Returns
    -------
    RunResult
        The site and the counts.
    """
    observers: list[Callers] = []
    site = OverloadSite(
        deployment, options, seed, lambda end: observers[0].observe(end)
    )
    start = site.clock.seconds() + WARM_UP
    tally = Tally(start, start + seconds)
    callers = Callers(site, offers, tally, random.Random(f"{seed}/callers"))
    observers.append(callers)
    callers.start()
    if outage:
        for database in site.all_databases:
            site.clock.callLater(WARM_UP - OUTAGE_TIME, database.stop)
            site.clock.callLater(WARM_UP, database.start)
        for pool in site.pools:
            site.clock.callLater(WARM_UP + DETECTION_DELAY, pool.observe_reachable)
    site.clock.run_until(tally.end + DRAIN_TIME)
    return RunResult(site, tally, callers)


def run_thundering_herd(
    deployment: Deployment, seed: int, capacity: float, seconds: float = RETURN_TIME
) -> RunResult:
    """Run a herd of callers that return at once after an outage and retry."""
    offers = [Offer("a", capacity, retries_at_once=True)]
    return run_scenario(deployment, seed, offers, seconds, outage=True)


def describe(result: RunResult, best: float) -> dict:
    """Return the printed figures of one scenario."""
    tally, site = result.tally, result.site
    retries = sum(proxy.retry_count for proxy in site.proxies)
    requests = sum(proxy.request_count for proxy in site.proxies)
    samples = result.callers.utilization_samples
    return {
        "offered_per_s": round(tally.offered / (tally.end - tally.start), 1),
        "goodput_per_s": round(tally.get_goodput(), 1),
        "goodput_of_best": round(tally.get_goodput() / best, 4),
        "admitted_p99_s": get_seconds(tally.latency, 99.0),
        "late": tally.late,
        "refused": tally.outcome_counts[Outcome.REFUSED],
        "lost": tally.outcome_counts[Outcome.LOST],
        "untrue_refusals": count_untrue(result),
        "refusal_p99_s": get_seconds(tally.refusal_delay, 99.0),
        "retries_per_request": round(retries / requests, 4),
        "connections_most": max(each.max_open for each in site.all_databases),
        "connections_limit": site.all_databases[0].max_connections,
        "refused_by_database": sum(each.refused_count for each in site.all_databases),
        "in_use_while_waiting": compute_mean(samples),
    }


def measure_fairness(
    deployment: Deployment, seed: int, capacity: float, seconds: float
) -> dict:
    """Measure a team at low load alone, and beside another team's flood."""
    options = SiteOptions(teams=("a", "b"), max_requests=MAX_TEAM_REQUESTS)
    steady_offer = Offer("b", SMALL_LOAD * capacity)
    flood = Offer("a", 5 * capacity, retries_at_once=False)
    alone = run_scenario(deployment, seed, [steady_offer], seconds, options)
    with_flood = run_scenario(deployment, seed, [steady_offer, flood], seconds, options)
    before, after = (each.tally.get_goodput("b") for each in (alone, with_flood))
    return {
        "calm_alone_per_s": round(before, 1),
        "calm_beside_flood_per_s": round(after, 1),
        "calm_kept": round(after / before, 4),
        "flood_goodput_per_s": round(with_flood.tally.get_goodput("a"), 1),
        "untrue_refusals": count_untrue(with_flood),
    }


def measure_shares(
    deployment: Deployment, seed: int, capacity: float, seconds: float
) -> dict:
    """Compare borrowed with fixed shares when two proxies get most of the load.

    The other proxies get no load, or a trickle for which each holds a connection.
    """
    return {
        f"{name}_{shares}": describe_shares(
            run_scenario(
                deployment,
                seed,
                [
                    Offer(
                        "a",
                        UNEVEN_LOAD * capacity,
                        weights=get_weights(deployment, rest),
                    )
                ],
                seconds,
                SiteOptions(budget=policy),
            )
        )
        for name, rest in (("idle", 0.0), ("trickle", TRICKLE_WEIGHT))
        for shares, policy in (("borrowed", BudgetPolicy()), ("fixed", FIXED_SHARES))
    }


def get_weights(deployment: Deployment, rest: float) -> tuple[float, ...]:
    """Return the proxies' load-balancing weights: 1 for two, `rest` for the others."""
    return tuple(1.0 if n < 2 else rest for n in range(deployment.proxies))


def describe_shares(result: RunResult) -> dict:
    """Return the printed figures of a run with an uneven load balancer."""
    site = result.site
    return {
        "goodput_per_s": round(result.tally.get_goodput(), 1),
        "in_use_while_waiting": compute_mean(result.callers.utilization_samples),
        "connections_most": max(each.max_open for each in site.all_databases),
        "messages_per_s": round(site.message_count / site.clock.seconds(), 1),
    }


def compute_recovery(result: RunResult, best: float) -> float | None:
    """Return the end of the first 0.1 s interval with 0.9 of the best goodput.

    In seconds from the start of the measured time; None if there is none.
    """
    step = 0.1
    tally = result.tally
    steps = round((tally.end - tally.start) / step)
    counts = [
        sum(1 for at in tally.done_at if 0 <= at - tally.start - n * step < step)
        for n in range(steps)
    ]
    times = [(n + 1) * step for n in range(steps) if counts[n] >= 0.9 * best * step]
    return round(times[0], 1) if times else None


def compute_mean(samples: Sequence[float]) -> float | None:
    """Return the mean of the samples; None without samples."""
    return round(sum(samples) / len(samples), 4) if samples else None


def count_untrue(result: RunResult) -> int:
    """Return the number of refused requests that ran nevertheless."""
    ran = set().union(*(each.ran for each in result.site.all_databases))
    return sum(number in ran for number in result.tally.refused_numbers)


def count_over_limit(result: RunResult) -> int:
    """Return the number of databases that exceeded their connection limit."""
    databases = result.site.all_databases
    return sum(each.max_open > each.max_connections for each in databases)


def count_violations(result: RunResult) -> int:
    """Return the number of all violations of a run."""
    return count_untrue(result) + count_over_limit(result)
