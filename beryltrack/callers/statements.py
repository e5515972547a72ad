"""The prepared statements and portals of one caller.

The proxy keeps a caller's statements because target connections are pooled per
transaction: the next unit may run on a connection on which they are not prepared. On
targets a statement's name is a hash of its text and parameter types, so that callers
with the same statement share it.
"""

import re
import struct
from functools import lru_cache
from typing import NamedTuple

from pygwire.messages import Parse
from xxhash import xxh3_128_hexdigest

from beryltrack.callers.local import LocalResult
from beryltrack.errors import (
    INVALID_SQL_STATEMENT_NAME,
    PROGRAM_LIMIT_EXCEEDED,
    SqlError,
)

# Maximum number of prepared statements of one caller.
MAX_STATEMENTS = 1000

TARGET_NAME_PREFIX = "beryltrack_"

_CACHE_SIZE = 4096

_DEALLOCATE = re.compile(
    r"""\s*(?:DEALLOCATE\s+(?:PREPARE\s+)?(?P<name>"(?:[^"]|"")+"|\w+)
    |(?P<discard>DISCARD\s+(?:ALL|PLANS)))\s*;?\s*""",
    re.IGNORECASE | re.VERBOSE,
)

# Statements that drivers' pools send before they reuse a connection.
_SESSION_RESET = re.compile(
    r"""(?:\s*(?:SELECT\s+pg_advisory_unlock_all\(\)|CLOSE\s+ALL|UNLISTEN\s+\*
    |RESET\s+ALL)\s*(?:;|\Z))+\s*""",
    re.IGNORECASE | re.VERBOSE,
)


class PreparedStatement(NamedTuple):
    """One prepared statement.

    Parameters
    ----------
    text : str
        The statement.
    types : tuple of int
        Type OIDs of its parameters, as far as they are given.
    target_name : str
        Its name on target connections.
    """

    text: str
    types: tuple[int, ...]
    target_name: str


@lru_cache(_CACHE_SIZE)
def make_statement(text: str, types: tuple[int, ...]) -> PreparedStatement:
    """Return the statement with a text and parameter types."""
    seed = struct.pack(f"!{len(types)}I", *types) + text.encode()
    return PreparedStatement(text, types, TARGET_NAME_PREFIX + xxh3_128_hexdigest(seed))


@lru_cache(_CACHE_SIZE)
def encode_parse(name: str, statement: PreparedStatement) -> bytes:
    """Encode the Parse frame that prepares a statement under `name`."""
    return Parse(name, statement.text, list(statement.types)).to_wire()


class StatementTable:
    """The statements and portals of one caller, by the caller's names.

    Parameters
    ----------
    limit : int
        Maximum number of statements.
    """

    def __init__(self, limit: int = MAX_STATEMENTS):
        self._statements: dict[str, PreparedStatement] = {}
        self._portals: dict[str, PreparedStatement] = {}
        self._limit = limit

    @property
    def is_full(self) -> bool:
        """True if the maximum number of statements is reached."""
        return len(self._statements) >= self._limit

    def get(self, name: str) -> PreparedStatement | None:
        """Return the statement of a name, or None."""
        return self._statements.get(name)

    def set(self, name: str, statement: PreparedStatement) -> None:
        """Store a statement that a target has accepted."""
        self._statements[name] = statement

    def drop(self, name: str) -> None:
        """Remove a statement."""
        self._statements.pop(name, None)

    def clear(self) -> None:
        """Remove all statements."""
        self._statements.clear()

    def get_portal(self, name: str) -> PreparedStatement | None:
        """Return the statement that a portal was created from, or None."""
        return self._portals.get(name)

    def set_portal(self, name: str, statement: PreparedStatement) -> None:
        """Store the statement that a portal was created from."""
        self._portals[name] = statement

    def drop_portal(self, name: str) -> None:
        """Remove a portal."""
        self._portals.pop(name, None)

    def end_transaction(self) -> None:
        """Remove all portals: none outlives its transaction."""
        if self._portals:
            self._portals.clear()


def make_limit_error(limit: int = MAX_STATEMENTS) -> SqlError:
    """Return the error for too many prepared statements on a connection."""
    return SqlError(
        PROGRAM_LIMIT_EXCEEDED, f"more than {limit} prepared statements on a connection"
    )


def is_session_reset(text: str) -> bool:
    """Return whether a text only resets a session to its initial state.

    asyncpg's pool sends such a text whenever a connection is returned to it. Outside
    of a transaction a caller has neither cursors nor advisory locks, and LISTEN is
    refused, so only its settings need a reset.
    """
    return _SESSION_RESET.fullmatch(text) is not None


def run_deallocate(text: str, table: StatementTable) -> LocalResult | SqlError | None:
    """Run DEALLOCATE, DISCARD ALL or DISCARD PLANS at the proxy.

    Parameters
    ----------
    text : str
        A statement.
    table : StatementTable
        The caller's statements.

    Returns
    -------
    LocalResult or SqlError or None
        The result or error; None if the text is any other statement.
    """
    match = _DEALLOCATE.fullmatch(text)
    if match is None:
        return None
    if match["discard"]:
        return _discard(match["discard"], table)
    name = _unquote(match["name"])
    if match["name"].upper() == "ALL":
        table.clear()
        return LocalResult("DEALLOCATE ALL")
    if table.get(name) is None:
        message = f'prepared statement "{name}" does not exist'
        return SqlError(INVALID_SQL_STATEMENT_NAME, message)
    table.drop(name)
    return LocalResult("DEALLOCATE")


def _discard(command: str, table: StatementTable) -> LocalResult:
    """Run DISCARD ALL or DISCARD PLANS."""
    tag = " ".join(command.upper().split())
    if tag == "DISCARD ALL":
        table.clear()
    return LocalResult(tag)


def _unquote(name: str) -> str:
    """Return the name denoted by a quoted or unquoted SQL identifier."""
    if name.startswith('"'):
        return name[1:-1].replace('""', '"')
    return name.lower()
