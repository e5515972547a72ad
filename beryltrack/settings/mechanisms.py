"""Optional mechanisms of an instance, which can be switched off for ablation.

Each handles one kind of load or fault; switching it off shows its effect. The
environment variable `DISABLED_VARIABLE` lists those that are off. No guarantee depends
on any of them.
"""

from collections.abc import Mapping
from enum import Enum

from beryltrack.findings import Finding

DISABLED_VARIABLE = "BERYLTRACK_DISABLED"
"""Environment variable with the names of disabled mechanisms, separated by commas."""


class Mechanism(Enum):
    """A mechanism; its value is its name in the settings."""

    ADMISSION_BOUND = "admission-bound"
    """Fewer requests are admitted while the process lacks processor time for them."""
    CALM_GUARD = "calm-guard"
    """An unused primary is probed each second (idle probe interval), not each 0.4 s."""
    DEADLINE_ORDER = "deadline-order"
    """Requests are queued by deadline (earliest deadline first), not by arrival."""
    DETOURS = "detours"
    """A database that this instance cannot reach is reached through other instances."""
    EARLY_REFUSAL = "early-refusal"
    """A request that cannot meet its deadline is refused before the deadline passes."""
    EXPECTED_TIME = "expected-time"
    """Reads go where owners' reports predict the earliest completion."""
    FEW_CONNECTIONS = "few-connections"
    """A connection is opened only for requests that have waited, and closed early."""
    OWNER_REPORTS = "owner-reports"
    """Owners report their load; the receiving instance refuses requests that would wait
    too long at the owner."""
    KEPT_CONNECTIONS = "kept-connections"
    """Connections of frequently active accounts stay idle for long and close last."""
    OWNER_PROBES = "owner-probes"
    """An unreachable owner is skipped until it answers a probe, not for 2 s."""
    OWN_REPLICAS = "own-replicas"
    """An account's reads prefer one replica, to which it already has a connection."""
    PARALLEL_PROOFS = "parallel-proofs"
    """Reads relayed by other instances run in parallel with the primary's proof."""
    PRIORITY_ORDER = "priority-order"
    """Requests queued at an owner run by priority, then round robin among accounts."""
    REPLICA_PAUSE = "replica-pause"
    """A replica that was found lagging is not used for a while."""
    LATE_STATEMENTS = "late-statements"
    """An overdue statement triggers a liveness probe of its primary."""
    LONG_PROOFS = "long-proofs"
    """A proof of the primary's term is valid for writes for seconds, not for 0.5 s."""
    LONG_QUEUE = "long-queue"
    """Requests wait up to 0.6 s for a connection, not 0.25 s."""
    NEAR_REPLICAS = "near-replicas"
    """Reads prefer replicas in the instance's own availability zone."""
    RETRIES = "retries"
    """A request that did not run is retried elsewhere."""
    RETRY_BUDGET = "retry-budget"
    """Retries are limited to a tenth of the requests."""
    SHARED_COPIES = "shared-copies"
    """Most instances of a large fleet receive the store's objects from other ones."""
    SNAPSHOTS = "snapshots"
    """A starting instance uses another one's cached copies while the store is down."""
    STRONG_OWNERS = "strong-owners"
    """Groups are owned by the instances with the largest capacity."""
    ZONE_OWNERS = "zone-owners"
    """An account's operations run in the zone that receives them, not at one owner."""
    STATEMENT_LIMIT = "statement-limit"
    """An owner limits concurrent statements to the database's capacity."""


def read_disabled_mechanisms(
    environment: Mapping[str, str],
) -> tuple[frozenset[Mechanism], list[Finding]]:
    """Return the mechanisms that the environment disables.

    Returns
    -------
    tuple
        The mechanisms, and a finding for each unknown name.
    """
    text = environment.get(DISABLED_VARIABLE, "")
    names = [name.strip() for name in text.split(",") if name.strip()]
    known = {mechanism.value: mechanism for mechanism in Mechanism}
    findings = [
        Finding(DISABLED_VARIABLE, name, "is not the name of a mechanism")
        for name in names
        if name not in known
    ]
    return frozenset(known[name] for name in names if name in known), findings
