"""Limits and timeouts of a connection pool."""

from typing import NamedTuple


class PoolPolicy(NamedTuple):
    """Limits and timeouts of a connection pool.

    Parameters
    ----------
    queue_limit : int
        Maximum number of requests in the queue.
    max_wait : float
        Longest expected wait for other requests, seconds. A longer queue would serve
        no more requests and only delay them.
    warm : int
        Connections to keep open without demand.
    idle_timeout : float
        Seconds after which a surplus idle connection is closed.
    retained_fraction : float
        Fraction of the limit that may be idle for longer, for the connections whose
        accounts ask most often.
    retained_idle_timeout : float
        Seconds after which these idle connections are closed too.
    open_delay : float
        Seconds that a request waits for a connection in use before another one is
        opened for it.
    max_opening : int
        Maximum number of connections to open at the same time.
    first_backoff, max_backoff : float
        First and longest back-off after a failed opening, seconds.
    deviations : float
        Mean deviations that the check of a deadline adds to the mean hold time.
    share_wait : float
        Seconds that requests wait for a share of the target's connections when the
        pool has none.
    by_deadline : bool
        False if requests wait in the order of their arrival.
    refuses_early : bool
        False if a request is refused only after its deadline.
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
