"""Who may promote: a permit with a fencing token, kept in the object store.

Where databases themselves arbitrate by terms no permit is needed. Where an
outside authority carries out promotions, it refuses a call whose token is lower
than one it has seen, so that a call that is carried out late cannot undo a newer
promotion. The permit is taken before it is needed and has no end: it passes on
when another instance takes it with the next token. So it costs no call while
nothing happens, and a primary can be replaced while the store is down. An authority
that refuses nothing needs other permits: see `failover.unfenced_authority`.
"""

import logging
from typing import NamedTuple, Protocol

from returns.result import Failure, Result, Success

from beryltrack.failover.primary_records import ObjectClient
from beryltrack.objects.eras import EraTracker
from beryltrack.objects.messages import ErrorKind, PlatformError

log = logging.getLogger(__name__)

PATH_PREFIX = "permits/"

MAX_TAKE_ATTEMPTS = 3
"""Attempts to take a permit; each one that fails has met another's."""


class Permit(NamedTuple):
    """The right to promote databases of one group.

    Parameters
    ----------
    holder : str
        Name of the instance that holds it.
    token : int
        Fencing token: the version of the write by which the permit was taken. No
        version is given to two writes, also where the store was restored from a backup
        and has forgotten the last ones, or a write of before is carried out late.
    """

    holder: str
    token: int


class PromotionAuthority(Protocol):
    """Gives the permit under which an instance promotes.

    `keeps_permits` is True if a permit is taken before it is needed, and kept.
    """

    keeps_permits: bool

    def holds(self, group: str) -> bool:
        """Return whether this instance holds the permit as far as it knows."""

    async def acquire(self, group: str, renew: bool) -> Result[Permit, PlatformError]:
        """Return a permit; with a new token if `renew`."""

    def drop(self, group: str) -> None:
        """Note that another instance's permit has overtaken this one's."""

    async def prepare(self, group: str) -> None:
        """Do beforehand what can be done for a change of primary that is due."""


class StoreAuthority:
    """Permits as objects that are changed on condition.

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
        """Note that another instance's permit has overtaken this one's."""
        self._permits.pop(group, None)

    async def prepare(self, group: str) -> None:
        """Do nothing: the first in rank holds the permit already."""

    async def acquire(self, group: str, renew: bool) -> Result[Permit, PlatformError]:
        """Return a permit of a group.

        Parameters
        ----------
        group : str
            The group.
        renew : bool
            True to take it anew with the next token, so that calls under the
            one before are fenced off.

        Returns
        -------
        Result of Permit or PlatformError
            The permit that this instance held before is given if the store
            cannot be asked for another.
        """
        held = self._permits.get(group)
        if held is not None and not renew:
            return Success(held)
        result = await self._take(group)
        if isinstance(result, Success):
            self._permits[group] = result.unwrap()
            return result
        if held is not None and result.failure().kind is ErrorKind.REFUSED:
            log.warning("failover: The permit of %s stays, no store.", group)
            return Success(held)
        return result

    async def _take(self, group: str) -> Result[Permit, PlatformError]:
        """Write the permit with the next token."""
        path = PATH_PREFIX + group
        failure: Result = Failure(PlatformError(ErrorKind.CONFLICT, "taken by others"))
        for _ in range(MAX_TAKE_ATTEMPTS):
            found = await self._client.get(path)
            if not isinstance(found, Success):
                return found
            kept, era = found.unwrap(), self._eras.era
            version = 0 if kept is None else kept.version
            value = make_permit_value(self._holder, version)
            written = await self._client.put(path, value, version)
            if self._eras.era != era:
                # What was read may not have been what the write replaced.
                continue
            if isinstance(written, Success):
                permit = Permit(self._holder, written.unwrap())
                log.info("failover: %s: permit with token %d.", group, permit.token)
                return Success(permit)
            failure = written
            if written.failure().kind is ErrorKind.INVALID:
                break
        return failure


def make_permit_value(holder: str, after: int) -> dict[str, object]:
    """Return the stored form of a permit.

    It names the version that it follows, as a write that changes nothing would be
    given no version of its own.
    """
    return {"holder": holder, "after": after}
