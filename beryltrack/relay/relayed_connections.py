"""Connections that go through an owner, and when the owner is given up with one.

An owner that has lost power answers nothing and closes nothing. Without a judgement
of the owner each idle connection to it would cost one more request its time.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Protocol

from beryltrack.connections.messages import PooledConnection
from beryltrack.load.messages import Demand
from beryltrack.load.reports import ToldReport

log = logging.getLogger(__name__)


class RelayedConnection(PooledConnection, Protocol):
    """A connection that tells when anything came over it, by the node's clock.

    `busy` is True while a statement runs on it; `on_useless` is called if the
    instance that it goes through says that it does not reach the database, with True
    if it gives no connections to the group at all. That instance counts the next
    operation unless `is_counted` says that it was counted, and is told of its `demand`.
    `incarnation` is the number of that instance's process, zero if it is of an earlier
    release; `on_report` takes what it tells of its load, and when the statement was
    sent that it came with an answer to.
    """

    heard_at: float
    is_counted: bool
    demand: Demand
    busy: bool
    on_useless: Callable[[bool], object]
    incarnation: int
    on_report: Callable[[ToldReport, float], object]


class ConnectionPool(Protocol):
    """What holds connections, as `DatabaseAccess` does."""

    def get_connections(self) -> tuple[RelayedConnection, ...]:
        """Return all connections that are open."""

    def close_idle(self, connection: RelayedConnection) -> None:
        """Close a connection unless it is lent."""


HasAnswered = Callable[[str, float], bool]


def never_answered(name: str, since: float) -> bool:
    """Return False: an instance is heard over its sessions alone."""
    return False


def is_silent(
    connection: RelayedConnection,
    pools: Iterable[ConnectionPool],
    was_heard: HasAnswered = never_answered,
) -> bool:
    """Return whether nothing came from an owner since a connection's request was sent.

    A connection straight to a database is not judged by this. Where few statements go
    to an owner, one that waits for a database that hangs says nothing of the owner:
    `was_heard` tells whether it answered elsewhere since a time.
    """
    since, way = connection.run_since, connection.way
    if not way or since is None or was_heard(way, since):
        return False
    return not any(
        each.heard_at > since
        for pool in pools
        for each in pool.get_connections()
        if each.way == way
    )


def close_overdue(
    connection: RelayedConnection,
    pools: Iterable[ConnectionPool],
    was_heard: HasAnswered = never_answered,
) -> str:
    """Close a connection whose request is far too late.

    Parameters
    ----------
    connection : RelayedConnection
        The connection.
    pools : iterable of ConnectionPool
        All pools of this instance.
    was_heard : callable
        Says of an instance whether it has answered elsewhere since a time.

    Returns
    -------
    str
        The owner to ask no more for a while, as nothing came from it since the
        request was sent; its idle connections are closed. Empty if there is none.
    """
    pools = tuple(pools)
    must_leave = is_silent(connection, pools, was_heard)
    connection.close()
    if not must_leave:
        return ""
    log.warning("relay: %s does not answer, others are asked.", connection.way)
    for pool in pools:
        for each in pool.get_connections():
            if each.way == connection.way:
                pool.close_idle(each)
    return connection.way
