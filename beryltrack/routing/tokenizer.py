"""Tokenizer of statements, and normalized token texts for the classification.

Keywords and unquoted names are in lower case. Literals and quoted identifiers begin
with a character that no keyword begins with, so that the content of a literal cannot be
mistaken for a keyword.
"""

import re
from itertools import chain, groupby

from sqlglot.dialects.postgres import Postgres
from sqlglot.tokens import Token, TokenType

QUOTED = '"'
"""Prefix of the text of a quoted identifier."""

LITERAL = "'"
"""The text of any string or number."""

_LITERAL_TYPES = frozenset(
    (
        TokenType.STRING,
        TokenType.NUMBER,
        TokenType.BYTE_STRING,
        TokenType.HEX_STRING,
        TokenType.BIT_STRING,
        TokenType.NATIONAL_STRING,
        TokenType.UNICODE_STRING,
        TokenType.HEREDOC_STRING,
        TokenType.RAW_STRING,
    )
)

TokenTexts = tuple[str, ...]
"""The normalized token texts of one statement."""

# sqlglot takes the dollar signs in ``$1,$2`` for those of a quoted string. A space
# after the parameter separates them and does not affect the kind.
_PARAMETER = re.compile(r"(?<![\w$])\$\d+")


class StatementDialect(Postgres):
    """PostgreSQL's dialect, with the tokens of all statements.

    sqlglot's own dialect takes the text after keywords such as ``EXPLAIN`` as one
    string up to the next semicolon, even one inside of a literal.
    """

    class Tokenizer(Postgres.Tokenizer):
        """PostgreSQL's tokenizer, without sqlglot's shortcut for commands."""

        COMMANDS = frozenset()


DIALECT = StatementDialect()


def split_tokens(text: str) -> list[list[Token]]:
    """Return the tokens of each statement of a text.

    Parameters
    ----------
    text : str
        One or more statements, separated by semicolons.

    Returns
    -------
    list of list of sqlglot.tokens.Token
        One list for each statement that is not empty.

    Raises
    ------
    sqlglot.errors.SqlglotError
        If the text cannot be split into tokens.
    """
    groups = groupby(
        DIALECT.tokenize(_PARAMETER.sub(r"\g<0> ", text)),
        key=lambda token: token.token_type == TokenType.SEMICOLON,
    )
    return [list(tokens) for is_separator, tokens in groups if not is_separator]


def get_token_texts(tokens: list[Token]) -> TokenTexts:
    """Return the normalized token texts of one statement.

    Parameters
    ----------
    tokens : list of sqlglot.tokens.Token
        Its tokens.

    Returns
    -------
    tuple of str
        Its texts; a token of several words gives several.
    """
    return tuple(chain.from_iterable(map(_split_token, tokens)))


def _split_token(token: Token) -> list[str]:
    """Return the normalized texts of one token."""
    if token.token_type in _LITERAL_TYPES:
        return [LITERAL]
    if token.token_type == TokenType.IDENTIFIER:
        return [QUOTED + token.text]
    return token.text.lower().split()
