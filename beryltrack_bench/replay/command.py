"""The command `beryltrack-bench replay`: load patterns under several load policies."""

import json
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option

from beryltrack.findings import format_finding
from beryltrack.json_form import to_json
from beryltrack.load.policy import LoadPolicy
from beryltrack.load.settings import LOAD_VARIABLE, read_load_policy
from beryltrack_bench.deployment import DEPLOYMENTS, load_deployment
from beryltrack_bench.replay.figures import (
    CASES,
    CaseFigures,
    format_pattern,
    plot_patterns,
    replay,
)
from beryltrack_bench.replay.patterns import PATTERNS, Sizes, validate_sizes

EXIT_HELD, EXIT_USAGE, EXIT_VIOLATIONS = 0, 1, 2
SECONDS = 6
AS_SET = "as set"


class ReplayCommand(Command):
    """Replays load patterns in simulated time and prints tables and a JSON object."""

    name = "replay"
    description = "Replay load patterns against the decisions under load."
    options = [
        option("deployment", None, " or ".join(DEPLOYMENTS), False, default="lectora"),
        option("seed", None, "The first seed.", False, default="1"),
        option("runs", None, "How many seeds, in order.", False, default="3"),
        option("seconds", None, "Seconds of load.", False, default=str(SECONDS)),
        option("pattern", None, "May be repeated.", flag=False, multiple=True),
        option("way", None, "May be repeated.", flag=False, multiple=True),
        option("load", None, f"A way of your own, as in {LOAD_VARIABLE}.", False),
        option("picture", None, "File for the picture.", False),
        option("json", None, "Print nothing but the JSON object."),
        *(
            option(name, None, f"Number of {name}.", False, default=str(number))
            for name, number in Sizes()._asdict().items()
        ),
    ]

    def handle(self) -> int:
        """Replay the selected patterns; the exit code reports violations."""
        policies, problems = self._read_policies()
        patterns, unknown = _select(PATTERNS, self.option("pattern"), "pattern")
        sizes = Sizes(*(int(self.option(name)) for name in Sizes._fields))
        problems += unknown + validate_sizes(sizes)
        for text in problems:
            self.line_error(f"beryltrack-bench: {text}")
        if problems:
            return EXIT_USAGE
        first, runs = int(self.option("seed")), int(self.option("runs"))
        seconds = float(self.option("seconds"))
        deployment = load_deployment(self.option("deployment"))
        seeds = range(first, first + runs)
        figures: dict[str, dict[str, CaseFigures]] = {}
        for name, pattern in patterns.items():
            figures[name] = {
                case: replay(deployment, sizes, pattern, policy, seeds, seconds)
                for case, policy in policies.items()
            }
            if not self.option("json"):
                for line in format_pattern(name, figures[name]):
                    self.line(line)
        if self.option("picture"):
            plot_patterns(figures, Path(self.option("picture")))
        violations = find_violations(figures)
        shown = {name: to_json(cases) for name, cases in figures.items()}
        result = {"experiment": "replay", "sizes": to_json(sizes), "patterns": shown}
        self.line(json.dumps(result | {"violations": violations}))
        return EXIT_VIOLATIONS if violations else EXIT_HELD

    def _read_policies(self) -> tuple[dict[str, LoadPolicy], list[str]]:
        """Return the policies to compare by name, and problems of the options."""
        text = self.option("load") or ""
        policy, findings = read_load_policy({LOAD_VARIABLE: text})
        own = {AS_SET: policy} if text else {}
        policies, problems = _select(CASES, self.option("way"), "way")
        return policies | own, [*map(format_finding, findings), *problems]


def find_violations(figures: dict[str, dict[str, CaseFigures]]) -> list[str]:
    """Return the violations: untrue refusals and connections beyond the limit."""
    return [
        f"{name}, {way}: {case.untrue} untrue refusals, {case.over_limit} over limit"
        for name, cases in figures.items()
        for way, case in cases.items()
        if case.untrue or case.over_limit
    ]


def _select(table: dict, names: list[str], kind: str) -> tuple[dict, list[str]]:
    """Return the named entries of a table, all if no name is given, and problems."""
    unknown = [f"no {kind} {name!r}" for name in names if name not in table]
    return {each: table[each] for each in table if not names or each in names}, unknown
