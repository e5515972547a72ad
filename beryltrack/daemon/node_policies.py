"""The policies of one instance on the users' platform.

They follow from whether promotions are fenced and from the mechanisms that are switched
off; `node_options` has the figures and where they come from.
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

SHORT_PROOFS = 0.5
"""Seconds for which a write needs no new proof without `Mechanism.LONG_PROOFS`."""

EAGER_GUARD = 0.4
"""Seconds between two questions to an idle primary without `Mechanism.CALM_GUARD`."""

SHORT_QUEUE = 0.25
"""Longest expected wait without `Mechanism.LONG_QUEUE`, seconds."""

LONG_IDLE = 10.0
"""Seconds that surplus connections stay without `Mechanism.FEW_CONNECTIONS`."""

UNBOUNDED = 1e9
"""Retries of a budget that never ends."""


class NodePolicies(NamedTuple):
    """What steers the decisions of an instance.

    Parameters
    ----------
    pools, account_pools, relayed_pools : PoolPolicy
        Connections to databases, the same where they belong to accounts, and sessions
        at other instances.
    routing : RoutingPolicy
        Where requests run.
    probes : ProbePolicy
        How often databases are asked.
    failover : FailoverPolicy
        When a primary is replaced.
    retries : RetryPolicy
        What is run again.
    admission : AdmissionPolicy
        How many requests are taken on.
    load : LoadPolicy
        What runs at a database through an owner, and in which order.
    overdue_after : float
        Seconds after which a statement makes its primary be asked.
    uses_owner_reports : bool
        True if owners tell of their load, and what they can't do is refused in front.
    uses_indirect_paths : bool
        True if databases may be reached through other instances.
    uses_snapshots : bool
        True if an instance that starts may go by another one's copies.
    shares_copies : bool
        True if instances may tell each other what the store holds.
    account_owners : SlotOwnerPolicy
        Which owners count and run the operations of accounts.
    choose_owners : callable
        Chooses the owners of a group whose connections belong to no account.
    probes_owners : bool
        True if an owner out of reach is passed over until it answers a probe.
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


def make_policies(
    is_fenced: bool,
    disabled: frozenset[Mechanism] = frozenset(),
    load: LoadPolicy = LoadPolicy(),  # noqa: B008 (immutable)
) -> NodePolicies:
    """Return the policies of an instance.

    Parameters
    ----------
    is_fenced : bool
        True if promotions are fenced, and a replaced primary leads no more.
    disabled : frozenset of Mechanism
        What it does without.
    load : LoadPolicy, optional
        The figures under load that its operators have set.
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
    )
    for mechanism in sorted(disabled, key=lambda each: each.value):
        if mechanism in _WITHOUT:
            policies = _WITHOUT[mechanism](policies)
    return policies


def _change_pools(policies: NodePolicies, **figures: object) -> NodePolicies:
    """Return policies whose pools have other figures."""
    return policies._replace(
        pools=policies.pools._replace(**figures),
        account_pools=policies.account_pools._replace(**figures),
        relayed_pools=policies.relayed_pools._replace(**figures),
    )


def _refuse_late(policies: NodePolicies) -> NodePolicies:
    """Return policies by which only what is over its time is refused."""
    load = policies.load._replace(refuses_early=False)
    return _change_pools(policies._replace(load=load), refuses_early=False)


def _change(name: str, **figures: object):
    """Return what gives one of the policies other figures."""

    def change(policies: NodePolicies) -> NodePolicies:
        return policies._replace(**{name: getattr(policies, name)._replace(**figures)})

    return change


_WITHOUT = {
    Mechanism.ADMISSION_BOUND: _change("admission", max_delay=math.inf),
    Mechanism.CALM_GUARD: _change("probes", idle_primary_interval=EAGER_GUARD),
    Mechanism.DEADLINE_ORDER: lambda each: _change_pools(each, by_deadline=False),
    Mechanism.EARLY_REFUSAL: _refuse_late,
    Mechanism.FEW_CONNECTIONS: _change("pools", open_delay=0.0, idle_timeout=LONG_IDLE),
    Mechanism.EXPECTED_TIME: _change("routing", ranks_by_time=False),
    Mechanism.KEPT_CONNECTIONS: _change("account_pools", retained_fraction=0.0),
    Mechanism.PARALLEL_PROOFS: _change("routing", runs_unproven=False),
    Mechanism.REPLICA_PAUSE: _change("routing", lagging_pause=0.0),
    Mechanism.LATE_STATEMENTS: lambda each: each._replace(overdue_after=math.inf),
    Mechanism.LONG_PROOFS: _change("routing", confirmed_within=SHORT_PROOFS),
    Mechanism.LONG_QUEUE: lambda each: _change_pools(each, max_wait=SHORT_QUEUE),
    Mechanism.NEAR_REPLICAS: _change("routing", prefers_near=False),
    Mechanism.OWN_REPLICAS: _change("routing", prefers_account_replica=False),
    Mechanism.PRIORITY_ORDER: _change("load", is_ordered=False),
    Mechanism.RETRIES: _change("retries", max_attempts=1),
    Mechanism.RETRY_BUDGET: _change(
        "retries", ratio=1.0, max_tokens=UNBOUNDED, initial_tokens=UNBOUNDED
    ),
    Mechanism.STATEMENT_LIMIT: _change("load", is_limited=False),
}
