"""The parts of the decisions under load, and what calls for each.

One table for docs/SETTINGS.md, so that who reads the figures sees when they matter.
"""

from typing import NamedTuple

from beryltrack.settings.mechanisms import Mechanism


class LoadMechanism(NamedTuple):
    """One part of the decisions under load.

    Parameters
    ----------
    decides : str
        What it decides.
    called_for_by : str
        The settings and the fleet that make it act.
    options : tuple of str
        What an operator sets of it.
    switch : Mechanism or None
        What switches it off; None if only the settings that call for it do.
    """

    decides: str
    called_for_by: str
    options: tuple[str, ...] = ()
    switch: Mechanism | None = None


LOAD_MECHANISMS = (
    LoadMechanism(
        "Owners: few instances hold the connections, others relay through them",
        "A group whose databases have fewer connections than the instances need, or "
        "accounts in the settings",
    ),
    LoadMechanism(
        "Limit: how many operations an owner lets run at a database at once",
        "A group that is relayed; the databases' slots, and how many owners share them",
        ("is_limited", "per_slot"),
        Mechanism.STATEMENT_LIMIT,
    ),
    LoadMechanism(
        "Order: whose operation runs next",
        "Routes of unlike priority or target latency, while operations wait",
        ("is_ordered",),
        Mechanism.PRIORITY_ORDER,
    ),
    LoadMechanism(
        "Floors: the part of the turns that a less urgent priority keeps",
        "Routes of unlike priority, while the more urgent ones fill the limit",
        ("floors",),
        Mechanism.PRIORITY_ORDER,
    ),
    LoadMechanism(
        "Turns of accounts: equal priorities take turns by account",
        "Accounts in the settings, while operations of several wait",
        (),
        Mechanism.PRIORITY_ORDER,
    ),
    LoadMechanism(
        "Early refusals: who cannot be done in time is told at once",
        "Routes with a target latency or a statement's time, while operations wait",
        ("refuses_early", "most_wait"),
        Mechanism.EARLY_REFUSAL,
    ),
    LoadMechanism(
        "Limits of accounts: how many operations an account may run",
        "Accounts with limits in the settings",
    ),
    LoadMechanism(
        "Owners of accounts: the strong instances hold their connections",
        "Instances of unlike capacity, where there are accounts",
    ),
    LoadMechanism(
        "Owners of groups: the strong instances hold their connections",
        "A group that is relayed, instances of unlike capacity, no accounts",
        (),
        Mechanism.STRONG_OWNERS,
    ),
    LoadMechanism(
        "Zones: an account's operations run in the zone where they come in",
        "Accounts in the settings, owners in several availability zones",
        (),
        Mechanism.ZONE_OWNERS,
    ),
    LoadMechanism(
        "Kept connections: those of accounts that ask often rest for long",
        "Accounts in the settings",
        (),
        Mechanism.KEPT_CONNECTIONS,
    ),
    LoadMechanism(
        "Reports: owners tell of their load; what waits too long is refused in front",
        "A group that is relayed",
        (),
        Mechanism.OWNER_REPORTS,
    ),
    LoadMechanism(
        "Expected time: reads go where they are expected to be done first",
        "A group that is relayed, and reports of its owners",
        (),
        Mechanism.EXPECTED_TIME,
    ),
    LoadMechanism(
        "Parallel proofs: reads of a primary run while it is asked whether it leads",
        "A group that is relayed, promotions that are fenced",
        (),
        Mechanism.PARALLEL_PROOFS,
    ),
    LoadMechanism(
        "Probes of owners: one out of reach is passed over until it answers",
        "A group that is relayed, or accounts in the settings",
        (),
        Mechanism.OWNER_PROBES,
    ),
    LoadMechanism(
        "Short holds: a request without a database waits for a part of its aim",
        "A group that is relayed, routes with a target latency",
    ),
)
