"""The limits by which targets are chosen."""

from typing import NamedTuple


class RoutingPolicy(NamedTuple):
    """The limits by which targets are chosen.

    Parameters
    ----------
    max_wait : float
        Longest wait for a replica to catch up, seconds, counted from the arrival
        of the read, so that a wait for a sample is a part of it. Zero: no wait.
    stalled_after : float
        A replica that has been behind for longer is not waited for, seconds.
    max_awaited : int
        Replicas that are waited for at once; the first that is ready serves.
    refresh_share : float
        Part of the accepted staleness after which ages are proven anew.
    sample_timeout : float
        Longest wait for a sample of the primary, seconds.
    confirmed_within : float
        A write is sent without a new confirmation of the primary's term if the
        last one is not older than this, seconds. It only spares requests that
        cannot succeed: what a replaced primary writes is never acknowledged.
    proves_transactions : bool
        True if a transaction is opened only once its primary's term is confirmed from
        its arrival on: its reads are answered before its commit is, and a replaced
        primary that goes on would answer them by data of before.
    retry_after : float
        Seconds after which a caller is told to try again.
    checks_positions : bool
        True if databases check themselves whether they show a position, so that
        a replica can be tried without a proof of what it shows.
    usual_lag : float
        Seconds after which replicas usually show a write. A replica is not tried
        for a write that is younger.
    lagging_pause : float
        Least seconds for which a replica that was behind is not tried.
    samples_position : bool
        False where others than the primary confirm its term. They alone are asked
        then: the primary holds whatever was acknowledged in its term.
    runs_unproven : bool
        True if reads that another instance passes on may run at the primary while they
        ask it whether it leads.
    prefers_near : bool
        True if replicas of the node's own availability zone are preferred.
    prefers_account_replica : bool
        True if the reads of an account prefer one replica instead: connections belong
        to accounts, and a new one costs as much as a read. It is one of the zone of the
        instance that runs them, if there is one and `prefers_near` holds; else the same
        one on all nodes.
    ranks_by_time : bool
        True if targets are ranked by the time in which they are expected to be done,
        where their load is known.
    """

    max_wait: float = 0.0055
    stalled_after: float = 0.3
    max_awaited: int = 2
    refresh_share: float = 0.5
    sample_timeout: float = 1.0
    confirmed_within: float = 0.5
    proves_transactions: bool = False
    retry_after: float = 0.2
    checks_positions: bool = False
    usual_lag: float = 0.2
    lagging_pause: float = 0.3
    samples_position: bool = True
    runs_unproven: bool = False
    prefers_near: bool = True
    prefers_account_replica: bool = True
    ranks_by_time: bool = True
