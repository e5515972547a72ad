"""The decisions of one database's pool of connections, without any socket.

A connection is lent per transaction. Requests wait in the order of their
deadlines. Who cannot be done in time, by what holds took of late, is told so
at once: a refusal is final and true, for nothing was sent.

A connection belongs to one account. Where accounts outnumber the connections, one that
rests is closed for an account that has none; `resting` says which.
"""

import random
from enum import Enum

from beryltrack.connections.deadline_queue import QueuedWaiter
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
from beryltrack.connections.resting import Resting
from beryltrack.connections.room import TargetRoom
from beryltrack.connections.service_estimate import ServiceEstimate
from beryltrack.connections.stock import ConnectionStock
from beryltrack.connections.wait_model import WaitModel, model_waits
from beryltrack.connections.waiting import WaitingRequests

FIRST_HOLD_TIME = 0.005
FIRST_OPEN_TIME = 0.03
LEAST_RETRY_AFTER = 0.05
SCAN_PERIOD = 0.05
# A hold this many times as long as expected is not counted on to end soon.
STUCK_FACTOR = 8.0


class _State(Enum):
    """Whether the pool takes work."""

    ACTIVE = 1
    DRAINING = 2


class PoolDecider:
    """Decides who gets a connection, and when to open and close connections.

    Each method takes the current time in seconds and returns the actions to
    carry out, in order.

    Parameters
    ----------
    policy : PoolPolicy
        The figures that steer it.
    limit : int
        Most connections that it may have open.
    rng : random.Random
        For the jitter of back-offs.
    """

    def __init__(self, policy: PoolPolicy, limit: int, rng: random.Random):
        self._policy = policy
        self._limit = limit
        self._state = _State.ACTIVE
        self._stock = ConnectionStock()
        self._brief: dict[int, None] = {}
        self._uncounted: set[int] = set()
        self._waiters = WaitingRequests(policy.by_deadline)
        self._hold = ServiceEstimate(FIRST_HOLD_TIME)
        self._resting = Resting(self._stock, self._hold)
        self._open_time = ServiceEstimate(FIRST_OPEN_TIME)
        self._backoff = OpenBackoff(policy, rng)
        self._room = TargetRoom(rng)
        self._dry_since: float | None = None

    @property
    def limit(self) -> int:
        """Most connections that the pool may have open."""
        return self._limit

    @property
    def open_count(self) -> int:
        """Connections that the target may count, closing ones included."""
        return self._stock.open_count

    @property
    def outstanding(self) -> int:
        """Requests that hold a connection or wait for one."""
        return len(self._stock.in_use) + len(self._waiters)

    @property
    def is_short(self) -> bool:
        """True if more requests want a connection than may be open."""
        return self.outstanding > self._limit

    @property
    def is_drained(self) -> bool:
        """True if the pool takes no work and all its connections are gone."""
        return self._state is _State.DRAINING and self.open_count == 0

    def get_load(self, now: float) -> PoolLoad:
        """Return the pool's load at the time `now`."""
        return PoolLoad(
            self._limit,
            self.open_count,
            len(self._stock.in_use),
            len(self._waiters),
            self._compute_wait(len(self._waiters), now),
            self._hold.mean,
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
            Whose connection it must be.

        Returns
        -------
        list of PoolAction
            A connection, a refusal, or what has to be opened while it waits.
        """
        if self._state is not _State.ACTIVE:
            return [self._refuse(waiter, RefusalReason.LEAVING, now)]
        if self._policy.retained_fraction:
            self._resting.rates.observe(account, now)
        idle = self._stock.find_idle(account)
        if idle is not None and now + self._compute_service() <= deadline:
            return [self._give(waiter, idle, now)]
        if len(self._waiters) >= self._policy.queue_limit:
            return [self._refuse(waiter, RefusalReason.QUEUE_FULL, now)]
        if self._is_cut_off(now):
            return [self._refuse(waiter, RefusalReason.UNREACHABLE, now)]
        queued = QueuedWaiter(deadline, waiter)
        place = self._waiters.find_place(queued)
        model = self._model_waits(now)
        wait = model.get_wait(place)
        refuses_early = self._policy.refuses_early
        if refuses_early and now + wait + self._compute_service() > deadline:
            return [self._refuse(waiter, RefusalReason.TOO_LATE, now)]
        # A connection that is opened for it is no queue, however long that takes.
        is_queued = place >= model.free
        if refuses_early and is_queued and wait > self._policy.max_wait:
            return [self._refuse(waiter, RefusalReason.QUEUE_FULL, now)]
        self._waiters.add(queued, account, now)
        # Whoever now waits behind may have lost its last chance.
        is_last = place == len(self._waiters) - 1
        late = [] if is_last and self._limit else self._refuse_late(now)
        return late + self._fill(now)

    def acquire_briefly(self, waiter: int, now: float) -> list[PoolAction]:
        """Ask for a connection for a short request of the proxy's own.

        It goes before the requests of callers, and how long it takes tells nothing of
        them. No connection is opened for it.
        """
        if self._state is not _State.ACTIVE:
            return [self._refuse(waiter, RefusalReason.LEAVING, now)]
        if self._stock.idle:
            return [self._give_briefly(waiter, next(reversed(self._stock.idle)), now)]
        self._brief[waiter] = None
        return []

    def _give_briefly(self, waiter: int, connection: int, now: float) -> GiveConnection:
        self._uncounted.add(connection)
        return self._give(waiter, connection, now)

    def cancel(self, waiter: int) -> None:
        """Forget a waiter that does not want its connection any more."""
        self._remove(waiter)

    def _remove(self, waiter: int) -> None:
        """Take a waiter out of the queue."""
        self._waiters.remove(waiter)
        self._brief.pop(waiter, None)

    def release(
        self, connection: int, is_reusable: bool, now: float
    ) -> list[PoolAction]:
        """Take a connection back.

        Parameters
        ----------
        connection : int
            Its number.
        is_reusable : bool
            False if anything about it is in doubt; it is thrown away.
        now : float
            The current time.

        Returns
        -------
        list of PoolAction
            What follows from it.
        """
        if connection not in self._stock.in_use:
            return []
        held = self._end_use(connection, now)
        if connection in self._uncounted:
            self._uncounted.discard(connection)
        else:
            self._hold.observe(held)
        surplus = self._stock.live_count >= self._limit
        if not is_reusable or surplus or self._state is not _State.ACTIVE:
            return self._close(connection) + self._fill(now)
        return self._serve(connection, now)

    def observe_opened(self, connection: int, now: float) -> list[PoolAction]:
        """Take in that a connection is open."""
        self._open_time.observe(now - self._stock.opening.pop(connection))
        self._backoff.reset()
        self._room.observe_opened(self._stock.established_count + 1)
        if self._state is not _State.ACTIVE or self._stock.live_count >= self._limit:
            return self._close(connection)
        # It was opened for its account: closed unused it would only be opened anew.
        return self._give_free(connection, now) + self._fill(now)

    def observe_open_failed(
        self, connection: int, now: float, is_full: bool = False
    ) -> list[PoolAction]:
        """Take in that a connection could not be opened: back off.

        `is_full` is True if the target has no room for more connections. Accounts then
        take turns with those that are open: without this one that rests would keep
        its account's place while others wait in vain.
        """
        has_accounts = bool(self._stock.get_account(connection))
        started = self._stock.fail(connection)
        if is_full and has_accounts and self._stock.established_count:
            self._room.observe_full(self._stock.established_count, now)
            return self._refuse_late(now) + self._fill(now)
        self._backoff.observe_failure(started, now)
        if self._is_cut_off(now):
            return self._refuse_all(RefusalReason.UNREACHABLE, now)
        return self._refuse_late(now)

    def observe_closed(self, connection: int, now: float) -> list[PoolAction]:
        """Take in that a connection is gone, by whatever cause."""
        self._uncounted.discard(connection)
        self._stock.forget(connection)
        return self._fill(now)

    def set_limit(self, limit: int, now: float) -> list[PoolAction]:
        """Change how many connections may be open.

        A surplus is closed at once if idle, else when it comes back.
        """
        self._limit = limit
        surplus = min(max(0, self._stock.live_count - limit), len(self._stock.idle))
        closed = tuple(reversed(self._stock.idle))[:surplus]
        actions = [action for number in closed for action in self._close(number)]
        return actions + self._refuse_late(now) + self._fill(now)

    def set_policy(self, policy: PoolPolicy) -> None:
        """Go by other figures from now on."""
        self._policy = policy

    def enforce_limit(self, limit: int) -> list[PoolAction]:
        """Close connections beyond `limit`, also those in use.

        Only for a share that has lapsed: it may be in other hands already.
        Those in use for the shortest time go first, for they lose the least.
        """
        surplus = max(0, self._stock.live_count - limit)
        idle = list(self._stock.idle)
        in_use = sorted(
            self._stock.in_use, key=self._stock.in_use.__getitem__, reverse=True
        )
        chosen = (idle + in_use)[:surplus]
        return [action for number in chosen for action in self._close(number)]

    @property
    def idle_numbers(self) -> tuple[int, ...]:
        """Numbers of the connections that are open and lent to nobody."""
        return tuple(self._stock.idle)

    def drain(self, now: float) -> list[PoolAction]:
        """Take no new work; connections in use close when they come back."""
        self._state = _State.DRAINING
        idle = tuple(self._stock.idle)
        closed = [action for number in idle for action in self._close(number)]
        return closed + self._refuse_all(RefusalReason.LEAVING, now)

    def resume(self, now: float) -> list[PoolAction]:
        """Take work again after a drain."""
        self._state = _State.ACTIVE
        return self._fill(now)

    def observe_reachable(self, now: float) -> list[PoolAction]:
        """Take in that the target answers elsewhere: do not back off any longer."""
        self._backoff.reset()
        return self._fill(now)

    def tick(self, now: float) -> list[PoolAction]:
        """Do what is due by time alone: refusals, reaping, opening."""
        return self._refuse_late(now) + self._reap(now) + self._fill(now)

    def get_wakeup(self, now: float) -> float | None:
        """Return when `tick` is next due, or None if nothing waits for time."""
        if self._waiters:
            return self._get_next_scan(now)
        if self._state is not _State.ACTIVE:
            return None
        times = []
        if now < self._backoff.open_after and self._list_wanted(now):
            times.append(self._backoff.open_after)
        end = self._resting.get_next_end(self._policy, self._limit, now)
        return min((*times, *([] if end is None else [end])), default=None)

    def _get_next_scan(self, now: float) -> float:
        """Return when to look at the waiters again."""
        scan = now + SCAN_PERIOD
        ends = (since + self._policy.open_delay for since in self._waiters.times)
        return min(scan, next((end for end in ends if end > now), scan))

    def _list_wanted(self, now: float) -> list[str]:
        """Return whose connections to open besides those on the way."""
        latest = now - self._policy.open_delay
        wanted = self._waiters.list_wanted(self._stock, latest)
        for_warmth = self._policy.warm - self._stock.live_count - len(wanted)
        return wanted + [""] * for_warmth

    def _is_cut_off(self, now: float) -> bool:
        """Return whether nothing is open and opening has just failed."""
        return (
            self._stock.live_count == 0
            and now < self._backoff.open_after
            and self._backoff.has_failed
        )

    def _compute_service(self) -> float:
        """Return a time in which a request that holds a connection is done.

        While none is held the estimate has nothing to learn from. A request
        must be let through then, or one long hold would refuse all for ever.
        """
        if not self._stock.in_use:
            return 0.0
        return self._hold.mean + self._policy.deviations * self._hold.deviation

    def _model_waits(self, now: float) -> WaitModel:
        """Return how the expected wait depends on the place in the queue."""
        is_backing_off = now < self._backoff.open_after
        return model_waits(
            self._stock.live_count if is_backing_off else self._get_most_open(now),
            self._stock.in_use.values(),
            0.0 if self._stock.idle else self._open_time.mean,
            self._hold.mean,
            now - STUCK_FACTOR * self._compute_service(),
            now,
        )

    def _compute_wait(self, place: int, now: float) -> float:
        """Return the expected wait of the request at a place in the queue."""
        return self._model_waits(now).get_wait(place)

    def _refuse(self, waiter: int, reason: RefusalReason, now: float) -> RefuseWaiter:
        """Return a refusal with the time after which a retry is worth while."""
        until_open = self._backoff.open_after - now
        wait = max(self._compute_wait(len(self._waiters), now), until_open)
        return RefuseWaiter(waiter, PoolRefusal(reason, max(LEAST_RETRY_AFTER, wait)))

    def _refuse_waiter(
        self, waiter: int, reason: RefusalReason, now: float
    ) -> RefuseWaiter:
        self._remove(waiter)
        return self._refuse(waiter, reason, now)

    def _refuse_all(self, reason: RefusalReason, now: float) -> list[PoolAction]:
        waiters = [*self._brief, *(queued.waiter for queued in self._waiters)]
        return [self._refuse_waiter(waiter, reason, now) for waiter in waiters]

    def _refuse_late(self, now: float) -> list[PoolAction]:
        """Refuse whoever cannot be done in time any more."""
        if self._is_dry_for_long(now):
            return self._refuse_all(RefusalReason.NO_SHARE, now)
        if not self._waiters:
            return []
        if not self._policy.refuses_early:
            over = [each.waiter for each in self._waiters if now > each.deadline]
            return [
                self._refuse_waiter(each, RefusalReason.TOO_LATE, now) for each in over
            ]
        late, place = [], 0
        model, done_at = self._model_waits(now), now + self._compute_service()
        for queued in self._waiters:
            if done_at + model.get_wait(place) > queued.deadline:
                late.append(queued.waiter)
            else:
                place += 1
        return [
            self._refuse_waiter(waiter, RefusalReason.TOO_LATE, now) for waiter in late
        ]

    def _is_dry_for_long(self, now: float) -> bool:
        """Return whether requests waited long enough for a share to come."""
        if self._limit > 0 or not self._waiters:
            self._dry_since = None
            return False
        if self._dry_since is None:
            self._dry_since = now
        return now - self._dry_since > self._policy.share_wait

    def _give(self, waiter: int, connection: int, now: float) -> GiveConnection:
        self._stock.idle.pop(connection, None)
        self._stock.in_use[connection] = now
        return GiveConnection(waiter, connection)

    def _end_use(self, connection: int, now: float) -> float:
        """Take a connection out of use and return how long it was held."""
        return now - self._stock.in_use.pop(connection)

    def _serve(self, connection: int, now: float) -> list[PoolAction]:
        """Give on a connection that came back, or close it for another account."""
        account = self._stock.get_account(connection)
        if not self._brief and self._find_poorer(account, now) is not None:
            return self._close(connection)
        return self._give_free(connection, now)

    def _give_free(self, connection: int, now: float) -> list[PoolAction]:
        """Give a free connection to the first waiter that can still be done."""
        actions: list[PoolAction] = []
        if self._brief:
            waiter = next(iter(self._brief))
            self._remove(waiter)
            return [self._give_briefly(waiter, connection, now)]
        account = self._stock.get_account(connection)
        while (first := self._waiters.find_first(account)) is not None:
            self._remove(first.waiter)
            if now + self._compute_service() <= first.deadline:
                return [*actions, self._give(first.waiter, connection, now)]
            actions.append(self._refuse(first.waiter, RefusalReason.TOO_LATE, now))
        self._stock.idle[connection] = now
        return actions + self._fill(now)

    def _find_poorer(self, account: str, now: float) -> str | None:
        """Return who is to have the connection that an account gives back, if another.

        Where there is room one is opened for whoever waits.
        """
        # The connection that came back is in no state now.
        has_room = self._stock.open_count + 1 < self._get_most_open(now)
        if has_room or not self._waiters:
            return None
        latest = now - self._policy.open_delay
        return self._waiters.find_poorer(account, self._stock, latest)

    def _close(self, connection: int) -> list[PoolAction]:
        self._stock.close(connection)
        return [CloseConnection(connection)]

    def _reap(self, now: float) -> list[PoolAction]:
        """Close the connections that have rested for long enough."""
        expired = self._resting.list_expired(self._policy, self._limit, now)
        return [action for number in expired for action in self._close(number)]

    def _fill(self, now: float) -> list[PoolAction]:
        """Open what waiters and warmth ask for, within the limits."""
        if self._state is not _State.ACTIVE or now < self._backoff.open_after:
            return []
        # After a failure one attempt is enough to learn that the target is back.
        is_in_doubt = self._backoff.has_failed or self._room.is_in_doubt(now)
        most = 1 if is_in_doubt else self._policy.max_opening
        at_once = max(0, most - len(self._stock.opening))
        wanted = self._list_wanted(now)[:at_once]
        room = max(0, self._get_most_open(now) - self._stock.open_count)
        opened = [
            OpenConnection(self._stock.begin(account, now), account)
            for account in wanted[:room]
        ]
        return opened + self._make_room(len(wanted) - room, now)

    def _get_most_open(self, now: float) -> int:
        """Return how many connections may be open, by the share and the target."""
        return self._room.get_most(self._limit, now)

    def _make_room(self, count: int, now: float) -> list[PoolAction]:
        """Close connections that rest, so that others can be opened in their place."""
        surplus = max(0, count - len(self._stock.closing))
        if not surplus:
            return []
        cheapest = self._resting.rank(self._policy, now)[:surplus]
        return [action for number in cheapest for action in self._close(number)]
