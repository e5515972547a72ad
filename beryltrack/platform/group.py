"""Control requests to the databases of a group over the line protocol.

PAUSE and RESUME set and end a hold; the platform's service carries out promotions.
"""

import math
from typing import NamedTuple

from returns.result import Failure, Result, Success
from twisted.internet.defer import TimeoutError

from beryltrack.connections.messages import ConnectRefused, TargetLost
from beryltrack.errors import CANNOT_CONNECT_NOW
from beryltrack.groups.adapter import PromoteReply, StatusWait
from beryltrack.groups.control_calls import ControlCalls, RequestExpired
from beryltrack.groups.messages import (
    PRIMARY,
    ControlFailure,
    DatabaseStatus,
    GrantReply,
    LogPosition,
)
from beryltrack.objects.messages import ErrorKind
from beryltrack.platform import lines
from beryltrack.platform.promotion import PromotionClient
from beryltrack.settings.incarnations import get_identifier
from beryltrack.settings.messages import DatabaseSettings, GroupSettings
from beryltrack.wire.messages import ResponseEnd

StatusResult = Result[DatabaseStatus, ControlFailure]


class StatusRow(NamedTuple):
    """The fields of the row with which a database answers control requests.

    Parameters
    ----------
    role : str
        The database's own view of its role.
    term : int
        The term of the last primary that it followed.
    received : LogPosition
        The last entry in its log.
    held_term : int
        The term that its hold promises, for which it stopped receiving; 0 for none.
    """

    role: str
    term: int
    received: LogPosition
    held_term: int


def parse_row(line: bytes) -> StatusRow | None:
    """Return the fields of a database's row, None if it is malformed."""
    fields = line.split()
    if len(fields) < 5 or not (fields[2].isdigit() and fields[4].isdigit()):
        return None
    try:
        received = lines.parse_position(fields[3])
    except lines.LineError:
        return None
    if received is None:
        return None
    return StatusRow(fields[1].decode(), int(fields[2]), received, int(fields[4]))


def format_row(status: DatabaseStatus) -> bytes:
    """Return the row that reports a database's status to another instance."""
    term, held_term = status.term, 0
    if status.is_held:
        term, held_term = status.received.term, status.term
    fields = (status.role.encode(), term, *status.received, held_term)
    return b"DATAROW %s %d %d.%d %d\r\n" % fields


class LineDatabaseGroup:
    """The databases of one group; see `DatabaseGroup`.

    Parameters
    ----------
    group : GroupSettings
        The group.
    promotion : PromotionClient
        The service that carries out promotions.
    calls : ControlCalls
        Sends control requests.
    is_role_fenced : bool
        True if a promotion takes the role from the former primary at once.
    """

    def __init__(
        self,
        group: GroupSettings,
        promotion: PromotionClient,
        calls: ControlCalls,
        is_role_fenced: bool = True,
    ):
        self._is_role_fenced = is_role_fenced
        self._group = group.name
        self._promotion = promotion
        self._calls = calls
        self.set_databases(group.databases)

    def set_databases(self, databases: tuple[DatabaseSettings, ...]) -> None:
        """Replace the group's members by those of new settings."""
        self._calls.set_databases(databases)

    async def get_status(self, database: str) -> StatusResult:
        """Return the status that a database reports now."""
        return await self._call(database, b"STATUS")

    async def wait_status(
        self, database: str, wait: StatusWait, timeout: float
    ) -> StatusResult:
        """Return the status without a wait, as these databases answer at once."""
        return await self.get_status(database)

    async def grant(
        self, database: str, term: int, candidate: str, lost_after: float
    ) -> Result[GrantReply, ControlFailure]:
        """Put a replica on hold for a term: it receives nothing more.

        A primary accepts no hold. It counts as granting unless the election is due to
        its loss, as it either stays primary or has just been stepped down.
        """
        result = await self._call(database, b"PAUSE %d" % term)
        return result.map(
            lambda status: GrantReply(_has_granted(status, term, lost_after), status)
        )

    async def promote(
        self, database: str, term: int, candidate: str, token: int
    ) -> Result[PromoteReply, ControlFailure]:
        """Request that the platform makes a database the primary."""
        identifier = get_identifier(database)
        called = await self._promotion.promote(self._group, identifier, token)
        if not isinstance(called, Success):
            error = called.failure()
            if error.kind is not ErrorKind.CONFLICT:
                return Failure(ControlFailure(database, error.text))
        status = await self.get_status(database)
        is_accepted = isinstance(called, Success)
        return status.map(lambda item: PromoteReply(is_accepted, item))

    async def stop_writes(self, database: str, term: int) -> StatusResult:
        """Make the primary of `term` a replica."""
        return await self._call(database, b"STEPDOWN %d" % (term + 1))

    async def release(self, database: str, send_before: float) -> StatusResult:
        """End the hold of a replica: it receives again."""
        return await self._call(database, b"RESUME", send_before)

    def set_allowed_vias(self, vias: tuple[str, ...]) -> None:
        """Replace the connections through owners that are not in `vias`."""
        self._calls.set_allowed_vias(vias)

    def close(self) -> None:
        """Close all control connections."""
        self._calls.close()

    async def _call(
        self, database: str, text: bytes, send_before: float = math.inf
    ) -> StatusResult:
        """Send one control request and parse the row of its answer."""
        try:
            wire = lines.format_query(lines.NO_ID, text)
            rows, end = await self._calls.call(database, wire, send_before)
        except ConnectRefused as refused:
            is_answered = refused.sqlstate != CANNOT_CONNECT_NOW
            return Failure(ControlFailure(database, str(refused), is_answered))
        except (RequestExpired, TargetLost, TimeoutError, OSError) as error:
            return Failure(ControlFailure(database, f"no answer: {error}"))
        return _make_status(database, rows, end, self._is_role_fenced)


def _has_granted(status: DatabaseStatus, term: int, lost_after: float) -> bool:
    """Return whether a database grants a term."""
    if status.role == PRIMARY:
        return not lost_after
    return status.is_held and status.term >= term


def _make_status(
    database: str, rows: bytes, end: ResponseEnd, is_role_fenced: bool
) -> StatusResult:
    """Return the status in an answer."""
    if end.error is not None:
        # A database that refuses for lack of a slot works. A refusal by an owner that
        # does not reach the database does not show that.
        is_answered = end.error.sqlstate != CANNOT_CONNECT_NOW
        return Failure(ControlFailure(database, end.error.message, is_answered))
    row = parse_row(rows)
    if row is None or end.position is None:
        return Failure(ControlFailure(database, "malformed status"))
    status = DatabaseStatus(
        database,
        row.role,
        max(row.term, row.held_term),
        row.received,
        end.position,
        (),
        None,
        False,
        row.held_term > row.term,
        is_role_fenced,
    )
    return Success(status)
