"""Creates the parts of groups whose databases speak the users' line protocol."""

import random
from weakref import WeakValueDictionary

from twisted.internet.defer import Deferred

from beryltrack.accounts.quota import QuotaDecider
from beryltrack.clock import get_monotonic_clock
from beryltrack.connections.task import PoolTask
from beryltrack.daemon import node_options as options
from beryltrack.daemon.node_policies import NodePolicies
from beryltrack.daemon.zone_traffic import ZoneTraffic
from beryltrack.failover.authority import PromotionAuthority
from beryltrack.groups.control_calls import ControlCalls
from beryltrack.groups.messages import LeadershipProof
from beryltrack.groups.task import GroupTask
from beryltrack.load.gate import GateDecider
from beryltrack.load.gate_task import GateTask
from beryltrack.load.ingress_admission import IngressAdmission
from beryltrack.load.messages import DatabaseReport, Demand, ExpectedTimes
from beryltrack.load.owner_loads import ReportedOwnerLoads
from beryltrack.platform.group import LineDatabaseGroup
from beryltrack.platform.promotion import PromotionClient
from beryltrack.platform.target import LineTarget, connect_line_target
from beryltrack.relay.access import DatabaseAccess
from beryltrack.relay.directory import RelayDirectory
from beryltrack.relay.opener import OpenPolicy, TargetOpener
from beryltrack.requests.retry import RetryBudget
from beryltrack.settings.messages import DatabaseSettings, Endpoint, GroupSettings


class LineGroupFactory:
    """Creates the tasks and pools of groups; see `GroupFactory`.

    Parameters
    ----------
    reactor : reactor
        Source of sockets and timers.
    instance_name : str
        Name of this instance.
    promotion : PromotionClient
        The service that carries out promotions.
    authority : PromotionAuthority
        Grants the permits to promote.
    directory : RelayDirectory
        Chooses the instance through which a connection goes.
    rng : random.Random
        Source of jitter.
    is_fenced : bool
        True if promotions are fenced: a replaced primary then refuses writes.
    policies : NodePolicies
        The policies of this instance.
    quota : QuotaDecider
        Counts the operations of accounts that run here.
    incarnation : int
        Number of this instance's process, higher than those of earlier ones.
    traffic : ZoneTraffic
        Opens the connections and counts their bytes.
    """

    supports_member_changes = True
    losses = options.LOSSES

    def __init__(
        self,
        reactor,
        instance_name: str,
        promotion: PromotionClient,
        authority: PromotionAuthority,
        directory: RelayDirectory,
        rng: random.Random,
        is_fenced: bool,
        policies: NodePolicies,
        quota: QuotaDecider,
        incarnation: int,
        traffic: ZoneTraffic,
    ):
        self._traffic = traffic
        self._quota = quota
        self._directory = directory
        self._seconds = get_monotonic_clock(reactor)
        self.share_limit = 1
        self._is_fenced = is_fenced
        self._policies = policies
        self._reactor = reactor
        self._instance_name = instance_name
        self._promotion = promotion
        self._authority = authority
        self._rng = rng
        self._by_database: WeakValueDictionary[str, DatabaseAccess] = (
            WeakValueDictionary()
        )
        self.owner_loads = ReportedOwnerLoads(self._seconds, self._get_report)
        self._retry_budget: RetryBudget | None = None
        self._ingress = IngressAdmission(self.owner_loads, rng)
        self._incarnation = incarnation
        self._pools: WeakValueDictionary[tuple[str, str], DatabaseAccess] = (
            WeakValueDictionary()
        )
        self._opener = TargetOpener(
            reactor,
            directory,
            self._open_at,
            lambda group, database: (group, database) in self._pools,
            OpenPolicy(
                options.RELAY_CONNECT_TIMEOUT,
                options.CONTROL_CONNECT_TIMEOUT,
                policies.uses_indirect_paths,
            ),
            self.owner_loads,
        )

    def set_retry_budget(self, retries: RetryBudget) -> None:
        """Set the budget that repeats through another owner share with requests."""
        self._retry_budget = retries

    def make_task(self, group: GroupSettings) -> GroupTask:
        """Return the task that watches a group."""
        opener = self._opener
        calls = ControlCalls(
            self._reactor,
            lambda item: opener.open(group.name, item, options.CONTROL_CONNECT_TIMEOUT),
            options.CONTROL_LIMITS,
            opener.observe_silence,
            lambda database: self._pools.get((group.name, database)),
            options.CONTROL_IDLE_TIMEOUT,
        )
        adapter = LineDatabaseGroup(group, self._promotion, calls, self._is_fenced)
        proof = (
            LeadershipProof.SELF_REPORT
            if self._is_fenced
            else LeadershipProof.WITNESSES
        )
        task = GroupTask(
            self._reactor,
            group,
            adapter,
            self._instance_name,
            self._rng,
            self._policies.probes,
            authority=self._authority,
            failover_policy=self._policies.failover,
            proof=proof,
            drain_limit=self._policies.drain_limit,
        )
        calls.set_answer_check(task.has_answered_since)
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
                limit=options.MAX_RELAY_SESSIONS,
                rng=self._rng,
            )

        def choose_via(account: str, is_lent: bool = False) -> str:
            peer = self._directory.choose_via(
                group.name, database.name, database.max_connections, account, is_lent
            )
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
            choose_via,
            lambda account: self._quota.spend(account, self._seconds()),
            self._quota.refund,
            lambda account: choose_via(account, True),
            self._directory.observe_quota_refusal,
            lambda account: (
                self._directory.is_unreachable(database.name)
                and self._directory.counts_here(account)
            ),
            admit_ingress=lambda via, demand: self._admit_ingress(
                via, database.name, demand
            ),
            estimate=lambda via, demand: self._estimate(via, database.name, demand),
            seconds=self._seconds,
            may_retry=lambda: self._retry_budget is None or self._retry_budget.draw(),
            make_gate=self._make_gate,
        )
        self._pools[group.name, database.name] = access
        self._by_database[database.name] = access
        return access

    def _get_report(self, database: str) -> DatabaseReport | None:
        """Return the load that this instance reports to others for a database."""
        access = self._by_database.get(database)
        return access.get_report() if access is not None else None

    def _estimate(self, via: str, database: str, demand: Demand) -> ExpectedTimes:
        """Return the times that an operation may expect through an instance."""
        owner_loads = self.owner_loads
        wait = owner_loads.get_wait(via, database, demand.priority)
        return ExpectedTimes(wait, owner_loads.get_service_time(database))

    def _admit_ingress(self, via: str, database: str, demand: Demand) -> float:
        """Return 0 to pass an operation on, else seconds until a retry is allowed."""
        if not self._policies.uses_owner_reports:
            return 0.0
        return self._ingress.decide(via, database, demand, self._seconds())

    def _make_gate(self) -> GateTask:
        """Return the gate that admits and limits the operations of a database."""
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
            self._traffic,
            endpoint,
            group,
            database,
            timeout,
            options.TARGET_SOCKETS,
            account,
            options.REACH_TIMEOUT,
        )
