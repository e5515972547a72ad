"""The caller's connection: start-up, log-on, and units one at a time.

Whatever goes wrong on one connection ends that connection with an error and a
line in the log, and touches no other.
"""

import logging
from enum import Enum, auto

from pygwire.exceptions import ProtocolError
from twisted.internet.defer import Deferred, fail
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from beryltrack.callers.caller import (
    STALL_LIMIT,
    Caller,
    CallerIdentity,
    encode_error,
)
from beryltrack.callers.limits import FLUSH_WAIT, INPUT_LIMIT, LINGER
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

FLUSH_TEXT = "Flush after Bind is not supported outside of a transaction; send Sync"


class Phase(Enum):
    """Where a connection stands."""

    LOGON = auto()
    READY = auto()
    RUNNING = auto()
    CLOSING = auto()


class CallerProtocol(Protocol):
    """One connection of a caller; made by `CallerFactory`.

    Parameters
    ----------
    factory : CallerFactory
        Holds what the connections share.
    """

    def __init__(self, factory):
        self.factory = factory
        self.caller: Caller | None = None
        self.phase = Phase.LOGON
        self._logon: CallerLogon | None = factory.make_logon()
        self._reader = RequestReader(factory.options.unit_limit)
        self._key: int | None = None
        self._paused = False
        self._timer = None
        self._tls = False
        self._lost = False

    def connectionMade(self) -> None:  # noqa: N802
        """Count the time for the log-on."""
        tune_socket(self.transport)
        self._timer = self.factory.reactor.callLater(
            self.factory.options.startup_timeout, self._time_out
        )
        self.factory.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes of the caller."""
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
        """Give up the caller; a unit that runs ends first."""
        self._lost = True
        self._stop_timer()
        running = self.phase is Phase.RUNNING
        self.phase = Phase.CLOSING
        if self.caller is not None:
            self.caller.disconnect()
        if not running:
            self._forget()

    def leave(self) -> None:
        """End the connection as soon as no transaction is open on it."""
        if self.phase is Phase.LOGON:
            text = "the proxy is shutting down"
            self._refuse(make_fatal_error(CANNOT_CONNECT_NOW, text))
        else:
            self._continue()

    def _end_idle(self) -> None:
        """End the connection of an idle caller."""
        text = "terminating connection due to administrator command"
        self._refuse(make_fatal_error(ADMIN_SHUTDOWN, text))

    def _receive_logon(self, data: bytes) -> None:
        """Take bytes of the log-on."""
        for step in self._logon.feed(data):
            self._take_step(step)
            if self.phase is Phase.CLOSING:
                return
            if self.phase is Phase.READY:
                rest = self._logon.take_undecoded()
                self._logon = None
                self._receive_requests(rest)
                return

    def _take_step(self, step: LogonStep) -> None:
        """Carry out one step of the log-on."""
        match step:
            case SendBytes(wire=wire):
                self.transport.write(wire)
            case StartTls(wire=wire):
                self.transport.write(wire)
                self._tls = True
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
        """Let the caller in, if the proxy and the handler agree."""
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
        self._key, secret = self.factory.register(self.caller)
        parameters = self.factory.get_parameters(request)
        welcome = self._logon.encode_welcome(parameters, self._key, secret)
        self.transport.write(welcome)
        self.transport.registerProducer(self.caller, True)
        self.caller.set_drain_callback(self._continue)
        self.phase = Phase.READY

    def _make_caller(self, request: StartupRequest) -> None:
        """Make what the handler sees of the connection."""
        peer = self.transport.getPeer()
        identity = CallerIdentity(
            request.user, request.database, f"{peer.host}:{peer.port}"
        )
        self.caller = Caller(
            self.factory.reactor, self.transport, identity, request.settings
        )

    def _receive_requests(self, data: bytes) -> None:
        """Take bytes of a logged-on caller."""
        self._reader.feed(data)
        if self.phase is Phase.READY:
            self._run_units()
        if self._reader.buffered > INPUT_LIMIT and self._is_waiting():
            self._paused = True
            self.transport.pauseProducing()

    def _is_waiting(self) -> bool:
        """Return whether input is kept though it could still be read."""
        if self._paused or self.phase is Phase.CLOSING:
            return False
        return self.phase is Phase.RUNNING or self.caller.is_full

    def _run_units(self) -> None:
        """Give out units until one has to be waited for."""
        # A caller that does not read its answers gets no further ones.
        while self.phase is Phase.READY and not self.caller.is_full:
            unit = self._reader.read_unit()
            unit = self._take_flushed() if unit is None else unit
            if unit is None:
                self._wait_for_input()
                break
            self._run_unit(unit)

    def _wait_for_input(self) -> None:
        """Read on, or end the connection if the proxy leaves."""
        self._resume()
        if self.caller.in_transaction:
            self._limit_idle_time()
        elif self.factory.leaving:
            self._end_idle()

    def _limit_idle_time(self) -> None:
        """Count the time that an open transaction holds a target for nothing."""
        if self._timer is None:
            limit = self.factory.options.transaction_idle_limit
            self._timer = self.factory.reactor.callLater(limit, self._end_transaction)

    def _end_transaction(self) -> None:
        """End the connection of a caller that leaves its transaction alone."""
        self._timer = None
        text = "terminating connection due to idle-in-transaction timeout"
        self._refuse(make_fatal_error(IDLE_IN_TRANSACTION_SESSION_TIMEOUT, text))

    def _run_unit(self, unit: Unit) -> None:
        """Give out one unit."""
        caller = self.caller
        match unit:
            case TerminateRequest():
                self._close()
            case RefusedRequest(message=message):
                caller.send_error(make_unsupported_error(message))
                caller.send_ready(caller.status)
            case ExtendedRequest(messages=(_,)):
                # A Sync alone asks for nothing but the ReadyForQuery.
                caller.send_ready(caller.status)
            case _:
                if isinstance(unit, ExtendedRequest) and unit.is_flushed:
                    caller.begin_flushed()
                self._stop_timer()
                self.phase = Phase.RUNNING
                caller.arrived_at = self.factory.reactor.seconds()
                running = self._handle(unit)
                running.addCallbacks(self._end_unit, self._fail_unit)

    def _take_flushed(self) -> ExtendedRequest | None:
        """Return an unfinished batch whose answers the caller waits for."""
        if not self._reader.is_flush_pending:
            return None
        if self.caller.in_transaction or not self._reader.has_portals:
            return self._reader.end_batch(True)
        # Portals end with their batch outside of a transaction. Many drivers
        # send the rest without waiting for answers to the Flush.
        if self._timer is None:
            call_later = self.factory.reactor.callLater
            self._timer = call_later(FLUSH_WAIT, self._refuse_flush)
        return None

    def _refuse_flush(self) -> None:
        """Refuse a batch whose caller waits for answers that need its portals."""
        self._timer = None
        if self.phase is Phase.READY and self._reader.is_flush_pending:
            self.caller.send_error(make_unsupported_error(FLUSH_TEXT))
            self._reader.drop_batch()

    def _handle(self, unit: Request) -> "Deferred[None]":
        """Let the handler run a unit."""
        try:
            return self.factory.handler.handle(unit, self.caller)
        except Exception:
            return fail()

    def _end_unit(self, _: object) -> None:
        """Go on after a unit."""
        try:
            self._go_on()
        except Exception:
            log.exception("callers: connection failed")
            self.transport.abortConnection()

    def _go_on(self) -> None:
        """Take the next unit, if there is one."""
        self.caller.set_cancel_callback(None)
        if self.caller.end_flushed():
            self._reader.skip_to_sync()
        if self._lost:
            self._forget()
            return
        if self.phase is not Phase.RUNNING:
            return
        self.phase = Phase.READY
        # Each unit ends in a turn of the reactor of its own, so that a caller
        # with much buffered input neither starves others nor nests calls.
        if self._reader.buffered:
            self.factory.reactor.callLater(0, self._continue)
        else:
            self._wait_for_input()

    def _continue(self) -> None:
        """Give out buffered units, unless that has been done meanwhile."""
        if self.phase is not Phase.READY or self._lost:
            return
        try:
            self._run_units()
        except ProtocolError as error:
            self._refuse(make_fatal_error(PROTOCOL_VIOLATION, str(error)))

    def _fail_unit(self, failure: Failure) -> None:
        """End the connection after a fault of the handler."""
        log.error("callers: request failed: %s", failure.getTraceback())
        self.caller.set_cancel_callback(None)
        if self._lost:
            self._forget()
        else:
            self.phase = Phase.READY
            self._refuse(
                make_fatal_error(
                    INTERNAL_ERROR,
                    "internal error of the proxy",
                    "The request may have been run.",
                )
            )

    def _resume(self) -> None:
        """Read from the caller again."""
        if self._paused:
            self._paused = False
            self.transport.resumeProducing()

    def _refuse(self, error: SqlError) -> None:
        """End the connection with an error."""
        peer = self.transport.getPeer()
        log.info(
            "callers: %s:%d: closed: %s %s",
            peer.host,
            peer.port,
            error.sqlstate,
            error.message,
        )
        self.transport.write(encode_error(error))
        self._close()

    def _close(self) -> None:
        """End the connection; the caller has some time to read what was sent."""
        if self.phase is Phase.CLOSING:
            return
        self.phase = Phase.CLOSING
        self._stop_timer()
        if self.caller is not None:
            self.caller.set_drain_callback(None)
            self.caller.detach()
            self.transport.unregisterProducer()
        self._resume()
        if not self._tls and hasattr(self.transport, "loseWriteConnection"):
            self.transport.loseWriteConnection()
        else:
            self.transport.loseConnection()
        self._timer = self.factory.reactor.callLater(LINGER, self._end_linger)

    def _end_linger(self) -> None:
        """Close a connection that the caller has left open."""
        self.transport.loseConnection()
        # What is still to be sent may take as long as any answer may.
        self._timer = self.factory.reactor.callLater(
            STALL_LIMIT, self.transport.abortConnection
        )

    def _time_out(self) -> None:
        """End a connection that does not log on."""
        self._timer = None
        self._refuse(make_fatal_error(PROTOCOL_VIOLATION, "timeout during log-on"))

    def _stop_timer(self) -> None:
        """Stop the timer that runs."""
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _forget(self) -> None:
        """Give up all that is kept for the caller."""
        if self._key is not None:
            self.factory.unregister(self._key)
            self.factory.handler.drop_session(self.caller)
        self.factory.remove(self)
