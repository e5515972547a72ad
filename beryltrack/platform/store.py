"""The platform's object store: its calls and the form of its objects.

A path of the product, ``KIND/NAME``, is an object's kind and its name there. A
value is what the platform calls ``spec``.
"""

import json
from urllib.parse import quote, urlencode

from returns.result import Result, Success
from twisted.internet.defer import Deferred

from beryltrack.objects.http import HttpAnswer, HttpClient, fail_call
from beryltrack.objects.messages import (
    ErrorKind,
    ObjectList,
    PlatformError,
    PlatformObject,
)

ANSWER_TIME = 0.6
"""Seconds after its wait within which a watch is answered: 4 ms, and 0.3 s when the
store is slow. One that is not is lost, and what it waited for is listed."""

NOT_FOUND = 404
CONFLICT = 409
GONE = 410
_REPEATABLE_READ = frozenset((ErrorKind.REFUSED, ErrorKind.UNKNOWN))
_REPEATABLE_CHANGE = frozenset((ErrorKind.REFUSED,))


class PlatformStore:
    """Calls the store; see `ObjectFeed` and `ObjectClient`.

    Parameters
    ----------
    http : HttpClient
        Carries the calls.
    may_lag : bool
        True if lists and watches may tell what is seconds old. They cost a tenth.
    """

    def __init__(self, http: HttpClient, may_lag: bool = False):
        self._http = http
        self._options = {"allow_stale": 1} if may_lag else {}

    async def get(self, path: str) -> Result[PlatformObject | None, PlatformError]:
        """Return one object, or None if there is none at this path."""
        answer = await self._http.repeat("GET", _get_url(path), None, _REPEATABLE_READ)
        if isinstance(answer, Success) and answer.unwrap().code == NOT_FOUND:
            return Success(None)
        return answer.bind(lambda each: _read(each, _get_kind(path), _parse_object))

    async def list(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Return all objects of a kind, page by page.

        The revision is that of the first page, so that a watch from there misses
        no change made while the later ones were read.
        """
        objects: dict[str, PlatformObject] = {}
        revision: int | None = None
        after = ""
        while True:
            place = {"after": after} if after else {}
            url = _get_list_url(kind, self._options | place)
            answer = await self._http.repeat("GET", url, None, _REPEATABLE_READ)
            page = answer.bind(lambda each: _read(each, kind, _parse_page))
            if not isinstance(page, Success):
                return page
            items, at, has_more = page.unwrap()
            revision = at if revision is None else revision
            objects.update((item.path, item) for item in items)
            if not (has_more and items):
                return Success(ObjectList(revision, tuple(objects.values())))
            after = items[-1].path.partition("/")[2]

    async def watch(
        self, kind: str, after: int, timeout: float
    ) -> Result[ObjectList, PlatformError]:
        """Wait for changes of a kind; one attempt, outside the call limit."""
        wait = {"watch": after, "wait_ms": int(timeout * 1000)}
        url = _get_list_url(kind, self._options | wait)
        limit = timeout + ANSWER_TIME
        answer = await self._http.attempt("GET", url, None, limit)
        if isinstance(answer, Success) and answer.unwrap().code == GONE:
            return fail_call(ErrorKind.EXPIRED, "the platform forgot the changes")
        return answer.bind(lambda each: _read(each, kind, _parse_events))

    async def put(
        self, path: str, value: object, if_version: int
    ) -> Result[int, PlatformError]:
        """Write an object if its version is `if_version`, 0 if it must not exist."""
        kind, _, name = path.partition("/")
        if if_version:
            meta = {"name": name, "revision": if_version, "finalizers": []}
            method, url = "PUT", _get_url(path)
        else:
            meta = {"name": name, "finalizers": []}
            method, url = "POST", f"/api/objects/{quote(kind)}"
        body = {"meta": meta, "spec": value}
        answer = await self._http.repeat(method, url, body, _REPEATABLE_CHANGE)
        return answer.bind(lambda each: _read_change(each, kind))

    async def delete(self, path: str, if_version: int) -> Result[int, PlatformError]:
        """Delete an object if its version is `if_version`."""
        url = f"{_get_url(path)}?{urlencode({'revision': if_version})}"
        answer = await self._http.repeat("DELETE", url, None, _REPEATABLE_CHANGE)
        return answer.bind(lambda each: _read_change(each, _get_kind(path)))

    def close(self) -> Deferred:
        """Close the idle connections; fires when they are closed."""
        return self._http.close()


def _get_kind(path: str) -> str:
    """Return the kind of the object at a path."""
    return path.partition("/")[0]


def _get_list_url(kind: str, options: dict[str, object]) -> str:
    """Return the address of the objects of a kind, relative to the service."""
    query = "?" + urlencode(options) if options else ""
    return f"/api/objects/{quote(kind)}{query}"


def _get_url(path: str) -> str:
    """Return the address of an object, relative to the service."""
    kind, _, name = path.partition("/")
    return f"/api/objects/{quote(kind)}/{quote(name, safe='')}"


def _read(answer: HttpAnswer, kind: str, parse) -> Result:
    """Return the parsed answer to a read."""
    if answer.code >= 400:
        return fail_call(ErrorKind.INVALID, f"the platform answered {answer.code}")
    try:
        return Success(parse(kind, json.loads(answer.body)))
    except (KeyError, TypeError, ValueError) as error:
        text = f"the platform's answer is faulty: {error!r}"
        return fail_call(ErrorKind.INVALID, text)


def _read_change(answer: HttpAnswer, kind: str) -> Result[int, PlatformError]:
    """Return the new version that a change gave."""
    if answer.code == NOT_FOUND:
        return fail_call(ErrorKind.CONFLICT, "the object is not there")
    if answer.code == CONFLICT:
        return fail_call(ErrorKind.CONFLICT, "the object has another version")
    if answer.code >= 400:
        return fail_call(ErrorKind.INVALID, f"the platform answered {answer.code}")
    try:
        return Success(_parse_object(kind, json.loads(answer.body)).version)
    except (AttributeError, KeyError, TypeError, ValueError):
        # A deletion is answered without the object.
        return Success(0)


def _parse_object(kind: str, item: dict, is_gone: bool = False) -> PlatformObject:
    """Return one object from its form in the store."""
    meta = item["meta"]
    path = f"{kind}/{meta['name']}"
    value = None if is_gone else item.get("spec")
    return PlatformObject(path, int(meta["revision"]), value, is_gone)


def _parse_page(kind: str, answer: dict) -> tuple[list[PlatformObject], int, bool]:
    """Return the objects of one page, the store's revision, and if more follow."""
    items = [_parse_object(kind, item) for item in answer["items"]]
    return items, int(answer["current_rev"]), bool(answer.get("has_more"))


def _parse_events(kind: str, answer: dict) -> ObjectList:
    """Return the objects that changed."""
    objects = tuple(
        _parse_object(kind, event["object"], bool(event.get("removed")))
        for event in answer["events"]
    )
    return ObjectList(int(answer["current_rev"]), objects)
