"""Registers the address of an instance's status endpoint in the platform's store.

The platform's instance list contains the address of the peer link only. So each
instance writes the address of its HTTP endpoint when it starts, and deletes it when it
leaves. An instance that crashes leaves its address behind; an instance that starts
later deletes addresses that are old and no longer listed. The platform sees a few
calls at the start of an instance, two at its end, and none in between unless it is
restored from a backup, which may lack the address.
"""

import logging
import random
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from returns.result import Failure, Result, Success
from twisted.internet.defer import CancelledError, Deferred, TimeoutError
from twisted.internet.task import deferLater
from twisted.python.failure import Failure as Failed

from beryltrack.json_form import from_json, to_json
from beryltrack.objects.backoff import compute_delay
from beryltrack.objects.client import PlatformClient
from beryltrack.objects.eras import RESTORE_SPREAD
from beryltrack.objects.messages import PlatformError, PlatformObject
from beryltrack.settings.messages import Endpoint

log = logging.getLogger(__name__)

PREFIX = "status/instances/"
# Seconds. The list lags, so a stale address must be much older than any lag.
STALE_AFTER = 86400.0
# Seconds that a leaving instance spends on deleting its address.
REMOVAL_TIMEOUT = 2.0


class InstanceAddress(NamedTuple):
    """The stored form of an instance's address.

    Parameters
    ----------
    status_endpoint : Endpoint
        HTTP endpoint of ``GET /status``.
    since : float
        When it was written, seconds since 1970.
    """

    status_endpoint: Endpoint
    since: float


class RegistrationTask:
    """Keeps the address of one instance in the store while it runs.

    Parameters
    ----------
    reactor : IReactorTime
        Clock of the delays between attempts.
    client : PlatformClient
        Client of the store.
    name : str
        Name of the instance.
    endpoint : Endpoint
        Its HTTP endpoint.
    rng : random.Random, optional
        Source of jitter.
    get_time : callable, optional
        Returns the time, seconds since 1970.
    """

    def __init__(
        self,
        reactor,
        client: PlatformClient,
        name: str,
        endpoint: Endpoint,
        rng: random.Random | None = None,
        get_time: Callable[[], float] = time.time,
    ):
        self._reactor = reactor
        self._client = client
        self._path = PREFIX + name
        self._value = to_json(InstanceAddress(endpoint, get_time()))
        self._get_time = get_time
        self._rng = rng or random.Random()
        self._registering: Deferred | None = None
        self._is_stopped = False
        client.eras.subscribe(lambda era: self._schedule_rewrite())

    def start(self) -> Deferred:
        """Write the address with retries; fires once the store holds it."""
        self._registering = Deferred.fromCoroutine(self._register())
        self._registering.addErrback(_ignore_cancellation)
        return self._registering

    async def stop(self) -> None:
        """Delete the address if the store answers within `REMOVAL_TIMEOUT`."""
        self._is_stopped = True
        if self._registering is not None:
            self._registering.cancel()
        removal = Deferred.fromCoroutine(self._remove())
        try:
            await removal.addTimeout(REMOVAL_TIMEOUT, self._reactor)
        except TimeoutError:
            log.warning(
                "platform: could not delete the status address in time; an instance "
                "that starts later deletes it"
            )

    def _schedule_rewrite(self) -> None:
        """Write the address again after a delay, as a restored store may lack it."""
        delay = self._rng.uniform(0.0, RESTORE_SPREAD)
        self._reactor.callLater(delay, self._rewrite)

    def _rewrite(self) -> None:
        """Write the address again unless the instance is leaving."""
        if self._registering is not None and not self._is_stopped:
            self._registering.cancel()
            self.start()

    async def _remove(self) -> None:
        """Delete the address if it is still the one that was written."""
        match await self._client.get(self._path):
            case Success(None):
                return
            case Success(present) if present.value == self._value:
                await self._client.delete(self._path, present.version)

    async def _register(self) -> None:
        """Retry until the store holds the address, then delete stale ones."""
        attempt = 0
        while isinstance(await self._write(), Failure):
            attempt += 1
            if attempt == 1:
                log.warning("platform: could not write the status address; retrying")
            await deferLater(self._reactor, compute_delay(attempt, self._rng))
        await self._remove_stale()

    async def _remove_stale(self) -> None:
        """Delete addresses of crashed instances; one attempt per start."""
        listed = await self._client.list_instances()
        stored = await self._client.list(PREFIX)
        if isinstance(listed, Failure) or isinstance(stored, Failure):
            return
        names = {entry.name for entry in listed.unwrap()}
        for item in find_stale_addresses(
            stored.unwrap().objects, names, self._get_time()
        ):
            await self._client.delete(item.path, item.version)

    async def _write(self) -> Result[int, PlatformError]:
        """Write the address once, unless the store holds it already."""
        match await self._client.get(self._path):
            case Success(present) if present and present.value == self._value:
                return Success(present.version)
            case Success(present):
                version = present.version if present else 0
                return await self._client.put(self._path, self._value, version)
            case failure:
                return failure


def _ignore_cancellation(failure: Failed) -> None:
    """End a call that was cancelled because the instance is leaving."""
    failure.trap(CancelledError)


def parse_address(value: object) -> InstanceAddress | None:
    """Return a stored address, None if the value is malformed."""
    try:
        return from_json(value, InstanceAddress)
    except ValueError:
        return None


def find_stale_addresses(
    objects: Iterable[PlatformObject], listed: set[str], now: float
) -> tuple[PlatformObject, ...]:
    """Return the addresses of instances that no longer run.

    Parameters
    ----------
    objects : iterable of PlatformObject
        The stored addresses.
    listed : set of str
        Names in the platform's instance list.
    now : float
        The time, seconds since 1970.

    Returns
    -------
    tuple of PlatformObject
        Addresses that are not listed, and older than `STALE_AFTER` or malformed.
    """
    addresses = ((item, parse_address(item.value)) for item in objects)
    return tuple(
        item
        for item, address in addresses
        if item.path.removeprefix(PREFIX) not in listed
        and (address is None or now - address.since > STALE_AFTER)
    )
