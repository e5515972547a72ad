"""Figures of a replay by priority, account class and second; as tables and plots."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from pathlib import Path
from statistics import mean
from typing import NamedTuple

from beryltrack.load.policy import LoadPolicy
from beryltrack_bench.deployment import Deployment
from beryltrack_bench.replay.patterns import HOT_ACCOUNT, Pattern, Sizes
from beryltrack_bench.replay.site import OperationOutcome, OperationResult, ReplaySite

ALL_ON, BASELINE = "all on", "standing way"
NO_MIN_SHARES = LoadPolicy()._replace(floors=(0.0,) * len(LoadPolicy().floors))

CASES = {
    ALL_ON: LoadPolicy(),
    "no limit": LoadPolicy(is_limited=False),
    "order of arrival": LoadPolicy(is_ordered=False),
    "no floors": NO_MIN_SHARES,
    "late refusals": LoadPolicy(refuses_early=False),
    BASELINE: LoadPolicy(is_limited=False, is_ordered=False),
}
"""The policies that are compared: all decisions on, each one off, and the baseline
without a limit, in order of arrival."""


class Share(NamedTuple):
    """Outcomes of a set of operations; shares are from 0 to 1.

    Parameters
    ----------
    offered : int
        Number of operations.
    worth : float
        Mean of `compute_worth`.
    in_aim : float
        Share that was done within its target latency.
    refused, lost : float
        Share that was refused after all attempts, and share without an answer.
    """

    offered: int
    worth: float
    in_aim: float
    refused: float
    lost: float


class CaseFigures(NamedTuple):
    """Figures of one pattern, replayed under one policy with some seeds.

    Parameters
    ----------
    worth : float
        Mean worth of all operations.
    spread : float
        Difference between the largest and the smallest mean of a seed.
    priorities, classes, seconds : dict
        The shares by priority, by account class, and by second of arrival.
    untrue : int
        Operations that were refused although they had run.
    over_limit : int
        Connections that the database refused.
    """

    worth: float
    spread: float
    priorities: dict[int, Share]
    classes: dict[str, Share]
    seconds: dict[int, Share]
    untrue: int
    over_limit: int


def compute_worth(ended: OperationResult) -> float:
    """Return the utility of an operation's result, from 0 to 1.

    It is one within the target latency and falls linearly to zero at the deadline. A
    refusal and a lost answer are worth nothing.
    """
    if ended.end is not OperationOutcome.DONE:
        return 0.0
    operation, latency = ended.operation, ended.at - ended.operation.at
    target_latency, deadline = operation.demand.latency_left, operation.demand.time_left
    return (
        1.0
        if latency <= target_latency
        else max(0.0, (deadline - latency) / (deadline - target_latency))
    )


def replay(
    deployment: Deployment,
    sizes: Sizes,
    pattern: Pattern,
    policy: LoadPolicy,
    seeds: Iterable[int],
    seconds: float,
) -> CaseFigures:
    """Run one pattern under one policy, once for each seed.

    Parameters
    ----------
    deployment : Deployment
        Network delays.
    sizes : Sizes
        Sizes of the site.
    pattern : Pattern
        The load and the faults.
    policy : LoadPolicy
        Policy of the gates.
    seeds : iterable of int
        Seeds, one for each run.
    seconds : float
        Length of the load in each run.
    """
    runs: list[list[OperationResult]] = []
    sites = []
    for seed in seeds:
        ends: list[OperationResult] = []
        site = ReplaySite(
            deployment, sizes, pattern, policy, seed, seconds, ends.append
        )
        site.run()
        runs.append(ends)
        sites.append(site)
    means = [mean(map(compute_worth, ends)) for ends in runs]
    every = [ended for ends in runs for ended in ends]
    return CaseFigures(
        round(mean(map(compute_worth, every)), 4),
        round(max(means) - min(means), 4),
        summarize(every, lambda each: each.operation.demand.priority),
        summarize(every, get_account_class),
        summarize(every, lambda each: int(each.operation.at)),
        sum(site.untrue for site in sites),
        sum(site.database.refused_count for site in sites),
    )


def get_account_class(ended: OperationResult) -> str:
    """Return the class of an operation's account: the hot account or the others."""
    is_hot = ended.operation.demand.account == HOT_ACCOUNT
    return HOT_ACCOUNT if is_hot else "others"


def summarize(
    ends: Iterable[OperationResult], get_key: Callable[[OperationResult], object]
) -> dict[object, Share]:
    """Return the shares of the operations, grouped by a key."""
    groups = defaultdict(list)
    for ended in ends:
        groups[get_key(ended)].append(ended)
    return {key: _summarize_group(groups[key]) for key in sorted(groups)}


def _summarize_group(ends: list[OperationResult]) -> Share:
    """Return the shares of a group of operations."""
    count = len(ends)
    worths = list(map(compute_worth, ends))
    shares = (
        mean(worths),
        sum(worth == 1.0 for worth in worths) / count,
        sum(each.end is OperationOutcome.REFUSED for each in ends) / count,
        sum(each.end is OperationOutcome.LOST for each in ends) / count,
    )
    return Share(count, *(round(share, 4) for share in shares))


def format_pattern(name: str, cases: dict[str, CaseFigures]) -> list[str]:
    """Return the tables of one pattern as lines of Markdown."""
    first = next(iter(cases.values()))
    columns = (
        *(f"priority {each}" for each in first.priorities),
        *first.classes,
    )
    seconds = tuple(f"{each} s" for each in first.seconds)
    lines = [f"## {name}", "", "Worth (in aim, refused):", ""]
    lines += _format_head(("way", "all", "spread", *columns))
    for way, case in cases.items():
        shares = (*case.priorities.values(), *case.classes.values())
        cells = (
            f"{each.worth:.2f} ({each.in_aim:.2f}, {each.refused:.2f})"
            for each in shares
        )
        lines.append(
            _format_row((way, f"{case.worth:.3f}", f"{case.spread:.3f}"), cells)
        )
    lines += ["", "Worth by second of arrival:", "", *_format_head(("way", *seconds))]
    for way, case in cases.items():
        cells = (f"{each.worth:.2f}" for each in case.seconds.values())
        lines.append(_format_row((way,), cells))
    return [*lines, ""]


def _format_head(names: tuple[str, ...]) -> list[str]:
    """Return the head of a table."""
    return [_format_row(names, ()), "|---" * len(names) + "|"]


def _format_row(names: tuple[str, ...], cells: Iterable[str]) -> str:
    """Return a row of a table."""
    return f"| {' | '.join((*names, *cells))} |"


def plot_patterns(patterns: dict[str, dict[str, CaseFigures]], target: Path) -> None:
    """Plot the worth by second of each pattern, a line for each policy."""
    # Imported only here, as the plotting library takes most of a second to import.
    from beryltrack_bench.report import pyplot

    columns = min(2, len(patterns))
    rows = -(-len(patterns) // columns)
    figure, axes = pyplot.subplots(
        rows, columns, figsize=(4.5 * columns, 2.2 * rows), squeeze=False
    )
    for place, (name, cases) in zip(axes.flat, patterns.items(), strict=False):
        for way, case in cases.items():
            worths = [each.worth for each in case.seconds.values()]
            place.plot(list(case.seconds), worths, label=way, linewidth=1)
        place.set_title(name, fontsize=8)
        place.set_ylim(0, 1.05)
        place.tick_params(labelsize=6)
    axes.flat[0].legend(fontsize=5)
    figure.tight_layout()
    figure.savefig(target, dpi=90)
    pyplot.close(figure)
