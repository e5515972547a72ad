"""Creates the parts of groups whose databases speak the PostgreSQL protocol."""

import random

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from beryltrack.connections.messages import ConnectRefused
from beryltrack.connections.target import TargetConnection, connect_target
from beryltrack.connections.task import PoolTask
from beryltrack.daemon.groups import NO_SHARE
from beryltrack.errors import SqlException
from beryltrack.groups.postgres_adapter import PostgresDatabaseGroup
from beryltrack.groups.task import GroupTask
from beryltrack.requests.losses import DEFAULT_POLICY
from beryltrack.settings.messages import DatabaseSettings, GroupSettings

CONNECT_TIMEOUT = 5.0
"""Seconds until a new connection to a target counts as failed."""


class PostgresGroupFactory:
    """Creates the tasks and pools of PostgreSQL groups; see `GroupFactory`.

    Parameters
    ----------
    reactor : reactor
        Source of sockets and timers.
    instance_name : str
        Name of this instance.
    rng : random.Random
        Source of jitter.
    """

    supports_member_changes = False
    losses = DEFAULT_POLICY

    def __init__(self, reactor, instance_name: str, rng: random.Random):
        self._reactor = reactor
        self._instance_name = instance_name
        self._rng = rng

    def make_task(self, group: GroupSettings) -> GroupTask:
        """Return the task that watches a group."""
        adapter = PostgresDatabaseGroup(self._reactor, group, self._rng)
        return GroupTask(self._reactor, group, adapter, self._instance_name, self._rng)

    def make_pool(self, group: GroupSettings, database: DatabaseSettings) -> PoolTask:
        """Return the pool of one database."""

        def connect(account: str) -> Deferred[TargetConnection]:
            connecting = connect_target(
                self._reactor,
                database.endpoint,
                group.name,
                group.user,
                group.password,
                CONNECT_TIMEOUT,
            )
            return connecting.addErrback(_translate_refusal)

        return PoolTask(self._reactor, database, connect, limit=NO_SHARE, rng=self._rng)


def _translate_refusal(failure: Failure) -> Failure:
    """Convert a target's refusal of a connection to the error that pools expect."""
    if failure.check(SqlException):
        return Failure(ConnectRefused(failure.value.error.sqlstate))
    return failure
