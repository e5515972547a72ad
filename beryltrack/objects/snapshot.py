"""What an instance knows of the store, for one that starts while the store is away.

Nothing is kept on an instance, so that one that starts knows nothing. The others hold
copies of the objects that it needs, which are as good as what it could be serving by
had it not stopped. An instance gives its copies to whoever connects, and closes.
"""

import logging
import random
from collections.abc import Callable, Mapping

import cbor2
from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from beryltrack.objects.messages import PlatformObject
from beryltrack.settings.messages import Endpoint

log = logging.getLogger(__name__)

MOST_BYTES = 8 << 20
"""Largest snapshot that is taken; that of 400 routes and 40 databases has 0.1 MB."""

FIRST_DELAY = 0.3
"""Seconds after the start in which the store alone is asked; it answers in 4 ms."""

PERIOD = 1.0
"""Seconds between two rounds."""

FETCH_LIMIT = 0.5
"""Seconds within which another instance must have given its copy."""

MALFORMED = (
    cbor2.CBORError,
    AttributeError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
"""What reading a form raises if it was not written as agreed."""

Snapshot = Mapping[str, Mapping[str, PlatformObject]]


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the form of objects by kind and path; kinds without any are left out."""
    return cbor2.dumps(
        {
            kind: list(map(tuple, each.values()))
            for kind, each in snapshot.items()
            if each
        }
    )


def decode_snapshot(data: bytes) -> Snapshot | None:
    """Return the objects that a form stands for, None if it cannot be read."""
    try:
        kinds = cbor2.loads(data)
        return {
            kind: {item.path: item for item in map(decode_object, items) if item}
            for kind, items in kinds.items()
        }
    except MALFORMED as error:
        log.warning("objects: A snapshot cannot be read: %r.", error)
        return None


def decode_object(fields: object) -> PlatformObject | None:
    """Return one object of a snapshot, None if it is malformed."""
    match fields:
        case [str() as path, int() as version, value, bool() as deleted]:
            return PlatformObject(path, version, value, deleted)
    log.warning("objects: An object of a snapshot is left out: it is malformed.")
    return None


class _Giver(Protocol):
    """Sends the copy and closes."""

    def connectionMade(self) -> None:  # noqa: N802
        """Send what is known now."""
        self.transport.write(encode_snapshot(self.factory.get_snapshot()))
        self.transport.loseConnection()


class SnapshotServer(Factory):
    """Gives an instance's copies to whoever connects.

    Parameters
    ----------
    get_snapshot : callable
        Returns the copies.
    """

    noisy = False
    protocol = _Giver

    def __init__(self, get_snapshot: Callable[[], Snapshot]):
        self.get_snapshot = get_snapshot


class _Taker(Protocol):
    """Collects a copy."""

    def __init__(self):
        self.done: Deferred[bytes] = Deferred(
            lambda _: self.transport.abortConnection()
        )
        self._data = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take a part."""
        self._data += data
        if len(self._data) > MOST_BYTES:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Give all that came; a part of a copy cannot be decoded."""
        if not self.done.called:
            self.done.callback(self._data)


class SnapshotTask:
    """Asks other instances for their copies until it is told to stop.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Opens the connections.
    sources : tuple of Endpoint
        Where other instances may give their copies.
    take : callable
        Takes each copy.
    rng : random.Random
        Decides whom to ask first.
    """

    def __init__(
        self,
        reactor,
        sources: tuple[Endpoint, ...],
        take: Callable[[Snapshot], None],
        rng: random.Random,
    ):
        self._reactor = reactor
        self._sources = list(sources)
        self._take = take
        self._rng = rng
        self._is_stopped = False
        self._call = None

    def start(self) -> None:
        """Begin to ask, some time from now."""
        self._call = self._reactor.callLater(FIRST_DELAY, self._begin)

    def fetch_now(self) -> None:
        """Ask now, if nobody is asked yet."""
        if self._call is not None and self._call.active():
            self._call.reset(0)

    def stop(self) -> None:
        """Ask no more."""
        self._is_stopped = True
        if self._call is not None and self._call.active():
            self._call.cancel()

    def _begin(self) -> None:
        """Ask all sources once, one after the other."""
        asking = Deferred.fromCoroutine(self._ask_all())
        asking.addErrback(_log_defect)

    async def _ask_all(self) -> None:
        """Take the first copy that can be had; ask again later without one."""
        self._rng.shuffle(self._sources)
        for source in self._sources:
            snapshot = None if self._is_stopped else await self._fetch(source)
            if snapshot and not self._is_stopped:
                log.info("objects: %s gives what it knows.", source.host)
                self._take(snapshot)
                break
        if not self._is_stopped:
            self._call = self._reactor.callLater(PERIOD, self._begin)

    async def _fetch(self, source: Endpoint) -> Snapshot | None:
        """Return another instance's copy, None without one."""
        endpoint = TCP4ClientEndpoint(
            self._reactor, source.host, source.port, FETCH_LIMIT
        )
        try:
            taker = await connectProtocol(endpoint, _Taker())
            data = await taker.done.addTimeout(FETCH_LIMIT, self._reactor)
        except (TimeoutError, OSError) as error:
            log.info("objects: %s gives nothing: %s", source.host, error)
            return None
        except Exception as error:
            # Twisted's errors of connections have no common type.
            log.info("objects: %s cannot be reached: %r", source.host, error)
            return None
        return decode_snapshot(data) if data else None


def _log_defect(failure: Failure) -> None:
    """Log what ended the asking: the store is asked all the same."""
    log.error("objects: Asking for a snapshot met a defect: %s", failure.getTraceback())
