"""The command line `beryltrack-bench`: runs experiments and prints JSON objects.

An experiment is a module `beryltrack_bench/experiments/NAME.py` with a function
``run(deployment, seed, options) -> dict``. The dict is printed as one JSON
object in the last line of standard output. Exit codes: 0 if all invariants hold, 1 for
wrong usage (also for an unknown experiment), 2 if an invariant is violated.
"""

import importlib
import json
import logging
import pkgutil
import time
from itertools import product
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from twisted.logger import globalLogBeginner

from beryltrack.findings import format_finding
from beryltrack_bench import experiments
from beryltrack_bench.deployment import DEPLOYMENTS, load_deployment
from beryltrack_bench.options import Options
from beryltrack_bench.replay.command import ReplayCommand
from beryltrack_bench.report import write_report
from beryltrack_bench.soak.command import SoakCommand

EXIT_HELD = 0
EXIT_USAGE = 1
EXIT_VIOLATIONS = 2


def list_experiments() -> tuple[str, ...]:
    """Return the names of all experiments, sorted."""
    return tuple(
        sorted(found.name for found in pkgutil.iter_modules(experiments.__path__))
    )


def run_experiment(name: str, deployment: str, seed: int, options: Options) -> dict:
    """Run one experiment and return the object to print.

    Raises
    ------
    ValueError
        If the experiment or the deployment does not exist.
    """
    if name not in list_experiments():
        known = ", ".join(list_experiments()) or "none"
        raise ValueError(f"no experiment {name!r}; known: {known}")
    module = importlib.import_module(f"beryltrack_bench.experiments.{name}")
    figures = module.run(load_deployment(deployment), seed, options)
    return {"experiment": name, "deployment": deployment, "seed": seed, **figures}


class ExperimentCommand(Command):
    """Runs one experiment and prints its figures.

    Parameters
    ----------
    experiment : str
        Name of the experiment and of the command.
    """

    options = [
        option("deployment", None, " or ".join(DEPLOYMENTS), False, default="lectora"),
        option("seed", None, "Seed of all random numbers.", False, default="1"),
        option("json", None, "Print nothing but the JSON object."),
        option("nodes", None, "Number of nodes (fleet, cost).", False),
        option("cell", None, "Repeat one cell (faults).", False),
        option("runs", None, "Number of runs, where it can be chosen.", False),
        option("seconds", None, "Length of a run, where it can be chosen.", False),
    ]

    def __init__(self, experiment: str):
        self.name = experiment
        self.description = f"Run the experiment {experiment} and print its figures."
        super().__init__()

    def handle(self) -> int:
        """Run the experiment and return the exit code."""
        try:
            figures = self._run()
        except ValueError as error:
            self.line_error(f"beryltrack-bench: {error}")
            return EXIT_USAGE
        self.line(json.dumps(figures))
        return EXIT_VIOLATIONS if figures.get("violations") else EXIT_HELD

    def _run(self) -> dict:
        """Run the experiment with the given options."""
        started = time.monotonic()
        figures = run_experiment(
            self.name,
            self.option("deployment"),
            int(self.option("seed")),
            self._parse_options(),
        )
        if not self.option("json"):
            self.line_error(f"ran {time.monotonic() - started:.1f} s")
        return figures

    def _parse_options(self) -> Options:
        """Return the typed options of the experiment."""
        numbers = {
            key: kind(self.option(key))
            for key, kind in (("nodes", int), ("runs", int), ("seconds", float))
            if self.option(key)
        }
        return Options(cell=self.option("cell") or "", **numbers)


class AllCommand(Command):
    """Runs all experiments with their default options and writes the report."""

    name = "all"
    description = "Run all experiments; write the table of figures and the plot."
    options = [
        option("seed", None, "Seed of all random numbers.", False, default="1"),
        option("folder", None, "Folder of the report.", False, default="docs"),
        option("results", None, "File to which each printed object goes.", False),
        option("from", None, "File of objects to report instead of running.", False),
    ]

    def handle(self) -> int:
        """Run or load the experiments and return the exit code."""
        source = self.option("from")
        lines = Path(source).read_text().splitlines() if source else self._run_all()
        runs = [json.loads(line) for line in lines]
        findings = write_report(runs, Path(self.option("folder")))
        for finding in findings:
            self.line_error(format_finding(finding))
        return EXIT_VIOLATIONS if findings else EXIT_HELD

    def _run_all(self) -> list[str]:
        """Run each experiment for each deployment; return the printed objects."""
        seed, results_path = int(self.option("seed")), self.option("results")
        lines = []
        for name, deployment in product(list_experiments(), DEPLOYMENTS):
            figures = run_experiment(name, deployment, seed, Options())
            lines.append(json.dumps(figures))
            self.line(lines[-1])
            if results_path:
                Path(results_path).write_text("\n".join(lines) + "\n")
        return lines


def silence_logs() -> None:
    """Keep the logs of the code under test off standard error.

    Experiments evaluate the history that they record, not logs, and a proxy that
    is crashed on purpose logs each operation that fails with it.
    """
    logging.getLogger("beryltrack").addHandler(logging.NullHandler())
    globalLogBeginner.beginLoggingTo([], discardBuffer=True, redirectStandardIO=False)


def make_application() -> Application:
    """Return the command line with one command for each experiment."""
    application = Application("beryltrack-bench")
    for name in list_experiments():
        application.add(ExperimentCommand(name))
    application.add(AllCommand())
    application.add(ReplayCommand())
    application.add(SoakCommand())
    return application


def main() -> None:
    """Run the command line."""
    silence_logs()
    make_application().run()
