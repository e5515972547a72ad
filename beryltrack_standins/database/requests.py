"""Requests of one connection in PostgreSQL's simple and extended query protocols.

After an error in the extended protocol, all messages until the next Sync are skipped.
"""

from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import NamedTuple

from pygwire import messages
from twisted.internet.defer import CancelledError

from beryltrack_standins.database import errors, values
from beryltrack_standins.database.control_calls import format_position
from beryltrack_standins.database.database import Database
from beryltrack_standins.database.dialect import Statement, parse_statements
from beryltrack_standins.database.engine import Value
from beryltrack_standins.database.errors import SqlError
from beryltrack_standins.database.session import Session
from beryltrack_standins.database.tables import Answer, format_tag
from beryltrack_standins.database.writer import MessageWriter

POSITION_PARAMETER = "beryltrack.position"
# Rows sent before the handler waits for a client that reads slowly.
_CHUNK_ROWS = 64

Handler = Callable[[messages.PGMessage], Awaitable[None]]


class Prepared(NamedTuple):
    """A prepared statement.

    Parameters
    ----------
    statement : Statement or None
        The statement; None for an empty text.
    oids : tuple of int
        The types of its parameters that Parse named; zero where it left one open.
    """

    statement: Statement | None
    oids: tuple[int, ...]


class Portal:
    """A bound statement, and its answer once it has run.

    Parameters
    ----------
    statement : Statement or None
        The statement; None for an empty text.
    parameters : sequence of Value
        The bound parameters.
    formats : sequence of int
        The formats of the columns: 0 text, 1 binary.
    """

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
        self.rows: Iterator[Sequence[Value]] = iter(())
        self.sent = 0


class RequestHandler:
    """Answers the requests of one connection.

    Parameters
    ----------
    session : Session
        Runs the statements.
    database : Database
        Source of the applied position.
    writer : MessageWriter
        Sends the answers.
    """

    def __init__(self, session: Session, database: Database, writer: MessageWriter):
        self.handlers: dict[type, Handler] = {
            messages.Query: self._on_query,
            messages.Parse: self._skip_after_error(self._on_parse),
            messages.Bind: self._skip_after_error(self._on_bind),
            messages.Describe: self._skip_after_error(self._on_describe),
            messages.Execute: self._skip_after_error(self._on_execute),
            messages.Close: self._skip_after_error(self._on_close),
            messages.Sync: self._on_sync,
            messages.Flush: self._on_flush,
        }
        self._session = session
        self._database = database
        self._writer = writer
        self._position = ""
        self._is_skipping = False
        self._prepared: dict[str, Prepared] = {}
        self._portals: dict[str, Portal] = {}

    def cancel(self) -> None:
        """Cancel the running statement."""
        self._session.cancel()

    def close(self) -> None:
        """Undo the open transaction."""
        self._session.close()

    def send_ready(self) -> None:
        """Send the applied position if it changed, then ReadyForQuery."""
        position = format_position(self._database.log.applied)
        if position != self._position:
            self._position = position
            self._writer.write(messages.ParameterStatus(POSITION_PARAMETER, position))
        self._writer.send(messages.ReadyForQuery(self._session.status))

    async def _on_query(self, message: messages.Query) -> None:
        try:
            statements = parse_statements(message.query_string)
            if not statements:
                self._writer.write(messages.EmptyQueryResponse())
            for statement in statements:
                await self._run_simple(statement)
            self._session.finish_implicit()
        except (SqlError, CancelledError) as error:
            self._fail(error)
        if not self._writer.closed:
            self.send_ready()

    async def _run_simple(self, statement: Statement) -> None:
        """Run one statement of a simple query and send its answer."""
        answer = await self._session.run(statement, ())
        if answer.columns is not None:
            self._writer.write(_describe_columns(answer, ()))
        sent = await self._send_rows(answer, iter(answer.rows), (), None)
        self._writer.write(messages.CommandComplete(format_tag(answer, sent)))

    async def _on_parse(self, message: messages.Parse) -> None:
        statements = parse_statements(message.query)
        if len(statements) > 1:
            text = "cannot insert multiple commands into a prepared statement"
            raise SqlError(errors.SYNTAX_ERROR, text)
        statement = statements[0] if statements else None
        prepared = Prepared(statement, tuple(message.param_types))
        self._prepared[message.statement] = prepared
        self._writer.write(messages.ParseComplete())

    async def _on_bind(self, message: messages.Bind) -> None:
        prepared = self._get_prepared(message.statement)
        parameters = _decode_parameters(message, prepared.oids)
        portal = Portal(prepared.statement, parameters, message.result_formats)
        self._portals[message.portal] = portal
        self._writer.write(messages.BindComplete())

    async def _on_describe(self, message: messages.Describe) -> None:
        if message.kind == "S":
            self._describe_statement(self._get_prepared(message.name))
        else:
            await self._describe_portal(self._get_portal(message.name))

    def _describe_statement(self, prepared: Prepared) -> None:
        """Describe a statement that has not run; its columns are described as text."""
        statement = prepared.statement
        count = 0 if statement is None else statement.parameters
        oids = [oid or values.TEXT_OID for oid in prepared.oids]
        oids += [values.TEXT_OID] * (count - len(oids))
        self._writer.write(messages.ParameterDescription(oids))
        columns = self._session.get_columns(statement)
        if columns is None:
            self._writer.write(messages.NoData())
            return
        answer = Answer("", None, columns, (values.TEXT_OID,) * len(columns))
        self._writer.write(_describe_columns(answer, ()))

    async def _describe_portal(self, portal: Portal) -> None:
        """Run a portal that returns rows, and describe their actual types."""
        if portal.statement is None or not portal.statement.returns_rows:
            self._writer.write(messages.NoData())
            return
        await self._run_portal(portal)
        self._writer.write(_describe_columns(portal.answer, portal.formats))

    async def _run_portal(self, portal: Portal) -> None:
        """Run a portal's statement unless it has run already."""
        if portal.answer is None:
            portal.answer = await self._session.run(portal.statement, portal.parameters)
            portal.rows = iter(portal.answer.rows)

    async def _on_execute(self, message: messages.Execute) -> None:
        portal = self._get_portal(message.portal)
        if portal.statement is None:
            self._writer.write(messages.EmptyQueryResponse())
            return
        await self._run_portal(portal)
        limit = message.max_rows or None
        sent = await self._send_rows(portal.answer, portal.rows, portal.formats, limit)
        portal.sent += sent
        if sent == limit:
            self._writer.write(messages.PortalSuspended())
            return
        tag = format_tag(portal.answer, portal.sent)
        self._writer.write(messages.CommandComplete(tag))

    async def _on_close(self, message: messages.Close) -> None:
        known = self._prepared if message.kind == "S" else self._portals
        known.pop(message.name, None)
        self._writer.write(messages.CloseComplete())

    async def _on_sync(self, message: messages.Sync) -> None:
        try:
            if not self._is_skipping:
                self._session.finish_implicit()
        except SqlError as error:
            self._fail(error)
        self._is_skipping = False
        self.send_ready()

    async def _on_flush(self, message: messages.Flush) -> None:
        self._writer.flush()

    async def _send_rows(
        self,
        answer: Answer,
        rows: Iterator[Sequence[Value]],
        formats: Sequence[int],
        limit: int | None,
    ) -> int:
        """Send rows as fast as the client reads them, and return their number."""
        sent = 0
        while sent != limit and not self._writer.closed:
            row = _read_row(rows)
            if row is None:
                break
            data = values.encode_row(row, answer.oids, formats)
            self._writer.write(messages.DataRow(data))
            sent += 1
            if sent % _CHUNK_ROWS == 0:
                await self._writer.wait_for_reader()
        return sent

    def _skip_after_error(self, handler: Handler) -> Handler:
        """Wrap a handler so that its errors skip all messages until the next Sync."""

        async def handle(message: messages.PGMessage) -> None:
            if self._is_skipping:
                return
            try:
                await handler(message)
            except (SqlError, CancelledError) as error:
                self._is_skipping = True
                self._fail(error)

        return handle

    def _fail(self, error: SqlError | CancelledError) -> None:
        """Send the error of a failed statement."""
        if isinstance(error, CancelledError):
            error = SqlError(errors.QUERY_CANCELED, "canceled on the client's request")
        self._session.fail()
        self._writer.write_error(error)

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


def _read_row(rows: Iterator[Sequence[Value]]) -> Sequence[Value] | None:
    """Return the next row, or None after the last one."""
    try:
        return next(rows, None)
    except errors.SQLITE_ERRORS as error:
        raise errors.get_sql_error(error) from error


def _describe_columns(
    answer: Answer, formats: Sequence[int]
) -> messages.RowDescription:
    """Return the description of an answer's columns."""
    formats = values.expand_formats(formats, len(answer.columns))
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
    formats = values.expand_formats(message.param_formats, count)
    types = [*oids, *[0] * (count - len(oids))]
    return tuple(
        values.decode_parameter(data, oid, bool(is_binary))
        for data, oid, is_binary in zip(
            message.param_values, types, formats, strict=True
        )
    )
