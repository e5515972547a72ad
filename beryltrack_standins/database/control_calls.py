"""SQL functions by which proxies observe and control a database (docs/DESIGN.md).

They return the database's status, long polls included, and execute the steps of a
failover: grant a term, promote, stop writes.
"""

import json
import re
from collections.abc import Sequence

from beryltrack.groups.messages import DatabaseStatus, LogPosition
from beryltrack_standins.database.database import Condition, Database
from beryltrack_standins.database.engine import Value
from beryltrack_standins.database.errors import SYNTAX_ERROR, SqlError
from beryltrack_standins.database.tables import Table

STATUS_COLUMNS = (
    "name",
    "role",
    "term",
    "received",
    "applied",
    "history",
    "heard_ms",
    "leaving",
    "incarnation",
)
_CALL = re.compile(r"beryltrack_(\w+)\s*\(([^)]*)\)", re.I)
_MILLISECONDS = 1000.0


async def call_control(database: Database, text: str) -> Table:
    """Run one control function, and return its result.

    Parameters
    ----------
    database : Database
        The database.
    text : str
        The statement, ``SELECT * FROM beryltrack_NAME(ARGUMENTS)``.

    Returns
    -------
    Table
        One row: the status, after the decision if the function makes one.

    Raises
    ------
    SqlError
        42601 if there is no such function, or it has other arguments.
    """
    name, arguments = _parse_call(text)
    try:
        match name, arguments:
            case "status", []:
                return _make_table(database)
            case "status_after", [term, received, applied, timeout]:
                condition = _make_condition(
                    database, int(term), int(received), int(applied)
                )
                await database.wait_until(condition, float(timeout) / _MILLISECONDS)
                return _make_table(database)
            case "grant", [term, candidate, lost_ms]:
                lost_after = float(lost_ms) / _MILLISECONDS
                reply = database.grant(int(term), candidate, lost_after)
                return _make_table(database, "granted", reply.granted)
            case "promote", [term, candidate]:
                promoted = database.promote(int(term), candidate)
                return _make_table(database, "promoted", promoted)
            case "stop_writes", [term]:
                database.stop_writes(int(term))
                return _make_table(database)
    except ValueError as error:
        raise SqlError(SYNTAX_ERROR, f"bad argument: {error}") from error
    raise SqlError(SYNTAX_ERROR, f"no such control function: {text[:100]}")


def format_position(position: LogPosition) -> str:
    """Return a position as ``TERM/OFFSET``."""
    return f"{position.term}/{position.offset}"


def _parse_call(text: str) -> tuple[str, list[str]]:
    """Return the name and the arguments of a call."""
    match = _CALL.search(text)
    if match is None:
        return "", []
    arguments = [part.strip().strip("'") for part in match[2].split(",")]
    return match[1].lower(), [part for part in arguments if part]


def _make_condition(
    database: Database, term: int, received: int, applied: int
) -> Condition:
    """Return the condition that ends a long poll of the status."""
    leaving = database.log.leaving

    def holds(status: DatabaseStatus) -> bool:
        return (
            status.term != term
            or 0 <= received <= status.received.offset
            or 0 <= applied <= status.applied.offset
            or status.leaving != leaving
        )

    return holds


def _make_table(database: Database, column: str = "", value: Value = None) -> Table:
    """Return the status row, preceded by `column` unless that is empty."""
    row = _get_status_row(database.status)
    if not column:
        return Table(STATUS_COLUMNS, (row,))
    return Table((column, *STATUS_COLUMNS), ((value, *row),))


def _get_status_row(status: DatabaseStatus) -> Sequence[Value]:
    """Return a status as the columns of `STATUS_COLUMNS`."""
    return (
        status.name,
        status.role,
        status.term,
        format_position(status.received),
        format_position(status.applied),
        json.dumps(status.history),
        status.heard_age * _MILLISECONDS,
        status.leaving,
        status.incarnation,
    )
