"""Owners with a gate and a pool each for one database, and callers that retry once.

The gates and pools are the product's; the clock and database are those of `overload`.
"""

import random
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from twisted.internet.defer import CancelledError, Deferred, TimeoutError
from twisted.internet.error import ConnectionLost
from twisted.internet.task import deferLater

from beryltrack.accounts.slots import SLOT_COUNT, get_slot
from beryltrack.connections.messages import PoolRefused
from beryltrack.connections.task import PoolTask
from beryltrack.daemon.node_options import POOLS
from beryltrack.load.gate import GateDecider
from beryltrack.load.gate_task import GateTask
from beryltrack.load.limit import Outcome, SharedCapacity
from beryltrack.load.messages import Demand
from beryltrack.load.policy import LoadPolicy
from beryltrack.relay.owners import Peer, order_owners
from beryltrack.relay.slot_owners import rank_owners
from beryltrack.settings.messages import DatabaseSettings, Endpoint
from beryltrack_bench.deployment import Deployment
from beryltrack_bench.overload.clock import SortedClock
from beryltrack_bench.overload.target import SlotConnection, SlotDatabase
from beryltrack_bench.quota.site import DETECTION_TIME
from beryltrack_bench.replay.patterns import (
    SLOW_FACTOR,
    Operation,
    Pattern,
    Sizes,
    draw_operations,
)

GROUP = "group"
POOL_POLICY = POOLS._replace(idle_timeout=60.0)
"""Policy of the owners' pools, whose connections stay open through a run."""

DRAIN_TIME = 4.5
"""Seconds that a run goes on after its last arrival: more than the longest deadline."""


class OperationOutcome(Enum):
    """The outcome of an operation, as its caller sees it."""

    DONE = "done"
    REFUSED = "refused"
    LOST = "lost"
    """No answer arrived."""


class OperationResult(NamedTuple):
    """The outcome of an operation, and the time of it, seconds."""

    operation: Operation
    end: OperationOutcome
    at: float


class Owner:
    """An instance that holds connections to the database: a gate and a pool.

    Parameters
    ----------
    clock : SortedClock
        The clock.
    database : SlotDatabase
        The database.
    policy : LoadPolicy
        Policy of its gate.
    rng : random.Random
        Source of random numbers for both.
    """

    def __init__(
        self,
        clock: SortedClock,
        database: SlotDatabase,
        policy: LoadPolicy,
        rng: random.Random,
    ):
        settings = DatabaseSettings("d", Endpoint("", 0), "", 1, 1, False)
        self.gate = GateTask(clock, GateDecider(policy, rng, 1))
        self.pool = PoolTask(
            clock,
            settings,
            lambda account: self._connect(),
            POOL_POLICY,
            limit=0,
            rng=rng,
        )
        self.is_lost = False
        self._database = database
        self._connections: set[SlotConnection] = set()
        self._entering: set[Deferred] = set()

    def set_share(self, slots: int, owners: int, connections: int) -> None:
        """Set this owner's share of the database's capacity and connections."""
        self.gate.set_capacity(SharedCapacity(slots, owners, connections))
        self.pool.set_limit(connections)

    def enter(self, deadline: float, demand: Demand) -> Deferred[int]:
        """Enter the gate; the Deferred is cancelled if the owner crashes."""
        entering = self.gate.enter(deadline, demand)
        self._entering.add(entering)
        return entering.addBoth(self._remove_entering, entering)

    def crash(self) -> None:
        """Crash: everything in flight is lost, and callers get no answer."""
        self.is_lost = True
        self.pool.drain()
        for waiting in tuple(self._entering):
            waiting.cancel()
        for connection in tuple(self._connections):
            connection.abort()

    def _connect(self) -> Deferred[SlotConnection]:
        return self._database.connect().addCallback(self._add_connection)

    def _add_connection(self, connection: SlotConnection) -> SlotConnection:
        self._connections.add(connection)
        return connection

    def _remove_entering(self, result: object, entering: Deferred) -> object:
        self._entering.discard(entering)
        return result


class ReplaySite:
    """The callers, the owners and the database of one run.

    Parameters
    ----------
    deployment : Deployment
        Network delays.
    sizes : Sizes
        Sizes of the site.
    pattern : Pattern
        The load and the faults.
    policy : LoadPolicy
        Policy of the gates.
    seed : int
        Seed of all random numbers; operations are the same for all policies.
    seconds : float
        Length of the load.
    report : callable
        Called with the `OperationResult` of each operation.
    """

    def __init__(
        self,
        deployment: Deployment,
        sizes: Sizes,
        pattern: Pattern,
        policy: LoadPolicy,
        seed: int,
        seconds: float,
        report: Callable[[OperationResult], None],
    ):
        self.clock = SortedClock()
        self.untrue = 0
        self._delay = deployment.zone_delay
        self._gap = 2 * deployment.client_delay
        self._sizes, self._pattern, self._report = sizes, pattern, report
        self._seconds = seconds
        rng = random.Random(f"{seed}/operations")
        self._operations = iter(draw_operations(pattern, sizes, seconds, rng))
        self._attempts = 0
        self.database = SlotDatabase(
            self.clock,
            sizes.slots,
            sizes.connections,
            deployment.connection_setup,
            deployment.zone_delay,
        )
        peers = [
            Peer(f"n{number}", f"z{number % sizes.zones}", Endpoint("", 1))
            for number in range(sizes.instances)
        ]
        self._peers, self._owner_peers = peers, peers[: sizes.owners]
        self._slots = {
            slot: rank_owners(self._owner_peers, slot) for slot in range(SLOT_COUNT)
        }
        self.owners = {
            peer.name: Owner(
                self.clock, self.database, policy, random.Random(f"{seed}/{peer.name}")
            )
            for peer in self._owner_peers
        }

    def run(self) -> None:
        """Run the pattern to its end."""
        self._assign_shares()
        self._schedule_faults()
        # Time for the pools to open their connections before the first operation.
        self.clock.run_until(1.0)
        self._started_at = self.clock.seconds()
        self._schedule_next()
        self.clock.run_until(self._started_at + self._seconds + DRAIN_TIME)

    def _schedule_faults(self) -> None:
        """Schedule the faults of the database and the owners."""
        pattern, database = self._pattern, self.database
        faults = (
            (pattern.slow, lambda: database.set_slowness(SLOW_FACTOR)),
            (pattern.hanging, database.hang),
        )
        for window, begin in faults:
            if window is not None:
                self._call_at(window.start, begin)
                self._call_at(window.end, database.recover)
        if pattern.owner_lost is not None:
            first = next(iter(self.owners.values()))
            self._call_at(pattern.owner_lost, first.crash)
            # The other owners detect the crash some time later.
            detected_at = pattern.owner_lost + DETECTION_TIME / self._seconds
            self._call_at(detected_at, self._assign_shares)

    def _call_at(self, fraction: float, function: Callable[[], object]) -> None:
        self.clock.callLater(1.0 + fraction * self._seconds, function)

    def _assign_shares(self) -> None:
        """Give each live owner its share of the database."""
        live = [owner for owner in self.owners.values() if not owner.is_lost]
        for owner in live:
            connections = self._sizes.connections // len(live)
            owner.set_share(self._sizes.slots, len(live), connections)
        self._known_lost = {
            name for name, owner in self.owners.items() if owner.is_lost
        }

    def _schedule_next(self) -> None:
        """Schedule the arrival of the next operation."""
        operation = next(self._operations, None)
        if operation is not None:
            wait = self._started_at + operation.at - self.clock.seconds()
            self.clock.callLater(max(0.0, wait), self._arrive, operation)

    def _arrive(self, operation: Operation) -> None:
        self._schedule_next()
        Deferred.fromCoroutine(self._serve(operation))

    def _choose_owner(self, operation: Operation) -> Owner | None:
        """Return the preferred live owner for an operation; None if there is none."""
        if self._pattern.has_accounts:
            ordered = self._slots[get_slot(operation.demand.account)]
        else:
            own = self._peers[operation.instance]
            ordered = order_owners(self._owner_peers, GROUP, own.name, own.zone)
        fit = (each.name for each in ordered if each.name not in self._known_lost)
        return self.owners.get(next(fit, ""))

    async def _serve(self, operation: Operation) -> None:
        """Run an operation; after a refusal the caller retries once."""
        end, retry_after = await self._try(operation)
        left = operation.demand.time_left - (self._now - operation.at)
        if end is OperationOutcome.REFUSED and retry_after < left:
            await deferLater(self.clock, retry_after, int)
            end, _ = await self._try(operation)
        self._report(OperationResult(operation, end, self._now))

    async def _try(self, operation: Operation) -> tuple[OperationOutcome, float]:
        """Send an operation to its owner; return its outcome and the retry delay."""
        self._attempts += 1
        attempt = self._attempts
        owner = self._choose_owner(operation)
        await deferLater(self.clock, self._delay, int)
        demand = operation.demand.after(self._now - operation.at)
        deadline = self.clock.seconds() + demand.time_left
        if owner is None or owner.is_lost:
            return OperationOutcome.LOST, 0.0
        try:
            number = await owner.enter(deadline, demand)
        except PoolRefused as refused:
            self.untrue += attempt in self.database.ran
            return OperationOutcome.REFUSED, refused.refusal.retry_after
        except CancelledError:
            return OperationOutcome.LOST, 0.0
        ended = await self._run(
            operation.service_times, attempt, owner, number, deadline
        )
        self.untrue += (
            ended[0] is OperationOutcome.REFUSED and attempt in self.database.ran
        )
        return ended

    async def _run(
        self,
        service_times: tuple[float, ...],
        attempt: int,
        owner: Owner,
        number: int,
        deadline: float,
    ) -> tuple[OperationOutcome, float]:
        """Run the statements of an operation; returns the same as `_try`."""
        gate = owner.gate
        try:
            connection = await owner.pool.acquire(deadline)
        except PoolRefused as refused:
            gate.cancel(number)
            return OperationOutcome.REFUSED, refused.refusal.retry_after
        outcome = Outcome.ANSWERED
        for index, service_time in enumerate(service_times):
            if index:
                await deferLater(self.clock, self._gap, int)
                gate.start_statement(number)
            began = self.clock.seconds()
            running = connection.run(attempt, service_time)
            running.addTimeout(max(0.0, deadline - began), self.clock)
            try:
                await running
            except (ConnectionLost, TimeoutError):
                outcome = Outcome.LOST
            gate.end_statement(number, self.clock.seconds() - began, outcome)
            if outcome is Outcome.LOST:
                break
        gate.finish(number)
        owner.pool.release(connection, outcome is Outcome.ANSWERED)
        return (
            OperationOutcome.DONE
            if outcome is Outcome.ANSWERED
            else OperationOutcome.LOST
        ), 0.0

    @property
    def _now(self) -> float:
        """Seconds since the first operation could come."""
        return self.clock.seconds() - self._started_at
