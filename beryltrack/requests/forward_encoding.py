"""Wire format (CBOR) of forwarded requests and their effects.

Only single units outside of transactions are forwarded. A request carries all that
an owner needs to run it like one of its own callers: the session's token and settings,
and the prepared statements that the unit uses. Decoded data of a wrong form is
reported as findings.
"""

from typing import NamedTuple

import cbor2

from beryltrack.callers.caller import Caller
from beryltrack.callers.messages import (
    BindFrame,
    CloseFrame,
    DescribeFrame,
    ExtendedRequest,
    ParseFrame,
    Request,
)
from beryltrack.callers.statements import StatementTable, make_statement
from beryltrack.findings import Finding
from beryltrack.sessions.tokens import format_token, parse_token

STATEMENT = "S"
"""Kind of Describe and Close messages that refer to a prepared statement."""


class ForwardedStatement(NamedTuple):
    """A prepared statement of a caller.

    Parameters
    ----------
    name : str
        The caller's name.
    text : str or None
        The statement; None if the name is not defined any more.
    types : tuple of int
        Type OIDs of its parameters, as far as they are given.
    """

    name: str
    text: str | None
    types: tuple[int, ...]


class ForwardedRequest(NamedTuple):
    """A unit that is forwarded to an owner of its group.

    Parameters
    ----------
    user, database, address : str
        Identity of the caller.
    settings : dict of str to str
        The session's settings.
    token : str
        The session's token; empty if it is unknown.
    is_tracked : bool
        True if the caller supplied the token.
    wire : bytes
        The unit's frames as the caller sent them.
    statements : tuple of ForwardedStatement
        Statements that earlier units prepared and this one uses.
    """

    user: str
    database: str
    address: str
    settings: dict[str, str]
    token: str
    is_tracked: bool
    wire: bytes
    statements: tuple[ForwardedStatement, ...]


class ForwardedEffects(NamedTuple):
    """Changes that an answered unit made to its session.

    Parameters
    ----------
    token : str
        The session's token after the unit.
    statements : tuple of ForwardedStatement
        The names that the unit prepared or closed.
    """

    token: str
    statements: tuple[ForwardedStatement, ...]


def encode_request(request: Request, caller: Caller) -> bytes:
    """Return the encoding of a unit and its caller."""
    names = _get_used_names(request)
    return cbor2.dumps(
        ForwardedRequest(
            caller.user,
            caller.database,
            caller.identity.address,
            caller.settings,
            format_token(caller.session.token),
            caller.session.is_tracked,
            get_wire(request),
            get_statements(caller.statements, names),
        )
    )


def decode_request(data: bytes) -> tuple[ForwardedRequest | None, list[Finding]]:
    """Return the decoded request and no findings, or None and the findings."""
    try:
        fields = cbor2.loads(data)
        request = ForwardedRequest(*fields)
        statements = tuple(ForwardedStatement(*item) for item in request.statements)
    except (cbor2.CBORError, TypeError, ValueError) as error:
        return None, [Finding("forwarded request", "", f"cannot be read: {error}")]
    checks = (
        (isinstance(request.wire, bytes), "wire", "must be bytes"),
        (isinstance(request.settings, dict), "settings", "must be a map"),
        (isinstance(request.is_tracked, bool), "is_tracked", "must be a flag"),
        (isinstance(request.token, str), "token", "must be text"),
    )
    findings = [
        Finding("forwarded request", place, text)
        for holds, place, text in checks
        if not holds
    ]
    if not findings:
        _, findings = parse_token(request.token)
    return (
        (None, findings)
        if findings
        else (
            request._replace(statements=statements),
            [],
        )
    )


def encode_effects(request: Request, caller: Caller) -> bytes:
    """Return the encoding of the changes that a unit made to its session."""
    names = _get_changed_names(request)
    token = format_token(caller.session.token)
    return cbor2.dumps(
        ForwardedEffects(token, get_statements(caller.statements, names))
    )


def apply_encoded_effects(data: bytes, caller: Caller) -> list[Finding]:
    """Apply the encoded changes to a caller's session; return the findings."""
    try:
        effects = ForwardedEffects(*cbor2.loads(data))
        changes = [ForwardedStatement(*item) for item in effects.statements]
        token, findings = parse_token(effects.token)
    except (cbor2.CBORError, TypeError, ValueError) as error:
        return [Finding("forwarded effects", "", f"cannot be read: {error}")]
    if findings:
        return findings
    if effects.token:
        caller.session.token = token
    set_statements(caller.statements, changes)
    return []


def get_wire(request: Request) -> bytes:
    """Return the frames of a unit."""
    if isinstance(request, ExtendedRequest):
        return b"".join(frame.wire for frame in request.messages)
    return request.wire


def get_statements(
    table: StatementTable, names: tuple[str, ...]
) -> tuple[ForwardedStatement, ...]:
    """Return the definitions of names in a table."""
    found = ((name, table.get(name)) for name in names)
    return tuple(
        ForwardedStatement(name, None, ())
        if statement is None
        else ForwardedStatement(name, statement.text, statement.types)
        for name, statement in found
    )


def set_statements(table: StatementTable, changes: list[ForwardedStatement]) -> None:
    """Set or drop the definitions of names in a table."""
    for name, text, types in changes:
        if text is None:
            table.drop(name)
        else:
            table.set(name, make_statement(text, tuple(types)))


def _get_used_names(request: Request) -> tuple[str, ...]:
    """Return the names of earlier statements that a unit may use."""
    if not isinstance(request, ExtendedRequest):
        return ()
    names = (
        frame.statement if isinstance(frame, BindFrame) else frame.name
        for frame in request.messages
        if isinstance(frame, BindFrame)
        or (isinstance(frame, DescribeFrame) and frame.kind == STATEMENT)
    )
    return tuple(dict.fromkeys(names))


def _get_changed_names(request: Request) -> tuple[str, ...]:
    """Return the names of statements that a unit prepares or closes."""
    if not isinstance(request, ExtendedRequest):
        return ()
    names = (
        frame.name
        for frame in request.messages
        if isinstance(frame, ParseFrame)
        or (isinstance(frame, CloseFrame) and frame.kind == STATEMENT)
    )
    return tuple(dict.fromkeys(names))
