"""Where an instance's status can be read, kept in the platform's store.

The platform's instance list gives the address of the peer link only. So each
instance writes the address of its HTTP endpoint once, when it starts, and takes
it away when it leaves: two calls in the life of an instance, none in between.
"""

import logging
import random
from typing import NamedTuple

from returns.result import Failure, Result, Success
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure as Failed

from beryltrack.json_form import from_json, to_json
from beryltrack.platform.backoff import compute_delay
from beryltrack.platform.client import PlatformClient
from beryltrack.platform.messages import PlatformError
from beryltrack.settings.messages import Endpoint

log = logging.getLogger(__name__)

PREFIX = "status/instances/"


class InstanceAddress(NamedTuple):
    """The stored form of an instance's address.

    Parameters
    ----------
    status_endpoint : Endpoint
        Where ``GET /status`` is answered.
    """

    status_endpoint: Endpoint


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
    """

    def __init__(
        self,
        reactor,
        client: PlatformClient,
        name: str,
        endpoint: Endpoint,
        rng: random.Random | None = None,
    ):
        self._reactor = reactor
        self._client = client
        self._path = PREFIX + name
        self._value = to_json(InstanceAddress(endpoint))
        self._rng = rng or random.Random()
        self._call: Deferred | None = None

    def start(self) -> Deferred:
        """Write the address, again until it is there; fires when it is."""
        self._call = Deferred.fromCoroutine(self._register())
        self._call.addErrback(_ignore_cancellation)
        return self._call

    async def stop(self) -> None:
        """Take the address away; one attempt, since the instance is leaving."""
        if self._call is not None:
            self._call.cancel()
        match await self._client.get(self._path):
            case Success(None):
                return
            case Success(present) if present.value == self._value:
                await self._client.delete(self._path, present.version)

    async def _register(self) -> None:
        """Try until the store holds the address."""
        attempt = 0
        while isinstance(await self._write(), Failure):
            attempt += 1
            if attempt == 1:
                log.warning("platform: the status address could not be written yet")
            await deferLater(self._reactor, compute_delay(attempt, self._rng))

    async def _write(self) -> Result[int, PlatformError]:
        """Write the address once, unless it is there already."""
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


def parse_address(value: object) -> Endpoint | None:
    """Return the endpoint in a stored address, None if it has none."""
    try:
        return from_json(value, InstanceAddress).status_endpoint
    except ValueError:
        return None
