"""Whether an account may run one more operation now.

An account may run its rate times a window of some seconds, and its burst, in any such
window. One token bucket for each account, at the instance that runs its operations,
holds to that: it fills at the account's rate times the part of it that instances have
lent to this one (`shares`), and holds the account's burst times that part. What is
refused is told when its token will be there; each one that is refused is told a later
time, so that they do not all come back at once.

An operation beyond a limit is refused before it takes a connection, a slot of a
database or a place in a queue. An open transaction is not touched.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from beryltrack.accounts.messages import AccountSettings
from beryltrack.accounts.shares import QuotaShareLedger
from beryltrack.accounts.slots import get_slot

INITIAL_TOKENS = 1.0
"""Operations that an instance runs for an account before it knows of any rights, so
that a caller is served at once after a start. They are spent once for each start and
instance that owns connections, of which there are few."""

OVERAGE_PART = 0.5
"""Part of the tolerated excess of the rate that accounts are given. The rest is for
members that come and go, which instances learn of at different times."""

BURST_SLACK, RATE_SLACK = 0.25, 0.5
"""Parts of the tolerated operations that accounts are given: what buckets hold beside
the burst, and what comes in each window beside the rate. The rest is for first tokens.
A small account, whose limit is few operations, would else be refused what its limit's
window has room for: 291 of 11,219 operations of a calm day of 76 accounts."""

KEPT_PART = 0.9
"""Part of a slot above which a loss changes nothing for accounts that come later: one
instance of ten or more that leaves. They could run a tenth of a burst too much."""

WHOLE = 1.0 - 1e-9
"""Tokens of one operation, less what sums of fractions are rounded by."""

UNKNOWN_WAIT = 0.1
"""Seconds after which to ask again for an account that the settings here do not have:
another instance has them already, so that they are on their way."""

MAX_WAIT = 5.0
"""Longest time to come back, seconds: limits are stated over a few seconds."""


class Tolerance(NamedTuple):
    """How far an account may exceed its limit.

    Parameters
    ----------
    overage : float
        Part of the rate.
    slack : float
        Operations, in any window.
    window : float
        Seconds of a window.
    """

    overage: float = 0.0
    slack: float = 0.0
    window: float = 5.0


class OperationCounts(NamedTuple):
    """How many operations of an account ran here, and how many were refused."""

    run: int = 0
    refused: int = 0


class RefusalSummary(NamedTuple):
    """What was refused of an account for some time, and what that rested on.

    Parameters
    ----------
    account : str
        Its name.
    refused, run : int
        Operations that were refused, and that ran.
    rate, burst : float
        Its limit in the whole fleet, by the settings.
    share : float
        The part of it that this instance has.
    """

    account: str
    refused: int
    run: int
    rate: float
    burst: float
    share: float


class _Bucket:
    """The tokens of one account."""

    __slots__ = ("free_at", "integral", "tokens")

    def __init__(self, integral: float):
        self.tokens = INITIAL_TOKENS
        self.integral = integral
        self.free_at = 0.0


class QuotaDecider:
    """Counts the operations of accounts.

    Parameters
    ----------
    get_account : callable
        Returns an account of the settings in force, or None.
    tolerance : Tolerance
        How far limits may be exceeded.
    """

    def __init__(
        self,
        get_account: Callable[[str], AccountSettings | None],
        tolerance: Tolerance = Tolerance(),  # noqa: B008 - immutable
    ):
        self._get_account = get_account
        self._tolerance = tolerance
        self._buckets: dict[str, _Bucket] = {}
        self._by_slot: dict[int, set[str]] = {}
        self._lost_at: dict[int, float] = {}
        self.counts: dict[str, OperationCounts] = {}
        self._told: dict[str, OperationCounts] = {}
        self.shares = QuotaShareLedger(self._observe_loss)

    def spend(self, name: str, now: float) -> float:
        """Count one operation of an account.

        Returns
        -------
        float
            0 if it may run; else the seconds after which to come back.
        """
        account = self._get_account(name)
        if account is None:
            return UNKNOWN_WAIT
        wait = 0.0 if math.isinf(account.rate) else self._take_token(account, now)
        run, refused = self.counts.get(name, OperationCounts())
        self.counts[name] = OperationCounts(run + (not wait), refused + (wait > 0.0))
        return wait

    def _take_token(self, account: AccountSettings, now: float) -> float:
        """Take a token of an account; return how long until there is one."""
        slot = get_slot(account.name)
        bucket = self._fill(account, slot, now)
        if bucket.tokens >= WHOLE:
            bucket.tokens -= 1.0
            bucket.free_at = now
            return 0.0
        share = self.shares.get_share(slot, now)
        return self._promise(bucket, self._get_rate(account) * share, now)

    def refund(self, name: str) -> None:
        """Take in that a counted operation did not run."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.tokens += 1.0

    def take_refusals(self, now: float) -> list[RefusalSummary]:
        """Return of which accounts something was refused since the last call."""
        before, self._told = self._told, dict(self.counts)
        return [
            RefusalSummary(
                name,
                counts.refused - before.get(name, OperationCounts()).refused,
                counts.run - before.get(name, OperationCounts()).run,
                account.rate,
                account.burst,
                self.shares.get_share(get_slot(name), now),
            )
            for name, counts in self.counts.items()
            if counts.refused > before.get(name, OperationCounts()).refused
            and (account := self._get_account(name)) is not None
        ]

    def drop_removed_accounts(self) -> None:
        """Forget the accounts that the settings have no more."""
        for name in [each for each in self._buckets if not self._get_account(each)]:
            del self._buckets[name]
            del self.counts[name]
            self._by_slot[get_slot(name)].discard(name)

    def _fill(self, account: AccountSettings, slot: int, now: float) -> _Bucket:
        """Return an account's bucket with the tokens that it has now."""
        integral = self.shares.get_integral(slot, now)
        bucket = self._buckets.get(account.name)
        if bucket is None:
            # An account that asks for the first time has saved up what it may.
            lost_at = self._lost_at.get(slot, 0.0)
            bucket = self._buckets[account.name] = _Bucket(lost_at)
            self._by_slot.setdefault(slot, set()).add(account.name)
        earned = max(0.0, integral - bucket.integral) * self._get_rate(account)
        bucket.integral = integral
        share = self.shares.get_share(slot, now)
        bucket.tokens = min(bucket.tokens + earned, self._get_most(account, share))
        return bucket

    def _get_most(self, account: AccountSettings, share: float) -> float:
        """Return how many tokens a part of an account's limit may save up.

        First tokens are kept until rights come.
        """
        size = account.burst + self._tolerance.slack * BURST_SLACK
        return max(size * share, INITIAL_TOKENS)

    def _get_rate(self, account: AccountSettings) -> float:
        """Return how many tokens a second an account gets in the whole fleet."""
        overage, slack, window = self._tolerance
        extra = overage * OVERAGE_PART * (account.rate + account.burst / window)
        return account.rate + extra + slack * RATE_SLACK / window

    def _observe_loss(self, slot: int, share: float, integral: float) -> None:
        """Hold no more tokens than the part of a slot that is left.

        Whoever has that part now saves up tokens of its own: without this two
        instances could spend a burst each. Accounts that come later have saved up
        nothing from before.
        """
        if share < KEPT_PART:
            self._lost_at[slot] = integral
        for name in self._by_slot.get(slot, ()):
            account, bucket = self._get_account(name), self._buckets[name]
            if account is not None:
                bucket.tokens = min(bucket.tokens, self._get_most(account, share))

    def _promise(self, bucket: _Bucket, rate: float, now: float) -> float:
        """Return when an operation that is refused may come back."""
        if rate <= 0.0:
            return MAX_WAIT / 10
        first = now + (1.0 - bucket.tokens) / rate
        bucket.free_at = max(first, bucket.free_at + 1.0 / rate)
        return min(MAX_WAIT, bucket.free_at - now)
