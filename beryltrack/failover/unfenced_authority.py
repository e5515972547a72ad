"""Permits to promote where the promotion service checks no fencing tokens.

Such a service carries out calls under old permits too, so calls must be sent in the
order of their tokens. Each permit serves one promotion and is valid for a short time
from when its write was sent. A process takes over from another one only after it has
seen that one's permit unchanged for longer than a call under it can still be sent. A
process that was paused or cut off finds its permit expired and sends no call.

A restore from a backup may lose a permit under which calls are still sent. A process
therefore takes no permit within that time after it first hears of an era, and does not
use a permit whose write was answered in another era than the read before it.

Promotion needs the store: a permit from before an outage proves nothing, as another
instance may have reached the store since. The alternative, a lease that is renewed
every second or two, would allow a promotion in the first seconds of an outage, but
costs calls while nothing changes, and once a holder is lost, each change of primary
would have to wait for the lease to expire.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result, Success

from beryltrack.clock import NEVER
from beryltrack.failover.authority import (
    PATH_PREFIX,
    Permit,
    make_permit_value,
    refuse_permit,
)
from beryltrack.failover.primary_records import ObjectClient
from beryltrack.objects.eras import EraTracker
from beryltrack.objects.messages import PlatformError, PlatformObject

log = logging.getLogger(__name__)

PERMIT_VALIDITY = 0.5
"""Seconds after its write was sent during which calls under a permit may start:
longer than the 0.3 s that a write to a slow store takes plus the 0.15 s that the
databases may take to grant."""

CONNECT_TIMEOUT = 0.3
"""Seconds that a call may take from its start until it is sent."""

TAKEOVER_DELAY = 1.0
"""Seconds for which another process's permit must have been seen unchanged before the
next one is taken: the two times above and 0.2 s for packets in flight."""


LEASE = 3.0
"""Seconds within which two processes must not promote in turn: one that another process
took over from leaves the group to that one, or to a third."""

RETURN_DELAY = LEASE + PERMIT_VALIDITY + CONNECT_TIMEOUT
"""Seconds after a process took its permit before it takes over from its successor."""


class ObservedPermit(NamedTuple):
    """A group's permit as last read from, or written to, the store.

    Parameters
    ----------
    stored : PlatformObject or None
        The stored object; None if there is none yet.
    seen_at : float
        When this version was first seen, seconds of the instance's clock.
    era : int
        The era of the store when it was last seen.
    """

    stored: PlatformObject | None
    seen_at: float
    era: int

    @property
    def version(self) -> int:
        """The object's version; 0 if there is none."""
        return 0 if self.stored is None else self.stored.version


class OwnPermit(NamedTuple):
    """A permit of this process and when its write was sent, seconds of its clock."""

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
        Identifies this process among all processes of the same instance.
    seconds : callable
        The instance's clock, seconds.
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
        self._observed_permits: dict[str, ObservedPermit] = {}
        self._own_permits: dict[str, OwnPermit] = {}
        self._taken_at: dict[str, float] = {}

    def holds(self, group: str) -> bool:
        """Return False: permits are not held in advance."""
        return False

    def drop(self, group: str) -> None:
        """Discard this instance's permit: another instance has taken a newer one."""
        self._own_permits.pop(group, None)

    async def prepare(self, group: str) -> None:
        """Read the permit, so that `TAKEOVER_DELAY` starts to count."""
        found = await self._client.get(PATH_PREFIX + group)
        if isinstance(found, Success):
            self._observe(group, found.unwrap())

    async def acquire(self, group: str, renew: bool) -> Result[Permit, PlatformError]:
        """Return a permit of a group: the previous one while valid unless `renew`."""
        own = self._own_permits.get(group)
        if own is not None and not renew and self._is_valid(own):
            return Success(own.permit)
        observed = self._get_observed(group)
        if observed is None:
            await self.prepare(group)
            observed = self._get_observed(group)
        if observed is None:
            return refuse_permit("the permit could not be read from the store")
        if not self._may_take_over(observed):
            return refuse_permit("another process's permit may still be in use")
        if self._is_followed(group, observed):
            return refuse_permit("another process has just taken over")
        return await self._take(group, observed)

    async def confirm(self, group: str) -> Result[Permit, PlatformError]:
        """Return a new permit unless another process has taken one since the last."""
        return await self.acquire(group, True)

    async def _take(self, group: str, observed: ObservedPermit) -> Result:
        """Replace an observed permit by one of this process."""
        sent_at = self._seconds()
        value = make_permit_value(self._holder, observed.version)
        value |= {"process": self._process}
        path = PATH_PREFIX + group
        written = await self._client.put(path, value, observed.version)
        if self._eras.era != observed.era:
            # After a restore the write may have replaced another version than seen.
            written = refuse_permit("the store was restored after the permit was read")
        if not isinstance(written, Success):
            # The write may have been carried out, or another process's was.
            self._own_permits.pop(group, None)
            await self.prepare(group)
            return written
        version = written.unwrap()
        self._taken_at[group] = sent_at
        permit = Permit(self._holder, version, sent_at + PERMIT_VALIDITY)
        self._observe(group, PlatformObject(path, version, value, False))
        own = self._own_permits[group] = OwnPermit(permit, sent_at)
        log.info("failover: %s: took permit with token %d.", group, permit.token)
        if not self._is_valid(own):
            return refuse_permit(
                "the permit expired before the store answered its write"
            )
        return Success(permit)

    def _is_followed(self, group: str, observed: ObservedPermit) -> bool:
        """Return whether another process has taken over from this one a moment ago."""
        taken_at = self._taken_at.get(group, NEVER)
        is_recent = self._seconds() - taken_at < RETURN_DELAY
        return is_recent and not self._is_own(observed)

    def _is_own(self, observed: ObservedPermit) -> bool:
        """Return whether a permit was written by this process, or by none."""
        stored = observed.stored
        return stored is None or _get_process(stored) == self._process

    def _observe(self, group: str, stored: PlatformObject | None) -> None:
        """Record the stored permit; an unchanged version retains its `seen_at`."""
        observed, era = self._observed_permits.get(group), self._eras.era
        version = 0 if stored is None else stored.version
        is_same = observed is not None and observed.version == version
        seen_at = observed.seen_at if is_same else self._seconds()
        self._observed_permits[group] = ObservedPermit(stored, seen_at, era)

    def _get_observed(self, group: str) -> ObservedPermit | None:
        """Return the observed permit; None if not seen in the store's current era."""
        last = self._observed_permits.get(group)
        return last if last is not None and last.era == self._eras.era else None

    def _is_valid(self, own: OwnPermit) -> bool:
        """Return whether a call under a permit of this process may start."""
        return self._seconds() - own.sent_at <= PERMIT_VALIDITY

    def _may_take_over(self, observed: ObservedPermit) -> bool:
        """Return whether no other process can still send calls under a permit."""
        if self._eras.age < TAKEOVER_DELAY:
            return False
        if self._is_own(observed):
            return True
        return self._seconds() - observed.seen_at >= TAKEOVER_DELAY


def _get_process(stored: PlatformObject) -> str:
    """Return the process that wrote a permit; empty if it cannot be read."""
    return stored.value.get("process", "") if isinstance(stored.value, dict) else ""
