"""The seam between beryltrack and what a database group offers.

Everything that is particular to one kind of database stands behind the
protocol `DatabaseGroup`. A group that arbitrates its primary otherwise needs
another adapter and another proof, and no change elsewhere.
"""

from typing import NamedTuple, Protocol

from returns.result import Result

from beryltrack.groups.messages import ControlFailure, DatabaseStatus, GrantReply
from beryltrack.settings.messages import DatabaseSettings

NO_WAIT = -1


class StatusWait(NamedTuple):
    """What a status is waited for. The first change that comes ends the wait.

    Parameters
    ----------
    term : int
        The wait ends when the database's term is another one.
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
        True if the database leads the term now.
    status : DatabaseStatus
        Its state just after the decision.
    """

    promoted: bool
    status: DatabaseStatus


class ControlLimits(NamedTuple):
    """Times of control requests.

    Parameters
    ----------
    request_timeout : float
        Seconds until a request counts as failed.
    reconnect_after : float
        Seconds without an answer after which a connection that was open before is
        given up and the request is sent over a new one, within the same limit.
    relayed_factor : float
        Factor of both for requests that an owner passes on: it answers the ones
        before, and judges itself whether the database is silent.
    """

    request_timeout: float
    reconnect_after: float
    relayed_factor: float = 1.0


class DatabaseGroup(Protocol):
    """Control requests to the databases of one group.

    Each coroutine gives a `returns` result and raises nothing. Requests to one
    database are answered in the order in which they were made. A request that
    is not answered within the adapter's own time limit fails.
    """

    async def get_status(self, database: str) -> Result[DatabaseStatus, ControlFailure]:
        """Return what a database says of itself now."""

    async def wait_status(
        self, database: str, wait: StatusWait, timeout: float
    ) -> Result[DatabaseStatus, ControlFailure]:
        """Return the status when `wait` is over, or after `timeout` seconds."""

    async def grant(
        self, database: str, term: int, candidate: str, lost_after: float
    ) -> Result[GrantReply, ControlFailure]:
        """Ask a database to promise `term` to one candidate alone."""

    async def promote(
        self, database: str, term: int, candidate: str, token: int
    ) -> Result[PromoteReply, ControlFailure]:
        """Make a database the primary of a term that it granted to `candidate`.

        `token` is the fencing token of the permit, where one is needed. The
        database may lead only some time after the answer.
        """

    async def stop_writes(
        self, database: str, term: int
    ) -> Result[DatabaseStatus, ControlFailure]:
        """Let the primary of `term` take no more writes for a while."""

    async def release(self, database: str) -> Result[DatabaseStatus, ControlFailure]:
        """Let a database that granted a term follow its primary again."""

    def set_databases(self, databases: tuple[DatabaseSettings, ...]) -> None:
        """Take the group's members from new settings."""

    def close(self) -> None:
        """Close all control connections."""
