"""Calls of the platform's object store, against scripted HTTP answers."""

import json

import pytest
from returns.result import Success
from twisted.internet.defer import Deferred

from beryltrack.objects.http import HttpAnswer
from beryltrack.objects.messages import ErrorKind
from beryltrack.platform.store import PlatformStore


def make_object(name, revision, spec=None):
    meta = {"name": name, "revision": revision, "created": 1, "finalizers": []}
    return {"meta": meta, "spec": spec, "status": None}


class ScriptedHttp:
    """Returns one answer after another and records the calls."""

    timeout = 2.0

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def send_once(self, method, url, body, timeout=None, headers=None):
        self.calls.append((method, url, body))
        code, value = self.answers.pop(0)
        return Success(HttpAnswer(code, json.dumps(value).encode()))

    async def watch(self, url, after, limit):
        return await self.send_once("GET", url, None)

    async def send_change(self, method, url, body, if_version):
        return await self.send_once(method, url, body)

    async def send_with_retries(self, method, url, body, repeatable):
        return await self.send_once(method, url, body)


def call(http, name, *arguments):
    method = getattr(PlatformStore(http), name)
    return Deferred.fromCoroutine(method(*arguments)).result


def test_an_object_is_read():
    http = ScriptedHttp((200, make_object("main", 7, {"a": 1})))
    found = call(http, "get", "config/main").unwrap()
    assert (found.path, found.version, found.value) == ("config/main", 7, {"a": 1})
    assert http.calls == [("GET", "/api/objects/config/main", None)]


def test_a_missing_object_is_none():
    assert call(ScriptedHttp((404, {})), "get", "config/main").unwrap() is None


def test_a_list_is_read_page_by_page_at_the_first_revision():
    http = ScriptedHttp(
        (200, {"items": [make_object("a", 3)], "has_more": True, "current_rev": 5}),
        (200, {"items": [make_object("b", 4)], "has_more": False, "current_rev": 9}),
    )
    found = call(http, "list", "servers").unwrap()
    assert [item.path for item in found.objects] == ["servers/a", "servers/b"]
    assert found.revision == 5
    assert http.calls[1][1] == "/api/objects/servers?after=a"


def test_a_watch_returns_changes_and_removals():
    events = [
        {"removed": False, "object": make_object("a", 6, {"x": 1})},
        {"removed": True, "object": make_object("b", 7, {"x": 1})},
    ]
    http = ScriptedHttp((200, {"events": events, "current_rev": 7}))
    found = call(http, "watch", "servers", 5, 20.0).unwrap()
    assert [(item.path, item.deleted) for item in found.objects] == [
        ("servers/a", False),
        ("servers/b", True),
    ]
    assert http.calls[0][1] == "/api/objects/servers?watch=5&wait_ms=20000"


def test_a_watch_of_dropped_changes_is_expired():
    failure = call(ScriptedHttp((410, {})), "watch", "servers", 5, 20.0).failure()
    assert failure.kind is ErrorKind.EXPIRED


def test_an_object_is_created_or_replaced_on_condition():
    http = ScriptedHttp((200, make_object("g", 4)), (200, make_object("g", 5)))
    assert call(http, "put", "permits/g", {"token": 1}, 0).unwrap() == 4
    assert call(http, "put", "permits/g", {"token": 2}, 4).unwrap() == 5
    (create, create_url, _), (replace, replace_url, body) = http.calls
    assert (create, create_url) == ("POST", "/api/objects/permits")
    assert (replace, replace_url) == ("PUT", "/api/objects/permits/g")
    assert body["meta"]["revision"] == 4 and body["spec"] == {"token": 2}


def test_another_version_is_a_conflict():
    http = ScriptedHttp((409, make_object("g", 9)))
    failure = call(http, "put", "permits/g", {}, 4).failure()
    assert failure.kind is ErrorKind.CONFLICT


@pytest.mark.parametrize("value", [{}, {"meta": {}}, [], {"meta": {"name": "a"}}])
def test_a_malformed_answer_is_invalid(value):
    failure = call(ScriptedHttp((200, value)), "get", "config/main").failure()
    assert failure.kind is ErrorKind.INVALID
