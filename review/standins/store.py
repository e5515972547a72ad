"""The platform's store: objects by kind and name, conditional writes and watches."""

import asyncio
from typing import NamedTuple

from review.standins.http import Answer, Request

CONFLICT, GONE, NOT_FOUND, UNAVAILABLE = 409, 410, 404, 503


class Event(NamedTuple):
    """One change of an object."""

    revision: int
    kind: str
    item: dict
    removed: bool


class Store:
    """All objects under one revision counter."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[Event] = []
        self._changed = asyncio.Event()

    def write(self, kind: str, name: str, spec: object, removed: bool = False) -> dict:
        """Write or remove an object and return it."""
        old = self.objects.get((kind, name))
        if not removed and old is not None and old["spec"] == spec:
            return old
        self.revision += 1
        item = {"meta": {"name": name, "revision": self.revision}, "spec": spec}
        if removed:
            self.objects.pop((kind, name), None)
        else:
            self.objects[kind, name] = item
        self.events.append(Event(self.revision, kind, item, removed))
        self._changed.set()
        self._changed = asyncio.Event()
        return item

    async def wait(self, timeout: float) -> None:
        """Wait for the next change, `timeout` seconds at most."""
        try:
            await asyncio.wait_for(self._changed.wait(), timeout)
        except TimeoutError:
            pass


class StoreView:
    """The store as one machine sees it; it may be turned away."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self.is_refused = False
        self.calls = 0

    async def handle(self, request: Request) -> Answer:
        """Answer one call."""
        self.calls += 1
        if self.is_refused:
            return Answer(UNAVAILABLE, {})
        _, _, _, kind, *rest = request.path.split("/", 4)
        name = rest[0] if rest else ""
        if request.method == "GET":
            return await self._get(request, kind, name)
        return self._change(request, kind, name)

    async def _get(self, request: Request, kind: str, name: str) -> Answer:
        """Read one object, list a kind, or watch it."""
        if name:
            item = self._store.objects.get((kind, name))
            return Answer(200, item) if item else Answer(NOT_FOUND, {})
        if "watch" in request.query:
            after = int(request.query["watch"])
            return await self._watch(kind, after, int(request.query["wait_ms"]) / 1000)
        items = [
            item for (each, _), item in self._store.objects.items() if each == kind
        ]
        page = {"items": items, "has_more": False, "current_rev": self._store.revision}
        return Answer(200, page)

    async def _watch(self, kind: str, after: int, wait: float) -> Answer:
        """Return the events after a revision, as soon as there is one."""
        loop = asyncio.get_running_loop()
        until = loop.time() + wait
        while True:
            found = [e for e in self._store.events if e.kind == kind and e[0] > after]
            left = until - loop.time()
            if found or left <= 0:
                break
            await self._store.wait(left)
        if self.is_refused:
            return Answer(UNAVAILABLE, {})
        events = [{"object": each.item, "removed": each.removed} for each in found]
        return Answer(200, {"events": events, "current_rev": self._store.revision})

    def _change(self, request: Request, kind: str, name: str) -> Answer:
        """Create, replace or delete an object."""
        body = request.body or {}
        meta = body.get("meta", {})
        name = name or meta.get("name", "")
        condition = request.query.get("revision", meta.get("revision"))
        stored = self._store.objects.get((kind, name))
        if request.method == "POST":
            if stored is not None:
                return Answer(CONFLICT, stored)
        elif stored is None:
            return Answer(NOT_FOUND, {})
        elif condition is not None and int(condition) != stored["meta"]["revision"]:
            return Answer(CONFLICT, stored)
        removed = request.method == "DELETE"
        spec = stored["spec"] if removed else body.get("spec")
        return Answer(200, self._store.write(kind, name, spec, removed))
