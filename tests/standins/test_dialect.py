"""Splitting, classifying and translating of statement texts for sqlite3."""

import pytest

from beryltrack_standins.database.dialect import (
    StatementKind,
    parse_statements,
    translate,
)
from beryltrack_standins.database.errors import SqlError


def get_kinds(text):
    return [statement.kind for statement in parse_statements(text)]


def test_a_text_is_split_outside_strings_and_comments_only():
    text = "/* a; */ SELECT 'x;y'; BEGIN READ ONLY;; COMMIT -- b; c"
    assert get_kinds(text) == [
        StatementKind.READ,
        StatementKind.BEGIN_READ_ONLY,
        StatementKind.COMMIT,
    ]


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        ("WITH x AS (SELECT 1) SELECT * FROM x", StatementKind.READ),
        ("WITH x AS (SELECT 1) INSERT INTO t SELECT * FROM x", StatementKind.WRITE),
        ("SELECT * FROM t FOR UPDATE", StatementKind.LOCK),
        ("ROLLBACK TO SAVEPOINT s", StatementKind.SAVEPOINT),
        ("SELECT * FROM beryltrack_status()", StatementKind.CONTROL),
        ("DISCARD ALL", StatementKind.SET),
    ],
)
def test_the_kind_of_a_statement(text, kind):
    assert get_kinds(text) == [kind]


def test_casts_are_translated_outside_strings_only():
    text = "SELECT $1::int8, 'a::b', count(*)::text::int"
    assert translate(text) == (
        "SELECT CAST($1 AS int8), 'a::b', CAST(CAST(count(*) AS text) AS int)"
    )


def test_a_text_that_cannot_be_split_is_a_syntax_error():
    with pytest.raises(SqlError) as caught:
        parse_statements("SELECT 'open")
    assert caught.value.sqlstate == "42601"


def test_a_text_needs_no_space_after_its_first_word():
    assert get_kinds("SELECT(1)") == get_kinds("(SELECT 1)") == [StatementKind.READ]
    assert get_kinds("SELECT(1); (SELECT 1)") == 2 * [StatementKind.READ]


def test_parameters_without_a_space_between_are_parameters():
    text = "INSERT INTO t VALUES ($1,$2,'$1,$2')"
    assert parse_statements(text)[0].text == text
    first, second = parse_statements(f"{text}; {text}")
    assert first.text == second.text == "INSERT INTO t VALUES ($1 ,$2 ,'$1,$2')"
