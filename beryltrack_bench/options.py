"""The options that single experiments read, in one typed form."""

from typing import NamedTuple


class Options(NamedTuple):
    """What a run of an experiment can be told. Zero and empty mean the default.

    Parameters
    ----------
    cell : str
        The one cell of the fault matrix to repeat.
    nodes : int
        Number of nodes.
    runs : int
        Number of runs.
    seconds : float
        Length of a run in its own time, seconds.
    """

    cell: str = ""
    nodes: int = 0
    runs: int = 0
    seconds: float = 0.0
