"""Tags in the comments of a statement, in the format of sqlcommenter.

Client libraries append ``/*key='value',key='value'*/`` to each statement. Keys and
values are percent-encoded, and a quote in a value is escaped by a backslash. Only
tags whose keys begin with ``beryltrack_`` are read; others are ignored.
"""

import re
from typing import NamedTuple
from urllib.parse import unquote

TAG_PREFIX = "beryltrack_"
"""Prefix of the keys of all tags for beryltrack."""

_QUOTED_OR_COMMENT = re.compile(
    r"""
    \b[eE]'(?:[^'\\]|\\.)*'      # a string with escapes
    | '[^']*'                      # a string; two in a row if a quote is doubled
    | "[^"]*"                      # a quoted identifier
    | \$(?P<mark>\w*)\$.*?\$(?P=mark)\$
    | --[^\n]*
    | /\*(?P<body>.*?)\*/
    """,
    re.DOTALL | re.VERBOSE,
)
_TAG = re.compile(
    rf"""\b(?P<key>{TAG_PREFIX}[\w%.-]*)\s*=\s*'(?P<value>(?:[^'\\]|\\.)*)'"""
)
_ESCAPED = re.compile(r"\\(.)", re.DOTALL)


class Tag(NamedTuple):
    """One tag of a statement.

    Parameters
    ----------
    key : str
        The key without `TAG_PREFIX`.
    value : str
        The value, decoded.
    """

    key: str
    value: str


def get_tags(statement: str) -> tuple[Tag, ...]:
    """Return the tags for beryltrack in the comments of a statement.

    Parameters
    ----------
    statement : str
        Text as the caller sent it.

    Returns
    -------
    tuple of Tag
        In the order of the text. Text inside of literals is ignored.
    """
    # Most statements have no tag; this check avoids the regular expressions.
    if TAG_PREFIX not in statement or "/*" not in statement:
        return ()
    bodies = (match["body"] for match in _QUOTED_OR_COMMENT.finditer(statement))
    return tuple(
        Tag(_decode(match["key"]).removeprefix(TAG_PREFIX), _decode(match["value"]))
        for body in bodies
        if body
        for match in _TAG.finditer(body)
    )


def _decode(text: str) -> str:
    """Return a key or value without its escapes."""
    return unquote(_ESCAPED.sub(r"\1", text))
