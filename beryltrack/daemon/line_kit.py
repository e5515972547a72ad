"""The parts of a group whose databases speak the users' line protocol."""

import random
from weakref import WeakValueDictionary

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from beryltrack.connections.task import PoolTask
from beryltrack.daemon import node_options as options
from beryltrack.failover.authority import PromotionAuthority
from beryltrack.groups.control_calls import ControlCalls
from beryltrack.groups.messages import LeadProof
from beryltrack.groups.task import GroupTask
from beryltrack.platform.group import LineDatabaseGroup
from beryltrack.platform.promotion import PromotionCalls
from beryltrack.platform.target import LineTarget, connect_line_target
from beryltrack.relay.directory import RelayDirectory
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
    directory : RelayDirectory
        Says through which instance a connection goes.
    rng : random.Random
        Source of jitter.
    is_fenced : bool
        True if promotions are fenced, and a replaced primary leads no more.
    """

    keeps_members = True
    losses = options.LOSSES

    def __init__(
        self,
        reactor,
        node_name: str,
        promotion: PromotionCalls,
        authority: PromotionAuthority,
        directory: RelayDirectory,
        rng: random.Random,
        is_fenced: bool,
    ):
        self.share_limit = 1
        self._is_fenced = is_fenced
        self._reactor = reactor
        self._node_name = node_name
        self._promotion = promotion
        self._authority = authority
        self._directory = directory
        self._rng = rng
        self._pools: WeakValueDictionary[tuple[str, str], PoolTask] = (
            WeakValueDictionary()
        )

    def make_task(self, group: GroupSettings) -> GroupTask:
        """Return the task that watches a group."""
        calls = ControlCalls(
            self._reactor,
            lambda item: self._connect(group.name, item, options.CONTROL_CONNECT),
            options.CONTROL,
            self._leave_way,
            lambda database: self._pools.get((group.name, database)),
            options.CONTROL_IDLE,
        )
        adapter = LineDatabaseGroup(group, self._promotion, calls, self._is_fenced)
        policy = options.FAILOVER if self._is_fenced else options.UNFENCED_FAILOVER
        proof = LeadProof.OWN_WORD if self._is_fenced else LeadProof.WITNESSES
        task = GroupTask(
            self._reactor,
            group,
            adapter,
            self._node_name,
            self._rng,
            options.PROBES,
            authority=self._authority,
            failover_policy=policy,
            proof=proof,
        )
        calls.set_hearing(task.was_heard)
        return task

    def make_pool(self, group: GroupSettings, database: DatabaseSettings) -> PoolTask:
        """Return the pool of one database."""
        pool = PoolTask(
            self._reactor,
            database,
            lambda: self._connect(group.name, database, options.CONNECT_TIMEOUT),
            options.POOLS,
            limit=self.share_limit,
            rng=self._rng,
        )
        self._pools[group.name, database.name] = pool
        return pool

    def _connect(
        self, group: str, database: DatabaseSettings, timeout: float
    ) -> Deferred[LineTarget]:
        """Open a connection to a database, or to an owner of its group."""
        owner = self._directory.choose_owner(group, database.max_connections)
        endpoint = database.endpoint if owner is None else owner.relay
        connecting = connect_line_target(
            self._reactor,
            endpoint,
            group,
            database.name,
            timeout if owner is None else options.RELAY_CONNECT,
            options.TARGET_SOCKETS,
        )
        name = "" if owner is None else owner.name
        return connecting.addCallbacks(
            _note_way, self._avoid, callbackArgs=(name,), errbackArgs=(name,)
        )

    def _leave_way(self, connection: LineTarget) -> None:
        """Ask another owner next: this one does not answer."""
        if connection.way:
            self._directory.avoid(connection.way)

    def _avoid(self, failure: Failure, owner: str) -> Failure:
        """Pass over an owner that gave no connection."""
        if owner and not failure.check(CancelledError):
            self._directory.avoid(owner)
        return failure


def _note_way(connection: LineTarget, owner: str) -> LineTarget:
    """Note through which owner a connection goes; empty for none."""
    connection.way = owner
    return connection
