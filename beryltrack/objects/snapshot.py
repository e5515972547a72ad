"""Snapshots of an instance's cached copies, for one that starts without the store.

Instances store nothing on disk, so that a new one has no objects while the store is
unavailable. The others have cached copies of the objects that it needs, as current as
its own would be had it kept running. An instance sends its copies as CBOR to each TCP
connection, and closes it.
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

MAX_BYTES = 8 << 20
"""Largest accepted snapshot, bytes; 400 routes and 40 databases have 0.1 MB."""

FIRST_DELAY = 0.3
"""Seconds after the start in which only the store is called; it answers in 4 ms."""

ROUND_PERIOD = 1.0
"""Seconds between two rounds over the sources."""

FETCH_TIMEOUT = 0.5
"""Seconds within which another instance must send its snapshot."""

DECODE_ERRORS = (
    cbor2.CBORError,
    AttributeError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
"""Errors that decoding raises for data of another format."""

Snapshot = Mapping[str, Mapping[str, PlatformObject]]


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the encoded objects by kind and path; empty kinds are omitted."""
    return cbor2.dumps(
        {
            kind: list(map(tuple, each.values()))
            for kind, each in snapshot.items()
            if each
        }
    )


def decode_snapshot(data: bytes) -> Snapshot | None:
    """Return the objects of an encoded snapshot, None if it is malformed."""
    try:
        kinds = cbor2.loads(data)
        return {
            kind: {item.path: item for item in map(decode_object, items) if item}
            for kind, items in kinds.items()
        }
    except DECODE_ERRORS as error:
        log.warning("objects: Ignored a malformed snapshot: %r.", error)
        return None


def decode_object(fields: object) -> PlatformObject | None:
    """Return one object of a snapshot or frame, None if it is malformed."""
    match fields:
        case [str() as path, int() as version, value, bool() as deleted]:
            return PlatformObject(path, version, value, deleted)
    log.warning("objects: Skipped a malformed object of another instance's copy.")
    return None


class _SnapshotSender(Protocol):
    """Sends the snapshot and closes."""

    def connectionMade(self) -> None:  # noqa: N802
        """Send the present snapshot."""
        self.transport.write(encode_snapshot(self.factory.get_snapshot()))
        self.transport.loseConnection()


class SnapshotServer(Factory):
    """Sends this instance's snapshot to each client that connects.

    Parameters
    ----------
    get_snapshot : callable
        Returns the cached copies by kind and path.
    """

    noisy = False
    protocol = _SnapshotSender

    def __init__(self, get_snapshot: Callable[[], Snapshot]):
        self.get_snapshot = get_snapshot


class _SnapshotReceiver(Protocol):
    """Collects a snapshot."""

    def __init__(self):
        self.done: Deferred[bytes] = Deferred(
            lambda _: self.transport.abortConnection()
        )
        self._data = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Append a part of the snapshot; abort one that is too large."""
        self._data += data
        if len(self._data) > MAX_BYTES:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Return all data; a truncated snapshot fails to decode."""
        if not self.done.called:
            self.done.callback(self._data)


class SnapshotTask:
    """Fetches snapshots from other instances, in rounds, until it is stopped.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Opens the connections.
    sources : tuple of Endpoint
        Where other instances may serve their snapshots.
    callback : callable
        Called with each snapshot.
    rng : random.Random
        Shuffles the sources.
    """

    def __init__(
        self,
        reactor,
        sources: tuple[Endpoint, ...],
        callback: Callable[[Snapshot], None],
        rng: random.Random,
    ):
        self._reactor = reactor
        self._sources = list(sources)
        self._callback = callback
        self._rng = rng
        self._is_stopped = False
        self._call = None

    def start(self) -> None:
        """Start the first round after `FIRST_DELAY`."""
        self._call = self._reactor.callLater(FIRST_DELAY, self._start_round)

    def fetch_now(self) -> None:
        """Start the next round now, unless one is running."""
        if self._call is not None and self._call.active():
            self._call.reset(0)

    def stop(self) -> None:
        """Stop fetching."""
        self._is_stopped = True
        if self._call is not None and self._call.active():
            self._call.cancel()

    def _start_round(self) -> None:
        """Start one round over the sources."""
        fetching = Deferred.fromCoroutine(self._run_round())
        fetching.addErrback(_log_defect)

    async def _run_round(self) -> None:
        """Use the first snapshot of a round; schedule the next round."""
        self._rng.shuffle(self._sources)
        for source in self._sources:
            snapshot = None if self._is_stopped else await self._fetch(source)
            if snapshot and not self._is_stopped:
                log.info("objects: Received a snapshot from %s.", source.host)
                self._callback(snapshot)
                break
        if not self._is_stopped:
            self._call = self._reactor.callLater(ROUND_PERIOD, self._start_round)

    async def _fetch(self, source: Endpoint) -> Snapshot | None:
        """Return another instance's snapshot, None if it sends none."""
        endpoint = TCP4ClientEndpoint(
            self._reactor, source.host, source.port, FETCH_TIMEOUT
        )
        try:
            receiver = await connectProtocol(endpoint, _SnapshotReceiver())
            data = await receiver.done.addTimeout(FETCH_TIMEOUT, self._reactor)
        except (TimeoutError, OSError) as error:
            log.info("objects: No snapshot from %s: %s", source.host, error)
            return None
        except Exception as error:
            # Twisted's connection errors have no common type.
            log.info("objects: No snapshot from %s: %r", source.host, error)
            return None
        return decode_snapshot(data) if data else None


def _log_defect(failure: Failure) -> None:
    """Log the exception that ended the rounds; the store is still called."""
    log.error("objects: Fetching snapshots failed: %s", failure.getTraceback())
