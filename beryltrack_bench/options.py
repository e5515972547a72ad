"""Typed options of the experiments."""

from typing import NamedTuple


class Options(NamedTuple):
    """Options of one run of an experiment. Zero or empty selects the default.

    Parameters
    ----------
    cell : str
        Name of the single cell of the fault matrix to run.
    nodes : int
        Number of nodes.
    runs : int
        Number of runs.
    seconds : float
        Length of a run on its own clock (simulated or real), seconds.
    """

    cell: str = ""
    nodes: int = 0
    runs: int = 0
    seconds: float = 0.0
