"""What a watcher tells its followers: frames of changes, and that it is at work.

A frame says up to which revision the watcher knows a kind, and whether it hears from
the store. The first frames of a link hold all objects, later ones what has changed.
Most followers are told the same at the same moment, which is encoded once for all.

The store's era is a field of its own: an instance of an earlier release, which knows no
eras, cannot read the frames, and asks the store instead of taking a version for a
revision.
"""

from typing import NamedTuple

import cbor2
from twisted.internet.protocol import Factory, connectionDone
from twisted.internet.task import LoopingCall
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from beryltrack.objects.eras import get_era, get_revision, make_version
from beryltrack.objects.feed import FeedTask
from beryltrack.objects.messages import PlatformObject
from beryltrack.objects.snapshot import MALFORMED, decode_object

HEARTBEAT = 0.5
"""Seconds between two frames of a link on which nothing changes."""

MOST_FOLLOWERS = 64
"""Links that one watcher takes; a zone of a hundred instances has three watchers."""

MOST_BYTES = 8 << 20
"""Largest frame; all objects of 400 routes and 40 databases have 0.1 MB."""


_CBOR_ARRAY = 0x80
"""First byte of an array of CBOR, to which the number of its items is added."""


class CopyFrame(NamedTuple):
    """What a watcher tells of one kind.

    Parameters
    ----------
    kind : str
        The kind of the objects.
    revision : int
        The store's version up to which the watcher knows them.
    is_live : bool
        True if the watcher follows the store itself and hears from it.
    is_whole : bool
        True if these are all objects, False if they are those that have changed.
    objects : tuple of PlatformObject
        The objects.
    """

    kind: str
    revision: int
    is_live: bool
    is_whole: bool
    objects: tuple[PlatformObject, ...]


def encode_frames(frames: tuple[CopyFrame, ...]) -> bytes:
    """Return the form of some frames."""
    return join_frames(tuple(map(encode_frame, frames)))


def encode_frame(frame: CopyFrame) -> bytes:
    """Return the form of one frame."""
    place = [get_era(frame.revision), get_revision(frame.revision)]
    objects = [list(item) for item in frame.objects]
    return cbor2.dumps([frame.kind, *place, frame.is_live, frame.is_whole, objects])


def join_frames(encoded: tuple[bytes, ...]) -> bytes:
    """Return the form of some frames that are encoded already, at most 23."""
    return bytes((_CBOR_ARRAY | len(encoded),)) + b"".join(encoded)


def decode_frames(data: bytes) -> tuple[CopyFrame, ...]:
    """Return the frames that a form stands for.

    Raises
    ------
    ValueError
        If they cannot be read. A single object that cannot be read is left out.
    """
    try:
        return tuple(_decode_frame(fields) for fields in cbor2.loads(data))
    except MALFORMED as error:
        raise ValueError(f"no frames: {error!r}") from error


def _decode_frame(fields: object) -> CopyFrame:
    """Return one frame."""
    match fields:
        case [
            str() as kind,
            int() as era,
            int() as revision,
            bool() as live,
            bool() as whole,
            list() as of,
        ]:
            objects = tuple(item for item in map(decode_object, of) if item)
            version = make_version(era, revision)
            return CopyFrame(kind, version, live, whole, objects)
    raise ValueError("a frame is malformed")


Objects = dict[str, PlatformObject]


class _Encoded(NamedTuple):
    """The last frame of a kind, what it rests on, and its form."""

    before: Objects | None
    now: Objects
    revision: int
    is_live: bool
    form: bytes

    def fits(self, feed: FeedTask, before: Objects | None) -> bool:
        """Return whether a follower that knows `before` is to be told the same."""
        told = (self.revision, self.is_live) == (feed.revision, feed.is_live)
        return told and self.before is before and self.now is feed.objects


class CopySender(Int32StringReceiver):
    """A watcher's side of one link."""

    MAX_LENGTH = 0

    def __init__(self, feeds: tuple[FeedTask, ...]):
        self._feeds = feeds
        self._told: dict[str, Objects] = {}
        self._is_paused = False

    def connectionMade(self) -> None:  # noqa: N802
        """Tell all that is known."""
        self.transport.setTcpNoDelay(True)
        self.factory.links.add(self)
        if len(self.factory.links) > MOST_FOLLOWERS:
            self.transport.loseConnection()
            return
        self.transport.registerProducer(self, True)
        self.tell(self._feeds)

    def pauseProducing(self) -> None:  # noqa: N802
        """Tell nothing while the follower does not read."""
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Tell what has changed meanwhile."""
        self._is_paused = False
        self.tell(self._feeds)

    def stopProducing(self) -> None:  # noqa: N802
        """Tell no more: the link is lost."""
        self._is_paused = True

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Tell no more."""
        self.factory.links.discard(self)

    def tell(self, feeds: tuple[FeedTask, ...]) -> None:
        """Tell what has changed of some kinds, or that nothing has."""
        if self._is_paused:
            return
        encoded = (
            self.factory.encode(each, self._told.get(each.kind)) for each in feeds
        )
        self.sendString(join_frames(tuple(encoded)))
        self._told |= {feed.kind: feed.objects for feed in feeds}


def make_frame(feed: FeedTask, before: Objects | None) -> CopyFrame:
    """Return what a follower is to be told of a kind; None if it knows nothing."""
    now, known = feed.objects, before or {}
    changed: tuple[PlatformObject, ...] = ()
    if before is not now:
        new = (each for path, each in now.items() if known.get(path) is not each)
        gone = (
            each._replace(value=None, deleted=True)
            for path, each in known.items()
            if path not in now
        )
        changed = (*new, *gone)
    return CopyFrame(feed.kind, feed.revision, feed.is_live, before is None, changed)


class CopyPublisher(Factory):
    """Takes the links of followers, and tells them of each change.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    feeds : tuple of FeedTask
        What is told of.
    """

    noisy = False

    def __init__(self, reactor, feeds: tuple[FeedTask, ...]):
        self.links: set[CopySender] = set()
        self._feeds = feeds
        self._encoded: dict[str, _Encoded] = {}
        self._beating = LoopingCall(self._beat)
        self._beating.clock = reactor
        for feed in feeds:
            feed.subscribe(self._tell)

    def start(self) -> None:
        """Begin to tell, in regular intervals, that this instance is at work."""
        self._beating.start(HEARTBEAT, now=False)

    def stop(self) -> None:
        """Close all links: their followers go on with another watcher at once."""
        if self._beating.running:
            self._beating.stop()
        for link in tuple(self.links):
            link.transport.abortConnection()

    def buildProtocol(self, addr) -> CopySender:  # noqa: N802
        """Return a link."""
        link = CopySender(self._feeds)
        link.factory = self
        return link

    def encode(self, feed: FeedTask, before: Objects | None) -> bytes:
        """Return the form of what a follower that knows `before` is to be told."""
        last = self._encoded.get(feed.kind)
        if last is None or not last.fits(feed, before):
            form = encode_frame(make_frame(feed, before))
            last = _Encoded(before, feed.objects, feed.revision, feed.is_live, form)
            self._encoded[feed.kind] = last
        return last.form

    def _beat(self) -> None:
        """Tell all followers of all kinds."""
        for link in tuple(self.links):
            link.tell(self._feeds)

    def _tell(self, feed: FeedTask) -> None:
        """Tell all followers of a change of one kind."""
        for link in tuple(self.links):
            link.tell((feed,))


class CopyReceiver(Int32StringReceiver):
    """A follower's side of one link.

    Parameters
    ----------
    take : callable
        Takes each set of frames.
    lose : callable
        Called when the link has ended.
    """

    MAX_LENGTH = MOST_BYTES

    def __init__(self, take, lose):
        self._take = take
        self._lose = lose

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Take frames; a link with one that cannot be read is given up."""
        try:
            frames = decode_frames(string)
        except ValueError:
            self.transport.abortConnection()
            return
        self._take(self, frames)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Say that the link has ended."""
        self._lose(self)
