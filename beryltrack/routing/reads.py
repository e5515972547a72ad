"""Proof that a statement only reads, from its tokens and its syntax tree."""

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
from beryltrack.routing.tokenizer import DIALECT, LITERAL, QUOTED, TokenTexts

READ_FIRST_KEYWORDS = frozenset(("select", "with", "values", "table", "("))
"""First tokens of statements that can be reads."""

MAX_TOKENS = 1000
"""Maximum tokens of a statement that is parsed: the parser takes about 40 us each."""

MAX_DEPTH = 64
"""Maximum nesting levels of a statement that is parsed: the parser is recursive."""

MAX_TYPE_DEPTH = 5
"""Maximum nesting levels of types: each one doubles the parser's work."""

_WRITE_KEYWORDS = frozenset(("insert", "update", "delete", "merge", "into"))
_LOCK_STRENGTHS = frozenset(("update", "no", "share", "key"))
_CATALOG_SCHEMA = "pg_catalog"
_READ_ROOTS = (exp.Select, exp.SetOperation, exp.Values, exp.Subquery, exp.Table)
_WRITE_NODES = (
    exp.Insert,
    exp.Update,
    exp.Delete,
    exp.Merge,
    exp.Into,
    exp.Lock,
    exp.Create,
    exp.Command,
)
_OPENING_BRACKETS = (TokenType.L_PAREN, TokenType.L_BRACKET)
_CLOSING_BRACKETS = (TokenType.R_PAREN, TokenType.R_BRACKET)


def is_read(texts: TokenTexts, tokens: list[Token]) -> bool:
    """Return whether a statement provably only reads.

    Parameters
    ----------
    texts : tuple of str
        The statement's normalized token texts.
    tokens : list of sqlglot.tokens.Token
        Its tokens.

    Returns
    -------
    bool
        True only if it provably neither changes nor locks anything.
    """
    return (
        texts[0] in READ_FIRST_KEYWORDS
        and _WRITE_KEYWORDS.isdisjoint(texts)
        and not _locks_rows(texts)
        and _is_cheap(tokens)
        and all(is_read_only_call(texts, index) for index in _find_parentheses(texts))
        and _parses_as_read(tokens)
    )


def is_read_only_call(texts: TokenTexts, index: int) -> bool:
    """Return whether the token before a parenthesis names nothing with side effects.

    Parameters
    ----------
    texts : tuple of str
        The statement's normalized token texts.
    index : int
        Index of the parenthesis; at least 1.

    Returns
    -------
    bool
        True for functions known to have no side effect, types, aliases,
        keywords and operators.
    """
    name = texts[index - 1]
    before = texts[index - 2] if index > 1 else ""
    if before == ".":
        return texts[index - 3] == _CATALOG_SCHEMA and _is_known(name)
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
    """Return whether a name is in `READ_ONLY_FUNCTIONS`."""
    return name.removeprefix(QUOTED) in READ_ONLY_FUNCTIONS


def _ends_operand(text: str) -> bool:
    """Return whether an operand can end in a token."""
    if text in (")", "]", LITERAL) or text.startswith(QUOTED):
        return True
    return text[:1].isidentifier() and text not in OPENING_KEYWORDS


def _find_parentheses(texts: TokenTexts) -> Iterator[int]:
    """Return the indexes of the opening parentheses, except a leading one."""
    return (index for index, text in enumerate(texts) if text == "(" and index)


def _locks_rows(texts: TokenTexts) -> bool:
    """Return whether a query locks rows, as in ``FOR UPDATE``."""
    pairs = zip(texts, texts[1:], strict=False)
    return any(
        text == "for" and following in _LOCK_STRENGTHS for text, following in pairs
    )


def _is_cheap(tokens: list[Token]) -> bool:
    """Return whether a statement is small and flat enough to be parsed safely."""
    if len(tokens) > MAX_TOKENS:
        return False
    opened_brackets: list[bool] = []
    depth = type_depth = open_type_count = parameterized_types = 0
    for before, token in zip([None, *tokens], tokens, strict=False):
        is_type = before is not None and before.token_type in Parser.TYPE_TOKENS
        if token.token_type in _OPENING_BRACKETS:
            opened_brackets.append(is_type)
            open_type_count += is_type
        elif token.token_type in _CLOSING_BRACKETS and opened_brackets:
            open_type_count -= opened_brackets.pop()
        elif token.token_type == TokenType.LT:
            parameterized_types += is_type
        depth = max(depth, len(opened_brackets))
        type_depth = max(type_depth, open_type_count)
    return depth <= MAX_DEPTH and max(type_depth, parameterized_types) <= MAX_TYPE_DEPTH


def _parses_as_read(tokens: list[Token]) -> bool:
    """Return whether a statement parses and no node of its tree writes."""
    try:
        trees = DIALECT.parser().parse(tokens, "")
    except Exception:
        # On malformed input the parser also raises errors other than its own. In
        # each case the statement is not proven to be a read.
        return False
    return len(trees) == 1 and _only_reads(trees[0])


def _only_reads(tree: exp.Expression | None) -> bool:
    """Return whether a syntax tree has a reading root and no node that writes."""
    if not isinstance(tree, _READ_ROOTS):
        return False
    return tree.find(*_WRITE_NODES) is None
