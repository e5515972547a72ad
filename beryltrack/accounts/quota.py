"""Rate limiting of accounts by token buckets.

In any window of some seconds an account may run its rate times the window, plus its
burst. The instance that runs its operations enforces this by one token bucket per
account: it fills at the account's rate times the quota share that instances have lent
to this one (`shares`), and holds the account's burst times that share. A refused
operation gets the delay until its token is available; each further refusal gets a later
time, so that they do not all retry at once.

An operation beyond a limit is refused before it takes a connection, a concurrency slot
of a database or a place in a queue. Open transactions are not limited.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from beryltrack.accounts.messages import AccountSettings
from beryltrack.accounts.shares import QuotaShareLedger
from beryltrack.accounts.slots import get_slot

INITIAL_TOKENS = 1.0
"""Operations that an instance runs for an account before it holds any share, so that
callers are served at once after a start. They are spent once per start and instance
that owns connections, of which there are few."""

OVERAGE_FRACTION = 0.5
"""Fraction of the tolerated excess of the rate that accounts get. The rest covers
changes of the members, which instances learn of at different times."""

BURST_SLACK_FRACTION, RATE_SLACK_FRACTION = 0.25, 0.5
"""Fractions of the tolerated extra operations that accounts get: what a bucket holds
beyond the burst, and what it gains per window beyond the rate. The rest covers initial
tokens. Without them a small account, whose limit is a few operations, is refused
operations that fit into its limit's window: 291 of 11,219 operations of 76 accounts in
a day of normal load."""

MIN_RETAINED_SHARE = 0.9
"""Remaining share of a slot from which on a decrease does not reset what accounts
without a bucket have saved up: the loss of one instance of ten or more. They can exceed
their burst by a tenth."""

ONE_TOKEN = 1.0 - 1e-9
"""Tokens of one operation, less the rounding error of sums of fractions."""

UNKNOWN_ACCOUNT_WAIT = 0.1
"""Seconds after which to retry for an account that this instance's settings lack:
another instance already has them, so they arrive here soon."""

MAX_WAIT = 5.0
"""Maximum retry delay in seconds, as limits are defined over windows of a few
seconds."""


class Tolerance(NamedTuple):
    """How far an account may exceed its limit.

    Parameters
    ----------
    overage : float
        Fraction of the limit.
    slack : float
        Extra operations in any window.
    window : float
        Length of a window in seconds.
    """

    overage: float = 0.0
    slack: float = 0.0
    window: float = 5.0


class OperationCounts(NamedTuple):
    """Numbers of operations of an account that ran and that were refused here."""

    run: int = 0
    refused: int = 0


class RefusalSummary(NamedTuple):
    """The refusals of an account over a period, with the limit behind them.

    Parameters
    ----------
    account : str
        Name of the account.
    refused, run : int
        Numbers of operations that were refused, and that ran.
    rate, burst : float
        Its limit over the whole fleet, by the settings.
    share : float
        This instance's share of the limit, from 0 to 1.
    """

    account: str
    refused: int
    run: int
    rate: float
    burst: float
    share: float


class _Bucket:
    """The token bucket of one account.

    `integral` is the share's integral up to which tokens were added, `retry_at` the
    latest time that a refused operation was given to retry at.
    """

    __slots__ = ("integral", "retry_at", "tokens")

    def __init__(self, integral: float):
        self.tokens = INITIAL_TOKENS
        self.integral = integral
        self.retry_at = 0.0


class QuotaDecider:
    """Limits the operations of accounts.

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
        self._integral_at_loss: dict[int, float] = {}
        self.counts: dict[str, OperationCounts] = {}
        self._reported_counts: dict[str, OperationCounts] = {}
        self.shares = QuotaShareLedger(self._handle_decrease)

    def spend(self, name: str, now: float) -> float:
        """Count one operation of an account.

        Returns
        -------
        float
            0 if it may run; else the seconds after which to retry.
        """
        account = self._get_account(name)
        if account is None:
            return UNKNOWN_ACCOUNT_WAIT
        wait = 0.0 if math.isinf(account.rate) else self._take_token(account, now)
        run, refused = self.counts.get(name, OperationCounts())
        self.counts[name] = OperationCounts(run + (not wait), refused + (wait > 0.0))
        return wait

    def _take_token(self, account: AccountSettings, now: float) -> float:
        """Take a token; return 0, or the seconds until one is available."""
        slot = get_slot(account.name)
        bucket = self._fill(account, slot, now)
        if bucket.tokens >= ONE_TOKEN:
            bucket.tokens -= 1.0
            bucket.retry_at = now
            return 0.0
        share = self.shares.get_share(slot, now)
        return self._compute_retry_delay(bucket, self._get_rate(account) * share, now)

    def refund(self, name: str) -> None:
        """Return the token of a counted operation that did not run."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.tokens += 1.0

    def take_refusals(self, now: float) -> list[RefusalSummary]:
        """Return a summary for each account with refusals since the last call."""
        before, self._reported_counts = self._reported_counts, dict(self.counts)
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
        """Drop the state of accounts that the settings no longer contain."""
        for name in [each for each in self._buckets if not self._get_account(each)]:
            del self._buckets[name]
            del self.counts[name]
            self._by_slot[get_slot(name)].discard(name)

    def _fill(self, account: AccountSettings, slot: int, now: float) -> _Bucket:
        """Return an account's bucket, filled up to now."""
        integral = self.shares.get_integral(slot, now)
        bucket = self._buckets.get(account.name)
        if bucket is None:
            # A new account starts with what it could save up since the last decrease.
            integral_at_loss = self._integral_at_loss.get(slot, 0.0)
            bucket = self._buckets[account.name] = _Bucket(integral_at_loss)
            self._by_slot.setdefault(slot, set()).add(account.name)
        earned = max(0.0, integral - bucket.integral) * self._get_rate(account)
        bucket.integral = integral
        share = self.shares.get_share(slot, now)
        bucket.tokens = min(bucket.tokens + earned, self._get_capacity(account, share))
        return bucket

    def _get_capacity(self, account: AccountSettings, share: float) -> float:
        """Return the bucket's capacity in tokens for a share of an account's limit.

        At least the initial tokens are retained until a share is lent.
        """
        size = account.burst + self._tolerance.slack * BURST_SLACK_FRACTION
        return max(size * share, INITIAL_TOKENS)

    def _get_rate(self, account: AccountSettings) -> float:
        """Return the tokens per second of an account over the whole fleet."""
        overage, slack, window = self._tolerance
        extra = overage * OVERAGE_FRACTION * (account.rate + account.burst / window)
        return account.rate + extra + slack * RATE_SLACK_FRACTION / window

    def _handle_decrease(self, slot: int, share: float, integral: float) -> None:
        """Reduce buckets to the capacity for the remaining share of a slot.

        The instance that gets the lost share saves up tokens by it; without the
        reduction two instances could spend a burst each. For the same reason an account
        without a bucket has saved up nothing from before a larger decrease.
        """
        if share < MIN_RETAINED_SHARE:
            self._integral_at_loss[slot] = integral
        for name in self._by_slot.get(slot, ()):
            account, bucket = self._get_account(name), self._buckets[name]
            if account is not None:
                bucket.tokens = min(bucket.tokens, self._get_capacity(account, share))

    def _compute_retry_delay(self, bucket: _Bucket, rate: float, now: float) -> float:
        """Return the seconds after which a refused operation may retry."""
        if rate <= 0.0:
            return MAX_WAIT / 10
        first = now + (1.0 - bucket.tokens) / rate
        bucket.retry_at = max(first, bucket.retry_at + 1.0 / rate)
        return min(MAX_WAIT, bucket.retry_at - now)
