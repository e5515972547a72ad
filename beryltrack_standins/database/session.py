"""One client's session: its transaction state and the execution of its statements.

A write transaction takes the database's write lock at its first write. Statements wait
for a slot, take the service time and then run on the copy that they have to see.
"""

import itertools
import sqlite3
from collections.abc import Sequence
from typing import NamedTuple

from pygwire import TransactionStatus
from twisted.internet.defer import CancelledError, Deferred, DeferredSemaphore
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from beryltrack_standins.database.control_calls import call_control
from beryltrack_standins.database.database import (
    Database,
    WriteTransaction,
    get_wall_time,
)
from beryltrack_standins.database.dialect import Statement, StatementKind
from beryltrack_standins.database.engine import (
    SERVER_VERSION,
    LoggedStatement,
    SqlCopy,
    Value,
)
from beryltrack_standins.database.errors import (
    FAILED_TRANSACTION,
    LOCK_TIMEOUT,
    READ_ONLY,
    SqlError,
    get_sql_error,
)
from beryltrack_standins.database.tables import Answer, Table
from beryltrack_standins.database.values import get_column_oids

# Number of first rows from which column types are inferred.
FIRST_ROWS = 256
# Seconds between two checks of whether a frozen database may continue.
FROZEN_INTERVAL = 0.005

_RETURNING_KINDS = (StatementKind.READ, StatementKind.LOCK)


class SessionLimits(NamedTuple):
    """Limits shared by a database's sessions.

    Parameters
    ----------
    slots : DeferredSemaphore
        Slots for concurrent statements.
    service_time : float
        Seconds for which each statement holds its slot.
    lock_timeout : float
        The longest wait for the open write transaction, seconds.
    """

    slots: DeferredSemaphore
    service_time: float
    lock_timeout: float


class Session:
    """The transaction state of one connection.

    Parameters
    ----------
    clock : IReactorTime
        Source of time and delayed calls.
    database : Database
        The database.
    limits : SessionLimits
        Limits shared by the database's sessions.
    """

    def __init__(self, clock: IReactorTime, database: Database, limits: SessionLimits):
        self.parameters = {
            "server_version": SERVER_VERSION,
            "transaction_isolation": "read committed",
        }
        self._clock = clock
        self._database = database
        self._limits = limits
        self._in_block = False
        self._read_only = False
        self._failed = False
        self._closed = False
        self._has_savepoint = False
        self._transaction: WriteTransaction | None = None
        self._waiting: Deferred | None = None

    @property
    def status(self) -> TransactionStatus:
        """The transaction status for ReadyForQuery."""
        if self._failed:
            return TransactionStatus.ERROR_TRANSACTION
        if self._in_block:
            return TransactionStatus.IN_TRANSACTION
        return TransactionStatus.IDLE

    def cancel(self) -> None:
        """Cancel the running statement if it is waiting."""
        if self._waiting is not None:
            self._waiting.cancel()

    def close(self) -> None:
        """Roll back the open transaction of a client that disconnected."""
        self._closed = True
        self.cancel()
        self._end()

    async def run(self, statement: Statement, parameters: Sequence[Value]) -> Answer:
        """Run one statement.

        Parameters
        ----------
        statement : Statement
            The statement.
        parameters : sequence of Value
            Its parameters, ``$1`` first.

        Returns
        -------
        Answer
            The answer; its rows are read when they are sent.

        Raises
        ------
        SqlError
            If the statement fails.
        CancelledError
            If it was cancelled while it waited.
        """
        match statement.kind:
            case StatementKind.COMMIT if not self._failed:
                self.commit()
                return Answer(statement.tag, None)
            case StatementKind.COMMIT | StatementKind.ROLLBACK:
                self._end()
                return Answer("ROLLBACK", None)
            case StatementKind.SAVEPOINT:
                return await self._run_savepoint(statement)
        if self._failed:
            raise SqlError(
                FAILED_TRANSACTION, "the transaction has failed: roll it back first"
            )
        match statement.kind:
            case StatementKind.BEGIN | StatementKind.BEGIN_READ_ONLY:
                self._in_block = True
                self._read_only = statement.kind is StatementKind.BEGIN_READ_ONLY
                return Answer("BEGIN", None)
            case StatementKind.SET:
                return self._run_set(statement)
            case StatementKind.SHOW:
                return self._run_show(statement)
            case StatementKind.CONTROL:
                call = call_control(self._database, statement.text)
                table = await self._wait(Deferred.fromCoroutine(call))
                await self._wait_unfrozen()
                return _answer_table(table)
        return await self._run_sql(statement, parameters)

    def get_columns(self, statement: Statement | None) -> tuple[str, ...] | None:
        """Return the columns of a statement that has not run; None for no rows.

        Raises
        ------
        SqlError
            If the statement cannot be run.
        """
        if statement is None or not statement.returns_rows:
            return None
        if statement.kind not in _RETURNING_KINDS:
            return ("?column?",)
        nothing = (None,) * statement.parameters
        logged = LoggedStatement(statement.text, nothing, get_wall_time())
        copy = self._database.reader
        return _run_on_copy(copy, statement, logged).columns

    def commit(self) -> None:
        """Commit the open transaction.

        Raises
        ------
        SqlError
            25006 if the database is not the primary any more; nothing was written.
        """
        transaction, self._transaction = self._transaction, None
        self._end()
        if transaction is not None:
            transaction.commit()

    def finish_implicit(self) -> None:
        """Commit the implicit transaction, if no transaction block is open."""
        if not self._in_block:
            self.commit()

    def fail(self) -> None:
        """Mark the transaction block failed; end an implicit transaction."""
        if not self._in_block:
            self._end()
            return
        self._failed = True
        if not self._has_savepoint:
            self._roll_back_transaction()

    async def _run_sql(
        self, statement: Statement, parameters: Sequence[Value]
    ) -> Answer:
        """Run a statement in a slot, on the copy that it has to see."""
        if statement.kind is not StatementKind.READ:
            await self._begin_writing()
        logged = LoggedStatement(statement.text, tuple(parameters), get_wall_time())
        await self._wait(self._limits.slots.acquire())
        try:
            await self._sleep(statement, parameters)
            await self._wait_unfrozen()
            return self._execute(statement, logged)
        finally:
            self._limits.slots.release()

    def _execute(self, statement: Statement, logged: LoggedStatement) -> Answer:
        """Run a statement now, and record it for the log if it is a write."""
        transaction = self._transaction
        if transaction is not None:
            transaction.check()
        copy = self._database.reader if transaction is None else transaction.copy
        answer = _run_on_copy(copy, statement, logged)
        if transaction is not None and statement.kind not in _RETURNING_KINDS:
            transaction.record(logged)
        return answer

    async def _run_savepoint(self, statement: Statement) -> Answer:
        """Run SAVEPOINT, RELEASE or ROLLBACK TO."""
        if self._failed and not self._has_savepoint:
            raise SqlError(FAILED_TRANSACTION, "the transaction has failed")
        if self._failed and statement.tag != "ROLLBACK":
            raise SqlError(FAILED_TRANSACTION, "the transaction has failed")
        # A savepoint without writes has nothing to undo.
        if self._read_only or not self._database.log.can_write():
            return Answer(statement.tag, None)
        self._has_savepoint = True
        self._failed = False
        return await self._run_sql(statement, ())

    async def _begin_writing(self) -> None:
        """Begin the write transaction once the write lock is acquired."""
        if self._read_only or not self._database.log.can_write():
            raise SqlError(READ_ONLY, f"{self._database.name} takes no writes now")
        if self._transaction is not None:
            return
        timeout = self._limits.lock_timeout
        acquired = self._database.write_lock.acquire()
        acquired.addTimeout(timeout, self._clock, _raise_lock_timeout)
        await self._wait(acquired)
        try:
            self._transaction = WriteTransaction(self._database)
        finally:
            if self._transaction is None:
                self._database.write_lock.release()

    async def _sleep(self, statement: Statement, parameters: Sequence[Value]) -> None:
        """Wait for the service time and the seconds of ``pg_sleep``."""
        seconds = self._limits.service_time
        if statement.sleep.startswith("$"):
            seconds += float(parameters[int(statement.sleep[1:]) - 1] or 0.0)
        elif statement.sleep:
            seconds += float(statement.sleep)
        if seconds:
            await self._wait(deferLater(self._clock, seconds))

    async def _wait(self, deferred: Deferred) -> object:
        """Wait for a Deferred, which `cancel` can cancel."""
        self._waiting = deferred
        try:
            return await deferred
        finally:
            self._waiting = None

    async def _wait_unfrozen(self) -> None:
        """Wait while the database is frozen.

        Raises
        ------
        CancelledError
            If the client disconnected meanwhile.
        """
        while self._database.frozen and not self._closed:
            await deferLater(self._clock, FROZEN_INTERVAL)
        if self._closed:
            raise CancelledError

    def _run_set(self, statement: Statement) -> Answer:
        """Accept SET, RESET, DISCARD and similar statements."""
        keywords = statement.text.replace("=", " ").split()
        if statement.tag == "SET" and len(keywords) >= 3:
            is_scoped = (
                keywords[1].upper() in ("SESSION", "LOCAL") and len(keywords) > 3
            )
            name, value = keywords[1 + is_scoped], keywords[-1]
            self.parameters[name.lower()] = value.strip("'")
        if "TRANSACTION" in statement.text.upper():
            self._read_only |= "READ ONLY" in statement.text.upper()
        return Answer(statement.tag, None)

    def _run_show(self, statement: Statement) -> Answer:
        """Answer SHOW with a parameter of the session."""
        name = "_".join(statement.text.lower().split()[1:])
        value = self.parameters.get(name, "")
        return _answer_table(Table((name,), ((value,),)))._replace(tag="SHOW")

    def _end(self) -> None:
        """Leave the transaction block, and roll back an open write transaction."""
        self._in_block = False
        self._read_only = False
        self._failed = False
        self._has_savepoint = False
        self._roll_back_transaction()

    def _roll_back_transaction(self) -> None:
        """Roll back the open write transaction, if there is one."""
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            transaction.roll_back()


def _raise_lock_timeout(result: object, timeout: float) -> None:
    """Raise the error (55P03) of a wait for the write lock that timed out."""
    raise SqlError(LOCK_TIMEOUT, f"no write lock within {timeout} s")


def _run_on_copy(
    copy: SqlCopy, statement: Statement, logged: LoggedStatement
) -> Answer:
    """Run a statement on a copy, and return its answer."""
    try:
        cursor = copy.run(logged)
        if cursor.description is None:
            return Answer(statement.tag, max(cursor.rowcount, 0))
        is_lazy = statement.kind in _RETURNING_KINDS
        first = cursor.fetchmany(FIRST_ROWS) if is_lazy else cursor.fetchall()
    except sqlite3.Error as error:
        raise get_sql_error(error) from error
    columns = tuple(column[0] for column in cursor.description)
    oids = get_column_oids(first, len(columns))
    # Fewer rows than requested are the complete result, as of one moment.
    is_complete = not is_lazy or len(first) < FIRST_ROWS
    rows = first if is_complete else itertools.chain(first, cursor)
    return Answer(statement.tag, None, columns, oids, rows)


def _answer_table(table: Table) -> Answer:
    """Return the answer that sends a table."""
    oids = get_column_oids(table.rows, len(table.columns))
    return Answer("SELECT", None, table.columns, oids, table.rows)
