"""Callers of the soak: sessions that read, write and open transactions."""

import itertools
import random

from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol, connectionDone
from twisted.internet.task import deferLater

from beryltrack.settings.messages import Endpoint, RouteSettings
from beryltrack.wire.line_buffer import LineBuffer
from beryltrack_bench.soak.history import PRIMARY_ROUTE, History, Sent

PROMISES = frozenset(
    (b"BUSY", b"ABORTED", b"LAGGING", b"READONLY", b"MISROUTED", b"TOOMANY")
)
"""Codes that say that nothing of an attempt is kept."""

ANSWER_LIMIT = 4.0
"""Seconds that a caller waits for an answer."""

ITEMS = 12
"""Items that callers read and write: few, so that they meet."""

_numbers = itertools.count(1)


class CallerGone(Exception):
    """Raised when a session ended before its answer."""


class CallerConnection(Protocol):
    """One session: sends a statement and waits for its answer."""

    def connectionMade(self) -> None:  # noqa: N802
        """Expect the answer to START."""
        self.transport.setTcpNoDelay(True)
        self.buffer = LineBuffer()
        self.lines: list[bytes] = []
        self.waiting: Deferred | None = None
        self.is_gone = False

    def ask(self, line: bytes) -> Deferred[list[bytes]]:
        """Send a message; fires with the lines of its answer."""
        self.lines, self.waiting = [], Deferred()
        if self.is_gone:
            self.waiting.errback(CallerGone())
        else:
            self.transport.write(line + b"\r\n")
        return self.waiting

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take the lines of an answer until READY."""
        for line in self.buffer.feed(data):
            self.lines.append(line)
            if line.startswith(b"READY") and self.waiting is not None:
                waiting, self.waiting = self.waiting, None
                waiting.callback(self.lines)

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: N802
        """Fail who waits."""
        self.is_gone = True
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            waiting.errback(CallerGone())


class Caller:
    """Runs sessions of one route until it is stopped.

    Parameters
    ----------
    reactor : reactor
        Source of sockets and timers.
    history : History
        Takes what is sent and what it was told.
    nodes : list of Endpoint
        Where nodes take callers.
    route : RouteSettings
        The route.
    kind : str
        Its kind.
    rng : random.Random
        Decides what is asked.
    account, key : str
        Its client account, and the key that it presents.
    """

    def __init__(
        self,
        reactor,
        history: History,
        nodes: list[Endpoint],
        route: RouteSettings,
        kind: str,
        rng: random.Random,
        account: str = "",
        key: str = "u",
    ):
        self._account = account
        self._key = key
        self.is_stopped = False
        self._reactor = reactor
        self._history = history
        self._nodes = nodes
        self._route = route
        self._kind = kind
        self._rng = rng

    async def run(self) -> None:
        """Run one session after the other."""
        while not self.is_stopped:
            try:
                await self._run_session()
            except (CallerGone, TimeoutError, OSError) as error:
                self._history.outcomes[type(error).__name__] += 1
            except Exception as error:
                # Twisted's errors of connections have no common type.
                self._history.outcomes[f"not connected: {type(error).__name__}"] += 1
            await deferLater(self._reactor, self._rng.uniform(0.02, 0.1))

    async def _run_session(self) -> None:
        """Open a session and run some operations on it."""
        node = self._rng.choice(self._nodes)
        endpoint = TCP4ClientEndpoint(self._reactor, *node, timeout=2)
        connection = await connectProtocol(endpoint, CallerConnection())
        session = next(_numbers)
        values: dict[bytes, bytes] = {}
        try:
            start = f"START {self._route.name} {self._key}".encode()
            if not self._judge(await self._ask(connection, start), [], None):
                return
            if self._rng.random() < 0.4:
                value = b"v%d" % session
                setting = b"QUERY s%d SET name %s" % (session, value)
                if not self._judge(await self._ask(connection, setting), [], None):
                    return
                values[b"name"] = value
            for _ in range(self._rng.randint(1, 12)):
                if self.is_stopped:
                    break
                is_long = self._rng.random() < 0.3
                run = self._run_transaction if is_long else self._run_statement
                if not await run(connection, session, values):
                    break
                await deferLater(self._reactor, self._rng.uniform(0.0, 0.05))
        finally:
            connection.transport.abortConnection()

    def _ask(self, connection: CallerConnection, line: bytes) -> Deferred:
        """Send one message and wait for a bounded time."""
        return connection.ask(line).addTimeout(ANSWER_LIMIT, self._reactor)

    def _note(
        self, session: int, text: bytes, transaction: int, asked_at: float, values: dict
    ) -> bytes:
        """Note a statement that is about to be sent; return its identifier."""
        request = b"q%x" % next(_numbers)
        kept = tuple(sorted(values.items()))
        self._history.note_sent(
            Sent(
                request,
                text,
                session,
                transaction,
                self._kind,
                self._route.max_age,
                asked_at,
                kept,
                self._account,
            )
        )
        return request

    def _make_write(self) -> bytes:
        """Return a write whose data no other has."""
        return b"WRITE i%d d%d" % (self._rng.randrange(ITEMS), next(_numbers))

    def _make_read(self) -> bytes:
        """Return a read."""
        return b"READ i%d" % self._rng.randrange(ITEMS)

    async def _run_statement(self, connection, session: int, values: dict) -> bool:
        """Run a single read or write; False if the session is to end."""
        is_write = self._rng.random() < 0.3
        text = self._make_write() if is_write else self._make_read()
        request = self._note(session, text, 0, self._reactor.seconds(), values)
        answer = await self._ask(connection, b"QUERY %s %s" % (request, text))
        return self._judge(answer, [request], request if is_write else None)

    async def _run_transaction(self, connection, session: int, values: dict) -> bool:
        """Run a transaction of some statements; False if the session is to end."""
        transaction, asked_at = next(_numbers), self._reactor.seconds()
        writes = self._rng.random() < 0.6 or self._kind == PRIMARY_ROUTE
        texts = [b"BEGIN" if writes else b"BEGIN READ"]
        for _ in range(self._rng.randint(1, 4)):
            is_write = writes and self._rng.random() < 0.5
            texts.append(self._make_write() if is_write else self._make_read())
        texts.append(b"COMMIT" if self._rng.random() < 0.85 else b"ROLLBACK")
        has_written = any(text.startswith(b"WRITE") for text in texts)
        requests = []
        for text in texts:
            request = self._note(session, text, transaction, asked_at, values)
            requests.append(request)
            answer = await self._ask(connection, b"QUERY %s %s" % (request, text))
            is_end = text == b"COMMIT" and has_written
            if not self._judge(answer, requests, request if is_end else None):
                return False
            if self._rng.random() < 0.02:
                return False
            await deferLater(self._reactor, self._rng.uniform(0.0, 0.03))
        return True

    def _judge(
        self, answer: list[bytes], requests: list[bytes], commit: bytes | None
    ) -> bool:
        """Note what an answer promises; False if it is an error."""
        error = next((line for line in answer if line.startswith(b"ERROR")), None)
        if error is None:
            self._history.outcomes["served"] += 1
            if commit is not None:
                self._history.note_acknowledged(commit)
            return True
        code = error.split(b" ")[1]
        self._history.outcomes[code.decode()] += 1
        if code in PROMISES:
            self._history.note_refused(requests, code.decode())
        return False
