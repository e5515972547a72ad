"""Request options and their precedence."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from beryltrack.sessions.request_options import (
    READS_ANY,
    READS_PRIMARY,
    RequestOptions,
    get_request_options,
    parse_duration,
)
from beryltrack.sessions.rules import RuleSelector
from beryltrack.sessions.tags import Tag, get_tags
from beryltrack.settings.messages import GroupSettings, RuleSettings

GROUP = GroupSettings("firmware", "devices", (), "u", "", 1.5, 0.5)
RULE = RuleSettings("r", "devices", "", "", "", None, READS_ANY, None)
REPEATABLE = settings(derandomize=True, database=None, deadline=None, max_examples=60)


def _get(session=None, statement="select 1", rules=()):
    return get_request_options(session or {}, statement, GROUP, tuple(rules), "ana")


def test_the_group_gives_the_default():
    assert _get() == (RequestOptions(1.5, "", True, READS_ANY), [])


def test_the_source_nearest_to_the_request_has_precedence():
    rules = [RULE._replace(max_age=7.0)]
    session = {"beryltrack.max_age": "3s"}
    tagged = "select 1 /*beryltrack_max_age='200ms'*/"
    assert _get(rules=rules)[0].max_age == 7.0
    assert _get(session, rules=rules)[0].max_age == 3.0
    assert _get(session, tagged, rules)[0].max_age == 0.2


def test_first_matching_rule_applies():
    rules = [
        RULE._replace(team="other", max_age=1.0),
        RULE._replace(group="other", max_age=2.0),
        RULE._replace(user="bob", max_age=3.0),
        RULE._replace(statement="from other", max_age=4.0),
        RULE._replace(statement="from t", reads=READS_PRIMARY, idempotent=False),
        RULE._replace(max_age=6.0),
    ]
    options, _ = _get(statement="select a from t", rules=rules)
    assert options == RequestOptions(1.5, "", False, READS_PRIMARY)


def test_rules_are_selected_again_when_the_settings_change():
    selector = RuleSelector()
    rules = (
        RULE._replace(name="a", group="other"),
        RULE._replace(name="b", team="other"),
        RULE._replace(name="c", group="firmware"),
        RULE._replace(name="d"),
    )
    names = [rule.name for rule in selector.select(rules, GROUP)]
    assert names == ["c", "d"]
    assert selector.select(rules, GROUP) is selector.select(rules, GROUP)
    assert selector.select(rules[3:], GROUP) == rules[3:]
    assert selector.select(rules[:1], GROUP._replace(name="other")) == rules[:1]


def test_options_come_from_session_settings_and_tags():
    session = {"beryltrack.idempotent": "off", "application_name": "x"}
    statement = "insert into t values (1) /* beryltrack_request_id='a%2F1' */"
    assert _get(session, statement)[0] == RequestOptions(1.5, "a/1", False, READS_ANY)


def test_all_malformed_options_are_reported():
    session = {"beryltrack.max_age": "soon", "beryltrack.idempotent": "perhaps"}
    statement = "select 1 /* beryltrack_request_id='a b', beryltrack_maxage='1s' */"
    options, findings = _get(session, statement)
    assert options == RequestOptions(1.5, "", True, READS_ANY)
    assert [(finding.source, finding.place) for finding in findings] == [
        ("session", "max_age"),
        ("session", "idempotent"),
        ("statement tag", "request_id"),
        ("statement tag", "maxage"),
    ]


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("250", 0.25), ("1.5s", 1.5), (" 2 min ", 120.0), ("24h", 86400.0), ("0", 0.0)],
)
def test_durations_have_units(text, seconds):
    assert parse_duration(text) == (seconds, [])


@pytest.mark.parametrize("text", ["", "-1s", "25h", "1d", "nan", "1e9s", "٣s"])
def test_malformed_durations_are_reported(text):
    assert parse_duration(text)[1]


@pytest.mark.parametrize(
    "statement",
    [
        "select '/* beryltrack_max_age=''1s'' */'",
        "select e'\\' /* beryltrack_max_age=\\'1s\\' */'",
        "select \"/* beryltrack_max_age='1s' */\"",
        "select $a$ /* beryltrack_max_age='1s' */ $a$",
        "select 1 -- /* beryltrack_max_age='1s' */",
        "select 1 /* other_beryltrack_max_age='1s' */",
    ],
)
def test_tags_are_read_in_comments_only(statement):
    assert get_tags(statement) == ()


def test_tags_of_other_tools_are_ignored():
    statement = (
        "select 1 /*action='%2Fx',beryltrack_max_age='2s',db='it\\'s',"
        "beryltrack_request_id='a\\'b'*/"
    )
    assert get_tags(statement) == (Tag("max_age", "2s"), Tag("request_id", "a'b"))


@REPEATABLE
@given(st.text("/*-'\"$ab=\\%\n", max_size=20))
def test_any_comment_gives_options(text):
    options, _ = _get(statement=f"select /* beryltrack_{text} */ {text}")
    assert isinstance(options, RequestOptions)
