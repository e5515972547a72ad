"""Parameters of the overload control."""

from typing import NamedTuple


class LoadPolicy(NamedTuple):
    """Concurrency limit, order and refusals of operations at a database.

    Parameters
    ----------
    is_limited : bool
        False if as many operations may run at a database as connections are open.
    is_ordered : bool
        False if operations run in the order of their arrival.
    refuses_early : bool
        False if an operation is refused only once its deadline has passed.
    per_slot : float
        Operations for each slot of a database that all owners together let run at
        first.
    floors : tuple of float
        Minimum share of the starts that each priority gets while it waits, from zero
        on, so that none starves while more urgent ones fill the database.
    most_wait : float
        Fraction of its target latency for which an operation may wait; it is refused
        if it is expected to wait for longer.
    """

    is_limited: bool = True
    is_ordered: bool = True
    refuses_early: bool = True
    per_slot: float = 3.0
    floors: tuple[float, ...] = (0.0, 0.15, 0.1, 0.05)
    most_wait: float = 1.0
