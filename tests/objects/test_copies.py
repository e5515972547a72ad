"""Frames of a watcher: encoded once for all followers in the same state."""

import cbor2
import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from beryltrack.clock import NEVER
from beryltrack.objects import copies
from beryltrack.objects.copies import (
    FRAME_REUSE_TIME,
    CopyPublisher,
    CopyReceiver,
    decode_frames,
    make_frame,
)
from beryltrack.objects.messages import PlatformObject

FOLLOWERS = 20


class Feed:
    """A feed of one kind that a test writes to."""

    kind, is_live, complete_at = "config", True, 0.0

    def __init__(self):
        self.revision, self.objects, self.observers = 0, {}, []
        self.write(0)

    def subscribe(self, observer):
        self.observers.append(observer)

    def write(self, value):
        self.revision += 1
        item = PlatformObject("config/main", self.revision, value, False)
        self.objects = {"config/main": item}
        for observer in self.observers:
            observer(self)


class Follower:
    """Collects the values that one follower receives."""

    def __init__(self, port):
        self.link, self.transport = port.buildProtocol(None), Transport()
        self.link.makeConnection(self.transport)

    def take(self):
        """Return the values received since the last call."""
        data, found = self.transport.value(), []
        self.transport.clear()
        while data:
            size = int.from_bytes(data[:4], "big")
            frames = decode_frames(data[4 : 4 + size])
            found += [item.value for frame in frames for item in frame.objects]
            data = data[4 + size :]
        return found


class Transport(StringTransport):
    """Transport that ignores socket options."""

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass


@pytest.fixture
def encoded(monkeypatch):
    """Return the frames with objects, in the order in which they were encoded."""
    found, encode = [], copies.encode_frame

    def count(frame):
        found.extend([frame] if frame.objects else [])
        return encode(frame)

    monkeypatch.setattr(copies, "encode_frame", count)
    return found


def test_a_change_is_encoded_once_for_all_followers(encoded):
    feed = Feed()
    port = CopyPublisher(Clock(), (feed,))
    followers = [Follower(port) for _ in range(FOLLOWERS)]
    assert [each.take() for each in followers] == [[0]] * FOLLOWERS
    feed.write(1)
    feed.write(2)
    assert [each.take() for each in followers] == [[1, 2]] * FOLLOWERS
    assert len(encoded) == 3


def test_a_follower_that_did_not_read_gets_the_changes_it_missed(encoded):
    feed = Feed()
    port = CopyPublisher(Clock(), (feed,))
    late, other = Follower(port), Follower(port)
    late.link.pauseProducing()
    feed.write(1)
    feed.write(2)
    late.link.resumeProducing()
    assert late.take() == [0, 2] and other.take() == [0, 1, 2]
    assert late.link._sent == other.link._sent


def test_a_new_follower_gets_all_objects_and_an_up_to_date_one_none():
    feed = Feed()
    first = make_frame(feed, None)
    again = make_frame(feed, feed.objects)
    assert first.is_complete and len(first.objects) == 1
    assert not again.is_complete and again.objects == ()


def test_a_frame_contains_deletions():
    feed = Feed()
    before, feed.objects = feed.objects, {}
    (gone,) = make_frame(feed, before).objects
    assert gone.path == "config/main" and gone.deleted and gone.value is None


def test_a_follower_dates_the_watchers_knowledge_however_late_a_frame_arrives():
    """Guards against a stalled link that makes an old report of a database new."""
    feed, clock, received = Feed(), Clock(), []
    clock.advance(100.0)
    feed.complete_at = 98.0
    sender = CopyPublisher(clock, (feed,)).buildProtocol(None)
    sender.makeConnection(Transport())
    follower = CopyReceiver(lambda _, frames: received.extend(frames), None, 20.0)
    follower.dataReceived(sender.transport.value())
    assert received[0].complete_at == pytest.approx(18.0 - FRAME_REUSE_TIME)
    sender.transport.clear()
    clock.advance(5.0)
    feed.complete_at = 104.0
    sender.send_updates((feed,))
    clock.advance(50.0)
    follower.dataReceived(sender.transport.value())
    assert received[1].complete_at == pytest.approx(24.0 - FRAME_REUSE_TIME)


def test_a_frame_of_an_earlier_release_says_nothing_of_its_time():
    """Guards against followers that cannot follow while releases change."""
    frame = cbor2.loads(copies.encode_frame(make_frame(Feed(), None)))[:-2]
    (decoded,) = decode_frames(cbor2.dumps([frame]))
    assert decoded.complete_at == NEVER
