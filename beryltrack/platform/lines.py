"""Messages of the line protocol of callers and databases; sans-I/O.

A message is one line that ends with CR LF: a keyword, then fields separated by spaces.
Rows pass through as bytes.
"""

from typing import NamedTuple

from beryltrack.groups.messages import LogPosition
from beryltrack.wire.line_buffer import MalformedMessage
from beryltrack.wire.messages import TransactionStatus

START = b"START"
QUERY = b"QUERY"
TERMINATE = b"TERMINATE"
READY = b"READY"
ROW = b"DATAROW"
COMPLETE = b"COMPLETE"
ERROR = b"ERROR"
NO_ID = b"-"
"""Identifier of the statements that the proxy adds itself."""

_STATUSES = {status.value.encode(): status for status in TransactionStatus}
READY_LINES = {
    status: b"READY %s -\r\n" % status.value.encode() for status in TransactionStatus
}
EMPTY_COMPLETE = b"COMPLETE -\r\n"


class LineError(MalformedMessage):
    """Raised when received bytes are not a valid message of the protocol."""


class ReadyState(NamedTuple):
    """The fields of a READY message.

    Parameters
    ----------
    status : TransactionStatus
        Status of the session's transaction.
    position : LogPosition or None
        The last log entry that the database has applied; None if not sent.
    """

    status: TransactionStatus
    position: LogPosition | None


def parse_ready(line: bytes) -> ReadyState:
    """Return the fields of a READY line.

    Raises
    ------
    LineError
        If the line is malformed.
    """
    fields = line.split(b" ")
    status = _STATUSES.get(fields[1]) if len(fields) == 3 else None
    if status is None:
        raise LineError("malformed READY")
    return ReadyState(status, parse_position(fields[2]))


def parse_position(field: bytes) -> LogPosition | None:
    """Return the position in a field as ``TERM.NUMBER``, None for ``-``.

    Raises
    ------
    LineError
        If the field is neither.
    """
    if field == b"-":
        return None
    term, separator, number = field.partition(b".")
    if not (separator and term.isdigit() and number.isdigit()):
        raise LineError("malformed position")
    return LogPosition(int(term), int(number))


def format_after(position: LogPosition | None) -> bytes:
    """Return the prefix of a statement that must see the log up to a position."""
    return b"AFTER %d.%d " % position if position is not None else b""


def format_ready(status: TransactionStatus, position: LogPosition | None) -> bytes:
    """Return a READY message."""
    if position is None:
        return READY_LINES[status]
    return b"READY %s %d.%d\r\n" % (status.value.encode(), *position)


def format_query(request_id: bytes, text: bytes) -> bytes:
    """Return a QUERY message."""
    return b"QUERY %s %s\r\n" % (request_id, text)
