"""Keeps the settings in force up to date from the store and from peers.

Few instances watch the store; the others hear of changes from their peers, and
a slow poll, whose period grows with the fleet, repairs what was missed. While
the store is down the settings known go on to hold.
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

# A watch that a silent store has taken is never answered: it ends 5 s after its time,
# and a change is to be in force within 15 s.
WATCH_TIMEOUT = 6.0
# Several changes in a row are fetched by one call of the watch.
WATCH_GAP = 0.1
POLL_PERIOD = 15.0
# The fleet for which the poll period holds; beyond it the period grows.
POLL_FLEET = 8
# A full list, which also finds deletions that a watch missed, is made each so
# many poll periods.
LIST_PERIODS = 40

_NEEDS_LIST = frozenset((ErrorKind.INVALID, ErrorKind.EXPIRED))

SiteCallback = Callable[[SiteSettings], None]
ObjectsCallback = Callable[[tuple[PlatformObject, ...]], None]


def compute_poll_period(fleet_size: int, rng: random.Random) -> float:
    """Return the time to the next poll so that the fleet's rate stays bounded.

    Parameters
    ----------
    fleet_size : int
        Number of instances in the fleet.
    rng : random.Random
        Source of the jitter.

    Returns
    -------
    float
        Seconds, spread by a quarter to both sides.
    """
    period = POLL_PERIOD * max(1.0, fleet_size / POLL_FLEET)
    return period * rng.uniform(0.75, 1.25)


class SettingsTask:
    """Learns settings and tells whoever subscribed.

    Parameters
    ----------
    reactor : IReactorTime
        Clock of delays and periods.
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
        self._ready = False
        self._watcher = True
        self._fleet_size = 1
        self._failures = 0
        self._next_list = 0.0
        self._loop: Deferred | None = None
        self._sleep: Deferred | None = None

    @property
    def current(self) -> SiteSettings:
        """The settings in force."""
        return self._decider.current

    @property
    def findings(self) -> tuple[Finding, ...]:
        """What is wrong with the settings objects known."""
        return self._decider.findings

    @property
    def ready(self) -> bool:
        """True once the store or a peer has told any settings."""
        return self._ready

    def get_objects(self) -> tuple[PlatformObject, ...]:
        """Return all objects known with their versions, compact, to tell peers."""
        return self._decider.objects

    def subscribe(self, callback: SiteCallback) -> None:
        """Call back with the settings in force after each change of them."""
        self._site_callbacks.append(callback)

    def subscribe_objects(self, callback: ObjectsCallback) -> None:
        """Call back with objects that were news, to publish them to peers."""
        self._objects_callbacks.append(callback)

    def set_watcher(self, watcher: bool) -> None:
        """Choose between a watch (True) and the slow poll (False)."""
        chosen = watcher and not self._watcher
        self._watcher = watcher
        if chosen:
            log.info("settings: watching the store from now on")
            self._wake()

    def set_fleet_size(self, fleet_size: int) -> None:
        """Tell how many instances share the store; the poll slows down with it."""
        self._fleet_size = fleet_size

    def merge(self, objects: Iterable[PlatformObject]) -> None:
        """Take in objects that peers told; older versions change nothing."""
        self._publish(self._decider.merge(objects), "peers")

    def wait_ready(self) -> Deferred:
        """Return a Deferred that fires once any settings are known."""
        if self._ready:
            return succeed(None)
        waiter = Deferred()
        self._ready_waiters.append(waiter)
        return waiter

    def start(self) -> None:
        """Begin to learn from the store."""
        self._loop = Deferred.fromCoroutine(self._run())
        self._loop.addErrback(lambda failure: failure.trap(CancelledError))

    def stop(self) -> None:
        """Stop learning; the settings known stay readable."""
        if self._loop is not None:
            self._loop.cancel()
            self._loop = None

    async def _run(self) -> None:
        """Refresh forever; the delay between turns depends on the outcome."""
        while True:
            try:
                delay = self._handle_result(await self._refresh())
            except CancelledError:
                raise
            except Exception:
                # A fault of ours must not end the learning for good.
                log.exception("settings: learning from the store failed")
                delay = compute_poll_period(self._fleet_size, self._rng)
            await self._wait(delay)

    async def _refresh(self) -> Result[SettingsUpdate, PlatformError]:
        """Ask the store once, by the cheapest call that will do."""
        if self._reactor.seconds() >= self._next_list:
            result = await self._client.list(PREFIX)
            self._plan_list(result)
            return result.map(self._decider.observe_list)
        timeout = WATCH_TIMEOUT if self._watcher else 0.0
        result = await self._client.watch(PREFIX, self._decider.revision, timeout)
        return result.map(self._decider.observe_changes)

    def _plan_list(self, result: Result[ObjectList, PlatformError]) -> None:
        """Set the time of the next full list after a successful one."""
        if isinstance(result, Success):
            period = compute_poll_period(self._fleet_size, self._rng)
            self._next_list = self._reactor.seconds() + LIST_PERIODS * period

    def _handle_result(self, result: Result[SettingsUpdate, PlatformError]) -> float:
        """Publish what was learned; return the delay to the next call, seconds."""
        period = compute_poll_period(self._fleet_size, self._rng)
        match result:
            case Success(update):
                self._failures = 0
                self._set_ready()
                self._publish(update, "the store")
                return WATCH_GAP if self._watcher else period
            case Failure(error):
                self._failures += 1
                if error.kind in _NEEDS_LIST:
                    # The revision may be too old to watch from, or of a past era.
                    self._next_list = 0.0
                if self._failures == 1:
                    log.warning("settings: the store gives no answer: %s", error.text)
        most = MAX_DELAY if self._watcher else max(MAX_DELAY, period)
        return compute_delay(self._failures, self._rng, max_delay=most)

    def _publish(self, update: SettingsUpdate, source: str) -> None:
        """Tell subscribers of news."""
        if not update.objects:
            return
        self._set_ready()
        revision = self.current.revision
        count = len(update.objects)
        log.info("settings: %d objects from %s, revision %d", count, source, revision)
        for finding in update.findings:
            log.warning("settings: finding: %s", format_finding(finding))
        self._call_all(self._objects_callbacks, update.objects)
        if update.changed:
            self._call_all(self._site_callbacks, self.current)

    def _call_all(self, callbacks: list[Callable], argument: object) -> None:
        """Call subscribers; one that fails must not keep news from the others."""
        for callback in tuple(callbacks):
            try:
                callback(argument)
            except Exception:
                log.exception("settings: a subscriber failed")

    def _set_ready(self) -> None:
        """Release whoever waits for the first settings."""
        self._ready = True
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
        """End the present sleep."""
        if self._sleep is not None and not self._sleep.called:
            self._sleep.callback(None)
