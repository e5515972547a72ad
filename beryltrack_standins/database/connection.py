"""The PostgreSQL protocol on one connection of a stand-in database.

Messages are taken from the received bytes one at a time, each after the one before
is answered, so that pipelined requests wait here and not in the session.
"""

import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

import scramp
from pygwire import BackendConnection, PygwireError, messages
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater
from twisted.python.failure import Failure
from zope.interface import implementer

from beryltrack_standins.database import errors, values
from beryltrack_standins.database.control_calls import format_position
from beryltrack_standins.database.dialect import Statement, parse_statements
from beryltrack_standins.database.engine import SERVER_VERSION, Value
from beryltrack_standins.database.errors import SqlError
from beryltrack_standins.database.session import Session
from beryltrack_standins.database.tables import Answer, format_tag

POSITION_PARAMETER = "beryltrack.position"
MECHANISM = "SCRAM-SHA-256"
_CHUNK_ROWS = 64
_PARAMETERS = (
    ("server_version", SERVER_VERSION),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
)

log = logging.getLogger(__name__)


class Portal:
    """A bound statement, and its answer once it has run."""

    def __init__(
        self,
        statement: Statement | None,
        parameters: Sequence[Value],
        formats: Sequence[int],
    ):
        self.statement = statement
        self.parameters = parameters
        self.formats = formats
        self.answer: Answer | None = None
        self.rows = iter(())
        self.sent = 0


class Prepared(NamedTuple):
    """A prepared statement.

    Parameters
    ----------
    statement : Statement or None
        The statement; None for an empty text.
    oids : tuple of int
        The types of its parameters, as far as they were named.
    """

    statement: Statement | None
    oids: tuple[int, ...]


@implementer(IPushProducer)
class DatabaseConnection(Protocol):
    """One connection.

    Parameters
    ----------
    server : DatabaseServer
        The server that accepted it.
    key : CancelKey
        What a cancel request has to name.
    """

    def __init__(self, server, key):
        self.key = key
        self.is_control = False
        self.is_counted = False
        self._server = server
        self._wire = BackendConnection()
        self._inbox = bytearray()
        self._outbox: list[bytes] = []
        self._busy = False
        self._closed = False
        self._skipping = False
        self._resumed: Deferred[None] | None = None
        self._session: Session | None = None
        self._scram: scramp.core.ScramServer | None = None
        self._user = ""
        self._position = ""
        self._prepared: dict[str, Prepared] = {}
        self._portals: dict[str, Portal] = {}
        self._handlers: dict[type, Callable[..., Awaitable[None]]] = {
            messages.SSLRequest: self._on_ssl_request,
            messages.GSSEncRequest: self._on_gss_request,
            messages.CancelRequest: self._on_cancel_request,
            messages.StartupMessage: self._on_startup,
            messages.SASLInitialResponse: self._on_sasl_initial,
            messages.SASLResponse: self._on_sasl_response,
            messages.Query: self._on_query,
            messages.Parse: self._on_parse,
            messages.Bind: self._on_bind,
            messages.Describe: self._on_describe,
            messages.Execute: self._on_execute,
            messages.Close: self._on_close,
            messages.Sync: self._on_sync,
            messages.Flush: self._on_flush,
            messages.Terminate: self._on_terminate,
        }

    def connectionMade(self) -> None:
        """Start to serve a client."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._server.add(self)

    def connectionLost(self, reason: Failure) -> None:
        """Undo what the client left open."""
        self._closed = True
        self.resumeProducing()
        if self._session is not None:
            self._session.close()
        self._server.remove(self)

    def dataReceived(self, data: bytes) -> None:
        """Take bytes, and answer the messages in them in turn."""
        self._inbox += data
        self.pump()

    def pauseProducing(self) -> None:
        """Hold back rows until the client has read more."""
        if self._resumed is None:
            self._resumed = Deferred()

    def resumeProducing(self) -> None:
        """Go on sending rows."""
        resumed, self._resumed = self._resumed, None
        if resumed is not None:
            resumed.callback(None)

    def stopProducing(self) -> None:
        """Send no more rows; the connection is lost."""

    def cancel(self) -> None:
        """Cancel the running statement."""
        if self._session is not None:
            self._session.cancel()

    def abort(self) -> None:
        """Cut the connection at once."""
        self.transport.unregisterProducer()
        self.transport.abortConnection()

    def pump(self) -> None:
        """Answer the messages that wait, unless one is being answered."""
        if self._busy or self._closed or self._server.database.frozen:
            return
        self._busy = True
        Deferred.fromCoroutine(self._answer_messages()).addErrback(self._on_fault)

    def flush(self) -> None:
        """Send what was written, unless the database is frozen."""
        if self._outbox and not self._server.database.frozen and not self._closed:
            self.transport.writeSequence(self._outbox)
            self._outbox.clear()

    async def _answer_messages(self) -> None:
        """Answer messages until none is whole."""
        try:
            while (message := self._read_message()) is not None:
                await self._handlers[type(message)](message)
                self.flush()
        except CancelledError:
            if not self._closed:
                raise
        finally:
            self._busy = False

    def _read_message(self) -> messages.PGMessage | None:
        """Return the next whole message, or None."""
        if self._closed or self._server.database.frozen:
            return None
        data = bytes(self._inbox)
        self._inbox.clear()
        return next(self._wire.receive(data), None)

    def _on_fault(self, failure: Failure) -> None:
        """Answer a violation of the protocol, or a fault of ours, and close."""
        state = errors.INTERNAL_ERROR
        if failure.check(PygwireError, KeyError):
            state = errors.PROTOCOL_VIOLATION
        log.error("database: closed a connection: %s", failure.getTraceback())
        self._close_with(SqlError(state, failure.getErrorMessage()))

    def _send(self, message: messages.PGMessage) -> None:
        """Write a message that changes the phase of the connection."""
        self._outbox.append(self._wire.send(message))

    def _write(self, message: messages.PGMessage) -> None:
        """Write a message within a phase, without asking the state machine."""
        self._outbox.append(message.to_wire())

    def _write_error(self, error: SqlError, severity: str = "ERROR") -> None:
        """Write an error."""
        fields = {
            "S": severity,
            "V": severity,
            "C": error.sqlstate,
            "M": error.message,
        }
        self._write(messages.ErrorResponse(fields))

    def _close_with(self, error: SqlError) -> None:
        """Answer an error and close the connection."""
        if self._closed:
            return
        self._write_error(error, "FATAL")
        self.flush()
        self._closed = True
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    async def _on_ssl_request(self, message: messages.SSLRequest) -> None:
        self._send(messages.SSLResponse(accepted=False))

    async def _on_gss_request(self, message: messages.GSSEncRequest) -> None:
        self._send(messages.GSSResponse(accepted=False))

    async def _on_cancel_request(self, message: messages.CancelRequest) -> None:
        self._server.cancel(message.process_id, message.secret_key)
        self.abort()

    async def _on_startup(self, message: messages.StartupMessage) -> None:
        options = self._server.options
        if options.connect_delay:
            await deferLater(self._server.clock, options.connect_delay)
        if self._closed:
            return
        application = message.params.get("application_name", "")
        self.is_control = application == self._server.CONTROL_APPLICATION
        self._user = message.params.get("user", "")
        if not self._server.count(self):
            text = f"too many connections, at most {options.max_connections}"
            return self._close_with(SqlError(errors.TOO_MANY_CONNECTIONS, text))
        if options.users is None:
            return self._finish_startup()
        self._scram = self._server.make_scram_server()
        self._send(messages.AuthenticationSASL(mechanisms=[MECHANISM]))

    async def _on_sasl_initial(self, message: messages.SASLInitialResponse) -> None:
        try:
            self._scram.set_client_first(self._name_user(message.data.decode()))
        except (scramp.ScramException, UnicodeDecodeError) as error:
            return self._refuse_password(error)
        first = self._scram.get_server_first().encode()
        self._send(messages.AuthenticationSASLContinue(data=first))

    async def _on_sasl_response(self, message: messages.SASLResponse) -> None:
        try:
            self._scram.set_client_final(message.data.decode())
        except (scramp.ScramException, UnicodeDecodeError) as error:
            return self._refuse_password(error)
        final = self._scram.get_server_final().encode()
        self._send(messages.AuthenticationSASLFinal(data=final))
        self._finish_startup()

    def _name_user(self, client_first: str) -> str:
        """Fill in the user, which PostgreSQL takes from the start-up message."""
        return client_first.replace("n=,", f"n={self._user},", 1)

    def _refuse_password(self, error: Exception) -> None:
        """Close because the password is wrong."""
        text = f"password authentication failed: {error}"
        self._close_with(SqlError(errors.BAD_PASSWORD, text))

    def _finish_startup(self) -> None:
        """Tell the client that it may ask."""
        self._session = self._server.make_session()
        self._send(messages.AuthenticationOk())
        for name, value in _PARAMETERS:
            self._write(messages.ParameterStatus(name, value))
        key = messages.BackendKeyData(self.key.process_id, self.key.secret)
        self._write(key)
        self._send_ready()

    def _send_ready(self) -> None:
        """Tell the applied position if it is new, then that all is answered."""
        position = format_position(self._server.database.log.applied)
        if position != self._position:
            self._position = position
            self._write(messages.ParameterStatus(POSITION_PARAMETER, position))
        self._send(messages.ReadyForQuery(self._session.status))

    def _fail(self, error: Exception) -> None:
        """Answer a failed statement."""
        if isinstance(error, CancelledError):
            error = SqlError(errors.QUERY_CANCELED, "canceled on the client's request")
        self._session.fail()
        self._write_error(error)

    async def _on_query(self, message: messages.Query) -> None:
        try:
            statements = parse_statements(message.query_string)
            if not statements:
                self._write(messages.EmptyQueryResponse())
            for statement in statements:
                answer = await self._session.run(statement, ())
                await self._send_answer(answer)
            self._session.finish_implicit()
        except (SqlError, CancelledError) as error:
            if self._closed:
                return
            self._fail(error)
        self._send_ready()

    async def _send_answer(self, answer: Answer) -> None:
        """Send the answer to a simple query."""
        if answer.columns is not None:
            self._write(_describe_columns(answer, ()))
        sent = await self._send_rows(answer, iter(answer.rows), (), None)
        self._write(messages.CommandComplete(format_tag(answer, sent)))

    async def _send_rows(
        self, answer: Answer, rows, formats: Sequence[int], limit: int | None
    ) -> int:
        """Send rows as fast as the client reads them; return how many."""
        sent = 0
        while sent != limit and not self._closed:
            row = _read_row(rows)
            if row is None:
                break
            data = values.encode_row(row, answer.oids, formats)
            self._write(messages.DataRow(data))
            sent += 1
            if sent % _CHUNK_ROWS == 0:
                self.flush()
                while self._resumed is not None and not self._closed:
                    await self._resumed
        return sent

    async def _on_parse(self, message: messages.Parse) -> None:
        if self._skipping:
            return
        try:
            statements = parse_statements(message.query)
            if len(statements) > 1:
                text = "cannot insert multiple commands into a prepared statement"
                raise SqlError(errors.SYNTAX_ERROR, text)
        except SqlError as error:
            return self._skip(error)
        statement = statements[0] if statements else None
        self._prepared[message.statement] = Prepared(
            statement, tuple(message.param_types)
        )
        self._write(messages.ParseComplete())

    async def _on_bind(self, message: messages.Bind) -> None:
        if self._skipping:
            return
        try:
            prepared = self._get_prepared(message.statement)
            parameters = _decode_parameters(message, prepared.oids)
        except SqlError as error:
            return self._skip(error)
        self._portals[message.portal] = Portal(
            prepared.statement, parameters, message.result_formats
        )
        self._write(messages.BindComplete())

    async def _on_describe(self, message: messages.Describe) -> None:
        if self._skipping:
            return
        try:
            if message.kind == "S":
                self._describe_statement(self._get_prepared(message.name))
            else:
                await self._describe_portal(self._get_portal(message.name))
        except (SqlError, CancelledError) as error:
            self._skip(error)

    def _describe_statement(self, prepared: Prepared) -> None:
        """Describe a statement that has not run; its columns are told as text."""
        statement = prepared.statement
        count = 0 if statement is None else statement.parameters
        oids = [oid or values.TEXT_OID for oid in prepared.oids]
        oids += [values.TEXT_OID] * (count - len(oids))
        self._write(messages.ParameterDescription(oids))
        columns = self._session.get_columns(statement)
        if columns is None:
            self._write(messages.NoData())
        else:
            answer = Answer("", None, columns, (values.TEXT_OID,) * len(columns))
            self._write(_describe_columns(answer, ()))

    async def _describe_portal(self, portal: Portal) -> None:
        """Run a portal that has rows, and describe them as they are."""
        if portal.statement is None or not portal.statement.returns_rows:
            self._write(messages.NoData())
            return
        await self._run_portal(portal)
        self._write(_describe_columns(portal.answer, portal.formats))

    async def _run_portal(self, portal: Portal) -> None:
        """Run a portal's statement once."""
        if portal.answer is None:
            portal.answer = await self._session.run(portal.statement, portal.parameters)
            portal.rows = iter(portal.answer.rows)

    async def _on_execute(self, message: messages.Execute) -> None:
        if self._skipping:
            return
        try:
            portal = self._get_portal(message.portal)
            if portal.statement is None:
                self._write(messages.EmptyQueryResponse())
                return
            await self._run_portal(portal)
            limit = message.max_rows or None
            sent = await self._send_rows(
                portal.answer, portal.rows, portal.formats, limit
            )
        except (SqlError, CancelledError) as error:
            return self._skip(error)
        portal.sent += sent
        if limit is not None and sent == limit:
            self._write(messages.PortalSuspended())
        else:
            tag = format_tag(portal.answer, portal.sent)
            self._write(messages.CommandComplete(tag))

    async def _on_close(self, message: messages.Close) -> None:
        if self._skipping:
            return
        known = self._prepared if message.kind == "S" else self._portals
        known.pop(message.name, None)
        self._write(messages.CloseComplete())

    async def _on_sync(self, message: messages.Sync) -> None:
        try:
            if not self._skipping:
                self._session.finish_implicit()
        except SqlError as error:
            self._fail(error)
        self._skipping = False
        self._send_ready()

    async def _on_flush(self, message: messages.Flush) -> None:
        self.flush()

    async def _on_terminate(self, message: messages.Terminate) -> None:
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def _skip(self, error: Exception) -> None:
        """Answer an error and ignore messages until the next Sync."""
        if self._closed:
            return
        self._skipping = True
        self._fail(error)

    def _get_prepared(self, name: str) -> Prepared:
        """Return a prepared statement, or raise SqlError (26000)."""
        if name not in self._prepared:
            text = f'prepared statement "{name}" does not exist'
            raise SqlError(errors.UNDEFINED_PREPARED, text)
        return self._prepared[name]

    def _get_portal(self, name: str) -> Portal:
        """Return a portal, or raise SqlError (34000)."""
        if name not in self._portals:
            raise SqlError(errors.UNDEFINED_PORTAL, f'portal "{name}" does not exist')
        return self._portals[name]


def _read_row(rows) -> Sequence[Value] | None:
    """Return the next row, or None after the last one."""
    try:
        return next(rows, None)
    except errors.SQLITE_ERRORS as error:
        raise errors.get_sql_error(error) from error


def _describe_columns(
    answer: Answer, formats: Sequence[int]
) -> messages.RowDescription:
    """Return the description of an answer's columns."""
    if len(formats) != len(answer.columns):
        formats = [formats[0] if formats else 0] * len(answer.columns)
    return messages.RowDescription(
        [
            messages.FieldDescription(
                name=name,
                type_oid=oid,
                type_size=-1,
                type_modifier=-1,
                format_code=format_code,
            )
            for name, oid, format_code in zip(
                answer.columns, answer.oids, formats, strict=True
            )
        ]
    )


def _decode_parameters(
    message: messages.Bind, oids: Sequence[int]
) -> tuple[Value, ...]:
    """Return the parameters of a Bind message."""
    count = len(message.param_values)
    formats = message.param_formats
    if len(formats) != count:
        formats = [formats[0] if formats else 0] * count
    types = [*oids, *[0] * (count - len(oids))]
    return tuple(
        values.decode_parameter(data, oid, bool(is_binary))
        for data, oid, is_binary in zip(
            message.param_values, types, formats, strict=True
        )
    )
