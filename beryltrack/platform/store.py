"""Client of the platform's object store: its HTTP calls and the form of its objects.

A path of the product, ``KIND/NAME``, holds an object's kind and name in the store. A
value is what the platform calls ``spec``.
"""

from urllib.parse import quote, urlencode

from returns.result import Result, Success
from twisted.internet.defer import Deferred

from beryltrack.objects import fields
from beryltrack.objects.answers import decode_answer
from beryltrack.objects.eras import get_era, get_revision, make_version
from beryltrack.objects.fields import Field
from beryltrack.objects.http import HttpAnswer, HttpClient, make_failure
from beryltrack.objects.messages import (
    ErrorKind,
    ObjectList,
    PlatformError,
    PlatformObject,
)
from beryltrack.objects.rejects import RejectLog
from beryltrack.platform.settings import hide_keys

WATCH_ANSWER_TIMEOUT = 0.6
"""Seconds after its wait within which a watch must be answered. An answer takes 4 ms,
0.3 s from a slow store. A later one counts as lost, and the objects are listed."""

NOT_FOUND = 404
CONFLICT = 409
GONE = 410
_META_FIELDS = (
    Field("name", fields.parse_text),
    Field("revision", fields.parse_whole_number),
)
_REPEATABLE_READ = frozenset((ErrorKind.REFUSED, ErrorKind.UNKNOWN))


class PlatformStore:
    """Calls the store; see `ObjectFeed` and `ObjectClient`.

    Parameters
    ----------
    http : HttpClient
        Sends the calls.
    rejects : RejectLog, optional
        Receives the findings of objects that cannot be decoded.
    allows_stale_reads : bool
        True if lists and watches may be seconds old, at a tenth of the cost.
    """

    def __init__(
        self,
        http: HttpClient,
        rejects: RejectLog | None = None,
        allows_stale_reads: bool = False,
    ):
        self._http = http
        self._rejects = rejects or RejectLog()
        self._options = {"allow_stale": 1} if allows_stale_reads else {}

    async def get(self, path: str) -> Result[PlatformObject | None, PlatformError]:
        """Return one object, None if there is none at the path."""
        answer = await self._http.send_with_retries(
            "GET", _get_url(path), None, _REPEATABLE_READ
        )
        if isinstance(answer, Success) and answer.unwrap().code == NOT_FOUND:
            return Success(None)
        kind = path.partition("/")[0]
        return answer.bind(lambda each: _read(each, kind, self._decode_one))

    async def list(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Return all objects of a kind, page by page.

        The revision is that of the first page, so that a watch from there misses no
        change made while later pages were read. Pages of two eras give a failure.
        """
        objects: dict[str, PlatformObject] = {}
        revision: int | None = None
        after = ""
        while True:
            start = {"after": after} if after else {}
            url = _get_list_url(kind, self._options | start)
            answer = await self._http.send_with_retries(
                "GET", url, None, _REPEATABLE_READ
            )
            page = answer.bind(lambda each: _read(each, kind, self._parse_page))
            if not isinstance(page, Success):
                return page
            items, at, has_more = page.unwrap()
            revision = at if revision is None else revision
            if get_era(at) != get_era(revision):
                return make_failure(ErrorKind.EXPIRED, "the pages span two eras")
            objects.update((item.path, item) for item in items)
            if not has_more:
                return Success(ObjectList(revision, tuple(objects.values())))
            if not items:
                return make_failure(ErrorKind.INVALID, "no object of a page has a name")
            after = items[-1].path.partition("/")[2]

    async def watch(
        self, kind: str, after: int, timeout: float
    ) -> Result[ObjectList, PlatformError]:
        """Wait up to `timeout` seconds for changes; one attempt, no call limit."""
        wait = {"watch": get_revision(after), "wait_ms": int(timeout * 1000)}
        url = _get_list_url(kind, self._options | wait)
        answer = await self._http.watch(url, after, timeout + WATCH_ANSWER_TIMEOUT)
        if isinstance(answer, Success) and answer.unwrap().code == GONE:
            return make_failure(ErrorKind.EXPIRED, "the store dropped the changes")
        return answer.bind(lambda each: _read(each, kind, self._parse_events))

    async def put(
        self, path: str, value: object, if_version: int
    ) -> Result[int, PlatformError]:
        """Write an object whose version is `if_version`, 0 to create it."""
        kind, _, name = path.partition("/")
        revision = get_revision(if_version)
        if revision:
            meta = {"name": name, "revision": revision, "finalizers": []}
            method, url = "PUT", _get_url(path)
        else:
            meta = {"name": name, "finalizers": []}
            method, url = "POST", f"/api/objects/{quote(kind)}"
        body = {"meta": meta, "spec": value}
        answer = await self._http.send_change(method, url, body, if_version)
        return answer.bind(_read_change)

    async def delete(self, path: str, if_version: int) -> Result[int, PlatformError]:
        """Delete an object if its version is `if_version`."""
        query = urlencode({"revision": get_revision(if_version)})
        url = f"{_get_url(path)}?{query}"
        answer = await self._http.send_change("DELETE", url, None, if_version)
        return answer.bind(_read_change)

    def close(self) -> Deferred:
        """Close the idle connections; fires when they are closed."""
        return self._http.close()

    def _parse_page(
        self, kind: str, answer: dict, era: int
    ) -> tuple[tuple[PlatformObject, ...], int, bool]:
        """Return the objects of a page, the store's version, and if more follow."""
        items = [self._decode(kind, item, era) for item in answer["items"]]
        decoded = tuple(item for item in items if item is not None)
        at = make_version(era, int(answer["current_rev"]))
        return decoded, at, bool(answer.get("has_more"))

    def _parse_events(self, kind: str, answer: dict, era: int) -> ObjectList:
        """Return the objects that changed."""
        items = [
            self._decode(kind, event.get("object"), era, bool(event.get("removed")))
            for event in answer["events"]
            if isinstance(event, dict)
        ]
        decoded = tuple(item for item in items if item is not None)
        return ObjectList(make_version(era, int(answer["current_rev"])), decoded)

    def _decode_one(self, kind: str, item: object, era: int) -> PlatformObject:
        """Return the requested object; raise `ValueError` if it cannot be decoded."""
        found = self._decode(kind, item, era)
        if found is None or not get_revision(found.version):
            raise ValueError("the object has no name or no revision")
        return found

    def _decode(
        self, kind: str, item: object, era: int, is_gone: bool = False
    ) -> PlatformObject | None:
        """Return an object, without its value if only its name can be read; or None."""
        meta, findings = fields.read_nested(kind, item, "meta", _META_FIELDS)
        self._rejects.report(findings)
        if "name" not in meta:
            return None
        value = None if findings or is_gone else hide_keys(item.get("spec"))
        path = f"{kind}/{meta['name']}"
        version = make_version(era, meta.get("revision", 0))
        return PlatformObject(path, version, value, is_gone)


def _get_list_url(kind: str, options: dict[str, object]) -> str:
    """Return the URL of the objects of a kind, relative to the service."""
    query = "?" + urlencode(options) if options else ""
    return f"/api/objects/{quote(kind)}{query}"


def _get_url(path: str) -> str:
    """Return the URL of an object, relative to the service."""
    kind, _, name = path.partition("/")
    return f"/api/objects/{quote(kind)}/{quote(name, safe='')}"


def _read(answer: HttpAnswer, kind: str, parse) -> Result:
    """Return the parsed answer to a read."""
    if answer.code >= 400:
        return make_failure(ErrorKind.INVALID, f"the platform answered {answer.code}")
    try:
        return Success(parse(kind, decode_answer(answer.body), answer.era))
    except (AttributeError, KeyError, OverflowError, TypeError, ValueError) as error:
        text = f"the platform's answer is malformed: {error!r}"
        return make_failure(ErrorKind.INVALID, text)


def _read_change(answer: HttpAnswer) -> Result[int, PlatformError]:
    """Return the version of an object after a change."""
    if answer.code == NOT_FOUND:
        return make_failure(ErrorKind.CONFLICT, "the object does not exist")
    if answer.code == CONFLICT:
        return make_failure(ErrorKind.CONFLICT, "the object has another version")
    if answer.code >= 400:
        return make_failure(ErrorKind.INVALID, f"the platform answered {answer.code}")
    try:
        revision = int(decode_answer(answer.body)["meta"]["revision"])
        return Success(make_version(answer.era, revision))
    except (AttributeError, KeyError, TypeError, ValueError):
        # A deletion is answered without the object.
        return Success(0)
