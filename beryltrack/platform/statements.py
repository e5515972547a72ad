"""Statements of the line protocol, and the session state that they change."""

import re
from typing import NamedTuple

from beryltrack.requests.protocol import RequestPolicy
from beryltrack.routing.messages import StatementKind
from beryltrack.sessions.request_options import RequestOptions
from beryltrack.sessions.retained_state import RetainedState, StatementShape

NEEDS_PRIMARY = frozenset((StatementKind.WRITE, StatementKind.BEGIN))
"""Statements that a database refuses unless it is the primary."""

_NAME = re.compile(rb"[^\x00-\x20]{1,256}")


class LineStatement(NamedTuple):
    """A caller's QUERY message.

    Parameters
    ----------
    request_id : bytes
        The caller's identifier of the statement.
    verb : bytes
        The first word of the text.
    text : bytes
        The whole text.
    fields : tuple of bytes
        The fields after the verb; the last one extends to the end of the line.
    """

    request_id: bytes
    verb: bytes
    text: bytes
    fields: tuple[bytes, ...]


class LinePlan(NamedTuple):
    """The plan of one statement; see `UnitPlan`.

    Parameters
    ----------
    statement : LineStatement
        The statement as the caller sent it.
    kind : StatementKind
        Its kind.
    options : RequestOptions
        The options that its route sets.
    policy : RequestPolicy
        Its time limits.
    shape : StatementShape or None
        The prepared statement that an EXECUTE runs.
    """

    statement: LineStatement
    kind: StatementKind
    options: RequestOptions
    policy: RequestPolicy
    shape: StatementShape | None = None

    @property
    def request_id(self) -> str:
        """The caller's identifier of the statement."""
        return self.statement.request_id.decode("ascii", "replace")

    @property
    def is_read(self) -> bool:
        """True if a replica may run it, outside of a transaction."""
        return self.kind not in NEEDS_PRIMARY

    @property
    def is_at_most_once(self) -> bool:
        """False, as this protocol has no identifier that a repeated request keeps."""
        return False


# The minimum and maximum number of fields after each verb.
_FIELD_COUNTS = {
    b"BEGIN": (0, 1),
    b"COMMIT": (0, 0),
    b"ROLLBACK": (0, 0),
    b"READ": (1, 1),
    b"WRITE": (2, 2),
    b"SET": (2, 2),
    b"PREPARE": (3, 3),
    b"EXECUTE": (2, 3),
    b"DEALLOCATE": (1, 1),
}


def parse_query(line: bytes) -> LineStatement | None:
    """Return the statement of a QUERY line, None if it is malformed."""
    parts = line.split(b" ", 2)
    if len(parts) < 3 or not _NAME.fullmatch(parts[1]):
        return None
    verb, _, rest = parts[2].partition(b" ")
    counts = _FIELD_COUNTS.get(verb)
    if counts is None:
        return None
    min_count, max_count = counts
    fields = tuple(rest.split(b" ", max_count - 1)) if rest and max_count else ()
    if len(fields) < min_count or (rest and not max_count) or b"" in fields:
        return None
    if verb == b"BEGIN" and fields not in ((), (b"READ",)):
        return None
    if verb == b"PREPARE" and fields[1] not in (b"READ", b"WRITE"):
        return None
    return LineStatement(parts[1], verb, parts[2], fields)


_KINDS = {
    b"COMMIT": StatementKind.COMMIT,
    b"ROLLBACK": StatementKind.ROLLBACK,
    b"READ": StatementKind.READ,
    b"WRITE": StatementKind.WRITE,
    b"SET": StatementKind.SESSION_SET,
    b"PREPARE": StatementKind.SESSION_SET,
    b"DEALLOCATE": StatementKind.DEALLOCATE,
}


def get_kind(statement: LineStatement, shape: StatementShape | None) -> StatementKind:
    """Return the kind of a statement."""
    if statement.verb == b"BEGIN":
        is_read = bool(statement.fields)
        return StatementKind.BEGIN_READ_ONLY if is_read else StatementKind.BEGIN
    if statement.verb == b"EXECUTE":
        is_write = shape is not None and shape.mode == b"WRITE"
        return StatementKind.WRITE if is_write else StatementKind.READ
    return _KINDS[statement.verb]


def apply_local(statement: LineStatement, state: RetainedState) -> bool:
    """Apply SET, PREPARE or DEALLOCATE to a session; False if that is impossible."""
    fields = statement.fields
    if statement.verb == b"DEALLOCATE":
        return state.deallocate(fields[0])
    if statement.verb == b"SET":
        return state.set_value(fields[0], fields[1])
    return state.prepare(fields[0], StatementShape(fields[1], fields[2]))
