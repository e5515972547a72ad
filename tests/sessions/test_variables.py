"""Parsing of SET, RESET and SHOW."""

import pytest

from beryltrack.sessions.variables import (
    MAX_VALUE_LENGTH,
    SettingChange,
    parse_change,
    parse_show,
)


@pytest.mark.parametrize(
    ("statement", "change"),
    [
        ("SET beryltrack.session = 'new'", ("beryltrack.session", "new", False)),
        ("set Session A to 'it''s';", ("a", "it's", False)),
        ("set local a=on", ("a", "on", True)),
        ("set /* x */ a = 5 -- y\n ;", ("a", "5", False)),
        ("set time zone 'Asia/Taipei'", ("timezone", "Asia/Taipei", False)),
        ("set search_path to a, 'b'", ("search_path", "a, 'b'", False)),
        ("set a to default", ("a", None, False)),
        ("reset a.b", ("a.b", None, False)),
        ("RESET ALL", ("all", None, False)),
    ],
)
def test_a_change_of_a_setting_is_parsed(statement, change):
    assert parse_change(statement) == (SettingChange(*change), [])


@pytest.mark.parametrize(
    "statement",
    [
        "set a",
        "set a = ",
        "set a = 'b' c",
        "set a = 'b'; select 1",
        "reset",
        "select 1",
        "set a = '" + "x" * MAX_VALUE_LENGTH + "'",
        "set a = 1" + " " * (MAX_VALUE_LENGTH - 20) + "x",
    ],
)
def test_other_statements_give_findings(statement):
    change, findings = parse_change(statement)
    assert change is None
    assert findings


def test_show_gives_the_name_of_a_setting():
    assert parse_show("show beryltrack.Session ;") == ("beryltrack.session", [])
    assert parse_show("show a, b")[1]
