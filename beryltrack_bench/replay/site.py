"""Owners with their gates before one database, and callers that try again once.

The gates are the product's; the clock and the database are those of `overload`.
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
KEPT_POOLS = POOLS._replace(idle_timeout=60.0)
"""Pools of owners, whose connections stay open through a run."""

DRAINING = 4.5
"""Seconds that a run goes on after its last operation came: the longest deadline."""


class End(Enum):
    """How an operation ended for its caller."""

    DONE = "done"
    REFUSED = "refused"
    LOST = "lost"
    """Its answer did not come."""


class Ended(NamedTuple):
    """The end of an operation, and when that was, in seconds."""

    operation: Operation
    end: End
    at: float


class Owner:
    """An instance that holds connections to the database: a gate before a pool.

    Parameters
    ----------
    clock : SortedClock
        The clock.
    database : SlotDatabase
        The database.
    policy : LoadPolicy
        Steers its gate.
    rng : random.Random
        For both.
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
            KEPT_POOLS,
            limit=0,
            rng=rng,
        )
        self.is_lost = False
        self._database = database
        self._connections: set[SlotConnection] = set()
        self._entering: set[Deferred] = set()

    def set_part(self, slots: int, owners: int, connections: int) -> None:
        """Take in what this owner's part of the database is."""
        self.gate.set_capacity(SharedCapacity(slots, owners, connections))
        self.pool.set_limit(connections)

    def enter(self, deadline: float, demand: Demand) -> Deferred[int]:
        """Ask to run an operation; its answer is lost with the owner."""
        entering = self.gate.enter(deadline, demand)
        self._entering.add(entering)
        return entering.addBoth(self._note_entered, entering)

    def lose(self) -> None:
        """End without a sign: all that it had on its way is lost."""
        self.is_lost = True
        self.pool.drain()
        for waiting in tuple(self._entering):
            waiting.cancel()
        for connection in tuple(self._connections):
            connection.lose()

    def _connect(self) -> Deferred[SlotConnection]:
        return self._database.connect().addCallback(self._note_open)

    def _note_open(self, connection: SlotConnection) -> SlotConnection:
        self._connections.add(connection)
        return connection

    def _note_entered(self, result: object, entering: Deferred) -> object:
        self._entering.discard(entering)
        return result


class ReplaySite:
    """All parties of one run.

    Parameters
    ----------
    deployment : Deployment
        Delays.
    sizes : Sizes
        How large it is.
    pattern : Pattern
        What happens.
    policy : LoadPolicy
        Steers the gates.
    seed : int
        Of all random numbers; operations are the same for all policies.
    seconds : float
        How long operations come.
    tell : callable
        Called with the `Ended` of each operation.
    """

    def __init__(
        self,
        deployment: Deployment,
        sizes: Sizes,
        pattern: Pattern,
        policy: LoadPolicy,
        seed: int,
        seconds: float,
        tell: Callable[[Ended], None],
    ):
        self.clock = SortedClock()
        self.untrue = 0
        self._delay = deployment.zone_delay
        self._gap = 2 * deployment.client_delay
        self._sizes, self._pattern, self._tell = sizes, pattern, tell
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
        """Play the pattern to its end."""
        self._share()
        self._schedule_faults()
        # The connections are open when the first operation comes.
        self.clock.run_until(1.0)
        self._began = self.clock.seconds()
        self._schedule_next()
        self.clock.run_until(self._began + self._seconds + DRAINING)

    def _schedule_faults(self) -> None:
        """Plan what happens to the database and the owners."""
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
            self._call_at(pattern.owner_lost, first.lose)
            # The others hear of it some time later.
            notice = pattern.owner_lost + DETECTION_TIME / self._seconds
            self._call_at(notice, self._share)

    def _call_at(self, part: float, function: Callable[[], object]) -> None:
        self.clock.callLater(1.0 + part * self._seconds, function)

    def _share(self) -> None:
        """Give each owner that is there its part of the database."""
        left = [owner for owner in self.owners.values() if not owner.is_lost]
        for owner in left:
            connections = self._sizes.connections // len(left)
            owner.set_part(self._sizes.slots, len(left), connections)
        self._known_lost = {
            name for name, owner in self.owners.items() if owner.is_lost
        }

    def _schedule_next(self) -> None:
        """Have the next operation come."""
        operation = next(self._operations, None)
        if operation is not None:
            wait = self._began + operation.at - self.clock.seconds()
            self.clock.callLater(max(0.0, wait), self._arrive, operation)

    def _arrive(self, operation: Operation) -> None:
        self._schedule_next()
        Deferred.fromCoroutine(self._serve(operation))

    def _choose_owner(self, operation: Operation) -> Owner | None:
        """Return the owner that decides for an operation; None if none is left."""
        if self._pattern.has_accounts:
            ordered = self._slots[get_slot(operation.demand.account)]
        else:
            own = self._peers[operation.instance]
            ordered = order_owners(self._owner_peers, GROUP, own.name, own.zone)
        fit = (each.name for each in ordered if each.name not in self._known_lost)
        return self.owners.get(next(fit, ""))

    async def _serve(self, operation: Operation) -> None:
        """Have an operation run; a caller that is refused tries once more."""
        end, retry_after = await self._try(operation)
        left = operation.demand.time_left - (self._now - operation.at)
        if end is End.REFUSED and retry_after < left:
            await deferLater(self.clock, retry_after, int)
            end, _ = await self._try(operation)
        self._tell(Ended(operation, end, self._now))

    async def _try(self, operation: Operation) -> tuple[End, float]:
        """Send an operation to its owner; return its end, and when to come back."""
        self._attempts += 1
        attempt = self._attempts
        owner = self._choose_owner(operation)
        await deferLater(self.clock, self._delay, int)
        demand = operation.demand.after(self._now - operation.at)
        deadline = self.clock.seconds() + demand.time_left
        if owner is None or owner.is_lost:
            return End.LOST, 0.0
        try:
            number = await owner.enter(deadline, demand)
        except PoolRefused as refused:
            self.untrue += attempt in self.database.ran
            return End.REFUSED, refused.refusal.retry_after
        except CancelledError:
            return End.LOST, 0.0
        ended = await self._run(operation.works, attempt, owner, number, deadline)
        self.untrue += ended[0] is End.REFUSED and attempt in self.database.ran
        return ended

    async def _run(
        self,
        works: tuple[float, ...],
        attempt: int,
        owner: Owner,
        number: int,
        deadline: float,
    ) -> tuple[End, float]:
        """Run the statements of an operation; see `_try` for what is returned."""
        gate = owner.gate
        try:
            connection = await owner.pool.acquire(deadline)
        except PoolRefused as refused:
            gate.cancel(number)
            return End.REFUSED, refused.refusal.retry_after
        outcome = Outcome.ANSWERED
        for index, work in enumerate(works):
            if index:
                await deferLater(self.clock, self._gap, int)
                gate.start_statement(number)
            began = self.clock.seconds()
            running = connection.run(attempt, work)
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
        return (End.DONE if outcome is Outcome.ANSWERED else End.LOST), 0.0

    @property
    def _now(self) -> float:
        """Seconds since the first operation could come."""
        return self.clock.seconds() - self._began
