"""Splits SQL texts into statements, classifies them and translates them for sqlite3.

The translation covers only the parts of PostgreSQL's dialect that tests and simple
sessions use. All results are cached by text, because callers repeat their texts.
"""

import enum
import functools
import itertools
import re
from typing import NamedTuple

import sqlglot
from sqlglot.errors import SqlglotError
from sqlglot.tokens import Token, TokenType

from beryltrack_standins.database.errors import SYNTAX_ERROR, SqlError


class StatementKind(enum.Enum):
    """How the session has to handle a statement."""

    READ = "read"
    LOCK = "lock"
    WRITE = "write"
    SAVEPOINT = "savepoint"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin read only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET = "set"
    SHOW = "show"
    CONTROL = "control"


class Statement(NamedTuple):
    """One statement, ready for sqlite3.

    Parameters
    ----------
    kind : StatementKind
        How the session has to handle it.
    text : str
        The text for sqlite3.
    tag : str
        The start of its command tag.
    parameters : int
        The highest number among its parameters (``$N``), zero if it has none.
    returns_rows : bool
        True if its answer has rows.
    sleep : str
        The argument of ``pg_sleep``; empty if it is not called.
    """

    kind: StatementKind
    text: str
    tag: str
    parameters: int
    returns_rows: bool
    sleep: str


_KINDS = {
    "SELECT": StatementKind.READ,
    "VALUES": StatementKind.READ,
    "WITH": StatementKind.READ,
    "TABLE": StatementKind.READ,
    "EXPLAIN": StatementKind.READ,
    "BEGIN": StatementKind.BEGIN,
    "START": StatementKind.BEGIN,
    "COMMIT": StatementKind.COMMIT,
    "END": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
    "ABORT": StatementKind.ROLLBACK,
    "SAVEPOINT": StatementKind.SAVEPOINT,
    "RELEASE": StatementKind.SAVEPOINT,
    "SET": StatementKind.SET,
    "RESET": StatementKind.SET,
    "DISCARD": StatementKind.SET,
    "DEALLOCATE": StatementKind.SET,
    "CLOSE": StatementKind.SET,
    "UNLISTEN": StatementKind.SET,
    "SHOW": StatementKind.SHOW,
}
# The kind of a statement follows from this many first words.
_MAX_KIND_WORDS = 8
_WORD = re.compile(r"\w+")
# A text without these is one statement and begins with its first word.
_NEEDS_TOKENIZER = re.compile(r";|--|/\*|\$\D|[\"\\]")
_TWO_WORD_TAGS = ("CREATE", "DROP", "ALTER", "DISCARD")
_TAGS = {"START": "BEGIN", "END": "COMMIT", "ABORT": "ROLLBACK"}
_STRING = r"'(?:[^']|'')*'"
# The patterns match at most one pair of brackets inside another.
_BRACKETS = r"\((?:[^()]|\([^()]*\))*\)"
_CAST = re.compile(
    rf"(?P<operand>{_STRING}|\$\d+|\w+(?:\.\w+)?(?:{_BRACKETS})?|{_BRACKETS})"
    rf"::(?P<type>\w+(?:\(\d+\))?(?:\[\])?)|{_STRING}"
)
_SERIES = re.compile(
    r"generate_series\(([^,()]+),([^,()]+)\)"
    r"(?:\s+(?:AS\s+)?(?!WHERE|ORDER|LIMIT|GROUP|JOIN|CROSS|UNION)(\w+)(?:\((\w+)\))?)?",
    re.I,
)
_REPLACEMENTS = (
    (
        re.compile(r"\b(?:BIG|SMALL)?SERIAL\s+PRIMARY\s+KEY", re.I),
        "INTEGER PRIMARY KEY",
    ),
    (re.compile(r"\bDEFAULT\s+now\(\)", re.I), "DEFAULT (now())"),
    (re.compile(r"\bDEFAULT\s+CURRENT_TIMESTAMP\b", re.I), "DEFAULT (now())"),
    (re.compile(r"\bCURRENT_TIMESTAMP\b", re.I), "now()"),
    (re.compile(r"\bILIKE\b", re.I), "LIKE"),
    (re.compile(r"\bFOR\s+(?:NO\s+KEY\s+)?(?:UPDATE|SHARE)\b", re.I), ""),
    (re.compile(r"^\s*TRUNCATE(?:\s+TABLE)?\b", re.I), "DELETE FROM"),
)
_LOCKING = re.compile(r"\bFOR\s+(?:NO\s+KEY\s+)?(?:UPDATE|SHARE)\b", re.I)
_DATA_CHANGE = re.compile(r"\b(?:INSERT\s+INTO|UPDATE|DELETE\s+FROM)\b", re.I)
_CONTROL = re.compile(r"^\s*SELECT\s+\*\s+FROM\s+beryltrack_\w+\s*\(", re.I)
_SLEEP = re.compile(r"\bpg_sleep\(\s*(\$\d+|[\d.]+)\s*(?:::\w+)?\)", re.I)
_PARAMETER = re.compile(r"\$(\d+)")
# The tokenizer mistakes the dollars in ``$1,$2`` for the quotes of a string.
_ADJACENT_PARAMETER = re.compile(r"""'[^']*'|"[^"]*"|\$\d+(?=,)""")


@functools.lru_cache(maxsize=4096)
def parse_statements(text: str) -> tuple[Statement, ...]:
    """Split a text into statements and prepare each for sqlite3.

    Parameters
    ----------
    text : str
        One or more statements in PostgreSQL's dialect.

    Returns
    -------
    tuple of Statement
        The statements; empty for an empty text.

    Raises
    ------
    SqlError
        If the text cannot be split into tokens (42601).
    """
    if not _NEEDS_TOKENIZER.search(text) and text.count("'") % 2 == 0:
        return (_prepare_statement(text),) if text.strip() else ()
    text = _ADJACENT_PARAMETER.sub(_space_parameter, text)
    try:
        tokens = sqlglot.tokenize(text, read="postgres")
    except SqlglotError as error:
        raise SqlError(SYNTAX_ERROR, f"syntax error: {error}") from error
    parts = itertools.groupby(
        tokens, lambda token: token.token_type == TokenType.SEMICOLON
    )
    return tuple(
        _prepare_statement(_get_source(text, list(part)))
        for is_end, part in parts
        if not is_end
    )


def _space_parameter(match: re.Match[str]) -> str:
    """Return a parameter with a space after it, and a literal unchanged."""
    return f"{match[0]} " if match[0].startswith("$") else match[0]


def translate(text: str) -> str:
    """Translate a statement from PostgreSQL's dialect to sqlite3's."""
    text = _SERIES.sub(_expand_series, _translate_casts(text))
    return functools.reduce(
        lambda result, change: change[0].sub(change[1], result), _REPLACEMENTS, text
    )


def _translate_casts(text: str) -> str:
    """Return the text with each ``a::b`` written as ``CAST(a AS b)``."""
    while "::" in text:
        result = _CAST.sub(_write_cast, text)
        if result == text:
            break
        text = result
    return text


def _write_cast(match: re.Match[str]) -> str:
    """Return one cast as ``CAST``, and a string literal unchanged."""
    if match["operand"] is None:
        return match[0]
    return f"CAST({match['operand']} AS {match['type'].removesuffix('[]')})"


def _expand_series(match: re.Match[str]) -> str:
    """Return a recursive query for a call of ``generate_series`` in FROM."""
    first, last, alias, column = match.groups()
    alias = alias or "generate_series"
    column = column or alias
    return (
        f"(WITH RECURSIVE s({column}) AS (SELECT CAST({first} AS INTEGER) UNION ALL"
        f" SELECT {column} + 1 FROM s WHERE {column} < {last})"
        f" SELECT {column} FROM s) AS {alias}"
    )


def _get_source(text: str, tokens: list[Token]) -> str:
    """Return the part of a text that consecutive tokens cover."""
    return text[tokens[0].start : tokens[-1].end + 1]


def _prepare_statement(source: str) -> Statement:
    """Classify and translate a text that is one statement."""
    found = itertools.islice(_WORD.finditer(source), _MAX_KIND_WORDS)
    keywords = [match[0].upper() for match in found]
    kind = _get_kind(source, keywords)
    sleep = _SLEEP.search(source)
    return Statement(
        kind,
        translate(source),
        _get_tag(keywords),
        max(map(int, _PARAMETER.findall(source)), default=0),
        kind in (StatementKind.READ, StatementKind.LOCK, StatementKind.SHOW)
        or kind is StatementKind.CONTROL
        or "RETURNING" in source.upper(),
        sleep[1] if sleep else "",
    )


def _get_kind(source: str, keywords: list[str]) -> StatementKind:
    """Return the kind of a statement."""
    kind = _KINDS.get(keywords[0] if keywords else "", StatementKind.WRITE)
    if kind is StatementKind.BEGIN and "ONLY" in keywords:
        return StatementKind.BEGIN_READ_ONLY
    if kind is StatementKind.ROLLBACK and "TO" in keywords:
        return StatementKind.SAVEPOINT
    if kind is StatementKind.READ and _CONTROL.match(source):
        return StatementKind.CONTROL
    if kind is StatementKind.READ and _LOCKING.search(source):
        return StatementKind.LOCK
    if keywords[:1] == ["WITH"] and _DATA_CHANGE.search(source):
        return StatementKind.WRITE
    return kind


def _get_tag(keywords: list[str]) -> str:
    """Return the start of a statement's command tag."""
    if not keywords or keywords[0] in _TWO_WORD_TAGS:
        return " ".join(keywords[:2])
    if _KINDS.get(keywords[0]) is StatementKind.READ:
        return "SELECT"
    return _TAGS.get(keywords[0], keywords[0])
