"""A database that speaks the line protocol, over the model of its group.

A client sends ``START`` and then ``QUERY ID STATEMENT`` lines; they are run one after
the other. An answer ends with ``READY``, the state of the transaction and the position
that readers see.
"""

import random
from typing import Protocol as Interface

from twisted.internet.defer import Deferred, DeferredSemaphore
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.internet.task import deferLater

from beryltrack.groups.messages import PRIMARY, LogPosition
from beryltrack.platform.lines import parse_position
from beryltrack.wire.line_buffer import LineBuffer
from beryltrack_standins.lines.group import Database, Group

WORK_TIME = (0.001, 0.012)
"""Bounds in seconds of the time that a statement runs."""


class Observer(Interface):
    """Receives the statements and commits of databases."""

    def observe_run(
        self,
        database: Database,
        session: "DatabaseSession",
        request_id: bytes,
        text: bytes,
    ) -> None:
        """Record that a database runs a statement."""

    def observe_commit(self, request_id: bytes, position: LogPosition) -> None:
        """Record the position at which a statement has committed."""

    def observe_control(
        self, database: Database, session: "DatabaseSession", text: bytes, held: int
    ) -> None:
        """Record a control request; `held` is the term of the hold before it."""


class DatabaseSession(Protocol):
    """One connection to a database."""

    def connectionMade(self) -> None:  # noqa: N802
        """Accept a connection; reset it if the database has crashed."""
        self.buffer = LineBuffer()
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, tuple[bytes, bytes]] = {}
        self.writes: dict[bytes, bytes] | None = None
        self.is_read_only = False
        self.is_failed = False
        self.term = 0
        self.is_started = False
        self.account = ""
        self.lines: list[bytes] = []
        self.is_busy = False
        self.is_closed = False
        self.factory.sessions.add(self)
        self.transport.setTcpNoDelay(True)
        if not (self.factory.database.is_up or self.factory.is_silent):
            self.transport.abortConnection()

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: N802
        """Roll back the open transaction."""
        self.writes, self.is_closed = None, True
        self.factory.sessions.discard(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Queue the received messages, which are run one after the other."""
        self.lines.extend(self.buffer.feed(data))
        self._run_next()

    def _run_next(self) -> None:
        """Start the next message unless one is running."""
        if self.lines and not self.is_busy and not self.is_closed:
            self.is_busy = True
            Deferred.fromCoroutine(self._handle_message(self.lines.pop(0)))

    async def _handle_message(self, line: bytes) -> None:
        """Run one message and answer it."""
        answer = await self._answer(line)
        self.is_busy = False
        if self.is_closed or not self.factory.database.is_up:
            return
        if answer:
            self.transport.write(answer)
        self._run_next()

    async def _answer(self, line: bytes) -> bytes:
        """Return the answer to one message."""
        if line.startswith(b"START "):
            fields = line.split(b" ")
            if fields[3:] and fields[3].decode() != self.factory.database.name:
                return b"ERROR MISROUTED\r\n"
            self.is_started, self.account = True, fields[2].decode()
            return self._ready()
        if not line.startswith(b"QUERY "):
            self.transport.loseConnection()
            return b""
        _, request_id, text = line.split(b" ", 2)
        return await self._run(request_id, text)

    async def _run(self, request_id: bytes, text: bytes) -> bytes:
        """Run one statement."""
        database, group = self.factory.database, self.factory.group
        keyword = text.split(b" ")[0]
        if keyword == b"STATUS" and self.factory.is_full:
            return b"ERROR BUSY all slots are taken\r\n" + self._ready()
        if request_id == b"-" and keyword in _CONTROL:
            held = database.held
            answer = _CONTROL[keyword](group, database, text)
            self.factory.observer.observe_control(database, self, text, held)
            return answer + self._ready()
        if keyword in (b"SET", b"PREPARE", b"DEALLOCATE", b"RESET"):
            self._change_session_state(text)
            return b"COMPLETE -\r\n" + self._ready()
        slots = self.factory.statement_slots
        if slots is None or keyword in (b"BEGIN", b"ROLLBACK"):
            return await self._run_work(keyword, request_id, text)
        await slots.acquire()
        try:
            return await self._run_work(keyword, request_id, text)
        finally:
            slots.release()

    async def _run_work(self, keyword: bytes, request_id: bytes, text: bytes) -> bytes:
        """Run a statement that takes time."""
        database = self.factory.database
        if self.is_closed:
            return b""
        delay = self.factory.rng.uniform(*WORK_TIME) * self.factory.work_factor
        await deferLater(self.factory.reactor, delay)
        if self.is_closed or not database.is_up:
            return b""
        if keyword == b"AFTER":
            _, position, text = text.split(b" ", 2)
            if parse_position(position) > database.visible:
                return b"ERROR LAGGING %s\r\n" % database.name.encode() + self._ready()
        result = self._execute(request_id, text)
        return result + self._ready()

    def _change_session_state(self, text: bytes) -> None:
        """Change the connection's settings or prepared statements."""
        fields = text.split(b" ", 3)
        if fields[0] == b"RESET":
            self.values.clear()
            self.prepared.clear()
        elif fields[0] == b"SET":
            self.values[fields[1]] = fields[2]
        elif fields[0] == b"PREPARE":
            self.prepared[fields[1]] = (fields[2], fields[3])
        else:
            self.prepared.pop(fields[1], None)

    def _execute(self, request_id: bytes, text: bytes) -> bytes:
        """Run a read, a write or a step of a transaction."""
        database = self.factory.database
        verb, *fields = text.split(b" ", 2)
        if verb == b"EXECUTE":
            if fields[0] not in self.prepared:
                return b"ERROR UNPREPARED\r\n"
            verb = self.prepared[fields[0]][0]
            fields = fields[1].split(b" ", 1)
        begins_reading = verb == b"BEGIN" and bool(fields)
        if self.is_failed and verb not in (b"COMMIT", b"ROLLBACK"):
            return b"ERROR MALFORMED\r\n"
        if self._needs_primary(verb, begins_reading) and not self._is_primary():
            self.is_failed = self.writes is not None
            return b"ERROR READONLY %s\r\n" % database.name.encode()
        self.factory.observer.observe_run(database, self, request_id, text)
        if verb == b"READ":
            return b"DATAROW %s\r\n" % database.read(fields[0]) + self._complete()
        if verb == b"BEGIN":
            self.writes, self.is_read_only = {}, begins_reading
            self.term, self.is_failed = database.term, False
        elif verb == b"WRITE" and self.writes is not None:
            self.writes[fields[0]] = fields[1]
        elif verb == b"WRITE":
            self._commit(request_id, {fields[0]: fields[1]})
        elif verb == b"COMMIT":
            if self.writes and not self.is_failed:
                self._commit(request_id, self.writes)
            self.writes, self.is_failed = None, False
        elif verb == b"ROLLBACK":
            self.writes, self.is_failed = None, False
        return self._complete()

    def _needs_primary(self, verb: bytes, begins_reading: bool) -> bool:
        """Return whether only the primary may run a statement here."""
        if self.writes is None:
            return verb in (b"WRITE", b"BEGIN") and not begins_reading
        if self.is_read_only or verb == b"ROLLBACK":
            return False
        return verb != b"COMMIT" or bool(self.writes)

    def _is_primary(self) -> bool:
        """Return whether the database leads, in the term of the open transaction."""
        database = self.factory.database
        same_term = self.writes is None or self.term == database.term
        return database.role == PRIMARY and same_term

    def _commit(self, request_id: bytes, writes: dict[bytes, bytes]) -> None:
        """Commit writes and report their position to the observer."""
        position = self.factory.group.commit(self.factory.database, writes)
        self.factory.observer.observe_commit(request_id, position)

    def _complete(self) -> bytes:
        """Return the end of an answer with a signature unique to this execution."""
        return b"COMPLETE %s.%d\r\n" % (
            self.factory.database.name.encode(),
            next(self.factory.numbers),
        )

    def _ready(self) -> bytes:
        """Return the READY line: the transaction's state and the visible position."""
        state = b"I" if self.writes is None else b"E" if self.is_failed else b"T"
        return b"READY %s %d.%d\r\n" % (state, *self.factory.database.visible)


def _make_row(database: Database) -> bytes:
    """Return the row with which a database answers control requests."""
    fields = (database.role.encode(), database.term, *database.received, database.held)
    return b"DATAROW %s %d %d.%d %d 0 1 1\r\nCOMPLETE -\r\n" % fields


def _pause(group: Group, database: Database, text: bytes) -> bytes:
    """Hold a replica for a term, if that is above the replica's own."""
    term = int(text.split(b" ")[1])
    if database.role != PRIMARY and term > database.term:
        database.held = term
    return _make_row(database)


def _resume(group: Group, database: Database, text: bytes) -> bytes:
    """End a replica's hold."""
    group.release(database)
    return _make_row(database)


def _step_down(group: Group, database: Database, text: bytes) -> bytes:
    """Make a primary of a lower term a replica."""
    group.step_down(database, int(text.split(b" ")[1]))
    return _make_row(database)


_CONTROL = {
    b"STATUS": lambda group, database, text: _make_row(database),
    b"PAUSE": _pause,
    b"RESUME": _resume,
    b"STEPDOWN": _step_down,
}


class DatabaseFactory(Factory):
    """Accepts connections to one database.

    Parameters
    ----------
    reactor : IReactorTime
        Source of delayed calls, for the time that statements run.
    group : Group
        The group's model.
    name : str
        The database's identifier.
    observer : Observer
        Receives the statements that it runs and their commits.
    rng : random.Random
        Source of the times that statements run.
    numbers : iterator of int
        Numbers that make the signatures of answers unique.
    """

    noisy = False
    protocol = DatabaseSession

    def __init__(
        self, reactor, group: Group, name: str, observer, rng: random.Random, numbers
    ):
        self.reactor = reactor
        self.group = group
        self.database = group.databases[name]
        self.observer = observer
        self.rng = rng
        self.numbers = numbers
        self.sessions: set[DatabaseSession] = set()
        self.statement_slots: DeferredSemaphore | None = None
        self.is_silent = False
        self.work_factor = 1.0

    def crash(self, is_silent: bool) -> None:
        """Stop the database, and reset its connections unless it becomes silent.

        A silent database, as after a loss of power, leaves its connections open and
        accepts new ones, but answers nothing.
        """
        self.group.crash(self.database.name)
        self.is_silent = is_silent
        if not is_silent:
            self.break_connections()

    @property
    def is_full(self) -> bool:
        """True if statements occupy all slots."""
        return self.statement_slots is not None and not self.statement_slots.tokens

    def set_slots(self, count: int) -> None:
        """Limit how many statements run at once."""
        self.statement_slots = DeferredSemaphore(count)

    def restart(self) -> None:
        """Reset all connections and restart the database with its log."""
        self.is_silent = False
        self.break_connections()
        self.group.restart(self.database.name)

    def restart_empty(self) -> None:
        """Reset all connections and restart the database without its log and term."""
        self.is_silent = False
        self.break_connections()
        self.group.restart_empty(self.database.name)

    def break_connections(self) -> None:
        """Reset all connections and end the statements that run on them."""
        for session in tuple(self.sessions):
            session.is_closed = True
            session.transport.abortConnection()
