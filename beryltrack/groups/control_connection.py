"""A control connection to one database: simple queries, one at a time, in order.

It connects when it is first used, and again after a failure with a jittered
back-off, so that a database that is down costs little. A request that is not
answered in time closes the connection, since the answers that follow would
belong to other requests.
"""

import logging
from collections import deque
from random import Random
from typing import NamedTuple

from pygwire import FrontendConnection, PygwireError
from pygwire.messages import (
    AuthenticationCleartextPassword,
    AuthenticationOk,
    AuthenticationSASL,
    AuthenticationSASLContinue,
    AuthenticationSASLFinal,
    DataRow,
    ErrorResponse,
    PasswordMessage,
    PGMessage,
    Query,
    ReadyForQuery,
    RowDescription,
    SASLInitialResponse,
    SASLResponse,
    StartupMessage,
)
from returns.result import Failure, Result, Success
from scramp import ScramClient, ScramException
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from beryltrack.clock import get_monotonic_clock
from beryltrack.groups.messages import ControlFailure
from beryltrack.pause_aware_clock import get_pause_aware_clock
from beryltrack.settings.messages import Endpoint

log = logging.getLogger(__name__)

APPLICATION_NAME = "beryltrack-control"
SCRAM = "SCRAM-SHA-256"
# Seconds for a connection to be made and the user to be accepted.
CONNECT_TIMEOUT = 2.0
# Mean pause after the first failed connection; it doubles up to the longest.
FIRST_BACKOFF = 0.05
LAST_BACKOFF = 1.0

Row = dict[str, str | None]


class Credentials(NamedTuple):
    """How to log on.

    Parameters
    ----------
    user : str
        The user.
    password : str
        Empty if the database trusts the user.
    database : str
        The name of the group, which is the PostgreSQL database's name.
    """

    user: str
    password: str
    database: str


class _Request(NamedTuple):
    """A query that waits for its answer."""

    text: str
    answer: Deferred


class _ControlProtocol(Protocol):
    """The client's side of the PostgreSQL protocol, for simple queries."""

    def __init__(self, credentials: Credentials):
        self.ready: Deferred = Deferred()
        self.lost: Deferred = Deferred()
        self._credentials = credentials
        self._wire = FrontendConnection()
        self._scram: ScramClient | None = None
        self._answer: Deferred | None = None
        self._columns: list[str] = []
        self._rows: list[Row] = []
        self._error = ""

    def connectionMade(self) -> None:  # noqa: N802
        """Log on."""
        self.transport.setTcpNoDelay(True)
        user, _, database = self._credentials
        self._send(
            StartupMessage(
                params={
                    "user": user,
                    "database": database,
                    "application_name": APPLICATION_NAME,
                }
            )
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take in the database's messages."""
        try:
            for message in self._wire.receive(data):
                self._take(message)
        except (PygwireError, ScramException, ValueError) as error:
            self._error = f"bad answer: {error}"
            self.transport.abortConnection()

    def connectionLost(self, reason) -> None:  # noqa: N802
        """Fail what was waited for."""
        text = self._error or "the connection was lost"
        for waiting in (self.lost, self.ready, self._answer):
            if waiting is not None and not waiting.called:
                waiting.callback(Failure(text))

    def query(self, text: str) -> Deferred:
        """Send a query; fires with a result of rows or of an error's text."""
        self._answer, self._columns, self._rows = Deferred(), [], []
        self._error = ""
        self._send(Query(query_string=text))
        return self._answer

    def _send(self, message: PGMessage) -> None:
        self.transport.write(self._wire.send(message))

    def _take(self, message: PGMessage) -> None:
        match message:
            case DataRow():
                self._rows.append(_make_row(self._columns, message.columns))
            case RowDescription():
                self._columns = [field.name for field in message.fields]
            case ErrorResponse():
                self._error = f"{message.code} {message.message}"
            case ReadyForQuery():
                self._finish()
            case _:
                self._authenticate(message)

    def _finish(self) -> None:
        """Give the answer to the request in hand, or say that log-on is done."""
        if not self.ready.called:
            self.ready.callback(Success(None))
            return
        answer, self._answer = self._answer, None
        if answer is not None and not answer.called:
            done = Failure(self._error) if self._error else Success(tuple(self._rows))
            answer.callback(done)

    def _authenticate(self, message: PGMessage) -> None:
        password = self._credentials.password
        match message:
            case AuthenticationCleartextPassword():
                self._send(PasswordMessage(password=password))
            case AuthenticationSASL():
                user = self._credentials.user
                self._scram = ScramClient(list(message.mechanisms), user, password)
                first = self._scram.get_client_first().encode()
                self._send(SASLInitialResponse(mechanism=SCRAM, data=first))
            case AuthenticationSASLContinue():
                self._scram.set_server_first(message.data.decode())
                final = self._scram.get_client_final().encode()
                self._send(SASLResponse(data=final))
            case AuthenticationSASLFinal():
                self._scram.set_server_final(message.data.decode())
            case AuthenticationOk():
                pass


class ControlConnection:
    """A control connection that is made again whenever it was lost.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Source of connections and timers.
    name : str
        The database's name, for failures and logs.
    endpoint : Endpoint
        Where it listens.
    credentials : Credentials
        How to log on.
    rng : Random
        Source of jitter.
    """

    def __init__(
        self,
        reactor,
        name: str,
        endpoint: Endpoint,
        credentials: Credentials,
        rng: Random,
    ):
        self._reactor = reactor
        self._seconds = get_monotonic_clock(reactor)
        self._awake = get_pause_aware_clock(reactor)
        self._name = name
        self._endpoint = endpoint
        self._credentials = credentials
        self._rng = rng
        self._protocol: _ControlProtocol | None = None
        self._queue: deque[_Request] = deque()
        self._in_hand: _Request | None = None
        self._working = False
        self._failures = 0
        self._not_before = 0.0
        self._closed = False

    async def query(
        self, text: str, timeout: float
    ) -> Result[tuple[Row, ...], ControlFailure]:
        """Run a query after those before it.

        Parameters
        ----------
        text : str
            The query.
        timeout : float
            Seconds, the wait for those before it counted.

        Returns
        -------
        Result
            The rows, as columns by name, or why there is no answer.
        """
        request = _Request(text, Deferred())
        # An answer that has come during a pause of this process is no silence.
        timer = self._awake.callLater(timeout, self._give_up, request)
        self._queue.append(request)
        self._work()
        try:
            result = await request.answer
        finally:
            if timer.active():
                timer.cancel()
        return result.alt(lambda reason: ControlFailure(self._name, reason))

    def close(self) -> None:
        """Close for good."""
        self._closed = True
        if self._protocol is not None:
            self._protocol.transport.abortConnection()
        self._fail_all("the connection is closed")

    def _work(self) -> None:
        """Answer the requests one after the other, if nobody does so already."""
        if self._working or not self._queue:
            return
        self._working = True
        Deferred.fromCoroutine(self._run_queue()).addErrback(self._report_defect)

    async def _run_queue(self) -> None:
        try:
            while self._queue and not self._closed:
                if self._protocol is None and not await self._connect():
                    self._fail_all("no connection")
                    return
                await self._run_first()
        finally:
            self._working = False

    async def _run_first(self) -> None:
        """Run the query at the head of the queue, unless it was given up."""
        request = self._queue.popleft()
        if request.answer.called or self._protocol is None:
            return
        self._in_hand = request
        result = await self._protocol.query(request.text)
        self._in_hand = None
        if not request.answer.called:
            request.answer.callback(result)

    async def _connect(self) -> bool:
        """Return whether a connection was made; at most one try a back-off."""
        if self._seconds() < self._not_before:
            return False
        factory = Factory.forProtocol(lambda: _ControlProtocol(self._credentials))
        endpoint = TCP4ClientEndpoint(
            self._reactor, *self._endpoint, timeout=CONNECT_TIMEOUT
        )
        try:
            protocol = await endpoint.connect(factory)
        except Exception as error:  # noqa: BLE001
            return self._note_failure(str(error))
        self._protocol = protocol
        protocol.lost.addCallback(self._note_lost, protocol)
        timer = self._awake.callLater(
            CONNECT_TIMEOUT, protocol.transport.abortConnection
        )
        result = await protocol.ready
        if timer.active():
            timer.cancel()
        if not isinstance(result, Success):
            return self._note_failure(result.failure())
        self._failures = 0
        return not self._closed

    def _note_failure(self, reason: str) -> bool:
        """Set when to try again, and return False."""
        if self._failures == 0:
            log.info("groups: no control connection to %s: %s.", self._name, reason)
        mean = min(FIRST_BACKOFF * 2**self._failures, LAST_BACKOFF)
        self._failures = min(self._failures + 1, 10)
        self._not_before = self._seconds() + mean * self._rng.uniform(0.5, 1.5)
        return False

    def _note_lost(self, result: object, protocol: _ControlProtocol) -> None:
        if self._protocol is protocol:
            self._protocol = None

    def _give_up(self, request: _Request) -> None:
        """Fail a request that was not answered in time.

        If it was sent already, the connection is of no use any more.
        """
        if request.answer.called:
            return
        request.answer.callback(Failure("no answer in time"))
        if self._in_hand is request and self._protocol is not None:
            self._protocol.transport.abortConnection()

    def _fail_all(self, reason: str) -> None:
        waiting = tuple(self._queue)
        self._queue.clear()
        for request in waiting:
            if not request.answer.called:
                request.answer.callback(Failure(reason))

    def _report_defect(self, failure) -> None:
        log.error("groups: control connection to %s: %s", self._name, failure)
        self._fail_all("the connection failed")


def _make_row(columns: list[str], values: list[bytes | None]) -> Row:
    """Return the text of each column by its name."""
    texts = (None if value is None else value.decode() for value in values)
    return dict(zip(columns, texts, strict=True))
