"""SQLSTATEs of a stand-in database, and their mapping from the errors of sqlite3."""

import sqlite3
from collections.abc import Iterator

SYNTAX_ERROR = "42601"
UNDEFINED_TABLE = "42P01"
UNDEFINED_PREPARED = "26000"
UNDEFINED_PORTAL = "34000"
READ_ONLY = "25006"
FAILED_TRANSACTION = "25P02"
LOCK_TIMEOUT = "55P03"
QUERY_CANCELED = "57014"
TOO_MANY_CONNECTIONS = "53300"
RECOVERY_CONFLICT = "40001"
BAD_PASSWORD = "28P01"
PROTOCOL_VIOLATION = "08P01"
NOT_SUPPORTED = "0A000"
INTERNAL_ERROR = "XX000"

SQLITE_ERRORS = (sqlite3.Error,)

# SQLSTATEs by fragments of sqlite3's messages; the first match counts.
_SQLITE_STATES = (
    ("UNIQUE constraint", "23505"),
    ("NOT NULL constraint", "23502"),
    ("FOREIGN KEY constraint", "23503"),
    ("CHECK constraint", "23514"),
    ("no such table", UNDEFINED_TABLE),
    ("no such column", "42703"),
    ("has no column named", "42703"),
    ("no such function", "42883"),
    ("already exists", "42P07"),
    ("no such savepoint", "3B001"),
    ("syntax error", SYNTAX_ERROR),
    ("incomplete input", SYNTAX_ERROR),
    ("unrecognized token", SYNTAX_ERROR),
    ("binding", "08P01"),
    ("closed", RECOVERY_CONFLICT),
)


class SqlError(Exception):
    """An error that is sent to the client.

    Parameters
    ----------
    sqlstate : str
        Its SQLSTATE.
    message : str
        Its message.
    """

    def __init__(self, sqlstate: str, message: str):
        super().__init__(message)
        self.sqlstate = sqlstate
        self.message = message


def get_sql_error(error: sqlite3.Error) -> SqlError:
    """Return an error of sqlite3 with the SQLSTATE that corresponds to it."""
    text = str(error)
    states: Iterator[str] = (
        state for fragment, state in _SQLITE_STATES if fragment in text
    )
    return SqlError(next(states, INTERNAL_ERROR), text)
