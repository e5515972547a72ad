"""The platform's HTTP interface, as docs/DESIGN.md describes it.

It serves an object store with conditional changes and watches (long polls), and the
list of proxy instances. Rates are limited by token buckets (429); an outage answers
each call with 503.
"""

import json
import logging
from collections import Counter
from typing import TypedDict
from urllib.parse import unquote

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IListeningPort
from twisted.internet.task import deferLater
from twisted.python.failure import Failure
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from beryltrack.settings.messages import Endpoint
from beryltrack_standins.platform.limits import (
    PlatformFaults,
    PlatformOptions,
    TokenBucket,
)
from beryltrack_standins.platform.store import (
    ChangeResult,
    ObjectStore,
    StoreBackup,
    StoredObject,
)

HOST = "127.0.0.1"
ERA_HEADER = "Store-Era"
_MAX_WATCH_SECONDS = 300.0
_DEFAULT_WATCH_SECONDS = 30.0

log = logging.getLogger(__name__)


class HttpError(Exception):
    """An answer with a status other than 200.

    Parameters
    ----------
    code : int
        The HTTP status.
    body : dict
        The JSON object of the answer.
    """

    def __init__(self, code: int, body: dict[str, object]):
        super().__init__(body)
        self.code = code
        self.body = body


class InstanceObject(TypedDict):
    """One entry of the instance list."""

    name: str
    host: str
    port: int
    zone: str
    state: str


class PlatformServer(Resource):
    """The stand-in platform.

    Parameters
    ----------
    reactor : reactor
        The reactor.
    options : PlatformOptions
        Limits and delays.
    era : int, optional
        The era of its store, which each answer reports; by default none is reported.
    """

    isLeaf = True

    def __init__(self, reactor, options: PlatformOptions, era: int | None = None):
        super().__init__()
        self.store = ObjectStore(era)
        self.faults = PlatformFaults()
        self.calls: Counter[str] = Counter()
        self._reactor = reactor
        self._options = options
        self._instances: dict[str, InstanceObject] = {}
        self._watches: list[Deferred[None]] = []
        self._port: IListeningPort | None = None
        now = reactor.seconds()
        self._write_bucket = TokenBucket(options.writes_per_second, now)
        self._read_bucket = TokenBucket(options.reads_per_second, now)

    @property
    def url(self) -> str:
        """The base address."""
        return f"http://{HOST}:{self._port.getHost().port}"

    @property
    def endpoint(self) -> Endpoint:
        """The address at which it listens."""
        return Endpoint(HOST, self._port.getHost().port)

    @property
    def watch_count(self) -> int:
        """The number of pending watches."""
        return len(self._watches)

    def start(self) -> None:
        """Listen on a port that the kernel chooses."""
        self._port = self._reactor.listenTCP(0, _QuietSite(self), interface=HOST)

    def stop(self) -> Deferred[None]:
        """Stop listening, and answer the pending watches."""
        self._wake_watches()
        return self._port.stopListening()

    def set_fault(self, fault: str, value: object) -> None:
        """Inject a fault; see `PlatformFaults.set`."""
        self.faults.set(fault, value)
        if self.faults.down:
            self._wake_watches()

    def restore(self, backup: StoreBackup) -> None:
        """Restore the store from a backup; pending watches continue in the new era."""
        self.store.restore(backup)
        self._wake_watches()

    def render(self, request: Request) -> int:
        """Handle one call; its answer is sent later."""
        lost = request.notifyFinish()
        call = Deferred.fromCoroutine(self._answer(request))
        lost.addErrback(lambda _: call.cancel())
        call.addErrback(_log_error)
        return NOT_DONE_YET

    async def _answer(self, request: Request) -> None:
        """Execute one call and send its answer."""
        try:
            code, body = 200, await self._call(request)
        except HttpError as error:
            code, body = error.code, error.body
        except (ValueError, KeyError, TypeError) as error:
            code, body = 400, {"error": f"malformed request: {error}"}
        if body is None:
            request.transport.abortConnection()
            return
        request.setResponseCode(code)
        request.setHeader(b"content-type", b"application/json")
        if self.store.era is not None:
            request.setHeader(ERA_HEADER, str(self.store.era))
        request.write(json.dumps(body).encode())
        request.finish()

    async def _call(self, request: Request) -> dict[str, object] | None:
        """Execute one call; return its JSON object, None if the answer is lost."""
        path = unquote(request.path.decode()).strip("/")
        if path == "calls":
            return dict(self.calls)
        method = request.method.decode()
        is_write = method in ("PUT", "DELETE")
        self._admit(is_write, path)
        if self.faults.delay:
            await deferLater(self._reactor, self.faults.delay)
            self._check_outage()
        head, _, rest = path.partition("/")
        match method, head:
            case "GET", "objects" if not rest:
                return self._list(_get_text(request, "prefix"))
            case "GET", "objects":
                return self._get(rest)
            case "PUT", "objects" if rest:
                return self._put(rest, request)
            case "DELETE", "objects" if rest:
                version = _get_text(request, "if_version")
                return self._complete_change(
                    self.store.delete(rest, int(version) if version else None)
                )
            case "GET", "watch":
                return await self._watch(request)
            case "GET", "instances":
                return {"instances": list(self._instances.values())}
            case "PUT" | "DELETE", "instances" if rest:
                return self._change_instance(rest, request)
        raise HttpError(404, {"error": f"no such resource: {method} /{path}"})

    def _admit(self, is_write: bool, path: str) -> None:
        """Count a call, and refuse it during an outage (503) or over its rate (429)."""
        self.calls["total"] += 1
        self.calls["writes" if is_write else "reads"] += 1
        self.calls["watches"] += path == "watch"
        self._check_outage()
        bucket = self._write_bucket if is_write else self._read_bucket
        if not bucket.take(self._reactor.seconds()):
            self.calls["over_rate"] += 1
            raise HttpError(429, {"error": "too many calls"})

    def _check_outage(self) -> None:
        """Raise HttpError (503) during an outage."""
        if self.faults.down:
            self.calls["refused"] += 1
            raise HttpError(503, {"error": "out of service"})

    def _get(self, path: str) -> dict[str, object]:
        """Return one object."""
        found = self.store.get(path)
        if found is None:
            raise HttpError(404, {"error": f"no object at {path}"})
        return _format_object(found)

    def _list(self, prefix: str) -> dict[str, object]:
        """Return the objects under a prefix."""
        objects = [_format_object(item) for item in self.store.list(prefix)]
        return {"revision": self.store.revision, "objects": objects}

    def _put(self, path: str, request: Request) -> dict[str, object] | None:
        """Set one object."""
        data = request.content.read()
        if len(data) > self._options.max_value_bytes:
            raise HttpError(413, {"error": "value is too large"})
        body = json.loads(data)
        return self._complete_change(
            self.store.put(path, body["value"], body.get("if_version"))
        )

    def _complete_change(self, result: ChangeResult) -> dict[str, object] | None:
        """Wake the watches after a change; return its answer, None if that is lost.

        Raises
        ------
        HttpError
            409 if the condition of the change did not hold.
        """
        if result.done:
            self._wake_watches()
        if result.done and self.faults.take_lost_answer():
            return None
        if not result.done:
            raise HttpError(409, {"version": result.version})
        return {"version": result.version}

    async def _watch(self, request: Request) -> dict[str, object]:
        """Return the changes under a prefix once there are any, or at the timeout."""
        prefix = _get_text(request, "prefix")
        after = int(_get_text(request, "after") or 0)
        timeout = float(_get_text(request, "timeout") or _DEFAULT_WATCH_SECONDS)
        deadline = self._reactor.seconds() + min(timeout, _MAX_WATCH_SECONDS)
        if after > self.store.revision:
            raise HttpError(410, {"error": "there is no such version"})
        while not (changes := self.store.list_changes(prefix, after)):
            remaining = deadline - self._reactor.seconds()
            if remaining <= 0:
                break
            await self._wait_for_change(remaining)
            self._check_outage()
        objects = [_format_object(item) for item in changes]
        return {"revision": self.store.revision, "objects": objects}

    async def _wait_for_change(self, timeout: float) -> None:
        """Wait until any object changes or an outage begins, or for `timeout`."""
        woken: Deferred[None] = Deferred()
        self._watches.append(woken)
        timer = self._reactor.callLater(timeout, woken.callback, None)
        try:
            await woken
        finally:
            if woken in self._watches:
                self._watches.remove(woken)
            if timer.active():
                timer.cancel()

    def _wake_watches(self) -> None:
        """Have each pending watch check again for changes or an outage."""
        watches, self._watches = self._watches, []
        for woken in watches:
            woken.callback(None)

    def _change_instance(self, name: str, request: Request) -> dict[str, object]:
        """Schedule a change of the instance list, which takes effect after its lag."""
        entry: InstanceObject | None = None
        if request.method == b"PUT":
            body = json.loads(request.content.read())
            entry = {
                "name": name,
                "host": str(body["host"]),
                "port": int(body["port"]),
                "zone": str(body["zone"]),
                "state": str(body["state"]),
            }
        self._reactor.callLater(
            self._options.list_lag, self._apply_instance_change, name, entry
        )
        return {}

    def _apply_instance_change(self, name: str, entry: InstanceObject | None) -> None:
        """Add, replace or remove an entry of the instance list."""
        if entry is None:
            self._instances.pop(name, None)
        else:
            self._instances[name] = entry


class _QuietSite(Site):
    """A site without an access log."""

    noisy = False

    def log(self, request: Request) -> None:
        """Do not log the request."""


def _get_text(request: Request, name: str) -> str:
    """Return a parameter of the query string, empty if it is missing."""
    return request.args.get(name.encode(), [b""])[0].decode()


def _format_object(item: StoredObject) -> dict[str, object]:
    """Return an object as the API shows it."""
    if item.deleted:
        return {"path": item.path, "version": item.version, "deleted": True}
    return {"path": item.path, "version": item.version, "value": item.value}


def _log_error(failure: Failure) -> None:
    """Log an error in the stand-in itself; a client that disconnects is none."""
    if not failure.check(CancelledError):
        log.error(
            "platform: a call ended without an answer: %s", failure.getTraceback()
        )
