"""Which instances there are: each registers itself in the store, and looks after one.

Nothing in the store goes away by itself, and an instance that is lost for good says
nothing. So each instance looks now and then whether the next one in the order of
names still takes connections, and takes away the object of one that does not. That
costs the store no call while nothing changes. An instance that finds its own object
gone while it lives registers again.

A store that is restored from a backup has forgotten who registered since. They are
still known for a while, in which they register again. One that cannot, as the store
turns it away, is registered by the one that looks after it.
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
"""Kind of the objects by which instances know of each other."""

CHECK_PERIOD = 2.0
"""Seconds between two looks at the next instance."""

CHECK_TIMEOUT = 1.0
"""Seconds within which an instance takes a connection."""

MOST_MISSES = 4
"""Looks in a row without a connection after which an instance counts as gone: longer
than a restart takes, 1 to 4 s."""

WATCH_GAP = 1.5
"""Seconds between two watches of the members: all of a fleet register at a start."""

WATCH_WAIT = 5.0
"""Seconds that a watch waits for a change. One that is lost in a silent store hides
for so long that an instance has come or gone; the call costs a tenth of another."""

RETRY_PERIOD = 0.5
"""Seconds between two attempts to register."""

FORGOTTEN_TIME = 10.0
"""Seconds for which an instance that the store has forgotten is still known: a watch
that hears of it, its own registration, and the looks of who registers it if it cannot.
One that was lost as well is found out in less than that."""

FORGOTTEN_PER_SECOND = 100
"""Instances that register again in a second when the store has forgotten many of them:
a quarter of the writes that the smallest store takes."""

_FIELDS = (
    Field("host", parse_ip),
    Field("port", parse_port),
    Field("relay", parse_port),
    Field("zone", parse_name),
    Field("copies", parse_port, False),
    Field("rights", parse_port, False),
    Field("capacity", parse_number, False),
)


class MemberPort(Factory):
    """Takes the connections by which other instances look at this one."""

    noisy = False

    def buildProtocol(self, addr) -> Protocol:  # noqa: N802
        """Return a connection that the other side closes."""
        return Protocol()


class MemberTask:
    """Registers an instance and knows the others.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Source of connections and timers.
    store : ObjectClient
        The store.
    name : str
        Name of this instance.
    listing : ObjectFeed
        Lists and watches the instances; it may lag.
    own : Peer
        This instance, as others are to see it.
    endpoint : Endpoint
        Where it takes the looks of others.
    callback : callable
        Called with all instances after each change.
    rng : random.Random
        Source of jitter.
    first_look : float
        Seconds after which the others are looked for; above zero where the whole
        system starts for the first time.
    rejects : RejectLog, optional
        Takes what is wrong with the objects of others.
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
        first_look: float = WATCH_GAP,
        rejects: RejectLog | None = None,
    ):
        self._rejects = rejects or RejectLog()
        self._reactor = reactor
        self._store = store
        self._own = own
        self._name = own.name
        self._first_look = first_look
        self._is_new = first_look > 0
        self._endpoint = endpoint
        self._callback = callback
        self._feed = FeedTask(
            reactor, listing, KIND, self._take, rng, WATCH_WAIT, WATCH_GAP
        )
        self._objects: dict[str, PlatformObject] = {}
        self._looks: dict[str, Endpoint] = {}
        self._misses: dict[str, int] = {}
        self._era = 0
        self._forgotten: dict[str, PlatformObject] = {}
        self._forgetting = None
        self._rng = rng
        self._is_leaving = False
        self._is_registering = False
        self._checking = LoopingCall(self._check)
        self._checking.clock = reactor

    def start(self) -> None:
        """Register and begin to look at others."""
        self._register()
        self._reactor.callLater(self._first_look, self._feed.start)
        self._checking.start(CHECK_PERIOD, now=False)

    @property
    def objects(self) -> dict[str, PlatformObject]:
        """The objects of all instances by path."""
        return {f"{KIND}/{name}": item for name, item in self._objects.items()}

    @property
    def feed(self) -> FeedTask:
        """What follows the instances."""
        return self._feed

    def learn(self, objects: Mapping[str, PlatformObject]) -> None:
        """Take which instances there are from another one's copy."""
        self._callback(self._make_peers(objects))

    def stop(self) -> None:
        """Look no more."""
        self._feed.stop()
        if self._forgetting is not None and self._forgetting.active():
            self._forgetting.cancel()
        if self._checking.running:
            self._checking.stop()

    async def leave(self) -> None:
        """Take away this instance's object."""
        self._is_leaving = True
        await self._remove(self._name)

    def _take(self, objects: dict[str, PlatformObject]) -> None:
        """Take in which instances there are."""
        told = {path.partition("/")[2]: each for path, each in objects.items()}
        self._keep_forgotten(told)
        self._objects = self._forgotten | told
        # An object that no instance has written is in nobody's place in the ring.
        looks = {name: _read_look(item) for name, item in self._objects.items()}
        self._looks = {name: look for name, look in looks.items() if look is not None}
        if self._name not in told and not self._is_registering:
            log.info("members: The store lacks this instance; it registers again.")
            spread = len(self._forgotten) / FORGOTTEN_PER_SECOND
            delay = self._rng.uniform(0.0, spread)
            self._reactor.callLater(delay, self._register)
        self._callback(self._make_peers(self._objects))

    def _keep_forgotten(self, told: Mapping[str, PlatformObject]) -> None:
        """Keep for a while whom a store that was restored has forgotten."""
        era, before = get_era(self._feed.revision), self._era
        self._era = era
        lost = self._objects if era > before and self._objects else {}
        kept = self._forgotten | lost
        self._forgotten = {name: kept[name] for name in kept.keys() - told.keys()}
        if not lost or not self._forgotten:
            return
        log.warning(
            "members: The store has forgotten %d instances; they are kept for %g s.",
            len(self._forgotten),
            FORGOTTEN_TIME,
        )
        if self._forgetting is not None and self._forgetting.active():
            self._forgetting.cancel()
        self._forgetting = self._reactor.callLater(
            FORGOTTEN_TIME, lambda: self._forget(tuple(self._forgotten))
        )

    def _forget(self, names: tuple[str, ...]) -> None:
        """Know those no longer whom the store has forgotten, and who are gone."""
        for name in names:
            del self._forgotten[name], self._objects[name]
            self._looks.pop(name, None)
        self._callback(self._make_peers(self._objects))

    def _make_peers(self, objects: Mapping[str, PlatformObject]) -> tuple[Peer, ...]:
        """Return all instances, this one among them."""
        pairs = [read_peer(item) for item in objects.values()]
        self._rejects.report(finding for _, found in pairs for finding in found)
        others = (peer for peer, _ in pairs if peer and peer.name != self._name)
        return tuple(sorted((self._own, *others)))

    def _register(self) -> None:
        """Register unless that is under way."""
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
        if self._is_new:
            # Nobody of this name was there before, so that the question is spared.
            self._is_new = False
            if isinstance(await self._store.put(path, value, 0), Success):
                self._is_registering = False
                return
        while not self._is_leaving:
            found = await self._store.get(path)
            if isinstance(found, Success):
                kept = found.unwrap()
                if kept is not None and kept.value == value:
                    break
                version = 0 if kept is None else kept.version
                written = await self._store.put(path, value, version)
                if isinstance(written, Success):
                    break
            await deferLater(self._reactor, RETRY_PERIOD)
        self._is_registering = False

    def _check(self) -> None:
        """Look at the next instance in the order of names."""
        name = get_next(tuple(self._looks), self._name)
        if name is None:
            return
        look = self._looks[name]
        endpoint = TCP4ClientEndpoint(
            self._reactor, look.host, look.port, timeout=CHECK_TIMEOUT
        )
        connecting = connectProtocol(endpoint, Protocol())
        connecting.addCallbacks(
            self._note_alive, self._note_miss, callbackArgs=(name,), errbackArgs=(name,)
        )

    def _note_alive(self, protocol: Protocol, name: str) -> None:
        """Note that an instance is there; register it if the store has forgotten it."""
        protocol.transport.loseConnection()
        self._misses.pop(name, None)
        if name in self._forgotten:
            log.info("members: %s lives; it is registered again.", name)
            item = self._forgotten[name]
            Deferred.fromCoroutine(self._store.put(item.path, item.value, 0))

    def _note_miss(self, failure, name: str) -> None:
        """Note that an instance took no connection; remove it after some."""
        self._misses = {name: self._misses.get(name, 0) + 1}
        if self._misses[name] >= MOST_MISSES:
            self._misses.pop(name)
            log.warning("members: %s is gone: %s", name, failure.getErrorMessage())
            if name in self._forgotten:
                self._forget((name,))
                return
            Deferred.fromCoroutine(self._remove(name))

    async def _remove(self, name: str) -> None:
        """Take away the object of an instance, if it is still the same."""
        found = await self._store.get(f"{KIND}/{name}")
        if isinstance(found, Success) and found.unwrap() is not None:
            await self._store.delete(f"{KIND}/{name}", found.unwrap().version)


def read_peer(item: PlatformObject) -> tuple[Peer | None, list[Finding]]:
    """Return the instance that an object stands for, and what is wrong with it.

    Returns
    -------
    tuple
        The instance, None if the object cannot be read, and the findings.
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


def _read_look(item: PlatformObject) -> Endpoint | None:
    """Return where an instance takes the looks of others, None if that is not told."""
    fields, findings = read_fields(item.path, "", item.value, _FIELDS)
    return None if findings else Endpoint(fields["host"], fields["port"])


def get_next(names: tuple[str, ...], own: str) -> str | None:
    """Return who comes after a name in a ring of names, None if nobody does."""
    others = sorted(name for name in names if name != own)
    return next((name for name in others if name > own), others[0] if others else None)
