"""Follows a watcher instead of the store, with the store as fallback.

A follower pauses its own feeds while its watcher reports contact with the store. It
calls the store itself as soon as that watcher is silent or reports no contact, so that
no change arrives later than by its own calls. An instance that the store refuses,
watcher or not, follows another one meanwhile. If it knows no members yet, it uses the
seeds of its settings file.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.task import LoopingCall

from beryltrack.clock import get_monotonic_clock
from beryltrack.objects.copies import CopyFrame, CopyReceiver
from beryltrack.objects.feed import MAX_RETRY_DELAY, FeedTask
from beryltrack.objects.watchers import is_watcher, list_seeds, order_sources
from beryltrack.pause_aware_clock import get_pause_aware_clock
from beryltrack.relay.owners import Peer
from beryltrack.settings.messages import Endpoint

log = logging.getLogger(__name__)

CHECK_PERIOD = 0.1
"""Seconds between two checks of the link."""

FRAME_TIMEOUT = 1.3
"""Seconds without a frame after which a watcher counts as lost; one is due each 0.5 s.
The shortest limit on the delay of a change is 3 s: this, 0.3 s to find another watcher,
and a call of at most 0.3 s stay below that."""

LIVE_TIMEOUT = 0.8
"""Seconds without contact to the store after which a watcher is abandoned."""

CONNECT_TIMEOUT = 0.2
"""Seconds within which a link must open; a watcher is 1 to 4 ms away."""

AVOID_TIME = 3.0
"""Seconds for which a watcher is skipped after it was lost or abandoned."""

FOLLOWER_MAX_RETRY_DELAY = 1.2
"""Upper bound of the delay between a follower's attempts while the store does not
answer, seconds. Watchers try each 0.5 s and report its return; refused calls cost as
much as others, and those of 180 followers would be nearly all calls."""

HAND_OVER_TIME = 0.3
"""Seconds for which a follower without a link makes no calls and looks for another
watcher: all followers of a lost watcher would call the store at once."""


class _LastFrame(NamedTuple):
    """The last frame of a kind without its objects."""

    revision: int
    is_live: bool


Connect = Callable[[Peer, CopyReceiver], Deferred]


class FollowTask:
    """Keeps a link to a watcher, and pauses the feeds that the link serves.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Source of connections and timers.
    feeds : tuple of FeedTask
        The feeds of all kinds; the first one probes an unavailable store for all.
    own : Peer
        This instance.
    connect : callable, optional
        Opens a link to another instance; TCP if not given.
    seeds : tuple of Endpoint, optional
        Instances to follow when the store fails and no member can be followed.
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
        # Only the silence of other instances is timed, so that pauses do not count.
        self._seconds = get_pause_aware_clock(reactor).seconds
        self._monotonic_seconds = get_monotonic_clock(reactor)
        self._first = feeds[0]
        self._feeds = {feed.kind: feed for feed in feeds}
        self._own = own
        self._connect = connect or self._open_tcp
        self._seeds = seeds
        self._peers: tuple[Peer, ...] = (own,)
        self._is_watcher = True
        self._avoided: dict[str, float] = {}
        self._link: CopyReceiver | None = None
        self._source = ""
        self._last_frames: dict[str, _LastFrame] = {}
        self._last_frame_at = 0.0
        self._last_live_at = 0.0
        self._link_closed_at = 0.0
        self._checking = LoopingCall(self._check)
        self._checking.clock = reactor

    @property
    def source(self) -> str:
        """The name of the watcher that is followed; empty if none is."""
        return self._source if self._link is not None else ""

    def start(self) -> None:
        """Start the periodic check; it follows once peers are known."""
        self._checking.start(CHECK_PERIOD, now=False)

    def stop(self) -> None:
        """Stop the check and close the link."""
        if self._checking.running:
            self._checking.stop()
        self._close_link()

    def set_peers(self, peers: tuple[Peer, ...]) -> None:
        """Set all known instances, this one included."""
        self._peers = peers
        self._is_watcher = is_watcher(peers, self._own)

    def _check(self) -> None:
        """Check the link or open one, then pause or resume each feed."""
        now = self._seconds()
        if self._is_watcher and self._first.is_live:
            self._close_link()
        elif self._source:
            self._check_link(now)
        else:
            self._connect_next(now)
        for feed in self._feeds.values():
            feed.set_max_retry_delay(
                MAX_RETRY_DELAY if self._is_watcher else FOLLOWER_MAX_RETRY_DELAY
            )
            is_covered = not self._is_watcher and self._is_covered(feed, now)
            # A store that does not answer for one kind answers for none, so that only
            # the first feed probes it.
            is_futile = feed is not self._first and self._first.is_store_unavailable
            if is_covered or (is_futile and not self._first.is_paused):
                feed.pause()
            else:
                feed.resume()

    def _check_link(self, now: float) -> None:
        """Abandon a watcher that is silent, or that has no contact to the store."""
        if now - self._last_frame_at > FRAME_TIMEOUT:
            self._abandon_source("sent no frame in time", now)
        elif now - self._last_live_at > LIVE_TIMEOUT:
            self._abandon_source("has no contact to the store", now)

    def _abandon_source(self, reason: str, now: float) -> None:
        """Close the link and skip its watcher for `AVOID_TIME`."""
        log.info("objects: Stopped following %s: it %s.", self._source, reason)
        self._avoided[self._source] = now + AVOID_TIME
        self._close_link()

    def _is_covered(self, feed: FeedTask, now: float) -> bool:
        """Return whether a watcher forwards all changes of a kind."""
        if self._link is None:
            # Another watcher is likely to be found within this time.
            return feed.is_paused and now - self._link_closed_at < HAND_OVER_TIME
        last = self._last_frames.get(feed.kind)
        return last is not None and last.is_live and last.revision >= feed.revision

    def _connect_next(self, now: float) -> None:
        """Open a link to the best watcher or seed, if there is one."""
        sources = order_sources(self._peers, self._own, self._avoided, now)
        if not sources and self._first.is_failing:
            sources = list_seeds(self._seeds, self._peers, self._avoided, now)
        if not sources:
            return
        source = sources[0]
        self._source = source.name
        self._last_frame_at = self._last_live_at = now
        link = CopyReceiver(
            self._apply_frames, self._handle_link_loss, self._monotonic_seconds()
        )
        opening = self._connect(source, link)
        opening.addCallbacks(
            self._adopt_link,
            self._handle_connect_failure,
            callbackArgs=(link, source.name),
            errbackArgs=(source.name,),
        )

    def _open_tcp(self, source: Peer, link: CopyReceiver) -> Deferred:
        """Open a link over TCP."""
        endpoint = TCP4ClientEndpoint(
            self._reactor,
            source.cache_endpoint.host,
            source.cache_endpoint.port,
            CONNECT_TIMEOUT,
        )
        return connectProtocol(endpoint, link)

    def _adopt_link(self, opened: object, link: CopyReceiver, name: str) -> None:
        """Use a link that was opened, unless it is no longer needed."""
        if self._source != name or self._link is not None:
            link.transport.abortConnection()
            return
        log.info("objects: Following %s instead of the store.", name)
        self._link, self._last_frames = link, {}
        self._last_frame_at = self._last_live_at = self._seconds()

    def _handle_connect_failure(self, failure: object, name: str) -> None:
        """Skip a watcher to which no link could be opened."""
        self._avoided[name] = self._seconds() + AVOID_TIME
        if self._source == name:
            self._source = ""

    def _apply_frames(self, link: CopyReceiver, frames: tuple[CopyFrame, ...]) -> None:
        """Apply the frames of the watcher to the feeds."""
        if link is not self._link:
            return
        now = self._last_frame_at = self._seconds()
        for frame in frames:
            feed = self._feeds.get(frame.kind)
            if feed is not None:
                feed.apply_copy(
                    frame.revision,
                    frame.objects,
                    frame.is_complete,
                    frame.complete_at,
                )
                self._last_frames[frame.kind] = _LastFrame(
                    frame.revision, frame.is_live
                )
        if self._last_frames.keys() >= self._feeds.keys() and all(
            last.is_live for last in self._last_frames.values()
        ):
            self._last_live_at = now

    def _handle_link_loss(self, link: CopyReceiver) -> None:
        """Skip the watcher of a lost link, and look for another."""
        if link is self._link:
            self._avoided[self._source] = self._seconds() + AVOID_TIME
            self._close_link()
            self._check()

    def _close_link(self) -> None:
        """Close the link, if there is one."""
        link, self._link, self._source = self._link, None, ""
        if link is not None:
            self._link_closed_at = self._seconds()
            link.transport.abortConnection()
