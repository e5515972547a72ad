"""The figures that steer a pool of connections."""

from typing import NamedTuple


class PoolPolicy(NamedTuple):
    """The figures that steer a pool.

    Parameters
    ----------
    queue_limit : int
        Most requests that wait.
    max_wait : float
        Longest expected wait, seconds; a longer queue would serve no more
        requests and only make all of them late.
    warm : int
        Connections to keep open while nothing asks for them.
    idle_timeout : float
        Seconds after which a surplus idle connection is closed.
    retained_fraction : float
        Part of the limit that may rest for longer, those whose accounts ask most often.
    retained_idle_timeout : float
        Seconds after which these are closed too.
    open_delay : float
        Seconds that a request waits for a connection that is in use before another
        one is opened for it.
    max_opening : int
        Most connections to open at the same time.
    first_backoff, max_backoff : float
        Bounds of the wait after a failed open, seconds.
    deviations : float
        Mean deviations added to the hold time when a deadline is judged.
    share_wait : float
        Seconds that requests wait for a share of the connections to come free
        when the pool has none.
    by_deadline : bool
        False if requests wait in the order of their arrival.
    refuses_early : bool
        False if a request is refused only when its own time is over.
    """

    queue_limit: int = 256
    max_wait: float = 0.25
    warm: int = 1
    idle_timeout: float = 30.0
    retained_fraction: float = 0.0
    retained_idle_timeout: float = 0.0
    open_delay: float = 0.0
    max_opening: int = 4
    first_backoff: float = 0.05
    max_backoff: float = 0.5
    deviations: float = 2.0
    share_wait: float = 0.25
    by_deadline: bool = True
    refuses_early: bool = True
