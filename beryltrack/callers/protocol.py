"""A caller's connection: start-up, log-on, and units run one at a time.

It follows PostgreSQL's frontend/backend protocol 3.0. A failure on one connection ends
that connection with an error and a log line and affects no other connection.
"""

import logging
from enum import Enum, auto

from pygwire.exceptions import ProtocolError
from twisted.internet.defer import Deferred, fail
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from beryltrack.callers.caller import (
    STALL_TIMEOUT,
    Caller,
    CallerIdentity,
    encode_error,
)
from beryltrack.callers.limits import FLUSH_SYNC_TIMEOUT, INPUT_LIMIT, LINGER_TIMEOUT
from beryltrack.callers.logon import (
    AcceptLogon,
    CallerLogon,
    CancelOther,
    LogonStep,
    QuitLogon,
    RefuseLogon,
    SendBytes,
    StartTls,
)
from beryltrack.callers.messages import (
    ExtendedRequest,
    RefusedRequest,
    Request,
    TerminateRequest,
    Unit,
)
from beryltrack.callers.reader import RequestReader
from beryltrack.callers.startup import StartupRequest
from beryltrack.errors import (
    ADMIN_SHUTDOWN,
    CANNOT_CONNECT_NOW,
    FATAL,
    IDLE_IN_TRANSACTION_SESSION_TIMEOUT,
    INTERNAL_ERROR,
    PROTOCOL_VIOLATION,
    SqlError,
    make_fatal_error,
    make_unsupported_error,
)
from beryltrack.settings.messages import UserSettings
from beryltrack.wire.sockets import tune_socket

log = logging.getLogger(__name__)

FLUSH_UNSUPPORTED = (
    "Flush after Bind is not supported outside of a transaction; send Sync"
)


class Phase(Enum):
    """Phase of a connection."""

    LOGON = auto()
    READY = auto()
    RUNNING = auto()
    CLOSING = auto()


class CallerProtocol(Protocol):
    """One connection of a caller, created by `CallerFactory`.

    Parameters
    ----------
    factory : CallerFactory
        Shared state of the connections.
    """

    def __init__(self, factory):
        self.factory = factory
        self.caller: Caller | None = None
        self.phase = Phase.LOGON
        self._logon: CallerLogon | None = factory.make_logon()
        self._reader = RequestReader(factory.options.unit_limit)
        self._cancel_key: int | None = None
        self._is_input_paused = False
        self._timer = None
        self._is_tls = False
        self._is_disconnected = False

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection and start the log-on timer."""
        tune_socket(self.transport)
        self._timer = self.factory.reactor.callLater(
            self.factory.options.startup_timeout, self._time_out_logon
        )
        self.factory.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process bytes received from the caller."""
        if self.phase is Phase.CLOSING:
            return
        try:
            if self.phase is Phase.LOGON:
                self._receive_logon(data)
            else:
                self._receive_requests(data)
        except ProtocolError as error:
            self._refuse(make_fatal_error(PROTOCOL_VIOLATION, str(error)))

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Drop the caller's session, after its running unit if there is one."""
        self._is_disconnected = True
        self._stop_timer()
        running = self.phase is Phase.RUNNING
        self.phase = Phase.CLOSING
        if self.caller is not None:
            self.caller.disconnect()
        if not running:
            self._drop_session()

    def leave(self) -> None:
        """Close the connection as soon as no transaction is open on it."""
        if self.phase is Phase.LOGON:
            text = "the proxy is shutting down"
            self._refuse(make_fatal_error(CANNOT_CONNECT_NOW, text))
        else:
            self._resume_units()

    def _close_for_shutdown(self) -> None:
        """Close the connection of an idle caller because the proxy shuts down."""
        text = "terminating connection due to administrator command"
        self._refuse(make_fatal_error(ADMIN_SHUTDOWN, text))

    def _receive_logon(self, data: bytes) -> None:
        """Process received bytes during the log-on."""
        for step in self._logon.feed(data):
            self._perform_step(step)
            if self.phase is Phase.CLOSING:
                return
            if self.phase is Phase.READY:
                remaining = self._logon.take_undecoded()
                self._logon = None
                self._receive_requests(remaining)
                return

    def _perform_step(self, step: LogonStep) -> None:
        """Perform one step of the log-on."""
        match step:
            case SendBytes(wire=wire):
                self.transport.write(wire)
            case StartTls(wire=wire):
                self.transport.write(wire)
                self._is_tls = True
                self.transport.startTLS(self.factory.tls_context)
            case CancelOther(key=key, secret=secret):
                self.factory.cancel(key, secret)
                self._close()
            case RefuseLogon(error=error):
                self._refuse(error)
            case AcceptLogon(request=request, user=user):
                self._accept(request, user)
            case QuitLogon():
                self._close()

    def _accept(self, request: StartupRequest, user: UserSettings) -> None:
        """Complete the log-on unless the proxy or the handler refuses the caller."""
        error = self.factory.get_refusal() or self.factory.check_database(
            request.database, user
        )
        if error is None:
            self._make_caller(request)
            error = self.factory.handler.check_session(self.caller)
        if error is not None:
            self._refuse(error._replace(severity=FATAL))
            return
        self._stop_timer()
        self._cancel_key, secret = self.factory.issue_cancel_key(self.caller)
        parameters = self.factory.get_parameters(request)
        response = self._logon.encode_logon_response(
            parameters, self._cancel_key, secret
        )
        self.transport.write(response)
        self.transport.registerProducer(self.caller, True)
        self.caller.set_drain_callback(self._resume_units)
        self.phase = Phase.READY

    def _make_caller(self, request: StartupRequest) -> None:
        """Create the `Caller` that the handler sees."""
        peer = self.transport.getPeer()
        identity = CallerIdentity(
            request.user, request.database, f"{peer.host}:{peer.port}"
        )
        self.caller = Caller(
            self.factory.reactor, self.transport, identity, request.settings
        )

    def _receive_requests(self, data: bytes) -> None:
        """Process bytes received from a logged-on caller."""
        self._reader.feed(data)
        if self.phase is Phase.READY:
            self._run_units()
        if self._reader.buffered > INPUT_LIMIT and self._must_pause_input():
            self._is_input_paused = True
            self.transport.pauseProducing()

    def _must_pause_input(self) -> bool:
        """Return whether to stop reading because buffered input cannot be run yet."""
        if self._is_input_paused or self.phase is Phase.CLOSING:
            return False
        return self.phase is Phase.RUNNING or self.caller.is_full

    def _run_units(self) -> None:
        """Run buffered units until one is still running or input is missing."""
        # A caller that does not read its responses gets no further ones.
        while self.phase is Phase.READY and not self.caller.is_full:
            unit = self._reader.read_unit()
            unit = self._take_flushed_batch() if unit is None else unit
            if unit is None:
                self._wait_for_input()
                break
            self._run_unit(unit)

    def _wait_for_input(self) -> None:
        """Wait for input, or close an idle connection if the proxy shuts down."""
        self._resume_input()
        if self.caller.in_transaction:
            self._start_idle_timer()
        elif self.factory.leaving:
            self._close_for_shutdown()

    def _start_idle_timer(self) -> None:
        """Start the timer that bounds how long an idle transaction holds a target."""
        if self._timer is None:
            limit = self.factory.options.transaction_idle_timeout
            self._timer = self.factory.reactor.callLater(
                limit, self._close_idle_transaction
            )

    def _close_idle_transaction(self) -> None:
        """Close the connection of a caller that is idle in a transaction too long."""
        self._timer = None
        text = "terminating connection due to idle-in-transaction timeout"
        self._refuse(make_fatal_error(IDLE_IN_TRANSACTION_SESSION_TIMEOUT, text))

    def _run_unit(self, unit: Unit) -> None:
        """Answer one unit or pass it to the handler."""
        caller = self.caller
        match unit:
            case TerminateRequest():
                self._close()
            case RefusedRequest(message=message):
                caller.send_error(make_unsupported_error(message))
                caller.send_ready(caller.status)
            case ExtendedRequest(messages=(_,)):
                # A Sync alone needs only a ReadyForQuery.
                caller.send_ready(caller.status)
            case _:
                if isinstance(unit, ExtendedRequest) and unit.is_flushed:
                    caller.begin_flushed_unit()
                self._stop_timer()
                self.phase = Phase.RUNNING
                caller.arrived_at = self.factory.reactor.seconds()
                running = self._call_handler(unit)
                running.addCallbacks(self._finish_unit, self._fail_unit)

    def _take_flushed_batch(self) -> ExtendedRequest | None:
        """Return an unfinished batch whose responses the caller waits for."""
        if not self._reader.is_flush_pending:
            return None
        if self.caller.in_transaction or not self._reader.has_portals:
            return self._reader.end_batch(True)
        # Outside of a transaction portals end with their batch. Many drivers send the
        # rest of the batch without waiting for responses to the Flush.
        if self._timer is None:
            call_later = self.factory.reactor.callLater
            self._timer = call_later(FLUSH_SYNC_TIMEOUT, self._refuse_flush)
        return None

    def _refuse_flush(self) -> None:
        """Refuse a flushed batch whose responses need portals."""
        self._timer = None
        if self.phase is Phase.READY and self._reader.is_flush_pending:
            self.caller.send_error(make_unsupported_error(FLUSH_UNSUPPORTED))
            self._reader.drop_batch()

    def _call_handler(self, unit: Request) -> "Deferred[None]":
        """Let the handler run a unit; an exception becomes a failed deferred."""
        try:
            return self.factory.handler.handle(unit, self.caller)
        except Exception:
            return fail()

    def _finish_unit(self, _: object) -> None:
        """Continue after a unit; abort the connection on an internal error."""
        try:
            self._start_next_unit()
        except Exception:
            log.exception("callers: connection aborted after an internal error")
            self.transport.abortConnection()

    def _start_next_unit(self) -> None:
        """Start the next buffered unit or wait for input."""
        self.caller.set_cancel_callback(None)
        if self.caller.end_flushed_unit():
            self._reader.skip_to_sync()
        if self._is_disconnected:
            self._drop_session()
            return
        if self.phase is not Phase.RUNNING:
            return
        self.phase = Phase.READY
        # Each buffered unit starts in a reactor iteration of its own, so that a caller
        # with much buffered input neither starves others nor deepens the call stack.
        if self._reader.buffered:
            self.factory.reactor.callLater(0, self._resume_units)
        else:
            self._wait_for_input()

    def _resume_units(self) -> None:
        """Run buffered units, unless one is running or the connection is closing."""
        if self.phase is not Phase.READY or self._is_disconnected:
            return
        try:
            self._run_units()
        except ProtocolError as error:
            self._refuse(make_fatal_error(PROTOCOL_VIOLATION, str(error)))

    def _fail_unit(self, failure: Failure) -> None:
        """Close the connection after an exception in the handler."""
        log.error(
            "callers: request failed with an internal error; outcome unknown: %s",
            failure.getTraceback(),
        )
        self.caller.set_cancel_callback(None)
        if self._is_disconnected:
            self._drop_session()
        else:
            self.phase = Phase.READY
            self._refuse(
                make_fatal_error(
                    INTERNAL_ERROR,
                    "internal error of the proxy",
                    "The request may have been run.",
                )
            )

    def _resume_input(self) -> None:
        """Resume reading from the caller."""
        if self._is_input_paused:
            self._is_input_paused = False
            self.transport.resumeProducing()

    def _refuse(self, error: SqlError) -> None:
        """Log and send an error, then close the connection."""
        peer = self.transport.getPeer()
        log.info(
            "callers: %s:%d: connection closed with an error: %s %s",
            peer.host,
            peer.port,
            error.sqlstate,
            error.message,
        )
        self.transport.write(encode_error(error))
        self._close()

    def _close(self) -> None:
        """Close the connection after giving the caller time to read."""
        if self.phase is Phase.CLOSING:
            return
        self.phase = Phase.CLOSING
        self._stop_timer()
        if self.caller is not None:
            self.caller.set_drain_callback(None)
            self.caller.detach()
            self.transport.unregisterProducer()
        self._resume_input()
        if not self._is_tls and hasattr(self.transport, "loseWriteConnection"):
            self.transport.loseWriteConnection()
        else:
            self.transport.loseConnection()
        self._timer = self.factory.reactor.callLater(
            LINGER_TIMEOUT, self._close_lingering
        )

    def _close_lingering(self) -> None:
        """Close a connection that the caller has not closed in time."""
        self.transport.loseConnection()
        # Unsent data has the same time limit as any response.
        self._timer = self.factory.reactor.callLater(
            STALL_TIMEOUT, self.transport.abortConnection
        )

    def _time_out_logon(self) -> None:
        """Close a connection whose log-on has taken too long."""
        self._timer = None
        self._refuse(make_fatal_error(PROTOCOL_VIOLATION, "timeout during log-on"))

    def _stop_timer(self) -> None:
        """Cancel the active timer, if any."""
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _drop_session(self) -> None:
        """Release the state kept for the caller."""
        if self._cancel_key is not None:
            self.factory.revoke_cancel_key(self._cancel_key)
            self.factory.handler.drop_session(self.caller)
        self.factory.remove(self)
