"""Callers of the soak: sessions that read, write and open transactions."""

import itertools
import random
from collections.abc import Callable

from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol, connectionDone
from twisted.internet.task import deferLater

from beryltrack.settings.messages import Endpoint, RouteSettings
from beryltrack.wire.line_buffer import LineBuffer
from beryltrack_bench.soak.history import PRIMARY_ROUTE, History, SentStatement

NOT_APPLIED_CODES = frozenset(
    (b"BUSY", b"ABORTED", b"LAGGING", b"READONLY", b"MISROUTED", b"TOOMANY")
)
"""Error codes that guarantee that nothing of an attempt is applied."""

ANSWER_TIMEOUT = 4.0
"""Seconds for which a caller waits for an answer."""

GIVE_UP_SHARE = 0.4
"""Share of the messages after which a caller that gives up early may leave."""

GIVE_UP_TIMES = 0.02, 0.3
"""Seconds after which it leaves if it has no answer by then, least and most."""

SLOW_SHARE = 0.2
"""Share of the sessions with large values that read slowly."""

SLOW_READ_TIME = 0.05
"""Longest pause of a slow reader after each part of an answer, seconds."""

VALUE_SHAPE = 0.35
"""Shape of the Pareto distribution of the sizes of large values: one in 60 exceeds
64 KiB."""

MAX_VALUE = 1_000_000
"""Size of the largest value, bytes; a message may have 1 MiB."""

ITEM_COUNT = 12
"""Number of items that callers read and write; small, so that sessions conflict."""

_numbers = itertools.count(1)


class CallerGone(Exception):
    """Raised if a session ends before its answer; counted as an outcome by its name."""


class CallerConnection(Protocol):
    """The client side of one session, with one statement in flight at a time."""

    def connectionMade(self) -> None:  # noqa: N802
        """Initialize the session; it is used from START on."""
        self.transport.setTcpNoDelay(True)
        self.buffer = LineBuffer()
        self.lines: list[bytes] = []
        self.waiting: Deferred | None = None
        self.is_gone = False
        self.pause_reading: Callable[[], None] | None = None

    def send(self, line: bytes) -> Deferred[list[bytes]]:
        """Send a message; the Deferred fires with the lines of its answer."""
        self.lines, self.waiting = [], Deferred()
        if self.is_gone:
            self.waiting.errback(CallerGone())
        else:
            self.transport.write(line + b"\r\n")
        return self.waiting

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Collect the lines of an answer until READY."""
        if self.pause_reading is not None:
            self.pause_reading()
        for line in self.buffer.feed(data):
            self.lines.append(line)
            if line.startswith(b"READY") and self.waiting is not None:
                waiting, self.waiting = self.waiting, None
                waiting.callback(self.lines)

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: N802
        """Fail the statement in flight."""
        self.is_gone = True
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            waiting.errback(CallerGone())


class Caller:
    """Runs random sessions of one route until it is stopped.

    Parameters
    ----------
    reactor : reactor
        Source of sockets and timers.
    history : History
        Records the statements sent and their answers.
    nodes : list of Endpoint
        Addresses at which nodes accept callers.
    route : RouteSettings
        The route.
    kind : str
        Kind of the route.
    rng : random.Random
        Source of the operations.
    account, key : str
        Its client account, and the key that it presents.
    gives_up : bool
        True if it leaves at random while it waits for an answer.
    has_large_values : bool
        True if it writes values of up to `MAX_VALUE` bytes, and reads slowly at times.
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
        gives_up: bool = False,
        has_large_values: bool = False,
    ):
        self._gives_up = gives_up
        self._has_large_values = has_large_values
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
                # Twisted's connection errors have no common base class.
                self._history.outcomes[f"not connected: {type(error).__name__}"] += 1
            await deferLater(self._reactor, self._rng.uniform(0.02, 0.1))

    async def _run_session(self) -> None:
        """Open a session and run some operations on it."""
        node = self._rng.choice(self._nodes)
        endpoint = TCP4ClientEndpoint(self._reactor, *node, timeout=2)
        connection = await connectProtocol(endpoint, CallerConnection())
        connection.node = node
        if self._has_large_values and self._rng.random() < SLOW_SHARE:
            connection.pause_reading = lambda: self._pause_reading(connection)
        session = next(_numbers)
        values: dict[bytes, bytes] = {}
        try:
            start = f"START {self._route.name} {self._key}".encode()
            if not self._record_answer(await self._send(connection, start), [], None):
                return
            if self._rng.random() < 0.4:
                value = b"v%d" % session
                setting = b"QUERY s%d SET name %s" % (session, value)
                if not self._record_answer(
                    await self._send(connection, setting), [], None
                ):
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

    def _pause_reading(self, connection: CallerConnection) -> None:
        """Read nothing for a moment."""
        connection.transport.pauseProducing()
        delay = self._rng.uniform(0.0, SLOW_READ_TIME)
        self._reactor.callLater(delay, connection.transport.resumeProducing)

    async def _query(
        self, connection: CallerConnection, request: bytes, text: bytes
    ) -> list[bytes]:
        """Send a statement; record it if the connection ends without an answer."""
        sent_at = self._reactor.seconds()
        try:
            return await self._send(connection, b"QUERY %s %s" % (request, text))
        except CallerGone:
            limit = self._route.statement_timeout
            self._history.record_cut(connection.node, request, sent_at, limit)
            raise

    def _send(self, connection: CallerConnection, line: bytes) -> Deferred:
        """Send one message; the caller leaves if the answer takes too long."""
        limit = ANSWER_TIMEOUT
        if self._gives_up and self._rng.random() < GIVE_UP_SHARE:
            limit = self._rng.uniform(*GIVE_UP_TIMES)
        return connection.send(line).addTimeout(limit, self._reactor)

    def _record_statement(
        self, session: int, text: bytes, transaction: int, sent_at: float, values: dict
    ) -> bytes:
        """Record a statement that is about to be sent; return its identifier."""
        request = b"q%x" % next(_numbers)
        session_values = tuple(sorted(values.items()))
        self._history.record_sent(
            SentStatement(
                request,
                text,
                session,
                transaction,
                self._kind,
                self._route.max_age,
                sent_at,
                session_values,
                self._account,
            )
        )
        return request

    def _make_write(self) -> bytes:
        """Return a write of unique data to a random item."""
        text = b"WRITE i%d d%d" % (self._rng.randrange(ITEM_COUNT), next(_numbers))
        if not self._has_large_values:
            return text
        size = min(MAX_VALUE, int(self._rng.paretovariate(VALUE_SHAPE)))
        return text + b"x" * size

    def _make_read(self) -> bytes:
        """Return a read of a random item."""
        return b"READ i%d" % self._rng.randrange(ITEM_COUNT)

    async def _run_statement(self, connection, session: int, values: dict) -> bool:
        """Run a single read or write; return False if the session must end."""
        is_write = self._rng.random() < 0.3
        text = self._make_write() if is_write else self._make_read()
        request = self._record_statement(
            session, text, 0, self._reactor.seconds(), values
        )
        answer = await self._query(connection, request, text)
        return self._record_answer(answer, [request], request if is_write else None)

    async def _run_transaction(self, connection, session: int, values: dict) -> bool:
        """Run a random transaction; return False if the session must end."""
        transaction, sent_at = next(_numbers), self._reactor.seconds()
        writes = self._rng.random() < 0.6 or self._kind == PRIMARY_ROUTE
        texts = [b"BEGIN" if writes else b"BEGIN READ"]
        for _ in range(self._rng.randint(1, 4)):
            is_write = writes and self._rng.random() < 0.5
            texts.append(self._make_write() if is_write else self._make_read())
        texts.append(b"COMMIT" if self._rng.random() < 0.85 else b"ROLLBACK")
        has_written = any(text.startswith(b"WRITE") for text in texts)
        requests = []
        for text in texts:
            request = self._record_statement(
                session, text, transaction, sent_at, values
            )
            requests.append(request)
            answer = await self._query(connection, request, text)
            is_end = text == b"COMMIT" and has_written
            if not self._record_answer(answer, requests, request if is_end else None):
                return False
            if self._rng.random() < 0.02:
                return False
            await deferLater(self._reactor, self._rng.uniform(0.0, 0.03))
        return True

    def _record_answer(
        self, answer: list[bytes], requests: list[bytes], commit: bytes | None
    ) -> bool:
        """Record the outcome of statements; return False if the answer is an error."""
        error = next((line for line in answer if line.startswith(b"ERROR")), None)
        if error is None:
            self._history.outcomes["served"] += 1
            if commit is not None:
                self._history.record_acknowledged(commit)
            return True
        code = error.split(b" ")[1]
        self._history.outcomes[code.decode()] += 1
        if code in NOT_APPLIED_CODES:
            self._history.record_refused(requests, code.decode())
        return False
