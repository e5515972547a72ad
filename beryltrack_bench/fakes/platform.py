"""A fake platform: the object API and the instance list, with injected faults.

It follows the rules of the object API in docs/DESIGN.md. Objects are stored as
JSON text, so that no caller can modify a stored value by reference.
"""

import json
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.error import ConnectionLost

from beryltrack.objects.messages import (
    ErrorKind,
    InstanceEntry,
    ObjectList,
    PlatformError,
    PlatformObject,
)
from beryltrack_bench.fakes.network import Network
from beryltrack_bench.fakes.nodes import Node
from beryltrack_bench.history import ChangeAccepted, Event

CALL_TIMEOUT = 1.0
"""Timeout of a client's call, seconds, beyond the wait that the call asks for."""

PLATFORM_NAME = "platform"


class _StoredObject(NamedTuple):
    """A stored object; its text is None if it is deleted."""

    version: int
    text: str | None


class _Watch(NamedTuple):
    """A pending watch for changes after a revision."""

    prefix: str
    after: int
    answer: Deferred


class FakePlatform:
    """The platform's service.

    Parameters
    ----------
    node : Node
        The node that it runs on.
    record : callable
        Called with a `ChangeAccepted` for each change.
    """

    def __init__(
        self, node: Node, record: Callable[[Event], None] = lambda event: None
    ):
        self.node = node
        self.is_down = False
        self.loses_answers = False
        self.delay = 0.0
        self.calls = 0
        self.instances: tuple[InstanceEntry, ...] = ()
        self._record = record
        self._objects: dict[str, _StoredObject] = {}
        self._revision = 0
        self._watches: list[_Watch] = []

    def get(self, path: str) -> Result[PlatformObject | None, PlatformError]:
        """Return an object; None if it does not exist."""
        stored = self._objects.get(path)
        if stored is None or stored.text is None:
            return Success(None)
        return Success(_load(path, stored))

    def list(self, prefix: str) -> Result[ObjectList, PlatformError]:
        """Return the objects under a prefix."""
        found = self._find(prefix, 0)
        living = tuple(item for item in found if not item.deleted)
        return Success(ObjectList(self._revision, living))

    def list_instances(self) -> Result[tuple[InstanceEntry, ...], PlatformError]:
        """Return the instance list."""
        return Success(self.instances)

    def watch(self, prefix: str, after: int, timeout: float) -> Deferred:
        """Return the changes after a revision as soon as there are any."""
        watch = _Watch(prefix, after, Deferred())
        self._watches.append(watch)
        self.node.schedule(timeout, lambda: self._end_watch(watch), None)
        self._notify()
        return watch.answer

    def put(
        self, path: str, value: object, if_version: int
    ) -> Result[int, PlatformError]:
        """Write an object if it has the expected version."""
        return self._change(path, json.dumps(value), if_version)

    def delete(self, path: str, if_version: int) -> Result[int, PlatformError]:
        """Delete an object if it has the expected version."""
        return self._change(path, None, if_version)

    def _change(
        self, path: str, text: str | None, if_version: int
    ) -> Result[int, PlatformError]:
        """Apply a conditional change; Failure with CONFLICT on another version."""
        stored = self._objects.get(path)
        present = stored.version if stored and stored.text is not None else 0
        if present != if_version:
            error = PlatformError(ErrorKind.CONFLICT, "another version", present)
            return Failure(error)
        self._revision += 1
        self._objects[path] = _StoredObject(self._revision, text)
        change_id = _get_change_id(text)
        now = self.node.seconds()
        self._record(ChangeAccepted(path, self._revision, now, change_id))
        self._notify()
        return Success(self._revision)

    def _find(self, prefix: str, after: int) -> tuple[PlatformObject, ...]:
        """Return the objects under a prefix that changed after a revision."""
        return tuple(
            _load(path, stored)
            for path, stored in self._objects.items()
            if path.startswith(prefix) and stored.version > after
        )

    def _notify(self) -> None:
        """Answer the watches that have changes."""
        for watch in tuple(self._watches):
            if self._find(watch.prefix, watch.after):
                self._end_watch(watch)

    def _end_watch(self, watch: _Watch) -> None:
        """Answer one watch at most once."""
        if watch in self._watches:
            self._watches.remove(watch)
            found = self._find(watch.prefix, watch.after)
            watch.answer.callback(Success(ObjectList(self._revision, found)))


class FakePlatformClient:
    """One node's client of the fake platform, in place of `PlatformClient`.

    Parameters
    ----------
    platform : FakePlatform
        The service.
    network : Network
        The site's links.
    node : Node
        The calling node.
    """

    def __init__(self, platform: FakePlatform, network: Network, node: Node):
        self._platform = platform
        self._network = network
        self._node = node

    async def get(self, path: str) -> Result[PlatformObject | None, PlatformError]:
        """Return the object at a path; None if there is none."""
        return await self._call("get", lambda: self._platform.get(path))

    async def list(self, prefix: str) -> Result[ObjectList, PlatformError]:
        """Return all objects whose path begins with `prefix`."""
        return await self._call("list", lambda: self._platform.list(prefix))

    async def list_instances(
        self,
    ) -> Result[tuple[InstanceEntry, ...], PlatformError]:
        """Return the instance list."""
        return await self._call("instances", self._platform.list_instances)

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> Result[ObjectList, PlatformError]:
        """Wait for changes under a prefix."""
        return await self._call(
            "watch", lambda: self._platform.watch(prefix, after, timeout), timeout
        )

    async def put(
        self, path: str, value: object, if_version: int
    ) -> Result[int, PlatformError]:
        """Write an object if its version is `if_version`."""
        return await self._call(
            "put", lambda: self._platform.put(path, value, if_version)
        )

    async def delete(self, path: str, if_version: int) -> Result[int, PlatformError]:
        """Delete an object if its version is `if_version`."""
        return await self._call(
            "delete", lambda: self._platform.delete(path, if_version)
        )

    async def _call(
        self, label: str, serve: Callable[[], object], wait: float = 0.0
    ) -> Result:
        """Make one call; a lost connection or a timeout fails with kind UNKNOWN."""
        answer = self._network.call(
            self._node, self._platform.node, label, lambda: self._serve(serve)
        )
        try:
            return await answer.addTimeout(CALL_TIMEOUT + wait, self._node)
        except (ConnectionLost, TimeoutError) as error:
            return Failure(PlatformError(ErrorKind.UNKNOWN, str(error)))

    def _serve(self, serve: Callable[[], object]) -> object:
        """Run a call at the platform under the faults in force."""
        platform = self._platform
        platform.calls += 1
        if platform.is_down:
            return Failure(PlatformError(ErrorKind.REFUSED, "503"))
        if platform.delay:
            return _serve_later(platform, serve)
        result = serve()
        if platform.loses_answers:
            raise ConnectionLost("the answer was lost")
        return result


def _serve_later(platform: FakePlatform, serve: Callable[[], object]) -> Deferred:
    """Run a call after the platform's injected delay."""
    answer = Deferred()
    platform.node.schedule(platform.delay, lambda: answer.callback(None), None)
    return answer.addCallback(lambda ignored: serve())


def _load(path: str, stored: _StoredObject) -> PlatformObject:
    """Return a stored object in the form of the platform's answer."""
    value = None if stored.text is None else json.loads(stored.text)
    return PlatformObject(path, stored.version, value, stored.text is None)


def _get_change_id(text: str | None) -> str:
    """Return the change identifier in a stored value; empty if there is none."""
    value = json.loads(text) if text else None
    audit = value.get("audit") if isinstance(value, dict) else None
    return audit.get("change_id", "") if isinstance(audit, dict) else ""
