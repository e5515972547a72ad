"""Parsing of the line protocol: any bytes give a message or a defined error."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beryltrack.groups.messages import LogPosition
from beryltrack.platform import lines
from beryltrack.platform.codes import decode_error, encode_error
from beryltrack.platform.group import parse_row
from beryltrack.platform.statements import LineStatement, parse_query


@given(st.binary(max_size=200))
def test_any_query_is_a_statement_or_nothing(line):
    found = parse_query(line)
    assert found is None or isinstance(found, LineStatement)


@given(st.binary(max_size=100))
def test_any_ready_is_read_or_refused(line):
    try:
        lines.parse_ready(line)
    except lines.LineError:
        pass


@given(st.binary(max_size=100))
def test_any_row_and_any_error_are_read(line):
    parse_row(line)
    assert b"\n" not in encode_error(decode_error(line))[:-2]


@pytest.mark.parametrize(
    ("line", "verb", "fields"),
    [
        (b"QUERY 1 READ 1a4", b"READ", (b"1a4",)),
        (b"QUERY 1 WRITE 1a4 x y", b"WRITE", (b"1a4", b"x y")),
        (b"QUERY 1 BEGIN", b"BEGIN", ()),
        (b"QUERY 1 BEGIN READ", b"BEGIN", (b"READ",)),
        (b"QUERY 1 EXECUTE s1 1a4 x y", b"EXECUTE", (b"s1", b"1a4", b"x y")),
        (b"QUERY 1 SET name a b", b"SET", (b"name", b"a b")),
    ],
)
def test_statements_are_parsed(line, verb, fields):
    statement = parse_query(line)
    assert (statement.verb, statement.fields) == (verb, fields)


@pytest.mark.parametrize(
    "line",
    [
        b"QUERY 1",
        b"QUERY  READ x",
        b"QUERY 1 FROB x",
        b"QUERY 1 READ",
        b"QUERY 1 WRITE x",
        b"QUERY 1 BEGIN WRITE",
        b"QUERY 1 COMMIT now",
        b"QUERY 1 AFTER 1.2 READ x",
        b"QUERY 1 PREPARE s1 DROP x",
    ],
)
def test_an_invalid_statement_is_refused(line):
    assert parse_query(line) is None


def test_a_required_position_is_formatted():
    assert lines.format_after(LogPosition(3, 1207)) == b"AFTER 3.1207 "


@pytest.mark.parametrize(
    ("text", "message", "retry_after"),
    [
        (b"full Try again in 0.20 seconds.", "busy: full", 0.2),
        (b"full. Try again in 12.00 seconds.", "busy: full", 12.0),
        (b"full, try again", "busy: full, try again", 0.0),
        (b"Try again in x seconds.", "busy: Try again in x seconds.", 0.0),
    ],
)
def test_the_retry_time_of_a_refusal_is_parsed(text, message, retry_after):
    error = decode_error(b"ERROR BUSY " + text)
    assert (error.message, error.retry_after) == (message, retry_after)
