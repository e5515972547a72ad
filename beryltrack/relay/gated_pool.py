"""The connections to one database behind the gate that decides what runs there.

First the gate, then the pool, whose own refusals remain. Control requests take their
connections from the pool and do not wait at the gate.
"""

from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from beryltrack.connections.messages import PooledConnection
from beryltrack.connections.task import PoolTask
from beryltrack.errors import TOO_MANY_CONNECTIONS
from beryltrack.load.gate_task import GateTally, GateTask
from beryltrack.load.limit import Bounds, Outcome
from beryltrack.load.messages import DatabaseReport, Demand
from beryltrack.wire.messages import ResponseEnd


class GatedOperation:
    """Tells a gate of the statements of one operation; see `RunObserver`.

    Each statement that ends leaves its room at once. Whether it was the last one of
    its operation is only known when the connection is given back.

    Parameters
    ----------
    gate : GateTask
        Let it run.
    number : int
        Its number there.
    """

    def __init__(self, gate: GateTask, number: int):
        self._gate = gate
        self._number = number

    def observe_start(self) -> None:
        """Take in that a statement is sent."""
        self._gate.resume(self._number)

    def observe_end(self, seconds: float, end: ResponseEnd | Failure) -> None:
        """Take in that a statement has ended."""
        if isinstance(end, Failure):
            self._gate.rest(self._number, seconds, Outcome.LOST)
        elif end.error is None:
            self._gate.rest(self._number, seconds, Outcome.ANSWERED)
        elif end.error.sqlstate == TOO_MANY_CONNECTIONS:
            # When it was sent says which crowd at the database it has met.
            self._gate.rest(self._number, seconds, Outcome.FULL)
        else:
            # Most errors come at once, and tell nothing of how long statements take.
            self._gate.rest(self._number, None, Outcome.ANSWERED)

    def finish(self) -> None:
        """Take in that the connection was given back."""
        self._gate.finish(self._number)

    def give_up(self, failure: Failure) -> Failure:
        """Take in that it got no connection."""
        self._gate.cancel(self._number)
        return failure


class GatedPool:
    """Lends the connections of a pool to operations that a gate lets run.

    Parameters
    ----------
    pool : PoolTask
        The connections.
    make_gate : callable or None
        Returns a gate; None where there is never one.
    """

    def __init__(self, pool: PoolTask, make_gate: Callable[[], GateTask] | None):
        self._pool = pool
        self._make_gate = make_gate
        self._gate: GateTask | None = None
        self._operations: dict[PooledConnection, GatedOperation] = {}

    @property
    def waiting(self) -> int:
        """Operations that wait for the database to have room for them."""
        return self._gate.waiting if self._gate is not None else 0

    def set_bounds(self, bounds: Bounds | None) -> None:
        """Decide which operations run at the database from now on.

        Parameters
        ----------
        bounds : Bounds or None
            What this instance's part follows from; None if as many operations are to
            run as there are connections.
        """
        if bounds is not None and self._make_gate is not None:
            self._gate = self._gate or self._make_gate()
            self._gate.set_bounds(bounds)
        elif self._gate is not None:
            gate, self._gate = self._gate, None
            gate.open()

    def get_tally(self) -> GateTally | None:
        """Return what the gate has counted; None without one."""
        return self._gate.get_tally() if self._gate is not None else None

    def get_report(self) -> DatabaseReport | None:
        """Return the load of the database; None while there is no gate."""
        return self._gate.get_report() if self._gate is not None else None

    def open(self) -> None:
        """Send on all that waits: the pool decides what becomes of it."""
        if self._gate is not None:
            self._gate.open()

    def acquire(self, deadline: float, demand: Demand) -> Deferred[PooledConnection]:
        """Get a connection once the database has room; see `PoolTask.acquire`."""
        gate = self._gate
        if gate is None:
            return self._pool.acquire(deadline, demand)
        entering = gate.enter(deadline, demand)
        return entering.addCallback(self._acquire_admitted, gate, deadline, demand)

    def take_back(self, connection: PooledConnection) -> GatedOperation | None:
        """Return the operation that a connection was lent for, if a gate let it run."""
        operation = self._operations.pop(connection, None)
        if operation is not None:
            connection.observer = None
        return operation

    def _acquire_admitted(
        self, number: int, gate: GateTask, deadline: float, demand: Demand
    ) -> Deferred[PooledConnection]:
        """Get a connection for an operation that may run."""
        operation = GatedOperation(gate, number)
        acquiring = self._pool.acquire(deadline, demand)
        return acquiring.addCallbacks(
            self._follow, operation.give_up, callbackArgs=(operation,)
        )

    def _follow(
        self, connection: PooledConnection, operation: GatedOperation
    ) -> PooledConnection:
        """Have the gate told what runs on a connection until it is given back."""
        connection.observer = self._operations[connection] = operation
        return connection
