"""Decodes the store's JSON answers, tolerating malformed objects in them.

An answer holds objects of several writers. What cannot be decoded of one object is
replaced, so that the others are still read: bytes that are not UTF-8 by U+FFFD, a value
that is nested too deeply or a number that is too long by null.
"""

import json
import re

MAX_DEPTH = 32
"""Levels of nesting that are decoded; valid objects have at most eight."""

MAX_DIGITS = 30
"""Digits of the longest whole number that is decoded; a 64-bit one has up to 20."""

_TOKENS = re.compile(r'"(?:\\.|[^"\\])*"|[\[\]{}]')


def decode_answer(body: bytes) -> object:
    """Return the JSON value of an answer.

    Raises
    ------
    ValueError
        If the answer is not JSON at all.
    """
    text = body.decode("utf-8", "replace")
    try:
        return json.loads(text)
    except (RecursionError, ValueError):
        # The slow scan by tokens runs only for the rare answers that need it.
        return json.loads(_truncate_depth(text), parse_int=_parse_int)


def _truncate_depth(text: str) -> str:
    """Return JSON text with null in place of values that are nested too deeply."""
    parts: list[str] = []
    depth, start = 0, 0
    for token in _TOKENS.finditer(text):
        symbol = token.group()
        if symbol in "[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts.append(text[start : token.start()] + "null")
        elif symbol in "]}":
            if depth == MAX_DEPTH + 1:
                start = token.end()
            depth -= 1
    return "".join((*parts, text[start:]))


def _parse_int(digits: str) -> int | None:
    """Return a whole number, None for one of more than `MAX_DIGITS` digits."""
    return int(digits) if len(digits) <= MAX_DIGITS else None
