"""A service of databases that speak the line protocol: one primary and its replicas."""

import asyncio
import itertools
import random
import time
from typing import NamedTuple

RECEIVE_DELAY = 0.002
APPLY_DELAY = 0.06
WORK_TIME = 0.004
STEP_DOWN_DELAY = 1.0


class Position(NamedTuple):
    """A log position: term and number."""

    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"


class Run(NamedTuple):
    """A client's statement that a database has run, and when it arrived."""

    at: float
    database: str
    request_id: str
    text: str


class Service:
    """The databases of one service."""

    def __init__(self, name: str, promote_time: float = 1.0) -> None:
        self.name = name
        self.databases: dict[str, Database] = {}
        self.runs: list[Run] = []
        self.term = 1
        self.promotions: list[tuple[float, str, str, str]] = []
        self._promote_time = promote_time
        self.signatures = itertools.count(1)

    def add(self, name: str, host: str, port: int, role: str) -> "Database":
        """Add a database; a replica starts with the primary's log."""
        database = Database(self, name, host, port, role)
        primary = self.primary
        if primary is not None and database is not primary:
            database.received = database.applied = primary.received
            database.data = dict(primary.data)
        self.databases[name] = database
        return database

    @property
    def primary(self) -> "Database | None":
        """The primary of the newest term."""
        leaders = [each for each in self.databases.values() if each.role == "primary"]
        return max(leaders, key=lambda each: each.term, default=None)

    def replicate(self, source: "Database", item: str, value: str) -> None:
        """Send a commit to the replicas of the source's term."""
        loop = asyncio.get_running_loop()
        for each in self.databases.values():
            if each is not source and each.role == "replica":
                position = source.received
                loop.call_later(
                    RECEIVE_DELAY, each.receive, source, position, item, value
                )

    async def promote(self, name: str, holder: str, token: str) -> bool:
        """Begin a promotion; return False if the database isn't running."""
        database = self.databases.get(name)
        loop = asyncio.get_running_loop()
        self.promotions.append((loop.time(), name, holder, token))
        if database is None or not database.is_up:
            return False
        if database is not self.primary:
            loop.call_later(self._promote_time, self._lead, database)
        return True

    def _lead(self, database: "Database") -> None:
        """Make a database the primary of the next term."""
        if database is self.primary or not database.is_up:
            return
        self.term += 1
        former = self.primary
        for each in self.databases.values():
            if each is not former:
                each.role, each.term = "replica", self.term
        database.role, database.term, database.held = "primary", self.term, 0
        database.received = database.applied = Position(
            self.term, database.received.number
        )
        if former is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(STEP_DOWN_DELAY, self._step_down, former)

    def _step_down(self, former: "Database") -> None:
        """Make a former primary a replica of the newest one."""
        if former is not self.primary and former.role == "primary":
            former.role, former.term = "replica", self.term


class Database:
    """One database."""

    def __init__(
        self, service: Service, name: str, host: str, port: int, role: str
    ) -> None:
        self.service = service
        self.name = name
        self.host, self.port = host, port
        self.zone = ""
        self.born = int(time.time() * 1000)
        self.role = role
        self.term = service.term
        self.held = 0
        self.received = self.applied = Position(service.term, 0)
        self.data: dict[str, str] = {}
        self.connections = 0
        self.is_up = False
        self.is_dark = False
        self._is_lost = lambda: False
        self.is_deaf = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._run_session, self.host, self.port, limit=1 << 21
        )
        self.is_up = True

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def go_dark(self, seconds: float) -> None:
        """Answer nothing for a while; then return with the log, without connections."""
        self.is_dark = True
        await asyncio.sleep(seconds)
        self.is_dark = False
        for writer in tuple(self._writers):
            writer.transport.abort()
        primary = self.service.primary
        if primary is not None and primary is not self:
            self.received = self.applied = primary.received
            self.data = dict(primary.data)

    async def go_deaf(self, seconds: float) -> None:
        """Receive nothing for a while, then all that is missing."""
        self.is_deaf = True
        await asyncio.sleep(seconds)
        self.is_deaf = False
        primary = self.service.primary
        if primary is not None and primary is not self:
            self.received = self.applied = primary.received
            self.data = dict(primary.data)

    async def lose_answers(
        self, share: float, seconds: float, rng: random.Random
    ) -> None:
        """Run a share of the clients' statements for a while without an answer."""
        self._is_lost = lambda: rng.random() < share
        await asyncio.sleep(seconds)
        self._is_lost = lambda: False

    async def _wait_light(self) -> None:
        """Wait until the database is not dark."""
        while self.is_dark:
            await asyncio.sleep(0.02)

    def receive(
        self, source: "Database", position: Position, item: str, value: str
    ) -> None:
        """Receive a commit, and show it to readers somewhat later."""
        if (
            self.held
            or self.is_dark
            or self.is_deaf
            or source.role != "primary"
            or self.role != "replica"
        ):
            return
        self.received = max(self.received, position)
        loop = asyncio.get_running_loop()
        loop.call_later(APPLY_DELAY, self._apply, position, item, value)

    def _apply(self, position: Position, item: str, value: str) -> None:
        """Show a commit to readers."""
        if not self.is_dark:
            self.applied = max(self.applied, position)
            self.data[item] = value

    async def _run_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Run one connection."""
        self._writers.add(writer)
        self.connections += 1
        try:
            fields = (await reader.readline()).decode("latin-1").split()
            await self._wait_light()
            is_named = len(fields) >= 2 and fields[1] == self.service.name
            if not is_named or (len(fields) > 3 and fields[3] != self.name):
                writer.write(f"ERROR MISROUTED {self.name}\r\n".encode())
                return
            writer.write(f"READY I {self.applied}\r\n".encode())
            session = Session(self)
            while line := await reader.readline():
                await self._wait_light()
                word, *rest = line.decode("latin-1").rstrip("\r\n").split(" ", 2)
                if word != "QUERY":
                    return
                answer = await session.run(*rest)
                await self._wait_light()
                if rest[0] != "-" and self._is_lost():
                    # The connection stays open and silent.
                    await reader.read()
                    return
                writer.write(answer.encode("latin-1"))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections -= 1
            self._writers.discard(writer)
            writer.close()


class Session:
    """The state of one connection."""

    def __init__(self, database: Database) -> None:
        self._database = database
        self._prepared: dict[str, tuple[str, str]] = {}
        self._writes: list[tuple[str, str]] | None = None
        self._is_read = False

    async def run(self, request_id: str, text: str) -> str:
        """Run one statement and return its answer."""
        database = self._database
        if request_id != "-":
            at = asyncio.get_running_loop().time()
            database.service.runs.append(Run(at, database.name, request_id, text))
        return await self._run(text)

    async def _run(self, text: str) -> str:
        """Run a statement."""
        database = self._database
        if text.startswith("AFTER "):
            _, needed, text = text.split(" ", 2)
            if Position(*map(int, needed.split("."))) > database.applied:
                return self._end("ERROR LAGGING -")
        verb, _, rest = text.partition(" ")
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self._control(verb, rest)
        if verb in ("SET", "RESET"):
            return self._end("COMPLETE -")
        if verb == "PREPARE":
            name, mode, shape = rest.split(" ", 2)
            self._prepared[name] = (mode, shape)
            return self._end("COMPLETE -")
        await asyncio.sleep(WORK_TIME)
        if verb == "EXECUTE":
            name, *fields = rest.split(" ", 2)
            if name not in self._prepared:
                return self._end("ERROR UNPREPARED -")
            verb, rest = self._prepared[name][0], " ".join(fields)
        return self._work(verb, rest)

    def _work(self, verb: str, rest: str) -> str:
        """Run a read, a write, or the begin or end of a transaction."""
        database = self._database
        signature = f"COMPLETE {next(database.service.signatures):x}.{database.name}"
        needs_primary = verb == "WRITE" or (verb == "BEGIN" and not rest)
        if needs_primary and database.role != "primary":
            return self._end(f"ERROR READONLY {database.name}")
        if verb == "READ":
            return self._end(
                f"DATAROW {database.data.get(rest, 'none')}\r\n{signature}"
            )
        if verb == "BEGIN":
            self._writes, self._is_read = [], bool(rest)
        elif verb == "WRITE" and self._writes is not None:
            self._writes.append(tuple(rest.split(" ", 1)))
        elif verb == "WRITE":
            self._commit([tuple(rest.split(" ", 1))])
        elif verb == "COMMIT":
            writes, self._writes = self._writes or [], None
            self._commit(writes)
        elif verb == "ROLLBACK":
            self._writes = None
        return self._end(signature)

    def _commit(self, writes: list[tuple[str, str]]) -> None:
        """Commit writes at the primary."""
        database = self._database
        for item, value in writes:
            position = Position(database.term, database.received.number + 1)
            database.received = database.applied = position
            database.data[item] = value
            database.service.replicate(database, item, value)

    def _control(self, verb: str, rest: str) -> str:
        """Answer a control request."""
        database = self._database
        if verb == "PAUSE" and database.role == "replica" and int(rest) > database.term:
            database.held = int(rest)
        elif verb == "RESUME":
            database.held = 0
        elif verb == "STEPDOWN" and int(rest) > database.term:
            database.role = "replica"
        row = (database.role, database.term, database.received, database.held)
        text = " ".join(map(str, (*row, 0, 0, database.connections)))
        return self._end(f"DATAROW {text}\r\nCOMPLETE -")

    def _end(self, answer: str) -> str:
        """Return an answer with its READY."""
        state = "I" if self._writes is None else "T"
        return f"{answer}\r\nREADY {state} {self._database.applied}\r\n"
