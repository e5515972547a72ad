"""Maps error codes of the line protocol to SQLSTATEs and back.

This is the only module that maps them. A code that promises that a statement had no
effect is sent only for an error that promises the same.
"""

from beryltrack.errors import (
    CANNOT_CONNECT_NOW,
    CONFIGURATION_LIMIT_EXCEEDED,
    INVALID_AUTHORIZATION,
    INVALID_CATALOG_NAME,
    INVALID_SQL_STATEMENT_NAME,
    OBJECT_NOT_IN_PREREQUISITE_STATE,
    PROTOCOL_VIOLATION,
    QUERY_CANCELED,
    SERIALIZATION_FAILURE,
    SYSTEM_ERROR,
    TOO_MANY_CONNECTIONS,
    TRANSACTION_RESOLUTION_UNKNOWN,
    SqlError,
    split_refusal,
)
from beryltrack.relay.wire_format import NOT_OWNER, OVER_LIMIT, UNREACHABLE
from beryltrack.requests.outcomes import READ_ONLY_REFUSAL

# Codes from databases. After BUSY, LAGGING and READONLY the statement did not run.
_SQLSTATES_BY_CODE = {
    b"BUSY": TOO_MANY_CONNECTIONS,
    b"TOOMANY": TOO_MANY_CONNECTIONS,
    b"LAGGING": CANNOT_CONNECT_NOW,
    UNREACHABLE: CANNOT_CONNECT_NOW,
    NOT_OWNER: CANNOT_CONNECT_NOW,
    OVER_LIMIT: CONFIGURATION_LIMIT_EXCEEDED,
    b"READONLY": READ_ONLY_REFUSAL,
    b"UNPREPARED": INVALID_SQL_STATEMENT_NAME,
    b"FAILED": SYSTEM_ERROR,
    b"TIMEOUT": QUERY_CANCELED,
    b"MALFORMED": PROTOCOL_VIOLATION,
    b"ABORTED": SERIALIZATION_FAILURE,
    b"INDOUBT": TRANSACTION_RESOLUTION_UNKNOWN,
}

# Codes sent to callers.
_CODES_BY_SQLSTATE = {
    CANNOT_CONNECT_NOW: b"BUSY",
    TOO_MANY_CONNECTIONS: b"BUSY",
    CONFIGURATION_LIMIT_EXCEEDED: b"TOOMANY",
    SERIALIZATION_FAILURE: b"ABORTED",
    TRANSACTION_RESOLUTION_UNKNOWN: b"INDOUBT",
    QUERY_CANCELED: b"TIMEOUT",
    INVALID_AUTHORIZATION: b"UNKNOWNKEY",
    INVALID_CATALOG_NAME: b"NODATABASE",
    INVALID_SQL_STATEMENT_NAME: b"UNPREPARED",
    OBJECT_NOT_IN_PREREQUISITE_STATE: b"LAGGING",
    PROTOCOL_VIOLATION: b"MALFORMED",
    READ_ONLY_REFUSAL: b"READONLY",
    SYSTEM_ERROR: b"FAILED",
}
_DEFAULT_CODE = b"FAILED"


def decode_error(line: bytes) -> SqlError:
    """Return the error that an ERROR line carries."""
    fields = line.split(b" ", 2)
    code = fields[1] if len(fields) > 1 else b""
    text = fields[2].decode("utf-8", "replace") if len(fields) > 2 else ""
    # Split off the retry time that an instance gave, so that no other is added to it.
    text, hint, retry_after = split_refusal(text)
    name = code.decode("ascii", "replace").lower()
    state = _SQLSTATES_BY_CODE.get(code, SYSTEM_ERROR)
    return SqlError(state, f"{name}: {text}", hint=hint, retry_after=retry_after)


def encode_refusal(error: SqlError) -> bytes:
    """Return the ERROR line that reports to an instance that nothing was run."""
    codes = {CANNOT_CONNECT_NOW: UNREACHABLE, CONFIGURATION_LIMIT_EXCEEDED: OVER_LIMIT}
    code = codes.get(error.sqlstate)
    if code is None:
        return encode_error(error)
    return b"ERROR %s %s\r\n" % (code, f"{error.message}. {error.hint}".encode())


def encode_error(error: SqlError) -> bytes:
    """Return the ERROR line that a caller gets for an error."""
    code = _CODES_BY_SQLSTATE.get(error.sqlstate, _DEFAULT_CODE)
    text = " ".join(part for part in (error.message, error.hint) if part)
    clean = text.replace("\r", " ").replace("\n", " ")
    return b"ERROR %s %s\r\n" % (code, clean.encode())
