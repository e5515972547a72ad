"""Errors that callers receive, with SQLSTATEs that state the request's outcome.

A caller decides by the SQLSTATE whether to repeat its request, so each error says one
of three things: the request was not run, it was rolled back, or its outcome is unknown.
Only the functions below choose these SQLSTATEs.
"""

import re
from typing import NamedTuple

ERROR = "ERROR"
FATAL = "FATAL"

# SQLSTATEs, named as in PostgreSQL's documentation.
TRANSACTION_RESOLUTION_UNKNOWN = "08007"
PROTOCOL_VIOLATION = "08P01"
FEATURE_NOT_SUPPORTED = "0A000"
INVALID_PARAMETER_VALUE = "22023"
IDLE_IN_TRANSACTION_SESSION_TIMEOUT = "25P03"
INVALID_SQL_STATEMENT_NAME = "26000"
INVALID_AUTHORIZATION = "28000"
INVALID_PASSWORD = "28P01"
INVALID_CATALOG_NAME = "3D000"
SERIALIZATION_FAILURE = "40001"
TOO_MANY_CONNECTIONS = "53300"
CONFIGURATION_LIMIT_EXCEEDED = "53400"
PROGRAM_LIMIT_EXCEEDED = "54000"
OBJECT_NOT_IN_PREREQUISITE_STATE = "55000"
QUERY_CANCELED = "57014"
ADMIN_SHUTDOWN = "57P01"
CANNOT_CONNECT_NOW = "57P03"
SYSTEM_ERROR = "58000"
INTERNAL_ERROR = "XX000"

NOT_RUN_SQLSTATES = frozenset(
    {CANNOT_CONNECT_NOW, TOO_MANY_CONNECTIONS, CONFIGURATION_LIMIT_EXCEEDED}
)
"""SQLSTATEs which state that a request was not run."""

_TEXT_WITH_HINT = re.compile(r"(.*?)\.? ?(Try again in (\d{1,6}\.\d\d) seconds\.)")


class SqlError(NamedTuple):
    """One error, with the fields of a PostgreSQL ErrorResponse message.

    Parameters
    ----------
    sqlstate : str
        Five characters that identify the kind of error.
    message : str
        One human-readable sentence.
    detail : str
        Details of the cause or the consequence; empty for none.
    hint : str
        What the caller can do; empty for none.
    severity : str
        `ERROR` if the connection stays open, `FATAL` if it is closed.
    retry_after : float
        Seconds after which to retry, as in the hint; 0 if the hint names none.
    """

    sqlstate: str
    message: str
    detail: str = ""
    hint: str = ""
    severity: str = ERROR
    retry_after: float = 0.0


class SqlException(Exception):
    """An exception that carries the error to send to the caller.

    Parameters
    ----------
    error : SqlError
        The error.
    """

    def __init__(self, error: SqlError):
        super().__init__(f"{error.sqlstate}: {error.message}")
        self.error = error


def make_not_run_error(message: str, sqlstate: str = CANNOT_CONNECT_NOW) -> SqlError:
    """Return the error for a request that was not run and never will be."""
    return SqlError(sqlstate, message, detail="The request was not run.")


def make_refusal(
    message: str, retry_after: float, sqlstate: str = CANNOT_CONNECT_NOW
) -> SqlError:
    """Return the error for a request that was not run, with a time to retry after.

    Parameters
    ----------
    message : str
        Why the request was not run.
    retry_after : float
        Seconds after which a new attempt has a fair chance.
    sqlstate : str
        A member of `NOT_RUN_SQLSTATES`, or another that means "not run".

    Returns
    -------
    SqlError
        The error.
    """
    hint = f"Try again in {retry_after:.2f} seconds."
    rounded = round(retry_after, 2)
    return make_not_run_error(message, sqlstate)._replace(
        hint=hint, retry_after=rounded
    )


def split_refusal(text: str) -> tuple[str, str, float]:
    """Split a refusal's text, as another process sent it, into message and hint.

    Returns
    -------
    tuple
        The message, the hint and the hint's seconds; the whole text, an empty hint and
        zero if the text has no hint.
    """
    match = _TEXT_WITH_HINT.fullmatch(text)
    if match is None:
        return text, "", 0.0
    message, hint, seconds = match.groups()
    return message, hint, float(seconds)


def make_rolled_back_error(message: str) -> SqlError:
    """Return the error for a transaction that was rolled back as a whole."""
    return SqlError(
        SERIALIZATION_FAILURE, message, detail="The transaction was rolled back."
    )


def make_outcome_unknown_error(message: str) -> SqlError:
    """Return the error for a request that may or may not have taken effect."""
    return SqlError(
        TRANSACTION_RESOLUTION_UNKNOWN,
        message,
        detail="The request may have been run.",
        hint="Set beryltrack.request_id for the request to repeat it safely.",
    )


def make_unsupported_error(message: str, hint: str = "") -> SqlError:
    """Return the error for a feature that the proxy does not support."""
    return SqlError(FEATURE_NOT_SUPPORTED, message, hint=hint)


def make_malformed_setting_error(name: str, text: str) -> SqlError:
    """Return the error for a session setting whose value is invalid."""
    return SqlError(
        INVALID_PARAMETER_VALUE, f'invalid value for parameter "{name}"', detail=text
    )


def make_fatal_error(sqlstate: str, message: str, detail: str = "") -> SqlError:
    """Return an error of severity `FATAL`, which closes the connection."""
    return SqlError(sqlstate, message, detail, severity=FATAL)
