"""Connections that are relayed by an owner, and the detection of silent owners.

An owner that has lost power neither answers nor closes its connections. If an overdue
request closed only its own connection, each idle connection to that owner would delay
one more request.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Protocol

from beryltrack.connections.messages import PooledConnection
from beryltrack.load.messages import Demand
from beryltrack.load.reports import TimedReport

log = logging.getLogger(__name__)


class RelayedConnection(PooledConnection, Protocol):
    """A connection to a database, direct or relayed by another instance.

    `last_received_at` is when bytes last arrived, in seconds of the instance's clock;
    `busy` is True while a statement runs. The relaying instance counts the next
    operation unless `is_counted` is True, and is sent its `demand`. `incarnation` is
    the number of that instance's process, zero for an earlier release.

    `on_target_unreachable` is called when the relaying instance answers that it does
    not reach the database, with True if it lends no connections to the group at all.
    `on_report` is called with each load report, and with the time at which the
    statement was sent whose answer the report came with.
    """

    last_received_at: float
    is_counted: bool
    demand: Demand
    busy: bool
    on_target_unreachable: Callable[[bool], object]
    incarnation: int
    on_report: Callable[[TimedReport, float], object]


class ConnectionPool(Protocol):
    """A holder of connections, such as `DatabaseAccess`."""

    def get_connections(self) -> tuple[RelayedConnection, ...]:
        """Return all connections that are open."""

    def close_idle(self, connection: RelayedConnection) -> None:
        """Close a connection unless it is lent."""


HasAnswered = Callable[[str, float], bool]


def never_answered(name: str, since: float) -> bool:
    """Return False: only the sessions of an instance show whether it answers."""
    return False


def is_silent(
    connection: RelayedConnection,
    pools: Iterable[ConnectionPool],
    has_answered: HasAnswered = never_answered,
) -> bool:
    """Return whether an owner has sent nothing since a connection's request was sent.

    Always False for a direct connection. An owner that relays few statements may be
    silent only because its database hangs, so `has_answered` says whether it has
    answered this instance elsewhere since a time.
    """
    since, via = connection.run_since, connection.via
    if not via or since is None or has_answered(via, since):
        return False
    return not any(
        each.last_received_at > since
        for pool in pools
        for each in pool.get_connections()
        if each.via == via
    )


def close_overdue(
    connection: RelayedConnection,
    pools: Iterable[ConnectionPool],
    has_answered: HasAnswered = never_answered,
) -> str:
    """Close a connection whose request is long overdue.

    Parameters
    ----------
    connection : RelayedConnection
        The connection.
    pools : iterable of ConnectionPool
        All pools of this instance.
    has_answered : callable
        Returns whether an instance has answered elsewhere since a time.

    Returns
    -------
    str
        The owner to avoid, as it has sent nothing since the request was sent; its idle
        connections are closed. Empty if there is no such owner.
    """
    pools = tuple(pools)
    is_owner_silent = is_silent(connection, pools, has_answered)
    connection.close()
    if not is_owner_silent:
        return ""
    log.warning(
        "relay: %s does not answer; closing its idle connections and using other "
        "owners.",
        connection.via,
    )
    for pool in pools:
        for each in pool.get_connections():
            if each.via == connection.via:
                pool.close_idle(each)
    return connection.via
