"""Classification of statements, so that reads can run on replicas (read/write split).

A text is a read only if the text alone proves it: it parses, no part of it writes or
locks, and each function in it is known to have no side effect. Anything else counts as
a write and runs on the primary. The effects of user-defined views, operators and
overloads are not visible in a text; if they write, a replica refuses the statement,
which then runs on the primary.

Callers repeat their statements, so kinds are cached by text. Numbers, strings and
comments do not affect the kind and are removed first (normalization), so that
statements that differ only in their literals share an entry.
"""

import re
from collections.abc import Iterable
from functools import lru_cache

from sqlglot.errors import SqlglotError
from sqlglot.tokens import Token

from beryltrack.routing.functions import SESSION_LOCKS, SET_CONFIG
from beryltrack.routing.messages import StatementKind
from beryltrack.routing.reads import is_read
from beryltrack.routing.tokenizer import TokenTexts, get_token_texts, split_tokens

MAX_TEXT_LENGTH = 32768
"""Longer texts are not examined and count as writes, characters."""

MAX_NORMALIZED_LENGTH = 8192
"""Longer normalized texts count as writes, characters."""

TEXT_CACHE_SIZE = 2048
"""Number of texts whose kinds are cached."""

MAX_CACHED_TEXT_LENGTH = 512
"""Longer texts are cached in normalized form only, characters."""

NORMALIZED_CACHE_SIZE = 1024
"""Number of normalized texts whose kinds are cached."""

_LITERAL = re.compile(
    r"""'[^']*'|"[^"]*"|--[^\n]*|/\*.*?\*/|(?<![\w$.])\d+(?:\.\d+)?(?![\w$])""",
    re.DOTALL,
)
# A list of values is reduced to one value, so that its length does not matter.
_LITERAL_LIST = re.compile(r"((?:''|\b0\b)(?=\s*,))(?:\s*,\s*(?:''|\b0\b))+")
# Escapes, dollar quotes and nested comments need the real tokenizer.
_NEEDS_TOKENIZER = re.compile(r"\\|\$(?!\d)|/\*.*/\*", re.DOTALL)
_DOLLAR_IN_NAME = re.compile(r"[^\W\d][\w$]*\$")
_EXPLAIN_OPTIONS = frozenset(("verbose", "analyse", "analyze"))

_KINDS_BY_KEYWORD = {
    "begin": StatementKind.BEGIN,
    "start": StatementKind.BEGIN,
    "commit": StatementKind.COMMIT,
    "end": StatementKind.COMMIT,
    "rollback": StatementKind.ROLLBACK,
    "abort": StatementKind.ROLLBACK,
    "savepoint": StatementKind.SAVEPOINT,
    "release": StatementKind.SAVEPOINT,
    "set": StatementKind.SESSION_SET,
    "reset": StatementKind.SESSION_SET,
    "show": StatementKind.SHOW,
    "deallocate": StatementKind.DEALLOCATE,
    "discard": StatementKind.DISCARD,
    "prepare": StatementKind.UNSUPPORTED,
    "execute": StatementKind.UNSUPPORTED,
    "copy": StatementKind.UNSUPPORTED,
    "listen": StatementKind.UNSUPPORTED,
    "unlisten": StatementKind.UNSUPPORTED,
    "notify": StatementKind.UNSUPPORTED,
    "load": StatementKind.UNSUPPORTED,
}
_TRANSACTION_SETTINGS = frozenset(("local", "transaction", "constraints"))
_ROLE_SETTINGS = frozenset(("role", "authorization", "characteristics"))
_TEMPORARY = frozenset(("temp", "temporary"))
_TRANSACTION_ENDS = (StatementKind.COMMIT, StatementKind.ROLLBACK)
_SESSION_KINDS = frozenset(
    (StatementKind.SESSION_SET, StatementKind.DEALLOCATE, StatementKind.DISCARD)
)
_READ_KINDS = frozenset((StatementKind.READ, StatementKind.SHOW))


def classify(text: str) -> StatementKind:
    """Return the kind of a statement, or one kind that covers several.

    Parameters
    ----------
    text : str
        Text as the caller sent it.

    Returns
    -------
    StatementKind
        The kind; `StatementKind.READ` only if the text provably only reads.
        Several statements with the same transaction state before and after
        count as a write. As one kind must cover them all, they are unsupported
        if they change settings of the session or end a transaction midway.
    """
    if len(text) <= MAX_CACHED_TEXT_LENGTH:
        return _classify_text(text)
    if len(text) <= MAX_TEXT_LENGTH:
        return _classify_normalized(strip_literals(text))
    return StatementKind.WRITE


def strip_literals(text: str) -> str:
    """Return a text without its literals; its kind is the same.

    Parameters
    ----------
    text : str
        One or more statements.

    Returns
    -------
    str
        The text with empty strings and zeros in place of strings and numbers,
        one in place of a list of them, and without comments. A text that needs
        the tokenizer for this is returned unchanged.
    """
    if _NEEDS_TOKENIZER.search(text):
        return text
    return _LITERAL_LIST.sub(r"\1", _LITERAL.sub(_strip_literal, text))


def _strip_literal(match: re.Match[str]) -> str:
    """Return the replacement of a literal, a quoted identifier or a comment."""
    found = match[0]
    if found[0] == "'":
        return "''"
    if found[0] == '"':
        return found
    return "0" if found[0].isdigit() else " "


@lru_cache(TEXT_CACHE_SIZE)
def _classify_text(text: str) -> StatementKind:
    """Return the kind of a short text."""
    return _classify_normalized(strip_literals(text))


@lru_cache(NORMALIZED_CACHE_SIZE)
def _classify_normalized(normalized: str) -> StatementKind:
    """Return the kind of a normalized text."""
    # The tokenizer and PostgreSQL differ on where a name with a dollar ends.
    if len(normalized) > MAX_NORMALIZED_LENGTH or _DOLLAR_IN_NAME.search(normalized):
        return StatementKind.WRITE
    try:
        statements = split_tokens(normalized)
    except SqlglotError:
        return StatementKind.WRITE
    return combine_kinds([_classify_tokens(tokens) for tokens in statements])


def combine_kinds(kinds: list[StatementKind]) -> StatementKind:
    """Return the one kind that covers several statements in one text.

    Parameters
    ----------
    kinds : list of StatementKind
        The kinds of the statements, in order.

    Returns
    -------
    StatementKind
        The kind with the strongest requirements on the target.
    """
    if len(kinds) < 2:
        return kinds[0] if kinds else StatementKind.EMPTY
    if StatementKind.UNSUPPORTED in kinds or not _SESSION_KINDS.isdisjoint(kinds):
        return StatementKind.UNSUPPORTED
    if _READ_KINDS.issuperset(kinds):
        return StatementKind.READ
    if any(kind in _TRANSACTION_ENDS for kind in kinds[:-1]):
        return StatementKind.UNSUPPORTED
    is_ended = kinds[-1] in _TRANSACTION_ENDS
    if StatementKind.BEGIN in kinds or StatementKind.BEGIN_READ_ONLY in kinds:
        return StatementKind.WRITE if is_ended else StatementKind.BEGIN
    return kinds[-1] if is_ended else StatementKind.WRITE


def _classify_tokens(tokens: list[Token]) -> StatementKind:
    """Return the kind of one statement."""
    texts = get_token_texts(tokens)
    if _leaves_session_state(texts):
        return StatementKind.UNSUPPORTED
    if texts[0] == "explain":
        return _classify_explain(texts, tokens)
    kind = _KINDS_BY_KEYWORD.get(texts[0])
    if kind is not None:
        return _refine_kind(kind, texts)
    return StatementKind.READ if is_read(texts, tokens) else StatementKind.WRITE


def _refine_kind(kind: StatementKind, texts: TokenTexts) -> StatementKind:
    """Return the kind of a statement whose first keyword suggests `kind`."""
    if kind == StatementKind.BEGIN:
        return _refine_begin(texts)
    if kind in _TRANSACTION_ENDS:
        return _refine_end(kind, texts)
    if kind == StatementKind.SESSION_SET:
        return _refine_set(texts)
    return kind


def _refine_begin(texts: TokenTexts) -> StatementKind:
    """Return the kind of a statement that opens a transaction."""
    modes = set(zip(texts, texts[1:], strict=False))
    is_read_only = ("read", "only") in modes and ("read", "write") not in modes
    return StatementKind.BEGIN_READ_ONLY if is_read_only else StatementKind.BEGIN


def _refine_end(kind: StatementKind, texts: TokenTexts) -> StatementKind:
    """Return the kind of a statement that ends a transaction."""
    if "to" in texts:
        return StatementKind.SAVEPOINT
    opens_another = "chain" in texts and "no" not in texts
    if opens_another or "prepared" in texts:
        return StatementKind.UNSUPPORTED
    return kind


def _refine_set(texts: TokenTexts) -> StatementKind:
    """Return the kind of a statement that changes a setting."""
    if texts[1:2] and texts[1] in _TRANSACTION_SETTINGS:
        return StatementKind.TRANSACTION_SET
    if not _ROLE_SETTINGS.isdisjoint(texts[1:3]):
        return StatementKind.UNSUPPORTED
    return StatementKind.SESSION_SET


def _classify_explain(texts: TokenTexts, tokens: list[Token]) -> StatementKind:
    """Return the kind of an ``EXPLAIN``: that of the explained statement."""
    start = 1
    if texts[1:2] == ("(",):
        start = texts.index(")") + 1 if ")" in texts else len(texts)
    while start < len(texts) and texts[start] in _EXPLAIN_OPTIONS:
        start += 1
    # Tokens that split into several texts come later in a statement, so both lists
    # have the same indexes here; if they differed, the parser would find no read.
    explained = texts[start:]
    is_reading = bool(explained) and is_read(explained, tokens[start:])
    return StatementKind.READ if is_reading else StatementKind.WRITE


def _leaves_session_state(texts: TokenTexts) -> bool:
    """Return whether a statement's effect lasts as long as its connection."""
    return (
        _creates_temporary_table(texts)
        or (texts[0] == "declare" and ("with", "hold") in _get_pairs(texts))
        or any(_affects_session(texts, index) for index in _find_calls(texts))
    )


def _creates_temporary_table(texts: TokenTexts) -> bool:
    """Return whether a statement creates a temporary table that outlives a commit."""
    if texts[0] == "create" and not _TEMPORARY.isdisjoint(texts[1:3]):
        return ("commit", "drop") not in _get_pairs(texts)
    return any(("into", text) in _get_pairs(texts) for text in _TEMPORARY)


def _get_pairs(texts: TokenTexts) -> set[tuple[str, str]]:
    """Return all pairs of adjacent tokens."""
    return set(zip(texts, texts[1:], strict=False))


def _find_calls(texts: TokenTexts) -> Iterable[int]:
    """Return the indexes of tokens that are followed by a parenthesis."""
    return (index for index, text in enumerate(texts[1:]) if text == "(")


def _affects_session(texts: TokenTexts, index: int) -> bool:
    """Return whether a call changes a setting or takes a lock for the whole session."""
    name = texts[index].removeprefix('"')
    if name != SET_CONFIG:
        return name in SESSION_LOCKS
    arguments = texts[index + 2 :]
    end = arguments.index(")") if ")" in arguments else 0
    return arguments[max(end - 1, 0) : end] != ("true",)
