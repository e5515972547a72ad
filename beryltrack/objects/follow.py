"""Follows a watcher in place of the store, and asks the store when that fails.

An instance that is no watcher holds its own calls back while a watcher tells it that
it hears from the store. It asks by itself as soon as that watcher is silent or says
that it hears nothing, so that no change is in force later than by its own calls. An
instance that the store turns away, watcher or not, is told by another one meanwhile,
also before it has heard of any: its settings file names some.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.task import LoopingCall

from beryltrack.objects.copies import CopyFrame, CopyReceiver
from beryltrack.objects.feed import MOST_DELAY, FeedTask
from beryltrack.objects.watchers import is_watcher, list_seeds, order_sources
from beryltrack.pause_aware_clock import get_pause_aware_clock
from beryltrack.relay.owners import Peer
from beryltrack.settings.messages import Endpoint

log = logging.getLogger(__name__)

LOOK_PERIOD = 0.1
"""Seconds between two looks at the link."""

SILENCE_LIMIT = 1.3
"""Seconds without a frame after which a watcher counts as lost; one is due each 0.5 s.
The shortest time that a change may take is 3 s: this, 0.3 s in which another watcher is
looked for, and a call of at most 0.3 s remain below that."""

NO_STORE_LIMIT = 0.8
"""Seconds for which a watcher may hear nothing of the store until another is tried."""

CONNECT_LIMIT = 0.2
"""Seconds within which a watcher takes a link; it is 1 to 4 ms away."""

AVOID_TIME = 3.0
"""Seconds for which a watcher is passed over that was lost or heard no store."""

FALLBACK_DELAY = 1.2
"""Most seconds between two attempts of an instance that is no watcher while the store
does not answer. Watchers try each 0.5 s and tell the others of its return; refused
calls cost as much as others, and those of 180 instances would be nearly all."""

HAND_OVER_TIME = 0.3
"""Seconds for which the store is not asked while another watcher is looked for: the
followers of one that is lost would all ask at once."""


class _Told(NamedTuple):
    """The last frame of a kind, without its objects."""

    revision: int
    is_live: bool


Connect = Callable[[Peer, CopyReceiver], Deferred]


class FollowTask:
    """Keeps a link to a watcher.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Source of connections and timers.
    feeds : tuple of FeedTask
        What is followed; each asks the store unless it is held back here.
    own : Peer
        This instance.
    connect : callable, optional
        Opens a link to another instance; TCP if not given.
    seeds : tuple of Endpoint, optional
        Where to ask when the store fails and no member can be followed.
    """

    def __init__(
        self,
        reactor,
        feeds: tuple[FeedTask, ...],
        own: Peer,
        connect: Connect | None = None,
        seeds: tuple[Endpoint, ...] = (),
    ):
        self._reactor = reactor
        # What is heard of others is all that is timed here.
        self._seconds = get_pause_aware_clock(reactor).seconds
        self._first = feeds[0]
        self._feeds = {feed.kind: feed for feed in feeds}
        self._own = own
        self._connect = connect or self._open
        self._seeds = seeds
        self._peers: tuple[Peer, ...] = (own,)
        self._is_watcher = True
        self._avoided: dict[str, float] = {}
        self._link: CopyReceiver | None = None
        self._source = ""
        self._told: dict[str, _Told] = {}
        self._heard_at = 0.0
        self._live_at = 0.0
        self._lost_at = 0.0
        self._looking = LoopingCall(self._look)
        self._looking.clock = reactor

    @property
    def source(self) -> str:
        """The name of the watcher that is followed; empty if none is."""
        return self._source if self._link is not None else ""

    def start(self) -> None:
        """Begin to follow, once others are known."""
        self._looking.start(LOOK_PERIOD, now=False)

    def stop(self) -> None:
        """Follow no more."""
        if self._looking.running:
            self._looking.stop()
        self._drop()

    def set_peers(self, peers: tuple[Peer, ...]) -> None:
        """Take all instances that are known, this one among them."""
        self._peers = peers
        self._is_watcher = is_watcher(peers, self._own)

    def _look(self) -> None:
        """Judge the link, open one if it is wanted, hold the feeds back or not."""
        now = self._seconds()
        if self._is_watcher and self._first.is_live:
            self._drop()
        elif self._source:
            self._judge_link(now)
        else:
            self._follow_next(now)
        for feed in self._feeds.values():
            feed.set_most_delay(MOST_DELAY if self._is_watcher else FALLBACK_DELAY)
            is_told = not self._is_watcher and self._is_told(feed, now)
            # While the store does not answer for one kind it answers for none: the
            # first one finds out for all.
            is_vain = feed is not self._first and self._first.is_unanswered
            if is_told or (is_vain and not self._first.is_held):
                feed.hold()
            else:
                feed.release()

    def _judge_link(self, now: float) -> None:
        """Give up a watcher that is silent, or that hears nothing of the store."""
        if now - self._heard_at > SILENCE_LIMIT:
            self._give_up("is silent", now)
        elif now - self._live_at > NO_STORE_LIMIT:
            self._give_up("hears nothing of the store", now)

    def _give_up(self, reason: str, now: float) -> None:
        """Pass over a watcher for a while."""
        log.info("objects: %s %s.", self._source, reason)
        self._avoided[self._source] = now + AVOID_TIME
        self._drop()

    def _is_told(self, feed: FeedTask, now: float) -> bool:
        """Return whether all that a kind's changes need is told by a watcher."""
        if self._link is None:
            # Another watcher is likely to be found at once.
            return feed.is_held and now - self._lost_at < HAND_OVER_TIME
        told = self._told.get(feed.kind)
        return told is not None and told.is_live and told.revision >= feed.revision

    def _follow_next(self, now: float) -> None:
        """Open a link to the best watcher, if there is one."""
        sources = order_sources(self._peers, self._own, self._avoided, now)
        if not sources and self._first.is_failing:
            sources = list_seeds(self._seeds, self._peers, self._avoided, now)
        if not sources:
            return
        source = sources[0]
        self._source = source.name
        self._heard_at = self._live_at = now
        link = CopyReceiver(self._take, self._lose)
        opening = self._connect(source, link)
        opening.addCallbacks(
            self._begin,
            self._fail,
            callbackArgs=(link, source.name),
            errbackArgs=(source.name,),
        )

    def _open(self, source: Peer, link: CopyReceiver) -> Deferred:
        """Open a link over TCP."""
        endpoint = TCP4ClientEndpoint(
            self._reactor, source.copies.host, source.copies.port, CONNECT_LIMIT
        )
        return connectProtocol(endpoint, link)

    def _begin(self, opened: object, link: CopyReceiver, name: str) -> None:
        """Take a link that was opened, if it is still wanted."""
        if self._source != name or self._link is not None:
            link.transport.abortConnection()
            return
        log.info("objects: %s tells what the store holds.", name)
        self._link, self._told = link, {}
        self._heard_at = self._live_at = self._seconds()

    def _fail(self, failure: object, name: str) -> None:
        """Pass over a watcher that took no link."""
        self._avoided[name] = self._seconds() + AVOID_TIME
        if self._source == name:
            self._source = ""

    def _take(self, link: CopyReceiver, frames: tuple[CopyFrame, ...]) -> None:
        """Take what a watcher tells."""
        if link is not self._link:
            return
        now = self._heard_at = self._seconds()
        for frame in frames:
            feed = self._feeds.get(frame.kind)
            if feed is not None:
                feed.learn(frame.revision, frame.objects, frame.is_whole)
                self._told[frame.kind] = _Told(frame.revision, frame.is_live)
        if self._told.keys() >= self._feeds.keys() and all(
            told.is_live for told in self._told.values()
        ):
            self._live_at = now

    def _lose(self, link: CopyReceiver) -> None:
        """Take in that a link has ended."""
        if link is self._link:
            self._avoided[self._source] = self._seconds() + AVOID_TIME
            self._drop()
            self._look()

    def _drop(self) -> None:
        """Close the link, if there is one."""
        link, self._link, self._source = self._link, None, ""
        if link is not None:
            self._lost_at = self._seconds()
            link.transport.abortConnection()
