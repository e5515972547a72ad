"""Fleet membership: instances register in the store and check each other in a ring.

Objects in the store do not expire, and an instance that crashes for good does not
deregister. So each instance checks periodically whether its successor in the ring of
names accepts connections, and removes the object of one that does not. That costs the
store no call while nothing changes. A running instance that finds its own object
missing registers again.

A store that is restored from a backup lacks the instances that registered after the
backup. They remain known for `UNLISTED_EXPIRY` seconds, in which they register again.
An instance that the store refuses is registered by its predecessor in the ring.
"""

import logging
import random
from collections.abc import Callable, Mapping

from returns.result import Success
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import LoopingCall, deferLater

from beryltrack.failover.primary_records import ObjectClient
from beryltrack.findings import Finding
from beryltrack.objects.eras import get_era
from beryltrack.objects.feed import FeedTask, ObjectFeed
from beryltrack.objects.fields import (
    Field,
    parse_ip,
    parse_name,
    parse_number,
    parse_port,
    read_fields,
)
from beryltrack.objects.messages import PlatformObject
from beryltrack.objects.rejects import RejectLog
from beryltrack.relay.owners import Peer
from beryltrack.settings.messages import Endpoint

log = logging.getLogger(__name__)

KIND = "members"
"""Kind of the objects by which instances discover each other."""

CHECK_PERIOD = 2.0
"""Seconds between two liveness checks of the successor."""

CHECK_TIMEOUT = 1.0
"""Seconds within which an instance must accept a connection."""

MAX_MISSES = 4
"""Consecutive failed checks after which an instance is removed: longer than a restart
takes, 1 to 4 s."""

BATCH_DELAY = 1.5
"""Seconds between two watches of the members, as all instances of a fleet register at
a start."""

WATCH_TIMEOUT = 5.0
"""Seconds that a watch waits for a change. A watch that a silent store received hides
for this time that an instance has joined or left; the call costs a tenth of another."""

RETRY_PERIOD = 0.5
"""Seconds between two attempts to register."""

UNLISTED_EXPIRY = 10.0
"""Seconds for which an instance stays known that a restored store does not list. The
time covers a watch that reports the loss, the instance's own registration, and the
checks of its predecessor, which registers it if it cannot. A crash of the instance is
detected in less."""

REREGISTRATION_RATE = 100
"""Instances per second that register again when a restored store lacks many of them: a
quarter of the writes that the smallest store can take."""

_FIELDS = (
    Field("host", parse_ip),
    Field("port", parse_port),
    Field("relay", parse_port),
    Field("zone", parse_name),
    Field("copies", parse_port, False),
    Field("rights", parse_port, False),
    Field("capacity", parse_number, False),
)


class LivenessCheckFactory(Factory):
    """Accepts the connections by which another instance checks this one."""

    noisy = False

    def buildProtocol(self, addr) -> Protocol:  # noqa: N802
        """Return a connection that the other side closes."""
        return Protocol()


class MemberTask:
    """Registers an instance, follows the others and checks its successor.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Source of connections and timers.
    store : ObjectClient
        The store.
    listing : ObjectFeed
        Lists and watches the instances; it may lag.
    own : Peer
        This instance, as others see it.
    endpoint : Endpoint
        Where it accepts the checks of others.
    callback : callable
        Called with all instances after each change.
    rng : random.Random
        Source of jitter.
    initial_delay : float
        Seconds until the other instances are listed; above zero if the whole system
        starts for the first time.
    rejects : RejectLog, optional
        Logs the problems of other instances' objects.
    """

    def __init__(
        self,
        reactor,
        store: ObjectClient,
        listing: ObjectFeed,
        own: Peer,
        endpoint: Endpoint,
        callback: Callable[[tuple[Peer, ...]], None],
        rng: random.Random,
        initial_delay: float = BATCH_DELAY,
        rejects: RejectLog | None = None,
    ):
        self._rejects = rejects or RejectLog()
        self._reactor = reactor
        self._store = store
        self._own = own
        self._name = own.name
        self._initial_delay = initial_delay
        self._is_first_registration = initial_delay > 0
        self._endpoint = endpoint
        self._callback = callback
        self._feed = FeedTask(
            reactor,
            listing,
            KIND,
            self._handle_objects,
            rng,
            WATCH_TIMEOUT,
            BATCH_DELAY,
        )
        self._objects: dict[str, PlatformObject] = {}
        self._check_endpoints: dict[str, Endpoint] = {}
        self._misses: dict[str, int] = {}
        self._era = 0
        self._unlisted: dict[str, PlatformObject] = {}
        self._expiry_call = None
        self._rng = rng
        self._is_leaving = False
        self._is_registering = False
        self._check_loop = LoopingCall(self._check)
        self._check_loop.clock = reactor

    def start(self) -> None:
        """Register, follow the other instances and start the checks."""
        self._register()
        self._reactor.callLater(self._initial_delay, self._feed.start)
        self._check_loop.start(CHECK_PERIOD, now=False)

    @property
    def objects(self) -> dict[str, PlatformObject]:
        """The objects of all instances by path."""
        return {f"{KIND}/{name}": item for name, item in self._objects.items()}

    @property
    def feed(self) -> FeedTask:
        """The feed that follows the instances."""
        return self._feed

    def apply_copy(self, objects: Mapping[str, PlatformObject]) -> None:
        """Report the instances in another instance's cached copy."""
        self._callback(self._make_peers(objects))

    def stop(self) -> None:
        """Stop following and checking."""
        self._feed.stop()
        if self._expiry_call is not None and self._expiry_call.active():
            self._expiry_call.cancel()
        if self._check_loop.running:
            self._check_loop.stop()

    async def leave(self) -> None:
        """Deregister this instance."""
        self._is_leaving = True
        await self._remove(self._name)

    def _handle_objects(self, objects: dict[str, PlatformObject]) -> None:
        """Handle a new list of the instances."""
        listed = {path.partition("/")[2]: each for path, each in objects.items()}
        self._retain_unlisted(listed)
        self._objects = self._unlisted | listed
        # An object that no instance has written has no place in the ring.
        endpoints = {
            name: _read_check_endpoint(item) for name, item in self._objects.items()
        }
        self._check_endpoints = {
            name: each for name, each in endpoints.items() if each is not None
        }
        if self._name not in listed and not self._is_registering:
            log.info("members: The store does not list this instance; it re-registers.")
            spread = len(self._unlisted) / REREGISTRATION_RATE
            delay = self._rng.uniform(0.0, spread)
            self._reactor.callLater(delay, self._register)
        self._callback(self._make_peers(self._objects))

    def _retain_unlisted(self, listed: Mapping[str, PlatformObject]) -> None:
        """Retain for a while the instances that a restored store does not list."""
        era, before = get_era(self._feed.revision), self._era
        self._era = era
        known = self._objects if era > before and self._objects else {}
        retained = self._unlisted | known
        self._unlisted = {
            name: retained[name] for name in retained.keys() - listed.keys()
        }
        if not known or not self._unlisted:
            return
        log.warning(
            "members: The restored store lacks %d instances; they are retained for "
            "%g s.",
            len(self._unlisted),
            UNLISTED_EXPIRY,
        )
        if self._expiry_call is not None and self._expiry_call.active():
            self._expiry_call.cancel()
        self._expiry_call = self._reactor.callLater(
            UNLISTED_EXPIRY, lambda: self._expire(tuple(self._unlisted))
        )

    def _expire(self, names: tuple[str, ...]) -> None:
        """Drop retained instances that have not registered again."""
        for name in names:
            del self._unlisted[name], self._objects[name]
            self._check_endpoints.pop(name, None)
        self._callback(self._make_peers(self._objects))

    def _make_peers(self, objects: Mapping[str, PlatformObject]) -> tuple[Peer, ...]:
        """Return all instances, this one among them."""
        pairs = [read_peer(item) for item in objects.values()]
        self._rejects.report(finding for _, found in pairs for finding in found)
        others = (peer for peer, _ in pairs if peer and peer.name != self._name)
        return tuple(sorted((self._own, *others)))

    def _register(self) -> None:
        """Register unless a registration is in progress."""
        if not (self._is_registering or self._is_leaving):
            self._is_registering = True
            Deferred.fromCoroutine(self._run_registration())

    async def _run_registration(self) -> None:
        """Write this instance's object until the store has it."""
        value = {
            "host": self._endpoint.host,
            "port": self._endpoint.port,
            "relay": self._own.relay_endpoint.port,
            "zone": self._own.zone,
            "capacity": self._own.capacity,
        }
        if self._own.cache_endpoint is not None:
            value["copies"] = self._own.cache_endpoint.port
        if self._own.quota_endpoint is not None:
            value["rights"] = self._own.quota_endpoint.port
        path = f"{KIND}/{self._name}"
        if self._is_first_registration:
            # No instance of this name has registered before: the read is not needed.
            self._is_first_registration = False
            if isinstance(await self._store.put(path, value, 0), Success):
                self._is_registering = False
                return
        while not self._is_leaving:
            found = await self._store.get(path)
            if isinstance(found, Success):
                stored = found.unwrap()
                if stored is not None and stored.value == value:
                    break
                version = 0 if stored is None else stored.version
                written = await self._store.put(path, value, version)
                if isinstance(written, Success):
                    break
            await deferLater(self._reactor, RETRY_PERIOD)
        self._is_registering = False

    def _check(self) -> None:
        """Check whether the successor in the ring accepts connections."""
        name = get_successor(tuple(self._check_endpoints), self._name)
        if name is None:
            return
        address = self._check_endpoints[name]
        endpoint = TCP4ClientEndpoint(
            self._reactor, address.host, address.port, timeout=CHECK_TIMEOUT
        )
        connecting = connectProtocol(endpoint, Protocol())
        connecting.addCallbacks(
            self._record_success,
            self._record_miss,
            callbackArgs=(name,),
            errbackArgs=(name,),
        )

    def _record_success(self, protocol: Protocol, name: str) -> None:
        """Record that an instance is live; register it if the store lacks it."""
        protocol.transport.loseConnection()
        self._misses.pop(name, None)
        if name in self._unlisted:
            log.info(
                "members: Instance %s is live but missing in the restored store; this "
                "instance registers it.",
                name,
            )
            item = self._unlisted[name]
            Deferred.fromCoroutine(self._store.put(item.path, item.value, 0))

    def _record_miss(self, failure, name: str) -> None:
        """Record a failed check; remove the instance after `MAX_MISSES` in a row."""
        self._misses = {name: self._misses.get(name, 0) + 1}
        if self._misses[name] >= MAX_MISSES:
            self._misses.pop(name)
            log.warning(
                "members: Instance %s accepts no connections and is removed: %s",
                name,
                failure.getErrorMessage(),
            )
            if name in self._unlisted:
                self._expire((name,))
                return
            Deferred.fromCoroutine(self._remove(name))

    async def _remove(self, name: str) -> None:
        """Delete the object of an instance, if it does not change meanwhile."""
        found = await self._store.get(f"{KIND}/{name}")
        if isinstance(found, Success) and found.unwrap() is not None:
            await self._store.delete(f"{KIND}/{name}", found.unwrap().version)


def read_peer(item: PlatformObject) -> tuple[Peer | None, list[Finding]]:
    """Parse the object of an instance.

    Returns
    -------
    tuple
        The instance, None if the object is invalid, and the findings.
    """
    fields, findings = read_fields(item.path, "", item.value, _FIELDS)
    try:
        name = parse_name(item.path.partition("/")[2])
    except ValueError as error:
        findings.append(Finding(item.path, "", f"the name of the instance {error}"))
    if findings:
        return None, findings
    host = fields["host"]
    relay = Endpoint(host, fields["relay"])
    others = (fields.get("copies"), fields.get("rights"))
    places = (None if port is None else Endpoint(host, port) for port in others)
    return Peer(name, fields["zone"], relay, *places, fields.get("capacity", 1.0)), []


def _read_check_endpoint(item: PlatformObject) -> Endpoint | None:
    """Return where an instance accepts checks, None if its object is invalid."""
    fields, findings = read_fields(item.path, "", item.value, _FIELDS)
    return None if findings else Endpoint(fields["host"], fields["port"])


def get_successor(names: tuple[str, ...], own: str) -> str | None:
    """Return the name after another in the ring of names, None if there is none."""
    others = sorted(name for name in names if name != own)
    return next((name for name in others if name > own), others[0] if others else None)
