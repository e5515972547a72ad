"""Adapter interface for control requests to the databases of a group.

`DatabaseGroup` hides everything that is specific to one kind of database. A group
that chooses its primary in another way needs another adapter and another
`LeadershipProof`, and no change elsewhere.
"""

from typing import NamedTuple, Protocol

from returns.result import Result

from beryltrack.groups.messages import ControlFailure, DatabaseStatus, GrantReply
from beryltrack.settings.messages import DatabaseSettings

NO_WAIT = -1
"""Offset in a `StatusWait` that means no condition."""


class StatusWait(NamedTuple):
    """Conditions of a long poll for a status; the first one that holds ends it.

    Parameters
    ----------
    term : int
        The wait ends when the database's term differs from this one.
    received : int
        The wait ends when this offset is received; `NO_WAIT` for none.
    applied : int
        The wait ends when this offset is applied; `NO_WAIT` for none.
    """

    term: int
    received: int = NO_WAIT
    applied: int = NO_WAIT


class PromoteReply(NamedTuple):
    """A database's answer to a promotion.

    Parameters
    ----------
    promoted : bool
        True if the database is the primary of the term now.
    status : DatabaseStatus
        Its state immediately after the decision.
    """

    promoted: bool
    status: DatabaseStatus


class ControlLimits(NamedTuple):
    """Time limits of control requests.

    Parameters
    ----------
    request_timeout : float
        Seconds until a request counts as failed.
    reconnect_after : float
        Seconds without an answer after which a reused connection is closed and the
        request is sent over a new one, within `request_timeout`.
    relayed_factor : float
        Factor of both limits for requests that an owner forwards. The owner answers
        earlier requests first, and itself decides whether the database is silent.
    """

    request_timeout: float
    reconnect_after: float
    relayed_factor: float = 1.0


class DatabaseGroup(Protocol):
    """Control requests to the databases of one group.

    Each coroutine returns a `returns` result and raises nothing. Requests to one
    database are answered in the order in which they were made. A request that
    is not answered within the adapter's own time limit fails.
    """

    async def get_status(self, database: str) -> Result[DatabaseStatus, ControlFailure]:
        """Return the status that a database reports now."""

    async def wait_status(
        self, database: str, wait: StatusWait, timeout: float
    ) -> Result[DatabaseStatus, ControlFailure]:
        """Return the status when a condition of `wait` holds, or after `timeout` s."""

    async def grant(
        self, database: str, term: int, candidate: str, lost_after: float
    ) -> Result[GrantReply, ControlFailure]:
        """Ask a database to promise `term` to `candidate` and to no other.

        A database that heard from its primary within `lost_after` seconds may refuse.
        """

    async def promote(
        self, database: str, term: int, candidate: str, token: int
    ) -> Result[PromoteReply, ControlFailure]:
        """Make a database the primary of a term that it granted to `candidate`.

        `token` is the fencing token of the permit, where one is needed. The
        promotion may take effect some time after the answer.
        """

    async def stop_writes(
        self, database: str, term: int
    ) -> Result[DatabaseStatus, ControlFailure]:
        """Make the primary of `term` refuse writes for a while."""

    async def release(
        self, database: str, send_before: float
    ) -> Result[DatabaseStatus, ControlFailure]:
        """End the hold of a database that granted a term: it follows its primary.

        Fails without being sent after `send_before`, seconds of the instance's clock:
        a later request could end the hold of another election.
        """

    def set_databases(self, databases: tuple[DatabaseSettings, ...]) -> None:
        """Replace the group's members by those of new settings."""

    def close(self) -> None:
        """Close all control connections."""
