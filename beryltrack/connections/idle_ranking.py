"""Ranks a pool's idle connections: which to retain and which to close first.

Accounts outnumber the connections of a pool, and all connections cost the same to open.
So the value of an idle connection is the rate of openings that it saves: the rate of
its account's operations that would find no other connection of the account free. A pool
retains the most valuable connections for longer, and closes the least valuable one when
it needs to open another.
"""

from typing import NamedTuple

from beryltrack.connections.connection_table import ConnectionTable
from beryltrack.connections.pool_policy import PoolPolicy
from beryltrack.connections.service_estimate import ServiceEstimate

INITIAL_GAP = 5.0
"""Seconds assumed between operations of an account of which only one was observed."""

GAP_WEIGHT = 0.1
"""Weight of the last gap in the moving average, which covers about ten operations."""

MAX_ACCOUNTS = 1024
"""Accounts whose rates a pool keeps, those that asked last. Far more than a pool's
connections, and a bound where there are ten thousand accounts."""


class _Gap(NamedTuple):
    """The moving average of the time between an account's operations, seconds."""

    mean: float
    last_at: float
    count: int


class AccountRates:
    """How often each account asks one pool for a connection."""

    def __init__(self):
        self._gaps: dict[str, _Gap] = {}

    def observe(self, account: str, now: float) -> None:
        """Record an operation of an account."""
        before = self._gaps.pop(account, None)
        # The dictionary is in the order of the last operation, oldest first.
        self._gaps[account] = _observe_gap(before, now)
        if len(self._gaps) > MAX_ACCOUNTS:
            del self._gaps[next(iter(self._gaps))]

    def get_rate(self, account: str, now: float) -> float:
        """Return the expected rate of an account's operations, per second.

        An account that has been silent for longer than its mean gap is expected to
        stay silent for as long again, so that inactive accounts lose their connections.
        """
        gap = self._gaps.get(account)
        return 0.0 if gap is None else 1.0 / max(gap.mean, now - gap.last_at)


def _observe_gap(before: _Gap | None, now: float) -> _Gap:
    """Return the updated gap of an account; its first gaps weigh more."""
    if before is None:
        return _Gap(INITIAL_GAP, now, 1)
    weight = max(GAP_WEIGHT, 1.0 / (before.count + 1))
    # Bounds the rate of operations that arrive at the same time.
    last = max(now - before.last_at, 1e-3)
    mean = before.mean + weight * (last - before.mean)
    return _Gap(mean, now, before.count + 1)


class IdleRanking:
    """Chooses which idle connections of a pool to close.

    Parameters
    ----------
    table : ConnectionTable
        All connections of the pool.
    hold_time : ServiceEstimate
        How long a connection is held.
    """

    def __init__(self, table: ConnectionTable, hold_time: ServiceEstimate):
        self._table = table
        self._hold_time = hold_time
        self.rates = AccountRates()

    def list_expired(
        self, policy: PoolPolicy, limit: int, now: float
    ) -> tuple[int, ...]:
        """Return the idle connections to close now, least valuable first.

        Parameters
        ----------
        policy : PoolPolicy
            Limits and timeouts of the pool.
        limit : int
            Maximum number of connections of the pool.
        now : float
            The current time, seconds.
        """
        surplus = max(0, self._table.live_count - policy.warm)
        expired = [
            number
            for number, since in self._table.idle.items()
            if since + policy.idle_timeout <= now
        ]
        retained = int(limit * policy.retained_fraction)
        if not retained:
            return tuple(expired[:surplus])
        overlong = [
            n
            for n in expired
            if self._table.idle[n] + policy.retained_idle_timeout <= now
        ]
        excess = len(expired) - len(overlong) - retained
        if excess <= 0:
            return tuple(overlong[:surplus])
        retainable = set(expired).difference(overlong)
        least_valuable = [n for n in self.rank(policy, now) if n in retainable][:excess]
        return (*overlong, *least_valuable)[:surplus]

    def get_next_expiry(
        self, policy: PoolPolicy, limit: int, now: float
    ) -> float | None:
        """Return when to check idle connections again; None if none will expire."""
        idle = self._table.idle.values()
        if not idle or self._table.live_count <= policy.warm:
            return None
        if self.list_expired(policy, limit, now):
            return now
        # Retained connections have passed `idle_timeout`; their longer one is left.
        ends = (since + policy.idle_timeout for since in idle)
        last = next(iter(idle)) + max(policy.idle_timeout, policy.retained_idle_timeout)
        return min((end for end in ends if end > now), default=last)

    def rank(self, policy: PoolPolicy, now: float) -> list[int]:
        """Return the idle connections in the order in which to close them.

        If none is retained for longer, the one that has been idle longest comes first.
        """
        oldest = list(self._table.idle)
        if not policy.retained_fraction:
            return oldest
        saved_opens = self._compute_saved_opens(now)
        return sorted(oldest, key=saved_opens.__getitem__)

    def _compute_saved_opens(self, now: float) -> dict[int, float]:
        """Return how many openings per second each idle connection saves.

        The first connection of an account serves all of its operations, a further one
        those that find the others in use. In the lost-calls (Erlang) model that is the
        rate times the offered load for each connection before it.
        """
        table = self._table
        held = table.count_in_use_by_account()
        saved_opens: dict[int, float] = {}
        for number in reversed(table.idle):
            account = table.get_account(number)
            rate = self.rates.get_rate(account, now)
            load = min(1.0, rate * self._hold_time.mean)
            saved_opens[number] = rate * load ** held[account]
            held[account] += 1
        return saved_opens
