"""The line protocol of a database, over the model of its group."""

import random
from typing import Protocol as Interface

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.internet.task import deferLater

from beryltrack.groups.messages import PRIMARY, LogPosition
from beryltrack.platform.lines import parse_position
from beryltrack.wire.line_buffer import LineBuffer
from beryltrack_standins.lines.group import Database, Group

WORK_TIME = (0.001, 0.012)
"""Bounds of the seconds that a statement runs."""


class Observer(Interface):
    """Sees what databases run."""

    def observe_run(
        self, database: Database, session: "DatabaseSession", line: bytes, text: bytes
    ) -> None:
        """Take a statement that a database runs, by its identifier and text."""

    def observe_commit(self, line: bytes, position: LogPosition) -> None:
        """Take the position of a statement that has committed."""


class DatabaseSession(Protocol):
    """One connection to a database."""

    def connectionMade(self) -> None:  # noqa: N802
        """Take a new connection; a database that is down takes none."""
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
        self.is_gone = False
        self.factory.sessions.add(self)
        self.transport.setTcpNoDelay(True)
        if not (self.factory.database.is_up or self.factory.is_silent):
            self.transport.abortConnection()

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: N802
        """Roll back what is open."""
        self.writes, self.is_gone = None, True
        self.factory.sessions.discard(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take messages; they are run one after the other."""
        self.lines.extend(self.buffer.feed(data))
        self._go_on()

    def _go_on(self) -> None:
        """Run the next message."""
        if self.lines and not self.is_busy and not self.is_gone:
            self.is_busy = True
            Deferred.fromCoroutine(self._take(self.lines.pop(0)))

    async def _take(self, line: bytes) -> None:
        """Run one message and answer it."""
        answer = await self._answer(line)
        self.is_busy = False
        if self.is_gone or not self.factory.database.is_up:
            return
        if answer:
            self.transport.write(answer)
        self._go_on()

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
        word = text.split(b" ")[0]
        if request_id == b"-" and word in _CONTROL:
            return _CONTROL[word](group, database, text) + self._ready()
        if word in (b"SET", b"PREPARE", b"DEALLOCATE", b"RESET"):
            self._set(text)
            return b"COMPLETE -\r\n" + self._ready()
        delay = self.factory.rng.uniform(*WORK_TIME)
        await deferLater(self.factory.reactor, delay)
        if self.is_gone or not database.is_up:
            return b""
        if word == b"AFTER":
            _, place, text = text.split(b" ", 2)
            if parse_position(place) > database.visible:
                return b"ERROR LAGGING %s\r\n" % database.name.encode() + self._ready()
        result = self._execute(request_id, text)
        return result + self._ready()

    def _set(self, text: bytes) -> None:
        """Change what the connection keeps."""
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
        if self._must_lead(verb, begins_reading) and not self._leads():
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

    def _must_lead(self, verb: bytes, begins_reading: bool) -> bool:
        """Return whether only the primary may run a statement here."""
        if self.writes is None:
            return verb in (b"WRITE", b"BEGIN") and not begins_reading
        if self.is_read_only or verb == b"ROLLBACK":
            return False
        return verb != b"COMMIT" or bool(self.writes)

    def _leads(self) -> bool:
        """Return whether the database leads, and did when the transaction began."""
        database = self.factory.database
        same_term = self.writes is None or self.term == database.term
        return database.role == PRIMARY and same_term

    def _commit(self, request_id: bytes, writes: dict[bytes, bytes]) -> None:
        """Commit writes and tell the observer where."""
        position = self.factory.group.commit(self.factory.database, writes)
        self.factory.observer.observe_commit(request_id, position)

    def _complete(self) -> bytes:
        """Return the end of an answer, which only this database can give."""
        return b"COMPLETE %s.%d\r\n" % (
            self.factory.database.name.encode(),
            next(self.factory.numbers),
        )

    def _ready(self) -> bytes:
        """Return how the transaction stands and what readers see."""
        state = b"I" if self.writes is None else b"E" if self.is_failed else b"T"
        return b"READY %s %d.%d\r\n" % (state, *self.factory.database.visible)


def _make_row(database: Database) -> bytes:
    """Return the row with which a database answers control requests."""
    fields = (database.role.encode(), database.term, *database.received, database.held)
    return b"DATAROW %s %d %d.%d %d 0 1 1\r\nCOMPLETE -\r\n" % fields


def _pause(group: Group, database: Database, text: bytes) -> bytes:
    """Hold a replica, if the term is above the newest one."""
    term = int(text.split(b" ")[1])
    if database.role != PRIMARY and term > database.term:
        database.held = term
    return _make_row(database)


def _resume(group: Group, database: Database, text: bytes) -> bytes:
    """Let a replica receive again."""
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
    """Listens as one database.

    Parameters
    ----------
    reactor : IReactorTime
        Carries the time that statements run.
    group : Group
        The group's model.
    name : str
        The database's identifier.
    observer : Observer
        Sees what it runs.
    rng : random.Random
        Source of the times.
    numbers : iterator of int
        Makes signatures unique.
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
        self.is_silent = False

    def crash(self, is_silent: bool) -> None:
        """Stop the database; its connections break unless it goes dark."""
        self.group.crash(self.database.name)
        self.is_silent = is_silent
        if not is_silent:
            self.break_connections()

    def restart(self) -> None:
        """Start the database again, without the connections of before."""
        self.is_silent = False
        self.break_connections()
        self.group.restart(self.database.name)

    def restart_empty(self) -> None:
        """Start the database again with nothing of what it held."""
        self.is_silent = False
        self.break_connections()
        self.group.restart_empty(self.database.name)

    def break_connections(self) -> None:
        """Break all connections; what runs on them ends with the process."""
        for session in tuple(self.sessions):
            session.is_gone = True
            session.transport.abortConnection()
