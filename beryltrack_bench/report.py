"""The report of all experiments: tables of figures, bounds and a plot.

It is made only from the objects that the experiments print, so that each figure
in it comes from a run.
"""

import json
from collections.abc import Iterator
from fnmatch import fnmatchcase
from importlib.resources import files
from pathlib import Path
from typing import NamedTuple

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

from beryltrack.findings import Finding  # noqa: E402

FIGURES_PAGE = "FIGURES.md"
PLOT = "figures.png"

INTRODUCTION = """# Figures

Made by `make bench` (`beryltrack_bench/report.py`) from the objects that the
experiments printed; do not edit. Times are in seconds unless the name says
otherwise. A bound is a target of the users; `beryltrack_bench/bounds.json` has
them all, and only those of the runs below were checked. An experiment or a
deployment that has no table or column was not run.
"""


class Bound(NamedTuple):
    """A bound of one figure.

    Parameters
    ----------
    experiment : str
        The experiment.
    figure : str
        Dotted path of the figure in the printed object; ``*`` matches any text.
    deployment : str
        The deployment that the bound applies to; empty for all.
    at_least, at_most : float or None
        Lower and upper bound of the figure; None for no bound.
    times : str
        Path of a figure by which the bound is multiplied; empty for none.
    """

    experiment: str
    figure: str
    deployment: str = ""
    at_least: float | None = None
    at_most: float | None = None
    times: str = ""


def load_bounds() -> tuple[Bound, ...]:
    """Return the bounds of all experiments."""
    text = files("beryltrack_bench").joinpath("bounds.json").read_text()
    return tuple(Bound(**each) for each in json.loads(text))


def flatten(value: object, path: str = "") -> Iterator[tuple[str, float]]:
    """Return the numbers of a printed object with their dotted paths, in order."""
    match value:
        case dict():
            for key, part in value.items():
                yield from flatten(part, f"{path}.{key}" if path else str(key))
        case bool() | None | str() | list():
            return
        case _:
            yield path, value


def check_bounds(figures: dict, bounds: tuple[Bound, ...]) -> tuple[Finding, ...]:
    """Return a finding for each figure of a printed object that violates a bound.

    A bound of the experiment that matches no figure is a finding too, so that
    renaming a figure does not disable its bound.
    """
    numbers = dict(flatten(figures))
    source = f"{figures['experiment']} {figures['deployment']}"
    return tuple(
        Finding(source, place, text)
        for bound in bounds
        if bound.experiment == figures["experiment"]
        and bound.deployment in ("", figures["deployment"])
        for place, text in _check_bound(numbers, bound)
    )


def _check_bound(numbers: dict[str, float], bound: Bound) -> Iterator[tuple[str, str]]:
    """Return the path and a description of each figure that violates a bound."""
    found = {
        place: number
        for place, number in numbers.items()
        if fnmatchcase(place, bound.figure)
    }
    if not found:
        yield bound.figure, "there is no such figure"
    factor = numbers[bound.times] if bound.times else 1.0
    for place, number in found.items():
        if bound.at_least is not None and number < bound.at_least * factor:
            yield place, f"{number} is below {bound.at_least * factor:g}"
        if bound.at_most is not None and number > bound.at_most * factor:
            yield place, f"{number} is above {bound.at_most * factor:g}"


def format_page(runs: list[dict], findings: tuple[Finding, ...]) -> str:
    """Return the report page with one table for each experiment."""
    parts = [INTRODUCTION, f"![The two measures]({PLOT})\n", "## Bounds\n"]
    parts.append(
        "\n".join(f"- {each.source}: {each.place}: {each.text}" for each in findings)
        or "All bounds hold."
    )
    for name in dict.fromkeys(run["experiment"] for run in runs):
        same = [run for run in runs if run["experiment"] == name]
        parts += [f"\n## {name}\n", _format_table(same)]
    return "\n".join(parts) + "\n"


def _format_table(runs: list[dict]) -> str:
    """Return one row for each figure and one column for each deployment."""
    columns = {run["deployment"]: dict(flatten(run)) for run in runs}
    rows = dict.fromkeys(place for numbers in columns.values() for place in numbers)
    lines = [
        "| figure | " + " | ".join(columns) + " |",
        "|---" * (len(columns) + 1) + "|",
    ]
    lines += [
        f"| {place} | "
        + " | ".join(f"{numbers.get(place, '')}" for numbers in columns.values())
        + " |"
        for place in rows
    ]
    return "\n".join(lines)


def plot_measures(runs: list[dict], target: Path) -> None:
    """Plot the replica share and the failover gap."""
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.2))
    _plot_bars(left, _get_shares(runs), "share of reads served by replicas")
    _plot_bars(right, _get_gaps(runs), "failover gap, p99 (s)")
    figure.tight_layout()
    figure.savefig(target, dpi=80)
    pyplot.close(figure)


def _get_shares(runs: list[dict]) -> dict[str, dict[str, float]]:
    """Return the replica shares by deployment."""
    names = ("replica_share", "ceiling", "baseline_sticky", "baseline_primary_only")
    return {
        run["deployment"]: {name: run[name] for name in names}
        for run in runs
        if run["experiment"] == "steady"
    }


def _get_gaps(runs: list[dict]) -> dict[str, dict[str, float]]:
    """Return the failover gaps by deployment, with the lower bound of each."""
    return {
        run["deployment"]: {
            **{kind: gap["p99"] for kind, gap in run["gap"].items()},
            "floor": run["floor"],
        }
        for run in runs
        if run["experiment"] == "failover"
    }


def _plot_bars(axes, groups: dict[str, dict[str, float]], title: str) -> None:
    """Plot bars grouped by deployment."""
    width = 0.8 / max(1, len(groups))
    for number, (name, bars) in enumerate(groups.items()):
        places = [place + number * width for place in range(len(bars))]
        axes.bar(places, bars.values(), width, label=name)
        axes.set_xticks(range(len(bars)), bars, rotation=30, ha="right", fontsize=7)
    axes.set_title(title, fontsize=9)
    if groups:
        axes.legend(fontsize=7)


def write_report(runs: list[dict], folder: Path) -> tuple[Finding, ...]:
    """Write the page and the plot; return the violated bounds.

    Parameters
    ----------
    runs : list of dict
        Objects printed by experiments.
    folder : Path
        Folder of the page and the plot.
    """
    bounds = load_bounds()
    findings = tuple(each for run in runs for each in check_bounds(run, bounds))
    plot_measures(runs, folder / PLOT)
    (folder / FIGURES_PAGE).write_text(format_page(runs, findings))
    return findings
