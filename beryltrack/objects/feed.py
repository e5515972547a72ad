"""A live copy of all objects of one kind, by one list and then watches.

The store counts each call, a waiting watch as one, so that a feed makes few: a
list at the start and after the store forgot its changes, else one watch at a time. A
feed may be held back while another instance tells what the store holds.
"""

import logging
import random
from collections.abc import Callable
from typing import Protocol

from returns.result import Result, Success
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater

from beryltrack.clock import get_monotonic_clock
from beryltrack.objects.backoff import compute_delay
from beryltrack.objects.eras import format_version, get_era
from beryltrack.objects.messages import (
    ErrorKind,
    ObjectList,
    PlatformError,
    PlatformObject,
)

log = logging.getLogger(__name__)

LEAST_WAIT = 0.5
"""Seconds that a watch waits at the least, two calls a second."""

SECOND_LOOK = 1.5
"""Seconds after a failure was over until all objects are listed again. A store that
compacts its changes may be silent for a second."""

FIRST_DELAY = 0.05
MOST_DELAY = 0.5
"""Seconds between two attempts while the store gives no answer. Settings are to be
in force within seconds of its return, and a refused call costs as much as another."""

MOST_NAMED = 8
"""Objects that a line of the log names."""

_ABSENT = object()
_UNANSWERED = frozenset((ErrorKind.REFUSED, ErrorKind.UNKNOWN))


class ObjectFeed(Protocol):
    """Lists and watches the objects of a kind."""

    async def list(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Return all objects of a kind."""

    async def watch(
        self, kind: str, after: int, timeout: float
    ) -> Result[ObjectList, PlatformError]:
        """Wait for changes after a revision."""


FeedCallback = Callable[[dict[str, PlatformObject]], None]


def compute_watch_timeout(limit: float) -> float:
    """Return how long a watch may wait if its changes are to be known in time.

    A watch that reaches a silent store is lost without a sign, so that the store may
    be back for the whole of its wait before its objects are listed again. A third of
    the limit is left for a late answer (0.6 s) and the list (0.4 s).

    Parameters
    ----------
    limit : float
        Seconds within which a change must be known.

    Returns
    -------
    float
        Seconds.
    """
    return max(LEAST_WAIT, limit * 2 / 3)


class FeedTask:
    """Keeps the copy of one kind.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    source : ObjectFeed
        The store.
    kind : str
        The kind.
    callback : callable
        Called with all objects by path after each change of them.
    rng : random.Random
        Source of jitter.
    wait : float
        Seconds that a watch waits for a change. A watch that a silent store has taken
        is never answered, and holds changes up for as long as it may last; see
        `compute_watch_timeout`.
    gap : float
        Seconds after a change until the next is asked for. Changes that come in
        a row, as at a start, then cost one call together.
    """

    def __init__(
        self,
        reactor,
        source: ObjectFeed,
        kind: str,
        callback: FeedCallback,
        rng: random.Random,
        wait: float,
        gap: float = 0.0,
    ):
        self._reactor = reactor
        self._seconds = get_monotonic_clock(reactor)
        self._source = source
        self._kind = kind
        self._callback = callback
        self._wait = wait
        self._gap = gap
        self._rng = rng
        self._objects: dict[str, PlatformObject] = {}
        self._revision: int | None = None
        self._answered_at = self._seconds()
        self._failures = 0
        self._last_error: ErrorKind | None = None
        self._looks_twice = False
        self._must_list = True
        self._most_delay = MOST_DELAY
        self._is_held = False
        self._released: Deferred | None = None
        self._observers: list[Callable[[FeedTask], None]] = []
        self._loop: Deferred | None = None

    @property
    def objects(self) -> dict[str, PlatformObject]:
        """All objects by path, as they were last told."""
        return self._objects

    @property
    def kind(self) -> str:
        """The kind that is followed."""
        return self._kind

    @property
    def revision(self) -> int:
        """The store's version up to which changes are known; 0 before a list."""
        return self._revision or 0

    @property
    def is_held(self) -> bool:
        """True if the store is not asked, as another instance tells."""
        return self._is_held

    @property
    def is_live(self) -> bool:
        """True if the store is asked and answers."""
        return not (self._is_held or self._failures) and self._revision is not None

    @property
    def is_unanswered(self) -> bool:
        """True if the last call found no store that answers."""
        return self._failures > 0 and self._last_error in _UNANSWERED

    @property
    def is_failing(self) -> bool:
        """True if the last call failed, in whatever way."""
        return self._failures > 0

    @property
    def silence(self) -> float:
        """Seconds since the store last answered for this kind, or since the start."""
        return self._seconds() - self._answered_at

    def start(self) -> None:
        """Begin to follow the objects."""
        self._loop = Deferred.fromCoroutine(self._run())
        self._loop.addErrback(lambda failure: failure.trap(CancelledError))

    def subscribe(self, observer: "Callable[[FeedTask], None]") -> None:
        """Call back after each change, and when the store is heard or lost."""
        self._observers.append(observer)

    def set_most_delay(self, seconds: float) -> None:
        """Take how long to wait at the most between two attempts that fail."""
        self._most_delay = seconds

    def hold(self) -> None:
        """Ask the store no more once the present call is answered."""
        self._is_held = True

    def release(self) -> None:
        """Ask the store again for what came after the last word."""
        if self._is_held:
            self._is_held = False
            released, self._released = self._released, None
            if released is not None:
                released.callback(None)

    def learn(
        self, revision: int, objects: tuple[PlatformObject, ...], is_whole: bool
    ) -> None:
        """Take in what another instance has been told by the store.

        Parameters
        ----------
        revision : int
            The store's version up to which that instance knows the kind. What is
            older than the own knowledge, or of an earlier era, is left out.
        objects : tuple of PlatformObject
            All objects, or those that have changed.
        is_whole : bool
            True if these are all.
        """
        if revision < self.revision or (not is_whole and self._revision is None):
            return
        self._answered_at = self._seconds()
        found = ObjectList(revision, objects)
        if not is_whole:
            self._take_changes(found)
        elif {item.path: item for item in objects} == self._objects:
            self._revision, self._must_list = revision, False
        else:
            self._take_list(found)

    def stop(self) -> None:
        """Follow them no more."""
        loop, self._loop = self._loop, None
        if loop is not None:
            loop.cancel()

    async def _run(self) -> None:
        while True:
            if self._is_held:
                self._released = Deferred()
                await self._released
            result = await self._ask()
            if isinstance(result, Success):
                self._note_answer()
                if self._gap:
                    await deferLater(self._reactor, self._gap)
                continue
            self._note_failure(result.failure())
            delay = compute_delay(
                self._failures,
                self._rng,
                first_delay=FIRST_DELAY,
                max_delay=self._most_delay,
            )
            await deferLater(self._reactor, delay)

    async def _ask(self) -> Result[ObjectList, PlatformError]:
        """Make one call and take in what it says."""
        if self._must_list:
            result = await self._source.list(self._kind)
            if isinstance(result, Success):
                self._take_list(result.unwrap())
            return result
        timeout = SECOND_LOOK if self._looks_twice else self._wait
        result = await self._source.watch(self._kind, self._revision, timeout)
        if isinstance(result, Success):
            self._take_changes(result.unwrap())
            if self._looks_twice:
                self._looks_twice, self._must_list = False, True
        return result

    def _take_list(self, found: ObjectList) -> None:
        """Take in all objects; those that are not listed are gone."""
        self._must_list = False
        if found.revision < self.revision:
            # Another instance has told of later changes meanwhile.
            log.info(
                "objects: A list of %s at revision %s is passed over, %s is known.",
                self._kind,
                format_version(found.revision),
                format_version(self.revision),
            )
            return
        objects = {item.path: item for item in found.objects}
        if self._revision and get_era(found.revision) > get_era(self._revision):
            self._log_restore(found.revision, objects)
        self._revision, self._objects = found.revision, objects
        self._tell()

    def _log_restore(self, revision: int, objects: dict[str, PlatformObject]) -> None:
        """Log what a store that was restored from a backup has otherwise than known."""
        known = {path: item.value for path, item in self._objects.items()}
        told = {path: item.value for path, item in objects.items()}
        other = sorted(
            path
            for path in known.keys() | told.keys()
            if known.get(path, _ABSENT) != told.get(path, _ABSENT)
        )
        log.warning(
            "objects: The store has %s at %s after %s; %d of %d objects are not as "
            "they were known: %s.",
            self._kind,
            format_version(revision),
            format_version(self.revision),
            len(other),
            len(told),
            ", ".join(other[:MOST_NAMED]) or "none",
        )

    def _take_changes(self, found: ObjectList) -> None:
        """Take in what has changed."""
        self._revision = max(self.revision, found.revision)
        objects = dict(self._objects)
        for item in found.objects:
            known = objects.get(item.path)
            if known is not None and known.version > item.version:
                # A call of before is answered after another instance has told more.
                continue
            if item.deleted:
                objects.pop(item.path, None)
            else:
                objects[item.path] = item
        if found.objects:
            self._objects = objects
            self._tell()

    def _tell(self) -> None:
        """Tell of a change; a defect of the callback must not end the feed."""
        try:
            self._callback(self._objects)
        except Exception:
            log.exception("objects: A change of %s met a defect.", self._kind)
        self._tell_observers()

    def _tell_observers(self) -> None:
        """Tell those that pass the copy on."""
        for observer in self._observers:
            observer(self)

    def _note_answer(self) -> None:
        """Note that the store answers."""
        if self._failures:
            log.info(
                "objects: The store answers again for %s, after %.1f s.",
                self._kind,
                self.silence,
            )
        was_lost, self._failures = self._failures > 0, 0
        self._answered_at = self._seconds()
        if was_lost:
            self._tell_observers()

    def _note_failure(self, error: PlatformError) -> None:
        """Note that the store gives no answer, or forgot its changes."""
        # A watch that begins just before the store drops its changes hears
        # nothing of them, so that after any failure all objects are listed, and
        # once more when that is over.
        self._must_list = self._looks_twice = True
        self._failures += 1
        self._last_error = error.kind
        if self._failures == 1:
            log.warning(
                "objects: No answer for %s for %.1f s (%s): %s.",
                self._kind,
                self.silence,
                error.kind.value,
                error.text,
            )
            self._tell_observers()
