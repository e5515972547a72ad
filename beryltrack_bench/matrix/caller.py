"""Callers of the fault matrix: sessions that use the proxies in turn."""

from itertools import cycle
from typing import NamedTuple

from pygwire import BackendMessageDecoder, ConnectionPhase
from pygwire.messages import DataRow, ErrorResponse, ParameterStatus
from twisted.internet.defer import TimeoutError
from twisted.internet.error import ConnectionLost
from twisted.internet.task import deferLater

from beryltrack_bench.history import (
    ReadAnswered,
    Refusal,
    RequestAnswered,
    RequestStarted,
    WriteAcknowledged,
    WriteRefused,
    WriteRequested,
)
from beryltrack_bench.matrix.proxy import BenchCaller, BenchProxy, CallerRefused
from beryltrack_bench.matrix.world import GROUP, World

CALL_TIMEOUT = 3.0
"""Seconds for which a caller waits for an answer."""

RETRY_INTERVAL = 0.05
"""Seconds between two attempts or polls of a caller."""

NEW_SESSION = "new"
SESSION = "beryltrack.session"
REQUEST_ID = "beryltrack.request_id"
IDEMPOTENT = "beryltrack.idempotent"

CANNOT_CONNECT_NOW = "57P03"
LOST = "lost"
"""Stands for an SQLSTATE if there is no answer."""

REFUSALS = {
    CANNOT_CONNECT_NOW: Refusal.NOT_RUN,
    "53300": Refusal.NOT_RUN,
    "53400": Refusal.NOT_RUN,
    "40001": Refusal.ROLLED_BACK,
    "08007": Refusal.UNKNOWN,
    LOST: Refusal.UNKNOWN,
}
"""The outcome that each SQLSTATE guarantees. Any other one is an error of the
statement itself, which has no effect."""


class Answer(NamedTuple):
    """A proxy's answer to one query.

    Parameters
    ----------
    rows : tuple of tuple of str
        Its rows.
    sqlstate : str
        The error's SQLSTATE, `LOST` if there is no answer, else empty.
    token : str
        The session token in the answer; empty for none.
    """

    rows: tuple[tuple[str, ...], ...]
    sqlstate: str
    token: str


class _ProxyConnection:
    """A caller's connection to one proxy, for one request or transaction."""

    def __init__(self, proxy: BenchProxy, settings: dict[str, str]):
        self.proxy = proxy
        self.settings = settings
        self.caller: BenchCaller | None = None
        self.closed = False


class Session:
    """One caller's session.

    Parameters
    ----------
    world : World
        The site.
    name : str
        Name of the session.
    first_proxy : int
        Index of the first proxy; each request goes to the next one.
    """

    def __init__(self, world: World, name: str, first_proxy: int = 0):
        self.name = name
        self.token = NEW_SESSION
        self._world = world
        names = tuple(world.proxies)
        self._proxies = cycle(names[first_proxy:] + names[:first_proxy])
        self._sent = 0

    async def write(self, *keys: str, at_most_once: bool = False) -> Refusal | None:
        """Send one write once; several keys form a transaction.

        Returns
        -------
        Refusal or None
            None if it was acknowledged.
        """
        history, now = self._world.history, self._world.now
        history.append(WriteRequested(self.name, GROUP, keys, at_most_once, now))
        settings = {REQUEST_ID: keys[0], IDEMPOTENT: "off"} if at_most_once else {}
        inserts = [f"INSERT INTO items VALUES ('{key}')" for key in keys]
        texts = inserts if len(keys) == 1 else ["BEGIN", *inserts, "COMMIT"]
        answers = await self._ask("write", texts, settings)
        refusal = _classify_answers(answers, len(texts))
        if refusal is None:
            self.token = answers[-1].token or self.token
            acknowledged = WriteAcknowledged(self.name, GROUP, keys, self._world.now)
            history.append(acknowledged)
        else:
            history.append(WriteRefused(GROUP, keys, refusal, self._world.now))
        return refusal

    async def write_until_acknowledged(self, *keys: str, limit: float) -> bool:
        """Repeat an at-most-once write through the proxies until acknowledged.

        Parameters
        ----------
        *keys : str
            The request's statements.
        limit : float
            The time at which the caller stops trying, seconds.
        """
        while self._world.now < limit:
            if await self.write(*keys, at_most_once=True) is None:
                return True
            await deferLater(self._world.caller, RETRY_INTERVAL)
        return False

    async def read(self, max_age: str = "") -> bool:
        """Read once; return whether there is an answer without an error."""
        world, started = self._world, self._world.now
        settings = {"beryltrack.max_age": max_age} if max_age else {}
        request = f"{self.name}/{self._sent + 1}"
        text = f"SELECT '{request}', (SELECT count(*) FROM items), key FROM items"
        (answer,) = await self._ask("read", [text], settings)
        if answer.sqlstate:
            return False
        row_count = int(answer.rows[0][1]) if answer.rows else 0
        rows = tuple(row[0] for row in answer.rows)
        history = world.history
        history.append(
            RequestAnswered(request, rows, (request,) * row_count, world.now)
        )
        seen = frozenset(row[2] for row in answer.rows)
        history.append(ReadAnswered(self.name, GROUP, seen, started))
        return True

    async def read_until(self, limit: float) -> bool:
        """Repeat a read through the proxies until there is an answer."""
        while self._world.now < limit:
            if await self.read():
                return True
            await deferLater(self._world.caller, RETRY_INTERVAL)
        return False

    async def _ask(
        self, label: str, texts: list[str], settings: dict[str, str]
    ) -> list[Answer]:
        """Send queries in sequence to the next proxy until one fails."""
        self._sent += 1
        proxy = self._world.proxies[next(self._proxies)]
        connection = _ProxyConnection(proxy, {SESSION: self.token, **settings})
        answers = []
        for text in texts:
            answers.append(await self._call(connection, label, text))
            if answers[-1].sqlstate:
                break
        self._world.network.send(
            self._world.caller, proxy.node, "leave", lambda: self._close(connection)
        )
        return answers

    async def _call(
        self, connection: _ProxyConnection, label: str, text: str
    ) -> Answer:
        """Send one query; without an answer in time the result is `LOST`."""
        caller = self._world.caller
        answer = self._world.network.call(
            caller, connection.proxy.node, label, lambda: self._serve(connection, text)
        )
        try:
            return _read_answer(await answer.addTimeout(CALL_TIMEOUT, caller))
        except CallerRefused:
            return Answer((), CANNOT_CONNECT_NOW, "")
        except (ConnectionLost, TimeoutError):
            return Answer((), LOST, "")

    async def _serve(self, connection: _ProxyConnection, text: str) -> bytes:
        """Run a query at the proxy; record its start and its answer there."""
        world, proxy = self._world, connection.proxy
        if proxy.node.incarnation != proxy.incarnation or connection.closed:
            raise ConnectionLost
        if connection.caller is None:
            connection.caller = proxy.open_caller(connection.settings)
        request = f"{self.name}/{self._sent}/{text}"
        world.history.append(RequestStarted(request, proxy.name, world.now))
        frames = await proxy.run(connection.caller, text)
        world.history.append(RequestAnswered(request, (), (), world.now))
        return frames

    def _close(self, connection: _ProxyConnection) -> None:
        """Close the connection at its proxy."""
        alive = connection.proxy.node.incarnation == connection.proxy.incarnation
        if alive and connection.caller is not None and not connection.closed:
            connection.closed = True
            connection.proxy.close_caller(connection.caller)


def _classify_answers(answers: list[Answer], expected: int) -> Refusal | None:
    """Return the outcome of a write from its answers; None if acknowledged."""
    last = answers[-1]
    if not last.sqlstate:
        return None
    if len(answers) < expected and last.sqlstate == LOST:
        # The caller has not sent the COMMIT.
        return Refusal.ROLLED_BACK
    return REFUSALS.get(last.sqlstate, Refusal.ROLLED_BACK)


def _read_answer(frames: bytes) -> Answer:
    """Parse the frames of an answer."""
    decoder = BackendMessageDecoder()
    decoder.phase = ConnectionPhase.SIMPLE_QUERY
    decoder.feed(frames)
    rows, sqlstate, token = [], "", ""
    for message in decoder:
        match message:
            case DataRow():
                rows.append(tuple((part or b"").decode() for part in message.columns))
            case ErrorResponse():
                sqlstate = message.fields["C"]
            case ParameterStatus(name, value) if name == SESSION:
                token = value
    return Answer(tuple(rows), sqlstate, token)
