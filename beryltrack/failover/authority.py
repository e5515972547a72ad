"""Permits to promote databases of a group, as fencing tokens in the object store.

A permit is the right to promote databases of one group; it carries a fencing token.
Databases that arbitrate by terms themselves need none. Where an external service
carries out promotions, it refuses a call whose token is lower than one it has seen, so
that a delayed call cannot undo a newer promotion. An instance takes the permit in
advance, and it does not expire: it is valid until another instance takes it with the
next token. It thus costs no calls while nothing changes, and a primary can be replaced
while the store is down. For a service that checks no tokens see
`failover.unfenced_authority`.
"""

import logging
import math
from typing import NamedTuple, Protocol

from returns.result import Failure, Result, Success

from beryltrack.failover.primary_records import ObjectClient
from beryltrack.objects.eras import EraTracker
from beryltrack.objects.messages import ErrorKind, PlatformError

log = logging.getLogger(__name__)

PATH_PREFIX = "permits/"

MAX_TAKE_ATTEMPTS = 3
"""Attempts to write a permit; a failed one usually lost a race to another instance."""


class Permit(NamedTuple):
    """The right to promote databases of one group.

    Parameters
    ----------
    holder : str
        Name of the instance that holds it.
    token : int
        Fencing token: the version of the write that took the permit. The store gives
        no version to two writes, even if a restore from a backup lost the last ones or
        a write from before the restore is carried out late.
    valid_until : float
        Time of the instance's clock until which no other instance acts for the group,
        seconds; infinite if permits do not expire.
    """

    holder: str
    token: int
    valid_until: float = math.inf


class PromotionAuthority(Protocol):
    """Issues the permit under which an instance promotes.

    `keeps_permits` is True if a permit is taken in advance and held until another
    instance takes it.
    """

    keeps_permits: bool

    def holds(self, group: str) -> bool:
        """Return whether this instance holds the permit as far as it knows."""

    async def acquire(self, group: str, renew: bool) -> Result[Permit, PlatformError]:
        """Return a permit; with a new token if `renew`."""

    async def confirm(self, group: str) -> Result[Permit, PlatformError]:
        """Return this instance's permit unless another instance has taken a newer one.

        Where permits are held until another instance takes them, the instance keeps
        its permit while the store is unavailable.
        """

    def drop(self, group: str) -> None:
        """Discard this instance's permit: another instance has taken a newer one."""

    async def prepare(self, group: str) -> None:
        """Do in advance what the permit for a coming promotion needs."""


class StoreAuthority:
    """Permits as objects in the store, taken by compare-and-set; none expires.

    Parameters
    ----------
    client : ObjectClient
        The object store.
    holder : str
        Name of this instance.
    eras : EraTracker, optional
        The era of the store; without it the store never loses what it acknowledged.
    """

    keeps_permits = True

    def __init__(
        self, client: ObjectClient, holder: str, eras: EraTracker | None = None
    ):
        self._client = client
        self._holder = holder
        self._eras = eras or EraTracker()
        self._permits: dict[str, Permit] = {}

    def holds(self, group: str) -> bool:
        """Return whether this instance holds the permit as far as it knows."""
        return group in self._permits

    def drop(self, group: str) -> None:
        """Discard this instance's permit: another instance has taken a newer one."""
        self._permits.pop(group, None)

    async def prepare(self, group: str) -> None:
        """Do nothing: the instance that is first in rank already holds the permit."""

    async def acquire(self, group: str, renew: bool) -> Result[Permit, PlatformError]:
        """Return a permit of a group.

        Parameters
        ----------
        group : str
            The group.
        renew : bool
            True to take it again with the next token, so that calls under the
            previous token are fenced off.

        Returns
        -------
        Result of Permit or PlatformError
            The permit that this instance already holds if the store refuses the
            calls for another (`ErrorKind.REFUSED`).
        """
        held = self._permits.get(group)
        if held is not None and not renew:
            return Success(held)
        result = await self._take(group)
        if isinstance(result, Success):
            self._permits[group] = result.unwrap()
            return result
        if held is not None and result.failure().kind is ErrorKind.REFUSED:
            log.warning(
                "failover: %s: store issued no new permit; keeping token %d.",
                group,
                held.token,
            )
            return Success(held)
        return result

    async def confirm(self, group: str) -> Result[Permit, PlatformError]:
        """Return this instance's permit unless another instance has taken a newer one.

        The permit is written again on the condition that nobody has taken it since.
        """
        held, era = self._permits.get(group), self._eras.era
        if held is None:
            return refuse_permit("another instance has taken the permit")
        path = PATH_PREFIX + group
        value = make_permit_value(self._holder, held.token)
        written = await self._client.put(path, value, held.token)
        if self._eras.era != era:
            return refuse_permit(
                "the store was restored while the permit was confirmed"
            )
        if not isinstance(written, Success):
            if written.failure().kind is not ErrorKind.CONFLICT:
                return Success(held)
            return await self._confirm_stored(group)
        self._permits[group] = Permit(self._holder, written.unwrap())
        return Success(self._permits[group])

    async def _confirm_stored(self, group: str) -> Result[Permit, PlatformError]:
        """Return the stored permit if this instance wrote it without an answer."""
        found = await self._client.get(PATH_PREFIX + group)
        stored = found.value_or(None)
        value = stored.value if stored is not None else None
        if not isinstance(value, dict) or value.get("holder") != self._holder:
            self.drop(group)
            return refuse_permit("another instance has taken the permit")
        self._permits[group] = Permit(self._holder, stored.version)
        return Success(self._permits[group])

    async def _take(self, group: str) -> Result[Permit, PlatformError]:
        """Write the permit with the next token."""
        path = PATH_PREFIX + group
        failure: Result = Failure(
            PlatformError(ErrorKind.CONFLICT, "other instances took it first")
        )
        for _ in range(MAX_TAKE_ATTEMPTS):
            found = await self._client.get(path)
            if not isinstance(found, Success):
                return found
            stored, era = found.unwrap(), self._eras.era
            version = 0 if stored is None else stored.version
            value = make_permit_value(self._holder, version)
            written = await self._client.put(path, value, version)
            if self._eras.era != era:
                # After a restore the write may have replaced another version than
                # the one that was read.
                continue
            if isinstance(written, Success):
                permit = Permit(self._holder, written.unwrap())
                log.info(
                    "failover: %s: took permit with token %d.", group, permit.token
                )
                return Success(permit)
            failure = written
            if written.failure().kind is ErrorKind.INVALID:
                break
        return failure


def refuse_permit(text: str) -> Result:
    """Return the failure to get or confirm a permit, with its reason."""
    return Failure(PlatformError(ErrorKind.REFUSED, text))


def make_permit_value(holder: str, after: int) -> dict[str, object]:
    """Return the stored form of a permit.

    It contains the version that it replaces, because the store assigns no new version
    to a write that leaves the value unchanged.
    """
    return {"holder": holder, "after": after}
