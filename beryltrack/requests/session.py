"""The state of a caller's session that the course of a request needs.

It knows no wire protocol: what a session keeps beside this, such as settings
and prepared statements, is the concern of the caller's side.
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
        Where the connection came from.
    connection : PooledConnection
        The connection.
    is_read_only : bool
        True if the target holds the transaction to reading.
    """

    runtime: GroupRuntime
    database: str
    pool: PoolTask
    connection: PooledConnection
    is_read_only: bool


@dataclass
class CallerSession:
    """The changing state of one caller's session.

    Parameters
    ----------
    token : SessionToken
        What the session is known to have written.
    is_tracked : bool
        True if the caller handed in a token or declared a new session. Without
        that its requests may belong to many sessions, so that nothing can be
        concluded from what was written here before.
    pinned : PinnedTransaction or None
        The open transaction.
    has_changed_settings : bool
        True if a setting was changed inside of the open transaction.
    has_written : bool
        True if the open transaction may have changed data.
    written_at : float
        When the session's last commit was confirmed, by the node's clock.
    opened_by : str
        Identifier of the last request that began outside of a transaction; it opened
        the one that is open.
    retry_at : float
        When its caller was told to come back, by the node's clock; infinite if its last
        request was not refused.
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
        """Return what the session has written in a group, None if unknown."""
        return get_position(self.token, group) if self.is_tracked else None

    def set_token(self, token: SessionToken) -> None:
        """Take a token that the caller handed in."""
        self.token = token
        self.is_tracked = token != UNKNOWN_TOKEN
