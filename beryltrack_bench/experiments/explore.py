"""`explore`: random schedules of several faults over the whole stack.

The matrix injects one or two faults; a schedule has up to `MAX_STRIKES` at random
steps. A schedule that violates an invariant is shrunk to fewer faults that still
violate one, and printed as a cell of the matrix, so that it can be repeated and
turned into a test.
"""

from collections.abc import Callable, Iterator
from random import Random

from beryltrack_bench.deployment import Deployment
from beryltrack_bench.experiments.faults import FAULTS, PROCEDURES
from beryltrack_bench.matrix.run import (
    Cell,
    CellResult,
    Strike,
    format_cell,
    run_cell,
)
from beryltrack_bench.options import Options

DEFAULT_SCHEDULES = 300
"""Default number of schedules in a run."""

MAX_STRIKES = 5
"""Maximum number of faults in one schedule."""

STEP_RANGE_FACTOR = 2.0
"""Range of a fault's step, as a multiple of the steps of a run without faults: a run
with faults has more steps."""


def run(deployment: Deployment, seed: int, options: Options) -> dict:
    """Run random schedules.

    Returns
    -------
    dict
        ``schedules``, ``strikes`` (faults in all schedules), ``violations`` (number
        of schedules that violate an invariant), and ``failed``: the shortest form
        found of each of these, with its first violation.
    """
    clean = {name: run_cell(deployment, seed, Cell(name)) for name in PROCEDURES}
    cells = list(_draw_cells(seed, options.runs or DEFAULT_SCHEDULES, clean))
    failed = [cell for cell in cells if run_cell(deployment, seed, cell).violations]
    shortest = [
        shrink(cell, lambda each: bool(run_cell(deployment, seed, each).violations))
        for cell in failed
    ]
    return {
        "schedules": len(cells),
        "strikes": sum(len(cell.strikes) for cell in cells),
        "violations": len(failed),
        "failed": [_describe(deployment, seed, cell) for cell in shortest],
    }


def shrink(cell: Cell, fails: Callable[[Cell], bool]) -> Cell:
    """Remove faults from a failing cell one by one while it still fails.

    Parameters
    ----------
    cell : Cell
        A cell that fails.
    fails : callable
        Returns whether a cell fails.
    """
    for strike in cell.strikes:
        left = tuple(each for each in cell.strikes if each != strike)
        shorter = cell._replace(strikes=left)
        if fails(shorter):
            return shrink(shorter, fails)
    return cell


def _draw_cells(seed: int, number: int, clean: dict[str, CellResult]) -> Iterator[Cell]:
    """Return random schedules."""
    rng = Random(seed)
    for _ in range(number):
        procedure = rng.choice(tuple(PROCEDURES))
        steps = round(STEP_RANGE_FACTOR * len(clean[procedure].steps))
        strikes = sorted(
            (rng.randrange(steps), rng.choice(tuple(FAULTS)))
            for _ in range(rng.randint(2, MAX_STRIKES))
        )
        yield Cell(procedure, tuple(Strike(fault, step) for step, fault in strikes))


def _describe(deployment: Deployment, seed: int, cell: Cell) -> dict:
    """Return the printed form of a failing schedule."""
    violations = run_cell(deployment, seed, cell).violations
    return {
        "cell": format_cell(cell),
        "invariant": violations[0].invariant,
        "text": violations[0].text,
        "command": f"beryltrack-bench faults --deployment {deployment.name}"
        f" --seed {seed} --cell {format_cell(cell)}",
    }
