"""The decisions of one database's connection pool, without I/O.

A connection is lent for one transaction. Requests wait in the order of their deadlines.
A request that is not expected to end before its deadline, judged by recent hold times,
is refused at once. A refusal is final: nothing of the request was sent.

A connection belongs to one account. Where accounts outnumber the connections, an idle
one is closed in favour of an account that has none; `idle_ranking` chooses it.
"""

import random
from enum import Enum

from beryltrack.connections.connection_table import ConnectionTable
from beryltrack.connections.deadline_queue import QueuedWaiter
from beryltrack.connections.idle_ranking import IdleRanking
from beryltrack.connections.messages import (
    CloseConnection,
    GiveConnection,
    OpenConnection,
    PoolAction,
    PoolLoad,
    PoolRefusal,
    RefusalReason,
    RefuseWaiter,
)
from beryltrack.connections.open_backoff import OpenBackoff
from beryltrack.connections.pool_policy import PoolPolicy
from beryltrack.connections.service_estimate import ServiceEstimate
from beryltrack.connections.target_capacity import TargetCapacity
from beryltrack.connections.wait_model import WaitModel, model_waits
from beryltrack.connections.waiting import WaitingRequests

INITIAL_HOLD_TIME = 0.005
"""Seconds that a request is assumed to hold a connection before the first sample."""

INITIAL_OPEN_TIME = 0.03
"""Seconds that opening a connection is assumed to take before the first sample."""

MIN_RETRY_AFTER = 0.05
"""Shortest time to a retry that a refusal advises, seconds."""

SCAN_PERIOD = 0.05
"""Seconds between two checks of the queue for requests that have become too late."""

STUCK_FACTOR = 8.0
"""A request that holds a connection for this many times the expected time counts as
stuck: the estimate of waits does not expect it to end soon."""


class _State(Enum):
    """Whether the pool accepts requests."""

    ACTIVE = 1
    DRAINING = 2


class PoolDecider:
    """Decides which request gets a connection, and when to open and close connections.

    Methods take the current time in seconds and return the actions to carry out, in
    order.

    Parameters
    ----------
    policy : PoolPolicy
        Limits and timeouts.
    limit : int
        Maximum number of connections that it may have open.
    rng : random.Random
        For the jitter of back-offs.
    """

    def __init__(self, policy: PoolPolicy, limit: int, rng: random.Random):
        self._policy = policy
        self._limit = limit
        self._state = _State.ACTIVE
        self._table = ConnectionTable()
        self._brief_waiters: dict[int, None] = {}
        self._brief_uses: set[int] = set()
        self._waiters = WaitingRequests(policy.by_deadline)
        self._hold_time = ServiceEstimate(INITIAL_HOLD_TIME)
        self._idle_ranking = IdleRanking(self._table, self._hold_time)
        self._open_time = ServiceEstimate(INITIAL_OPEN_TIME)
        self._backoff = OpenBackoff(policy, rng)
        self._capacity = TargetCapacity(rng)
        self._no_share_since: float | None = None

    @property
    def limit(self) -> int:
        """Maximum number of connections that the pool may have open."""
        return self._limit

    @property
    def open_count(self) -> int:
        """Connections that the target may count, closing ones included."""
        return self._table.open_count

    @property
    def outstanding(self) -> int:
        """Requests that hold a connection or wait for one."""
        return len(self._table.in_use) + len(self._waiters)

    @property
    def is_oversubscribed(self) -> bool:
        """True if more requests want a connection than may be open."""
        return self.outstanding > self._limit

    @property
    def is_drained(self) -> bool:
        """True if the pool is draining and all its connections have ended."""
        return self._state is _State.DRAINING and self.open_count == 0

    def get_load(self, now: float) -> PoolLoad:
        """Return the pool's load at the time `now`."""
        return PoolLoad(
            self._limit,
            self.open_count,
            len(self._table.in_use),
            len(self._waiters),
            self._compute_wait(len(self._waiters), now),
            self._hold_time.mean,
        )

    def acquire(
        self, waiter: int, deadline: float, now: float, account: str = ""
    ) -> list[PoolAction]:
        """Ask for a connection.

        Parameters
        ----------
        waiter : int
            Number of the request, unique in this pool.
        deadline : float
            Time by which the request must be done.
        now : float
            The current time.
        account : str
            Account to which the connection must belong.

        Returns
        -------
        list of PoolAction
            A connection, a refusal, or the connections to open while it waits.
        """
        if self._state is not _State.ACTIVE:
            return [self._refuse(waiter, RefusalReason.LEAVING, now)]
        if self._policy.retained_fraction:
            self._idle_ranking.rates.observe(account, now)
        idle = self._table.find_idle(account)
        if idle is not None and now + self._compute_service_time() <= deadline:
            return [self._give(waiter, idle, now)]
        if len(self._waiters) >= self._policy.queue_limit:
            return [self._refuse(waiter, RefusalReason.QUEUE_FULL, now)]
        if self._is_unreachable(now):
            return [self._refuse(waiter, RefusalReason.UNREACHABLE, now)]
        queued = QueuedWaiter(deadline, waiter)
        position = self._waiters.find_position(queued)
        model = self._model_waits(now)
        wait = model.get_wait(position)
        refuses_early = self._policy.refuses_early
        if refuses_early and now + wait + self._compute_service_time() > deadline:
            return [self._refuse(waiter, RefusalReason.TOO_LATE, now)]
        # A slow opening is no queue: `max_wait` bounds only waits for other requests.
        is_queued = position >= model.free
        if refuses_early and is_queued and wait > self._policy.max_wait:
            return [self._refuse(waiter, RefusalReason.QUEUE_FULL, now)]
        self._waiters.add(queued, account, now)
        # The requests behind it in the queue may be too late now.
        is_last = position == len(self._waiters) - 1
        late = [] if is_last and self._limit else self._refuse_late(now)
        return late + self._open_wanted(now)

    def acquire_briefly(self, waiter: int, now: float) -> list[PoolAction]:
        """Ask for a connection for a short request of the proxy itself.

        It goes before the requests of callers. No connection is opened for it, and the
        time for which it holds one is not a sample of the expected hold time.
        """
        if self._state is not _State.ACTIVE:
            return [self._refuse(waiter, RefusalReason.LEAVING, now)]
        if self._table.idle:
            return [self._give_briefly(waiter, next(reversed(self._table.idle)), now)]
        self._brief_waiters[waiter] = None
        return []

    def _give_briefly(self, waiter: int, connection: int, now: float) -> GiveConnection:
        self._brief_uses.add(connection)
        return self._give(waiter, connection, now)

    def cancel(self, waiter: int) -> None:
        """Remove a request that no longer needs a connection from the queue."""
        self._remove(waiter)

    def _remove(self, waiter: int) -> None:
        """Remove a waiter from the queue."""
        self._waiters.remove(waiter)
        self._brief_waiters.pop(waiter, None)

    def release(
        self, connection: int, is_reusable: bool, now: float
    ) -> list[PoolAction]:
        """Take a connection back.

        Parameters
        ----------
        connection : int
            Its number.
        is_reusable : bool
            False if its state is uncertain; it is closed then.
        now : float
            The current time.

        Returns
        -------
        list of PoolAction
            The actions that follow.
        """
        if connection not in self._table.in_use:
            return []
        held = self._end_use(connection, now)
        if connection in self._brief_uses:
            self._brief_uses.discard(connection)
        else:
            self._hold_time.observe(held)
        surplus = self._table.live_count >= self._limit
        if not is_reusable or surplus or self._state is not _State.ACTIVE:
            return self._close(connection) + self._open_wanted(now)
        return self._reuse(connection, now)

    def observe_opened(self, connection: int, now: float) -> list[PoolAction]:
        """Record that a connection is open."""
        self._open_time.observe(now - self._table.opening.pop(connection))
        self._backoff.reset()
        self._capacity.observe_opened(self._table.established_count + 1)
        if self._state is not _State.ACTIVE or self._table.live_count >= self._limit:
            return self._close(connection)
        # Not `_reuse`: closed unused for another account it would only be opened again.
        return self._give_free(connection, now) + self._open_wanted(now)

    def observe_open_failed(
        self, connection: int, now: float, is_full: bool = False
    ) -> list[PoolAction]:
        """Handle a failed opening: back off.

        `is_full` is True if the target has reached its connection limit. The accounts
        then share the open connections by round robin: otherwise idle connections
        would stay with their accounts while requests of other accounts time out.
        """
        has_accounts = bool(self._table.get_account(connection))
        started = self._table.remove_failed(connection)
        if is_full and has_accounts and self._table.established_count:
            self._capacity.observe_full(self._table.established_count, now)
            return self._refuse_late(now) + self._open_wanted(now)
        self._backoff.observe_failure(started, now)
        if self._is_unreachable(now):
            return self._refuse_all(RefusalReason.UNREACHABLE, now)
        return self._refuse_late(now)

    def observe_closed(self, connection: int, now: float) -> list[PoolAction]:
        """Record that a connection has ended, for any reason."""
        self._brief_uses.discard(connection)
        self._table.remove(connection)
        return self._open_wanted(now)

    def set_limit(self, limit: int, now: float) -> list[PoolAction]:
        """Change how many connections may be open.

        A surplus connection is closed at once if idle, else when it is released.
        """
        self._limit = limit
        surplus = min(max(0, self._table.live_count - limit), len(self._table.idle))
        closed = tuple(reversed(self._table.idle))[:surplus]
        actions = [action for number in closed for action in self._close(number)]
        return actions + self._refuse_late(now) + self._open_wanted(now)

    def set_policy(self, policy: PoolPolicy) -> None:
        """Replace the policy for all later decisions."""
        self._policy = policy

    def enforce_limit(self, limit: int) -> list[PoolAction]:
        """Close connections beyond `limit`, also those in use.

        Only for a share that has expired: another instance may use it already. Idle
        connections go first, then those in use for the shortest time, which lose the
        least work.
        """
        surplus = max(0, self._table.live_count - limit)
        idle = list(self._table.idle)
        in_use = sorted(
            self._table.in_use, key=self._table.in_use.__getitem__, reverse=True
        )
        chosen = (idle + in_use)[:surplus]
        return [action for number in chosen for action in self._close(number)]

    @property
    def idle_numbers(self) -> tuple[int, ...]:
        """Numbers of the open connections that no request holds."""
        return tuple(self._table.idle)

    def drain(self, now: float) -> list[PoolAction]:
        """Refuse new requests; connections in use close when they are released."""
        self._state = _State.DRAINING
        idle = tuple(self._table.idle)
        closed = [action for number in idle for action in self._close(number)]
        return closed + self._refuse_all(RefusalReason.LEAVING, now)

    def resume(self, now: float) -> list[PoolAction]:
        """Accept requests again after a drain."""
        self._state = _State.ACTIVE
        return self._open_wanted(now)

    def observe_reachable(self, now: float) -> list[PoolAction]:
        """End the back-off, as the target answers on another connection."""
        self._backoff.reset()
        return self._open_wanted(now)

    def tick(self, now: float) -> list[PoolAction]:
        """Refuse late requests, close expired connections and open wanted ones."""
        return self._refuse_late(now) + self._reap(now) + self._open_wanted(now)

    def get_wakeup(self, now: float) -> float | None:
        """Return when `tick` is next due, or None if nothing is."""
        if self._waiters:
            return self._get_next_scan(now)
        if self._state is not _State.ACTIVE:
            return None
        times = []
        if now < self._backoff.open_after and self._list_accounts_to_open(now):
            times.append(self._backoff.open_after)
        end = self._idle_ranking.get_next_expiry(self._policy, self._limit, now)
        return min((*times, *([] if end is None else [end])), default=None)

    def _get_next_scan(self, now: float) -> float:
        """Return when to check the waiting requests again."""
        scan = now + SCAN_PERIOD
        ends = (
            since + self._policy.open_delay for since in self._waiters.arrival_times
        )
        return min(scan, next((end for end in ends if end > now), scan))

    def _list_accounts_to_open(self, now: float) -> list[str]:
        """Return the accounts to open connections for, beside those being opened."""
        arrived_by = now - self._policy.open_delay
        wanted = self._waiters.list_accounts_to_open(self._table, arrived_by)
        warm_count = self._policy.warm - self._table.live_count - len(wanted)
        return wanted + [""] * warm_count

    def _is_unreachable(self, now: float) -> bool:
        """Return whether no connection is open and the last attempt failed."""
        return (
            self._table.live_count == 0
            and now < self._backoff.open_after
            and self._backoff.has_failed
        )

    def _compute_service_time(self) -> float:
        """Return the time within which a request that holds a connection should end.

        Zero while no connection is in use: the estimate gets no samples then, and one
        long hold would otherwise have all later requests refused for ever.
        """
        if not self._table.in_use:
            return 0.0
        return (
            self._hold_time.mean + self._policy.deviations * self._hold_time.deviation
        )

    def _model_waits(self, now: float) -> WaitModel:
        """Return the expected wait by position in the queue."""
        is_backing_off = now < self._backoff.open_after
        return model_waits(
            self._table.live_count if is_backing_off else self._get_max_open(now),
            self._table.in_use.values(),
            0.0 if self._table.idle else self._open_time.mean,
            self._hold_time.mean,
            now - STUCK_FACTOR * self._compute_service_time(),
            now,
        )

    def _compute_wait(self, position: int, now: float) -> float:
        """Return the expected wait at a position in the queue, seconds."""
        return self._model_waits(now).get_wait(position)

    def _refuse(self, waiter: int, reason: RefusalReason, now: float) -> RefuseWaiter:
        """Return a refusal with the time after which a retry may succeed."""
        until_open = self._backoff.open_after - now
        wait = max(self._compute_wait(len(self._waiters), now), until_open)
        return RefuseWaiter(waiter, PoolRefusal(reason, max(MIN_RETRY_AFTER, wait)))

    def _refuse_waiter(
        self, waiter: int, reason: RefusalReason, now: float
    ) -> RefuseWaiter:
        self._remove(waiter)
        return self._refuse(waiter, reason, now)

    def _refuse_all(self, reason: RefusalReason, now: float) -> list[PoolAction]:
        waiters = [*self._brief_waiters, *(queued.waiter for queued in self._waiters)]
        return [self._refuse_waiter(waiter, reason, now) for waiter in waiters]

    def _refuse_late(self, now: float) -> list[PoolAction]:
        """Refuse the waiting requests that are not expected to end in time."""
        if self._is_share_overdue(now):
            return self._refuse_all(RefusalReason.NO_SHARE, now)
        if not self._waiters:
            return []
        if not self._policy.refuses_early:
            late = [each.waiter for each in self._waiters if now > each.deadline]
            return [
                self._refuse_waiter(each, RefusalReason.TOO_LATE, now) for each in late
            ]
        late, position = [], 0
        model, done_at = self._model_waits(now), now + self._compute_service_time()
        for queued in self._waiters:
            if done_at + model.get_wait(position) > queued.deadline:
                late.append(queued.waiter)
            else:
                position += 1
        return [
            self._refuse_waiter(waiter, RefusalReason.TOO_LATE, now) for waiter in late
        ]

    def _is_share_overdue(self, now: float) -> bool:
        """Return whether requests have waited for a share longer than `share_wait`."""
        if self._limit > 0 or not self._waiters:
            self._no_share_since = None
            return False
        if self._no_share_since is None:
            self._no_share_since = now
        return now - self._no_share_since > self._policy.share_wait

    def _give(self, waiter: int, connection: int, now: float) -> GiveConnection:
        self._table.idle.pop(connection, None)
        self._table.in_use[connection] = now
        return GiveConnection(waiter, connection)

    def _end_use(self, connection: int, now: float) -> float:
        """End the use of a connection and return its length in seconds."""
        return now - self._table.in_use.pop(connection)

    def _reuse(self, connection: int, now: float) -> list[PoolAction]:
        """Give a released connection to a waiter, or close it for another account."""
        account = self._table.get_account(connection)
        if (
            not self._brief_waiters
            and self._find_preferred_account(account, now) is not None
        ):
            return self._close(connection)
        return self._give_free(connection, now)

    def _give_free(self, connection: int, now: float) -> list[PoolAction]:
        """Give a free connection to the first waiter that can still end in time."""
        actions: list[PoolAction] = []
        if self._brief_waiters:
            waiter = next(iter(self._brief_waiters))
            self._remove(waiter)
            return [self._give_briefly(waiter, connection, now)]
        account = self._table.get_account(connection)
        while (first := self._waiters.find_first(account)) is not None:
            self._remove(first.waiter)
            if now + self._compute_service_time() <= first.deadline:
                return [*actions, self._give(first.waiter, connection, now)]
            actions.append(self._refuse(first.waiter, RefusalReason.TOO_LATE, now))
        self._table.idle[connection] = now
        return actions + self._open_wanted(now)

    def _find_preferred_account(self, account: str, now: float) -> str | None:
        """Return the account in whose favour to close a released connection, if any.

        None while the limit lets a connection be opened for each waiting request.
        """
        # The table does not count the released connection now.
        has_capacity = self._table.open_count + 1 < self._get_max_open(now)
        if has_capacity or not self._waiters:
            return None
        arrived_by = now - self._policy.open_delay
        return self._waiters.find_preferred_account(account, self._table, arrived_by)

    def _close(self, connection: int) -> list[PoolAction]:
        self._table.begin_closing(connection)
        return [CloseConnection(connection)]

    def _reap(self, now: float) -> list[PoolAction]:
        """Close the connections whose idle time has expired."""
        expired = self._idle_ranking.list_expired(self._policy, self._limit, now)
        return [action for number in expired for action in self._close(number)]

    def _open_wanted(self, now: float) -> list[PoolAction]:
        """Open the connections that waiters and `warm` need, within the limits."""
        if self._state is not _State.ACTIVE or now < self._backoff.open_after:
            return []
        # After a failure a single attempt shows whether the target is back.
        is_probing = self._backoff.has_failed or self._capacity.is_probing(now)
        max_opening = 1 if is_probing else self._policy.max_opening
        allowed = max(0, max_opening - len(self._table.opening))
        wanted = self._list_accounts_to_open(now)[:allowed]
        capacity = max(0, self._get_max_open(now) - self._table.open_count)
        opened = [
            OpenConnection(self._table.begin_opening(account, now), account)
            for account in wanted[:capacity]
        ]
        return opened + self._close_for_waiters(len(wanted) - capacity, now)

    def _get_max_open(self, now: float) -> int:
        """Return how many connections the share and the target's capacity permit."""
        return self._capacity.get_max_open(self._limit, now)

    def _close_for_waiters(self, count: int, now: float) -> list[PoolAction]:
        """Close idle connections, so that others can be opened in their place."""
        surplus = max(0, count - len(self._table.closing))
        if not surplus:
            return []
        least_valuable = self._idle_ranking.rank(self._policy, now)[:surplus]
        return [action for number in least_valuable for action in self._close(number)]
