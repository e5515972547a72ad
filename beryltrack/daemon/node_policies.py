"""The policies of one instance on the users' platform.

They depend on whether promotions are fenced and on the disabled mechanisms;
`node_options` has the values and their reasons.
"""

import math
from typing import NamedTuple

from beryltrack.connections.pool_policy import PoolPolicy
from beryltrack.daemon import node_options as options
from beryltrack.failover.decider import FailoverPolicy
from beryltrack.groups.policy import ProbePolicy
from beryltrack.load.policy import LoadPolicy
from beryltrack.relay.owners import ChooseOwners, choose_owners
from beryltrack.relay.slot_owners import FleetOwners, SlotOwnerPolicy, ZoneOwners
from beryltrack.relay.strong_owners import choose_strong_owners
from beryltrack.requests.admission import AdmissionPolicy
from beryltrack.requests.overdue import LATE_AFTER
from beryltrack.requests.retry import RetryPolicy
from beryltrack.requests.services import DEFAULT_RETRIES
from beryltrack.routing.decider import RoutingPolicy
from beryltrack.settings.mechanisms import Mechanism

SHORT_PROOF_VALIDITY = 0.5
"""Seconds for which a proof is valid for writes without `Mechanism.LONG_PROOFS`."""

SHORT_PROBE_INTERVAL = 0.4
"""Seconds between two probes of an idle primary without `Mechanism.CALM_GUARD`."""

SHORT_MAX_WAIT = 0.25
"""Maximum expected wait without `Mechanism.LONG_QUEUE`, seconds."""

LONG_IDLE_TIMEOUT = 10.0
"""Seconds that surplus connections stay open without `Mechanism.FEW_CONNECTIONS`."""

UNBOUNDED_RETRIES = 1e9
"""Retries in a budget that is never exhausted."""


class NodePolicies(NamedTuple):
    """The policies of an instance.

    Parameters
    ----------
    pools, account_pools, relayed_pools : PoolPolicy
        Connections to databases, the same if they belong to accounts, and sessions at
        other instances.
    routing : RoutingPolicy
        Choice of the database for a request.
    probes : ProbePolicy
        Intervals of the probes of databases.
    failover : FailoverPolicy
        Times of the failover.
    retries : RetryPolicy
        Which requests are repeated, and how often.
    admission : AdmissionPolicy
        Limit of the concurrent requests.
    load : LoadPolicy
        Concurrency and order of operations at an owner's gates.
    overdue_after : float
        Seconds after which a running statement causes a probe of its primary.
    uses_owner_reports : bool
        True if owners report their load, and the receiving instance refuses operations
        that an owner cannot serve in time.
    uses_indirect_paths : bool
        True if databases may be reached through other instances.
    uses_snapshots : bool
        True if an instance that starts may use another one's copies.
    shares_copies : bool
        True if instances may forward the store's objects to each other.
    account_owners : SlotOwnerPolicy
        Which owners count and run the operations of accounts.
    choose_owners : callable
        Chooses the owners of a group whose connections belong to no account.
    probes_owners : bool
        True if an unreachable owner is avoided until it answers a probe.
    drain_limit : float
        Seconds for which a leaving primary gets new work once it is known to leave.
    """

    pools: PoolPolicy
    account_pools: PoolPolicy
    relayed_pools: PoolPolicy
    routing: RoutingPolicy
    probes: ProbePolicy
    failover: FailoverPolicy
    retries: RetryPolicy
    admission: AdmissionPolicy
    load: LoadPolicy
    overdue_after: float
    uses_owner_reports: bool
    uses_indirect_paths: bool
    uses_snapshots: bool
    shares_copies: bool
    account_owners: SlotOwnerPolicy
    choose_owners: ChooseOwners
    probes_owners: bool
    drain_limit: float


def make_policies(
    is_fenced: bool,
    disabled: frozenset[Mechanism] = frozenset(),
    load: LoadPolicy = LoadPolicy(),  # noqa: B008 (immutable)
    drain_limit: float = math.inf,
) -> NodePolicies:
    """Return the policies of an instance.

    Parameters
    ----------
    is_fenced : bool
        True if promotions are fenced: a replaced primary then refuses writes.
    disabled : frozenset of Mechanism
        The mechanisms that are switched off.
    load : LoadPolicy, optional
        The load settings of its operators.
    drain_limit : float, optional
        Seconds within which a draining database must get no new work.
    """
    policies = NodePolicies(
        options.POOLS,
        options.ACCOUNT_POOLS,
        options.RELAYED_POOLS,
        options.ROUTING if is_fenced else options.UNFENCED_ROUTING,
        options.PROBES,
        options.FAILOVER if is_fenced else options.UNFENCED_FAILOVER,
        DEFAULT_RETRIES,
        AdmissionPolicy(),
        load,
        LATE_AFTER,
        uses_owner_reports=Mechanism.OWNER_REPORTS not in disabled,
        uses_indirect_paths=Mechanism.DETOURS not in disabled,
        uses_snapshots=Mechanism.SNAPSHOTS not in disabled,
        shares_copies=Mechanism.SHARED_COPIES not in disabled,
        account_owners=FleetOwners()
        if Mechanism.ZONE_OWNERS in disabled
        else ZoneOwners(),
        choose_owners=choose_owners
        if Mechanism.STRONG_OWNERS in disabled
        else choose_strong_owners,
        probes_owners=Mechanism.OWNER_PROBES not in disabled,
        drain_limit=max(0.0, drain_limit - options.DRAIN_MARGIN),
    )
    for mechanism in sorted(disabled, key=lambda each: each.value):
        if mechanism in _CHANGES_WHEN_DISABLED:
            policies = _CHANGES_WHEN_DISABLED[mechanism](policies)
    return policies


def _change_pools(policies: NodePolicies, **values: object) -> NodePolicies:
    """Return policies with other values for all pools."""
    return policies._replace(
        pools=policies.pools._replace(**values),
        account_pools=policies.account_pools._replace(**values),
        relayed_pools=policies.relayed_pools._replace(**values),
    )


def _disable_early_refusal(policies: NodePolicies) -> NodePolicies:
    """Return policies by which operations are refused only after their deadline."""
    load = policies.load._replace(refuses_early=False)
    return _change_pools(policies._replace(load=load), refuses_early=False)


def _make_change(name: str, **values: object):
    """Return a function that sets other values in one of the policies."""

    def change(policies: NodePolicies) -> NodePolicies:
        return policies._replace(**{name: getattr(policies, name)._replace(**values)})

    return change


_CHANGES_WHEN_DISABLED = {
    Mechanism.ADMISSION_BOUND: _make_change("admission", max_delay=math.inf),
    Mechanism.CALM_GUARD: _make_change(
        "probes", idle_primary_interval=SHORT_PROBE_INTERVAL
    ),
    Mechanism.DEADLINE_ORDER: lambda each: _change_pools(each, by_deadline=False),
    Mechanism.EARLY_REFUSAL: _disable_early_refusal,
    Mechanism.FEW_CONNECTIONS: _make_change(
        "pools", open_delay=0.0, idle_timeout=LONG_IDLE_TIMEOUT
    ),
    Mechanism.EXPECTED_TIME: _make_change("routing", ranks_by_time=False),
    Mechanism.KEPT_CONNECTIONS: _make_change("account_pools", retained_fraction=0.0),
    Mechanism.PARALLEL_PROOFS: _make_change("routing", runs_unproven=False),
    Mechanism.REPLICA_PAUSE: _make_change("routing", lagging_pause=0.0),
    Mechanism.LATE_STATEMENTS: lambda each: each._replace(overdue_after=math.inf),
    Mechanism.LONG_PROOFS: _make_change(
        "routing", confirmed_within=SHORT_PROOF_VALIDITY
    ),
    Mechanism.LONG_QUEUE: lambda each: _change_pools(each, max_wait=SHORT_MAX_WAIT),
    Mechanism.NEAR_REPLICAS: _make_change("routing", prefers_near=False),
    Mechanism.OWN_REPLICAS: _make_change("routing", prefers_account_replica=False),
    Mechanism.PRIORITY_ORDER: _make_change("load", is_ordered=False),
    Mechanism.RETRIES: _make_change("retries", max_attempts=1),
    Mechanism.RETRY_BUDGET: _make_change(
        "retries",
        ratio=1.0,
        max_tokens=UNBOUNDED_RETRIES,
        initial_tokens=UNBOUNDED_RETRIES,
    ),
    Mechanism.STATEMENT_LIMIT: _make_change("load", is_limited=False),
}
