"""A simulated database with a fixed number of execution slots and connections."""

from collections import deque
from typing import NamedTuple

from twisted.internet.defer import Deferred, fail
from twisted.internet.error import ConnectionLost
from twisted.internet.interfaces import IReactorTime

from beryltrack.connections.messages import ConnectRefused
from beryltrack.errors import TOO_MANY_CONNECTIONS


class _Job(NamedTuple):
    """A statement that runs or waits for a slot."""

    connection: "SlotConnection"
    request: int
    service_time: float
    answer: Deferred


class SlotDatabase:
    """A database with a hard limit on connections.

    Parameters
    ----------
    clock : IReactorTime
        The clock.
    slots : int
        Statements that it runs at once; others queue inside the database.
    max_connections : int
        Maximum of connections; further ones are refused with SQLSTATE 53300.
    setup : float
        Time to open a connection, seconds.
    delay : float
        One-way delay to a proxy, seconds.
    """

    def __init__(
        self,
        clock: IReactorTime,
        slots: int,
        max_connections: int,
        setup: float,
        delay: float,
    ):
        self.clock = clock
        self.delay = delay
        self.control_count = 0
        self.max_open = 0
        self.refused_count = 0
        self.ran: set[int] = set()
        self.is_up = True
        self._slowness = 1.0
        self._is_hanging = False
        self._held: list[_Job] = []
        self._slots = slots
        self.max_connections = max_connections
        self._setup = setup
        self._connections: set[SlotConnection] = set()
        self._running: set[Deferred] = set()
        self._queue: deque[_Job] = deque()

    @property
    def open_count(self) -> int:
        """Number of open connections, control connections included."""
        return len(self._connections) + self.control_count

    def connect(self) -> Deferred:
        """Open a connection; fails with `ConnectRefused` at the limit."""
        result: Deferred = Deferred()
        self.clock.callLater(self.delay, self._accept, result)
        return result

    def run(self, job: _Job) -> None:
        """Run a statement as soon as a slot is free."""
        if job.connection not in self._connections:
            return
        self._queue.append(job)
        self._start_next()

    def remove_connection(self, connection: "SlotConnection") -> None:
        """Remove a closed connection from the count."""
        self._connections.discard(connection)

    def stop(self) -> None:
        """Break all connections and accept no more until `start`."""
        self.is_up = False
        self._queue.clear()
        self._running.clear()
        for connection in list(self._connections):
            connection.abort()

    def start(self) -> None:
        """Accept connections again."""
        self.is_up = True

    def set_slowness(self, factor: float) -> None:
        """Multiply the service time of each statement that starts from now on."""
        self._slowness = factor

    def hang(self) -> None:
        """Answer nothing until `recover`; connections stay open."""
        self._is_hanging = True

    def recover(self) -> None:
        """Return to normal speed, and send the answers that were held back."""
        self._slowness, self._is_hanging = 1.0, False
        held, self._held = self._held, []
        for job in held:
            self._finish(job)
        self._start_next()

    def _accept(self, result: Deferred) -> None:
        if not self.is_up:
            self._answer_later(result, ConnectionLost("the database is down"))
        elif self.open_count >= self.max_connections:
            self.refused_count += 1
            self._answer_later(result, ConnectRefused(TOO_MANY_CONNECTIONS))
        else:
            connection = SlotConnection(self)
            self._connections.add(connection)
            self.max_open = max(self.max_open, self.open_count)
            self.clock.callLater(self._setup + self.delay, result.callback, connection)

    def _answer_later(self, result: Deferred, error: Exception) -> None:
        self.clock.callLater(self.delay, result.errback, error)

    def _start_next(self) -> None:
        if self._is_hanging:
            return
        while self._queue and len(self._running) < self._slots:
            job = self._queue.popleft()
            self._running.add(job.answer)
            self.ran.add(job.request)
            time = job.service_time * self._slowness
            self.clock.callLater(time, self._finish, job)

    def _finish(self, job: _Job) -> None:
        if job.answer not in self._running:
            return
        if self._is_hanging:
            self._held.append(job)
            return
        self._running.remove(job.answer)
        self.clock.callLater(self.delay, job.connection.answer, job.answer)
        self._start_next()


class SlotConnection:
    """A connection to a `SlotDatabase`, with the interface that pools expect.

    Parameters
    ----------
    database : SlotDatabase
        The database that it connects to.
    """

    via = ""

    def __init__(self, database: SlotDatabase):
        self.broken = False
        self.closed: Deferred = Deferred()
        self._database = database
        self._pending: Deferred | None = None

    def run(self, request: int, service_time: float) -> Deferred:
        """Run one statement of a request; fails if the connection is lost."""
        if self.broken:
            return fail(ConnectionLost())
        self._pending = answer = Deferred()
        job = _Job(self, request, service_time, answer)
        database = self._database
        database.clock.callLater(database.delay, database.run, job)
        return answer

    def answer(self, answer: Deferred) -> None:
        """Deliver the answer of a statement, unless the connection was lost."""
        if answer is self._pending:
            self._pending = None
            answer.callback(None)

    def close(self) -> None:
        """Close it; the database counts it until the close message arrives."""
        if not self.broken:
            self.broken = True
            self._database.clock.callLater(self._database.delay, self._end)

    def abort(self) -> None:
        """Break the connection at once, from the database's side."""
        self.broken = True
        self._end()

    def _end(self) -> None:
        self._database.remove_connection(self)
        pending, self._pending = self._pending, None
        if not self.closed.called:
            self.closed.callback(None)
        if pending is not None:
            pending.errback(ConnectionLost())
