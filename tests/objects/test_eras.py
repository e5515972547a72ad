"""Order of versions across eras, and calls that cross a restore of the store."""

import json
import math
import random

import pytest
from treq.testing import RequestTraversalAgent
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.web.resource import Resource

from beryltrack.objects.client import PlatformClient
from beryltrack.objects.eras import (
    ERA_HEADER,
    EraTracker,
    format_version,
    get_era,
    get_latest_era,
    get_revision,
    make_version,
    parse_era,
)
from beryltrack.objects.http import HttpClient
from beryltrack.objects.messages import ErrorKind
from beryltrack.platform.store import PlatformStore


def test_a_version_combines_an_era_and_a_revision():
    version = make_version(3, 12)
    assert (get_era(version), get_revision(version)) == (3, 12)
    assert make_version(0, 12) == 12
    assert make_version(2, 1) > make_version(1, 1 << 39)
    assert get_latest_era((make_version(2, 1), make_version(1, 9))) == 2
    assert get_latest_era(()) == 0


def test_a_version_is_formatted_with_its_era_unless_that_is_0():
    assert [format_version(make_version(era, 7)) for era in (0, 2)] == ["7", "2.7"]


@pytest.mark.parametrize(
    ("text", "era"), [("3", 3), ("0", 0), (None, None), ("-1", None), ("x", None)]
)
def test_an_era_is_parsed_from_a_header(text, era):
    assert parse_era(text) == era


def test_an_era_never_decreases_and_observers_learn_of_a_new_one(caplog):
    clock, seen = Clock(), []
    eras = EraTracker(clock.seconds)
    eras.subscribe(seen.append)
    assert (eras.era, eras.age) == (0, math.inf)
    eras.observe(4)
    clock.advance(2.0)
    assert (eras.age, seen) == (2.0, [])
    assert [eras.observe(era) for era in (5, 4, None)] == [5, 4, 5]
    assert (eras.era, eras.age, seen) == (5, 0.0, [5])
    assert eras.is_past(4) and not eras.is_past(5)
    assert "was restored from a backup: era 5 after 4" in caplog.text


class EraSite(Resource):
    """Answers with one (era, code, body) after the other and records the calls."""

    isLeaf = True

    def __init__(self, *answers):
        super().__init__()
        self.answers, self.calls = list(answers), []

    def render(self, request):
        self.calls.append(request.uri.decode())
        era, code, body = self.answers.pop(0)
        if era is not None:
            request.setHeader(ERA_HEADER, str(era))
        request.setResponseCode(code)
        return json.dumps(body).encode()


def run(site, *calls):
    """Make calls to a `PlatformStore`, return their results."""
    clock, agent, results = Clock(), RequestTraversalAgent(site), []
    store = PlatformStore(HttpClient(clock, "http://x", random.Random(1), agent=agent))
    for name, *arguments in calls:
        asking = Deferred.fromCoroutine(getattr(store, name)(*arguments))
        asking.addCallback(results.append)
        for _ in range(40):
            agent.flush()
            clock.advance(0.1)
    return results


def make_page(revision, *names, has_more=False):
    items = [{"meta": {"name": name, "revision": revision}} for name in names]
    return {"items": items, "current_rev": revision, "has_more": has_more}


def get_failure(result):
    return result.failure().kind


def test_the_versions_of_a_list_are_of_its_era():
    (found,) = run(EraSite((2, 200, make_page(9, "a"))), ("list", "servers"))
    assert found.unwrap().revision == make_version(2, 9)
    assert found.unwrap().objects[0].version == make_version(2, 9)


def test_a_list_with_pages_of_two_eras_has_expired():
    site = EraSite(
        (1, 200, make_page(9, "a", has_more=True)), (2, 200, make_page(7, "b"))
    )
    (found,) = run(site, ("list", "servers"))
    assert get_failure(found) is ErrorKind.EXPIRED


def test_an_answer_of_a_past_era_is_unknown():
    site = EraSite((2, 200, make_page(9)), *((1, 200, make_page(30, "a")),) * 3)
    _, late = run(site, ("list", "servers"), ("list", "servers"))
    assert get_failure(late) is ErrorKind.UNKNOWN


def test_a_watch_after_a_version_of_another_era_has_expired():
    events = {"events": [], "current_rev": 31}
    site = EraSite((1, 200, make_page(30)), (2, 200, events))
    after = make_version(1, 30)
    _, over, later = run(
        site, ("list", "a"), ("watch", "a", after, 1.0), ("watch", "a", after, 1.0)
    )
    assert [get_failure(over), get_failure(later)] == [ErrorKind.EXPIRED] * 2
    assert len(site.calls) == 2


def test_a_condition_of_another_era_never_holds():
    done = {"meta": {"name": "a", "revision": 9}}
    site = EraSite((1, 200, make_page(30)), (2, 200, done))
    version = make_version(1, 8)
    write = ("put", "permits/a", {}, version)
    _, late, past = run(site, ("list", "permits"), write, write)
    # The write may have happened, on a version of the new era.
    assert get_failure(late) is ErrorKind.UNKNOWN
    assert get_failure(past) is ErrorKind.CONFLICT
    assert len(site.calls) == 2


def test_a_refused_change_is_not_repeated_in_another_era():
    site = EraSite((1, 200, make_page(30)), (2, 503, {}))
    write = ("delete", "members/a", make_version(1, 8))
    _, refused = run(site, ("list", "members"), write)
    assert get_failure(refused) is ErrorKind.CONFLICT
    assert len(site.calls) == 2


def test_a_store_that_reports_no_era_has_revisions_as_versions():
    done = {"meta": {"name": "a", "revision": 9}}
    site = EraSite((None, 200, make_page(8, "a")), (None, 200, done))
    found, written = run(site, ("list", "permits"), ("put", "permits/a", {}, 8))
    assert found.unwrap().revision == 8 and written.unwrap() == 9


def test_the_object_api_has_eras_too():
    item = {"path": "settings/a", "version": 5, "value": 1}
    site = EraSite(
        (1, 200, {"revision": 6, "objects": [item]}),
        (2, 200, {"version": 6}),
        (2, 200, {"version": 7}),
    )
    clock, agent, results = Clock(), RequestTraversalAgent(site), []
    client = PlatformClient(clock, "http://x", random.Random(1), agent=agent)
    version = make_version(1, 5)
    for call in (
        client.list("settings/"),
        client.put("settings/a", 2, version),
        client.watch("settings/", version, 1.0),
        client.put("settings/a", 2, make_version(2, 0)),
    ):
        Deferred.fromCoroutine(call).addCallback(results.append)
        for _ in range(40):
            agent.flush()
            clock.advance(0.1)
    listed, written, watched, created = results
    assert listed.unwrap().objects[0].version == version
    assert get_failure(written) is ErrorKind.UNKNOWN
    assert get_failure(watched) is ErrorKind.EXPIRED
    assert created.unwrap() == make_version(2, 7)
    assert len(site.calls) == 3
