"""What a replay showed, by priority, account class and second; as text and picture."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from pathlib import Path
from statistics import mean
from typing import NamedTuple

from beryltrack.load.policy import LoadPolicy
from beryltrack_bench.deployment import Deployment
from beryltrack_bench.replay.patterns import HOT_ACCOUNT, Pattern, Sizes
from beryltrack_bench.replay.site import End, Ended, ReplaySite

ALL_ON, STANDING = "all on", "standing way"
NO_FLOORS = LoadPolicy()._replace(floors=(0.0,) * len(LoadPolicy().floors))

CASES = {
    ALL_ON: LoadPolicy(),
    "no limit": LoadPolicy(is_limited=False),
    "order of arrival": LoadPolicy(is_ordered=False),
    "no floors": NO_FLOORS,
    "late refusals": LoadPolicy(refuses_early=False),
    STANDING: LoadPolicy(is_limited=False, is_ordered=False),
}
"""The ways that are compared: each decision off, and no limit in order of arrival."""


class Share(NamedTuple):
    """What became of some operations.

    Parameters
    ----------
    offered : int
        How many there were.
    worth : float
        Mean of `compute_worth`.
    in_aim : float
        Part that was done within its target latency.
    refused, lost : float
        Part that was refused for good, and whose answer did not come.
    """

    offered: int
    worth: float
    in_aim: float
    refused: float
    lost: float


class CaseFigures(NamedTuple):
    """One pattern, replayed in one way with some seeds.

    Parameters
    ----------
    worth : float
        Mean of all operations.
    spread : float
        Largest mean of a seed without the smallest one.
    priorities, classes, seconds : dict
        The shares by priority, by account class, and by the second of the arrival.
    untrue : int
        Operations that were refused though they had run.
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


def compute_worth(ended: Ended) -> float:
    """Return what an end is worth: one within the aim, falling to zero at the deadline.

    A refusal and a lost answer are worth nothing.
    """
    if ended.end is not End.DONE:
        return 0.0
    operation, took = ended.operation, ended.at - ended.operation.at
    aim, deadline = operation.demand.latency_left, operation.demand.time_left
    return 1.0 if took <= aim else max(0.0, (deadline - took) / (deadline - aim))


def replay(
    deployment: Deployment,
    sizes: Sizes,
    pattern: Pattern,
    policy: LoadPolicy,
    seeds: Iterable[int],
    seconds: float,
) -> CaseFigures:
    """Play one pattern in one way with each seed.

    Parameters
    ----------
    deployment : Deployment
        Delays.
    sizes : Sizes
        How large the site is.
    pattern : Pattern
        What comes, and what happens.
    policy : LoadPolicy
        Steers the gates.
    seeds : iterable of int
        One run each.
    seconds : float
        How long operations come in each run.
    """
    runs: list[list[Ended]] = []
    sites = []
    for seed in seeds:
        ends: list[Ended] = []
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


def get_account_class(ended: Ended) -> str:
    """Return whether an operation is of the hot account or of another one."""
    is_hot = ended.operation.demand.account == HOT_ACCOUNT
    return HOT_ACCOUNT if is_hot else "others"


def summarize(
    ends: Iterable[Ended], get_key: Callable[[Ended], object]
) -> dict[object, Share]:
    """Return the shares of operations by a key of theirs."""
    groups = defaultdict(list)
    for ended in ends:
        groups[get_key(ended)].append(ended)
    return {key: _share(groups[key]) for key in sorted(groups)}


def _share(ends: list[Ended]) -> Share:
    """Return what became of some operations."""
    count = len(ends)
    worths = list(map(compute_worth, ends))
    parts = (
        mean(worths),
        sum(worth == 1.0 for worth in worths) / count,
        sum(each.end is End.REFUSED for each in ends) / count,
        sum(each.end is End.LOST for each in ends) / count,
    )
    return Share(count, *(round(part, 4) for part in parts))


def format_pattern(name: str, cases: dict[str, CaseFigures]) -> list[str]:
    """Return the tables of one pattern as lines of Markdown."""
    first = next(iter(cases.values()))
    columns = (
        *(f"priority {each}" for each in first.priorities),
        *first.classes,
    )
    seconds = tuple(f"{each} s" for each in first.seconds)
    parts = [f"## {name}", "", "Worth (in aim, refused):", ""]
    parts += _format_head(("way", "all", "spread", *columns))
    for way, case in cases.items():
        shares = (*case.priorities.values(), *case.classes.values())
        cells = (
            f"{each.worth:.2f} ({each.in_aim:.2f}, {each.refused:.2f})"
            for each in shares
        )
        parts.append(
            _format_row((way, f"{case.worth:.3f}", f"{case.spread:.3f}"), cells)
        )
    parts += ["", "Worth by second of arrival:", "", *_format_head(("way", *seconds))]
    for way, case in cases.items():
        cells = (f"{each.worth:.2f}" for each in case.seconds.values())
        parts.append(_format_row((way,), cells))
    return [*parts, ""]


def _format_head(names: tuple[str, ...]) -> list[str]:
    """Return the head of a table."""
    return [_format_row(names, ()), "|---" * len(names) + "|"]


def _format_row(names: tuple[str, ...], cells: Iterable[str]) -> str:
    """Return a row of a table."""
    return f"| {' | '.join((*names, *cells))} |"


def plot_patterns(patterns: dict[str, dict[str, CaseFigures]], target: Path) -> None:
    """Draw the worth by second of each pattern, a line for each way."""
    # The plotting library takes most of a second to import.
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
