"""Decodes the store's answers although one object in them may not be decodable.

An answer holds many objects, each of which somebody else may have written. What cannot
be read of one is replaced, so that the others are still told: bytes that are no UTF-8
by a mark, a value that is nested too deep or a number that is too long by null.
"""

import json
import re

MOST_DEPTH = 32
"""Levels of nesting that are read; what the product reads has at most eight."""

MOST_DIGITS = 30
"""Digits of the longest whole number that is read; a 64-bit one has at most 20."""

_TOKENS = re.compile(r'"(?:\\.|[^"\\])*"|[\[\]{}]')


def decode_answer(body: bytes) -> object:
    """Return the JSON value of an answer.

    Raises
    ------
    ValueError
        If the answer is no JSON at all.
    """
    text = body.decode("utf-8", "replace")
    try:
        return json.loads(text)
    except (RecursionError, ValueError):
        # Seldom, so that only then the text is gone through piece by piece.
        return json.loads(_cut_depth(text), parse_int=_parse_int)


def _cut_depth(text: str) -> str:
    """Return JSON text with null in place of what is nested too deep."""
    kept: list[str] = []
    depth, start = 0, 0
    for token in _TOKENS.finditer(text):
        mark = token.group()
        if mark in "[{":
            depth += 1
            if depth == MOST_DEPTH + 1:
                kept.append(text[start : token.start()] + "null")
        elif mark in "]}":
            if depth == MOST_DEPTH + 1:
                start = token.end()
            depth -= 1
    return "".join((*kept, text[start:]))


def _parse_int(digits: str) -> int | None:
    """Return a whole number, None for one that is too long to be meant."""
    return int(digits) if len(digits) <= MOST_DIGITS else None
