"""Decodes the store's JSON answers, tolerating malformed objects in them.

An answer holds objects of several writers. What cannot be decoded of one object, or
could not be encoded again for other instances, is replaced, so that the others are
still read: bytes that are not UTF-8 and lone surrogates by U+FFFD, a value that is
nested too deeply or a number that is too long by null.
"""

import itertools
import json
import re

MAX_DEPTH = 32
"""Levels of nesting that are decoded; valid objects have at most eight."""

MAX_DIGITS = 30
"""Digits of the longest whole number that is decoded; a 64-bit one has up to 20."""

REPLACEMENT = "\N{REPLACEMENT CHARACTER}"
"""Stands for text that cannot be decoded."""

_CONTAINERS = frozenset((dict, list))
_SURROGATE_ESCAPE = re.compile(r"\\u[dD][89a-fA-F]")
_TOKENS = re.compile(r'"(?:\\.|[^"\\])*"|[\[\]{}]')


def decode_answer(body: bytes) -> object:
    """Return the JSON value of an answer.

    Raises
    ------
    ValueError
        If the answer is not JSON at all.
    """
    text = body.decode("utf-8", "replace")
    value = _parse(text)
    return _replace_surrogates(value) if _SURROGATE_ESCAPE.search(text) else value


def _parse(text: str) -> object:
    """Return the value of JSON text, without what is too deep or too long."""
    try:
        value = json.loads(text)
    except (RecursionError, ValueError):
        pass
    else:
        if not _is_too_deep(value):
            return value
    # The slow scan by tokens runs only for the rare answers that need it.
    return json.loads(_truncate_depth(text), parse_int=_parse_int)


def _is_too_deep(value: object) -> bool:
    """Return whether a value has more than `MAX_DEPTH` levels of nesting."""
    level = [value] if type(value) in _CONTAINERS else []
    for _ in range(MAX_DEPTH):
        inner = (each.values() if type(each) is dict else each for each in level)
        level = [
            each
            for each in itertools.chain.from_iterable(inner)
            if type(each) in _CONTAINERS
        ]
    return bool(level)


def _replace_surrogates(value: object) -> object:
    """Return a value with U+FFFD in place of each lone surrogate of its texts."""
    text = json.dumps(value, ensure_ascii=False)
    encoded = text.encode("utf-16", "surrogatepass")
    return json.loads(encoded.decode("utf-16", "replace"))


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
