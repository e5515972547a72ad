"""A control connection to one database, over the PostgreSQL simple query protocol.

Queries run one at a time, in order. The connection is opened at its first use, and
again after a failure with a jittered exponential back-off. A query that is not answered
in time closes the connection, since later answers could not be matched to queries.
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
CONNECT_TIMEOUT = 2.0
"""Seconds to connect, and seconds to authenticate after that."""
MIN_BACKOFF = 0.05
"""Mean seconds before the next attempt after the first failure; doubles with each."""
MAX_BACKOFF = 1.0
"""Upper bound of the mean back-off, in seconds."""

Row = dict[str, str | None]


class Credentials(NamedTuple):
    """Log-on data.

    Parameters
    ----------
    user : str
        The user.
    password : str
        The password; empty if the database requires none.
    database : str
        The name of the group, which is the PostgreSQL database's name.
    """

    user: str
    password: str
    database: str


class _Request(NamedTuple):
    """A query and the Deferred of its result."""

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
        """Send the start-up message."""
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
        """Handle the database's messages."""
        try:
            for message in self._wire.receive(data):
                self._handle_message(message)
        except (PygwireError, ScramException, ValueError) as error:
            self._error = f"malformed answer: {error}"
            self.transport.abortConnection()

    def connectionLost(self, reason) -> None:  # noqa: N802
        """Fail the log-on and the running query."""
        text = self._error or "the connection was lost"
        for waiting in (self.lost, self.ready, self._answer):
            if waiting is not None and not waiting.called:
                waiting.callback(Failure(text))

    def query(self, text: str) -> Deferred:
        """Send a query; the Deferred fires with a `Result` of rows or an error text."""
        self._answer, self._columns, self._rows = Deferred(), [], []
        self._error = ""
        self._send(Query(query_string=text))
        return self._answer

    def _send(self, message: PGMessage) -> None:
        self.transport.write(self._wire.send(message))

    def _handle_message(self, message: PGMessage) -> None:
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
        """Resolve the running query, or the log-on if that was not complete."""
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
    """A control connection that reconnects after it was lost.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Source of connections and timers.
    name : str
        The database's name, for failures and logs.
    endpoint : Endpoint
        Address at which it listens.
    credentials : Credentials
        Log-on data.
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
        self._clock = get_pause_aware_clock(reactor)
        self._name = name
        self._endpoint = endpoint
        self._credentials = credentials
        self._rng = rng
        self._protocol: _ControlProtocol | None = None
        self._queue: deque[_Request] = deque()
        self._in_flight: _Request | None = None
        self._is_processing = False
        self._failures = 0
        self._retry_at = 0.0
        self._closed = False

    async def query(
        self, text: str, timeout: float
    ) -> Result[tuple[Row, ...], ControlFailure]:
        """Run a query after all earlier ones.

        Parameters
        ----------
        text : str
            The query.
        timeout : float
            Seconds, including the wait for earlier queries.

        Returns
        -------
        Result
            The rows, as columns by name, or the reason why there is no answer.
        """
        request = _Request(text, Deferred())
        # The timer does not count pauses of this process, in which answers are unread.
        timer = self._clock.callLater(timeout, self._time_out, request)
        self._queue.append(request)
        self._start_processing()
        try:
            result = await request.answer
        finally:
            if timer.active():
                timer.cancel()
        return result.alt(lambda reason: ControlFailure(self._name, reason))

    def close(self) -> None:
        """Close the connection permanently and fail the queued queries."""
        self._closed = True
        if self._protocol is not None:
            self._protocol.transport.abortConnection()
        self._fail_all("the connection is closed")

    def _start_processing(self) -> None:
        """Start to process the queue unless that is already running."""
        if self._is_processing or not self._queue:
            return
        self._is_processing = True
        Deferred.fromCoroutine(self._run_queue()).addErrback(self._log_defect)

    async def _run_queue(self) -> None:
        try:
            while self._queue and not self._closed:
                if self._protocol is None and not await self._connect():
                    self._fail_all("no connection")
                    return
                await self._run_first()
        finally:
            self._is_processing = False

    async def _run_first(self) -> None:
        """Run the query at the head of the queue, unless it has timed out."""
        request = self._queue.popleft()
        if request.answer.called or self._protocol is None:
            return
        self._in_flight = request
        result = await self._protocol.query(request.text)
        self._in_flight = None
        if not request.answer.called:
            request.answer.callback(result)

    async def _connect(self) -> bool:
        """Return whether a connection was opened; no attempt before `_retry_at`."""
        if self._seconds() < self._retry_at:
            return False
        factory = Factory.forProtocol(lambda: _ControlProtocol(self._credentials))
        endpoint = TCP4ClientEndpoint(
            self._reactor, *self._endpoint, timeout=CONNECT_TIMEOUT
        )
        try:
            protocol = await endpoint.connect(factory)
        except Exception as error:  # noqa: BLE001
            return self._record_failure(str(error))
        self._protocol = protocol
        protocol.lost.addCallback(self._handle_lost, protocol)
        timer = self._clock.callLater(
            CONNECT_TIMEOUT, protocol.transport.abortConnection
        )
        result = await protocol.ready
        if timer.active():
            timer.cancel()
        if not isinstance(result, Success):
            return self._record_failure(result.failure())
        self._failures = 0
        return not self._closed

    def _record_failure(self, reason: str) -> bool:
        """Set the time of the next attempt, and return False."""
        if self._failures == 0:
            log.info(
                "groups: cannot open a control connection to %s, will retry: %s.",
                self._name,
                reason,
            )
        mean = min(MIN_BACKOFF * 2**self._failures, MAX_BACKOFF)
        self._failures = min(self._failures + 1, 10)
        self._retry_at = self._seconds() + mean * self._rng.uniform(0.5, 1.5)
        return False

    def _handle_lost(self, result: object, protocol: _ControlProtocol) -> None:
        if self._protocol is protocol:
            self._protocol = None

    def _time_out(self, request: _Request) -> None:
        """Fail a request that was not answered in time.

        If it was already sent, the connection is closed.
        """
        if request.answer.called:
            return
        request.answer.callback(Failure("no answer in time"))
        if self._in_flight is request and self._protocol is not None:
            self._protocol.transport.abortConnection()

    def _fail_all(self, reason: str) -> None:
        waiting = tuple(self._queue)
        self._queue.clear()
        for request in waiting:
            if not request.answer.called:
                request.answer.callback(Failure(reason))

    def _log_defect(self, failure) -> None:
        log.error(
            "groups: control connection to %s failed with a defect, its queued requests"
            " fail: %s",
            self._name,
            failure,
        )
        self._fail_all("the connection failed")


def _make_row(columns: list[str], values: list[bytes | None]) -> Row:
    """Return the text of each column, by column name."""
    texts = (None if value is None else value.decode() for value in values)
    return dict(zip(columns, texts, strict=True))
