"""Validation of single settings objects: all findings, each with its JSON pointer."""

from beryltrack.settings.instance_file import load_instance_settings
from beryltrack.settings.messages import Endpoint, RuleSettings
from beryltrack.settings.parsing import parse_settings
from tests.settings.examples import (
    GROUP_PATH,
    RULE_PATH,
    USER_PATH,
    make_database,
    make_group,
)


def get_places(path: str, value: object) -> list[str]:
    return [finding.place for finding in parse_settings(path, value)[1]]


def test_group_gets_defaults_and_its_name_from_the_path():
    group, findings = parse_settings(GROUP_PATH, make_group(max_age=2))
    assert findings == ()
    assert (group.name, group.team, group.max_age) == ("orders", "shop", 2)
    assert group.databases[1].endpoint == Endpoint("127.0.0.1", 5002)
    assert group.databases[1].slots == 3
    assert not group.databases[1].draining


def test_all_findings_of_a_group_are_reported_together():
    databases = [make_database("db0", 0), make_database("db1", 5, slots="x")]
    value = {"databases": databases, "max_age": -1, "colour": 1}
    places = get_places(GROUP_PATH, value)
    assert places == [
        "",
        "",
        "/databases/0/endpoint/port",
        "/databases/1/slots",
        "/max_age",
    ]


def test_host_must_be_an_ip_address():
    endpoint = {"host": "localhost", "port": 5}
    value = make_group(databases=[make_database("db0", 1, endpoint=endpoint)])
    assert get_places(GROUP_PATH, value) == ["/databases/0/endpoint/host"]


def test_members_of_a_group_must_differ():
    databases = [make_database("db0", 1), make_database("db0", 1)]
    assert get_places(GROUP_PATH, make_group(databases=databases)) == [
        "/databases/0/name",
        "/databases/1/name",
        "/databases/0/endpoint",
        "/databases/1/endpoint",
    ]


def test_not_all_databases_may_drain_and_slots_need_connections():
    database = make_database("db0", 1, draining=True, slots=21)
    value = make_group(databases=[database])
    assert get_places(GROUP_PATH, value) == ["/databases/0/slots", "/databases"]


def test_rule_has_defaults():
    rule, findings = parse_settings(RULE_PATH, {"max_age": 5})
    assert findings == ()
    assert rule == RuleSettings("stale", "shop", "", "", "", 5, "any", None)


def test_rule_for_the_primary_cannot_have_a_staleness():
    assert get_places(RULE_PATH, {"max_age": 5, "reads": "primary"}) == ["/max_age"]


def test_user_without_a_secret_needs_explicit_trust():
    assert get_places(USER_PATH, {}) == ["/secret"]
    assert parse_settings(USER_PATH, {"trust": True})[0].secret == ""


def test_secret_is_not_shown_in_a_finding():
    (finding,) = parse_settings(USER_PATH, {"secret": "hunter2"})[1]
    assert finding.place == "/secret"
    assert "hunter2" not in finding.text


def test_integers_and_finite_numbers_are_required():
    databases = [make_database("db0", 1, max_connections=20.0)]
    value = make_group(databases=databases, max_age=float("nan"))
    assert get_places(GROUP_PATH, value) == [
        "/databases/0/max_connections",
        "/max_age",
    ]


def test_invalid_paths_are_findings():
    for path in (
        "settings/shop/rules/x\n",
        "settings/shop/orders",
        "settings/shop/colours/x",
        "settings/../a/b",
    ):
        assert parse_settings(path, {})[1]


def test_all_findings_of_an_instance_file_are_reported_together():
    settings, findings = load_instance_settings(
        '{"name": "p 1", "zone": "a", "listen": {"host": "127.0.0.1"},'
        ' "platform_url": "ftp://x", "peer_key": "short"}',
        "p1.json",
    )
    assert settings is None
    assert {finding.place for finding in findings} == {
        "",
        "/listen",
        "/name",
        "/platform_url",
        "/peer_key",
    }


def test_instance_file_gives_typed_settings():
    settings, findings = load_instance_settings(
        '{"name": "p1", "zone": "a", "listen": {"host": "127.0.0.1", "port": 1},'
        ' "peer_listen": {"host": "127.0.0.1", "port": 2},'
        ' "health_listen": {"host": "::1", "port": 0},'
        ' "platform_url": "http://127.0.0.1:3", "peer_key": "0123456789abcdef"}',
        "p1.json",
    )
    assert findings == ()
    assert settings.health_listen == Endpoint("::1", 0)
    assert settings.drain_limit == 30


def test_invalid_json_is_a_finding_with_its_line():
    settings, findings = load_instance_settings('{\n"name": }', "p1.json")
    assert settings is None
    assert findings[0].place == "line 2"
