"""One connection to a target: start-up, one request at a time, and its end.

Whatever is not exactly one whole answer to the one request in flight breaks
the connection: it is closed and never used again, so that an answer that is
late or partial cannot reach another caller.
"""

import logging

from pygwire.exceptions import ProtocolError
from pygwire.messages import BackendKeyData, Terminate
from scramp import ScramException
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from beryltrack.connections.cancel import make_endpoint, send_cancel
from beryltrack.connections.logon import (
    APPLICATION_NAME,
    Credentials,
    TargetLogon,
)
from beryltrack.connections.messages import TargetLost
from beryltrack.connections.prepared import PreparedNames
from beryltrack.errors import (
    FEATURE_NOT_SUPPORTED,
    INVALID_SQL_STATEMENT_NAME,
    SqlException,
)
from beryltrack.groups.messages import LogPosition
from beryltrack.settings.messages import Endpoint
from beryltrack.wire.messages import Edit, ResponseEnd, ResponseSink
from beryltrack.wire.responses import ResponseReader
from beryltrack.wire.sockets import tune_socket

log = logging.getLogger(__name__)

# Errors after which the statements on a connection may not be what they were:
# a plan that no longer fits its table, or a name that does not exist.
_STALE_STATES = frozenset({FEATURE_NOT_SUPPORTED, INVALID_SQL_STATEMENT_NAME})

_TERMINATE_WIRE = Terminate().to_wire()


class TargetConnection(Protocol):
    """A logged-on connection to a target.

    Made by `connect_target`. At most one request runs on it at a time.

    Parameters
    ----------
    reactor : IReactorTCP
        Used to open cancel requests.
    endpoint : Endpoint
        Address of the target.
    credentials : Credentials
        Whom to log on as.
    """

    via = ""
    """Connections of this protocol go straight to their target."""

    def __init__(self, reactor, endpoint: Endpoint, credentials: Credentials):
        self.endpoint = endpoint
        self.prepared = PreparedNames()
        self.position: LogPosition | None = None
        self.broken = False
        self.ready: Deferred[TargetConnection] = Deferred()
        self._reactor = reactor
        self._logon: TargetLogon | None = TargetLogon(credentials)
        self._key = BackendKeyData()
        self._reader = ResponseReader()
        self._sink: ResponseSink | None = None
        self._answer: Deferred[ResponseEnd] | None = None
        self._closed: Deferred[None] = Deferred()
        self._held_end: ResponseEnd | None = None
        self._cancels = 0
        self._paused = False

    @property
    def busy(self) -> bool:
        """True while a request runs on the connection."""
        return self._answer is not None

    @property
    def closed(self) -> "Deferred[None]":
        """Fires once when the connection is gone; callbacks pass the value on."""
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
            Takes the frames of the answer as they come.
        edits : tuple of Edit
            See `ResponseReader.start`.

        Returns
        -------
        Deferred of ResponseEnd
            The end of the answer. Fails with `TargetLost`. Cancelling it
            breaks the connection, which makes it fail so at once.
        """
        if self.broken or self._logon is not None or self._answer is not None:
            reason = "another request runs" if self._answer else "connection is closed"
            return _fail(TargetLost(False, reason))
        self._sink = sink
        # An answer that nobody waits for any more must reach nobody.
        self._answer = answer = Deferred(lambda _: self.close())
        self._reader.start(edits)
        sink.attach(self)
        self.transport.write(wire)
        return answer

    def cancel(self) -> None:
        """Ask the target to cancel the request that runs now.

        It may come too late; the answer tells. The answer does not end before
        the cancel request has, so that it cannot hit a later request.
        """
        if not self.busy:
            return
        self._cancels += 1
        sending = send_cancel(self._reactor, self.endpoint, self._key)
        sending.addCallback(self._end_cancel)

    def _end_cancel(self, is_over: bool) -> None:
        """Go on after a cancel request."""
        self._cancels -= 1
        if not is_over:
            self.close()
        elif self._held_end is not None and not self._cancels:
            self._end_answer(self._held_end)

    def close(self) -> None:
        """End the connection. A request that runs fails with `TargetLost`."""
        if self.broken:
            return
        if self._logon is None and not self.busy:
            self.transport.write(_TERMINATE_WIRE)
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()
        self._break("closed by the proxy")

    def pauseProducing(self) -> None:  # noqa: N802
        """Read no more of the answer until the sink has room; see `Producer`."""
        self._paused = True
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read on."""
        self._paused = False
        self.transport.resumeProducing()

    def connectionMade(self) -> None:  # noqa: N802
        """Send the start-up packet."""
        tune_socket(self.transport)
        self.transport.write(self._logon.start())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes of the target."""
        if self.broken:
            return
        try:
            if self._logon is not None:
                self._receive_logon(data)
            else:
                self._receive_answer(data)
        except (ProtocolError, ScramException, ValueError) as error:
            log.warning("target: %s:%d: %s", *self.endpoint, error)
            self.transport.abortConnection()
            self._break(str(error))

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Tell who waits that the connection has ended."""
        lost = "closed by the target"
        self._break(lost if reason.check(ConnectionDone) else reason.getErrorMessage())

    def _receive_logon(self, data: bytes) -> None:
        """Log on; what follows ReadyForQuery is read as answers."""
        logon = self._logon
        wire = logon.feed(data)
        if wire:
            self.transport.write(wire)
        if logon.error is not None:
            self._break(logon.error.message, SqlException(logon.error))
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
        # What follows the answer must not be left for the next request.
        if self._reader.has_buffered_bytes:
            self._reader.feed(b"", _discard)
        if end.position is not None:
            self.position = end.position
        if end.error is not None and end.error.sqlstate in _STALE_STATES:
            self.prepared.expire()
        if self._cancels:
            self._held_end = end
        else:
            self._end_answer(end)

    def _end_answer(self, end: ResponseEnd) -> None:
        """Hand out the end of an answer; the connection is free from then on."""
        answer, sink = self._answer, self._sink
        self._answer = self._sink = self._held_end = None
        sink.detach()
        # A sink that was full may have paused the transport.
        if self._paused:
            self.resumeProducing()
        answer.callback(end)

    def _break(self, reason: str, failure: Exception | None = None) -> None:
        """Mark the connection as ended and tell all who wait."""
        if self.broken:
            return
        self.broken = True
        answer, sink, ready = self._answer, self._sink, self.ready
        end, self._held_end = self._held_end, None
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
    """Take bytes that nobody reads."""


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
        Whom to log on as.
    timeout : float
        Most seconds until the connection is ready.
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
    "PreparedNames",
    "ResponseEnd",
    "ResponseSink",
    "TargetConnection",
    "TargetLost",
    "connect_target",
]
