"""Connections that go through an owner, and when the owner is given up with one.

An owner that has lost power answers nothing and closes nothing. Without a judgement
of the owner each idle connection to it would cost one more request its time.
"""

import logging
from collections.abc import Iterable
from typing import Protocol

from beryltrack.connections.messages import PooledConnection
from beryltrack.connections.task import PoolTask

log = logging.getLogger(__name__)


class RelayedConnection(PooledConnection, Protocol):
    """A connection that tells when anything came over it, by the node's clock."""

    heard_at: float


def give_up(connection: RelayedConnection, pools: Iterable[PoolTask]) -> str:
    """Close a connection whose request is far too late.

    Parameters
    ----------
    connection : RelayedConnection
        The connection.
    pools : iterable of PoolTask
        All pools of this instance.

    Returns
    -------
    str
        The owner to ask no more for a while, as nothing came from it since the
        request was sent; its idle connections are closed. Empty if there is none.
    """
    since, way = connection.run_since, connection.way
    connection.close()
    if not way:
        return ""
    same = [
        (pool, each)
        for pool in pools
        for each in pool.get_connections()
        if each.way == way
    ]
    if since is None or any(each.heard_at > since for _, each in same):
        return ""
    log.warning("relay: %s does not answer, others are asked.", way)
    for pool, each in same:
        pool.close_idle(each)
    return way
