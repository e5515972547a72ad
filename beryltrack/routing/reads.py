"""The proof that a statement only reads, from its words and its syntax tree."""

from collections.abc import Iterator

from sqlglot import exp
from sqlglot.parser import Parser
from sqlglot.tokens import Token, TokenType

from beryltrack.routing.functions import (
    ALIAS_KEYWORDS,
    OPENING_KEYWORDS,
    OPERAND_KEYWORDS,
    PAIRED_KEYWORDS,
    READ_ONLY_FUNCTIONS,
)
from beryltrack.routing.tokenizer import DIALECT, LITERAL, QUOTED, Words

READ_OPENINGS = frozenset(("select", "with", "values", "table", "("))
"""The first words of the statements that can be reads."""

MAX_TOKENS = 1000
"""Longer statements are not parsed: a token takes the parser about 40 us."""

MAX_DEPTH = 64
"""Deeper nesting is not parsed, as the parser works by recursion."""

MAX_TYPE_DEPTH = 5
"""Deeper nesting of types is not parsed: each level doubles the parser's work."""

_WRITING_WORDS = frozenset(("insert", "update", "delete", "merge", "into"))
_LOCK_STRENGTHS = frozenset(("update", "no", "share", "key"))
_CATALOG_SCHEMA = "pg_catalog"
_READING_ROOTS = (exp.Select, exp.SetOperation, exp.Values, exp.Subquery, exp.Table)
_WRITING_NODES = (
    exp.Insert,
    exp.Update,
    exp.Delete,
    exp.Merge,
    exp.Into,
    exp.Lock,
    exp.Create,
    exp.Command,
)
_OPENERS = (TokenType.L_PAREN, TokenType.L_BRACKET)
_CLOSERS = (TokenType.R_PAREN, TokenType.R_BRACKET)


def is_read(words: Words, tokens: list[Token]) -> bool:
    """Return whether a statement can be shown to only read.

    Parameters
    ----------
    words : tuple of str
        The statement's words.
    tokens : list of sqlglot.tokens.Token
        Its tokens.

    Returns
    -------
    bool
        True only if it provably changes nothing and locks nothing.
    """
    return (
        words[0] in READ_OPENINGS
        and _WRITING_WORDS.isdisjoint(words)
        and not _locks_rows(words)
        and _is_cheap(tokens)
        and all(is_harmless_call(words, index) for index in _find_lists(words))
        and _parses_as_read(tokens)
    )


def is_harmless_call(words: Words, index: int) -> bool:
    """Return whether what stands before a parenthesis has no effect.

    Parameters
    ----------
    words : tuple of str
        The statement's words.
    index : int
        Index of the parenthesis; at least 1.

    Returns
    -------
    bool
        True for functions known to have no effect, types, aliases, keywords
        and operators.
    """
    name = words[index - 1]
    before = words[index - 2] if index > 1 else ""
    if before == ".":
        return words[index - 3] == _CATALOG_SCHEMA and _is_known(name)
    if before in ALIAS_KEYWORDS and name not in OPERAND_KEYWORDS:
        return True
    if name.startswith(QUOTED):
        return _is_known(name)
    if name == LITERAL or not (name[0].isalpha() or name[0] == "_"):
        return True
    if (name, before) in PAIRED_KEYWORDS:
        return True
    if name in OPERAND_KEYWORDS:
        return _ends_operand(before)
    return name in OPENING_KEYWORDS or _is_known(name)


def _is_known(name: str) -> bool:
    """Return whether a name is that of a function without an effect."""
    return name.removeprefix(QUOTED) in READ_ONLY_FUNCTIONS


def _ends_operand(word: str) -> bool:
    """Return whether an operand can end in a word."""
    if word in (")", "]", LITERAL) or word.startswith(QUOTED):
        return True
    return word[:1].isidentifier() and word not in OPENING_KEYWORDS


def _find_lists(words: Words) -> Iterator[int]:
    """Return the indexes of the parentheses that something stands before."""
    return (index for index, word in enumerate(words) if word == "(" and index)


def _locks_rows(words: Words) -> bool:
    """Return whether a query locks the rows that it finds."""
    pairs = zip(words, words[1:], strict=False)
    return any(word == "for" and then in _LOCK_STRENGTHS for word, then in pairs)


def _is_cheap(tokens: list[Token]) -> bool:
    """Return whether a statement is so small and flat that it is safe to parse."""
    if len(tokens) > MAX_TOKENS:
        return False
    opened_types: list[bool] = []
    depth = type_depth = types_opened = bounds_of_types = 0
    for before, token in zip([None, *tokens], tokens, strict=False):
        is_type = before is not None and before.token_type in Parser.TYPE_TOKENS
        if token.token_type in _OPENERS:
            opened_types.append(is_type)
            types_opened += is_type
        elif token.token_type in _CLOSERS and opened_types:
            types_opened -= opened_types.pop()
        elif token.token_type == TokenType.LT:
            bounds_of_types += is_type
        depth = max(depth, len(opened_types))
        type_depth = max(type_depth, types_opened)
    return depth <= MAX_DEPTH and max(type_depth, bounds_of_types) <= MAX_TYPE_DEPTH


def _parses_as_read(tokens: list[Token]) -> bool:
    """Return whether a statement parses, with no part that writes."""
    try:
        trees = DIALECT.parser().parse(tokens, "")
    except Exception:
        # The parser also fails with errors that are not its own on malformed
        # input. Whatever the reason, there is no proof then.
        return False
    return len(trees) == 1 and _only_reads(trees[0])


def _only_reads(tree: exp.Expression | None) -> bool:
    """Return whether a syntax tree has no part that writes."""
    if not isinstance(tree, _READING_ROOTS):
        return False
    return tree.find(*_WRITING_NODES) is None
