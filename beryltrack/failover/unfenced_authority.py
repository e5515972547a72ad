"""Permits where the service that promotes checks no fencing tokens.

Nothing stops a call under an old permit there, so that the calls themselves have to
come in the order of their tokens. A permit is good for a short time, counted from when
its write was sent, and a new one is taken for each promotion. Whoever takes over from
another process first leaves that one's permit unchanged for longer than a call under
it can still be sent. A process that was paused or cut off finds its permit too old and
sends nothing.

A store that is restored from a backup may have forgotten a permit under which
calls are still sent. So nobody takes one within that time of first hearing of an era,
and one whose write was answered in another era than its group's last is not used.

Without a store nobody promotes: a permit of before proves nothing, as another instance
may have reached the store since. Weighed: a permit that lasts, renewed by a call every
second or two, would allow a promotion in the first seconds of an outage; it costs calls
while nothing happens, and after a lost holder each change of primary would wait for it
to lapse.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from beryltrack.failover.authority import PATH_PREFIX, Permit, make_permit_value
from beryltrack.failover.primary_records import ObjectClient
from beryltrack.objects.eras import EraTracker
from beryltrack.objects.messages import ErrorKind, PlatformError, PlatformObject

log = logging.getLogger(__name__)

PERMIT_VALIDITY = 0.5
"""Seconds from when the write of a permit is sent until no call under it may begin:
longer than the 0.3 s that a write takes while the store is slow, and the 0.15 s that
the databases may take to grant."""

CONNECT_TIMEOUT = 0.3
"""Seconds that a call may take from its begin until it is sent."""

TAKEOVER_DELAY = 1.0
"""Seconds for which another process's permit must have been seen unchanged before the
next one is taken: the two times above, and 0.2 s for packets that are on their way."""


class ObservedPermit(NamedTuple):
    """The permit of a group as the store had it.

    Parameters
    ----------
    kept : PlatformObject or None
        The stored object; None if there is none yet.
    seen_at : float
        When this version was first seen, by the node's clock.
    era : int
        The era of the store in which it was seen last.
    """

    kept: PlatformObject | None
    seen_at: float
    era: int

    @property
    def version(self) -> int:
        """The object's version; 0 if there is none."""
        return 0 if self.kept is None else self.kept.version


class OwnPermit(NamedTuple):
    """A permit of this process, and when its write was sent."""

    permit: Permit
    sent_at: float


class UnfencedAuthority:
    """Permits that each serve one promotion; see `PromotionAuthority`.

    Parameters
    ----------
    client : ObjectClient
        The object store.
    holder : str
        Name of this instance.
    process : str
        Sets this process apart from earlier ones of the same instance.
    seconds : callable
        The node's time.
    eras : EraTracker, optional
        The era of the store; without it the store never loses what it acknowledged.
    """

    keeps_permits = False

    def __init__(
        self,
        client: ObjectClient,
        holder: str,
        process: str,
        seconds: Callable[[], float],
        eras: EraTracker | None = None,
    ):
        self._eras = eras or EraTracker()
        self._client = client
        self._holder = holder
        self._process = process
        self._seconds = seconds
        self._seen: dict[str, ObservedPermit] = {}
        self._used: dict[str, OwnPermit] = {}

    def holds(self, group: str) -> bool:
        """Return False: no permit is kept."""
        return False

    def drop(self, group: str) -> None:
        """Note that another instance's permit has overtaken this one's."""
        self._used.pop(group, None)

    async def prepare(self, group: str) -> None:
        """Look at the permit, so that the time begins for which it must stand."""
        found = await self._client.get(PATH_PREFIX + group)
        if isinstance(found, Success):
            self._observe(group, found.unwrap())

    async def acquire(self, group: str, renew: bool) -> Result[Permit, PlatformError]:
        """Return a permit of a group; the one of before only while it is usable."""
        used = self._used.get(group)
        if used is not None and not renew and self._is_usable(used):
            return Success(used.permit)
        seen = self._get_seen(group)
        if seen is None:
            await self.prepare(group)
            seen = self._get_seen(group)
        if seen is None:
            return _refuse("the permit cannot be read")
        if not self._may_overtake(seen):
            return _refuse("the permit of another instance is too young")
        return await self._take(group, seen)

    async def _take(self, group: str, seen: ObservedPermit) -> Result:
        """Write the permit that follows one that was seen."""
        sent_at = self._seconds()
        value = make_permit_value(self._holder, seen.version)
        value |= {"process": self._process}
        path = PATH_PREFIX + group
        written = await self._client.put(path, value, seen.version)
        if self._eras.era != seen.era:
            # What was seen may not have been what the write replaced.
            written = _refuse("the store was restored from a backup")
        if not isinstance(written, Success):
            # It may have been written all the same, or another one was.
            self._used.pop(group, None)
            await self.prepare(group)
            return written
        version = written.unwrap()
        permit = Permit(self._holder, version)
        self._observe(group, PlatformObject(path, version, value, False))
        used = self._used[group] = OwnPermit(permit, sent_at)
        log.info("failover: %s: permit with token %d.", group, permit.token)
        if not self._is_usable(used):
            return _refuse("the store took too long to write the permit")
        return Success(permit)

    def _observe(self, group: str, kept: PlatformObject | None) -> None:
        """Keep what the store has; the time of a version that stands goes on."""
        seen, era = self._seen.get(group), self._eras.era
        version = 0 if kept is None else kept.version
        is_same = seen is not None and seen.version == version
        seen_at = seen.seen_at if is_same else self._seconds()
        self._seen[group] = ObservedPermit(kept, seen_at, era)

    def _get_seen(self, group: str) -> ObservedPermit | None:
        """Return the permit as it was last seen in the store's present era."""
        seen = self._seen.get(group)
        return seen if seen is not None and seen.era == self._eras.era else None

    def _is_usable(self, used: OwnPermit) -> bool:
        """Return whether a call under a permit of this process may begin."""
        return self._seconds() - used.sent_at <= PERMIT_VALIDITY

    def _may_overtake(self, seen: ObservedPermit) -> bool:
        """Return whether no other process can still call under a permit."""
        if self._eras.age < TAKEOVER_DELAY:
            return False
        if seen.kept is None or _get_process(seen.kept) == self._process:
            return True
        return self._seconds() - seen.seen_at >= TAKEOVER_DELAY


def _get_process(kept: PlatformObject) -> str:
    """Return the process that wrote a permit."""
    return kept.value.get("process", "") if isinstance(kept.value, dict) else ""


def _refuse(text: str) -> Result:
    """Return the failure of a permit that was not taken."""
    return Failure(PlatformError(ErrorKind.REFUSED, text))
