"""The mechanisms of the overload control: what each decides and when it applies.

The table is part of docs/SETTINGS.md, so that operators see when an option matters.
"""

from typing import NamedTuple

from beryltrack.settings.mechanisms import Mechanism


class LoadMechanism(NamedTuple):
    """One mechanism of the overload control.

    Parameters
    ----------
    summary : str
        Its name and what it decides.
    applies_to : str
        The settings and the fleet with which it takes effect.
    options : tuple of str
        Its options in `BERYLTRACK_LOAD`.
    switch : Mechanism or None
        The mechanism whose name switches it off; None if it depends on `applies_to`
        alone.
    """

    summary: str
    applies_to: str
    options: tuple[str, ...] = ()
    switch: Mechanism | None = None


LOAD_MECHANISMS = (
    LoadMechanism(
        "Owners: few instances hold the connections, and others relay through them",
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
        "Order: which operation runs next",
        "Routes of different priority or target latency, while operations wait",
        ("is_ordered",),
        Mechanism.PRIORITY_ORDER,
    ),
    LoadMechanism(
        "Minimum shares: the share of the starts that a less urgent priority keeps",
        "Routes of different priority, while the more urgent ones fill the limit",
        ("floors",),
        Mechanism.PRIORITY_ORDER,
    ),
    LoadMechanism(
        "Round robin: accounts with operations of equal priority take turns",
        "Accounts in the settings, while operations of several wait",
        (),
        Mechanism.PRIORITY_ORDER,
    ),
    LoadMechanism(
        "Early refusals: an operation that cannot be done in time is refused at once",
        "Routes with a target latency or a timeout, while operations wait",
        ("refuses_early", "most_wait"),
        Mechanism.EARLY_REFUSAL,
    ),
    LoadMechanism(
        "Limits of accounts: how many operations an account may run",
        "Accounts with limits in the settings",
    ),
    LoadMechanism(
        "Owners of accounts: the instances with most capacity hold their connections",
        "Instances of different capacity, accounts in the settings",
    ),
    LoadMechanism(
        "Owners of groups: the instances with most capacity hold their connections",
        "A group that is relayed, instances of different capacity, no accounts",
        (),
        Mechanism.STRONG_OWNERS,
    ),
    LoadMechanism(
        "Zones: an account's operations run in the zone where they arrive",
        "Accounts in the settings, owners in several availability zones",
        (),
        Mechanism.ZONE_OWNERS,
    ),
    LoadMechanism(
        "Retained connections: those of often active accounts stay open when idle",
        "Accounts in the settings",
        (),
        Mechanism.KEPT_CONNECTIONS,
    ),
    LoadMechanism(
        "Reports: owners report their load; the receiving instance refuses by them",
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
        "Parallel proofs: reads of a primary run while its term is confirmed",
        "A group that is relayed, promotions that are fenced",
        (),
        Mechanism.PARALLEL_PROOFS,
    ),
    LoadMechanism(
        "Probes of owners: an unreachable owner is avoided until it answers",
        "A group that is relayed, or accounts in the settings",
        (),
        Mechanism.OWNER_PROBES,
    ),
    LoadMechanism(
        "Short waits: a request without a target waits for part of its target latency",
        "A group that is relayed, routes with a target latency",
    ),
)
