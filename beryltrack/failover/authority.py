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

from beryltrack.failover.hints import ObjectClient
from beryltrack.objects.messages import ErrorKind, PlatformError, PlatformObject

log = logging.getLogger(__name__)

PATH_PREFIX = "permits/"

TAKE_TRIES = 3
"""Attempts to take a permit; each one that fails has met another's."""


class Permit(NamedTuple):
    """The right to promote databases of one group.

    Parameters
    ----------
    holder : str
        Name of the instance that holds it.
    token : int
        Fencing token; grows each time that the permit is taken.
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
    """

    keeps_permits = True

    def __init__(self, client: ObjectClient, holder: str):
        self._client = client
        self._holder = holder
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
        for _ in range(TAKE_TRIES):
            found = await self._client.get(path)
            if not isinstance(found, Success):
                return found
            kept = found.unwrap()
            permit = Permit(self._holder, get_token(kept) + 1)
            version = 0 if kept is None else kept.version
            written = await self._client.put(path, permit._asdict(), version)
            if isinstance(written, Success):
                log.info("failover: %s: permit with token %d.", group, permit.token)
                return Success(permit)
            failure = written
            if written.failure().kind is ErrorKind.INVALID:
                break
        return failure


def get_token(kept: PlatformObject | None) -> int:
    """Return the token of a stored permit; 0 if there is none yet."""
    value = kept.value if kept is not None else None
    token = value.get("token") if isinstance(value, dict) else None
    return token if isinstance(token, int) else 0
