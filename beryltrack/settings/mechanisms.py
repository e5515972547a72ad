"""The parts of an instance's decisions that can be switched off.

Each answers a load or a fault. Switched off it shows what it is worth: the environment
variable `DISABLED_VARIABLE` names what an instance does without. No promise rests on
any of them.
"""

from collections.abc import Mapping
from enum import Enum

from beryltrack.findings import Finding

DISABLED_VARIABLE = "BERYLTRACK_DISABLED"
"""Environment variable with the names of mechanisms to do without, between commas."""


class Mechanism(Enum):
    """A mechanism, by the name that the settings use."""

    ADMISSION_BOUND = "admission-bound"
    """Fewer requests are taken on while the process has no processor time for them."""
    CALM_GUARD = "calm-guard"
    """A primary that nobody uses is asked each second, not each 0.4 s."""
    DEADLINE_ORDER = "deadline-order"
    """Requests wait in the order of their deadlines, not in that of their arrival."""
    DETOURS = "detours"
    """A database that is cut off from this instance is reached through others."""
    EARLY_REFUSAL = "early-refusal"
    """Who cannot be done in time is told so at once, not when the time is over."""
    EXPECTED_TIME = "expected-time"
    """Reads go where they are expected to be done first, by what owners tell."""
    FEW_CONNECTIONS = "few-connections"
    """A connection is opened only for requests that have waited, and closed soon."""
    OWNER_REPORTS = "owner-reports"
    """Owners tell of their load; what waits there too long is refused in front."""
    KEPT_CONNECTIONS = "kept-connections"
    """Connections of accounts that ask often rest for long, and go last."""
    OWNER_PROBES = "owner-probes"
    """An owner out of reach is passed over until it answers a probe, not for 2 s."""
    OWN_REPLICAS = "own-replicas"
    """An account's reads prefer one replica, on which it has a connection already."""
    PARALLEL_PROOFS = "parallel-proofs"
    """Reads that others pass on run while the primary is asked whether it leads."""
    PRIORITY_ORDER = "priority-order"
    """What waits at an owner runs by priority, and in turns among accounts."""
    REPLICA_PAUSE = "replica-pause"
    """A replica that was behind is left alone for a while."""
    LATE_STATEMENTS = "late-statements"
    """A statement that is late makes its primary be asked whether it lives."""
    LONG_PROOFS = "long-proofs"
    """Writes need no new proof of the primary's term for seconds, not for 0.5 s."""
    LONG_QUEUE = "long-queue"
    """Requests wait for a connection for up to 0.6 s, not 0.25 s."""
    NEAR_REPLICAS = "near-replicas"
    """Reads prefer replicas of the instance's own availability zone."""
    RETRIES = "retries"
    """What did not run is run again elsewhere."""
    RETRY_BUDGET = "retry-budget"
    """Retries are at most a tenth of the requests."""
    SHARED_COPIES = "shared-copies"
    """Most instances of a large fleet are told by others what the store holds."""
    SNAPSHOTS = "snapshots"
    """An instance that starts goes by another one's copies while the store is away."""
    STRONG_OWNERS = "strong-owners"
    """Groups are owned by the instances that can carry the most, by their capacity."""
    ZONE_OWNERS = "zone-owners"
    """An account's operations run in the zone where they come in, not at one owner."""
    STATEMENT_LIMIT = "statement-limit"
    """An owner lets only so many statements run as the database has room for."""


def read_disabled_mechanisms(
    environment: Mapping[str, str],
) -> tuple[frozenset[Mechanism], list[Finding]]:
    """Return the mechanisms that the environment switches off.

    Returns
    -------
    tuple
        The mechanisms, and a finding for each name that stands for none.
    """
    text = environment.get(DISABLED_VARIABLE, "")
    names = [name.strip() for name in text.split(",") if name.strip()]
    known = {each.value: each for each in Mechanism}
    findings = [
        Finding(DISABLED_VARIABLE, name, "names no mechanism")
        for name in names
        if name not in known
    ]
    return frozenset(known[name] for name in names if name in known), findings
