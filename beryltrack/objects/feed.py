"""A cached copy of all objects of one kind, kept current by list and watch.

The scheme is that of Kubernetes informers: a list, then long-polling watches from its
revision on, and a new list after a failure. The store counts each call, also a watch
that waits, so a feed makes one call at a time. A feed can be paused while another
instance forwards the objects.
"""

import logging
import random
from collections.abc import Callable
from typing import Protocol

from returns.result import Failure, Result, Success
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater

from beryltrack.clock import NEVER, get_monotonic_clock
from beryltrack.objects.backoff import compute_delay
from beryltrack.objects.eras import format_version, get_era
from beryltrack.objects.messages import (
    ErrorKind,
    ObjectList,
    PlatformError,
    PlatformObject,
)

log = logging.getLogger(__name__)

MIN_WATCH_TIMEOUT = 0.5
"""Lower bound of the wait of a watch, seconds: at most two calls a second."""

RELIST_DELAY = 1.5
"""Seconds that the first watch after a failure waits before all objects are listed once
again. A store that compacts its changes may be silent for a second."""

FIRST_RETRY_DELAY = 0.05
MAX_RETRY_DELAY = 0.5
"""Bounds of the delay between attempts while the store does not answer, seconds.
Settings must be in force within seconds of its return, but a refused call costs as much
as any other."""

MAX_LOGGED_PATHS = 8
"""Paths that one log line names."""

_ABSENT = object()
_UNAVAILABLE = frozenset((ErrorKind.REFUSED, ErrorKind.UNKNOWN))


class ObjectFeed(Protocol):
    """Source of objects that can be listed and watched by kind."""

    async def list(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Return all objects of a kind."""

    async def watch(
        self, kind: str, after: int, timeout: float
    ) -> Result[ObjectList, PlatformError]:
        """Wait for changes after a revision."""


FeedCallback = Callable[[dict[str, PlatformObject]], None]


def compute_watch_timeout(limit: float) -> float:
    """Return how long a watch may wait so that changes are known in time.

    A watch that a silent store received is never answered, so that the store may be
    back for the whole wait before its objects are listed again. A third of the limit
    remains for a late answer (0.6 s) and the list (0.4 s).

    Parameters
    ----------
    limit : float
        Seconds within which a change must be known.

    Returns
    -------
    float
        Seconds.
    """
    return max(MIN_WATCH_TIMEOUT, limit * 2 / 3)


class FeedTask:
    """Keeps the cached copy of one kind.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    source : ObjectFeed
        The store.
    kind : str
        The kind of objects.
    callback : callable
        Called with all objects by path after each change of them.
    rng : random.Random
        Source of jitter.
    watch_timeout : float
        Seconds that a watch waits for a change. A watch that a silent store received
        is never answered and delays changes until it times out; see
        `compute_watch_timeout`.
    batch_delay : float
        Seconds between an answer and the next call. Changes in quick succession, as at
        a start, then cost one call together.
    """

    def __init__(
        self,
        reactor,
        source: ObjectFeed,
        kind: str,
        callback: FeedCallback,
        rng: random.Random,
        watch_timeout: float,
        batch_delay: float = 0.0,
    ):
        self._reactor = reactor
        self._seconds = get_monotonic_clock(reactor)
        self._source = source
        self._kind = kind
        self._callback = callback
        self._watch_timeout = watch_timeout
        self._batch_delay = batch_delay
        self._rng = rng
        self._objects: dict[str, PlatformObject] = {}
        self._changed_after: dict[str, float] = {}
        self._complete_at = self._published_complete_at = NEVER
        self._revision: int | None = None
        self._answered_at = self._seconds()
        self._failures = 0
        self._last_error: ErrorKind | None = None
        self._must_relist = False
        self._must_list = True
        self._max_retry_delay = MAX_RETRY_DELAY
        self._is_paused = False
        self._is_stopped = False
        self._resumed: Deferred | None = None
        self._observers: list[Callable[[FeedTask], None]] = []
        self._loop: Deferred | None = None

    @property
    def objects(self) -> dict[str, PlatformObject]:
        """All objects by path, in their last known state."""
        return self._objects

    @property
    def kind(self) -> str:
        """The kind of objects."""
        return self._kind

    @property
    def revision(self) -> int:
        """The store's version up to which changes are known; 0 before a list."""
        return self._revision or 0

    @property
    def is_paused(self) -> bool:
        """True if the feed makes no calls; `follow` says when."""
        return self._is_paused

    @property
    def is_live(self) -> bool:
        """True if the feed calls the store and gets answers."""
        return not (self._is_paused or self._failures) and self._revision is not None

    @property
    def is_store_unavailable(self) -> bool:
        """True if the last call was refused or not answered."""
        return self._failures > 0 and self._last_error in _UNAVAILABLE

    @property
    def is_failing(self) -> bool:
        """True if the last call failed for any reason."""
        return self._failures > 0

    @property
    def complete_at(self) -> float:
        """Time up to which all changes are known; `NEVER` before a list.

        A change that is learned later was made after it, whatever delayed the news.
        """
        return self._complete_at

    @property
    def removed_after(self) -> float:
        """Time after which the objects were deleted that the last change deleted."""
        return self._published_complete_at

    @property
    def silence(self) -> float:
        """Seconds since the last answer for this kind, or since the start."""
        return self._seconds() - self._answered_at

    def get_changed_after(self, path: str) -> float:
        """Return a time after which an object was last changed; `NEVER` if unknown."""
        return self._changed_after.get(path, NEVER)

    def start(self) -> None:
        """Start to list and watch the objects."""
        self._loop = Deferred.fromCoroutine(self._run())
        self._loop.addErrback(lambda failure: failure.trap(CancelledError))

    def subscribe(self, observer: "Callable[[FeedTask], None]") -> None:
        """Call `observer` after each change, and when the store is lost or back."""
        self._observers.append(observer)

    def set_max_retry_delay(self, seconds: float) -> None:
        """Set the upper bound of the delay between failing attempts, seconds."""
        self._max_retry_delay = seconds

    def pause(self) -> None:
        """Make no more calls once the present one has ended."""
        self._is_paused = True

    def resume(self) -> None:
        """Resume calls, from the known revision on."""
        if self._is_paused:
            self._is_paused = False
            resumed, self._resumed = self._resumed, None
            if resumed is not None:
                resumed.callback(None)

    def apply_copy(
        self,
        revision: int,
        objects: tuple[PlatformObject, ...],
        is_complete: bool,
        complete_at: float = NEVER,
    ) -> None:
        """Apply objects that another instance forwards from the store.

        Parameters
        ----------
        revision : int
            The store's version up to which that instance knows the kind. A version
            older than the known one, also one of an earlier era, is ignored.
        objects : tuple of PlatformObject
            All objects, or those that have changed.
        is_complete : bool
            True if `objects` are all objects of the kind.
        complete_at : float
            Time up to which that instance is known to know all changes.
        """
        if revision < self.revision or (not is_complete and self._revision is None):
            return
        self._answered_at = self._seconds()
        found = ObjectList(revision, objects)
        if not is_complete:
            self._apply_changes(found)
        elif {item.path: item for item in objects} == self._objects:
            self._revision, self._must_list = revision, False
        else:
            self._apply_list(found)
        self._complete_at = max(self._complete_at, complete_at)

    def stop(self) -> None:
        """Stop all calls."""
        self._is_stopped = True
        loop, self._loop = self._loop, None
        if loop is not None:
            loop.cancel()

    async def _run(self) -> None:
        while True:
            if self._is_paused:
                self._resumed = Deferred()
                await self._resumed
            result = await self._try_call()
            if isinstance(result, Success):
                self._record_answer()
                if self._batch_delay:
                    await deferLater(self._reactor, self._batch_delay)
                continue
            self._record_failure(result.failure())
            delay = compute_delay(
                self._failures,
                self._rng,
                first_delay=FIRST_RETRY_DELAY,
                max_delay=self._max_retry_delay,
            )
            await deferLater(self._reactor, delay)

    async def _try_call(self) -> Result[ObjectList, PlatformError]:
        """Make one call; an exception counts as a failed call.

        It must not end the feed: the instance would stay ready and never learn of a
        change again.
        """
        try:
            return await self._call_store()
        except Exception as error:
            if self._is_stopped:
                raise
            log.exception("objects: A call for %s failed.", self._kind)
            return Failure(PlatformError(ErrorKind.INVALID, repr(error)))

    async def _call_store(self) -> Result[ObjectList, PlatformError]:
        """Make one call, a list or a watch, and apply its answer."""
        sent_at = self._seconds()
        if self._must_list:
            result = await self._source.list(self._kind)
            if isinstance(result, Success):
                self._apply_list(result.unwrap())
                self._complete_at = max(self._complete_at, sent_at)
            return result
        timeout = RELIST_DELAY if self._must_relist else self._watch_timeout
        result = await self._source.watch(self._kind, self._revision, timeout)
        if isinstance(result, Success):
            # Another instance may have forwarded later changes since the call was sent.
            self._apply_changes(result.unwrap(), known_until=self.revision)
            # The store waits before it answers that there is no change, unless it ends
            # the watch early.
            is_over = self._seconds() >= sent_at + timeout
            waited = timeout if is_over and not result.unwrap().objects else 0.0
            self._complete_at = max(self._complete_at, sent_at + waited)
            if self._must_relist:
                self._must_relist, self._must_list = False, True
        return result

    def _apply_list(self, found: ObjectList) -> None:
        """Replace all objects; those that are not listed no longer exist."""
        self._must_list = False
        if found.revision < self.revision:
            # Another instance has forwarded later changes meanwhile.
            log.info(
                "objects: Ignored a list of %s at revision %s: revision %s is known.",
                self._kind,
                format_version(found.revision),
                format_version(self.revision),
            )
            return
        objects = {item.path: item for item in found.objects}
        self._changed_after = {
            path: self._get_change_time(item) for path, item in objects.items()
        }
        if self._revision and get_era(found.revision) > get_era(self._revision):
            self._log_restore(found.revision, objects)
        self._revision, self._objects = found.revision, objects
        self._publish()

    def _log_restore(self, revision: int, objects: dict[str, PlatformObject]) -> None:
        """Log in which objects a restored store differs from the cached copy."""
        known = {path: item.value for path, item in self._objects.items()}
        listed = {path: item.value for path, item in objects.items()}
        changed = sorted(
            path
            for path in known.keys() | listed.keys()
            if known.get(path, _ABSENT) != listed.get(path, _ABSENT)
        )
        log.warning(
            "objects: The restored store has %s at revision %s, after %s; %d of %d "
            "objects differ from the cached ones: %s.",
            self._kind,
            format_version(revision),
            format_version(self.revision),
            len(changed),
            len(listed),
            ", ".join(changed[:MAX_LOGGED_PATHS]) or "none",
        )

    def _apply_changes(self, found: ObjectList, known_until: int = 0) -> None:
        """Apply changed and deleted objects.

        Up to the revision `known_until` all changes are known: an unknown object of an
        older version has been deleted since.
        """
        self._revision = max(self.revision, found.revision)
        objects = dict(self._objects)
        for item in found.objects:
            known = objects.get(item.path)
            known_version = known_until if known is None else known.version
            if known_version > item.version:
                continue
            if item.deleted:
                objects.pop(item.path, None)
                self._changed_after.pop(item.path, None)
            else:
                self._changed_after[item.path] = self._get_change_time(item)
                objects[item.path] = item
        if found.objects:
            self._objects = objects
            self._publish()

    def _get_change_time(self, item: PlatformObject) -> float:
        """Return a time after which an object got the version that was received."""
        known = self._objects.get(item.path)
        if known is not None and known.version == item.version:
            return self.get_changed_after(item.path)
        return self._complete_at

    def _publish(self) -> None:
        """Pass the objects on; an exception of the callback is logged."""
        self._published_complete_at = self._complete_at
        try:
            self._callback(self._objects)
        except Exception:
            log.exception(
                "objects: The callback for a change of %s failed.", self._kind
            )
        self._notify_observers()

    def _notify_observers(self) -> None:
        """Call the observers; an exception of one must not keep it from the others."""
        for observer in self._observers:
            try:
                observer(self)
            except Exception:
                log.exception("objects: An observer of %s failed.", self._kind)

    def _record_answer(self) -> None:
        """Record that the store answers."""
        if self._failures:
            log.info(
                "objects: The store answers again for %s, after %.1f s.",
                self._kind,
                self.silence,
            )
        was_lost, self._failures = self._failures > 0, 0
        self._answered_at = self._seconds()
        if was_lost:
            self._notify_observers()

    def _record_failure(self, error: PlatformError) -> None:
        """Record that a call failed, and have all objects listed again."""
        # A watch that begins just before the store compacts its changes misses
        # them. So all objects are listed after each failure, and once more after the
        # first watch that succeeds.
        self._must_list = self._must_relist = True
        self._failures += 1
        self._last_error = error.kind
        if self._failures == 1:
            log.warning(
                "objects: No answer for %s for %.1f s (%s): %s; retrying.",
                self._kind,
                self.silence,
                error.kind.value,
                error.text,
            )
            self._notify_observers()
