"""One PostgreSQL connection to a target, which runs one request at a time.

Anything but exactly one complete answer to the request in flight closes the connection
for good, so that a late or partial answer cannot reach another caller.
"""

import logging
import math

from pygwire.exceptions import ProtocolError
from pygwire.messages import BackendKeyData, Terminate
from scramp import ScramException
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from beryltrack.clock import get_monotonic_clock
from beryltrack.connections.cancel import make_endpoint, send_cancel
from beryltrack.connections.logon import (
    APPLICATION_NAME,
    Credentials,
    TargetLogon,
)
from beryltrack.connections.messages import TargetLost
from beryltrack.connections.prepared import PreparedStatements
from beryltrack.errors import (
    FEATURE_NOT_SUPPORTED,
    INVALID_SQL_STATEMENT_NAME,
    SqlException,
)
from beryltrack.groups.messages import LogPosition
from beryltrack.settings.messages import Endpoint
from beryltrack.wire.flow_control import PausableReader
from beryltrack.wire.messages import Edit, ResponseEnd, ResponseSink
from beryltrack.wire.responses import ResponseReader
from beryltrack.wire.sockets import tune_socket

log = logging.getLogger(__name__)

# Errors after which a connection's prepared statements may be invalid: a plan that does
# not match its table any more, or a name that does not exist.
_STALE_STATES = frozenset({FEATURE_NOT_SUPPORTED, INVALID_SQL_STATEMENT_NAME})

_TERMINATE_WIRE = Terminate().to_wire()


class TargetConnection(PausableReader, Protocol):
    """A logged-on connection to a target.

    Made by `connect_target`. At most one request runs on it at a time.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens the connections of cancel requests.
    endpoint : Endpoint
        Address of the target.
    credentials : Credentials
        The database, user and password.
    """

    via = ""
    """Empty: connections of this protocol are direct."""

    def __init__(self, reactor, endpoint: Endpoint, credentials: Credentials):
        self.endpoint = endpoint
        self.prepared = PreparedStatements()
        self.position: LogPosition | None = None
        self.broken = False
        self.ready: Deferred[TargetConnection] = Deferred()
        self.run_since: float | None = None
        self.run_until = math.inf
        self.last_run_time = 0.0
        self._reactor = reactor
        self._seconds = get_monotonic_clock(reactor)
        self._logon: TargetLogon | None = TargetLogon(credentials)
        self._key = BackendKeyData()
        self._reader = ResponseReader()
        self._sink: ResponseSink | None = None
        self._answer: Deferred[ResponseEnd] | None = None
        self._closed: Deferred[None] = Deferred()
        self._deferred_end: ResponseEnd | None = None
        self._cancels = 0

    @property
    def busy(self) -> bool:
        """True while a request runs on the connection."""
        return self._answer is not None

    @property
    def closed(self) -> "Deferred[None]":
        """Fires once when the connection has ended; callbacks return their value."""
        return self._closed

    def run(
        self, wire: bytes, sink: ResponseSink, edits: tuple[Edit, ...] = ()
    ) -> "Deferred[ResponseEnd]":
        """Send one request and stream its answer.

        Parameters
        ----------
        wire : bytes
            Frames that the target answers with exactly one ReadyForQuery.
        sink : ResponseSink
            Receives the frames of the answer as they arrive.
        edits : tuple of Edit
            See `ResponseReader.start`.

        Returns
        -------
        Deferred of ResponseEnd
            The end of the answer. Fails with `TargetLost`, also if it is cancelled,
            which closes the connection.
        """
        if self.broken or self._logon is not None or self._answer is not None:
            reason = "another request runs" if self._answer else "connection is closed"
            return _fail(TargetLost(False, reason))
        self._sink = sink
        # The answer to a cancelled request must not reach another one.
        self._answer = answer = Deferred(lambda _: self.close())
        self.run_since = self._seconds()
        self._reader.start(edits)
        sink.attach(self)
        self.transport.write(wire)
        return answer

    def cancel(self) -> None:
        """Ask the target to cancel the request that runs now.

        The answer shows whether that was in time. It does not end before the cancel
        request has ended, which therefore cannot hit a later request.
        """
        if not self.busy:
            return
        self._cancels += 1
        sending = send_cancel(self._reactor, self.endpoint, self._key)
        sending.addCallback(self._finish_cancel)

    def _finish_cancel(self, has_ended: bool) -> None:
        """Handle the end of a cancel request; end an answer that waited for it."""
        self._cancels -= 1
        if not has_ended:
            self.close()
        elif self._deferred_end is not None and not self._cancels:
            self._finish_answer(self._deferred_end)

    def close(self) -> None:
        """Close the connection. A request that runs fails with `TargetLost`."""
        if self.broken:
            return
        if self._logon is None and not self.busy:
            self.transport.write(_TERMINATE_WIRE)
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()
        self._mark_broken("closed by the proxy")

    def connectionMade(self) -> None:  # noqa: N802
        """Send the start-up packet."""
        tune_socket(self.transport)
        self.transport.write(self._logon.start())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process bytes from the target; a protocol error ends the connection."""
        if self.broken:
            return
        try:
            if self._logon is not None:
                self._receive_logon(data)
            else:
                self._receive_answer(data)
        except (ProtocolError, ScramException, ValueError) as error:
            log.warning(
                "target: connection to %s:%d closed after a protocol error: %s",
                *self.endpoint,
                error,
            )
            self.transport.abortConnection()
            self._mark_broken(str(error))

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Fail what waits for the connection, as it has ended."""
        lost = "closed by the target"
        self._mark_broken(
            lost if reason.check(ConnectionDone) else reason.getErrorMessage()
        )

    def _receive_logon(self, data: bytes) -> None:
        """Continue the log-on; bytes after ReadyForQuery are read as answers."""
        logon = self._logon
        wire = logon.feed(data)
        if wire:
            self.transport.write(wire)
        if logon.error is not None:
            self._mark_broken(logon.error.message, SqlException(logon.error))
            self.transport.loseConnection()
        elif logon.is_done:
            self._logon = None
            self.position = logon.position
            self._key = logon.key
            self._receive_answer(logon.take_undecoded())
            self.ready.callback(self)

    def _receive_answer(self, data: bytes) -> None:
        """Read the answer to the request in flight."""
        sink = self._sink
        end = self._reader.feed(data, sink.write if sink is not None else _discard)
        if end is None:
            return
        # Bytes after the answer must not be read as the next request's answer.
        if self._reader.has_buffered_bytes:
            self._reader.feed(b"", _discard)
        if end.position is not None:
            self.position = end.position
        if end.error is not None and end.error.sqlstate in _STALE_STATES:
            self.prepared.expire()
        if self._cancels:
            self._deferred_end = end
        else:
            self._finish_answer(end)

    def _finish_answer(self, end: ResponseEnd) -> None:
        """Fire the answer's Deferred; the connection is free from then on."""
        answer, sink = self._answer, self._sink
        self._answer = self._sink = self._deferred_end = None
        self.last_run_time = self._seconds() - self.run_since
        self.run_since = None
        sink.detach()
        if self._is_paused:
            self.resumeProducing()
        answer.callback(end)

    def _mark_broken(self, reason: str, failure: Exception | None = None) -> None:
        """Mark the connection as ended and fire or fail all its Deferreds."""
        if self.broken:
            return
        self.broken = True
        self.run_since = None
        answer, sink, ready = self._answer, self._sink, self.ready
        end, self._deferred_end = self._deferred_end, None
        self._answer = self._sink = None
        if sink is not None:
            sink.detach()
        if not ready.called:
            ready.errback(failure or TargetLost(False, reason))
        if end is not None:
            answer.callback(end)
        elif answer is not None:
            answer.errback(TargetLost(True, reason))
        self._closed.callback(None)


def _discard(data: bytes) -> None:
    """Drop bytes that no request reads."""


def _fail(error: Exception) -> Deferred:
    """Return a Deferred that has failed."""
    failed = Deferred()
    failed.errback(error)
    return failed


def connect_target(
    reactor,
    endpoint: Endpoint,
    database: str,
    user: str,
    password: str,
    timeout: float,
    application_name: str = APPLICATION_NAME,
) -> "Deferred[TargetConnection]":
    """Open a connection to a target and log on.

    Parameters
    ----------
    reactor : IReactorTCP, IReactorTime
        Opens the connection and measures the timeout.
    endpoint : Endpoint
        Address of the target.
    database, user, password : str
        The database, user and password of the log-on.
    timeout : float
        Seconds within which the connection must be ready.
    application_name : str
        Name that the target shows for the connection.

    Returns
    -------
    Deferred of TargetConnection
        The connection. Fails with `SqlException` if the target refuses, for
        example at its connection limit (53300), with `TargetLost` or the
        reactor's error if it cannot be reached, and with
        `twisted.internet.defer.TimeoutError` after the timeout.
    """
    credentials = Credentials(database, user, password, application_name)
    connection = TargetConnection(reactor, endpoint, credentials)
    target = make_endpoint(reactor, endpoint, timeout)
    connecting = connectProtocol(target, connection)
    connecting.addCallback(lambda _: connection.ready)

    def abandon(failure: Failure) -> Failure:
        if connection.transport is not None:
            connection.close()
        return failure

    connecting.addTimeout(timeout, reactor)
    return connecting.addErrback(abandon)


__all__ = [
    "Credentials",
    "PreparedStatements",
    "ResponseEnd",
    "ResponseSink",
    "TargetConnection",
    "TargetLost",
    "connect_target",
]
