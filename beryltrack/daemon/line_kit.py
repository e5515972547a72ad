"""The parts of a group whose databases speak the users' line protocol."""

import random

from twisted.internet.defer import Deferred

from beryltrack.connections.task import PoolTask
from beryltrack.daemon import node_options as options
from beryltrack.failover.authority import PromotionAuthority
from beryltrack.groups.task import GroupTask
from beryltrack.platform.group import LineDatabaseGroup
from beryltrack.platform.promotion import PromotionCalls
from beryltrack.platform.target import LineTarget, connect_line_target
from beryltrack.settings.messages import DatabaseSettings, GroupSettings


class LineKit:
    """Makes the tasks and pools of groups; see `TargetKit`.

    Parameters
    ----------
    reactor : reactor
        Source of sockets and timers.
    node_name : str
        Name of this instance.
    promotion : PromotionCalls
        The service that carries out promotions.
    authority : PromotionAuthority
        Gives the permits to promote.
    rng : random.Random
        Source of jitter.
    """

    keeps_members = True
    losses = options.LOSSES

    def __init__(
        self,
        reactor,
        node_name: str,
        promotion: PromotionCalls,
        authority: PromotionAuthority,
        rng: random.Random,
    ):
        self.share_limit = 1
        self._reactor = reactor
        self._node_name = node_name
        self._promotion = promotion
        self._authority = authority
        self._rng = rng

    def make_task(self, group: GroupSettings) -> GroupTask:
        """Return the task that watches a group."""
        adapter = LineDatabaseGroup(
            self._reactor, group, self._promotion, options.CONTROL
        )
        return GroupTask(
            self._reactor,
            group,
            adapter,
            self._node_name,
            self._rng,
            options.PROBES,
            authority=self._authority,
            failover_policy=options.FAILOVER,
        )

    def make_pool(self, group: GroupSettings, database: DatabaseSettings) -> PoolTask:
        """Return the pool of one database."""

        def connect() -> Deferred[LineTarget]:
            return connect_line_target(
                self._reactor,
                database.endpoint,
                group.name,
                database.name,
                options.CONNECT_TIMEOUT,
                options.TARGET_SOCKETS,
            )

        return PoolTask(
            self._reactor,
            database,
            connect,
            options.POOLS,
            limit=self.share_limit,
            rng=self._rng,
        )
