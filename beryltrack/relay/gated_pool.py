"""A connection pool behind the gate that limits what runs at one database.

An operation passes the gate first and then acquires a connection from the pool, which
may still refuse it. Control requests use the pool directly and bypass the gate.
"""

from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from beryltrack.connections.messages import PooledConnection
from beryltrack.connections.task import PoolTask
from beryltrack.errors import TOO_MANY_CONNECTIONS
from beryltrack.load.gate_task import GateCounters, GateTask
from beryltrack.load.limit import Outcome, SharedCapacity
from beryltrack.load.messages import DatabaseReport, Demand
from beryltrack.wire.messages import ResponseEnd


class GatedOperation:
    """Reports the statements of one operation to its gate; see `RunObserver`.

    A statement that ends frees its place at the gate at once. Whether it was the last
    one of its operation is only known when the connection is returned.

    Parameters
    ----------
    gate : GateTask
        The gate that admitted the operation.
    number : int
        The operation's number at the gate.
    """

    def __init__(self, gate: GateTask, number: int):
        self._gate = gate
        self._number = number

    def observe_start(self) -> None:
        """Record that a statement is sent."""
        self._gate.start_statement(self._number)

    def observe_end(self, seconds: float, end: ResponseEnd | Failure) -> None:
        """Record that a statement has ended after some seconds."""
        if isinstance(end, Failure):
            self._gate.end_statement(self._number, seconds, Outcome.LOST)
        elif end.error is None:
            self._gate.end_statement(self._number, seconds, Outcome.ANSWERED)
        elif end.error.sqlstate == TOO_MANY_CONNECTIONS:
            # The duration dates the statement's start, so that the gate cuts its limit
            # once for all statements that met the same overload.
            self._gate.end_statement(self._number, seconds, Outcome.FULL)
        else:
            # Most errors come at once and say nothing about statement durations.
            self._gate.end_statement(self._number, None, Outcome.ANSWERED)

    def finish(self) -> None:
        """Record that the connection was returned."""
        self._gate.finish(self._number)

    def cancel(self, failure: Failure) -> Failure:
        """Cancel an operation that got no connection; return the failure."""
        self._gate.cancel(self._number)
        return failure


class GatedPool:
    """Lends the connections of a pool to operations that a gate admits.

    Parameters
    ----------
    pool : PoolTask
        The connections.
    make_gate : callable or None
        Returns a new gate; None if the pool never has one.
    """

    def __init__(self, pool: PoolTask, make_gate: Callable[[], GateTask] | None):
        self._pool = pool
        self._make_gate = make_gate
        self._gate: GateTask | None = None
        self._operations: dict[PooledConnection, GatedOperation] = {}

    @property
    def waiting(self) -> int:
        """Number of operations that wait at the gate."""
        return self._gate.waiting if self._gate is not None else 0

    def set_capacity(self, capacity: SharedCapacity | None) -> None:
        """Set the bounds of the gate, or remove the gate.

        Parameters
        ----------
        capacity : SharedCapacity or None
            What this instance's share of the database is computed from; None if the
            number of connections is the only limit.
        """
        if capacity is not None and self._make_gate is not None:
            self._gate = self._gate or self._make_gate()
            self._gate.set_capacity(capacity)
        elif self._gate is not None:
            gate, self._gate = self._gate, None
            gate.admit_all()

    def get_counters(self) -> GateCounters | None:
        """Return the counts of the gate; None without a gate."""
        return self._gate.get_counters() if self._gate is not None else None

    def get_report(self) -> DatabaseReport | None:
        """Return the load of the database; None without a gate."""
        return self._gate.get_report() if self._gate is not None else None

    def admit_waiting(self) -> None:
        """Admit all waiting operations: the pool serves or refuses them."""
        if self._gate is not None:
            self._gate.admit_all()

    def acquire(self, deadline: float, demand: Demand) -> Deferred[PooledConnection]:
        """Get a connection once the gate admits it; see `PoolTask.acquire`."""
        gate = self._gate
        if gate is None:
            return self._pool.acquire(deadline, demand)
        entering = gate.enter(deadline, demand)
        return entering.addCallback(self._acquire_admitted, gate, deadline, demand)

    def pop_operation(self, connection: PooledConnection) -> GatedOperation | None:
        """Remove and return a connection's operation; None if no gate admitted it."""
        operation = self._operations.pop(connection, None)
        if operation is not None:
            connection.observer = None
        return operation

    def _acquire_admitted(
        self, number: int, gate: GateTask, deadline: float, demand: Demand
    ) -> Deferred[PooledConnection]:
        """Get a connection for an operation that the gate has admitted."""
        operation = GatedOperation(gate, number)
        acquiring = self._pool.acquire(deadline, demand)
        return acquiring.addCallbacks(
            self._attach_observer, operation.cancel, callbackArgs=(operation,)
        )

    def _attach_observer(
        self, connection: PooledConnection, operation: GatedOperation
    ) -> PooledConnection:
        """Report a connection's statements to the gate until it is returned."""
        connection.observer = self._operations[connection] = operation
        return connection
