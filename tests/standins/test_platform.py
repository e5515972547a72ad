"""The stand-in platform over HTTP, and the control endpoint."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from beryltrack_standins.platform.limits import PlatformOptions, TokenBucket
from beryltrack_standins.site import SiteOptions
from tests.standins.site import call, running_site


@pytest.fixture(scope="module")
def site():
    with running_site(SiteOptions(platform=PlatformOptions(list_lag=0.0))) as site:
        yield site


@pytest.fixture
def url(site):
    yield site.platform_url
    set_fault(site, "up")


def set_fault(site, fault, value=None, target="platform"):
    body = {"target": target, "fault": fault, "value": value}
    return call(site.control_url + "/faults", "POST", body)


def put(url, path, value, if_version=None):
    body = {"value": value, "if_version": if_version}
    return call(f"{url}/objects/{path}", "PUT", body)


def test_a_conditional_change_requires_the_present_version(url):
    created = put(url, "a/x", {"n": 1}, 0)
    assert put(url, "a/x", {"n": 2}, 0) == (409, {"version": created.body["version"]})
    changed = put(url, "a/x", {"n": 2}, created.body["version"])
    assert changed.body["version"] > created.body["version"]
    assert call(f"{url}/objects/a/x").body["value"] == {"n": 2}


def test_a_deleted_object_is_in_a_watch_and_not_in_a_list(url):
    version = put(url, "b/x", 1).body["version"]
    call(f"{url}/objects/b/x?if_version={version}", "DELETE")
    assert call(f"{url}/objects/b/x").code == 404
    assert call(f"{url}/objects?prefix=b/").body["objects"] == []
    changes = call(f"{url}/watch?prefix=b/&after={version}").body["objects"]
    assert changes == [{"path": "b/x", "version": version + 1, "deleted": True}]


def test_a_watch_waits_for_a_change_under_its_prefix(url):
    revision = call(f"{url}/objects?prefix=c/").body["revision"]
    with ThreadPoolExecutor() as threads:
        watch = f"{url}/watch?prefix=c/&after={revision}&timeout=10"
        answer = threads.submit(call, watch)
        put(url, "d/other", 1)
        put(url, "c/x", 1)
        assert [item["path"] for item in answer.result().body["objects"]] == ["c/x"]


def test_a_watch_ends_without_a_change(url):
    revision = call(f"{url}/objects?prefix=e/").body["revision"]
    answer = call(f"{url}/watch?prefix=e/&after={revision}&timeout=0.01")
    assert answer.body == {"revision": revision, "objects": []}


def test_a_change_whose_answer_is_lost_takes_effect(site, url):
    set_fault(site, "lose_answers", 1)
    with pytest.raises(OSError):
        put(url, "f/x", 1)
    assert call(f"{url}/objects/f/x").body["value"] == 1
    assert put(url, "f/x", 2).code == 200


def test_an_outage_refuses_calls_and_ends_watches(site, url):
    revision = call(f"{url}/objects").body["revision"]
    with ThreadPoolExecutor() as threads:
        calls = get_count(url, "watches")
        answer = threads.submit(call, f"{url}/watch?after={revision}&timeout=60")
        while get_count(url, "watches") == calls:
            pass
        set_fault(site, "down")
        assert answer.result().code == 503
    assert put(url, "g/x", 1).code == 503
    set_fault(site, "up")
    assert call(f"{url}/objects/g/x").code == 404


def get_count(url, kind):
    return call(f"{url}/calls").body.get(kind, 0)


def test_the_instance_list_contains_the_registered_instances(url):
    entry = {"host": "127.0.0.1", "port": 1, "zone": "a", "state": "leaving"}
    call(f"{url}/instances/p1", "PUT", entry)
    shown = {"instances": [{"name": "p1", **entry}]}
    assert call(f"{url}/instances").body == shown
    call(f"{url}/instances/p1", "DELETE")
    assert call(f"{url}/instances").body == {"instances": []}


def test_malformed_calls_are_refused(site, url):
    assert call(f"{url}/objects/h/x", "PUT", {"no": 1}).code == 400
    assert call(f"{url}/nothing").code == 404
    assert set_fault(site, "explode").code == 400
    assert set_fault(site, "stop", target="nobody").code == 400


def test_the_state_names_each_database(site, url):
    set_fault(site, "lag", 5.0, target="main-2")
    state = call(f"{site.control_url}/state").body["databases"]
    assert [item["role"] for item in state.values()] == ["primary"] + 2 * ["replica"]
    assert state["main-2"]["lag"] == 5.0
    set_fault(site, "lag", 0.0, target="main-2")


def test_calls_over_the_rate_are_refused_until_time_passes():
    bucket = TokenBucket(2.0, 0.0)
    assert [bucket.take(0.0) for _ in range(3)] == [True, True, False]
    assert bucket.take(0.5)
    assert not bucket.take(0.5)
