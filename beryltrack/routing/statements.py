"""What kind of statement a text is, so that reads can go to replicas.

A text is a read only if that can be shown from the text alone: it parses, no
part of it writes or locks, and each function in it is known to change nothing.
All else counts as a write and goes to the primary. What a view, an operator or
an overload defined by users does cannot be seen in a text; a replica refuses
it if it writes, and then it runs on the primary.

Callers repeat their statements, so kinds are cached by text. Numbers, strings
and comments are taken out of the text first, as the kind does not depend on
them, so that statements with their values written out are found again too.
"""

import re
from collections.abc import Iterable
from functools import lru_cache

from sqlglot.errors import SqlglotError
from sqlglot.tokens import Token

from beryltrack.routing.functions import SESSION_LOCKS, SET_CONFIG
from beryltrack.routing.messages import StatementKind
from beryltrack.routing.reads import is_read
from beryltrack.routing.tokenizer import Words, get_words, split_tokens

MAX_TEXT_LENGTH = 32768
"""Longer texts are not looked at and count as writes, characters."""

MAX_FORM_LENGTH = 8192
"""Texts that are longer without their literals count as writes, characters."""

CACHED_TEXTS = 2048
"""Number of texts whose kinds are remembered as they came."""

CACHED_TEXT_LENGTH = 512
"""Longer texts are looked up without their literals only, characters."""

CACHED_FORMS = 1024
"""Number of texts without literals whose kinds are remembered."""

_LITERAL = re.compile(
    r"""'[^']*'|"[^"]*"|--[^\n]*|/\*.*?\*/|(?<![\w$.])\d+(?:\.\d+)?(?![\w$])""",
    re.DOTALL,
)
# A list of values counts as one value, however long it is.
_LITERAL_LIST = re.compile(r"((?:''|\b0\b)(?=\s*,))(?:\s*,\s*(?:''|\b0\b))+")
# Escapes and dollar quotes need the real tokenizer, and so do nested comments.
_NEEDS_TOKENIZER = re.compile(r"\\|\$(?!\d)|/\*.*/\*", re.DOTALL)
_DOLLAR_IN_NAME = re.compile(r"[^\W\d][\w$]*\$")
_EXPLAIN_OPTIONS = frozenset(("verbose", "analyse", "analyze"))

_FIRST_WORDS = {
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
_ENDS = (StatementKind.COMMIT, StatementKind.ROLLBACK)
_OF_SESSION = frozenset(
    (StatementKind.SESSION_SET, StatementKind.DEALLOCATE, StatementKind.DISCARD)
)
_READS = frozenset((StatementKind.READ, StatementKind.SHOW))


def classify(text: str) -> StatementKind:
    """Return the kind of a statement, or the strongest kind of several.

    Parameters
    ----------
    text : str
        Text as the caller sent it.

    Returns
    -------
    StatementKind
        The kind. `StatementKind.READ` only if it provably only reads.
        Several statements that end as they began count as a write; so that
        one kind describes them all, they count as unsupported if a setting of
        the session is among them or if they end a transaction midway.
    """
    if len(text) <= CACHED_TEXT_LENGTH:
        return _classify_text(text)
    if len(text) <= MAX_TEXT_LENGTH:
        return _classify_form(strip_literals(text))
    return StatementKind.WRITE


def strip_literals(text: str) -> str:
    """Return a text without its values, of the same kind as the text.

    Parameters
    ----------
    text : str
        One or more statements.

    Returns
    -------
    str
        The text with empty strings and zeros in place of its strings and
        numbers, one in place of a list of them, and without its comments. A
        text for which that takes a tokenizer comes back as it is.
    """
    if _NEEDS_TOKENIZER.search(text):
        return text
    return _LITERAL_LIST.sub(r"\1", _LITERAL.sub(_strip_literal, text))


def _strip_literal(match: re.Match[str]) -> str:
    """Return what stands in for a literal, a quoted identifier or a comment."""
    found = match[0]
    if found[0] == "'":
        return "''"
    if found[0] == '"':
        return found
    return "0" if found[0].isdigit() else " "


@lru_cache(CACHED_TEXTS)
def _classify_text(text: str) -> StatementKind:
    """Return the kind of a short text."""
    return _classify_form(strip_literals(text))


@lru_cache(CACHED_FORMS)
def _classify_form(form: str) -> StatementKind:
    """Return the kind of a text without its literals."""
    # The tokenizer and PostgreSQL differ on where a name with a dollar ends.
    if len(form) > MAX_FORM_LENGTH or _DOLLAR_IN_NAME.search(form):
        return StatementKind.WRITE
    try:
        statements = split_tokens(form)
    except SqlglotError:
        return StatementKind.WRITE
    return combine_kinds([_classify_tokens(tokens) for tokens in statements])


def combine_kinds(kinds: list[StatementKind]) -> StatementKind:
    """Return the one kind that describes several statements in one text.

    Parameters
    ----------
    kinds : list of StatementKind
        The kinds of the statements, in order.

    Returns
    -------
    StatementKind
        The kind that asks most of the target.
    """
    if len(kinds) < 2:
        return kinds[0] if kinds else StatementKind.EMPTY
    if StatementKind.UNSUPPORTED in kinds or not _OF_SESSION.isdisjoint(kinds):
        return StatementKind.UNSUPPORTED
    if _READS.issuperset(kinds):
        return StatementKind.READ
    if any(kind in _ENDS for kind in kinds[:-1]):
        return StatementKind.UNSUPPORTED
    is_ended = kinds[-1] in _ENDS
    if StatementKind.BEGIN in kinds or StatementKind.BEGIN_READ_ONLY in kinds:
        return StatementKind.WRITE if is_ended else StatementKind.BEGIN
    return kinds[-1] if is_ended else StatementKind.WRITE


def _classify_tokens(tokens: list[Token]) -> StatementKind:
    """Return the kind of one statement."""
    words = get_words(tokens)
    if _keeps_session_state(words):
        return StatementKind.UNSUPPORTED
    if words[0] == "explain":
        return _classify_explain(words, tokens)
    kind = _FIRST_WORDS.get(words[0])
    if kind is not None:
        return _refine(kind, words)
    return StatementKind.READ if is_read(words, tokens) else StatementKind.WRITE


def _refine(kind: StatementKind, words: Words) -> StatementKind:
    """Return the kind of a statement whose first word gives `kind`."""
    if kind == StatementKind.BEGIN:
        return _refine_begin(words)
    if kind in _ENDS:
        return _refine_end(kind, words)
    if kind == StatementKind.SESSION_SET:
        return _refine_set(words)
    return kind


def _refine_begin(words: Words) -> StatementKind:
    """Return the kind of a statement that opens a transaction."""
    modes = set(zip(words, words[1:], strict=False))
    is_read_only = ("read", "only") in modes and ("read", "write") not in modes
    return StatementKind.BEGIN_READ_ONLY if is_read_only else StatementKind.BEGIN


def _refine_end(kind: StatementKind, words: Words) -> StatementKind:
    """Return the kind of a statement that ends a transaction."""
    if "to" in words:
        return StatementKind.SAVEPOINT
    opens_another = "chain" in words and "no" not in words
    if opens_another or "prepared" in words:
        return StatementKind.UNSUPPORTED
    return kind


def _refine_set(words: Words) -> StatementKind:
    """Return the kind of a statement that changes a setting."""
    if words[1:2] and words[1] in _TRANSACTION_SETTINGS:
        return StatementKind.TRANSACTION_SET
    if not _ROLE_SETTINGS.isdisjoint(words[1:3]):
        return StatementKind.UNSUPPORTED
    return StatementKind.SESSION_SET


def _classify_explain(words: Words, tokens: list[Token]) -> StatementKind:
    """Return the kind of an ``EXPLAIN``: that of the statement which it explains."""
    start = 1
    if words[1:2] == ("(",):
        start = words.index(")") + 1 if ")" in words else len(words)
    while start < len(words) and words[start] in _EXPLAIN_OPTIONS:
        start += 1
    # Tokens of several words come later in a statement, so both lists still
    # run in step here; if they did not, the parser would find no read.
    explained = words[start:]
    is_reading = bool(explained) and is_read(explained, tokens[start:])
    return StatementKind.READ if is_reading else StatementKind.WRITE


def _keeps_session_state(words: Words) -> bool:
    """Return whether a statement's effect lasts as long as its connection."""
    return (
        _makes_temporary_table(words)
        or (words[0] == "declare" and ("with", "hold") in _get_pairs(words))
        or any(_locks_session(words, index) for index in _find_calls(words))
    )


def _makes_temporary_table(words: Words) -> bool:
    """Return whether a statement makes a temporary table that outlives it."""
    if words[0] == "create" and not _TEMPORARY.isdisjoint(words[1:3]):
        return ("commit", "drop") not in _get_pairs(words)
    return any(("into", word) in _get_pairs(words) for word in _TEMPORARY)


def _get_pairs(words: Words) -> set[tuple[str, str]]:
    """Return each two words that follow each other."""
    return set(zip(words, words[1:], strict=False))


def _find_calls(words: Words) -> Iterable[int]:
    """Return the indexes of names that are followed by a parenthesis."""
    return (index for index, word in enumerate(words[1:]) if word == "(")


def _locks_session(words: Words, index: int) -> bool:
    """Return whether a call changes or locks something for the whole session."""
    name = words[index].removeprefix('"')
    if name != SET_CONFIG:
        return name in SESSION_LOCKS
    arguments = words[index + 2 :]
    end = arguments.index(")") if ")" in arguments else 0
    return arguments[max(end - 1, 0) : end] != ("true",)
