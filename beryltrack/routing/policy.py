"""Limits and preferences for the choice of a target."""

from typing import NamedTuple


class RoutingPolicy(NamedTuple):
    """Limits and preferences for the choice of a target.

    Parameters
    ----------
    max_wait : float
        Longest wait for a replica to catch up, seconds, counted from the arrival
        of the read, so that it includes the wait for a sample. Zero: no wait.
    stalled_after : float
        Reads do not wait for a replica that has been behind for longer, seconds.
    max_awaited : int
        Maximum replicas that a read waits for; the first that is ready serves it.
    refresh_share : float
        Fraction of the accepted staleness after which freshness is proven again.
    sample_timeout : float
        Longest wait for a sample of the primary, seconds.
    confirmed_within : float
        A write is sent without a new confirmation of the primary's term if the
        last one is not older than this, seconds. The check only avoids requests that
        cannot succeed: writes at a replaced primary are never acknowledged.
    proves_transactions : bool
        True if a transaction is opened only once the primary's term is confirmed after
        its arrival. Its reads are answered before its commit is confirmed, and a
        replaced primary that still runs would answer them with stale data.
    retry_after : float
        Seconds after which a refused caller may retry, as its refusal states.
    checks_positions : bool
        True if databases check the required position themselves, so that a replica
        can be tried without a proof of the position it has applied.
    usual_lag : float
        Seconds within which replicas typically apply a write. For that time after its
        last write a session reads only at replicas that are proven to show it.
    lagging_pause : float
        Minimum seconds for which a replica that was behind is not tried.
    samples_position : bool
        False where databases other than the primary confirm its term. Only these are
        queried then: the primary holds all writes acknowledged in its term.
    runs_unproven : bool
        True if reads that another instance passes on may run at the primary in parallel
        with the proof that it leads.
    prefers_near : bool
        True if replicas in the instance's own availability zone are preferred.
    prefers_account_replica : bool
        True if the reads of an account prefer one replica instead (affinity), as
        connections belong to accounts and a new one costs as much as a read. It is in
        the zone of the instance that runs the reads, if that zone has a replica and
        `prefers_near` is true; else it is the same one on all instances.
    ranks_by_time : bool
        True if targets are ranked by the expected completion time of a read, where
        their load is known.
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
