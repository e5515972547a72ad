"""HTTP client with timeouts, whose failures say whether a call took effect.

The service counts calls and has outages, so this client bounds the calls in
flight and those that wait, gives each attempt a timeout, and retries with jittered
back-off only the failures that its user declares safe to retry.
"""

import json
import random
from collections.abc import Callable, Mapping
from io import BytesIO
from typing import NamedTuple

from returns.result import Failure, Result, Success
from twisted.internet.defer import (
    CancelledError,
    Deferred,
    DeferredSemaphore,
)
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Protocol, connectionDone
from twisted.internet.task import Cooperator, deferLater
from twisted.python.failure import Failure as DefectFailure
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    ResponseDone,
)
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgent, IAgentEndpointFactory
from zope.interface import implementer

from beryltrack.objects.backoff import compute_delay
from beryltrack.objects.eras import ERA_HEADER, EraTracker, get_era, parse_era
from beryltrack.objects.messages import ErrorKind, PlatformError
from beryltrack.wire.sockets import SocketLimits, tune_socket

# Seconds of one attempt, and of opening a connection.
CALL_TIMEOUT = 5.0
CONNECT_TIMEOUT = 2.0
MAX_ATTEMPTS = 3
# Calls in flight, and calls that wait for one of these to end.
MAX_CALLS = 8
MAX_WAITING = 64
# Bytes.
MAX_BODY = 64 * 1024 * 1024
JSON_HEADERS = {"Content-Type": "application/json"}
# A watch is silent for longer than an outage may stay undetected.
SERVICE_LIMITS = SocketLimits(idle=1, interval=1, count=2, user_timeout=3_000)
# The service sends these status codes instead of executing the call.
REFUSED_STATUSES = frozenset({429, 503})
_REFUSED = frozenset({ErrorKind.REFUSED})


class HttpAnswer(NamedTuple):
    """One HTTP answer.

    Parameters
    ----------
    code : int
        HTTP status code.
    body : bytes
        The body as received.
    era : int
        The era of the store that it belongs to; 0 if the store has none.
    """

    code: int
    body: bytes
    era: int = 0


class BodyCollector(Protocol):
    """Collects the body of an answer, up to `MAX_BODY` bytes."""

    def __init__(self):
        self.done: Deferred[bytes] = Deferred(lambda _: self._close())
        self._chunks: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Append a part of the body; abort one that is too large."""
        self._size += len(data)
        self._chunks.append(data)
        if self._size > MAX_BODY and not self.done.called:
            text = f"the answer exceeds {MAX_BODY} bytes"
            self.done.errback(ValueError(text))
            self._close()

    def connectionLost(self, reason: DefectFailure = connectionDone) -> None:  # noqa: N802
        """Return the whole body, or fail if it was cut off."""
        if self.done.called:
            return
        # A body without a Content-Length ends with its connection.
        if reason.check(ResponseDone, PotentialDataLoss):
            self.done.callback(b"".join(self._chunks))
        else:
            self.done.errback(reason)

    def _close(self) -> None:
        """Close the connection; the proxy of its transport has no other way."""
        self.transport.loseConnection()


class TunedEndpoint(NamedTuple):
    """Client endpoint whose connections detect a silent loss within seconds.

    Parameters
    ----------
    endpoint : TCP4ClientEndpoint
        The address.
    seconds : callable
        The clock.
    timeout : float
        Seconds after which a new connection is aborted instead of used.
    """

    endpoint: TCP4ClientEndpoint
    seconds: Callable[[], float]
    timeout: float

    def connect(self, factory) -> Deferred:
        """Connect, and set the socket options of the connection."""
        began_at = self.seconds()
        return self.endpoint.connect(factory).addCallback(self._set_keepalive, began_at)

    def _set_keepalive(self, protocol, began_at: float):
        """Set keepalive options, so that the kernel detects a lost service in seconds.

        A process that was paused handles the established connection before its own
        expired timeout. The request that it was about to send may be outdated by then.
        """
        if self.seconds() - began_at > self.timeout:
            protocol.transport.abortConnection()
            raise ConnectError(string="connecting exceeded its timeout")
        tune_socket(protocol.transport, SERVICE_LIMITS)
        return protocol


@implementer(IAgentEndpointFactory)
class TunedEndpoints:
    """Creates the endpoints of an agent; services are named by IP address.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Opens the connections.
    timeout : float
        Seconds until opening a connection counts as failed.
    """

    def __init__(self, reactor, timeout: float):
        self._reactor = reactor
        self._timeout = timeout

    def endpointForURI(self, uri) -> TunedEndpoint:  # noqa: N802
        """Return the endpoint of a URL."""
        host = uri.host.decode("ascii")
        endpoint = TCP4ClientEndpoint(
            self._reactor, host, uri.port, timeout=self._timeout
        )
        return TunedEndpoint(endpoint, self._reactor.seconds, self._timeout)


class HttpClient:
    """Calls one HTTP service.

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
    connect_timeout : float, optional
        Seconds until opening a connection counts as failed.
    eras : EraTracker, optional
        Records the era that answers report; shared by all clients of one store.
    """

    def __init__(
        self,
        reactor,
        url: str,
        rng: random.Random | None = None,
        timeout: float = CALL_TIMEOUT,
        agent: IAgent | None = None,
        connect_timeout: float = CONNECT_TIMEOUT,
        eras: EraTracker | None = None,
    ):
        self.eras = eras or EraTracker(reactor.seconds)
        self._reactor = reactor
        self._url = url.rstrip("/")
        self._rng = rng or random.Random()
        self._timeout = timeout
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        # Twisted would retry a DELETE whose answer was lost.
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = MAX_CALLS
        if agent is None:
            agent = Agent.usingEndpointFactory(
                reactor, TunedEndpoints(reactor, connect_timeout), pool=self._pool
            )
        self._agent = agent
        self._semaphore = DeferredSemaphore(MAX_CALLS)

    @property
    def timeout(self) -> float:
        """Time limit of one attempt, seconds."""
        return self._timeout

    def close(self) -> Deferred:
        """Close the idle connections; fires when they are closed."""
        return self._pool.closeCachedConnections()

    async def watch(
        self, url: str, after: int, limit: float
    ) -> Result[HttpAnswer, PlatformError]:
        """Watch for changes after a version; one attempt, outside the call limit.

        A revision of an earlier era has another meaning in the present one, so that an
        answer of a later era would miss changes: such a watch ends as EXPIRED.
        """
        expired = make_failure(
            ErrorKind.EXPIRED, "the platform was restored from a backup"
        )
        if self.eras.is_past(get_era(after)):
            return expired
        answer = await self.send_once("GET", url, None, limit)
        is_other = isinstance(answer, Success) and answer.unwrap().era != get_era(after)
        return expired if is_other else answer

    async def send_change(
        self, method: str, url: str, body: object, if_version: int
    ) -> Result[HttpAnswer, PlatformError]:
        """Send a change, retried only while it is refused before it takes effect.

        A change that is conditional on a version is sent in the version's era only: an
        answer of another era does not show whether the condition held.
        """
        era = get_era(if_version) if if_version else None
        return await self.send_with_retries(method, url, body, _REFUSED, era)

    async def send_with_retries(
        self,
        method: str,
        url: str,
        body: object,
        repeatable: frozenset[ErrorKind],
        era: int | None = None,
    ) -> Result[HttpAnswer, PlatformError]:
        """Make up to `MAX_ATTEMPTS` attempts with jittered delays between them.

        Parameters
        ----------
        method, url : str
            The request.
        body : object
            The JSON value of its body, None for an empty body.
        repeatable : frozenset of ErrorKind
            Failures that are retried.
        era : int, optional
            The only era in which it may be sent; None for any.
        """
        for attempt in range(1, MAX_ATTEMPTS + 1):
            if era is not None and self.eras.is_past(era):
                return make_failure(
                    ErrorKind.CONFLICT, "its version is of an earlier era"
                )
            result = await self._send_bounded(method, url, body)
            if isinstance(result, Success) and era not in (None, result.unwrap().era):
                return make_failure(ErrorKind.UNKNOWN, "the answer is of another era")
            match result:
                case Failure(PlatformError(kind)) if kind in repeatable:
                    pass
                case _:
                    return result
            if attempt < MAX_ATTEMPTS:
                delay = compute_delay(attempt, self._rng)
                await deferLater(self._reactor, delay)
        return result

    async def _send_bounded(self, method: str, url: str, body: object) -> Result:
        """Make one attempt within the bounds on calls in flight and calls that wait."""
        waiting = len(self._semaphore.waiting)
        if not self._semaphore.tokens and waiting >= MAX_WAITING:
            return make_failure(
                ErrorKind.REFUSED, "too many calls wait in this process"
            )
        await self._semaphore.acquire()
        try:
            return await self.send_once(method, url, body)
        finally:
            self._semaphore.release()

    async def send_once(
        self,
        method: str,
        url: str,
        body: object,
        timeout: float | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpAnswer, PlatformError]:
        """Send one request and classify its failure."""
        limit = self._timeout if timeout is None else timeout
        sending = self._send(method, url, body, headers or {})
        call = Deferred.fromCoroutine(sending)
        timer = self._reactor.callLater(limit, call.cancel)
        try:
            answer = await call
        except ConnectError as error:
            return make_failure(
                ErrorKind.REFUSED, f"no connection to the platform: {error}"
            )
        except Exception as error:
            if not timer.active():
                return make_failure(ErrorKind.UNKNOWN, f"no answer within {limit:g} s")
            if _is_cancelled(error):
                raise CancelledError from error
            # Twisted wraps the cause in many exception types. The service may have
            # received the request, so each of them leaves its effect unknown.
            text = f"the answer was lost: {describe_loss(error)}"
            return make_failure(ErrorKind.UNKNOWN, text)
        finally:
            if timer.active():
                timer.cancel()
        if answer.code in REFUSED_STATUSES:
            return make_failure(
                ErrorKind.REFUSED, f"the platform answered {answer.code}"
            )
        if answer.code >= 500:
            return make_failure(
                ErrorKind.UNKNOWN, f"the platform answered {answer.code}"
            )
        if self.eras.is_past(answer.era):
            # The restore may have undone what the call read or wrote.
            text = f"the answer is of era {answer.era}, not of era {self.eras.era}"
            return make_failure(ErrorKind.UNKNOWN, text)
        return Success(answer)

    async def _send(
        self, method: str, url: str, body: object, headers: Mapping[str, str]
    ) -> HttpAnswer:
        """Send one request and receive its whole answer."""
        data = None if body is None else self._build_producer(body)
        fields = {name: [value] for name, value in (JSON_HEADERS | headers).items()}
        response = await self._agent.request(
            method.encode(), (self._url + url).encode(), Headers(fields), data
        )
        collector = BodyCollector()
        response.deliverBody(collector)
        era_header = response.headers.getRawHeaders(ERA_HEADER, [None])[0]
        body = await collector.done
        return HttpAnswer(response.code, body, self.eras.observe(parse_era(era_header)))

    def _build_producer(self, body: object) -> FileBodyProducer:
        """Return a producer of the JSON body that runs on this client's reactor."""
        cooperator = Cooperator(scheduler=lambda step: self._reactor.callLater(0, step))
        return FileBodyProducer(BytesIO(json.dumps(body).encode()), cooperator)


def _is_cancelled(error: Exception) -> bool:
    """Return whether a request ended because it was cancelled."""
    reasons = getattr(error, "reasons", ())
    return isinstance(error, CancelledError) or any(
        reason.check(CancelledError) for reason in reasons
    )


def describe_loss(error: Exception) -> str:
    """Return why a request has no answer, without Twisted's wrapper exceptions."""
    reasons = getattr(error, "reasons", ())
    return reasons[0].getErrorMessage() if reasons else str(error) or repr(error)


def make_failure(kind: ErrorKind, text: str, version: int = 0) -> Result:
    """Return a failed result."""
    return Failure(PlatformError(kind, text, version))
