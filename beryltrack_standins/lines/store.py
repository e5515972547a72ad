"""The users' store of objects and their promotion service, over HTTP.

One instance of the server listens for each node, so that each can be given addresses
of its own for the databases and be turned away on its own.
"""

import json
import random
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.task import deferLater
from twisted.web.http import (
    BAD_REQUEST,
    CONFLICT,
    GONE,
    NOT_FOUND,
    SERVICE_UNAVAILABLE,
)
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from beryltrack_standins.lines.group import Group

MAX_EVENTS = 200
"""Changes that the store remembers."""

ERA_HEADER = "Store-Era"
"""Names the header that rises by one each time the store is restored from a backup."""

LOST, REFUSING, SILENT, LATE = "lost", "refusing", "silent", "late"


class Event(NamedTuple):
    """One change: its revision, the object, and whether that is gone."""

    revision: int
    kind: str
    item: dict
    removed: bool


class Change(NamedTuple):
    """What a call is to change, and the revision on which that depends (or None)."""

    method: bytes
    kind: str
    name: str
    spec: object
    condition: int | None


class Backup(NamedTuple):
    """All that the store held at a moment: its revision, objects and changes."""

    revision: int
    objects: dict[tuple[str, str], dict]
    events: tuple[Event, ...]


class Store:
    """Objects by kind and name, with one counter of revisions.

    Parameters
    ----------
    era : int or None
        How often it was restored from a backup, as its answers tell; None if they tell
        nothing of that.
    """

    def __init__(self, era: int | None = 1):
        self.era = era
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[Event] = []
        self.compacted_revision = 0
        self.writes = 0
        self.watch_aborts: set[Callable[[], None]] = set()
        self._watches: list[Callable[[], None]] = []

    def change(self, kind: str, name: str, spec: object, removed: bool = False) -> dict:
        """Write or remove an object; return it."""
        self.revision += 1
        self.writes += 1
        item = {"meta": {"name": name, "revision": self.revision}, "spec": spec}
        if removed:
            self.objects.pop((kind, name), None)
        else:
            self.objects[kind, name] = item
        self.events.append(Event(self.revision, kind, item, removed))
        if len(self.events) > MAX_EVENTS:
            self.compacted_revision = self.events.pop(0).revision
        watches, self._watches = self._watches, []
        for watch in watches:
            watch()
        return item

    def compact(self) -> None:
        """Forget all changes, as a store that compacts its history."""
        self.events.clear()
        self.compacted_revision = self.revision

    def make_backup(self) -> Backup:
        """Return a backup from which the store can be restored."""
        return Backup(self.revision, dict(self.objects), tuple(self.events))

    def restore(self, backup: Backup, aborts_watches: bool = True) -> None:
        """Go back to a backup: what was written since is gone.

        Revisions after the backup's are given out again. A wait that is not cut off
        goes on from a revision that now stands for something else.
        """
        self.revision, self.objects = backup.revision, dict(backup.objects)
        self.events = list(backup.events)
        if self.era is not None:
            self.era += 1
        for abort in tuple(self.watch_aborts) if aborts_watches else ():
            abort()

    def get_events(self, kind: str, after: int) -> list[Event]:
        """Return the changes of a kind after a revision."""
        return [each for each in self.events if each.kind == kind and each[0] > after]

    def notify_once(self, callback: Callable[[], None]) -> None:
        """Call back once at the next change."""
        self._watches.append(callback)


class StoreView(Resource):
    """The store as one node sees it.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    store : Store
        The objects.
    rewrite : callable
        Changes the spec of an object for this node, by kind and name.
    rng : random.Random
        Decides which answers are lost.
    """

    isLeaf = True

    def __init__(self, reactor, store: Store, rewrite, rng: random.Random):
        super().__init__()
        self.fault = ""
        self.calls = 0
        self._reactor = reactor
        self._store = store
        self._rewrite = rewrite
        self._rng = rng

    def render(self, request):
        """Answer one call."""
        self.calls += 1
        if self.fault == SILENT:
            return NOT_DONE_YET
        if self._store.era is not None:
            request.setHeader(ERA_HEADER, str(self._store.era))
        if self.fault == REFUSING:
            return self._refuse(request, SERVICE_UNAVAILABLE)
        parts = request.path.decode().strip("/").split("/")
        if parts[:2] != ["api", "objects"] or len(parts) < 3:
            return self._refuse(request, NOT_FOUND)
        kind, name = parts[2], "/".join(parts[3:])
        if request.method == b"GET":
            return self._get(request, kind, name)
        change = self._read_change(request, kind, name)
        if self.fault == LATE and self._rng.random() < 0.4:
            delay = self._rng.uniform(0.3, 6.0)
            self._reactor.callLater(delay, self._carry_out, change)
            request.transport.abortConnection()
            return NOT_DONE_YET
        done = self._carry_out(change)
        if self.fault == LOST and self._rng.random() < 0.4:
            request.transport.abortConnection()
            return NOT_DONE_YET
        if isinstance(done, int):
            return self._refuse(request, done)
        return self._send(request, done)

    def _get(self, request, kind: str, name: str):
        """Read one object, list a kind, or wait for its changes."""
        if name:
            item = self._store.objects.get((kind, name))
            return self._send(request, item) if item else self._refuse(request, 404)
        watch = request.args.get(b"watch")
        if watch:
            wait = int(request.args.get(b"wait_ms", [b"1000"])[0]) / 1000
            return self._watch(request, kind, int(watch[0]), wait)
        items = [
            self._show(kind, item)
            for (each, _), item in self._store.objects.items()
            if each == kind
        ]
        page = {"items": items, "has_more": False, "current_rev": self._store.revision}
        return self._send(request, page)

    def _watch(self, request, kind: str, after: int, wait: float):
        """Answer as soon as there is a change, or with none after a time."""
        if after < self._store.compacted_revision or after > self._store.revision:
            return self._refuse(request, GONE)
        gone = []
        request.notifyFinish().addErrback(gone.append)
        timer = deferLater(self._reactor, wait, lambda: finish(True))
        timer.addErrback(lambda _: None)

        def finish(at_once: bool = False) -> None:
            if gone or request.finished:
                self._store.watch_aborts.discard(abort)
                return
            events = self._store.get_events(kind, after)
            if not (events or at_once):
                self._store.notify_once(finish)
                return
            timer.cancel()
            self._store.watch_aborts.discard(abort)
            changes = [
                {"object": self._show(kind, each.item), "removed": each.removed}
                for each in events
            ]
            body = {"events": changes, "current_rev": self._store.revision}
            request.write(self._send(request, body))
            request.finish()

        def abort() -> None:
            self._store.watch_aborts.discard(abort)
            timer.cancel()
            if not (gone or request.finished):
                gone.append(None)
                request.transport.abortConnection()

        self._store.watch_aborts.add(abort)
        finish()
        return NOT_DONE_YET

    def _read_change(self, request, kind: str, name: str) -> Change:
        """Return what a call is to change."""
        body = json.loads(request.content.read() or b"{}")
        meta = body.get("meta", {})
        revision = request.args.get(b"revision", [meta.get("revision")])[0]
        condition = None if revision is None else int(revision)
        name = name or meta.get("name", "")
        return Change(request.method, kind, name, body.get("spec"), condition)

    def _carry_out(self, change: Change) -> dict | int:
        """Create, replace or remove an object on its condition; return it, or why not.

        A call whose answer is lost may be carried out seconds later.
        """
        kept = self._store.objects.get((change.kind, change.name))
        removed = change.method == b"DELETE"
        if change.method == b"POST":
            if kept is not None:
                return CONFLICT
        elif kept is None:
            return NOT_FOUND
        elif change.condition not in (None, kept["meta"]["revision"]):
            return CONFLICT
        elif not removed and kept["spec"] == change.spec:
            return kept
        return self._store.change(change.kind, change.name, change.spec, removed)

    def _show(self, kind: str, item: dict) -> dict:
        """Return an object with the addresses that this node is to use."""
        spec = self._rewrite(kind, item["meta"]["name"], item["spec"])
        return {**item, "spec": spec}

    def _send(self, request, value: object) -> bytes:
        """Return a JSON body."""
        request.setHeader(b"content-type", b"application/json")
        return json.dumps(value).encode()

    def _refuse(self, request, code: int) -> bytes:
        """Return an error."""
        request.setResponseCode(code)
        return b"{}"


class FencingTokenLog:
    """The tokens that the promotion service has seen, shared by all its views.

    Parameters
    ----------
    is_fenced : bool
        True if it refuses a lower token than it has seen.
    """

    def __init__(self, is_fenced: bool = True):
        self.is_fenced = is_fenced
        self.breaches: list[str] = []
        self._highest: dict[str, int] = {}
        self._holders: dict[tuple[str, int], str] = {}

    def record_call(self, group: str, token: int, holder: str) -> None:
        """Take a call as it arrives; note one that breaks the order of tokens."""
        highest = self._highest.get(group, 0)
        if not self.is_fenced and token < highest:
            self.breaches.append(f"{holder} sends token {token} after {highest}")
        if self._holders.setdefault((group, token), holder) != holder:
            self.breaches.append(f"{holder} sends token {token} of another one")
        if not self.is_fenced:
            self._highest[group] = max(highest, token)

    def accept_token(self, group: str, token: int) -> bool:
        """Return whether a call may have its effect now."""
        if self.is_fenced and token < self._highest.get(group, 0):
            return False
        self._highest[group] = max(token, self._highest.get(group, 0))
        return True


class PromotionView(Resource):
    """The promotion service as one node sees it.

    Parameters
    ----------
    reactor : IReactorTime
        Carries out promotions some time after the call.
    groups : dict of str to Group
        The groups.
    tokens : PromotionLog
        The tokens seen; shared by all nodes.
    rng : random.Random
        Decides which calls are late.
    """

    isLeaf = True

    def __init__(self, reactor, groups: dict[str, Group], tokens: FencingTokenLog, rng):
        super().__init__()
        self.late_share = 0.0
        self._reactor = reactor
        self._groups = groups
        self._tokens = tokens
        self._rng = rng

    def render_POST(self, request):  # noqa: N802
        """Take one call; one that is late is carried out without an answer."""
        body = json.loads(request.content.read())
        token = int(request.getHeader("Beryltrack-Fencing-Token") or 0)
        group = self._groups.get(body.get("service", ""))
        if group is None or body.get("id") not in group.databases:
            request.setResponseCode(BAD_REQUEST)
            return b"{}"
        holder = request.getHeader("Beryltrack-Duty-Holder") or ""
        self._tokens.record_call(body["service"], token, holder)
        group.promoting[body["id"]] += 1
        if self._rng.random() < self.late_share:
            delay = self._rng.uniform(1.0, 3.0)
            self._reactor.callLater(delay, self._carry_out, group, body, token)
            request.transport.abortConnection()
            return NOT_DONE_YET
        if not self._carry_out(group, body, token):
            request.setResponseCode(CONFLICT)
        return b"{}"

    def _carry_out(self, group: Group, body: dict, token: int) -> bool:
        """Begin a promotion unless it is fenced off."""
        name, database = body["service"], group.databases[body["id"]]
        if not (database.is_up and self._tokens.accept_token(name, token)):
            group.promoting[database.name] -= 1
            return False
        self._reactor.callLater(PROMOTE_TIME, self._finish, group, database.name)
        return True

    def _finish(self, group: Group, name: str) -> None:
        """Let a database lead."""
        group.promoting[name] -= 1
        group.promote(name)


PROMOTE_TIME = 0.3
"""Seconds from a call until the named database leads."""
