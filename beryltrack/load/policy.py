"""The figures that steer the decisions under load."""

from typing import NamedTuple


class LoadPolicy(NamedTuple):
    """How much runs at a database at once, in which order, and what is refused.

    Parameters
    ----------
    is_limited : bool
        False if as many operations may run at a database as connections are open.
    is_ordered : bool
        False if operations wait in the order of their arrival.
    refuses_early : bool
        False if an operation is refused only when its own time is over.
    per_slot : float
        Operations for each slot of a database that all owners together let run at
        first.
    floors : tuple of float
        Least part of the turns that each priority gets while it waits, from zero on.
        None starves while more urgent ones fill the database.
    most_wait : float
        Part of its target latency for which an operation waits without being offered.
    """

    is_limited: bool = True
    is_ordered: bool = True
    refuses_early: bool = True
    per_slot: float = 3.0
    floors: tuple[float, ...] = (0.0, 0.15, 0.1, 0.05)
    most_wait: float = 1.0
