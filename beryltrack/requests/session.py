"""The state of a caller's session that request flows need.

It does not depend on the wire protocol. Other state of a session, such as settings
and prepared statements, belongs to the caller's side.
"""

import math
from dataclasses import dataclass
from typing import NamedTuple

from beryltrack.connections.messages import PooledConnection
from beryltrack.connections.task import PoolTask
from beryltrack.groups.messages import LogPosition
from beryltrack.requests.runtime import GroupRuntime
from beryltrack.sessions.tokens import UNKNOWN_TOKEN, SessionToken, get_position


class PinnedTransaction(NamedTuple):
    """The target connection that a caller's open transaction runs on.

    Parameters
    ----------
    runtime : GroupRuntime
        The group.
    database : str
        The database's name.
    pool : PoolTask
        Pool of the connection.
    connection : PooledConnection
        The connection.
    is_read_only : bool
        True if the target permits only reads in the transaction.
    """

    runtime: GroupRuntime
    database: str
    pool: PoolTask
    connection: PooledConnection
    is_read_only: bool


@dataclass
class CallerSession:
    """The mutable state of one caller's session.

    Parameters
    ----------
    token : SessionToken
        Position of the session's confirmed writes, by group.
    is_tracked : bool
        True if the caller supplied a token or declared a new session. Otherwise its
        requests may belong to many sessions, so that earlier writes through this
        connection imply nothing for them.
    pinned : PinnedTransaction or None
        The open transaction.
    has_changed_settings : bool
        True if a setting was changed inside the open transaction.
    has_written : bool
        True if the open transaction may have changed data.
    written_at : float
        Time of the session's last confirmed commit, by the instance's clock.
    opened_by : str
        Identifier of the last request that began outside of a transaction, thus of the
        one that opened the present transaction.
    retry_at : float
        Time from which the caller may retry its refused request, by the instance's
        clock; infinite if its last request was not refused.
    """

    token: SessionToken = UNKNOWN_TOKEN
    is_tracked: bool = False
    pinned: PinnedTransaction | None = None
    has_changed_settings: bool = False
    has_written: bool = False
    written_at: float = -math.inf
    opened_by: str = ""
    retry_at: float = math.inf

    def get_known_position(self, group: str) -> LogPosition | None:
        """Return the position of the session's writes in a group, None if unknown."""
        return get_position(self.token, group) if self.is_tracked else None

    def set_token(self, token: SessionToken) -> None:
        """Adopt a token that the caller supplied."""
        self.token = token
        self.is_tracked = token != UNKNOWN_TOKEN
