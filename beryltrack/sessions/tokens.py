"""Session tokens: the positions that a session has written, carried by its caller.

A token holds the last position that was acknowledged to the session in each group
(read-your-writes consistency). Any instance that receives the token can tell which
databases already show the session's writes, so no session state is stored elsewhere.

The text is ``1.`` and the base64url encoding of a CBOR array. A token has no
signature: a forged one only makes its sender wait.
"""

import base64
import binascii
import io
from itertools import chain
from typing import NamedTuple

import cbor2

from beryltrack.findings import Finding
from beryltrack.groups.messages import NO_POSITION, LogPosition

NEW_SESSION = "new"
"""The text by which a caller declares that its session has written nothing."""

VERSION_PREFIX = "1."
MAX_TEXT_LENGTH = 4096
"""Characters of a token."""
MAX_GROUPS = 32
"""Groups in a token."""
MAX_NAME_BYTES = 63
"""Length of a group's name, bytes."""
MAX_NUMBER = 2**63 - 1
"""Maximum term or offset."""

_SOURCE = "session token"
_FIELDS_PER_GROUP = 3


class GroupPosition(NamedTuple):
    """The last position acknowledged to a session in one group.

    Parameters
    ----------
    group : str
        Name of the group.
    position : LogPosition
        The position.
    """

    group: str
    position: LogPosition


class SessionToken(NamedTuple):
    """The writes of a session, as far as they are known.

    Parameters
    ----------
    positions : tuple of GroupPosition
        The last acknowledged position in each group, newest write first.
    is_complete : bool
        True if the session has written nothing in groups that are not listed.
        False if that is unknown, as for a caller that has lost its token.
    """

    positions: tuple[GroupPosition, ...]
    is_complete: bool


NEW_TOKEN = SessionToken((), True)
"""The token of a session that has written nothing."""

UNKNOWN_TOKEN = SessionToken((), False)
"""The token of a session whose writes are unknown."""


def get_position(token: SessionToken, group: str) -> LogPosition | None:
    """Return the last position that a session has written in a group.

    Parameters
    ----------
    token : SessionToken
        The session's token.
    group : str
        Name of the group.

    Returns
    -------
    LogPosition or None
        `NO_POSITION` if it has written nothing, None if that is unknown.
    """
    listed = next(
        (pair.position for pair in token.positions if pair.group == group), None
    )
    if listed is not None:
        return listed
    return NO_POSITION if token.is_complete else None


def merge_position(
    token: SessionToken, group: str, position: LogPosition
) -> SessionToken:
    """Return the token after a write of the session was acknowledged.

    The position of an acknowledged write is later than all earlier writes of the
    session in that group. So the session's writes there are known from then on, even
    if they were unknown before. The same holds for a position of the primary that
    was sampled after a request of the session had arrived.

    Parameters
    ----------
    token : SessionToken
        The token before.
    group : str
        Name of the group.
    position : LogPosition
        The position that was acknowledged, or sampled after the request arrived.

    Returns
    -------
    SessionToken
        The token with the later of the two positions, across terms. Beyond
        `MAX_GROUPS` the least recently written group is dropped and the token
        becomes incomplete, so that reads of that group remain safe.
    """
    before = get_position(token, group) or NO_POSITION
    merged = GroupPosition(group, max(before, position))
    others = tuple(pair for pair in token.positions if pair.group != group)
    positions = (merged, *others)
    is_complete = token.is_complete and len(positions) <= MAX_GROUPS
    return SessionToken(positions[:MAX_GROUPS], is_complete)


def merge_tokens(first: SessionToken, second: SessionToken) -> SessionToken:
    """Return the token of a session that has made the writes of two tokens.

    Parameters
    ----------
    first, second : SessionToken
        The tokens, for example one from the start-up packet and one set later.

    Returns
    -------
    SessionToken
        The later position in each group; complete only if both are.
    """
    merged = first._replace(is_complete=first.is_complete and second.is_complete)
    for pair in reversed(second.positions):
        merged = merge_position(merged, pair.group, pair.position)
    return merged


def format_token(token: SessionToken) -> str:
    """Return the text of a token.

    Parameters
    ----------
    token : SessionToken
        The token.

    Returns
    -------
    str
        ``new``, an empty text for a session whose writes are unknown, or the
        versioned form of at most `MAX_TEXT_LENGTH` characters.
    """
    if not token.positions:
        return NEW_SESSION if token.is_complete else ""
    fields = chain.from_iterable(
        (pair.group, pair.position.term, pair.position.offset)
        for pair in token.positions
    )
    encoded = base64.urlsafe_b64encode(cbor2.dumps([token.is_complete, *fields]))
    return VERSION_PREFIX + encoded.decode("ascii").rstrip("=")


def parse_token(text: str) -> tuple[SessionToken | None, list[Finding]]:
    """Parse the text of a token.

    Parameters
    ----------
    text : str
        The text that the caller sent; empty if it has no token.

    Returns
    -------
    token : SessionToken or None
        The token; None if there are findings.
    findings : list of Finding
        All errors; to be answered with SQLSTATE 22023.
    """
    if text == NEW_SESSION:
        return NEW_TOKEN, []
    if not text:
        return UNKNOWN_TOKEN, []
    if len(text) > MAX_TEXT_LENGTH:
        return None, [_make_finding("", f"is longer than {MAX_TEXT_LENGTH} characters")]
    if not text.startswith(VERSION_PREFIX):
        return None, [
            _make_finding("", f"must be '{NEW_SESSION}' or begin '{VERSION_PREFIX}'")
        ]
    fields = _decode(text.removeprefix(VERSION_PREFIX))
    if fields is None:
        return None, [_make_finding("", "cannot be decoded")]
    findings = _validate_fields(fields)
    return (None, findings) if findings else (_build_token(fields), [])


def _make_finding(place: str, text: str) -> Finding:
    """Return a finding about a token."""
    return Finding(_SOURCE, place, text)


def _decode(encoded: str) -> list[object] | None:
    """Decode the array in a token; None unless the text holds exactly one."""
    padding = "=" * (-len(encoded) % 4)
    try:
        data = base64.b64decode(encoded + padding, altchars=b"-_", validate=True)
        stream = io.BytesIO(data)
        fields = cbor2.load(stream)
    except (binascii.Error, ValueError, cbor2.CBORError, RecursionError):
        return None
    is_whole = stream.tell() == len(data)
    return fields if is_whole and isinstance(fields, list) else None


def _validate_fields(fields: list[object]) -> list[Finding]:
    """Return a finding for each invalid field of a token."""
    if not fields or not isinstance(fields[0], bool):
        return [_make_finding("/0", "must be true or false")]
    if len(fields) % _FIELDS_PER_GROUP != 1:
        return [_make_finding("", "has an incomplete position")]
    names, terms, offsets = (fields[1 + i :: _FIELDS_PER_GROUP] for i in range(3))
    if len(names) > MAX_GROUPS:
        return [_make_finding("", f"names more than {MAX_GROUPS} groups")]
    findings = [
        *(
            _make_finding(_format_place(i, 0), "must be a group name")
            for i in _find_invalid(names, _is_name)
        ),
        *(
            _make_finding(_format_place(i, 1), "must be a term")
            for i in _find_invalid(terms, _is_number)
        ),
        *(
            _make_finding(_format_place(i, 2), "must be an offset")
            for i in _find_invalid(offsets, _is_number)
        ),
    ]
    if not findings and len(set(names)) < len(names):
        findings = [_make_finding("", "names a group twice")]
    return findings


def _format_place(index: int, field: int) -> str:
    """Return the JSON pointer of a field of the group at `index`."""
    return f"/{1 + _FIELDS_PER_GROUP * index + field}"


def _find_invalid(values: list[object], is_valid) -> list[int]:
    """Return the indexes of the values for which `is_valid` is false."""
    return [index for index, value in enumerate(values) if not is_valid(value)]


def _is_name(value: object) -> bool:
    """Return whether a value can be a group's name."""
    if not isinstance(value, str) or not value:
        return False
    return len(value.encode("utf-8", "replace")) <= MAX_NAME_BYTES


def _is_number(value: object) -> bool:
    """Return whether a value can be a term or an offset."""
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return is_integer and 0 <= value <= MAX_NUMBER


def _build_token(fields: list) -> SessionToken:
    """Return the token of valid fields."""
    names, terms, offsets = (fields[1 + i :: _FIELDS_PER_GROUP] for i in range(3))
    positions = tuple(
        GroupPosition(name, LogPosition(term, offset))
        for name, term, offset in zip(names, terms, offsets, strict=True)
    )
    return SessionToken(positions, fields[0])
