"""`DatabaseGroup` adapter: control requests as SQL functions over PostgreSQL."""

import math
from random import Random

from returns.result import Failure, Result, Success

from beryltrack.findings import format_finding
from beryltrack.groups.adapter import PromoteReply, StatusWait
from beryltrack.groups.control_connection import (
    ControlConnection,
    Credentials,
    Row,
)
from beryltrack.groups.messages import ControlFailure, DatabaseStatus, GrantReply
from beryltrack.groups.status_rows import parse_flag, parse_status
from beryltrack.settings.messages import DatabaseSettings, GroupSettings

REQUEST_TIMEOUT = 1.0
"""Seconds after which a request fails, beyond the timeout of a long poll."""


class PostgresDatabaseGroup:
    """Control requests as calls of the databases' ``beryltrack_*`` SQL functions.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Source of connections and timers.
    group_settings : GroupSettings
        The group.
    rng : Random
        Source of jitter.
    request_timeout : float
        Seconds after which a request fails, beyond the timeout of a long poll.
    """

    def __init__(
        self,
        reactor,
        group_settings: GroupSettings,
        rng: Random,
        request_timeout: float = REQUEST_TIMEOUT,
    ):
        credentials = Credentials(
            group_settings.user, group_settings.password, group_settings.name
        )
        self._timeout = request_timeout
        self._make = lambda item: ControlConnection(
            reactor, item.name, item.endpoint, credentials, rng
        )
        self._connections: dict[str, ControlConnection] = {}
        self.set_databases(group_settings.databases)

    def set_databases(self, databases: tuple[DatabaseSettings, ...]) -> None:
        """Replace the group's members by those of new settings."""
        names = {item.name for item in databases}
        for name in self._connections.keys() - names:
            self._connections.pop(name).close()
        for item in databases:
            if item.name not in self._connections:
                self._connections[item.name] = self._make(item)

    async def get_status(self, database: str) -> Result[DatabaseStatus, ControlFailure]:
        """Return the status that a database reports now."""
        row = await self._call(database, "beryltrack_status()")
        return row.bind(lambda columns: _make_status(database, columns))

    async def wait_status(
        self, database: str, wait: StatusWait, timeout: float
    ) -> Result[DatabaseStatus, ControlFailure]:
        """Return the status when a condition of `wait` holds, or after `timeout` s."""
        milliseconds = math.ceil(timeout * 1000)
        row = await self._call(
            database,
            f"beryltrack_status_after({wait.term}, {wait.received}, {wait.applied},"
            f" {milliseconds})",
            timeout,
        )
        return row.bind(lambda columns: _make_status(database, columns))

    async def grant(
        self, database: str, term: int, candidate: str, lost_after: float
    ) -> Result[GrantReply, ControlFailure]:
        """Ask a database to promise `term` to `candidate` and to no other."""
        milliseconds = math.ceil(lost_after * 1000)
        row = await self._call(
            database,
            f"beryltrack_grant({term}, {_quote(candidate)}, {milliseconds})",
        )
        return row.bind(
            lambda columns: _make_status(database, columns).map(
                lambda status: GrantReply(parse_flag(columns.get("granted")), status)
            )
        )

    async def promote(
        self, database: str, term: int, candidate: str, token: int = 0
    ) -> Result[PromoteReply, ControlFailure]:
        """Make a database the primary of a term that it granted to `candidate`."""
        row = await self._call(
            database, f"beryltrack_promote({term}, {_quote(candidate)})"
        )
        return row.bind(
            lambda columns: _make_status(database, columns).map(
                lambda status: PromoteReply(parse_flag(columns.get("promoted")), status)
            )
        )

    async def stop_writes(
        self, database: str, term: int
    ) -> Result[DatabaseStatus, ControlFailure]:
        """Make the primary of `term` refuse writes for a while."""
        row = await self._call(database, f"beryltrack_stop_writes({term})")
        return row.bind(lambda columns: _make_status(database, columns))

    async def release(
        self, database: str, send_before: float
    ) -> Result[DatabaseStatus, ControlFailure]:
        """Return the status: these databases follow the highest term on their own."""
        return await self.get_status(database)

    def close(self) -> None:
        """Close all control connections."""
        for connection in self._connections.values():
            connection.close()

    async def _call(
        self, database: str, call: str, wait: float = 0.0
    ) -> Result[Row, ControlFailure]:
        """Return the row that a function call returns."""
        connection = self._connections[database]
        rows = await connection.query(f"SELECT * FROM {call}", self._timeout + wait)
        return rows.bind(
            lambda found: (
                Success(found[0])
                if found
                else Failure(ControlFailure(database, "the answer has no row"))
            )
        )


def _make_status(database: str, row: Row) -> Result[DatabaseStatus, ControlFailure]:
    status, findings = parse_status(row, database)
    if status is None:
        text = "; ".join(map(format_finding, findings))
        return Failure(ControlFailure(database, text))
    return Success(status)


def _quote(text: str) -> str:
    """Return a text as an SQL string literal."""
    return "'" + text.replace("'", "''") + "'"
