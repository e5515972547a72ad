"""Client of the platform's object API and instance list over HTTP.

The platform counts calls and has outages, so this client bounds the calls in
flight and those that wait, gives each call a timeout, and repeats with jittered
back-off only what is safe to repeat: reads, and changes that were refused
before they took effect. A change whose answer was lost ends as
`ErrorKind.UNKNOWN`; `beryltrack.settings.change` resolves it.
"""

import json
import random
from collections.abc import Callable
from io import BytesIO
from typing import NamedTuple, TypeVar
from urllib.parse import quote, urlencode

from returns.result import Failure, Result, Success
from treq.client import HTTPClient
from treq.content import collect
from twisted.internet.defer import (
    CancelledError,
    Deferred,
    DeferredSemaphore,
)
from twisted.internet.error import ConnectError
from twisted.internet.task import Cooperator, deferLater
from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool
from twisted.web.iweb import IAgent

from beryltrack.objects.backoff import compute_delay
from beryltrack.objects.messages import (
    ErrorKind,
    InstanceEntry,
    ObjectList,
    PlatformError,
    PlatformObject,
)
from beryltrack.objects.parsing import (
    parse_instances,
    parse_list,
    parse_object,
    parse_version,
)

T = TypeVar("T")

CALL_TIMEOUT = 5.0
CONNECT_TIMEOUT = 2.0
MAX_ATTEMPTS = 3
MAX_CALLS = 8
MAX_WAITING = 64
MAX_BODY = 64 * 1024 * 1024
JSON_HEADERS = {"Content-Type": "application/json"}
NOT_FOUND = 404
CONFLICT = 409
# Both are sent by the platform instead of running the call.
REFUSALS = frozenset({429, 503})


class HttpAnswer(NamedTuple):
    """One HTTP answer.

    Parameters
    ----------
    code : int
        HTTP status code.
    body : bytes
        The body as received.
    """

    code: int
    body: bytes


class PlatformClient:
    """Calls the platform's service.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        The reactor that carries connections and timeouts.
    url : str
        Base address of the service, for example ``http://127.0.0.1:8000``.
    rng : random.Random, optional
        Source of the jitter between attempts.
    timeout : float, optional
        Time limit of one attempt, seconds.
    agent : IAgent, optional
        Carries the requests in place of connections of this client's own.
    """

    def __init__(
        self,
        reactor,
        url: str,
        rng: random.Random | None = None,
        timeout: float = CALL_TIMEOUT,
        agent: IAgent | None = None,
    ):
        self._reactor = reactor
        self._url = url.rstrip("/")
        self._rng = rng or random.Random()
        self._timeout = timeout
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        # Twisted would repeat a DELETE whose answer was lost.
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = MAX_CALLS
        if agent is None:
            agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT, pool=self._pool)
        self._http = HTTPClient(agent)
        self._semaphore = DeferredSemaphore(MAX_CALLS)

    async def get(self, path: str) -> Result[PlatformObject | None, PlatformError]:
        """Return one object, or None if there is none at this path."""
        return await self._read(_get_object_url(path), parse_object)

    async def list(self, prefix: str) -> Result[ObjectList, PlatformError]:
        """Return all objects whose path begins with `prefix`."""
        query = urlencode({"prefix": prefix})
        return _require(await self._read(f"/objects?{query}", parse_list))

    async def list_instances(
        self,
    ) -> Result[tuple[InstanceEntry, ...], PlatformError]:
        """Return the platform's instance list, which lags."""
        return _require(await self._read("/instances", parse_instances))

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> Result[ObjectList, PlatformError]:
        """Wait for changes under a prefix; one attempt, outside the call limit.

        Parameters
        ----------
        prefix : str
            Beginning of the paths that are watched.
        after : int
            Revision that is known; later changes are wanted.
        timeout : float
            Time that the platform waits for a change, seconds. Zero asks for
            the changes so far.

        Returns
        -------
        Result
            The changed objects, possibly none.
        """
        query = urlencode({"prefix": prefix, "after": after, "timeout": timeout})
        limit = timeout + self._timeout
        result = await self._attempt("GET", f"/watch?{query}", None, limit)
        return _require(result.bind(lambda answer: _read_answer(answer, parse_list)))

    async def put(
        self, path: str, value: object, if_version: int
    ) -> Result[int, PlatformError]:
        """Write an object if its version is `if_version`, 0 if it must not exist.

        Returns
        -------
        Result
            The new version.
        """
        body = {"value": value, "if_version": if_version}
        return await self._change("PUT", _get_object_url(path), body)

    async def delete(self, path: str, if_version: int) -> Result[int, PlatformError]:
        """Delete an object if its version is `if_version`.

        Returns
        -------
        Result
            The version of the deletion.
        """
        query = urlencode({"if_version": if_version})
        return await self._change("DELETE", f"{_get_object_url(path)}?{query}", None)

    def close(self) -> Deferred:
        """Close the idle connections; fires when they are closed."""
        return self._pool.closeCachedConnections()

    async def _read(self, url: str, parse: Callable[[object], T]) -> Result:
        """Repeat a read until it gives an answer or the attempts are used up."""
        repeatable = frozenset({ErrorKind.REFUSED, ErrorKind.UNKNOWN})
        result = await self._repeat("GET", url, None, repeatable)
        return result.bind(lambda answer: _read_answer(answer, parse))

    async def _change(self, method: str, url: str, body: object) -> Result:
        """Send a change, again only as long as it was refused before its effect."""
        repeatable = frozenset({ErrorKind.REFUSED})
        result = await self._repeat(method, url, body, repeatable)
        return result.bind(_read_change)

    async def _repeat(
        self, method: str, url: str, body: object, repeatable: frozenset[ErrorKind]
    ) -> Result[HttpAnswer, PlatformError]:
        """Make up to `MAX_ATTEMPTS` attempts with jittered delays between them."""
        for attempt in range(1, MAX_ATTEMPTS + 1):
            result = await self._limit(method, url, body)
            match result:
                case Failure(PlatformError(kind)) if kind in repeatable:
                    pass
                case _:
                    return result
            if attempt < MAX_ATTEMPTS:
                delay = compute_delay(attempt, self._rng)
                await deferLater(self._reactor, delay)
        return result

    async def _limit(self, method: str, url: str, body: object) -> Result:
        """Make one attempt within the bounds on calls in flight and waiting."""
        waiting = len(self._semaphore.waiting)
        if not self._semaphore.tokens and waiting >= MAX_WAITING:
            return _fail(ErrorKind.REFUSED, "too many calls wait in this process")
        await self._semaphore.acquire()
        try:
            return await self._attempt(method, url, body, self._timeout)
        finally:
            self._semaphore.release()

    async def _attempt(
        self, method: str, url: str, body: object, timeout: float
    ) -> Result[HttpAnswer, PlatformError]:
        """Send one request and say what its failure means."""
        call = Deferred.fromCoroutine(self._send(method, url, body))
        timer = self._reactor.callLater(timeout, call.cancel)
        try:
            answer = await call
        except ConnectError as error:
            return _fail(ErrorKind.REFUSED, f"no connection to the platform: {error}")
        except Exception as error:
            if not timer.active():
                return _fail(ErrorKind.UNKNOWN, f"no answer within {timeout:g} s")
            if _is_cancelled(error):
                raise CancelledError from error
            # Twisted wraps what broke a request in many types of its own. The
            # request may have been received, so none of them says more.
            return _fail(ErrorKind.UNKNOWN, f"the answer was lost: {error!r}")
        finally:
            if timer.active():
                timer.cancel()
        if answer.code in REFUSALS:
            return _fail(ErrorKind.REFUSED, f"the platform answered {answer.code}")
        if answer.code >= 500:
            return _fail(ErrorKind.UNKNOWN, f"the platform answered {answer.code}")
        return Success(answer)

    async def _send(self, method: str, url: str, body: object) -> HttpAnswer:
        """Send one request and receive its whole answer."""
        data = None if body is None else self._build_producer(body)
        response = await self._http.request(
            method, self._url + url, data=data, headers=JSON_HEADERS
        )
        chunks = []
        size = 0

        def keep(chunk: bytes) -> None:
            nonlocal size
            size += len(chunk)
            if size > MAX_BODY:
                raise ValueError(f"the answer has more than {MAX_BODY} bytes")
            chunks.append(chunk)

        await collect(response, keep)
        return HttpAnswer(response.code, b"".join(chunks))

    def _build_producer(self, body: object) -> FileBodyProducer:
        """Return a producer of JSON text that runs on this client's reactor."""
        cooperator = Cooperator(scheduler=lambda step: self._reactor.callLater(0, step))
        return FileBodyProducer(BytesIO(json.dumps(body).encode()), cooperator)


def _is_cancelled(error: Exception) -> bool:
    """Return whether a request ended because its caller gave it up."""
    reasons = getattr(error, "reasons", ())
    return isinstance(error, CancelledError) or any(
        reason.check(CancelledError) for reason in reasons
    )


def _get_object_url(path: str) -> str:
    """Return the address of an object, relative to the service."""
    return f"/objects/{quote(path)}"


def _fail(kind: ErrorKind, text: str, version: int = 0) -> Result:
    """Return a failed result."""
    return Failure(PlatformError(kind, text, version))


def _read_answer(answer: HttpAnswer, parse: Callable[[object], T]) -> Result:
    """Return the parsed answer to a read, None for an object that is not there."""
    if answer.code == NOT_FOUND:
        return Success(None)
    if answer.code >= 400:
        return _fail(ErrorKind.INVALID, f"the platform answered {answer.code}")
    try:
        return Success(parse(json.loads(answer.body)))
    except ValueError as error:
        return _fail(ErrorKind.INVALID, f"the platform's answer is faulty: {error}")


def _read_change(answer: HttpAnswer) -> Result[int, PlatformError]:
    """Return the new version that a change gave."""
    if answer.code == NOT_FOUND:
        return _fail(ErrorKind.CONFLICT, "the object is not there")
    if answer.code >= 400 and answer.code != CONFLICT:
        return _fail(ErrorKind.INVALID, f"the platform answered {answer.code}")
    try:
        version = parse_version(json.loads(answer.body))
    except ValueError as error:
        # The change was accepted although its answer cannot be read.
        kind = ErrorKind.CONFLICT if answer.code == CONFLICT else ErrorKind.UNKNOWN
        return _fail(kind, f"the platform's answer is faulty: {error}")
    if answer.code == CONFLICT:
        return _fail(ErrorKind.CONFLICT, f"the object has version {version}", version)
    return Success(version)


def _require(result: Result) -> Result:
    """Turn a successful None into a failure, where something must be there."""
    if result == Success(None):
        return _fail(ErrorKind.INVALID, "the platform answered 404")
    return result
