"""Applies a proxy's connection budget to its pools.

`BudgetTask` owns the timer, reads the pools and carries out the actions that
`BudgetDecider` returns. Two Protocols hide the peer links and the platform.
"""

import logging
import random
from collections import deque
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from beryltrack.connections.budget import BudgetDecider, BudgetPolicy
from beryltrack.connections.budget_messages import (
    BudgetAction,
    BudgetedDatabase,
    BudgetMessage,
    BudgetPlan,
    DatabaseUse,
    LiveHolders,
    SeatRecord,
    SendToHolder,
    SetLimit,
    WriteSeat,
)
from beryltrack.connections.task import PoolTask
from beryltrack.objects.eras import get_latest_era

log = logging.getLogger(__name__)

FIRST_READ_PERIOD = 1.0
"""Seconds between two reads of the seats while one of them waits for something, and
within which all proxies read them after a restore of the store from a backup."""

READ_PERIOD = 15.0
"""Seconds between two reads of settled seats, in fleets of up to `READ_FLEET_SIZE`."""

READ_FLEET_SIZE = 8
"""Processes beyond which the period grows with the fleet."""

LIVE_PERIOD = 1.0
"""Seconds between two updates of the live processes."""


class BudgetPeers(Protocol):
    """The other proxies, as a budget uses them."""

    def get_live_holders(self) -> LiveHolders:
        """Return the live processes, by the instance list or by gossip."""

    def send(self, holder: str, message: BudgetMessage) -> None:
        """Send a message to a proxy; it may be lost."""

    def publish_seat(self, record: SeatRecord) -> None:
        """Publish a seat's record to all proxies."""

    def publish_era(self, era: int) -> None:
        """Publish the store's era in which this process's seats are confirmed."""


class SeatStore(Protocol):
    """The store of the seats' objects."""

    async def read_seats(self) -> tuple[SeatRecord, ...] | None:
        """Return all seats that were ever written; None if the store is unavailable."""

    async def write_seat(self, write: WriteSeat) -> SeatRecord | None:
        """Write a seat conditionally and return the resulting seat, if known."""


class _Pooled(NamedTuple):
    """A database with its pool and its number of control connections."""

    database: BudgetedDatabase
    pool: PoolTask
    control: int


class BudgetTask:
    """Sets the limits of all pools of a proxy.

    Parameters
    ----------
    reactor : IReactorTime
        The clock.
    holder : str
        This process's identifier; never used by another process.
    plan : BudgetPlan
        The layout of the shares, the same on every proxy.
    peers : BudgetPeers
        The other proxies.
    store : SeatStore
        The store of the seats.
    rng : random.Random
        For choices and jitter.
    policy : BudgetPolicy
        Limits and timeouts of the budget.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        holder: str,
        plan: BudgetPlan,
        peers: BudgetPeers,
        store: SeatStore,
        rng: random.Random,
        policy: BudgetPolicy = BudgetPolicy(),  # noqa: B008 (immutable)
    ):
        self._reactor = reactor
        self._peers = peers
        self._store = store
        self._rng = rng
        self._pools: dict[str, _Pooled] = {}
        self._decider = BudgetDecider(holder, plan, self._read_use, rng, policy)
        self._timer: IDelayedCall | None = None
        self._timer_at = 0.0
        self._read_at = float("-inf")
        self._live_at = float("-inf")
        self._fleet_size = 1
        self._is_reading = False
        self._is_running = False
        self._published_era = 0
        self._writing = 0
        self._leave_done: Deferred[None] | None = None
        self._actions: deque[BudgetAction] = deque()
        self._is_performing = False

    @property
    def held_seats(self) -> frozenset[int]:
        """Seats that this process holds."""
        return self._decider.held_seats

    @property
    def _now(self) -> float:
        return self._reactor.seconds()

    def get_owners(self, group: str) -> tuple[str, ...]:
        """Return the holders of the seats that own a group, best rank first."""
        return self._decider.get_owners(group)

    def add_pool(
        self, database: BudgetedDatabase, pool: PoolTask, control: int
    ) -> None:
        """Start to control a pool's limit.

        Parameters
        ----------
        database : BudgetedDatabase
            The database and its total.
        pool : PoolTask
            Its pool; the limit is set at once.
        control : int
            Control connections of this proxy to the database beside the pool's, which
            are part of its share.
        """
        self._pools[database.key] = _Pooled(database, pool, control)
        pool.subscribe(lambda: self._observe_use(database.key, pool))
        self._update_databases()

    def remove_pool(self, key: str) -> None:
        """Remove a pool whose connections are all closed."""
        self._pools.pop(key, None)
        self._update_databases()

    def start(self) -> None:
        """Read the seats and start to set the limits."""
        self._is_running = True
        self._tick()

    def stop(self) -> None:
        """Stop the timer; the pools keep their last limits."""
        self._is_running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def leave(self) -> Deferred[None]:
        """Release all seats as the pools close their connections.

        Returns
        -------
        Deferred
            Fires when no seat is held and each has been written once, whether or not
            the write succeeded.
        """
        self._leave_done = Deferred()
        self._perform(self._decider.leave(self._now))
        self._finish_leave()
        return self._leave_done

    def receive(self, sender: str, message: BudgetMessage) -> None:
        """Handle a message of another proxy."""
        self._perform(self._decider.receive(sender, message, self._now))

    def observe_seats(self, records: tuple[SeatRecord, ...]) -> None:
        """Record seats that were received from peers."""
        self._perform(self._decider.observe_seats(records, False, self._now))
        if get_latest_era(record.version for record in records) > self._decider.era:
            self.read_soon()

    def read_soon(self) -> None:
        """Read the seats soon, as the store may have been restored from a backup."""
        soon = self._now + self._rng.uniform(0.0, FIRST_READ_PERIOD)
        self._read_at = min(self._read_at, soon)

    def _read_use(self, key: str) -> DatabaseUse:
        """Return the use of a database at this moment."""
        pooled = self._pools[key]
        load = pooled.pool.load
        return DatabaseUse(
            load.open + pooled.control, load.in_use + pooled.control, load.waiting
        )

    def _observe_use(self, key: str, pool: PoolTask) -> None:
        pooled = self._pools.get(key)
        if self._is_running and pooled is not None and pooled.pool is pool:
            self._perform(self._decider.observe_use(key, self._now))

    def _update_databases(self) -> None:
        databases = [pooled.database for pooled in self._pools.values()]
        self._perform(self._decider.set_databases(databases, self._now))

    def _perform(self, actions: list[BudgetAction]) -> None:
        """Carry out actions in the order in which they were decided.

        A pool whose limit changes reports its use at once; the actions that follow are
        appended to the queue.
        """
        self._actions.extend(actions)
        if self._is_performing:
            return
        self._is_performing = True
        try:
            while self._actions:
                self._perform_one(self._actions.popleft())
        finally:
            self._is_performing = False
        self._set_timer()

    def _perform_one(self, action: BudgetAction) -> None:
        match action:
            case SetLimit():
                self._set_limit(action)
            case SendToHolder(holder, message):
                self._peers.send(holder, message)
            case WriteSeat():
                Deferred.fromCoroutine(self._write_seat(action))

    def _set_limit(self, action: SetLimit) -> None:
        pooled = self._pools.get(action.database)
        if pooled is None:
            return
        hard_limit = max(0, action.hard_limit - pooled.control)
        if pooled.pool.load.open > hard_limit:
            log.warning(
                "connections: share of %s expired; closing its connections above %d",
                action.database,
                hard_limit,
            )
            pooled.pool.enforce_limit(hard_limit)
        pooled.pool.set_limit(max(0, action.limit - pooled.control))

    async def _write_seat(self, write: WriteSeat) -> None:
        self._writing += 1
        record = await self._store.write_seat(write)
        self._writing -= 1
        if record is not None:
            self._peers.publish_seat(record)
            self._apply_seats((record,), False)
        self._finish_leave()

    def _finish_leave(self) -> None:
        """Fire the Deferred of `leave` if nothing is left to do."""
        is_busy = bool(self._decider.held_seats) or self._writing
        if self._leave_done is not None and not is_busy and not self._leave_done.called:
            self._leave_done.callback(None)

    async def _read_seats(self) -> None:
        self._is_reading = True
        records = await self._store.read_seats()
        self._is_reading = False
        if records is not None:
            self._apply_seats(records, True)

    def _apply_seats(self, records: tuple[SeatRecord, ...], is_complete: bool) -> None:
        if self._is_running:
            now = self._now
            self._perform(self._decider.observe_seats(records, is_complete, now))
            self._perform(self._decider.tick(now))
            self._publish_era()

    def _publish_era(self) -> None:
        """Publish a new era once this process's seats are confirmed in it."""
        era = self._decider.era
        if era > self._published_era:
            self._published_era = era
            self._peers.publish_era(era)

    def _tick(self) -> None:
        self._timer = None
        now = self._now
        if now - self._live_at >= LIVE_PERIOD:
            self._live_at = now
            holders = self._peers.get_live_holders()
            self._fleet_size = len(holders.live)
            self._decider.observe_live_holders(holders, now)
        if now >= self._read_at and not self._is_reading:
            self._read_at = now + self._get_read_period() * self._rng.uniform(0.5, 1.0)
            Deferred.fromCoroutine(self._read_seats())
        self._perform(self._decider.tick(now))

    def _get_read_period(self) -> float:
        """Return the period of reads; it keeps the rate of a large fleet constant."""
        if not self._decider.is_settled:
            return FIRST_READ_PERIOD
        return READ_PERIOD * max(1.0, self._fleet_size / READ_FLEET_SIZE)

    def _set_timer(self) -> None:
        """Set the single timer to the time at which `_tick` is next due."""
        if not self._is_running:
            return
        due = self._decider.get_wakeup(self._now)
        wakeup = min(self._live_at + LIVE_PERIOD, due or float("inf"))
        if self._timer is not None and self._timer.active():
            if self._timer_at <= wakeup:
                return
            self._timer.cancel()
        self._timer_at = wakeup
        self._timer = self._reactor.callLater(max(0.0, wakeup - self._now), self._tick)
