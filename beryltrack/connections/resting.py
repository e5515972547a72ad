"""Which connections of accounts rest on, and which one goes first.

Accounts outnumber the connections of a pool, and each connection costs its database as
much to open as any other. So what a resting one is worth is how often it spares an
opening: the rate of the operations of its account that would find no other one free. A
pool keeps the dearest for long and closes the cheapest where it needs room.
"""

from typing import NamedTuple

from beryltrack.connections.pool_policy import PoolPolicy
from beryltrack.connections.service_estimate import ServiceEstimate
from beryltrack.connections.stock import ConnectionStock

FIRST_GAP = 5.0
"""Seconds between two operations of an account that has asked only once, until its own
are known."""

GAP_WEIGHT = 0.1
"""Weight of the last gap in the smoothed one: about ten operations are remembered."""

MOST_ACCOUNTS = 1024
"""Accounts whose rates a pool remembers, those that asked last: far more than it can
have connections, and bounded where there are ten thousand."""


class _Gap(NamedTuple):
    """The smoothed time between two operations of an account, seconds."""

    mean: float
    last_at: float
    count: int


class AccountRates:
    """How often each account asks one pool for a connection."""

    def __init__(self):
        self._gaps: dict[str, _Gap] = {}

    def observe(self, account: str, now: float) -> None:
        """Take in an operation of an account."""
        before = self._gaps.pop(account, None)
        # The one that asked longest ago stands first.
        self._gaps[account] = _observe_gap(before, now)
        if len(self._gaps) > MOST_ACCOUNTS:
            del self._gaps[next(iter(self._gaps))]

    def get_rate(self, account: str, now: float) -> float:
        """Return the expected rate of an account's operations, a second.

        One that is silent for longer than its usual gap is expected to be so for as
        long again, so that an account that has gone gives its place up.
        """
        gap = self._gaps.get(account)
        return 0.0 if gap is None else 1.0 / max(gap.mean, now - gap.last_at)


def _observe_gap(before: _Gap | None, now: float) -> _Gap:
    """Return the gap of an account that asks now; its first gaps weigh more."""
    if before is None:
        return _Gap(FIRST_GAP, now, 1)
    weight = max(GAP_WEIGHT, 1.0 / (before.count + 1))
    # Operations that come at once are no infinite rate.
    last = max(now - before.last_at, 1e-3)
    mean = before.mean + weight * (last - before.mean)
    return _Gap(mean, now, before.count + 1)


class Resting:
    """What is to become of a pool's connections that rest.

    Parameters
    ----------
    stock : ConnectionStock
        All connections of the pool.
    hold : ServiceEstimate
        How long a connection is held.
    """

    def __init__(self, stock: ConnectionStock, hold: ServiceEstimate):
        self._stock = stock
        self._hold = hold
        self.rates = AccountRates()

    def list_expired(
        self, policy: PoolPolicy, limit: int, now: float
    ) -> tuple[int, ...]:
        """Return the connections that have rested for long enough, cheapest first.

        Parameters
        ----------
        policy : PoolPolicy
            The figures of the pool.
        limit : int
            Most connections of the pool.
        now : float
            The current time, seconds.
        """
        surplus = max(0, self._stock.live_count - policy.warm)
        over = [
            number
            for number, since in self._stock.idle.items()
            if since + policy.idle_timeout <= now
        ]
        kept = int(limit * policy.retained_fraction)
        if not kept:
            return tuple(over[:surplus])
        ends = [
            n for n in over if self._stock.idle[n] + policy.retained_idle_timeout <= now
        ]
        beyond = len(over) - len(ends) - kept
        if beyond <= 0:
            return tuple(ends[:surplus])
        staying = set(over).difference(ends)
        cheapest = [n for n in self.rank(policy, now) if n in staying][:beyond]
        return (*ends, *cheapest)[:surplus]

    def get_next_end(self, policy: PoolPolicy, limit: int, now: float) -> float | None:
        """Return when connections have to be looked at again, None for never."""
        idle = self._stock.idle.values()
        if not idle or self._stock.live_count <= policy.warm:
            return None
        if self.list_expired(policy, limit, now):
            return now
        # The first ends are over for connections that are kept: only the last is left.
        ends = (since + policy.idle_timeout for since in idle)
        last = next(iter(idle)) + max(policy.idle_timeout, policy.retained_idle_timeout)
        return min((end for end in ends if end > now), default=last)

    def rank(self, policy: PoolPolicy, now: float) -> list[int]:
        """Return the connections that rest, the one to close first before all others.

        Without a part that is kept the one that rested longest goes first.
        """
        oldest = list(self._stock.idle)
        if not policy.retained_fraction:
            return oldest
        prices = self._compute_prices(now)
        return sorted(oldest, key=prices.__getitem__)

    def _compute_prices(self, now: float) -> dict[int, float]:
        """Return how many openings a second each resting connection spares.

        The first connection of an account serves all of its operations, a further one
        those that find the others in use. In the model of lost calls that is the rate
        times the offered load for each connection before it.
        """
        stock = self._stock
        held = stock.count_in_use_by_account()
        prices: dict[int, float] = {}
        for number in reversed(stock.idle):
            account = stock.get_account(number)
            rate = self.rates.get_rate(account, now)
            load = min(1.0, rate * self._hold.mean)
            prices[number] = rate * load ** held[account]
            held[account] += 1
        return prices
