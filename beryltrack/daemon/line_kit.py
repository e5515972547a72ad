"""The parts of a group whose databases speak the users' line protocol."""

import random
import time
from weakref import WeakValueDictionary

from twisted.internet.defer import Deferred

from beryltrack.accounts.quota import QuotaDecider
from beryltrack.clock import get_seconds
from beryltrack.connections.task import PoolTask
from beryltrack.daemon import node_options as options
from beryltrack.daemon.node_policies import NodePolicies
from beryltrack.failover.authority import PromotionAuthority
from beryltrack.groups.control_calls import ControlCalls
from beryltrack.groups.messages import LeadProof
from beryltrack.groups.task import GroupTask
from beryltrack.load.gate import GateDecider
from beryltrack.load.gate_task import GateTask
from beryltrack.platform.group import LineDatabaseGroup
from beryltrack.platform.promotion import PromotionCalls
from beryltrack.platform.target import LineTarget, connect_line_target
from beryltrack.relay.access import DatabaseAccess
from beryltrack.relay.directory import RelayDirectory
from beryltrack.relay.opener import OpenLimits, TargetOpener
from beryltrack.settings.messages import DatabaseSettings, Endpoint, GroupSettings

MILLISECONDS = 1000
"""Milliseconds in a second: processes of an instance start further apart."""


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
    policies : NodePolicies
        What steers this instance's decisions.
    quota : QuotaDecider
        Counts the operations of accounts that run here.
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
        policies: NodePolicies,
        quota: QuotaDecider,
    ):
        self._quota = quota
        self._directory = directory
        self._seconds = get_seconds(reactor)
        self.share_limit = 1
        self._is_fenced = is_fenced
        self._policies = policies
        self._reactor = reactor
        self._node_name = node_name
        self._promotion = promotion
        self._authority = authority
        self._rng = rng
        self._incarnation = int(time.time() * MILLISECONDS)
        self._pools: WeakValueDictionary[tuple[str, str], DatabaseAccess] = (
            WeakValueDictionary()
        )
        self._opener = TargetOpener(
            reactor,
            directory,
            self._open_at,
            lambda group, database: (group, database) in self._pools,
            OpenLimits(
                options.RELAY_CONNECT, options.CONTROL_CONNECT, policies.takes_detours
            ),
        )

    def make_task(self, group: GroupSettings) -> GroupTask:
        """Return the task that watches a group."""
        opener = self._opener
        calls = ControlCalls(
            self._reactor,
            lambda item: opener.open(group.name, item, options.CONTROL_CONNECT),
            options.CONTROL,
            opener.observe_silence,
            lambda database: self._pools.get((group.name, database)),
            options.CONTROL_IDLE,
        )
        adapter = LineDatabaseGroup(group, self._promotion, calls, self._is_fenced)
        proof = LeadProof.OWN_WORD if self._is_fenced else LeadProof.WITNESSES
        task = GroupTask(
            self._reactor,
            group,
            adapter,
            self._node_name,
            self._rng,
            self._policies.probes,
            authority=self._authority,
            failover_policy=self._policies.failover,
            proof=proof,
        )
        calls.set_hearing(task.was_heard)
        return task

    def make_pool(
        self, group: GroupSettings, database: DatabaseSettings
    ) -> DatabaseAccess:
        """Return the pools of one database."""
        opener, policies = self._opener, self._policies

        def open_directly(account: str) -> Deferred[LineTarget]:
            limit = options.CONNECT_TIMEOUT
            return opener.open_directly(group.name, database, limit, account)

        def make_sessions(owner: str) -> PoolTask:
            return PoolTask(
                self._reactor,
                database,
                lambda account: opener.open_session(group.name, database, owner),
                policies.relayed_pools,
                limit=options.RELAY_STREAMS,
                rng=self._rng,
            )

        def choose_way(account: str) -> str:
            limit = database.max_connections
            peer = self._directory.choose_way(group.name, database.name, limit, account)
            return "" if peer is None else peer.name

        direct = PoolTask(
            self._reactor,
            database,
            open_directly,
            policies.pools,
            limit=self.share_limit,
            rng=self._rng,
        )
        access = DatabaseAccess(
            direct,
            make_sessions,
            choose_way,
            lambda account: self._quota.spend(account, self._seconds()),
            self._quota.refund,
            self._make_gate,
        )
        self._pools[group.name, database.name] = access
        return access

    def _make_gate(self) -> GateTask:
        """Return what decides which operations run at a database."""
        decider = GateDecider(self._policies.load, self._rng, self._incarnation)
        return GateTask(self._reactor, decider)

    def _open_at(
        self,
        endpoint: Endpoint,
        group: str,
        database: str,
        timeout: float,
        account: str = "",
    ) -> Deferred[LineTarget]:
        """Open a connection to a database, or a session at another instance."""
        return connect_line_target(
            self._reactor,
            endpoint,
            group,
            database,
            timeout,
            options.TARGET_SOCKETS,
            account,
            options.REACH_TIME,
        )
