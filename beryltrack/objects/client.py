"""Client of the platform's object API and instance list over HTTP.

Writes and deletions are conditional on a version (compare-and-set). Retries cover only
what is safe to repeat: reads, and changes that were refused before they took effect;
see `http`. A change whose answer is lost ends as `ErrorKind.UNKNOWN`, which
`beryltrack.settings.change` resolves.
"""

import random
from collections.abc import Callable
from typing import TypeVar
from urllib.parse import quote, urlencode

from returns.result import Result, Success
from twisted.internet.defer import Deferred
from twisted.web.iweb import IAgent

from beryltrack.objects.answers import decode_answer
from beryltrack.objects.eras import (
    EraTracker,
    format_version,
    get_revision,
)
from beryltrack.objects.http import (
    CALL_TIMEOUT,
    HttpAnswer,
    HttpClient,
    make_failure,
)
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

NOT_FOUND = 404
CONFLICT = 409


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
        Sends the requests, instead of this client's own connections.
    """

    def __init__(
        self,
        reactor,
        url: str,
        rng: random.Random | None = None,
        timeout: float = CALL_TIMEOUT,
        agent: IAgent | None = None,
    ):
        self._http = HttpClient(reactor, url, rng, timeout, agent)

    @property
    def eras(self) -> EraTracker:
        """Tracks the era of the store."""
        return self._http.eras

    async def get(self, path: str) -> Result[PlatformObject | None, PlatformError]:
        """Return one object, or None if there is none at this path."""
        return await self._read(_get_object_url(path), parse_object)

    async def list(self, prefix: str) -> Result[ObjectList, PlatformError]:
        """Return all objects whose path begins with `prefix`."""
        query = urlencode({"prefix": prefix})
        return _require_value(await self._read(f"/objects?{query}", parse_list))

    async def list_instances(
        self,
    ) -> Result[tuple[InstanceEntry, ...], PlatformError]:
        """Return the platform's instance list, which lags behind."""
        return _require_value(await self._read("/instances", parse_instances))

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> Result[ObjectList, PlatformError]:
        """Wait for changes under a prefix; one attempt, outside the call limit.

        Parameters
        ----------
        prefix : str
            Beginning of the paths that are watched.
        after : int
            Version that is known; later changes are returned.
        timeout : float
            Time that the platform waits for a change, seconds. Zero returns the
            changes so far.

        Returns
        -------
        Result
            The changed objects, possibly none.
        """
        arguments = {"prefix": prefix, "after": get_revision(after), "timeout": timeout}
        limit = timeout + self._http.timeout
        url = f"/watch?{urlencode(arguments)}"
        result = await self._http.watch(url, after, limit)
        return _require_value(
            result.bind(lambda answer: _read_answer(answer, parse_list))
        )

    async def put(
        self, path: str, value: object, if_version: int
    ) -> Result[int, PlatformError]:
        """Write an object if its version is `if_version`, 0 if it must not exist.

        Returns
        -------
        Result
            The new version.
        """
        body = {"value": value, "if_version": get_revision(if_version)}
        return await self._change("PUT", _get_object_url(path), body, if_version)

    async def delete(self, path: str, if_version: int) -> Result[int, PlatformError]:
        """Delete an object if its version is `if_version`.

        Returns
        -------
        Result
            The version of the deletion.
        """
        query = urlencode({"if_version": get_revision(if_version)})
        url = f"{_get_object_url(path)}?{query}"
        return await self._change("DELETE", url, None, if_version)

    def close(self) -> Deferred:
        """Close the idle connections; fires when they are closed."""
        return self._http.close()

    async def _read(self, url: str, parse: Callable[[object, int], T]) -> Result:
        """Send a read with retries and parse its answer."""
        repeatable = frozenset({ErrorKind.REFUSED, ErrorKind.UNKNOWN})
        result = await self._http.send_with_retries("GET", url, None, repeatable)
        return result.bind(lambda answer: _read_answer(answer, parse))

    async def _change(
        self, method: str, url: str, body: object, if_version: int
    ) -> Result:
        """Send a change, retried only while it is refused before it takes effect."""
        result = await self._http.send_change(method, url, body, if_version)
        return result.bind(_read_change)


def _get_object_url(path: str) -> str:
    """Return the URL of an object, relative to the service."""
    return f"/objects/{quote(path)}"


def _read_answer(answer: HttpAnswer, parse: Callable[[object, int], T]) -> Result:
    """Return the parsed answer to a read, None for an object that does not exist."""
    if answer.code == NOT_FOUND:
        return Success(None)
    if answer.code >= 400:
        return make_failure(ErrorKind.INVALID, f"the platform answered {answer.code}")
    try:
        return Success(parse(decode_answer(answer.body), answer.era))
    except ValueError as error:
        return make_failure(
            ErrorKind.INVALID, f"the platform's answer is malformed: {error}"
        )


def _read_change(answer: HttpAnswer) -> Result[int, PlatformError]:
    """Return the new version from the answer to a change."""
    if answer.code == NOT_FOUND:
        return make_failure(ErrorKind.CONFLICT, "the object does not exist")
    if answer.code >= 400 and answer.code != CONFLICT:
        return make_failure(ErrorKind.INVALID, f"the platform answered {answer.code}")
    try:
        version = parse_version(decode_answer(answer.body), answer.era)
    except ValueError as error:
        # The platform accepted the change although its answer cannot be parsed.
        kind = ErrorKind.CONFLICT if answer.code == CONFLICT else ErrorKind.UNKNOWN
        return make_failure(kind, f"the platform's answer is malformed: {error}")
    if answer.code == CONFLICT:
        text = f"the object has version {format_version(version)}"
        return make_failure(ErrorKind.CONFLICT, text, version)
    return Success(version)


def _require_value(result: Result) -> Result:
    """Turn a successful None into a failure, for paths that always exist."""
    if result == Success(None):
        return make_failure(ErrorKind.INVALID, "the platform answered 404")
    return result
