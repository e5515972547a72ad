"""After an outage of the store an instance learns of changes within their time limits.

An instance follows the store by long-polling watches. A watch that reaches the store
while it is silent is never answered, though its connection stays open: neither a reset
nor keep-alive ends it, only its own time-out. With 15 s for the watch and 2 s for the
answer, instances used outdated settings until 12 s after the store's return, and
refused callers of a database that a confirmed change had added. The same watch follows
the databases, where a draining one would get new work.
"""

import copy
import json
import random
from functools import partial
from itertools import product
from types import SimpleNamespace

import pytest
from treq.testing import RequestTraversalAgent
from twisted.internet.address import IPv4Address
from twisted.internet.task import Clock
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from beryltrack.daemon.node import Node
from beryltrack.objects.http import HttpClient
from beryltrack.platform.boot import parse_node_settings
from tests.platform.test_settings import BOOT, CONFIG, ENTRY

STEP = 0.05
STARTS = (20.0, 20.4, 20.8, 21.2, 21.6, 22.0, 22.4)
LENGTHS = (0.4, 1.2, 2.6, 5.3)
"""Seconds from the instance's start until the store falls silent, and the lengths of
the outages in seconds."""


class Store(Resource):
    """Objects by kind and name; a call during its silence is never answered."""

    isLeaf = True

    def __init__(self, clock):
        super().__init__()
        self.objects = {}
        self.revision = 0
        self.is_silent = False
        self._clock = clock
        self._waiting = []

    def put(self, path, value):
        """Write an object and answer the watches of its kind."""
        self.revision += 1
        kind, _, name = path.partition("/")
        meta = {"name": name, "revision": self.revision, "finalizers": []}
        self.objects[path] = {"meta": meta, "spec": copy.deepcopy(value)}
        waiting, self._waiting = self._waiting, []
        for request, watched in waiting:
            if watched == kind:
                self._answer(request, self._make_events(kind, self.revision - 1))
            else:
                self._waiting.append((request, watched))

    def fall_silent(self):
        """Answer no calls from now on, nor the watches that wait now."""
        self.is_silent = True
        self._waiting = []

    def render(self, request):
        """Handle a call."""
        body = request.content.read()
        if self.is_silent:
            return NOT_DONE_YET
        kind, _, name = (
            request.path.decode().removeprefix("/api/objects/").partition("/")
        )
        if request.method != b"GET":
            value = json.loads(body)
            self.put(f"{kind}/{value['meta']['name']}", value["spec"])
            return json.dumps({"meta": {"name": "", "revision": 1}}).encode()
        if name:
            request.setResponseCode(404)
            return b"{}"
        if b"watch" not in request.args:
            page = {"items": self._get_kind(kind), "current_rev": self.revision}
            return json.dumps(page | {"has_more": False}).encode()
        events = self._make_events(kind, int(request.args[b"watch"][0]))
        if not events["events"]:
            self._waiting.append((request, kind))
            wait = int(request.args[b"wait_ms"][0]) / 1000
            self._clock.callLater(wait, self._end_wait, (request, kind))
            return NOT_DONE_YET
        return json.dumps(events).encode()

    def _end_wait(self, waiting):
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            self._answer(waiting[0], {"events": [], "current_rev": self.revision})

    def _answer(self, request, value):
        request.write(json.dumps(value).encode())
        request.finish()

    def _get_kind(self, kind):
        return [
            each for path, each in self.objects.items() if path.startswith(f"{kind}/")
        ]

    def _make_events(self, kind, after):
        changed = (
            each for each in self._get_kind(kind) if each["meta"]["revision"] > after
        )
        events = [{"object": each, "removed": False} for each in changed]
        return {"events": events, "current_rev": self.revision}


class Reactor(Clock):
    """Simulated time, and sockets without any peer."""

    def listenTCP(self, *arguments, **options):  # noqa: N802
        return SimpleNamespace(stopListening=lambda: None)

    def connectTCP(self, host, port, factory, **options):  # noqa: N802
        connector = SimpleNamespace(
            getDestination=lambda: IPv4Address("TCP", host, port),
            stopConnecting=lambda: None,
        )
        factory.startedConnecting(connector)
        return connector


class Site:
    """One instance and the store, in simulated time."""

    def __init__(self, monkeypatch):
        self.clock = Reactor()
        self.store = Store(self.clock)
        self.agent = RequestTraversalAgent(self.store)
        make_client = partial(HttpClient, agent=self.agent)
        monkeypatch.setattr("beryltrack.daemon.store_clients.HttpClient", make_client)
        self.store.put("config/main", CONFIG)
        for number in range(3):
            self.set_state(number, "ready")
        settings = parse_node_settings(BOOT)
        self.node = Node(self.clock, settings, random.Random(1), lambda line: None)
        self.node.start()

    def set_state(self, number, state):
        entry = ENTRY | {"address": f"10.1.0.{number}:80", "state": state}
        self.store.put(f"servers/i-{number}", entry)

    def advance(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.clock.advance(STEP)
            self.agent.flush()

    def interrupt_store(self, silent_at, silent_for):
        """Let the store be silent after a time, for a time."""
        self.advance(silent_at)
        assert self.knows_route("lepu")
        self.store.fall_silent()
        self.advance(silent_for)
        self.store.is_silent = False

    def knows_route(self, name):
        return self.node._get_route(name) is not None

    def is_draining(self, name):
        databases = self.node._groups.get("huvo").settings.databases
        return any(each.name == name and each.draining for each in databases)

    def measure(self, is_known):
        """Return the seconds until a condition holds, at least 30 if it does not."""
        began = self.clock.seconds()
        while not is_known() and self.clock.seconds() - began < 30:
            self.advance(STEP)
        return self.clock.seconds() - began


@pytest.fixture
def make_site(monkeypatch):
    return partial(Site, monkeypatch)


def test_a_confirmed_change_is_in_force_within_three_seconds_after_an_outage(
    make_site,
):
    late = {}
    for moment in product(STARTS, LENGTHS):
        site = make_site()
        site.interrupt_store(*moment)
        route = CONFIG["routes"][0] | {"name": "r-3", "database_name": "new"}
        routes = [*CONFIG["routes"], route]
        site.store.put("config/main", CONFIG | {"config_version": 8, "routes": routes})
        delay = site.measure(lambda site=site: site.knows_route("new"))
        if delay > 3.0:
            late[moment] = delay
    assert late == {}


def test_a_draining_database_is_known_within_seven_seconds_after_an_outage(make_site):
    late = {}
    for moment in product(STARTS, LENGTHS):
        site = make_site()
        site.interrupt_store(*moment)
        site.set_state(2, "draining")
        delay = site.measure(lambda site=site: site.is_draining("i-2"))
        if delay > 7.0:
            late[moment] = delay
    assert late == {}
