"""In-memory sqlite3 copies of a database's tables, for statement-based replication.

Replicas run the statements of the log again. The other inputs of a statement (the
time, and random numbers seeded from it) are therefore fixed by its log record.
"""

import datetime
import random
import sqlite3
import uuid
from collections.abc import Sequence
from typing import NamedTuple

SERVER_VERSION = "16.4"
_CACHED_STATEMENTS = 512  # per copy

Value = int | float | str | bytes | None


class LoggedStatement(NamedTuple):
    """A statement as recorded in the log.

    Parameters
    ----------
    text : str
        The text for sqlite3.
    parameters : tuple of Value
        The bound parameters, ``$1`` first.
    at : float
        When the primary ran it, seconds since the epoch.
    """

    text: str
    parameters: tuple[Value, ...]
    at: float


class SqlCopy:
    """One copy of the tables, an in-memory sqlite3 database."""

    def __init__(self):
        self._connection = sqlite3.connect(
            ":memory:",
            isolation_level=None,
            check_same_thread=False,
            cached_statements=_CACHED_STATEMENTS,
        )
        self._at = 0.0
        self._random: random.Random | None = None
        self._add_functions()

    def run(self, statement: LoggedStatement) -> sqlite3.Cursor:
        """Run one statement and return its cursor.

        Raises
        ------
        sqlite3.Error
            If the statement fails.
        """
        self._at = statement.at
        self._random = None
        if not statement.parameters:
            return self._connection.execute(statement.text)
        # sqlite3 knows the parameter $1 by the name "1".
        names = map(str, range(1, len(statement.parameters) + 1))
        return self._connection.execute(
            statement.text, dict(zip(names, statement.parameters, strict=True))
        )

    def apply(self, statements: Sequence[LoggedStatement]) -> None:
        """Run the statements of one log entry in one transaction."""
        if len(statements) == 1:
            self.run(statements[0]).fetchall()
            return
        self.begin()
        for statement in statements:
            self.run(statement).fetchall()
        self.commit()

    def begin(self) -> None:
        """Begin a transaction."""
        self._connection.execute("BEGIN")

    def commit(self) -> None:
        """Commit the transaction."""
        self._connection.execute("COMMIT")

    def roll_back(self) -> None:
        """Roll the open transaction back, if there is one."""
        if self._connection.in_transaction:
            self._connection.execute("ROLLBACK")

    def copy(self) -> "SqlCopy":
        """Return an independent copy of the committed tables."""
        result = SqlCopy()
        self._connection.backup(result._connection)
        return result

    def _add_functions(self) -> None:
        """Add the functions of PostgreSQL that tests use."""
        functions = (
            ("now", 0, self._get_now),
            ("random", 0, lambda: self._get_random().random()),
            ("gen_random_uuid", 0, self._make_uuid),
            ("version", 0, lambda: f"PostgreSQL {SERVER_VERSION} (stand-in)"),
            ("pg_sleep", 1, lambda seconds: ""),
            ("repeat", 2, lambda text, count: text * int(count)),
            ("current_database", 0, lambda: "stand-in"),
        )
        for name, arguments, function in functions:
            self._connection.create_function(name, arguments, function)

    def _get_now(self) -> str:
        """Return the statement's time as PostgreSQL prints it."""
        moment = datetime.datetime.fromtimestamp(self._at, datetime.UTC)
        return moment.isoformat(" ", "microseconds")

    def _get_random(self) -> random.Random:
        """Return the statement's random generator, seeded alike on each replica."""
        if self._random is None:
            self._random = random.Random(self._at)
        return self._random

    def _make_uuid(self) -> str:
        """Return a random UUID, the same on each replica."""
        return str(uuid.UUID(int=self._get_random().getrandbits(128), version=4))
