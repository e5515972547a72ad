"""Malformed objects in the store, which any client may write.

A reader must leave out only such an object and still read all others.
"""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success
from twisted.internet.defer import Deferred

from beryltrack.daemon.members import read_peer
from beryltrack.objects.answers import MAX_DEPTH
from beryltrack.objects.copies import CopyFrame, decode_frames, encode_frames
from beryltrack.objects.http import HttpAnswer
from beryltrack.objects.messages import PlatformObject
from beryltrack.objects.snapshot import decode_snapshot, encode_snapshot
from beryltrack.platform.settings import read_configuration, read_entry
from beryltrack.platform.store import PlatformStore
from tests.platform.test_settings import CONFIG, make_item

ENTRY = {
    "service": "huvo",
    "address": "10.1.0.9:80",
    "zone": "z",
    "config_version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_remaining_ms": 0,
    "database_role": "replica",
    "sequence": 4,
}
MEMBER = {"host": "10.1.0.9", "port": 7440, "relay": 7441, "zone": "z"}
DEEP = 50_000

BAD_FIELDS = [
    ("address", 7),
    ("address", None),
    ("address", "10.1.0.9"),
    ("address", "10.1.0.9:70000"),
    ("address", "10.1.0.9:0"),
    ("address", "10.1.0.9:8x"),
    ("address", "db.example:80"),
    ("zone", 5),
    ("zone", None),
    ("service", ["huvo"]),
    ("service", 3),
    ("service", ""),
    ("service", "hu vo"),
    ("service", "huvo\r\nQUERY"),
    ("slots", True),
    ("slots", -1),
    ("slots", 0),
    ("slots", "3"),
    ("slots", 3.0),
    ("slots", 2**63),
    ("slots", 10**400),
    ("state", "hibernating"),
    ("state", None),
    ("state", ["ready"]),
    ("config_version", 1),
    ("cold_remaining_ms", "0"),
    ("cold_remaining_ms", 1e300),
    ("sequence", "4"),
    ("sequence", None),
    ("database_role", "witness"),
    ("born", "1764728000000"),
    ("born", 1764728000000.0),
    ("born", None),
    ("born", True),
    ("born", -1),
]

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@pytest.mark.parametrize(("field", "value"), BAD_FIELDS)
def test_an_entry_with_an_invalid_field_is_left_out(field, value):
    found, findings = read_entry(make_item(ENTRY | {field: value}, "servers/i-1"))
    assert found is None and findings
    assert findings[0].source == "servers/i-1" and field in findings[0].place


@pytest.mark.parametrize("field", sorted(ENTRY.keys() - {"database_role"}))
def test_an_entry_that_lacks_a_field_is_left_out(field):
    value = {name: each for name, each in ENTRY.items() if name != field}
    found, findings = read_entry(make_item(value, "servers/i-1"))
    assert found is None and field in findings[0].place


@pytest.mark.parametrize("value", [None, [], "text", 7, {}])
def test_a_value_that_is_no_entry_is_left_out(value):
    found, findings = read_entry(make_item(value, "servers/i-1"))
    assert found is None and findings


@pytest.mark.parametrize("name", ["", "i 1", "i-1\r\n", "i-é", "\ud800"])
def test_an_entry_with_an_invalid_name_is_left_out(name):
    found, findings = read_entry(make_item(ENTRY, f"servers/{name}"))
    assert found is None and findings


def test_unknown_fields_are_ignored():
    found, findings = read_entry(make_item(ENTRY | {"other": [1]}, "servers/i-1"))
    assert found is not None and findings == []


@given(JSON_VALUES, st.sampled_from(sorted(ENTRY)))
def test_any_value_of_any_field_is_read_or_is_a_finding(value, field):
    found, findings = read_entry(make_item(ENTRY | {field: value}, "servers/i-1"))
    assert (found is None) == bool(findings)


@given(JSON_VALUES)
def test_any_object_is_read_or_is_a_finding(value):
    for path, read in (
        ("servers/i-1", read_entry),
        ("config/main", read_configuration),
    ):
        found, findings = read(make_item(value, path))
        assert found is not None or findings


@given(JSON_VALUES, st.sampled_from(sorted(MEMBER)))
def test_any_object_of_an_instance_is_read_or_left_out(value, field):
    item = make_item(MEMBER | {field: value}, "members/front-1")
    peer, findings = read_peer(item)
    assert (peer is None) == bool(findings)
    assert peer is None or peer.relay_endpoint.port in range(1, 65536)


def test_only_the_route_that_cannot_be_read_is_left_out():
    bad = CONFIG["routes"][0] | {"kind": "eventual"}
    value = CONFIG | {"routes": [bad, CONFIG["routes"][1], 7]}
    found, findings = read_configuration(make_item(value))
    assert [route.name for route in found.routes] == ["fiti"]
    assert len(findings) == 2


class RawHttp:
    """Returns the same answer, as raw bytes, to each call."""

    timeout = 2.0

    def __init__(self, body):
        self.body = body

    async def send_with_retries(self, method, url, body, repeatable):
        return Success(HttpAnswer(200, self.body))

    async def watch(self, url, after, limit):
        return Success(HttpAnswer(200, self.body))


def make_object(name, spec):
    return {"meta": {"name": name, "revision": 3}, "spec": spec}


def list_objects(body):
    store = PlatformStore(RawHttp(body))
    result = Deferred.fromCoroutine(store.list("servers")).result
    return [item.path for item in result.unwrap().objects if item.value is not None]


BAD_OBJECTS = [
    b"7",
    b"null",
    b"{}",
    b'{"meta": null, "spec": {}}',
    b'{"meta": {"name": 7, "revision": 3}, "spec": {}}',
    b'{"meta": {"name": "x"}, "spec": null}',
    b'{"meta": {"name": "x", "revision": "y"}, "spec": null}',
    b'{"meta": {"name": "x", "revision": 1e999}, "spec": null}',
    b'{"meta": {"name": "x", "revision": %s}, "spec": null}' % (b"7" * 5000),
    b'{"meta": {"name": "x", "revision": 3}, "spec": null, "y": "\xff\xfe"}',
    b'{"meta": {"name": "x", "revision": 3}, "spec": null, "y": "\\ud800"}',
    b'{"meta": {"name": "x", "revision": 3}, "spec": null, "y": %s}'
    % (b"[" * DEEP + b"]" * DEEP),
]

DAMAGED_TEXT = st.text('a\u00e9\ufffd\ud800\ud83d\ude00\udcff\\"', max_size=4)
DAMAGED_VALUES = st.recursive(
    st.none() | st.integers() | DAMAGED_TEXT,
    lambda inner: st.lists(inner) | st.dictionaries(DAMAGED_TEXT, inner),
    max_leaves=8,
)


@pytest.mark.parametrize("bad", BAD_OBJECTS, ids=range(len(BAD_OBJECTS)))
def test_only_the_object_that_cannot_be_decoded_is_left_out(bad):
    good = json.dumps(make_object("i-1", ENTRY)).encode()
    last = json.dumps(make_object("i-2", ENTRY)).encode()
    body = b'{"items": [%s, %s, %s], "has_more": false, "current_rev": 9}'
    assert list_objects(body % (good, bad, last)) == ["servers/i-1", "servers/i-2"]


@pytest.mark.parametrize("bad", BAD_OBJECTS, ids=range(len(BAD_OBJECTS)))
def test_only_the_change_that_cannot_be_decoded_is_left_out(bad):
    good = json.dumps({"object": make_object("i-1", ENTRY), "removed": False}).encode()
    body = b'{"events": [{"object": %s, "removed": false}, %s], "current_rev": 9}'
    store = PlatformStore(RawHttp(body % (bad, good)))
    found = Deferred.fromCoroutine(store.watch("servers", 3, 1.0)).result.unwrap()
    assert found.revision == 9
    paths = [item.path for item in found.objects if item.value is not None]
    assert paths == ["servers/i-1"]


def list_all(*objects):
    """Return what the store lists, as the feed of an instance gets it."""
    page = {"items": objects, "has_more": False, "current_rev": 9}
    store = PlatformStore(RawHttp(json.dumps(page).encode()))
    return Deferred.fromCoroutine(store.list("servers")).result.unwrap().objects


def assert_forwarded(found):
    """Check that another instance decodes the objects from a frame and a snapshot."""
    frame = CopyFrame("servers", 9, True, True, found)
    assert decode_frames(encode_frames((frame,))) == (frame,)
    by_path = {item.path: item for item in found}
    assert decode_snapshot(encode_snapshot({"servers": by_path}))["servers"] == by_path


@given(DAMAGED_TEXT.filter(bool), DAMAGED_VALUES)
def test_any_object_of_the_store_is_forwarded_to_other_instances(name, value):
    """Guards against a feed that ends as it cannot encode another writer's text."""
    found = list_all(make_object("i-1", ENTRY), make_object(name, value))
    assert found[0].value == ENTRY and len(found) == 2
    assert_forwarded(found)


@pytest.mark.parametrize("depth", [MAX_DEPTH, 399, 400, 500, 900])
def test_a_deep_object_of_the_store_is_forwarded_to_other_instances(depth):
    """Guards against frames and snapshots that no other instance can decode."""
    deep = json.loads("[" * depth + "]" * depth)
    found = list_all(make_object("i-1", ENTRY), make_object("i-2", deep))
    assert [item.path for item in found] == ["servers/i-1", "servers/i-2"]
    assert_forwarded(found)


def test_a_name_that_is_no_text_does_not_end_a_list_of_several_pages():
    """Guards against an exception as the next page is asked for by that name."""
    page = {"items": [make_object("\udcff", ENTRY)], "has_more": True, "current_rev": 9}
    http = RawHttp(json.dumps(page).encode())
    urls = []

    async def send(method, url, body, repeatable):
        urls.append(url)
        answer, http.body = http.body, json.dumps(page | {"has_more": False}).encode()
        return Success(HttpAnswer(200, answer))

    http.send_with_retries = send
    result = Deferred.fromCoroutine(PlatformStore(http).list("servers")).result
    assert len(result.unwrap().objects) == 1
    assert urls[1] == "/api/objects/servers?after=%EF%BF%BD"


@pytest.mark.parametrize(
    "fields", [(7, 1, {}, False), ("servers/i-2", "x", {}, False), ("a",), ()]
)
def test_only_the_malformed_object_of_a_snapshot_is_left_out(fields):
    good = PlatformObject("servers/i-1", 3, ENTRY, False)
    copies = {"servers": {"servers/i-1": good, "x": fields}}
    found = decode_snapshot(encode_snapshot(copies))
    assert list(found["servers"]) == ["servers/i-1"]


@given(st.binary(max_size=200))
def test_a_copy_of_any_bytes_is_read_or_left_out(data):
    assert decode_snapshot(data) is None or isinstance(decode_snapshot(data), dict)
