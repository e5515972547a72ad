"""Keeps the settings in force up to date from the store and from peers.

A few instances, the watchers, follow the store with long polls (watches). The
others receive changes by gossip from their peers; a slow poll, whose period grows
with the fleet, repairs what they missed. While the store is unavailable the
settings that are known stay in force.
"""

import logging
import random
from collections.abc import Callable, Iterable

from returns.result import Failure, Result, Success
from twisted.internet.defer import CancelledError, Deferred, succeed

from beryltrack.findings import Finding, format_finding
from beryltrack.objects.backoff import MAX_DELAY, compute_delay
from beryltrack.objects.client import PlatformClient
from beryltrack.objects.messages import (
    ErrorKind,
    ObjectList,
    PlatformError,
    PlatformObject,
)
from beryltrack.settings.decider import SettingsDecider, SettingsUpdate
from beryltrack.settings.messages import SiteSettings
from beryltrack.settings.paths import PREFIX

log = logging.getLogger(__name__)

WATCH_TIMEOUT = 6.0
"""Seconds that the store may hold a watch. A watch that a silent store never answers
ends 5 s after this time, and a change must be in force within 15 s."""

WATCH_DELAY = 0.1
"""Seconds between two watches, so that one watch fetches several changes in a row."""

POLL_PERIOD = 15.0
"""Seconds between two polls in a fleet of up to `POLL_FLEET_SIZE` instances."""

POLL_FLEET_SIZE = 8
"""Number of instances above which the poll period grows."""

LIST_PERIODS = 40
"""Number of poll periods between two full lists, which also find deletions that a
watch missed."""

_RELIST_ERRORS = frozenset((ErrorKind.INVALID, ErrorKind.EXPIRED))

SiteCallback = Callable[[SiteSettings], None]
ObjectsCallback = Callable[[tuple[PlatformObject, ...]], None]


def compute_poll_period(fleet_size: int, rng: random.Random) -> float:
    """Return the time to the next poll; it bounds the fleet's poll rate.

    Parameters
    ----------
    fleet_size : int
        Number of instances in the fleet.
    rng : random.Random
        Source of the jitter.

    Returns
    -------
    float
        Seconds, with a jitter of up to a quarter either way.
    """
    period = POLL_PERIOD * max(1.0, fleet_size / POLL_FLEET_SIZE)
    return period * rng.uniform(0.75, 1.25)


class SettingsTask:
    """Follows the settings and notifies subscribers of changes.

    Parameters
    ----------
    reactor : IReactorTime
        Clock for delays and periods.
    platform_client : PlatformClient
        Client of the store.
    rng : random.Random, optional
        Source of jitter.
    """

    def __init__(
        self,
        reactor,
        platform_client: PlatformClient,
        rng: random.Random | None = None,
    ):
        self._reactor = reactor
        self._client = platform_client
        self._rng = rng or random.Random()
        self._decider = SettingsDecider()
        self._site_callbacks: list[SiteCallback] = []
        self._objects_callbacks: list[ObjectsCallback] = []
        self._ready_waiters: list[Deferred] = []
        self._is_ready = False
        self._is_watcher = True
        self._fleet_size = 1
        self._failures = 0
        self._next_list_time = 0.0
        self._loop: Deferred | None = None
        self._sleep: Deferred | None = None

    @property
    def current(self) -> SiteSettings:
        """The settings in force."""
        return self._decider.current

    @property
    def findings(self) -> tuple[Finding, ...]:
        """All findings on the known settings objects."""
        return self._decider.findings

    @property
    def ready(self) -> bool:
        """True once the store has answered or a peer has sent settings."""
        return self._is_ready

    def get_objects(self) -> tuple[PlatformObject, ...]:
        """Return all known objects in their compact form, to send to peers."""
        return self._decider.objects

    def subscribe(self, callback: SiteCallback) -> None:
        """Call `callback` with the settings in force after each change."""
        self._site_callbacks.append(callback)

    def subscribe_objects(self, callback: ObjectsCallback) -> None:
        """Call `callback` with new or updated objects, to publish them to peers."""
        self._objects_callbacks.append(callback)

    def set_watcher(self, is_watcher: bool) -> None:
        """Choose between watches of the store (True) and the slow poll (False)."""
        becomes_watcher = is_watcher and not self._is_watcher
        self._is_watcher = is_watcher
        if becomes_watcher:
            log.info("settings: this instance now watches the store")
            self._wake()

    def set_fleet_size(self, fleet_size: int) -> None:
        """Set the number of instances in the fleet, for the poll period."""
        self._fleet_size = fleet_size

    def merge(self, objects: Iterable[PlatformObject]) -> None:
        """Merge objects received from peers; older versions are ignored."""
        self._publish(self._decider.merge(objects), "peers")

    def wait_ready(self) -> Deferred:
        """Return a Deferred that fires once `ready` is true."""
        if self._is_ready:
            return succeed(None)
        waiter = Deferred()
        self._ready_waiters.append(waiter)
        return waiter

    def start(self) -> None:
        """Start to follow the store."""
        self._loop = Deferred.fromCoroutine(self._run())
        self._loop.addErrback(lambda failure: failure.trap(CancelledError))

    def stop(self) -> None:
        """Stop following the store; the known settings stay readable."""
        if self._loop is not None:
            self._loop.cancel()
            self._loop = None

    async def _run(self) -> None:
        """Refresh in a loop; the delay depends on the outcome."""
        while True:
            try:
                delay = self._handle_result(await self._refresh())
            except CancelledError:
                raise
            except Exception:
                # A programming error must not stop the task for good.
                log.exception("settings: refresh from the store failed; will retry")
                delay = compute_poll_period(self._fleet_size, self._rng)
            await self._wait(delay)

    async def _refresh(self) -> Result[SettingsUpdate, PlatformError]:
        """Query the store once: by a list if one is due, else by a watch."""
        if self._reactor.seconds() >= self._next_list_time:
            result = await self._client.list(PREFIX)
            self._schedule_list(result)
            return result.map(self._decider.observe_list)
        timeout = WATCH_TIMEOUT if self._is_watcher else 0.0
        result = await self._client.watch(PREFIX, self._decider.revision, timeout)
        return result.map(self._decider.observe_changes)

    def _schedule_list(self, result: Result[ObjectList, PlatformError]) -> None:
        """Schedule the next full list if one has succeeded."""
        if isinstance(result, Success):
            period = compute_poll_period(self._fleet_size, self._rng)
            self._next_list_time = self._reactor.seconds() + LIST_PERIODS * period

    def _handle_result(self, result: Result[SettingsUpdate, PlatformError]) -> float:
        """Publish an update; return the delay to the next query, seconds."""
        period = compute_poll_period(self._fleet_size, self._rng)
        match result:
            case Success(update):
                self._failures = 0
                self._set_ready()
                self._publish(update, "the store")
                return WATCH_DELAY if self._is_watcher else period
            case Failure(error):
                self._failures += 1
                if error.kind in _RELIST_ERRORS:
                    # The revision may be too old for a watch, or of an earlier era.
                    self._next_list_time = 0.0
                if self._failures == 1:
                    log.warning(
                        "settings: query of the store failed (%s); "
                        "known settings stay in force",
                        error.text,
                    )
        max_delay = MAX_DELAY if self._is_watcher else max(MAX_DELAY, period)
        return compute_delay(self._failures, self._rng, max_delay=max_delay)

    def _publish(self, update: SettingsUpdate, source: str) -> None:
        """Notify subscribers of an update and log its findings."""
        if not update.objects:
            return
        self._set_ready()
        revision = self.current.revision
        count = len(update.objects)
        log.info("settings: %d objects from %s, revision %d", count, source, revision)
        for finding in update.findings:
            log.warning("settings: finding: %s", format_finding(finding))
        self._notify(self._objects_callbacks, update.objects)
        if update.changed:
            self._notify(self._site_callbacks, self.current)

    def _notify(self, callbacks: list[Callable], argument: object) -> None:
        """Call all subscribers, even if one of them fails."""
        for callback in tuple(callbacks):
            try:
                callback(argument)
            except Exception:
                log.exception("settings: a subscriber failed; calling the others")

    def _set_ready(self) -> None:
        """Fire the Deferreds that wait for the first settings."""
        self._is_ready = True
        waiters, self._ready_waiters = self._ready_waiters, []
        for waiter in waiters:
            waiter.callback(None)

    async def _wait(self, delay: float) -> None:
        """Sleep for `delay` seconds, or less if woken."""
        self._sleep = Deferred()
        call = self._reactor.callLater(delay, self._wake)
        try:
            await self._sleep
        finally:
            self._sleep = None
            if call.active():
                call.cancel()

    def _wake(self) -> None:
        """End the current sleep."""
        if self._sleep is not None and not self._sleep.called:
            self._sleep.callback(None)
