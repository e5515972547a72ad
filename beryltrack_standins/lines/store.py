"""The users' object store and their promotion service, over HTTP.

The store keeps objects by kind and name under one revision counter, with conditional
writes and watches (long polls). Promotions carry fencing tokens. Each proxy instance
has a server of its own, so that it can have its own addresses of the databases and its
own faults.
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
"""Number of changes in the history that watches read; older ones are compacted."""

ERA_HEADER = "Store-Era"
"""Header with the era, which rises by one at each restore from a backup."""

LOST, REFUSING, SILENT, LATE = "lost", "refusing", "silent", "late"
"""Faults of a `StoreView`: answers to changes are lost, each call is refused with 503,
no call is answered, changes take effect after their connection was cut."""


class Event(NamedTuple):
    """One change: its revision, the object, and whether the object was removed."""

    revision: int
    kind: str
    item: dict
    removed: bool


class Change(NamedTuple):
    """A requested change, and the revision that it is conditional on (or None)."""

    method: bytes
    kind: str
    name: str
    spec: object
    condition: int | None


class Backup(NamedTuple):
    """A copy of the store's state: its revision, objects and history of changes."""

    revision: int
    objects: dict[tuple[str, str], dict]
    events: tuple[Event, ...]


class Store:
    """Objects by kind and name, with one counter of revisions.

    Parameters
    ----------
    era : int or None
        How often it was restored from a backup, which its answers report in
        `ERA_HEADER`; None if they have no such header.
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
        """Write or remove an object, and return its new version."""
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
        """Drop the history; watches from before the present revision get 410 Gone."""
        self.events.clear()
        self.compacted_revision = self.revision

    def make_backup(self) -> Backup:
        """Return a backup from which the store can be restored."""
        return Backup(self.revision, dict(self.objects), tuple(self.events))

    def restore(self, backup: Backup, aborts_watches: bool = True) -> None:
        """Go back to a backup and lose all later writes.

        Revisions after the backup's are assigned again. A watch that is not aborted
        continues from a revision that now stands for another change.
        """
        self.revision, self.objects = backup.revision, dict(backup.objects)
        self.events = list(backup.events)
        if self.era is not None:
            self.era += 1
        for abort in tuple(self.watch_aborts) if aborts_watches else ():
            abort()

    def get_events(self, kind: str, after: int) -> list[Event]:
        """Return the changes of a kind after a revision, oldest first."""
        return [each for each in self.events if each.kind == kind and each[0] > after]

    def notify_once(self, callback: Callable[[], None]) -> None:
        """Call `callback` once, at the next change."""
        self._watches.append(callback)


class StoreView(Resource):
    """The store as one proxy instance sees it.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    store : Store
        The objects.
    rewrite : callable
        Returns the spec of an object for this instance, given its kind, name and spec.
    rng : random.Random
        Decides which answers are lost and which changes are late.
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
            self._reactor.callLater(delay, self._apply_change, change)
            request.transport.abortConnection()
            return NOT_DONE_YET
        result = self._apply_change(change)
        if self.fault == LOST and self._rng.random() < 0.4:
            request.transport.abortConnection()
            return NOT_DONE_YET
        if isinstance(result, int):
            return self._refuse(request, result)
        return self._send(request, result)

    def _get(self, request, kind: str, name: str):
        """Read one object, list the objects of a kind, or watch a kind."""
        if name:
            item = self._store.objects.get((kind, name))
            return self._send(request, item) if item else self._refuse(request, 404)
        watch = request.args.get(b"watch")
        if watch:
            wait = int(request.args.get(b"wait_ms", [b"1000"])[0]) / 1000
            return self._watch(request, kind, int(watch[0]), wait)
        items = [
            self._rewrite_item(kind, item)
            for (each, _), item in self._store.objects.items()
            if each == kind
        ]
        page = {"items": items, "has_more": False, "current_rev": self._store.revision}
        return self._send(request, page)

    def _watch(self, request, kind: str, after: int, wait: float):
        """Answer at the next change, or with no change after `wait` seconds."""
        if after < self._store.compacted_revision or after > self._store.revision:
            return self._refuse(request, GONE)
        closed = []
        request.notifyFinish().addErrback(closed.append)
        timer = deferLater(self._reactor, wait, lambda: finish(True))
        timer.addErrback(lambda _: None)

        def finish(timed_out: bool = False) -> None:
            if closed or request.finished:
                self._store.watch_aborts.discard(abort)
                return
            events = self._store.get_events(kind, after)
            if not (events or timed_out):
                self._store.notify_once(finish)
                return
            timer.cancel()
            self._store.watch_aborts.discard(abort)
            changes = [
                {"object": self._rewrite_item(kind, each.item), "removed": each.removed}
                for each in events
            ]
            body = {"events": changes, "current_rev": self._store.revision}
            request.write(self._send(request, body))
            request.finish()

        def abort() -> None:
            self._store.watch_aborts.discard(abort)
            timer.cancel()
            if not (closed or request.finished):
                closed.append(None)
                request.transport.abortConnection()

        self._store.watch_aborts.add(abort)
        finish()
        return NOT_DONE_YET

    def _read_change(self, request, kind: str, name: str) -> Change:
        """Return the change that a call requests."""
        body = json.loads(request.content.read() or b"{}")
        meta = body.get("meta", {})
        revision = request.args.get(b"revision", [meta.get("revision")])[0]
        condition = None if revision is None else int(revision)
        name = name or meta.get("name", "")
        return Change(request.method, kind, name, body.get("spec"), condition)

    def _apply_change(self, change: Change) -> dict | int:
        """Create, replace or remove an object if the change's condition holds.

        Under the fault `LATE` this may run seconds after the connection was cut.

        Returns
        -------
        dict or int
            The object, or the HTTP status of the refusal.
        """
        stored = self._store.objects.get((change.kind, change.name))
        removed = change.method == b"DELETE"
        if change.method == b"POST":
            if stored is not None:
                return CONFLICT
        elif stored is None:
            return NOT_FOUND
        elif change.condition not in (None, stored["meta"]["revision"]):
            return CONFLICT
        elif not removed and stored["spec"] == change.spec:
            return stored
        return self._store.change(change.kind, change.name, change.spec, removed)

    def _rewrite_item(self, kind: str, item: dict) -> dict:
        """Return an object with the addresses that this instance has to use."""
        spec = self._rewrite(kind, item["meta"]["name"], item["spec"])
        return {**item, "spec": spec}

    def _send(self, request, value: object) -> bytes:
        """Set the content type and return the JSON body."""
        request.setHeader(b"content-type", b"application/json")
        return json.dumps(value).encode()

    def _refuse(self, request, code: int) -> bytes:
        """Set the status of an error and return an empty JSON object."""
        request.setResponseCode(code)
        return b"{}"


class FencingTokenLog:
    """The fencing tokens that the promotion service has received, for all its views.

    Parameters
    ----------
    is_fenced : bool
        True if the service refuses a token that is lower than one it has accepted.
    """

    def __init__(self, is_fenced: bool = True):
        self.is_fenced = is_fenced
        self.breaches: list[str] = []
        self._highest: dict[str, int] = {}
        self._holders: dict[tuple[str, int], str] = {}

    def record_call(self, group: str, token: int, holder: str) -> None:
        """Record a call on arrival, and a breach if its token is out of order.

        Without a fence a token lower than an earlier one is a breach; in any case so
        is a token that two holders send.
        """
        highest = self._highest.get(group, 0)
        if not self.is_fenced and token < highest:
            self.breaches.append(f"{holder} sends token {token} after {highest}")
        if self._holders.setdefault((group, token), holder) != holder:
            self.breaches.append(
                f"{holder} sends token {token}, which is another holder's"
            )
        if not self.is_fenced:
            self._highest[group] = max(highest, token)

    def accept_token(self, group: str, token: int) -> bool:
        """Return whether the fence lets a call take effect now, and raise the fence."""
        if self.is_fenced and token < self._highest.get(group, 0):
            return False
        self._highest[group] = max(token, self._highest.get(group, 0))
        return True


class PromotionView(Resource):
    """The promotion service as one proxy instance sees it.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers; a promotion takes effect some time after its call.
    groups : dict of str to Group
        The groups by name.
    tokens : FencingTokenLog
        The tokens received; shared by the views of all instances.
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
        """Answer one call; a late one takes effect after its connection was cut."""
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
            self._reactor.callLater(delay, self._begin_promotion, group, body, token)
            request.transport.abortConnection()
            return NOT_DONE_YET
        if not self._begin_promotion(group, body, token):
            request.setResponseCode(CONFLICT)
        return b"{}"

    def _begin_promotion(self, group: Group, body: dict, token: int) -> bool:
        """Begin a promotion; return False if it is fenced off or the database down."""
        name, database = body["service"], group.databases[body["id"]]
        if not (database.is_up and self._tokens.accept_token(name, token)):
            group.promoting[database.name] -= 1
            return False
        self._reactor.callLater(
            PROMOTE_TIME, self._finish_promotion, group, database.name
        )
        return True

    def _finish_promotion(self, group: Group, name: str) -> None:
        """Make a database the primary."""
        group.promoting[name] -= 1
        group.promote(name)


PROMOTE_TIME = 0.3
"""Seconds from a call until the named database is the primary."""
