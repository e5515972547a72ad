"""Parsing of the platform's configuration, database entries and process settings."""

import copy

import pytest

from beryltrack.objects.messages import PlatformObject
from beryltrack.platform.boot import parse_node_settings, read_node_settings
from beryltrack.platform.settings import read_configuration, read_entry
from beryltrack.settings.incarnations import get_identifier
from beryltrack.settings.messages import Endpoint

CONFIG = {
    "config_version": 7,
    "routes": [
        {
            "name": "r-1",
            "database_name": "lepu",
            "kind": "read_own_writes",
            "timeout_ms": 800,
            "target_latency_ms": 250,
            "priority": 2,
            "service": "huvo",
            "max_staleness_ms": 2500,
        },
        {
            "name": "r-2",
            "database_name": "fiti",
            "kind": "primary",
            "timeout_ms": 1000,
            "target_latency_ms": 150,
            "priority": 1,
            "service": "huvo",
        },
    ],
    "services": [{"name": "huvo", "connection_limit": 43, "sync_replicas": 0}],
    "limits": {"transaction_idle_ms": 3000},
    "of another time": 1,
}
ENTRY = {
    "service": "huvo",
    "address": "10.1.0.9:80",
    "zone": "z",
    "config_version": "v1",
    "slots": 3,
    "state": "draining",
    "cold_remaining_ms": 0,
    "sequence": 4,
}
BOOT = {
    "node_name": "front-1",
    "zone": "z",
    "ip": "10.1.0.8",
    "listen": {"front": "10.1.0.8:84", "ready": "10.1.0.8:85"},
    "internal_ports": [7440, 7455],
    "bounds": {"grace_s": 6},
    "platform": {"address": "10.2.0.1:83"},
    "cloud": {"address": "10.2.0.2:83"},
}


def make_item(value, path="config/main"):
    return PlatformObject(path, 1, value, False)


def test_a_configuration_is_read():
    found, findings = read_configuration(make_item(CONFIG))
    assert findings == [] and found.version == 7 and found.transaction_idle == 3.0
    own, primary = found.routes
    assert (own.name, own.group, own.reads) == ("lepu", "huvo", "any")
    assert own.reads_own_writes and own.max_age == 2.5
    assert primary.reads == "primary" and not primary.reads_own_writes
    assert found.groups[0].max_connections == 43


@pytest.mark.parametrize("field", ["config_version", "routes", "services"])
def test_a_configuration_that_lacks_a_field_is_a_finding(field):
    value = copy.deepcopy(CONFIG)
    del value[field]
    found, findings = read_configuration(make_item(value))
    assert found is None and field in findings[0].text


@pytest.mark.parametrize(
    ("value", "count"), [(None, 1), ([], 1), ("text", 1), ({"routes": [1]}, 2)]
)
def test_an_invalid_configuration_is_a_finding(value, count):
    found, findings = read_configuration(make_item(value))
    assert found is None and len(findings) == count


def test_an_entry_of_a_database_is_read():
    found, findings = read_entry(make_item(ENTRY, "servers/i-1"))
    assert findings == []
    assert (found.name, found.group, found.draining) == ("i-1", "huvo", True)
    assert found.endpoint == Endpoint("10.1.0.9", 80)


def test_a_restarted_database_has_another_name():
    first, _ = read_entry(make_item(ENTRY | {"born": 1764728000000}, "servers/i-1"))
    again, _ = read_entry(make_item(ENTRY | {"born": 1764728000900}, "servers/i-1"))
    assert first.name != again.name
    assert get_identifier(first.name) == get_identifier(again.name) == "i-1"


def test_an_entry_without_an_address_is_a_finding():
    found, findings = read_entry(make_item(ENTRY | {"address": "x"}, "servers/i-1"))
    assert found is None and findings[0].source == "servers/i-1"


def test_the_settings_of_a_process_are_read():
    settings = parse_node_settings(BOOT)
    assert settings.member_listen == Endpoint("10.1.0.8", 7440)
    assert settings.promotion == Endpoint("10.2.0.2", 83)
    assert settings.grace == 6.0
    assert (settings.change_limit, settings.drain_limit) == (3.0, 7.0)


def test_the_time_limits_of_a_process_are_read():
    bounds = {"grace_s": 6, "config_apply_ms": 5000, "drain_ms": 10000}
    settings = parse_node_settings(BOOT | {"bounds": bounds})
    assert (settings.change_limit, settings.drain_limit) == (5.0, 10.0)


def test_a_missing_file_is_a_finding(tmp_path):
    missing = str(tmp_path / "none.json")
    settings, findings = read_node_settings({"BERYLTRACK_BOOT": missing})
    assert settings is None and findings[0].source == missing
