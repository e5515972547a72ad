"""Publishes a watcher's cached copies to its followers, as frames of CBOR over TCP.

A frame says up to which version the watcher knows a kind, and whether it is in contact
with the store; frames without changes serve as heartbeats. The first frames of a link
contain all objects, later ones what has changed. Most followers get the same frame at
the same moment, which is encoded once for all.

The store's era is a field of its own: an instance of an earlier release without eras
cannot decode the frames and calls the store, instead of mistaking a version for a
revision.
"""

import logging
from typing import NamedTuple

import cbor2
from twisted.internet.protocol import Factory, connectionDone
from twisted.internet.task import LoopingCall
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from beryltrack.clock import NEVER, get_monotonic_clock
from beryltrack.objects.eras import get_era, get_revision, make_version
from beryltrack.objects.feed import FeedTask
from beryltrack.objects.messages import PlatformObject
from beryltrack.objects.snapshot import DECODE_ERRORS, decode_object

log = logging.getLogger(__name__)

HEARTBEAT_PERIOD = 0.5
"""Seconds between frames of a link without changes."""

MAX_FOLLOWERS = 64
"""Links that one watcher accepts; a zone of 100 instances has three watchers."""

MAX_FRAME_BYTES = 8 << 20
"""Largest frame, bytes; all objects of 400 routes and 40 databases have 0.1 MB."""

FRAME_REUSE_TIME = 0.1
"""Seconds for which an encoded frame is sent to further followers."""

_CBOR_ARRAY = 0x80
"""First byte of a CBOR array of up to 23 items, without their number."""


class CopyFrame(NamedTuple):
    """The state or the changes of one kind.

    Parameters
    ----------
    kind : str
        The kind of the objects.
    revision : int
        The store's version up to which the watcher knows them.
    is_live : bool
        True if the watcher watches the store itself and gets answers.
    is_complete : bool
        True if these are all objects, False if only changed ones.
    objects : tuple of PlatformObject
        The objects.
    sent_at : float
        Time of the watcher's clock, at the earliest, at which it sends the frame.
    complete_at : float
        Time up to which it knows all changes, by its own clock. A receiver converts it
        to the follower's clock.
    """

    kind: str
    revision: int
    is_live: bool
    is_complete: bool
    objects: tuple[PlatformObject, ...]
    sent_at: float = 0.0
    complete_at: float = NEVER


def encode_frames(frames: tuple[CopyFrame, ...]) -> bytes:
    """Return the encoded array of some frames."""
    return join_frames(tuple(map(encode_frame, frames)))


def encode_frame(frame: CopyFrame) -> bytes:
    """Return one encoded frame."""
    version = [get_era(frame.revision), get_revision(frame.revision)]
    objects = [list(item) for item in frame.objects]
    times = (frame.sent_at, frame.complete_at)
    return cbor2.dumps(
        [frame.kind, *version, frame.is_live, frame.is_complete, objects, *times]
    )


def join_frames(encoded: tuple[bytes, ...]) -> bytes:
    """Return the array of at most 23 encoded frames."""
    return bytes((_CBOR_ARRAY | len(encoded),)) + b"".join(encoded)


def decode_frames(data: bytes) -> tuple[CopyFrame, ...]:
    """Return the frames of an encoded array.

    Raises
    ------
    ValueError
        If a frame is malformed. A single malformed object is skipped and logged.
    """
    try:
        return tuple(_decode_frame(fields) for fields in cbor2.loads(data))
    except DECODE_ERRORS as error:
        raise ValueError(f"the frames are malformed: {error!r}") from error


def _decode_frame(fields: object) -> CopyFrame:
    """Return one frame."""
    match fields:
        case [
            str() as kind,
            int() as era,
            int() as revision,
            bool() as live,
            bool() as complete,
            list() as items,
            *times,
        ] if not times or list(map(type, times)) == [float, float]:
            objects = tuple(item for item in map(decode_object, items) if item)
            version = make_version(era, revision)
            # An earlier release sends no times.
            return CopyFrame(kind, version, live, complete, objects, *times)
    raise ValueError("a frame is malformed")


Objects = dict[str, PlatformObject]


class _EncodedFrame(NamedTuple):
    """The last encoded frame of a kind, with the states that it leads from and to."""

    known: Objects | None
    current: Objects
    revision: int
    is_live: bool
    made_at: float
    data: bytes

    def matches(self, feed: FeedTask, known: Objects | None, now: float) -> bool:
        """Return whether a follower that knows `known` needs this same frame."""
        is_same = (self.revision, self.is_live) == (feed.revision, feed.is_live)
        is_recent = now < self.made_at + FRAME_REUSE_TIME
        has_same_objects = self.known is known and self.current is feed.objects
        return is_same and is_recent and has_same_objects


class CopySender(Int32StringReceiver):
    """A watcher's side of one link."""

    MAX_LENGTH = 0

    def __init__(self, feeds: tuple[FeedTask, ...]):
        self._feeds = feeds
        self._sent: dict[str, Objects] = {}
        self._is_paused = False

    def connectionMade(self) -> None:  # noqa: N802
        """Send all objects, or close a link above `MAX_FOLLOWERS`."""
        self.transport.setTcpNoDelay(True)
        self.factory.links.add(self)
        if len(self.factory.links) > MAX_FOLLOWERS:
            self.transport.loseConnection()
            return
        self.transport.registerProducer(self, True)
        self.send_updates(self._feeds)

    def pauseProducing(self) -> None:  # noqa: N802
        """Send nothing while the follower does not read."""
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Send what has changed meanwhile."""
        self._is_paused = False
        self.send_updates(self._feeds)

    def stopProducing(self) -> None:  # noqa: N802
        """Send no more: the link is lost."""
        self._is_paused = True

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Remove the link from the publisher."""
        self.factory.links.discard(self)

    def send_updates(self, feeds: tuple[FeedTask, ...]) -> None:
        """Send the changes of some kinds, or a heartbeat for unchanged ones.

        If they cannot be encoded the link is closed, so that the follower calls the
        store itself instead of keeping outdated objects.
        """
        if self._is_paused:
            return
        try:
            encoded = [
                self.factory.encode(each, self._sent.get(each.kind)) for each in feeds
            ]
        except Exception:
            kinds = ", ".join(feed.kind for feed in feeds)
            log.exception(
                "objects: Closing a follower's link: cannot encode %s.", kinds
            )
            self._is_paused = True
            self.transport.abortConnection()
            return
        self.sendString(join_frames(tuple(encoded)))
        self._sent |= {feed.kind: feed.objects for feed in feeds}


def make_frame(feed: FeedTask, known: Objects | None, now: float = 0.0) -> CopyFrame:
    """Return the frame for a follower that knows `known`, None if it knows nothing."""
    current, previous = feed.objects, known or {}
    changed: tuple[PlatformObject, ...] = ()
    if known is not current:
        new = (each for path, each in current.items() if previous.get(path) is not each)
        deleted = (
            each._replace(value=None, deleted=True)
            for path, each in previous.items()
            if path not in current
        )
        changed = (*new, *deleted)
    return CopyFrame(
        feed.kind,
        feed.revision,
        feed.is_live,
        known is None,
        changed,
        now,
        feed.complete_at,
    )


class CopyPublisher(Factory):
    """Accepts the links of followers, and sends them each change and heartbeats.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    feeds : tuple of FeedTask
        The feeds whose objects are published.
    """

    noisy = False

    def __init__(self, reactor, feeds: tuple[FeedTask, ...]):
        self.links: set[CopySender] = set()
        self._seconds = get_monotonic_clock(reactor)
        self._feeds = feeds
        self._last_encoded: dict[str, _EncodedFrame] = {}
        self._heartbeat = LoopingCall(self._send_heartbeat)
        self._heartbeat.clock = reactor
        for feed in feeds:
            feed.subscribe(self._send_update)

    def start(self) -> None:
        """Start the heartbeats."""
        self._heartbeat.start(HEARTBEAT_PERIOD, now=False)

    def stop(self) -> None:
        """Close all links, so that their followers turn to another watcher at once."""
        if self._heartbeat.running:
            self._heartbeat.stop()
        for link in tuple(self.links):
            link.transport.abortConnection()

    def buildProtocol(self, addr) -> CopySender:  # noqa: N802
        """Return the sender of a new link."""
        link = CopySender(self._feeds)
        link.factory = self
        return link

    def encode(self, feed: FeedTask, known: Objects | None) -> bytes:
        """Return the encoded frame for a follower that knows `known`."""
        last, now = self._last_encoded.get(feed.kind), self._seconds()
        if last is None or not last.matches(feed, known, now):
            data = encode_frame(make_frame(feed, known, now))
            last = _EncodedFrame(
                known, feed.objects, feed.revision, feed.is_live, now, data
            )
            self._last_encoded[feed.kind] = last
        return last.data

    def _send_heartbeat(self) -> None:
        """Send a frame of all kinds to all followers."""
        for link in tuple(self.links):
            link.send_updates(self._feeds)

    def _send_update(self, feed: FeedTask) -> None:
        """Send the changes of one kind to all followers."""
        for link in tuple(self.links):
            link.send_updates((feed,))


class CopyReceiver(Int32StringReceiver):
    """A follower's side of one link.

    Parameters
    ----------
    on_frames : callable
        Called with this link and each array of frames.
    on_lost : callable
        Called with this link when it has ended.
    opened_at : float
        Time of the instance's clock at which it began to open the link. The watcher
        sends the first frame later, which bounds the difference of the two clocks
        however long frames are under way.
    """

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, on_frames, on_lost, opened_at: float = 0.0):
        self._on_frames = on_frames
        self._on_lost = on_lost
        self._opened_at = opened_at
        self._clock_difference: float | None = None

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Pass decoded frames on; close the link on a malformed one."""
        try:
            frames = decode_frames(string)
        except ValueError:
            self.transport.abortConnection()
            return
        self._on_frames(self, tuple(map(self._convert_time, frames)))

    def _convert_time(self, frame: CopyFrame) -> CopyFrame:
        """Return a frame with its time of completeness by the follower's clock."""
        if self._clock_difference is None:
            latest_sent_at = frame.sent_at + FRAME_REUSE_TIME
            self._clock_difference = self._opened_at - latest_sent_at
        return frame._replace(complete_at=frame.complete_at + self._clock_difference)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Report that the link has ended."""
        self._on_lost(self)
